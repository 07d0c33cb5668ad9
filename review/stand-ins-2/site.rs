//! A small deployment and the record of what happens there.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::between::Group;
use crate::caller::{HOST, Outcome, Request};
use crate::replica::{Event, Options, Replica, Sink};
use crate::store::Store;
use crate::vm::Vm;

/// Address of all parts.
pub const IP: &str = "127.0.0.1";

/// Lines of the record, with what the checks need.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
    events: Arc<Mutex<Vec<(Duration, Event)>>>,
}

impl Record {
    fn new() -> Self {
        Self {
            started: Instant::now(),
            lines: Arc::default(),
            events: Arc::default(),
        }
    }

    /// Time since the case began.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Adds a line.
    pub fn line(&self, text: String) {
        lock(&self.lines).push((self.now(), text));
    }

    /// Adds what a replica tells.
    pub fn event(&self, event: Event) {
        let now = self.now();
        let text = format!(
            "request {} {} at replica {} ({}) {}",
            event.request, event.what, event.replica, event.version, event.session
        );
        lock(&self.lines).push((now, text));
        lock(&self.events).push((now, event));
    }

    /// Adds what a client got.
    pub fn outcome(&self, request: &Request, outcome: &Outcome) {
        let text = match outcome {
            Outcome::Answered(status, stamp, body) => {
                let end = body.len().saturating_sub(24);
                let end = body.get(end..).unwrap_or_default().replace('\n', " ");
                format!(
                    "{status}, stamp '{stamp}', {} bytes, the last: '{end}'",
                    body.len()
                )
            }
            Outcome::Cut(status) => format!("{status}, which breaks off"),
            Outcome::None => "no answer".to_owned(),
            Outcome::Left => "nothing and has left".to_owned(),
        };
        self.line(format!("the client of {} got {text}", request.id));
    }

    /// What replicas told so far.
    pub fn events(&self) -> Vec<(Duration, Event)> {
        lock(&self.events).clone()
    }

    /// Counts the runs at replicas `prefix*` of the requests in `sent`, by time and id, that were sent
    /// later than `from`, and adds a line for each. The change that rules them out was `acknowledged`.
    pub fn count_old_runs(
        &self,
        sent: &[(Duration, String)],
        from: Duration,
        acknowledged: Duration,
        prefix: &str,
    ) -> usize {
        let events = self.events();
        let mut count = 0;
        for (time, id) in sent.iter().filter(|(time, _)| *time > from) {
            let runs = events
                .iter()
                .filter(|(_, event)| event.request == *id && event.what == "runs");
            for (_, event) in runs.filter(|(_, event)| event.replica.starts_with(prefix)) {
                count += 1;
                let after = time.saturating_sub(acknowledged).as_millis();
                self.line(format!(
                    "BROKEN: request {id}, sent {after} ms after the change was acknowledged, was run by {}",
                    event.replica
                ));
            }
        }
        count
    }

    /// Writes `record.txt` to `folder`.
    pub fn write(&self, folder: &Path) {
        let mut lines = lock(&self.lines).clone();
        lines.sort();
        let lines: Vec<_> = lines
            .into_iter()
            .map(|(time, text)| format!("{:9.4} s  {text}\n", time.as_secs_f64()))
            .collect();
        let _ = fs::write(folder.join("record.txt"), lines.concat());
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Clients that send one request after the other until the end of the case.
pub struct Polling {
    record: Record,
    sent: Arc<Mutex<Vec<(Duration, String)>>>,
    is_over: Arc<AtomicBool>,
}

impl Polling {
    /// Creates a group without clients.
    pub fn new(record: &Record) -> Self {
        Self {
            record: record.clone(),
            sent: Arc::default(),
            is_over: Arc::default(),
        }
    }

    /// Starts the client `number`, which asks the VM at `address` for `path` with `pause` between an
    /// answer and the next request.
    pub fn start(&self, number: usize, address: SocketAddr, path: &'static str, pause: Duration) {
        let (record, is_over) = (self.record.clone(), self.is_over.clone());
        let sent = self.sent.clone();
        thread::spawn(move || {
            for count in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let request = Request {
                    method: "GET",
                    path,
                    id: format!("c{number:03}{count:05}"),
                    deadline: Duration::from_millis(1500),
                    session: None,
                    leaves_after: None,
                };
                lock(&sent).push((record.now(), request.id.clone()));
                record.line(format!("request {} is sent to {address}", request.id));
                let outcome = request.send(address);
                record.outcome(&request, &outcome);
                thread::sleep(pause);
            }
        });
    }

    /// Times and ids of the requests so far.
    pub fn sent(&self) -> Vec<(Duration, String)> {
        lock(&self.sent).clone()
    }

    /// Ends the clients. Returns the times and ids of their requests.
    pub fn end(self) -> Vec<(Duration, String)> {
        self.is_over.store(true, Ordering::Relaxed);
        thread::sleep(Duration::from_secs(1));
        self.sent()
    }
}

/// A store, replicas and VMs.
pub struct Site {
    /// The record.
    pub record: Record,
    /// The store.
    pub store: Store,
    /// Where VMs reach the store.
    pub store_address: SocketAddr,
    /// Relays between the VMs, if there are any.
    pub group: Option<Group>,
    /// The VMs.
    pub vms: Vec<Vm>,
    files: PathBuf,
}

/// A route of the configuration.
pub struct Route {
    /// Name.
    pub name: &'static str,
    /// Prefix of its paths.
    pub prefix: &'static str,
    /// `safe`, `unsafe`, `streaming`, or `once`: streaming and not to be resumed.
    pub kind: &'static str,
    /// Longest time for an answer.
    pub timeout: Duration,
    /// Service that it leads to.
    pub service: &'static str,
    /// Number of replicas that may get an attempt.
    pub max_attempts: u32,
}

impl Site {
    /// Starts a store with a configuration of `routes`, whose services accept `max_connections` at each
    /// replica.
    pub fn start(routes: &[Route], max_connections: u32) -> Option<Self> {
        let files = std::env::temp_dir().join(format!("cloverpost-case-{}", std::process::id()));
        fs::create_dir_all(&files).ok()?;
        let store = Store::start(IP).ok()?;
        let configuration = configuration(1, routes, max_connections);
        store.put("op", "config", &configuration);
        Some(Self {
            record: Record::new(),
            store_address: store.address,
            store,
            group: None,
            vms: Vec::new(),
            files,
        })
    }

    /// Starts a replica in this process.
    pub fn replica(&self, options: Options) -> Option<Replica> {
        let record = self.record.clone();
        let sink: Sink = Arc::new(move |event| record.event(event));
        let replica = Replica::start(IP, &self.store, options, sink).ok()?;
        let id = &replica.options.id;
        self.record
            .line(format!("replica {id} listens at {}", replica.address));
        Some(replica)
    }

    /// Starts a VM and waits until it is ready.
    pub fn vm(&mut self, name: &str) -> Option<()> {
        self.begin_vm(name, "zone-a")?;
        self.vms.last()?.wait_until_ready().then_some(())
    }

    /// Starts a VM in `zone`.
    pub fn begin_vm(&mut self, name: &str, zone: &str) -> Option<()> {
        let vm = Vm::start(
            &self.files,
            name,
            zone,
            self.store_address,
            self.group.as_ref(),
        )
        .ok()?;
        self.record
            .line(format!("VM {name} started for clients at {}", vm.callers));
        self.vms.push(vm);
        Some(())
    }

    /// Waits until the VMs are in the member list and have told each other.
    pub fn settle(&self) -> Option<()> {
        let end = Instant::now() + Duration::from_secs(10);
        while self.store.count("cloverpost-vms") < self.vms.len() {
            if Instant::now() > end {
                return None;
            }
            thread::sleep(Duration::from_millis(100));
        }
        thread::sleep(Duration::from_secs(2));
        Some(())
    }
}

/// The configuration `number` with `routes`, whose services accept `max_connections` at each replica.
pub fn configuration(number: u64, routes: &[Route], max_connections: u32) -> String {
    let rendered = routes.iter().map(|route| {
            let extra = match route.kind {
                "streaming" => ",\"resumable\":true,\"target_gap_ms\":1000",
                "once" => ",\"target_gap_ms\":1000",
                _ => "",
            };
            format!(
                "{{\"name\":\"{}\",\"host\":\"{HOST}\",\"path_prefix\":\"{}\",\"route_type\":\"{}\",\"timeout_ms\":{},\"target_latency_ms\":1500,\"priority\":1,\"service\":\"{}\",\"max_attempts\":{},\"public\":true{extra}}}",
                route.name,
                route.prefix,
                if route.kind == "once" { "streaming" } else { route.kind },
                route.timeout.as_millis(),
                route.service,
                route.max_attempts,
            )
        });
    let rendered: Vec<_> = rendered.collect();
    let mut services: Vec<_> = routes.iter().map(|route| route.service).collect();
    services.sort_unstable();
    services.dedup();
    let services = services.iter().map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_conns\":{max_connections},\"protocol\":\"h1\",\"tls\":false}}"
            )
        });
    let services: Vec<_> = services.collect();
    format!(
        "{{\"version\":{number},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[]}}",
        rendered.join(","),
        services.join(","),
    )
}

impl Drop for Site {
    fn drop(&mut self) {
        self.vms.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.files);
        }
    }
}
