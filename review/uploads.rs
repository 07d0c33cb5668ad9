//! Many users come at once while clients send bodies of the size that the configuration allows. The
//! platform kills a process whose memory exceeds its machine's, as it says it does.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::fs;
use std::io::{self, BufReader};
use std::net::TcpStream;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::Verdict;
use crate::client::{self, Answer, Request};
use crate::site::{HOST, KEY, Site};

/// Zones of the VMs. The clients are those of the last two, which have one VM each.
const ZONES: [&str; 6] = ["nv-a", "nv-a", "nv-b", "nv-b", "nv-c", "nv-d"];
const LOADED: [usize; 2] = [4, 5];
const REPLICAS: usize = 18;
const REPLICA_ZONES: [&str; 4] = ["nv-a", "nv-b", "nv-c", "nv-d"];
/// Events of each stream: the first after 1 s, the others 28 ms apart.
const EVENTS: usize = 42;
/// Streams a second from the clients of each of the two zones.
const RATE: u128 = 9;
const SPAN: Duration = Duration::from_secs(14);
/// The burst: when, how long, and how many times the traffic.
const BURST_AT: Duration = Duration::from_secs(6);
const BURST_SPAN: Duration = Duration::from_secs(3);
const BURST: f64 = 1.7;
/// The same in parts of ten beyond the usual traffic.
const BURST_EXTRA: u128 = 7;
/// `memory_mb` of the machines.
const MEMORY_KB: u64 = 110 * 1024;
/// `max_body_bytes`, and the size of each body.
const BODY: usize = 4_194_304;
/// Delay before the platform starts a process that has ended again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Answers that may be missing.
const ALLOWED: usize = 3;

fn configuration() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"brief\",\"host\":\"{HOST}\",\"path_prefix\":\"/brief/\",\
         \"route_type\":\"streaming\",\"timeout_ms\":15000,\"target_latency_ms\":2000,\
         \"target_gap_ms\":1000,\"priority\":1,\"service\":\"brief-llm\",\"max_attempts\":3,\
         \"public\":false,\"sticky\":false,\"resumable\":true}}],\
         \"services\":[{{\"name\":\"brief-llm\",\"health_path\":\"/healthz\",\"max_conns\":290}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":{BODY},\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"court\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

fn now_ms() -> u128 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis()
}

/// Memory of a process that is its own, in kB.
fn memory_kb(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("RssAnon:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Connections to one VM that clients keep open.
type Kept = Arc<Mutex<Vec<BufReader<TcpStream>>>>;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends a request on a kept connection, or on a new one if none is free.
fn play_client(address: &str, kept: &Kept, number: u32) -> (Request, Answer) {
    let mut request = Request {
        id: format!("{:016x}", 0x5eed_0000 + number),
        path: "/brief/summary".to_owned(),
        deadline_ms: 15_000,
        key: KEY,
        headers: String::new(),
        body: "x".repeat(BODY),
    };
    let mut answer = Answer {
        sent_ms: now_ms(),
        ..Answer::default()
    };
    let started = Instant::now();
    let free = lock(kept).pop();
    let reader = free.or_else(|| {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_nodelay(true).ok()?;
        stream
            .set_read_timeout(Some(Duration::from_secs(15)))
            .ok()?;
        Some(BufReader::new(stream))
    });
    if let Some(mut reader) = reader {
        let exchanged = client::exchange_on(&mut reader, &request, &mut answer);
        if exchanged.is_ok() {
            lock(kept).push(reader);
        }
    }
    answer.took = started.elapsed();
    request.body.clear();
    (request, answer)
}

/// Requests that have been due after `elapsed`.
fn due(elapsed: Duration, has_burst: bool) -> u128 {
    let in_burst = elapsed.saturating_sub(BURST_AT).min(BURST_SPAN);
    let extra = if has_burst { BURST_EXTRA } else { 0 };
    (elapsed.as_millis() + in_burst.as_millis() * extra / 10) * RATE / 1000
}

/// Writes what was answered and run. Returns the numbers of whole answers, of those cut off, and of those that are
/// missing altogether.
fn judge(
    text: &mut String,
    exchanges: &[(Request, usize, Answer)],
    records: &[String],
) -> (usize, usize, usize) {
    let runs = records
        .iter()
        .filter_map(|line| line.split(' ').skip(1).collect::<Vec<_>>().try_into().ok());
    let runs: BTreeSet<_> = runs
        .filter(|words: &[&str; 5]| words[0] == "RUN")
        .map(|words| words[1])
        .collect();
    let (mut whole, mut cut, mut lost) = (0, 0, 0);
    for (request, vm, answer) in exchanges {
        let has_run = runs.contains(request.id.as_str());
        let count = client::event_ids(&answer.body).len();
        let is_whole = answer.is_complete && count == EVENTS;
        let is_closed = answer.took < Duration::from_secs(14);
        let is_lost = has_run && answer.status == 0 && is_closed;
        cut += usize::from(answer.status != 0 && !answer.is_complete && is_closed);
        whole += usize::from(is_whole);
        lost += usize::from(is_lost);
        let _ = writeln!(
            text,
            "{} request {} by edge-{vm}: status {}, {count} of {EVENTS} events, end of the answer {}, {} ms, run: {has_run}{}",
            answer.sent_ms,
            request.id,
            answer.status,
            if answer.is_complete {
                "seen"
            } else {
                "missing"
            },
            answer.took.as_millis(),
            if is_lost {
                ": BROKEN: passed on to a sound replica, and its connection closed without an answer"
            } else {
                ""
            }
        );
    }
    let _ = writeln!(text, "\nwhat the replicas ran:");
    for line in records {
        let _ = writeln!(text, "{line}");
    }
    (whole, cut, lost)
}

pub fn play(directory: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let mut site = Site::start(directory, &configuration())?;
    let events = EVENTS.to_string();
    for number in 0..REPLICAS {
        let options = [&*events, "1000+28", "chunked", "95"];
        site.add_replica(
            &format!("i-{number}"),
            "brief-llm",
            REPLICA_ZONES[number % 4],
            &options,
        )?;
    }
    for (number, zone) in ZONES.iter().enumerate() {
        site.add_vm(&format!("edge-{number}"), zone)?;
    }
    site.wait_until_ready()?;
    let exchanges = Arc::new(Mutex::new(Vec::new()));
    let mut text = String::new();
    let mut peaks = BTreeMap::new();
    let mut ends = BTreeMap::<usize, usize>::new();
    let mut restarts = BTreeMap::<usize, Instant>::new();
    let mut clients = Vec::new();
    let started = Instant::now();
    let kept: [Kept; 2] = Default::default();
    let (mut sent, mut number) = ([0; 2], 0);
    while started.elapsed() < SPAN {
        for index in 0..LOADED.len() {
            if sent[index] >= due(started.elapsed(), has_trouble) {
                continue;
            }
            sent[index] += 1;
            number += 1;
            let vm = LOADED[index];
            let address = site.vms[vm].caller_addr.clone();
            let (exchanges, kept, number) = (exchanges.clone(), kept[index].clone(), number);
            clients.push(thread::spawn(move || {
                let (request, answer) = play_client(&address, &kept, number);
                lock(&exchanges).push((request, vm, answer));
            }));
        }
        for number in 0..site.vms.len() {
            if let Some(due) = restarts.get(&number) {
                if Instant::now() >= *due {
                    restarts.remove(&number);
                    site.restart_vm(number, &format!("edge-{number}-again-{}", ends[&number]))?;
                }
                continue;
            }
            let memory = memory_kb(site.vms[number].process.child.id()).unwrap_or_default();
            let peak = peaks.entry(number).or_insert(0);
            *peak = memory.max(*peak);
            if memory > MEMORY_KB {
                site.vms[number].process.kill();
                *ends.entry(number).or_default() += 1;
                restarts.insert(number, Instant::now() + RESTART_DELAY);
                let _ = writeln!(
                    text,
                    "{} edge-{number} has {memory} kB of its own memory, over {MEMORY_KB} kB: the platform kills it",
                    now_ms()
                );
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    for client in clients {
        client.join().expect("a client does not panic");
    }
    let exchanges = lock(&exchanges);
    let (whole, cut, lost) = judge(&mut text, &exchanges, &site.replica_records());
    let burst = if has_trouble { BURST } else { 1.0 };
    let summary = format!(
        "bodies of {BODY} bytes, {RATE} a second on each of two VMs, {burst} times as many for {} s: {} requests, \
         {whole} whole, {cut} cut off amid the answer, {lost} passed on and closed without an answer; processes over \
         their memory: {ends:?}; most memory in kB: {peaks:?}",
        BURST_SPAN.as_secs(),
        exchanges.len()
    );
    println!("{summary}");
    fs::write(directory.join("record.txt"), format!("{summary}\n{text}"))?;
    Ok(if lost > ALLOWED {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
