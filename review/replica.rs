//! Stand-in of a replica. It follows `PROTOCOL.md`: it runs only requests that name it, rejects what
//! exceeds its slots and queue, echoes the id of the request, signs its answers and resumes streams.

use std::io::{self, BufReader, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::store;

/// Requests that run or wait at the same time.
const CAPACITY: usize = 144;

/// What a replica is and how it answers.
#[derive(Clone, Debug)]
pub struct Options {
    pub address: String,
    pub id: String,
    pub service: String,
    pub zone: String,
    pub store: String,
    /// Number of events of a stream.
    pub events: usize,
    /// Time until the first event.
    pub first: Duration,
    /// Time between two events.
    pub gap: Duration,
    /// Whether answers have neither a length nor chunks, and end with their connection.
    pub is_unframed: bool,
    /// Confidence that the smallest model reports.
    pub confidence: u32,
}

struct Replica {
    options: Options,
    active: AtomicUsize,
}

/// Serves a replica until the process is killed.
pub fn run(options: Options) -> io::Result<()> {
    let listener = TcpListener::bind(&options.address)?;
    let replica = Arc::new(Replica {
        options,
        active: AtomicUsize::new(0),
    });
    let registering = replica.clone();
    thread::spawn(move || registering.register());
    for stream in listener.incoming() {
        let (replica, stream) = (replica.clone(), stream?);
        thread::spawn(move || {
            // Callers may disconnect at any time.
            let _ = replica.serve(stream);
        });
    }
    Ok(())
}

/// Writes a line on what the replica does to standard output.
fn record(text: &str) {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now_ms = now.unwrap_or_default().as_millis();
    let mut output = io::stdout().lock();
    // The test may have ended.
    let _ = writeln!(output, "{now_ms} {text}");
    let _ = output.flush();
}

impl Replica {
    fn register(&self) {
        let options = &self.options;
        let value = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":48,\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"seq_no\":1}}",
            options.service, options.address, options.zone
        );
        let target = format!("/standin/beat?key={}", options.id);
        loop {
            // The store may be away for a while.
            let _ = http::call(&options.store, "POST", &target, value.as_bytes());
            thread::sleep(store::HEARTBEAT);
        }
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = http::read(&mut reader)? {
            let id = request.header("cloverpost-attempt-id").unwrap_or_default();
            let echo = format!("Cloverpost-Attempt-Id: {id}\r\n");
            let rejected = format!("{echo}Cloverpost-Not-Executed: 1\r\n");
            if request.path() == "/healthz" {
                let headers = format!("Cloverpost-Instance-Id: {}\r\n", self.options.id);
                http::respond(&mut stream, 200, &headers, b"")?;
            } else if id.is_empty() {
                http::respond(&mut stream, 400, &rejected, b"")?;
            } else if request.header("cloverpost-expect-instance") != Some(&self.options.id) {
                http::respond(&mut stream, 421, &rejected, b"")?;
            } else if self.active.fetch_add(1, Ordering::SeqCst) >= CAPACITY {
                self.active.fetch_sub(1, Ordering::SeqCst);
                http::respond(&mut stream, 503, &rejected, b"")?;
            } else {
                let answered = self.answer(&mut stream, &request, id);
                self.active.fetch_sub(1, Ordering::SeqCst);
                if answered.is_err() {
                    record(&format!("STOPPED {id} {}", self.options.id));
                }
                answered?;
                if self.options.is_unframed {
                    return stream.shutdown(Shutdown::Both);
                }
            }
        }
        Ok(())
    }

    /// Runs `request` and writes the answer.
    fn answer(&self, stream: &mut TcpStream, request: &Message, id: &str) -> io::Result<()> {
        let options = &self.options;
        let model = request.header("cloverpost-model").unwrap_or("-");
        let last = request
            .header("last-event-id")
            .and_then(|text| text.parse().ok());
        let last: usize = last.unwrap_or(0);
        record(&format!(
            "RUN {id} {} model={model} after={last}",
            options.id
        ));
        let confidence = if model.ends_with("-small") {
            options.confidence
        } else {
            95
        };
        let stamp = format!("{}.{id}.{last}", options.id);
        let (framing, is_chunked) = if options.is_unframed {
            ("Connection: close\r\n", false)
        } else {
            ("Transfer-Encoding: chunked\r\n", true)
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nCloverpost-Attempt-Id: {id}\r\nCloverpost-Server-Stamp: {stamp}\r\n\
             Cloverpost-Confidence: {confidence}\r\nContent-Type: text/event-stream\r\n{framing}\r\n"
        );
        thread::sleep(options.first);
        stream.write_all(head.as_bytes())?;
        for event in last + 1..=options.events {
            let text = format!(
                "id: {event}\ndata: {id} piece {event} of {}\n\n",
                options.events
            );
            let piece = if is_chunked {
                format!("{:x}\r\n{text}\r\n", text.len())
            } else {
                text
            };
            stream.write_all(piece.as_bytes())?;
            if event < options.events {
                thread::sleep(options.gap);
            }
        }
        if is_chunked {
            stream.write_all(b"0\r\n\r\n")?;
        }
        record(&format!("END {id} {}", options.id));
        Ok(())
    }
}
