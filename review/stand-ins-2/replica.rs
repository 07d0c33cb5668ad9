//! A replica: it registers in the store, runs requests in its slots and answers as its options say.

use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crate::http::{self, Head};
use crate::store::Store;

/// Interval at which a replica writes to the store.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Bytes of the body of an answer without events.
pub const BODY_BYTES: usize = 800;
/// Last bytes of each body.
pub const END_MARK: &str = "--end--";

/// What a replica does.
#[derive(Clone, Debug)]
pub struct Options {
    /// Incarnation.
    pub id: String,
    /// Service.
    pub service: String,
    /// Version of its software.
    pub version: String,
    /// Availability zone.
    pub zone: String,
    /// Requests that run at once; others wait.
    pub slots: usize,
    /// How it answers.
    pub answer: Answer,
}

/// How a replica answers.
#[derive(Clone, Copy, Debug)]
pub enum Answer {
    /// With a body of [`BODY_BYTES`] after the time.
    After(Duration),
    /// With a stream of events, with the time between two of them.
    Events(u32, Duration),
    /// With a body that has no length and ends with its connection, in the given number of parts, with
    /// the time between two of them.
    WithoutLength(u32, Duration),
}

/// An arrival of a request, or the begin or end of its run.
#[derive(Clone, Debug)]
pub struct Event {
    /// `arrives`, `runs` or `ends`.
    pub what: &'static str,
    /// Id of the client attempt.
    pub request: String,
    /// The replica.
    pub replica: String,
    /// Its version.
    pub version: String,
    /// Session of the request.
    pub session: String,
}

/// Takes the events of replicas.
pub type Sink = Arc<dyn Fn(Event) + Send + Sync>;

/// A replica in a thread of this process.
#[derive(Clone)]
pub struct Replica {
    /// What it does.
    pub options: Arc<Options>,
    /// Where it listens.
    pub address: SocketAddr,
    store: Store,
    is_leaving: Arc<AtomicBool>,
    is_gone: Arc<AtomicBool>,
    writes: Arc<AtomicU64>,
}

impl Replica {
    /// Starts a replica on a free port of `ip`, which registers in `store`.
    pub fn start(ip: &str, store: &Store, options: Options, sink: Sink) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let replica = Self {
            address: listener.local_addr()?,
            options: Arc::new(options),
            store: store.clone(),
            is_leaving: Arc::default(),
            is_gone: Arc::default(),
            writes: Arc::default(),
        };
        let served = replica.options.clone();
        thread::spawn(move || serve(&listener, &served, &sink));
        replica.register();
        let registered = replica.clone();
        thread::spawn(move || {
            while !registered.is_gone.load(Ordering::Relaxed) {
                thread::sleep(HEARTBEAT);
                registered.register();
            }
        });
        Ok(replica)
    }

    /// Reports that the replica leaves; it goes on serving.
    pub fn drain(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
        self.register();
    }

    /// Removes the entry of the replica.
    pub fn deregister(&self) {
        self.is_gone.store(true, Ordering::Relaxed);
        self.store.remove("servers", &self.options.id);
    }

    fn register(&self) {
        if !self.is_gone.load(Ordering::Relaxed) {
            let is_leaving = self.is_leaving.load(Ordering::Relaxed);
            let number = self.writes.fetch_add(1, Ordering::Relaxed);
            register(&self.store, &self.options, self.address, is_leaving, number);
        }
    }
}

/// Writes the entry of the replica at `address`.
pub fn register(
    store: &Store,
    options: &Options,
    address: SocketAddr,
    is_leaving: bool,
    number: u64,
) {
    let state = if is_leaving { "draining" } else { "ready" };
    let entry = format!(
        "{{\"service\":\"{}\",\"address\":\"{address}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":{},\"state\":\"{state}\",\"cold_remaining_ms\":0,\"stage\":\"unified\",\"models\":[],\"seq_no\":{number}}}",
        options.service, options.zone, options.version, options.slots
    );
    store.put("servers", &options.id, &entry);
}

/// Free slots.
struct Slots {
    free: Mutex<usize>,
    changed: Condvar,
}

impl Slots {
    fn take(&self) {
        let mut free = self.free.lock().unwrap_or_else(PoisonError::into_inner);
        while *free == 0 {
            free = self.changed.wait(free).unwrap_or_else(PoisonError::into_inner);
        }
        *free -= 1;
    }

    fn give(&self) {
        *self.free.lock().unwrap_or_else(PoisonError::into_inner) += 1;
        self.changed.notify_one();
    }
}

/// Serves connections of `listener` until the process ends.
pub fn serve(listener: &TcpListener, options: &Arc<Options>, sink: &Sink) {
    let slots = Arc::new(Slots {
        free: Mutex::new(options.slots),
        changed: Condvar::new(),
    });
    for stream in listener.incoming().flatten() {
        let (options, sink, slots) = (options.clone(), sink.clone(), slots.clone());
        thread::spawn(move || serve_connection(&stream, &options, &sink, &slots));
    }
}

fn serve_connection(
    stream: &TcpStream,
    options: &Options,
    sink: &Sink,
    slots: &Slots,
) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    while let Some(head) = http::read_head(&mut reader).ok()? {
        http::read_body(&mut reader, &head, false).ok()?;
        if head.target() == "/healthz" {
            let text = format!(
                "HTTP/1.1 200 OK\r\nCloverpost-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                options.id
            );
            writer.write_all(text.as_bytes()).ok()?;
            continue;
        }
        let expected = head.field("cloverpost-expect-instance");
        if expected.is_some_and(|expected| expected != options.id) {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nCloverpost-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                options.id
            );
            writer.write_all(text.as_bytes()).ok()?;
            continue;
        }
        let tell = |what| {
            let field = |name| head.field(name).unwrap_or_default().to_owned();
            sink(Event {
                what,
                request: field("cloverpost-attempt-id"),
                replica: options.id.clone(),
                version: options.version.clone(),
                session: field("session"),
            });
        };
        tell("arrives");
        slots.take();
        tell("runs");
        let answered = answer(&mut writer, &head, options);
        slots.give();
        tell("ends");
        answered.ok()?;
        if matches!(options.answer, Answer::WithoutLength(..)) {
            let _ = stream.shutdown(Shutdown::Both);
            return None;
        }
    }
    Some(())
}

/// Runs the request of `head`, and stops if its connection has been closed.
fn answer(writer: &mut TcpStream, head: &Head, options: &Options) -> io::Result<()> {
    let id = head.field("cloverpost-attempt-id").unwrap_or_default();
    let fields = format!(
        "HTTP/1.1 200 OK\r\nCloverpost-Attempt-Id: {id}\r\nCloverpost-Server-Stamp: {}.{id}\r\n",
        options.id
    );
    match options.answer {
        Answer::After(time) => {
            thread::sleep(time);
            let body = format!("{}{END_MARK}", "x".repeat(BODY_BYTES - END_MARK.len()));
            let text = format!("{fields}Content-Length: {}\r\n\r\n{body}", body.len());
            writer.write_all(text.as_bytes())
        }
        Answer::Events(count, gap) => {
            let from = head.field("last-event-id").and_then(|text| text.parse().ok());
            let from = from.unwrap_or(0);
            let text = format!(
                "{fields}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            writer.write_all(text.as_bytes())?;
            for number in from + 1..=count {
                thread::sleep(gap);
                let mark = if number == count { END_MARK } else { "more" };
                let event = format!("id: {number}\ndata: {mark}\n\n");
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                writer.write_all(chunk.as_bytes())?;
            }
            writer.write_all(b"0\r\n\r\n")
        }
        Answer::WithoutLength(parts, gap) => {
            writer.write_all(format!("{fields}Connection: close\r\n\r\n").as_bytes())?;
            for number in 1..=parts {
                thread::sleep(gap);
                let mark = if number == parts { END_MARK } else { "" };
                writer.write_all(format!("part {number} of {parts};{mark}").as_bytes())?;
            }
            Ok(())
        }
    }
}
