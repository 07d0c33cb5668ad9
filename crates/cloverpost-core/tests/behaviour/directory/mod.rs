//! Copies of the store's tables and the indexes over them.

mod assembly;
mod fetch;
mod fleet;
mod image;
mod index;
mod restore;
mod table;
mod view;
mod watchers;

use std::time::Duration;

use cloverpost_core::directory::{
    Change, Configuration, Destination, Kind, Order, Organisation, Progress, Route, State,
    Upstream, Version,
};

pub fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.parse().unwrap(),
        host: "a.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: Kind::Idempotent,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(300),
        target_gap: None,
        priority: 0,
        models: Vec::new(),
        destinations: vec![Destination {
            service: "app".parse().unwrap(),
            weight: 1,
        }],
        max_attempts: 2,
        is_public: false,
    }
}

pub fn configuration(number: u64) -> Configuration {
    Configuration {
        number,
        routes: vec![route("short", "/a/"), route("long", "/a/b/")],
        organisations: vec![Organisation {
            name: "court".parse().unwrap(),
            keys: vec!["key-1".to_owned()],
            priority: Some(1),
        }],
        ..Configuration::default()
    }
}

pub fn upstream(id: &str, version: &str) -> Upstream {
    Upstream {
        id: id.parse().unwrap(),
        service: "app".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "a".parse().unwrap(),
        version: version.parse().unwrap(),
        slots: 4,
        born_ms: None,
        cold: Duration::ZERO,
        is_leaving: false,
    }
}

pub fn order(target: &str) -> Order {
    Order {
        service: "app".parse().unwrap(),
        target: target.parse().unwrap(),
        duration: Duration::from_secs(20),
    }
}

pub fn progress(target: &str, state: State, order: u64) -> Progress {
    Progress {
        service: "app".parse().unwrap(),
        target: target.parse().unwrap(),
        state,
        base: None,
        order: Version::new(order),
        rollout: Version::new(order),
        started_ms: 1_000,
        ordered_ms: 1_000,
    }
}

pub fn change<T>(key: &str, version: u64, value: Option<T>) -> Change<T> {
    Change {
        key: key.to_owned(),
        version: Version::new(version),
        value,
    }
}
