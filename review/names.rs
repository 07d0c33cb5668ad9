//! A configuration takes a key away and names a model as its publisher does, with a slash.

use std::fmt::Write;
use std::fs;
use std::io;
use std::path::Path;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::Verdict;
use crate::client::{self, Request};
use crate::site::{HOST, KEY, Site};

const ZONES: [&str; 6] = ["nv-a", "nv-a", "nv-b", "nv-b", "nv-c", "nv-d"];
const REPLICAS: usize = 4;
/// `config_apply_ms`.
const APPLY: Duration = Duration::from_secs(2);
/// Time for which requests are sent after the second configuration.
const SPAN: Duration = Duration::from_secs(12);
const REVOKED_KEY: &str = "anfqasnmgkcuyj8pjbvk";

fn configuration(version: u32, keys: &str, model: &str) -> String {
    let service = |name: &str, engine: &str| {
        format!("{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_conns\":96{engine}}}")
    };
    let engine = format!(
        ",\"engine\":{{\"kv_capacity\":444000,\"models\":[{{\"name\":\"{model}\",\"cost\":0.019}}]}}"
    );
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"book\",\"host\":\"{HOST}\",\"path_prefix\":\"/book/\",\
         \"route_type\":\"unsafe\",\"timeout_ms\":1500,\"target_latency_ms\":300,\"priority\":2,\
         \"service\":\"roster-app\",\"max_attempts\":1,\"public\":false,\"sticky\":false}}],\
         \"services\":[{},{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"court\",\"api_keys\":[{keys}],\"priority\":1}}]}}",
        service("roster-app", ""),
        service("brief-llm", &engine)
    )
}

pub fn play(directory: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let both = format!("\"{KEY}\",\"{REVOKED_KEY}\"");
    let mut site = Site::start(directory, &configuration(1, &both, "daka510000"))?;
    for (number, zone) in ZONES.iter().enumerate().take(REPLICAS) {
        let options = ["1", "30", "chunked", "95"];
        site.add_replica(&format!("i-{number}"), "roster-app", zone, &options)?;
    }
    for (number, zone) in ZONES.iter().enumerate() {
        site.add_vm(&format!("edge-{number}"), zone)?;
    }
    site.wait_until_ready()?;
    let model = if has_trouble {
        "meta-llama/Llama-3.1-8B"
    } else {
        "Llama-3.1-8B"
    };
    let one = format!("\"{KEY}\"");
    site.configure(&configuration(2, &one, model))?;
    let now = || {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis()
    };
    let acknowledged = now();
    let mut text = format!("the store has acknowledged configuration 2 at {acknowledged}\n");
    let (mut late, mut stale, mut served) = (0, 0, 0);
    let mut number = 0;
    while now() < acknowledged + SPAN.as_millis() {
        for (vm, entry) in site.vms.iter().enumerate() {
            number += 1;
            let key = if number % 2 == 0 { KEY } else { REVOKED_KEY };
            let request = Request {
                id: format!("{:016x}", 0x5eed_0000 + number),
                path: "/book/hearing".to_owned(),
                deadline_ms: 1500,
                key,
                headers: String::new(),
                body: format!("booking {number}"),
            };
            let answer = client::send(&entry.caller_addr, &request);
            let is_late = answer.sent_ms > acknowledged + APPLY.as_millis();
            let is_stale = is_late && key == REVOKED_KEY && answer.status == 200;
            late += usize::from(is_late && key == REVOKED_KEY);
            stale += usize::from(is_stale);
            served += usize::from(key == KEY && answer.status == 200);
            let _ = writeln!(
                text,
                "{} request {} by edge-{vm}, key {key}: status {} stamp {}{}",
                answer.sent_ms,
                request.id,
                answer.status,
                answer.stamp,
                if is_stale {
                    ": BROKEN: run with a dropped key"
                } else {
                    ""
                }
            );
        }
        thread::sleep(Duration::from_millis(150));
    }
    let _ = writeln!(text, "\nwhat the replicas ran:");
    for line in site.replica_records() {
        let _ = writeln!(text, "{line}");
    }
    let summary = format!(
        "model {model}: {late} requests with the dropped key later than {} ms after the acknowledgement, \
         {stale} of them run; {served} served with the other key",
        APPLY.as_millis()
    );
    println!("{summary}");
    fs::write(directory.join("record.txt"), format!("{summary}\n{text}"))?;
    Ok(if stale > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
