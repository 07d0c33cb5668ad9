//! Clients of bookings leave while their requests wait for a connection to a replica.

use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::caller::{Outcome, Request};
use crate::replica::{Answer, Options};
use crate::site::{Route, Site};

/// Time after the close of a client's connection from which an arrival counts.
const LATE: Duration = Duration::from_millis(500);
/// Arrivals that the rule allows: a few.
const FEW: usize = 5;
/// Connections that a replica accepts.
const MAX_CONNECTIONS: u32 = 8;
/// Clients that come at once.
const CLIENTS: usize = 80;
/// Clients of ten that leave.
const LEAVING_OF_TEN: usize = 3;
/// When they leave.
const LEAVES_AFTER: Duration = Duration::from_millis(150);
/// Time that clients and the route allow.
const TIMEOUT: Duration = Duration::from_secs(4);

/// Runs the case.
pub fn run(folder: &Path, has_trouble: bool) -> Option<Verdict> {
    let route = Route {
        name: "order",
        prefix: "/order/",
        kind: "unsafe",
        timeout: TIMEOUT,
        service: "yardbook",
        max_attempts: 1,
    };
    let mut site = Site::start(&[route], MAX_CONNECTIONS)?;
    for id in ["i-one", "i-two"] {
        site.replica(Options {
            id: id.to_owned(),
            service: "yardbook".to_owned(),
            version: "v1".to_owned(),
            zone: "zone-a".to_owned(),
            slots: 6,
            answer: Answer::After(Duration::from_millis(250)),
        })?;
    }
    site.vm("edge-1")?;
    site.settle()?;
    let address = site.vms.first()?.callers;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let record = site.record.clone();
            thread::spawn(move || {
                let request = Request {
                    method: "POST",
                    path: "/order/one",
                    id: format!("booking{client:03}"),
                    deadline: TIMEOUT,
                    session: None,
                    leaves_after: (has_trouble && client % 10 < LEAVING_OF_TEN)
                        .then_some(LEAVES_AFTER),
                };
                record.line(format!("request {} is sent to edge-1", request.id));
                let outcome = request.send(address);
                let closed = record.now();
                record.outcome(&request, &outcome);
                (request.id, outcome == Outcome::Left, closed)
            })
        })
        .collect();
    let ends: Vec<_> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .collect();
    thread::sleep(TIMEOUT);
    let events = site.record.events();
    let mut late = 0;
    for (time, event) in events.iter().filter(|(_, event)| event.what == "arrives") {
        let end = ends
            .iter()
            .find(|(id, has_left, _)| *id == event.request && *has_left);
        let Some((id, _, closed)) = end.filter(|(_, _, closed)| *time > *closed + LATE) else {
            continue;
        };
        late += 1;
        let after = (*time - *closed).as_millis();
        site.record.line(format!(
            "BROKEN: request {id} reached {} {after} ms after its client had closed its connection",
            event.replica
        ));
    }
    site.record
        .line(format!("requests that reached a replica too late: {late}"));
    site.record.write(folder);
    Some(if late > FEW {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
