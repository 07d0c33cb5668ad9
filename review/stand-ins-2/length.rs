//! All replicas crash while answers without a length are under way.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::caller::{Outcome, Request};
use crate::replica::{self, Answer, END_MARK, Event, Options, Sink};
use crate::site::{IP, Route, Site};

/// Parts of an answer without a length, and the time between two of them.
const PARTS: (u32, Duration) = (10, Duration::from_millis(80));
/// Clients, each with one request after the other.
const CLIENTS: usize = 16;
/// How long clients send before the replicas crash.
const BEFORE: Duration = Duration::from_secs(4);
/// How long the replicas are down.
const AFTER: Duration = Duration::from_secs(2);

/// A replica in a process of its own.
struct Process {
    id: &'static str,
    child: Child,
}

impl Process {
    fn start(site: &Site, id: &'static str, service: &str, answer: &str) -> Option<Self> {
        let mut child = Command::new(std::env::current_exe().ok()?)
            .args(["replica", id, service, answer])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .ok()?;
        let mut lines = BufReader::new(child.stdout.take()?).lines();
        let address: SocketAddr = lines.next()?.ok()?.parse().ok()?;
        let record = site.record.clone();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                record.line(format!("{line} at replica {id}"));
            }
        });
        replica::register(&site.store, &options(id, service, answer), address, false, 1);
        site.record.line(format!("replica {id} of {service} listens at {address}"));
        Some(Self { id, child })
    }

    fn kill(&mut self, site: &Site) {
        let _ = self.child.kill();
        site.record.line(format!("replica {} crashes", self.id));
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn options(id: &str, service: &str, answer: &str) -> Options {
    Options {
        id: id.to_owned(),
        service: service.to_owned(),
        version: "v1".to_owned(),
        zone: "zone-a".to_owned(),
        slots: 48,
        answer: match answer {
            "parts" => Answer::WithoutLength(PARTS.0, PARTS.1),
            _ => Answer::Events(10, Duration::from_millis(50)),
        },
    }
}

/// Serves as a replica until the process is killed.
pub fn run_replica(words: &[&str]) {
    let [id, service, answer] = words else {
        return;
    };
    let Ok(listener) = TcpListener::bind((IP, 0)) else {
        return;
    };
    if let Ok(address) = listener.local_addr() {
        println!("{address}");
    }
    let sink: Sink = Arc::new(|event: Event| println!("request {} {}", event.request, event.what));
    replica::serve(&listener, &Arc::new(options(id, service, answer)), &sink);
}

/// Runs the case.
pub fn run(folder: &Path, has_trouble: bool) -> Option<Verdict> {
    let route = |name, prefix, kind, service| Route {
        name,
        prefix,
        kind,
        timeout: Duration::from_secs(5),
        service,
        max_attempts: 2,
    };
    let routes = [
        route("lookup", "/lookup/", "safe", "yardbook"),
        route("sheet", "/sheet/", "streaming", "drafter"),
    ];
    let mut site = Site::start(&routes, 110)?;
    let mut replicas = vec![
        Process::start(&site, "i-desk-1", "yardbook", "parts")?,
        Process::start(&site, "i-desk-2", "yardbook", "parts")?,
        Process::start(&site, "i-draft-1", "drafter", "events")?,
        Process::start(&site, "i-draft-2", "drafter", "events")?,
    ];
    site.vm("edge-1")?;
    site.vm("edge-2")?;
    site.settle()?;
    let is_over = Arc::new(AtomicBool::new(false));
    let torn = Arc::new(Mutex::new(0_usize));
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let address = site.vms.get(client % 2)?.callers;
        let (record, is_over, torn) = (site.record.clone(), is_over.clone(), torn.clone());
        clients.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(50) * u32::try_from(client).unwrap_or_default());
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
                    *torn.lock().unwrap_or_else(PoisonError::into_inner) += 1;
                }
                thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    thread::sleep(BEFORE);
    if has_trouble {
        for replica in &mut replicas {
            replica.kill(&site);
        }
    }
    thread::sleep(AFTER);
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let torn = *torn.lock().unwrap_or_else(PoisonError::into_inner);
    site.record.line(format!("answers that look complete and are not: {torn}"));
    site.record.write(folder);
    Some(if torn > 0 { Verdict::Broken } else { Verdict::Held })
}
