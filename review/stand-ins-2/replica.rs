//! A replica: it registers in the store, runs requests in its slots and answers as its options say.

use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
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
    /// In the given number of parts with the time between two of them. One answer of the first number has
    /// no length and ends with its connection, the others are like those of `After`.
    SomeWithoutLength(u64, u32, Duration),
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
            writes: Arc::default(),
        };
        let served = replica.options.clone();
        thread::spawn(move || serve(&listener, &served, &sink));
        replica.register();
        let registered = replica.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                registered.register();
            }
        });
        Ok(replica)
    }

    fn register(&self) {
        let number = self.writes.fetch_add(1, Ordering::Relaxed);
        register(&self.store, &self.options, self.address, false, number);
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
    /// Number of requests that have run.
    runs: AtomicU64,
}

impl Slots {
    fn take(&self) {
        let mut free = self.free.lock().unwrap_or_else(PoisonError::into_inner);
        while *free == 0 {
            free = self
                .changed
                .wait(free)
                .unwrap_or_else(PoisonError::into_inner);
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
        runs: AtomicU64::new(0),
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
        let number = slots.runs.fetch_add(1, Ordering::Relaxed);
        let answer = options.answer.of_run(number);
        let answered = send_answer(&mut writer, &head, options, answer);
        slots.give();
        tell("ends");
        answered.ok()?;
        if matches!(answer, Answer::SomeWithoutLength(..)) {
            let _ = stream.shutdown(Shutdown::Both);
            return None;
        }
    }
    Some(())
}

impl Answer {
    /// How the run `number` is answered.
    fn of_run(self, number: u64) -> Self {
        match self {
            Self::SomeWithoutLength(one_of, parts, gap) if !number.is_multiple_of(one_of) => {
                Self::After(gap * parts)
            }
            other => other,
        }
    }
}

/// Runs the request of `head`, and stops if its connection has been closed.
fn send_answer(
    writer: &mut TcpStream,
    head: &Head,
    options: &Options,
    answer: Answer,
) -> io::Result<()> {
    let id = head.field("cloverpost-attempt-id").unwrap_or_default();
    let fields = format!(
        "HTTP/1.1 200 OK\r\nCloverpost-Attempt-Id: {id}\r\nCloverpost-Server-Stamp: {}.{id}\r\n",
        options.id
    );
    match answer {
        Answer::After(time) => {
            thread::sleep(time);
            let body = format!("{}{END_MARK}", "x".repeat(BODY_BYTES - END_MARK.len()));
            let text = format!("{fields}Content-Length: {}\r\n\r\n{body}", body.len());
            writer.write_all(text.as_bytes())
        }
        Answer::Events(count, gap) => {
            let from = head
                .field("last-event-id")
                .and_then(|text| text.parse().ok());
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
        Answer::SomeWithoutLength(_, parts, gap) => {
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
