//! Open connections to the store go silent between two changes of the configuration.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::caller::Request;
use crate::relay::Relay;
use crate::replica::{Answer, Options};
use crate::site::{self, IP, Route, Site};

/// Time in which a configuration is to be in force, from the settings.
const APPLY: Duration = Duration::from_millis(2000);
/// Time after a disruption from which machines are in touch again.
const CONTACT: Duration = Duration::from_millis(3000);
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
    let is_over = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(Mutex::new(Vec::new()));
    for client in 0..CLIENTS.0 * site.vms.len() {
        let address = site.vms.get(client % site.vms.len())?.callers;
        let (record, is_over, sent) = (site.record.clone(), is_over.clone(), sent.clone());
        thread::spawn(move || {
            for number in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let request = Request {
                    method: "GET",
                    path: "/lookup/one",
                    id: format!("c{client:03}{number:05}"),
                    deadline: Duration::from_millis(1500),
                    session: None,
                    leaves_after: None,
                };
                let now = record.now();
                let entry = (now, request.id.clone());
                sent.lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(entry);
                record.line(format!("request {} is sent", request.id));
                let outcome = request.send(address);
                record.outcome(&request, &outcome);
                thread::sleep(CLIENTS.1);
            }
        });
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
    is_over.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(1));
    let in_touch = if has_trouble {
        silent + CONTACT
    } else {
        Duration::ZERO
    };
    let from = in_touch.max(acknowledged + APPLY);
    let sent = sent.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let events = site.record.events();
    let mut late = 0;
    for (time, id) in sent.iter().filter(|(time, _)| *time > from) {
        let runs = events
            .iter()
            .filter(|(_, event)| event.request == *id && event.what == "runs");
        for (_, event) in runs.filter(|(_, event)| event.replica.starts_with("i-old")) {
            late += 1;
            let after = (*time - acknowledged).as_millis();
            let line = format!(
                "BROKEN: request {id}, sent {after} ms after configuration 3 was acknowledged, was run by {}",
                event.replica
            );
            site.record.line(line);
        }
    }
    let line = format!("requests that were run by the old service: {late}");
    site.record.line(line);
    site.record.write(folder);
    Some(if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
