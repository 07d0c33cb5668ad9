//! Stand-in of the platform's store: rows, reads, change feeds and conditional writes.
//!
//! Replicas and the operator write through `/standin/` calls, as the platform lets them. The entry of a
//! replica that has been silent for three heartbeat intervals is removed.

use std::collections::BTreeMap;
use std::io::{self, BufReader};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::{self, Value};

/// Interval at which replicas write their entries.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Time that a call takes.
const CALL_TIME: Duration = Duration::from_millis(4);

type Key = (String, String);
/// Version and value of a row; a removed row has no value.
type Row = (u64, Option<Vec<u8>>);

#[derive(Default)]
struct Tables {
    version: u64,
    /// Versions and values; removed rows have none.
    rows: BTreeMap<Key, Row>,
    /// When replicas last wrote their entries.
    beats: BTreeMap<String, Instant>,
}

struct Store {
    tables: Mutex<Tables>,
    changed: Condvar,
    started: Instant,
}

/// Serves a store on `address` until the process is killed.
pub fn run(address: &str) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let store = Arc::new(Store {
        tables: Mutex::default(),
        changed: Condvar::new(),
        started: Instant::now(),
    });
    let expiring = store.clone();
    thread::spawn(move || expiring.expire());
    for stream in listener.incoming() {
        let (store, stream) = (store.clone(), stream?);
        thread::spawn(move || {
            // Clients may disconnect at any time.
            let _ = store.serve(stream);
        });
    }
    Ok(())
}

impl Store {
    fn tables(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn expire(&self) {
        loop {
            thread::sleep(Duration::from_millis(100));
            let mut tables = self.tables();
            let silent = { tables.beats.iter() }.filter(|(_, at)| at.elapsed() > 3 * HEARTBEAT);
            let silent: Vec<_> = silent.map(|(id, _)| id.clone()).collect();
            for id in silent {
                tables.beats.remove(&id);
                tables.set(("servers".to_owned(), id), None);
                self.changed.notify_all();
            }
        }
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = http::read(&mut reader)? {
            thread::sleep(CALL_TIME);
            let (status, body) = self.handle(&request);
            let headers = "Content-Type: application/json\r\n";
            http::respond(&mut stream, status, headers, body.as_bytes())?;
        }
        Ok(())
    }

    fn handle(&self, request: &Message) -> (u16, String) {
        let table = request.query("table").unwrap_or_default();
        let key = request.query("key").unwrap_or_default();
        match (request.method(), request.path()) {
            ("GET", "/api/rows-get") => (200, self.read(&table, request)),
            ("GET", "/api/rows-feed") => (200, self.follow(&table, request)),
            ("POST", "/api/rows-tx") => self.write(&String::from_utf8_lossy(&request.body)),
            ("POST", "/standin/put") => {
                self.tables().set((table, key), Some(request.body.clone()));
                self.changed.notify_all();
                (200, "{}".to_owned())
            }
            ("POST", "/standin/beat") => {
                self.beat(key, &request.body);
                (200, "{}".to_owned())
            }
            ("GET", "/standin/row") => {
                let tables = self.tables();
                let row = tables.rows.get(&(table, key));
                let value = row.and_then(|(_, value)| value.clone());
                (
                    200,
                    String::from_utf8_lossy(&value.unwrap_or_default()).into_owned(),
                )
            }
            _ => (404, "{}".to_owned()),
        }
    }

    /// Records the heartbeat of a replica. An entry changes only when more than its number does.
    fn beat(&self, id: String, value: &[u8]) {
        let mut tables = self.tables();
        tables.beats.insert(id.clone(), Instant::now());
        let row = ("servers".to_owned(), id);
        let known = tables.rows.get(&row).and_then(|(_, value)| value.clone());
        if known.as_deref() != Some(value) {
            tables.set(row, Some(value.to_vec()));
            self.changed.notify_all();
        }
    }

    fn read(&self, table: &str, request: &Message) -> String {
        let from = request.query("from").unwrap_or_default();
        let limit = request.query("limit").and_then(|text| text.parse().ok());
        let limit: usize = limit.unwrap_or(500).min(500);
        let tables = self.tables();
        let rows = tables
            .of(table)
            .filter(|(key, (_, value))| *key >= from.as_str() && value.is_some());
        let mut rows: Vec<_> = rows.collect();
        let has_more = rows.len() > limit;
        rows.truncate(limit);
        self.page(&tables, table, &rows, has_more)
    }

    fn follow(&self, table: &str, request: &Message) -> String {
        let number = |name| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let after = number("after").unwrap_or_default();
        let end = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or_default());
        let mut tables = self.tables();
        loop {
            let mut rows: Vec<_> = tables
                .of(table)
                .filter(|(_, (version, _))| *version > after)
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                rows.sort_by_key(|(_, (version, _))| *version);
                return self.page(&tables, table, &rows, false);
            }
            let waited = self.changed.wait_timeout(tables, left);
            tables = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn page(&self, tables: &Tables, table: &str, rows: &[(&str, &Row)], has_more: bool) -> String {
        let rows = rows.iter().map(|(key, (version, value))| {
            let encoded = json::encode_base64(value.as_deref().unwrap_or_default());
            let deleted = value.is_none();
            format!(
                "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"value\":\"{encoded}\",\
                 \"row_version\":{version},\"deleted\":{deleted}}}"
            )
        });
        let rows: Vec<_> = rows.collect();
        format!(
            "{{\"rows\":[{}],\"has_more\":{has_more},\"row_version\":{},\"now_ms\":{}}}",
            rows.join(","),
            tables.version,
            self.started.elapsed().as_millis()
        )
    }

    fn write(&self, body: &str) -> (u16, String) {
        let Some(transaction) = json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let row_key = |row: &Value| {
            (
                row.get("table").text().to_owned(),
                row.get("key").text().to_owned(),
            )
        };
        let mut tables = self.tables();
        let all = ["write", "remove"].map(|name| transaction.get(name).list());
        let is_foreign = |row: &Value| ["op", "servers"].contains(&row.get("table").text());
        if all.iter().flat_map(|rows| rows.iter()).any(is_foreign) {
            return (403, "{}".to_owned());
        }
        for row in transaction.get("expected").list() {
            let current = tables
                .rows
                .get(&row_key(row))
                .filter(|(_, value)| value.is_some());
            let version = current.map_or(0, |(version, _)| *version);
            if version.to_string() != row.get("row_version").number().to_string() {
                return (412, self.page(&tables, "", &[], false));
            }
        }
        tables.version += 1;
        let version = tables.version;
        for row in transaction.get("write").list() {
            let value = json::decode_base64(row.get("value").text());
            tables.rows.insert(row_key(row), (version, Some(value)));
        }
        for row in transaction.get("remove").list() {
            tables.rows.insert(row_key(row), (version, None));
        }
        self.changed.notify_all();
        (200, self.page(&tables, "", &[], false))
    }
}

impl Tables {
    fn set(&mut self, key: Key, value: Option<Vec<u8>>) {
        self.version += 1;
        self.rows.insert(key, (self.version, value));
    }

    fn of<'a>(&'a self, table: &'a str) -> impl Iterator<Item = (&'a str, &'a Row)> {
        let rows = self.rows.iter().filter(move |((name, _), _)| name == table);
        rows.map(|((_, key), row)| (key.as_str(), row))
    }
}
