//! A connection between machines goes silent as one of them fetches configurations from another, which
//! come in quick succession, and a machine is added.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::between::Group;
use crate::replica::{Answer, Options};
use crate::site::{self, Polling, Route, Site};

/// Time in which a configuration is to be in force, from the settings.
const APPLY: Duration = Duration::from_secs(2);
/// Number of routes, most of which get no requests.
const ROUTES: usize = 150;
/// Largest number of rounds; the machine that was added is stopped between two.
const ROUNDS: u64 = 4;
/// Number of configurations that come in quick succession, and the time between two of them.
const STORM: (u64, Duration) = (50, Duration::from_millis(80));
/// How many times as long as usual the store takes for answers meanwhile.
const SLOW: u64 = 50;
/// Time from then to the next change.
const CALM: Duration = Duration::from_secs(5);
/// How long clients go on after that change, and how long if it was not in force in time.
const AFTER: Duration = Duration::from_secs(4);
const AFTER_BROKEN: Duration = Duration::from_secs(20);
/// Clients of each VM, and the pause between two requests of one.
const CLIENTS: (usize, Duration) = (2, Duration::from_millis(80));
/// The services between which a route moves, with the prefixes of their replicas' ids.
const SERVICES: [(&str, &str); 2] = [("desk-one", "i-one"), ("desk-two", "i-two")];

/// The machines of the zone by a hash of their names: the first two read the store, the third hears from
/// them.
fn names() -> [&'static str; 3] {
    let mut names = ["edge-1", "edge-2", "edge-3"];
    names.sort_by_key(|name| {
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        hasher.finish()
    });
    names
}

/// The routes, of which the first leads to `service`.
fn routes(service: &'static str, timeout: u64) -> Vec<Route> {
    let route = |number| Route {
        name: format!("route-{number}").leak(),
        prefix: format!("/lookup{number}/").leak(),
        kind: "safe",
        timeout: Duration::from_millis(timeout),
        service: if number == 0 { service } else { "desk-two" },
        max_attempts: 2,
    };
    (0..ROUTES).map(route).collect()
}

fn put(site: &Site, number: u64, service: &'static str) {
    let configuration = site::configuration(number, &routes(service, 800 + number), 110);
    site.store.put("op", "config", &configuration);
    let line =
        format!("the store acknowledged configuration {number}: /lookup0/ leads to {service}");
    site.record.line(line);
}

/// Configurations come in quick succession while `added` starts.
fn storm(
    site: &mut Site,
    first: u64,
    service: &'static str,
    added: &str,
    has_trouble: bool,
) -> Option<()> {
    let group = site.group.clone()?;
    let listed = site.store.count("cloverpost-vms");
    let mut is_armed = false;
    site.store.slow_down(SLOW);
    for number in 0..STORM.0 {
        if number == 5 {
            site.begin_vm(added, "zone-a")?;
        }
        let is_listed = site.store.count("cloverpost-vms") > listed;
        if has_trouble && is_listed && !is_armed {
            is_armed = true;
            group.arm();
        }
        put(site, first + number, service);
        thread::sleep(STORM.1);
    }
    site.store.slow_down(1);
    group.disarm();
    let line = format!(
        "connections between machines that have gone silent: {}",
        group.count_silent()
    );
    site.record.line(line);
    Some(())
}

/// Runs the case.
pub fn run(folder: &Path, has_trouble: bool) -> Option<Verdict> {
    let [first, added, last] = names();
    let mut site = Site::start(&routes(SERVICES[0].0, 800), 110)?;
    let group = Group::new(last);
    site.group = Some(group.clone());
    let line = format!("{last} hears of changes from others while {added} runs");
    site.record.line(line);
    for (service, id) in SERVICES {
        site.replica(Options {
            id: id.to_owned(),
            service: service.to_owned(),
            version: "v1".to_owned(),
            zone: "zone-a".to_owned(),
            slots: 6,
            answer: Answer::After(Duration::from_millis(15)),
        })?;
    }
    site.vm(first)?;
    site.vm(last)?;
    site.begin_vm("edge-4", "zone-b")?;
    site.settle()?;
    let clients = Polling::new(&site.record);
    for client in 0..CLIENTS.0 * 2 {
        let address = site.vms.get(client % 2)?.callers;
        clients.start(client, address, "/lookup0/one", CLIENTS.1);
    }
    thread::sleep(Duration::from_secs(3));
    let mut late = 0;
    for round in 0..ROUNDS {
        let ((old, old_id), (new, _)) = match round % 2 {
            0 => (SERVICES[0], SERVICES[1]),
            _ => (SERVICES[1], SERVICES[0]),
        };
        let number = 2 + round * 100;
        storm(&mut site, number, old, added, has_trouble)?;
        thread::sleep(CALM);
        put(&site, number + 99, new);
        let acknowledged = site.record.now();
        let from = acknowledged + APPLY;
        thread::sleep(AFTER);
        late = site
            .record
            .count_old_runs(&clients.sent(), from, acknowledged, old_id);
        if late > 0 {
            thread::sleep(AFTER_BROKEN);
            late = site
                .record
                .count_old_runs(&clients.sent(), from, acknowledged, old_id);
            break;
        }
        if round + 1 < ROUNDS {
            // It leaves the member list, so that the next one that starts is added again.
            site.vms.pop()?.stop();
            site.record.line(format!("VM {added} has stopped"));
            thread::sleep(Duration::from_secs(1));
        }
    }
    clients.end();
    let line = format!("requests that were run by the old service: {late}");
    site.record.line(line);
    site.record.write(folder);
    if has_trouble && group.count_silent() == 0 {
        return None;
    }
    Some(if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
