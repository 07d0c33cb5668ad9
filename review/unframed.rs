//! Replicas crash while they send streams that have neither a length nor chunks.

use std::fmt::Write;
use std::fs;
use std::io;
use std::path::Path;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::Verdict;
use crate::client::{self, Request};
use crate::load::{self, Exchange};
use crate::site::{HOST, KEY, Site};

const ZONES: [&str; 6] = ["nv-a", "nv-a", "nv-b", "nv-b", "nv-c", "nv-d"];
const REPLICAS: usize = 18;
/// Zones of the replicas, in turn.
const REPLICA_ZONES: [&str; 4] = ["nv-a", "nv-b", "nv-c", "nv-d"];
/// Replicas that crash: three of 18, each in another zone.
const CRASHING: [usize; 3] = [4, 5, 6];
/// Events of each stream.
const EVENTS: usize = 20;
/// Streams a second.
const RATE: u32 = 160;
const SPAN: Duration = Duration::from_secs(10);
/// When the replicas are killed, after the first request.
const KILL_AFTER: Duration = Duration::from_secs(5);

fn configuration() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"brief\",\"host\":\"{HOST}\",\"path_prefix\":\"/brief/\",\
         \"route_type\":\"streaming\",\"timeout_ms\":15000,\"target_latency_ms\":2000,\
         \"target_gap_ms\":1000,\"priority\":1,\"service\":\"brief-llm\",\"max_attempts\":3,\
         \"public\":false,\"sticky\":false,\"resumable\":true}}],\
         \"services\":[{{\"name\":\"brief-llm\",\"health_path\":\"/healthz\",\"max_conns\":290}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"court\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

/// Numbers of answers by what the client sees of them.
#[derive(Default)]
struct Counts {
    complete: usize,
    /// Broken off, and shown as such.
    cut: usize,
    refused: usize,
    /// Not whole, and shown as complete.
    broken: usize,
}

/// Writes what was answered.
fn judge(text: &mut String, exchanges: &[Exchange]) -> Counts {
    let mut counts = Counts::default();
    for (request, vm, answer) in exchanges {
        let ids = client::event_ids(&answer.body);
        let is_whole = ids.iter().copied().eq(1..=EVENTS);
        let is_success = answer.status == 200;
        let verdict = match (is_success, answer.is_complete, is_whole) {
            (true, true, true) => {
                counts.complete += 1;
                "whole"
            }
            (true, true, false) => {
                counts.broken += 1;
                "BROKEN: ends as complete before its last piece"
            }
            (true, false, _) => {
                counts.cut += 1;
                "broken off, and shown as such"
            }
            (false, ..) => {
                counts.refused += 1;
                "no success"
            }
        };
        let (first, last) = (
            ids.first().copied().unwrap_or(0),
            ids.last().copied().unwrap_or(0),
        );
        let _ = writeln!(
            text,
            "{} request {} by edge-{vm}: status {} stamp {} events {first} to {last}, {} of {EVENTS}, \
             end of the answer {}, {} ms: {verdict}",
            answer.sent_ms,
            request.id,
            answer.status,
            answer.stamp,
            ids.len(),
            if answer.is_complete {
                "seen"
            } else {
                "missing"
            },
            answer.took.as_millis()
        );
    }
    counts
}

pub fn play(directory: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let mut site = Site::start(directory, &configuration())?;
    let events = EVENTS.to_string();
    for number in 0..REPLICAS {
        let name = format!("i-{number}");
        let options = [&*events, "25", "unframed", "95"];
        site.add_replica(&name, "brief-llm", REPLICA_ZONES[number % 4], &options)?;
    }
    for (number, zone) in ZONES.iter().enumerate() {
        site.add_vm(&format!("edge-{number}"), zone)?;
    }
    site.wait_until_ready()?;
    let addresses: Vec<_> = site.vms.iter().map(|vm| vm.caller_addr.clone()).collect();
    let clients = thread::spawn(move || {
        load::play(&addresses, RATE, SPAN, |number| Request {
            id: format!("{:016x}", 0x5eed_0000 + number),
            path: "/brief/summary".to_owned(),
            deadline_ms: 15_000,
            key: KEY,
            headers: String::new(),
            body: format!("bundle {number}"),
        })
    });
    thread::sleep(KILL_AFTER);
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let killed_ms = now.unwrap_or_default().as_millis();
    if has_trouble {
        for number in CRASHING {
            site.replicas[number].kill();
        }
    }
    let exchanges = clients.join().expect("the clients do not panic");
    let mut text = String::new();
    let _ = writeln!(
        text,
        "trouble: {has_trouble}; replicas {CRASHING:?} killed at {killed_ms} if there is trouble"
    );
    let counts = judge(&mut text, &exchanges);
    let _ = writeln!(text, "\nwhat the replicas ran:");
    for line in site.replica_records() {
        let _ = writeln!(text, "{line}");
    }
    let summary = format!(
        "{} requests: {} whole, {} broken off and shown as such, {} without success, {} that end as complete before \
         their last piece",
        exchanges.len(),
        counts.complete,
        counts.cut,
        counts.refused,
        counts.broken
    );
    println!("{summary}");
    fs::write(directory.join("record.txt"), format!("{summary}\n{text}"))?;
    if counts.complete * 2 < exchanges.len() {
        return Err(io::Error::other(
            "fewer than half of the streams were served",
        ));
    }
    Ok(if counts.broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
