//! A VM is added while a new version is brought in and sessions run on the old one.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::caller::Request;
use crate::replica::{Answer, Options};
use crate::site::{Record, Route, Site};

/// Sessions, each with one request after the other.
const SESSIONS: usize = 300;
/// Pause between two requests of a session.
const PAUSE: Duration = Duration::from_millis(900);
/// Longest time between two requests that belong together, from the settings.
const SESSION_GAP: Duration = Duration::from_secs(5);
/// Time in which the new version is to be brought in.
const DURATION: Duration = Duration::from_secs(24);
/// Time from the order to the start of the VM that is added.
const ADDED_AFTER: Duration = Duration::from_millis(4500);
/// Time from its start after which a machine is in touch.
const CONTACT: Duration = Duration::from_secs(3);
/// Requests on another version that the rule allows.
const ALLOWED: usize = 3;

/// A run of a request, for the check.
#[derive(Clone, Debug)]
struct Run {
    session: usize,
    vm: usize,
    sent: Duration,
    ended: Duration,
    version: String,
}

/// Runs the case.
pub fn run(folder: &Path, has_trouble: bool) -> Option<Verdict> {
    let route = Route {
        name: "sheet",
        prefix: "/sheet/",
        kind: "streaming",
        timeout: Duration::from_secs(15),
        service: "drafter",
        max_attempts: 3,
    };
    let mut site = Site::start(&[route], 310)?;
    let options = |id: String, version: &str| Options {
        id,
        service: "drafter".to_owned(),
        version: version.to_owned(),
        zone: "zone-a".to_owned(),
        slots: 48,
        answer: Answer::Events(3, Duration::from_millis(20)),
    };
    for number in 1..=4 {
        site.replica(options(format!("i-old-{number}"), "v1"))?;
    }
    site.vm("edge-1")?;
    site.vm("edge-2")?;
    site.settle()?;
    let open = Arc::new(Mutex::new(vec![site.vms[0].callers, site.vms[1].callers]));
    let runs = Arc::new(Mutex::new(Vec::<Run>::new()));
    let is_over = Arc::new(AtomicBool::new(false));
    for session in 0..SESSIONS {
        let (record, is_over) = (site.record.clone(), is_over.clone());
        let (open, runs) = (open.clone(), runs.clone());
        thread::spawn(move || run_session(session, &record, &is_over, &open, &runs));
    }
    thread::sleep(Duration::from_secs(4));
    let order = format!(
        "{{\"service\":\"drafter\",\"target\":\"v2\",\"duration_s\":{}}}",
        DURATION.as_secs()
    );
    site.store.put("op", "rollout/drafter", &order);
    let ordered = site.record.now();
    site.record
        .line("the operator ordered v2 of drafter".to_owned());
    for number in 1..=4 {
        site.replica(options(format!("i-new-{number}"), "v2"))?;
    }
    thread::sleep(ADDED_AFTER);
    let mut in_touch = Duration::MAX;
    if has_trouble {
        in_touch = site.record.now() + CONTACT;
        site.vm("edge-3")?;
        let address = site.vms.last()?.callers;
        open.lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(address);
        site.record
            .line("edge-3 is ready and gets connections".to_owned());
    }
    let half = ordered + DURATION / 2;
    thread::sleep(half.saturating_sub(site.record.now()));
    is_over.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(2));
    let runs = runs.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let moved = count_moved(&site.record, runs, half, in_touch);
    let state = site
        .store
        .value("status", "rollout/drafter")
        .unwrap_or_default();
    site.record.line(format!("state of the rollout: {state}"));
    site.record.line(format!(
        "requests of sessions that moved to the new version: {moved}"
    ));
    site.record.write(folder);
    Some(if moved > ALLOWED {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Counts the requests of sessions that moved to the new version before `half`. Those of the added
/// machine count from `in_touch`.
fn count_moved(record: &Record, mut runs: Vec<Run>, half: Duration, in_touch: Duration) -> usize {
    runs.sort_by_key(|run| (run.session, run.sent));
    let mut moved = 0;
    for pair in runs.windows(2) {
        let [before, run] = pair else { continue };
        let is_same_session = before.session == run.session;
        let is_counted = run.vm < 2 || run.sent >= in_touch;
        if is_same_session
            && is_counted
            && run.sent < half
            && run.sent < before.ended + SESSION_GAP
            && before.version == "v1"
            && run.version == "v2"
        {
            moved += 1;
            record.line(format!(
                "BROKEN: session {} ran on v1 until {:.4} s and on v2 by edge-{} at {:.4} s, in the first half of the rollout",
                run.session,
                before.ended.as_secs_f64(),
                run.vm + 1,
                run.sent.as_secs_f64()
            ));
        }
    }
    moved
}

/// Sends the requests of `session`, each to the next of the `open` machines, until the case `is_over`.
fn run_session(
    session: usize,
    record: &Record,
    is_over: &AtomicBool,
    open: &Mutex<Vec<SocketAddr>>,
    runs: &Mutex<Vec<Run>>,
) {
    thread::sleep(Duration::from_millis(3) * u32::try_from(session).unwrap_or_default());
    for number in 0.. {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        let (vm, address) = {
            let open = open.lock().unwrap_or_else(PoisonError::into_inner);
            // Each connection reaches another machine.
            let vm = (session + number) % open.len();
            (vm, open[vm])
        };
        let request = Request {
            method: "POST",
            path: "/sheet/one",
            id: format!("s{session:03}{number:05}"),
            deadline: Duration::from_secs(15),
            session: Some(format!("session-{session}")),
            leaves_after: None,
        };
        let sent = record.now();
        record.line(format!("request {} is sent to edge-{}", request.id, vm + 1));
        let outcome = request.send(address);
        record.outcome(&request, &outcome);
        let events = record.events();
        let ran = events.iter().rev();
        let mut ran = ran.filter(|(_, event)| event.request == request.id);
        if let Some((_, event)) = ran.find(|(_, event)| event.what == "runs") {
            runs.lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(Run {
                    session,
                    vm,
                    sent,
                    ended: record.now(),
                    version: event.version.clone(),
                });
        }
        thread::sleep(PAUSE);
    }
}
