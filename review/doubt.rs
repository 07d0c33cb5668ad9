//! The smallest model doubts its answers, on a route whose streams may not be resumed.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::fs;
use std::io;
use std::path::Path;
use std::time::Duration;

use crate::Verdict;
use crate::client::{self, Request};
use crate::load;
use crate::site::{HOST, KEY, Site};

const ZONES: [&str; 6] = ["nv-a", "nv-a", "nv-b", "nv-b", "nv-c", "nv-d"];
const REPLICAS: usize = 6;
const EVENTS: usize = 6;
const RATE: u32 = 20;
const SPAN: Duration = Duration::from_secs(14);

fn configuration() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"brief\",\"host\":\"{HOST}\",\"path_prefix\":\"/brief/\",\
         \"route_type\":\"streaming\",\"timeout_ms\":15000,\"target_latency_ms\":2000,\
         \"target_gap_ms\":1000,\"priority\":1,\"service\":\"brief-llm\",\"max_attempts\":3,\
         \"public\":false,\"sticky\":true,\"sizes\":[\"daka-small\",\"daka-middle\",\"daka-large\"]}}],\
         \"services\":[{{\"name\":\"brief-llm\",\"health_path\":\"/healthz\",\"max_conns\":290,\
         \"engine\":{{\"kv_capacity\":444000,\"models\":[{{\"name\":\"daka-small\",\"cost\":0.019}},\
         {{\"name\":\"daka-middle\",\"cost\":0.14}},{{\"name\":\"daka-large\",\"cost\":0.29}}]}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"court\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

pub fn play(directory: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let mut site = Site::start(directory, &configuration())?;
    let events = EVENTS.to_string();
    let confidence = if has_trouble { "20" } else { "95" };
    for number in 0..REPLICAS {
        let name = format!("i-{number}");
        let options = [&*events, "20", "chunked", confidence];
        site.add_replica(&name, "brief-llm", ZONES[number % ZONES.len()], &options)?;
    }
    for (number, zone) in ZONES.iter().enumerate() {
        site.add_vm(&format!("edge-{number}"), zone)?;
    }
    site.wait_until_ready()?;
    let addresses: Vec<_> = site.vms.iter().map(|vm| vm.caller_addr.clone()).collect();
    let exchanges = load::play(&addresses, RATE, SPAN, |number| Request {
        id: format!("{:016x}", 0x5eed_0000 + number),
        path: "/brief/summary".to_owned(),
        deadline_ms: 15_000,
        key: KEY,
        headers: format!(
            "Cloverpost-Model: *\r\nCloverpost-Token-Count: 2000,200\r\n\
             Cloverpost-Prefix-Hash: 5c1e07a2:1200,{:x}:800\r\n",
            0x9000 + number
        ),
        body: format!("bundle {number}"),
    });
    let records = site.replica_records();
    let mut runs = BTreeMap::<&str, Vec<&str>>::new();
    for line in &records {
        let mut words = line.split(' ').skip(1);
        if words.next() == Some("RUN") {
            runs.entry(words.next().unwrap_or_default())
                .or_default()
                .push(line);
        }
    }
    let mut text = String::new();
    let (mut whole, mut twice) = (0, 0);
    for (request, vm, answer) in &exchanges {
        let count = runs.get(request.id.as_str()).map_or(0, Vec::len);
        let ids = client::event_ids(&answer.body);
        whole += usize::from(answer.is_complete && ids.iter().copied().eq(1..=EVENTS));
        twice += usize::from(count > 1);
        let _ = writeln!(
            text,
            "{} request {} by edge-{vm}: status {} stamp {} {} events, run {count} times{}",
            answer.sent_ms,
            request.id,
            answer.status,
            answer.stamp,
            ids.len(),
            if count > 1 {
                ": BROKEN: not idempotent, and run more than once"
            } else {
                ""
            }
        );
    }
    let _ = writeln!(text, "\nwhat the replicas ran:");
    for line in &records {
        let _ = writeln!(text, "{line}");
    }
    let summary = format!(
        "confidence of the smallest model: {confidence}; {} requests: {whole} answered in full, {twice} run more than once",
        exchanges.len()
    );
    println!("{summary}");
    fs::write(directory.join("record.txt"), format!("{summary}\n{text}"))?;
    if whole * 2 < exchanges.len() {
        return Err(io::Error::other(
            "fewer than half of the streams were served",
        ));
    }
    Ok(if twice > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
