//! Which upstreams take requests.

use cloverpost_core::directory::{Allowed, Image, Row, State, Upstream, Version, View};

use super::{configuration, order, progress, upstream};

fn row<T>(version: u64, value: T) -> Row<T> {
    Row {
        version: Version::new(version),
        value,
    }
}

fn image(upstreams: &[Upstream]) -> Image {
    let mut image = Image::default();
    let rows = &mut image.upstreams.rows;
    for one in upstreams {
        rows.insert(one.id.to_string(), row(1, one.clone()));
    }
    image
}

fn allowed(image: &Image) -> Allowed {
    let view = View::new(image, &[], &View::default());
    view.pools.values().next().unwrap().allowed.clone()
}

fn mixed() -> Image {
    image(&[
        upstream("i-1", "v1"),
        upstream("i-2", "v1"),
        upstream("i-3", "v2"),
    ])
}

#[test]
fn a_leaving_upstream_gets_no_work() {
    let mut leaving = upstream("i-1", "v1");
    leaving.is_leaving = true;
    let view = View::new(
        &image(&[leaving, upstream("i-2", "v1")]),
        &[],
        &View::default(),
    );
    let pool = view.pools.values().next().unwrap();
    assert_eq!(pool.upstreams.len(), 1);
    assert_eq!(pool.upstreams[0].id.as_str(), "i-2");
}

#[test]
fn one_version_needs_no_rule() {
    assert_eq!(allowed(&image(&[upstream("i-1", "v1")])), Allowed::Any);
}

#[test]
fn a_version_that_appears_before_its_order_waits() {
    // Upstreams of a new version register before this VM has read the order that brings
    // them. A request that they got now would count as exposure to an untested version.
    assert_eq!(allowed(&mixed()), Allowed::Only("v1".parse().unwrap()));
}

#[test]
fn an_order_gives_nothing_to_its_version_until_its_start_is_written() {
    let mut image = mixed();
    image
        .orders
        .rows
        .insert("app".to_owned(), row(7, order("v2")));
    assert_eq!(allowed(&image), Allowed::Except("v2".parse().unwrap()));
}

#[test]
fn the_state_of_an_earlier_order_does_not_count() {
    // A version was reverted and is ordered again. The old state must neither end the new
    // roll-out nor begin it.
    let mut image = mixed();
    image
        .orders
        .rows
        .insert("app".to_owned(), row(9, order("v2")));
    let old = progress("v2", State::Completed, 7);
    image.progress.rows.insert("app".to_owned(), row(8, old));
    assert_eq!(allowed(&image), Allowed::Except("v2".parse().unwrap()));
}

#[test]
fn a_roll_out_ends_with_one_version() {
    let mut image = mixed();
    image
        .orders
        .rows
        .insert("app".to_owned(), row(7, order("v2")));
    let mut with = |state| {
        let state = progress("v2", state, 7);
        image.progress.rows.insert("app".to_owned(), row(8, state));
        allowed(&image)
    };
    assert_eq!(with(State::Completed), Allowed::Only("v2".parse().unwrap()));
    assert_eq!(
        with(State::Reverted),
        Allowed::Except("v2".parse().unwrap())
    );
    assert!(matches!(with(State::InProgress), Allowed::Rollout(_)));
}

#[test]
fn an_upstream_missing_since_an_outage_is_still_used() {
    let lost = upstream("i-9", "v1");
    let view = View::new(&image(&[upstream("i-1", "v1")]), &[&lost], &View::default());
    assert_eq!(view.pools.values().next().unwrap().upstreams.len(), 2);
}

#[test]
fn the_index_is_kept_while_the_configuration_stays() {
    let mut image = mixed();
    let rows = &mut image.configuration.rows;
    rows.insert("config".to_owned(), row(3, configuration(1)));
    let first = View::new(&image, &[], &View::default());
    let second = View::new(&image, &[], &first);
    let (first, second) = (first.index.unwrap(), second.index.unwrap());
    assert!(std::sync::Arc::ptr_eq(&first, &second));
}
