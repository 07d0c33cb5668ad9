//! A replica leaves while more streams are asked for than the VM has connections for.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::caller::{Outcome, Request};
use crate::process::Process;
use crate::replica::{Answer, Options};
use crate::site::{Route, Site};

/// Bound on requests to a replica that leaves, from the settings.
const DRAIN: Duration = Duration::from_secs(2);
/// Connections that a replica accepts.
const MAX_CONNECTIONS: u32 = 16;
/// Clients, each with one stream after the other.
const CLIENTS: usize = 110;
/// Time between the first streams of two clients.
const CLIENT_GAP: Duration = Duration::from_millis(45);
/// Events of a stream, and the time between two of them.
const EVENTS: (u32, Duration) = (40, Duration::from_millis(100));
/// How long clients send before the replica leaves.
const BEFORE: Duration = Duration::from_secs(12);
/// How long the replica goes on serving: longer than a stream that reaches it in time.
const LEAVES_AFTER: Duration = Duration::from_millis(6200);
/// How long clients wait then.
const AFTER: Duration = Duration::from_secs(3);

/// Runs the case.
pub fn run(folder: &Path, has_trouble: bool) -> Option<Verdict> {
    let route = Route {
        name: "sheet",
        prefix: "/sheet/",
        kind: "once",
        timeout: Duration::from_secs(15),
        service: "drafter",
        max_attempts: 3,
    };
    let mut site = Site::start(&[route], MAX_CONNECTIONS)?;
    let options = |id: &str| Options {
        id: id.to_owned(),
        service: "drafter".to_owned(),
        version: "v1".to_owned(),
        zone: "zone-a".to_owned(),
        slots: 48,
        answer: Answer::Events(EVENTS.0, EVENTS.1),
    };
    let leaver = Process::start(&site, options("i-leaver"))?;
    let _stayer = Process::start(&site, options("i-stayer"))?;
    site.vm("edge-1")?;
    site.settle()?;
    let address = site.vms.first()?.callers;
    let is_over = Arc::new(AtomicBool::new(false));
    let cut = Arc::new(Mutex::new(Vec::new()));
    for client in 0..CLIENTS {
        let (record, is_over, cut) = (site.record.clone(), is_over.clone(), cut.clone());
        thread::spawn(move || {
            thread::sleep(CLIENT_GAP * u32::try_from(client).unwrap_or_default());
            for number in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let request = Request {
                    method: "POST",
                    path: "/sheet/one",
                    id: format!("c{client:03}{number:05}"),
                    deadline: Duration::from_secs(15),
                    session: None,
                    leaves_after: None,
                };
                record.line(format!("request {} is sent to edge-1", request.id));
                let outcome = request.send(address);
                record.outcome(&request, &outcome);
                if matches!(outcome, Outcome::Cut(_) | Outcome::None) {
                    let mut cut = cut.lock().unwrap_or_else(PoisonError::into_inner);
                    cut.push(request.id);
                }
                thread::sleep(Duration::from_millis(300));
            }
        });
    }
    thread::sleep(BEFORE);
    if has_trouble {
        leaver.drain();
    }
    let acknowledged = site.record.now();
    if has_trouble {
        let line = "the store acknowledged that i-leaver is draining";
        site.record.line(line.to_owned());
    }
    thread::sleep(LEAVES_AFTER);
    if has_trouble {
        leaver.end("exits");
    }
    thread::sleep(AFTER);
    is_over.store(true, Ordering::Relaxed);
    let events = site.record.events();
    let late = events.iter().filter(|(time, event)| {
        has_trouble
            && event.what == "arrives"
            && event.replica == "i-leaver"
            && *time > acknowledged + DRAIN
    });
    let late: Vec<_> = late.collect();
    let cut = cut.lock().unwrap_or_else(PoisonError::into_inner).clone();
    for (time, event) in &late {
        let after = time.saturating_sub(acknowledged).as_millis();
        let lost = if cut.contains(&event.request) {
            ", and its answer broke off as the replica exited"
        } else {
            ""
        };
        let line = format!(
            "BROKEN: request {} reached i-leaver {after} ms after the acknowledgement{lost}",
            event.request
        );
        site.record.line(line);
    }
    let line = format!("requests that reached i-leaver too late: {}", late.len());
    site.record.line(line);
    site.record.write(folder);
    Some(if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
