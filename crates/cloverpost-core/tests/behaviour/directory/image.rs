//! Updates of a copy of the store's tables.

use cloverpost_core::directory::{Change, Image, Page, Rows, Update, Upstream, Version};
use proptest::prelude::*;

use super::{change, configuration, upstream};

fn page(version: u64, changes: Vec<Change<Upstream>>) -> Page {
    Page {
        rows: Rows::Upstreams(changes),
        version: Version::new(version),
        now_ms: 0,
        unreadable: Vec::new(),
    }
}

fn operators(version: u64, number: u64) -> Page {
    Page {
        rows: Rows::Operators {
            configuration: vec![change("config", version, Some(configuration(number)))],
            orders: Vec::new(),
            evacuations: Vec::new(),
        },
        version: Version::new(version),
        now_ms: 0,
        unreadable: Vec::new(),
    }
}

fn names(image: &Image) -> Vec<&str> {
    image.upstreams.rows.keys().map(String::as_str).collect()
}

#[test]
fn a_feed_adds_and_removes_rows() {
    let mut image = Image::default();
    assert!(image.apply(page(5, vec![change("i-1", 5, Some(upstream("i-1", "v1")))])));
    assert!(image.apply(page(6, vec![change("i-1", 6, None)])));
    assert!(names(&image).is_empty());
}

#[test]
fn a_rewrite_with_the_same_value_is_no_change() {
    let mut image = Image::default();
    image.apply(page(5, vec![change("i-1", 5, Some(upstream("i-1", "v1")))]));
    assert!(!image.apply(page(6, vec![change("i-1", 6, Some(upstream("i-1", "v1")))])));
    assert_eq!(image.upstreams.version, Version::new(6));
}

#[test]
fn a_delayed_feed_does_not_undo_a_peers_update() {
    // A delayed feed must not restore an upstream that a peer has reported as removed.
    let mut image = Image::default();
    image.apply(page(5, vec![change("i-1", 5, Some(upstream("i-1", "v1")))]));
    let mut peer = image.clone();
    peer.apply(page(9, vec![change("i-1", 9, None)]));
    assert!(image.update(peer.since(&image.versions())));
    assert!(!image.apply(page(7, vec![change("i-1", 7, Some(upstream("i-1", "v1")))])));
    assert!(names(&image).is_empty());
}

#[test]
fn an_older_configuration_is_never_restored() {
    let mut image = Image::default();
    image.replace(operators(9, 4));
    assert!(!image.replace(operators(8, 3)));
    assert!(!image.apply(operators(8, 3)));
    assert_eq!(image.configuration.rows["config"].value.number, 4);
}

#[test]
fn configurations_that_were_replaced_are_not_kept() {
    // Guards against memory that grows by a whole configuration with each change.
    let mut image = Image::default();
    for number in 1..400 {
        image.apply(operators(number, number));
    }
    let kept = image.configuration.superseded.of("config").count();
    assert_eq!(kept, 0);
}

#[test]
fn a_peer_gets_only_the_tables_that_it_lacks() {
    let mut image = Image::default();
    image.apply(page(4, vec![change("i-0", 4, Some(upstream("i-0", "v1")))]));
    let mut versions = image.versions();
    image.apply(page(5, vec![change("i-1", 5, Some(upstream("i-1", "v1")))]));
    let update = image.since(&versions);
    let rows = update.upstreams.unwrap().changes;
    assert_eq!(rows, [change("i-1", 5, Some(upstream("i-1", "v1")))]);
    versions.upstreams = Version::new(5);
    assert_eq!(image.since(&versions), Update::default());
}

#[test]
fn a_table_without_a_change_is_not_sent_again() {
    // Guards against resending unchanged tables: the version up to which a copy is complete
    // advances with changes of other tables too.
    let mut image = Image::default();
    image.replace(operators(3, 1));
    image.replace(page(3, vec![change("i-1", 3, Some(upstream("i-1", "v1")))]));
    let peer = image.clone();
    image.apply(Page {
        version: Version::new(9),
        rows: Rows::Operators {
            configuration: Vec::new(),
            orders: Vec::new(),
            evacuations: Vec::new(),
        },
        ..operators(9, 1)
    });
    image.apply(page(9, Vec::new()));
    assert_eq!(image.versions().orders, Version::new(9));
    assert_eq!(image.changes().orders, Version::new(3));
    assert_eq!(image.versions().upstreams, Version::new(9));
    assert_eq!(image.changes().upstreams, Version::new(3));
    assert_eq!(image.versions().configuration, configuration(1).version());
    assert_eq!(image.changes().configuration, configuration(1).version());
    assert!(!peer.versions().is_older_than(&image.changes()));
    let update = image.since(&peer.versions());
    assert_eq!(update.configuration, configuration(1).version());
    assert_eq!((update.orders, update.upstreams), (None, None));
}

/// Steps of the store: the key of an upstream, and whether it is listed after the step.
fn history() -> impl Strategy<Value = Vec<(u8, bool)>> {
    prop::collection::vec((0_u8..4, any::<bool>()), 1..30)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    // After any interleaving of feed pages and peers' updates, the copy equals the store at the
    // copy's version.
    #[test]
    fn any_order_of_updates_converges_to_the_store(history in history(), order in prop::collection::vec(any::<prop::sample::Index>(), 0..40)) {
        let mut store = Image::default();
        let mut states = vec![store.clone()];
        let mut pages = Vec::new();
        for (step, (key, listed)) in history.iter().enumerate() {
            let version = step as u64 + 1;
            let key = format!("i-{key}");
            let value = listed.then(|| upstream(&key, "v1"));
            let page = page(version, vec![change(&key, version, value)]);
            store.apply(page.clone());
            pages.push(page);
            states.push(store.clone());
        }
        let mut copy = Image::default();
        let mut seen = 0;
        for pick in order {
            // The feed resumes at the copy's position; a peer's copy may be of any version.
            let at = pick.index(states.len());
            if at % 2 == 0 {
                copy.update(states[at].since(&copy.versions()));
            } else if seen < pages.len() {
                copy.apply(pages[seen].clone());
                seen += 1;
            }
            let version = usize::try_from(copy.upstreams.version.counter()).unwrap();
            prop_assert_eq!(copy.upstreams.version, states[version].upstreams.version);
            prop_assert_eq!(&copy.upstreams.rows, &states[version].upstreams.rows);
        }
    }
}
