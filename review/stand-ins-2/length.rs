//! All replicas crash at once while a few of their answers, which have no length, are under way.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
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
const PARTS: (u32, Duration) = (8, Duration::from_millis(500));
/// Clients, each with one request.
const CLIENTS: usize = 400;
/// Time from the first request to the crash, at which no answer has ended.
const BEFORE: Duration = Duration::from_millis(2200);
/// Time that clients and routes allow.
const TIMEOUT: Duration = Duration::from_secs(8);

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
        timeout: TIMEOUT,
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
    let replicas = vec![
        start("i-desk-1", "yardbook", some)?,
        start("i-desk-2", "yardbook", some)?,
        start("i-desk-3", "yardbook", others)?,
        start("i-desk-4", "yardbook", others)?,
        start("i-draft-1", "drafter", others)?,
        start("i-draft-2", "drafter", others)?,
    ];
    site.vm("edge-1")?;
    site.vm("edge-2")?;
    site.settle()?;
    let torn = Arc::new(AtomicUsize::new(0));
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let address = site.vms.get(client % 2)?.callers;
        let (record, torn) = (site.record.clone(), torn.clone());
        clients.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(2) * u32::try_from(client).unwrap_or_default());
            let request = Request {
                method: "GET",
                path: "/lookup/one",
                id: format!("c{client:03}"),
                deadline: TIMEOUT,
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
                let line = format!(
                    "BROKEN: the answer to {} looks complete and is not",
                    request.id
                );
                record.line(line);
                torn.fetch_add(1, Ordering::Relaxed);
            }
        }));
    }
    thread::sleep(BEFORE);
    if has_trouble {
        Process::end_all(replicas, "crashes");
    }
    for client in clients {
        let _ = client.join();
    }
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
