//! Splitting of event streams.

use std::time::Duration;

use cloverpost::gateway::events::Splitter;
use proptest::prelude::*;

#[test]
fn only_complete_events_are_returned() {
    let mut splitter = Splitter::default();
    assert_eq!(splitter.push(b"id: 1\nda").unwrap(), "");
    assert_eq!(
        splitter.push(b"ta: a\n\nid: 2\n").unwrap(),
        "id: 1\ndata: a\n\n"
    );
    assert_eq!(splitter.last_id(), Some("1"));
    assert!(splitter.has_partial_event());
}

#[test]
fn partial_event_is_discarded_on_resume() {
    // A partial event from a failed upstream must not be joined with the next upstream's data.
    let mut splitter = Splitter::default();
    splitter.push(b"id: 1\n\nid: 2\nda").unwrap();
    splitter.discard_partial();
    assert_eq!(
        splitter.push(b"id: 2\ndata: b\n\n").unwrap(),
        "id: 2\ndata: b\n\n"
    );
}

#[test]
fn accepts_crlf_line_endings() {
    let mut splitter = Splitter::default();
    assert_eq!(
        splitter.push(b"id: 7\r\ndata: a\r\n\r\n").unwrap(),
        "id: 7\r\ndata: a\r\n\r\n"
    );
    assert_eq!(splitter.last_id(), Some("7"));
}

#[test]
fn rejects_oversized_event() {
    let mut splitter = Splitter::default();
    let line = vec![b'x'; 600 * 1024];
    assert!(splitter.push(&line).is_ok());
    assert!(splitter.push(&line).is_err());
}

#[test]
fn an_event_in_many_pieces_is_scanned_once() {
    // Scans of the whole event for each of its pieces would read 16 GB here.
    let mut splitter = Splitter::default();
    let start = std::time::Instant::now();
    for _ in 0..32 * 1024 {
        assert_eq!(splitter.push(&[b'x'; 31]).unwrap(), "");
    }
    assert_eq!(splitter.partial_bytes(), 31 * 32 * 1024);
    assert!(start.elapsed() < Duration::from_secs(5));
    assert_eq!(
        splitter.push(b"\n\nid: 2\n").unwrap().len(),
        31 * 32 * 1024 + 2
    );
    assert_eq!(splitter.push(b"\n").unwrap(), "id: 2\n\n");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    // Events are complete and in order regardless of chunk boundaries.
    #[test]
    fn events_do_not_depend_on_chunk_boundaries(cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..12)) {
        let text = b"id: 1\ndata: a\n\n: note\n\nid: 2\ndata: b\ndata: c\n\nid: 3\n\n";
        let mut boundaries: Vec<_> = cuts.iter().map(|cut| cut.index(text.len())).collect();
        boundaries.extend([0, text.len()]);
        boundaries.sort_unstable();
        let mut splitter = Splitter::default();
        let mut output = Vec::new();
        for range in boundaries.windows(2) {
            let events = splitter.push(&text[range[0]..range[1]]).unwrap();
            prop_assert!(events.is_empty() || events.ends_with(b"\n\n"));
            output.extend_from_slice(&events);
        }
        prop_assert_eq!(&output[..], &text[..]);
        prop_assert_eq!(splitter.last_id(), Some("3"));
        prop_assert!(!splitter.has_partial_event());
    }
}
