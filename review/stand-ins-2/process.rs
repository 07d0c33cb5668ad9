//! Replicas in processes of their own, which can be killed.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::replica::{self, Answer, Event, Options, Sink};
use crate::site::{IP, Record, Site};
use crate::store::Store;

/// Time from the end of a replica to the removal of its entry: three heartbeats.
const EXPIRY: Duration = Duration::from_millis(3600);

/// A replica in a process of its own.
pub struct Process {
    options: Options,
    address: SocketAddr,
    store: Store,
    record: Record,
    child: Child,
}

impl Process {
    /// Starts a replica that registers in the store of `site`.
    pub fn start(site: &Site, options: Options) -> Option<Self> {
        let mut child = Command::new(std::env::current_exe().ok()?)
            .args(["replica", &options.id, &options.slots.to_string()])
            .args(words(options.answer))
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .ok()?;
        let mut lines = BufReader::new(child.stdout.take()?).lines();
        let address: SocketAddr = lines.next()?.ok()?.parse().ok()?;
        let (record, id, version) = (
            site.record.clone(),
            options.id.clone(),
            options.version.clone(),
        );
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                let Some((what, request)) = line.split_once(' ') else {
                    continue;
                };
                let known = ["arrives", "runs", "ends"];
                let Some(what) = known.into_iter().find(|known| *known == what) else {
                    continue;
                };
                record.event(Event {
                    what,
                    request: request.to_owned(),
                    replica: id.clone(),
                    version: version.clone(),
                    session: String::new(),
                });
            }
        });
        let process = Self {
            options,
            address,
            store: site.store.clone(),
            record: site.record.clone(),
            child,
        };
        process.register(false);
        let id = &process.options.id;
        site.record
            .line(format!("replica {id} listens at {address}"));
        Some(process)
    }

    /// Reports that the replica leaves; it goes on serving.
    pub fn drain(&self) {
        self.register(true);
    }

    /// Ends the processes of `replicas` at one moment; their entries expire later.
    pub fn end_all(mut replicas: Vec<Self>, how: &str) {
        for replica in &mut replicas {
            let _ = replica.child.kill();
        }
        for replica in replicas {
            replica.end(how);
        }
    }

    /// Ends the process; its entry expires later.
    pub fn end(mut self, how: &str) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let id = self.options.id.clone();
        self.record.line(format!("replica {id} {how}"));
        let store = self.store.clone();
        thread::spawn(move || {
            thread::sleep(EXPIRY);
            store.remove("servers", &id);
        });
    }

    fn register(&self, is_leaving: bool) {
        let number = u64::from(is_leaving) + 1;
        replica::register(&self.store, &self.options, self.address, is_leaving, number);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Words of a command line for `answer`: parts, milliseconds between them, and the kind.
fn words(answer: Answer) -> [String; 3] {
    let (kind, parts, gap) = match answer {
        Answer::After(time) => (0, 1, time),
        Answer::Events(count, gap) => (1, count, gap),
        Answer::SomeWithoutLength(one_of, parts, gap) => (one_of + 1, parts, gap),
    };
    [
        parts.to_string(),
        gap.as_millis().to_string(),
        kind.to_string(),
    ]
}

/// Serves as a replica until the process is killed.
pub fn serve(words: &[&str]) {
    let [id, slots, parts, gap, kind] = words else {
        return;
    };
    let number = |word: &str| word.parse::<u32>().unwrap_or_default();
    let gap = Duration::from_millis(u64::from(number(gap)));
    let answer = match number(kind) {
        0 => Answer::After(gap),
        1 => Answer::Events(number(parts), gap),
        more => Answer::SomeWithoutLength(u64::from(more) - 1, number(parts), gap),
    };
    let options = Options {
        id: (*id).to_owned(),
        service: String::new(),
        version: String::new(),
        zone: String::new(),
        slots: slots.parse().unwrap_or_default(),
        answer,
    };
    let Ok(listener) = TcpListener::bind((IP, 0)) else {
        return;
    };
    if let Ok(address) = listener.local_addr() {
        println!("{address}");
    }
    let sink: Sink = Arc::new(|event: Event| println!("{} {}", event.what, event.request));
    replica::serve(&listener, &Arc::new(options), &sink);
}
