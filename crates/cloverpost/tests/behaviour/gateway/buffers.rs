//! Reservation of memory for requests and responses.

use std::time::Duration;

use cloverpost::gateway::buffers::Buffers;
use cloverpost::gateway::retained::Retained;
use prometheus::IntCounter;

const MEGABYTE: usize = 1024 * 1024;

/// Whether `bytes` can be reserved now.
async fn is_free(buffers: &Buffers, bytes: usize) -> bool {
    let reserve = buffers.reserve(bytes);
    tokio::time::timeout(Duration::from_millis(20), reserve)
        .await
        .is_ok()
}

// Guards against responses that take more memory together than there is for them.
#[tokio::test]
async fn a_reservation_waits_while_others_hold_the_memory() {
    let buffers = Buffers::default();
    let first = buffers.reserve(8 * MEGABYTE).await;
    let second = buffers.reserve(8 * MEGABYTE).await;
    assert!(!is_free(&buffers, 1024).await);
    drop(first);
    assert!(is_free(&buffers, 8 * MEGABYTE).await);
    drop(second);
}

// Guards against a short response without a length that holds the memory of the longest.
#[tokio::test]
async fn bytes_hold_only_their_own_length_until_they_are_dropped() {
    let buffers = Buffers::default();
    let reservation = buffers.reserve(16 * MEGABYTE).await;
    let bytes = reservation.attach(vec![7; MEGABYTE]);
    assert_eq!(bytes.len(), MEGABYTE);
    let part = bytes.slice(10..20);
    drop(bytes);
    assert!(is_free(&buffers, 15 * MEGABYTE).await);
    assert!(!is_free(&buffers, 16 * MEGABYTE).await);
    drop(part);
    assert!(is_free(&buffers, 16 * MEGABYTE).await);
}

// Guards against a request that waits for ever.
#[tokio::test]
async fn more_than_all_memory_counts_as_all() {
    assert!(is_free(&Buffers::default(), usize::MAX).await);
}

/// Memory of `megabytes`, with the counter of bodies that were given up.
fn with_offers(megabytes: u64) -> (Buffers, IntCounter) {
    let given_up = IntCounter::new("given_up", "bodies given up").unwrap();
    let bytes = megabytes * MEGABYTE as u64;
    (Buffers::with_offers(bytes, given_up.clone()), given_up)
}

/// A body of a megabyte that holds its memory.
async fn body(buffers: &Buffers) -> Retained {
    let reservation = buffers.reserve(MEGABYTE).await;
    Retained::new(reservation.attach(vec![7; MEGABYTE]))
}

// Guards against bodies that serve no request but keep others waiting, and against giving up more of them
// than are needed.
#[tokio::test]
async fn the_body_that_was_offered_first_is_given_up_for_a_reservation() {
    let (buffers, given_up) = with_offers(3);
    let bodies = [
        body(&buffers).await,
        body(&buffers).await,
        body(&buffers).await,
    ];
    let _offers = bodies.each_ref().map(|body| buffers.offer("a", body));
    assert!(bodies.iter().all(Retained::is_held));
    let first = buffers.try_reserve(MEGABYTE);
    assert!(first.is_some());
    assert_eq!(
        bodies.each_ref().map(Retained::is_held),
        [false, true, true]
    );
    let second = buffers.reserve(MEGABYTE).await;
    assert_eq!(
        bodies.each_ref().map(Retained::is_held),
        [false, false, true]
    );
    drop((first, second));
    // There is room now.
    assert!(is_free(&buffers, 2 * MEGABYTE).await);
    assert!(bodies[2].is_held());
    assert_eq!(given_up.get(), 2);
}

// Guards against a reservation that waits beside a body that is offered later.
#[tokio::test]
async fn a_body_that_is_offered_while_a_reservation_waits_is_given_up() {
    let (buffers, _given_up) = with_offers(1);
    let body = body(&buffers).await;
    let waiting = buffers.reserve(MEGABYTE);
    let offering = async {
        tokio::task::yield_now().await;
        buffers.offer("a", &body)
    };
    let both = async { tokio::join!(waiting, offering) };
    let both = tokio::time::timeout(Duration::from_secs(1), both).await;
    assert!(both.is_ok());
    assert!(!body.is_held());
}

// Guards against the release of a body whose request has ended or is about to be sent again.
#[tokio::test]
async fn a_body_that_is_no_longer_offered_is_kept() {
    let (buffers, given_up) = with_offers(1);
    let body = body(&buffers).await;
    drop(buffers.offer("a", &body));
    assert!(!is_free(&buffers, MEGABYTE).await);
    assert!(body.is_held());
    assert_eq!(given_up.get(), 0);
}
