//! Replicas crash while a few of their answers, which have no length, are under way.

use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::caller::{Outcome, Request};
use crate::process::Process;
use crate::replica::{Answer, END_MARK, Options};
use crate::site::{Route, Site};

/// One answer of this number has no length.
const ONE_OF: u64 = 20;
/// Parts of such an answer, and the time between two of them.
const PARTS: (u32, Duration) = (8, Duration::from_millis(100));
/// Clients, each with one request after the other.
const CLIENTS: usize = 400;
/// Number of crashes, of one replica at a time.
const CRASHES: usize = 12;
/// Time between two crashes.
const PAUSE: Duration = Duration::from_secs(4);
/// How long a replica is down.
const DOWN: Duration = Duration::from_secs(2);

fn options(id: &str, service: &str, answer: Answer) -> Options {
    Options {
        id: id.to_owned(),
        service: service.to_owned(),
        version: "v1".to_owned(),
        zone: "zone-a".to_owned(),
        slots: 200,
        answer,
    }
}

/// Runs the case.
pub fn run(folder: &Path, has_trouble: bool) -> Option<Verdict> {
    let route = |name, prefix, service| Route {
        name,
        prefix,
        kind: "safe",
        timeout: Duration::from_secs(5),
        service,
        max_attempts: 2,
    };
    let routes = [
        route("lookup", "/lookup/", "yardbook"),
        route("check", "/check/", "drafter"),
    ];
    let mut site = Site::start(&routes, 1000)?;
    let some = Answer::SomeWithoutLength(ONE_OF, PARTS.0, PARTS.1);
    let others = Answer::After(PARTS.1 * PARTS.0);
    let start = |id: &str, service, answer| Process::start(&site, options(id, service, answer));
    let mut crashing = [
        Some(start("i-desk-1", "yardbook", some)?),
        Some(start("i-desk-2", "yardbook", some)?),
    ];
    let _sound = [
        start("i-desk-3", "yardbook", others)?,
        start("i-desk-4", "yardbook", others)?,
        start("i-draft-1", "drafter", others)?,
    ];
    site.vm("edge-1")?;
    site.vm("edge-2")?;
    site.settle()?;
    let is_over = Arc::new(AtomicBool::new(false));
    let torn = Arc::new(AtomicUsize::new(0));
    let (done, all_done) = mpsc::channel::<()>();
    for client in 0..CLIENTS {
        let address = site.vms.get(client % 2)?.callers;
        let (record, is_over, torn) = (site.record.clone(), is_over.clone(), torn.clone());
        let done = done.clone();
        thread::spawn(move || {
            let _done = done;
            thread::sleep(Duration::from_millis(2) * u32::try_from(client).unwrap_or_default());
            for number in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let request = Request {
                    method: "GET",
                    path: "/lookup/one",
                    id: format!("c{client:03}{number:05}"),
                    deadline: Duration::from_secs(5),
                    session: None,
                    leaves_after: None,
                };
                record.line(format!("request {} is sent", request.id));
                let outcome = request.send(address);
                record.outcome(&request, &outcome);
                if let Outcome::Answered(status, _, body) = &outcome
                    && (200..300).contains(status)
                    && !body.ends_with(END_MARK)
                {
                    record.line(format!(
                        "BROKEN: the answer to {} looks complete and is not",
                        request.id
                    ));
                    torn.fetch_add(1, Ordering::Relaxed);
                }
                thread::sleep(Duration::from_millis(50));
            }
        });
    }
    drop(done);
    for number in 0..CRASHES {
        thread::sleep(PAUSE.saturating_sub(DOWN));
        let place = crashing.get_mut(number % 2)?;
        if has_trouble && let Some(replica) = place.take() {
            replica.end("crashes");
        }
        thread::sleep(DOWN);
        if has_trouble {
            // Each start of a replica is a new incarnation.
            let id = format!("i-desk-{}-{number}", number % 2 + 1);
            *place = Some(Process::start(&site, options(&id, "yardbook", some))?);
        }
    }
    is_over.store(true, Ordering::Relaxed);
    // Fails once all clients have ended.
    let _ = all_done.recv_timeout(Duration::from_secs(10));
    let torn = torn.load(Ordering::Relaxed);
    let line = format!("answers that look complete and are not: {torn}");
    site.record.line(line);
    site.record.write(folder);
    Some(if torn > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
