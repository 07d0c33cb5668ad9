//! The platform's store: rows, conditional writes and the feed of changes.

use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Head};
use crate::json::{self, Value};

/// Milliseconds that the store takes for an answer.
const ANSWER_MS: u64 = 4;

/// Table and key of a row.
type Name = (String, String);

/// A store that any number of connections share.
#[derive(Clone)]
pub struct Store {
    inner: Arc<Inner>,
    /// Where it listens.
    pub address: SocketAddr,
}

struct Inner {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
    answer_ms: AtomicU64,
}

#[derive(Default)]
struct State {
    counter: u64,
    /// Values in base64, with the version of their write.
    rows: BTreeMap<Name, (String, u64)>,
    /// Versions of removals.
    removed: BTreeMap<Name, u64>,
}

impl Store {
    /// Starts a store on a free port of `ip`.
    pub fn start(ip: &str) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Self {
            address: listener.local_addr()?,
            inner: Arc::new(Inner {
                state: Mutex::default(),
                changed: Condvar::new(),
                started: Instant::now(),
                answer_ms: AtomicU64::new(ANSWER_MS),
            }),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Sets how many times as long as usual answers take.
    pub fn slow_down(&self, factor: u64) {
        let time = ANSWER_MS * factor;
        self.inner.answer_ms.store(time, Ordering::Relaxed);
    }

    /// Writes the row `key` of `table`, as operators and upstreams do.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.state();
        state.counter += 1;
        let version = state.counter;
        let name = (table.to_owned(), key.to_owned());
        state.removed.remove(&name);
        state.rows.insert(name, (encode(value.as_bytes()), version));
        self.inner.changed.notify_all();
    }

    /// Removes the row `key` of `table`.
    pub fn remove(&self, table: &str, key: &str) {
        let mut state = self.state();
        state.counter += 1;
        let version = state.counter;
        let name = (table.to_owned(), key.to_owned());
        state.rows.remove(&name);
        state.removed.insert(name, version);
        self.inner.changed.notify_all();
    }

    /// Value of the row `key` of `table`.
    pub fn value(&self, table: &str, key: &str) -> Option<String> {
        let state = self.state();
        let (value, _) = state.rows.get(&(table.to_owned(), key.to_owned()))?;
        Some(decode(value))
    }

    /// Number of rows of `table`.
    pub fn count(&self, table: &str) -> usize {
        let state = self.state();
        state.rows.keys().filter(|(name, _)| name == table).count()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.inner
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = http::read_head(&mut reader).ok()? {
            let body = http::read_body(&mut reader, &head, false).ok()?;
            let (status, answer) = self.answer(&head, &String::from_utf8_lossy(&body));
            let time = self.inner.answer_ms.load(Ordering::Relaxed);
            thread::sleep(Duration::from_millis(time));
            let text = format!(
                "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}",
                answer.len()
            );
            writer.write_all(text.as_bytes()).ok()?;
        }
        Some(())
    }

    fn answer(&self, head: &Head, body: &str) -> (u16, String) {
        let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(other, _)| *other == name);
            found.map(|(_, value)| unescape(value)).unwrap_or_default()
        };
        match path {
            "/api/rows-get" => {
                let state = self.state();
                let (table, from) = (parameter("table"), parameter("from"));
                let rows = state.rows.iter();
                let rows = rows.filter(|((name, key), _)| *name == table && *key >= from);
                let rows: Vec<_> = rows.map(|(name, row)| render(name, row)).collect();
                (200, self.page(&state, &rows))
            }
            "/api/rows-feed" => {
                let after = parameter("after").parse().unwrap_or_default();
                let wait = parameter("wait_ms").parse().unwrap_or_default();
                self.feed(&parameter("table"), after, Duration::from_millis(wait))
            }
            "/api/rows-tx" => self.apply(&json::parse(body).unwrap_or(Value::List(Vec::new()))),
            _ => (404, "{}".to_owned()),
        }
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut state = self.state();
        loop {
            let rows = state.rows.iter();
            let rows = rows.filter(|((name, _), (_, version))| name == table && *version > after);
            let rows = rows.map(|(name, row)| (row.1, render(name, row)));
            let removed = state.removed.iter();
            let removed = removed.filter(|((name, _), version)| name == table && **version > after);
            let removed = removed.map(|((table, key), version)| {
                let row = format!(
                    "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"row_version\":{version},\"deleted\":true}}"
                );
                (*version, row)
            });
            let mut found: Vec<_> = rows.chain(removed).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                found.sort();
                let rows: Vec<_> = found.into_iter().map(|(_, row)| row).collect();
                return (200, self.page(&state, &rows));
            }
            let waited = self.inner.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn apply(&self, body: &Value) -> (u16, String) {
        let entries = |name: &str| body.get(name).map(Value::list).unwrap_or_default().to_vec();
        let name = |entry: &Value| {
            let text = |field: &str| {
                entry
                    .get(field)
                    .map(Value::text)
                    .unwrap_or_default()
                    .to_owned()
            };
            (text("table"), text("key"))
        };
        let mut state = self.state();
        let is_met = |entry: &Value| {
            let expected = entry
                .get("row_version")
                .map(Value::number)
                .unwrap_or_default();
            let current = state
                .rows
                .get(&name(entry))
                .map_or(0, |(_, version)| *version);
            expected == current
        };
        let expected = entries("expected");
        if !expected.iter().all(is_met) {
            let rows = expected.iter().filter_map(|entry| {
                let name = name(entry);
                state.rows.get(&name).map(|row| render(&name, row))
            });
            let rows: Vec<_> = rows.collect();
            return (412, self.page(&state, &rows));
        }
        state.counter += 1;
        let version = state.counter;
        for entry in entries("write") {
            let value = entry
                .get("value")
                .map(Value::text)
                .unwrap_or_default()
                .to_owned();
            state.removed.remove(&name(&entry));
            state.rows.insert(name(&entry), (value, version));
        }
        for entry in entries("remove") {
            state.rows.remove(&name(&entry));
            state.removed.insert(name(&entry), version);
        }
        self.inner.changed.notify_all();
        (200, self.page(&state, &[]))
    }

    fn page(&self, state: &State, rows: &[String]) -> String {
        format!(
            "{{\"rows\":[{}],\"has_more\":false,\"row_version\":{},\"now_ms\":{}}}",
            rows.join(","),
            state.counter,
            self.inner.started.elapsed().as_millis() + 1000
        )
    }
}

fn render((table, key): &Name, (value, version): &(String, u64)) -> String {
    format!(
        "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"value\":\"{value}\",\"row_version\":{version}}}"
    )
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((byte, after)) = rest.split_first() {
        rest = after;
        let code = after
            .get(..2)
            .and_then(|digits| std::str::from_utf8(digits).ok());
        let code = code.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (byte, code) {
            (b'%', Some(code)) => {
                bytes.push(code);
                rest = &after[2..];
            }
            _ => bytes.push(*byte),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let bits = group
            .iter()
            .fold(0_u32, |bits, byte| bits << 8 | u32::from(*byte));
        let bits = bits << (8 * (3 - group.len()));
        for place in 0..4 {
            if place <= group.len() {
                let index = (bits >> (18 - 6 * place)) & 63;
                text.push(char::from(ALPHABET[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let (mut bits, mut count) = (0_u32, 0);
    for letter in text.bytes() {
        let Some(index) = ALPHABET.iter().position(|other| *other == letter) else {
            continue;
        };
        bits = bits << 6 | u32::try_from(index).unwrap_or_default();
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push(u8::try_from(bits >> count & 255).unwrap_or_default());
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
