//! Open connections to the store go silent between two changes of the configuration.

use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::relay::Relay;
use crate::replica::{Answer, Options};
use crate::site::{self, IP, Polling, Route, Site};

/// Time in which a configuration is to be in force, from the settings.
const APPLY: Duration = Duration::from_secs(2);
/// Time after a disruption from which machines are in touch again.
const CONTACT: Duration = Duration::from_secs(3);
/// Time from the first change to the silence.
const SILENT_AFTER: Duration = Duration::from_millis(400);
/// Time from the silence to the second change.
const CHANGED_AFTER: Duration = Duration::from_millis(700);
/// How long clients go on after the second change.
const AFTER: Duration = Duration::from_secs(6);
/// Clients of each VM, and the pause between two requests of one.
const CLIENTS: (usize, Duration) = (4, Duration::from_millis(40));

/// Runs the case.
pub fn run(folder: &Path, has_trouble: bool) -> Option<Verdict> {
    let route = |service, timeout| Route {
        name: "lookup",
        prefix: "/lookup/",
        kind: "safe",
        timeout: Duration::from_millis(timeout),
        service,
        max_attempts: 2,
    };
    let other = || Route {
        name: "check",
        prefix: "/check/",
        ..route("desk-new", 800)
    };
    let mut site = Site::start(&[route("desk-old", 800), other()], 110)?;
    for (id, service) in [
        ("i-old-1", "desk-old"),
        ("i-old-2", "desk-old"),
        ("i-new-1", "desk-new"),
        ("i-new-2", "desk-new"),
    ] {
        site.replica(Options {
            id: id.to_owned(),
            service: service.to_owned(),
            version: "v1".to_owned(),
            zone: "zone-a".to_owned(),
            slots: 6,
            answer: Answer::After(Duration::from_millis(15)),
        })?;
    }
    let relay = Relay::start(IP, site.store.address).ok()?;
    site.store_address = relay.address;
    for name in ["edge-1", "edge-2", "edge-3"] {
        site.vm(name)?;
    }
    site.settle()?;
    let clients = Polling::new(&site.record);
    for client in 0..CLIENTS.0 * site.vms.len() {
        let address = site.vms.get(client % site.vms.len())?.callers;
        clients.start(client, address, "/lookup/one", CLIENTS.1);
    }
    thread::sleep(Duration::from_secs(4));
    let put = |number, routes: &[Route]| {
        let configuration = site::configuration(number, routes, 110);
        site.store.put("op", "config", &configuration);
        let line = format!("the store acknowledged configuration {number}");
        site.record.line(line);
    };
    put(2, &[route("desk-old", 900), other()]);
    thread::sleep(SILENT_AFTER);
    let silent = site.record.now();
    if has_trouble {
        relay.silence();
        let line = "the open connections to the store go silent; new ones work";
        site.record.line(line.to_owned());
    }
    thread::sleep(CHANGED_AFTER);
    put(3, &[route("desk-new", 900), other()]);
    let acknowledged = site.record.now();
    thread::sleep(AFTER);
    let sent = clients.end();
    let in_touch = if has_trouble {
        silent + CONTACT
    } else {
        Duration::ZERO
    };
    let from = in_touch.max(acknowledged + APPLY);
    let late = site
        .record
        .count_old_runs(&sent, from, acknowledged, "i-old");
    let line = format!("requests that were run by the old service: {late}");
    site.record.line(line);
    site.record.write(folder);
    Some(if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
