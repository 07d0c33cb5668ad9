//! Upstreams and versions that may receive requests.

use cloverpost_core::directory::{
    self, Allowed, Destination, Exceptions, Image, Processes, Route, Row, State, Upstream, Version,
    View,
};

use super::{configuration, order, progress, route, upstream};

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
    let view = View::new(image, &Exceptions::default(), &View::default());
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
        &Exceptions::default(),
        &View::default(),
    );
    let pool = view.pools.values().next().unwrap();
    assert_eq!(pool.upstreams.len(), 1);
    assert_eq!(pool.upstreams[0].id.as_str(), "i-2");
}

#[test]
fn a_single_version_is_unrestricted() {
    assert_eq!(allowed(&image(&[upstream("i-1", "v1")])), Allowed::Any);
}

#[test]
fn a_new_version_gets_no_requests_before_its_order() {
    // Until the rollout has started, nothing limits the share of requests for a new version.
    assert_eq!(allowed(&mixed()), Allowed::Only("v1".parse().unwrap()));
}

#[test]
fn a_version_gets_no_requests_until_its_roll_out_has_started() {
    let mut image = mixed();
    image
        .orders
        .rows
        .insert("app".to_owned(), row(7, order("v2")));
    assert_eq!(allowed(&image), Allowed::Except("v2".parse().unwrap()));
}

#[test]
fn the_state_of_an_earlier_order_is_ignored() {
    // A reverted version is ordered again: its old state must neither end nor start the new
    // rollout.
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
fn the_state_of_a_roll_out_selects_the_versions() {
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
    let exceptions = Exceptions {
        retained: vec![&lost],
        ..Exceptions::default()
    };
    let image = image(&[upstream("i-1", "v1")]);
    let view = View::new(&image, &exceptions, &View::default());
    assert_eq!(view.pools.values().next().unwrap().upstreams.len(), 2);
}

#[test]
fn an_upstream_that_is_withheld_gets_no_work() {
    let exceptions = Exceptions {
        withheld: ["i-1"].into(),
        ..Exceptions::default()
    };
    let image = image(&[upstream("i-1", "v1"), upstream("i-2", "v1")]);
    let view = View::new(&image, &exceptions, &View::default());
    let pool = view.pools.values().next().unwrap();
    assert_eq!(pool.upstreams.len(), 1);
    assert_eq!(pool.upstreams[0].id.as_str(), "i-2");
}

#[test]
fn the_index_is_reused_while_the_configuration_is_unchanged() {
    let mut image = mixed();
    let rows = &mut image.configuration.rows;
    rows.insert("config".to_owned(), row(3, configuration(1)));
    let first = View::new(&image, &Exceptions::default(), &View::default());
    let second = View::new(&image, &Exceptions::default(), &first);
    let (first, second) = (first.index.unwrap(), second.index.unwrap());
    assert!(std::sync::Arc::ptr_eq(&first, &second));
}

/// Ids of the upstreams that `processes` reports as restarted after a view of `upstreams`.
fn restarted(processes: &mut Processes, upstreams: &[Upstream]) -> Vec<String> {
    let view = View::new(&image(upstreams), &Exceptions::default(), &View::default());
    let found = processes.update(&view);
    found.iter().map(|one| one.id.to_string()).collect()
}

#[test]
fn an_id_with_another_start_or_address_is_another_process() {
    let born = |id: &str, born_ms| Upstream {
        born_ms,
        ..upstream(id, "v1")
    };
    let mut seen = Processes::default();
    let (one, other) = (born("i-1", Some(5)), born("i-2", None));
    assert!(restarted(&mut seen, &[one.clone(), other.clone()]).is_empty());
    assert!(restarted(&mut seen, &[one.clone(), other.clone()]).is_empty());
    let again = born("i-1", Some(9));
    assert_eq!(restarted(&mut seen, &[again, other.clone()]), ["i-1"]);
    let mut moved = other;
    moved.address = "10.9.9.9:1".parse().unwrap();
    assert_eq!(restarted(&mut seen, &[moved]), ["i-2"]);
    // `i-1` was absent from the previous view.
    assert_eq!(restarted(&mut seen, &[one]), ["i-1"]);
}

/// Upstreams of three versions, after a rollout of v2 in `state` and with an order for v3.
fn ordered_again(state: State) -> Image {
    let mut image = image(&[
        upstream("i-1", "v1"),
        upstream("i-2", "v2"),
        upstream("i-3", "v3"),
    ]);
    let orders = &mut image.orders.rows;
    orders.insert("app".to_owned(), row(9, order("v3")));
    let mut before = progress("v2", state, 7);
    before.base = Some("v1".parse().unwrap());
    image.progress.rows.insert("app".to_owned(), row(8, before));
    image
}

#[test]
fn an_abandoned_version_gets_no_requests_after_the_next_order() {
    // Sessions that moved to a newer version must not return to an older one that is still listed.
    let completed = ordered_again(State::Completed);
    assert_eq!(allowed(&completed), Allowed::Only("v2".parse().unwrap()));
    // The reverted version must not be used.
    let reverted = ordered_again(State::Reverted);
    assert_eq!(allowed(&reverted), Allowed::Only("v1".parse().unwrap()));
    let cut_short = ordered_again(State::InProgress);
    assert_eq!(allowed(&cut_short), Allowed::Except("v3".parse().unwrap()));
}

#[test]
fn a_version_without_upstreams_is_not_the_base() {
    let mut image = ordered_again(State::Completed);
    image.upstreams.rows.remove("i-2");
    assert_eq!(allowed(&image), Allowed::Except("v3".parse().unwrap()));
}

#[test]
fn a_roll_out_in_progress_has_its_recorded_base() {
    let mut image = ordered_again(State::Completed);
    let mut next = progress("v3", State::InProgress, 9);
    next.base = Some("v2".parse().unwrap());
    image.progress.rows.insert("app".to_owned(), row(10, next));
    let Allowed::Rollout(rollout) = allowed(&image) else {
        panic!("no roll-out");
    };
    assert_eq!(rollout.base, Some("v2".parse().unwrap()));
}

#[test]
fn a_reverted_version_gets_no_requests_after_the_next_order() {
    // The first rollout is reverted, and the next order arrives while the failed version is still
    // listed. The base is then the version that most upstreams run.
    let mut image = ordered_again(State::Reverted);
    let upstreams = &mut image.upstreams.rows;
    upstreams.insert("i-4".to_owned(), row(1, upstream("i-4", "v1")));
    let mut before = progress("v2", State::Reverted, 7);
    before.base = None;
    image.progress.rows.insert("app".to_owned(), row(8, before));
    assert_eq!(allowed(&image), Allowed::Only("v1".parse().unwrap()));
    assert_eq!(
        directory::base(&image, &order("v3")),
        Some("v1".parse().unwrap())
    );
}

#[test]
fn the_first_roll_out_uses_the_most_common_version_as_base() {
    let found = directory::base(&mixed(), &order("v2"));
    assert_eq!(found, Some("v1".parse().unwrap()));
    let found = directory::base(&image(&[upstream("i-1", "v2")]), &order("v2"));
    assert_eq!(found, None);
}

#[test]
fn a_pool_lists_upstreams_missing_from_another() {
    let view = |upstreams: &[Upstream]| {
        View::new(&image(upstreams), &Exceptions::default(), &View::default())
    };
    let one = view(&[upstream("i-1", "v1"), upstream("i-2", "v1")]);
    let other = view(&[upstream("i-2", "v1"), upstream("i-3", "v1")]);
    let pool = |view: &View| view.pools.values().next().unwrap().clone();
    let ids = |pool: &directory::Pool, other: Option<&directory::Pool>| -> Vec<String> {
        pool.difference(other)
            .map(|one| one.id.to_string())
            .collect()
    };
    assert_eq!(ids(&pool(&one), Some(&pool(&other))), ["i-1"]);
    assert_eq!(ids(&pool(&other), Some(&pool(&one))), ["i-3"]);
    assert_eq!(ids(&pool(&one), None), ["i-1", "i-2"]);
}

#[test]
fn destinations_share_requests_by_the_largest_weights() {
    // Guards against a sum of weights that wraps around.
    let destination = |service: &str| Destination {
        service: service.parse().unwrap(),
        weight: u32::MAX,
    };
    let route = Route {
        destinations: vec![destination("app"), destination("other")],
        ..route("r", "/r/")
    };
    let at = |point| route.destination(point).unwrap().service.as_str();
    assert_eq!((at(0.25), at(0.75)), ("app", "other"));
}
