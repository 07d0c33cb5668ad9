//! The checks of the promises, one function each.

use std::net::SocketAddr;
use std::time::Duration;

use cloverpost::billing;
use cloverpost_core::billing::Audit;
use cloverpost_core::id;
use cloverpost_standin::engine;
use tokio::time::Instant;

use crate::caller::Reply;
use crate::demo::Tally;
use crate::demo::workload::{Exchange, Kind};
use crate::site::Site;

/// Timeout for the bills of a failed VM to reach the store.
const BILLING_TIMEOUT: Duration = Duration::from_secs(30);
/// Polling interval for bills.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Returns each reply with its exchange.
fn replies(all: &[Exchange]) -> impl Iterator<Item = (&Exchange, &Reply)> {
    all.iter()
        .flat_map(|exchange| exchange.replies().map(move |reply| (exchange, reply)))
}

/// Checks that requests for entries that the organisation may not use are refused.
pub fn permitted(all: &[Exchange]) -> Tally {
    let mut tally = Tally::new("a request runs only on a permitted version");
    for (exchange, reply) in replies(all).filter(|(exchange, _)| exchange.kind == Kind::Forbidden) {
        let refused = !reply.is_success() && reply.header("cloverpost-ran") == Some("no");
        tally.check(refused, || format!("{}: {}", exchange.prompt, reply.status));
    }
    tally
}

/// Checks that requests for the withdrawn entry are refused after the withdrawal.
pub fn withdrawn(after: &[Exchange]) -> Tally {
    let mut tally = Tally::new("a withdrawn version receives no new work");
    for (exchange, reply) in replies(after).filter(|(exchange, _)| exchange.kind == Kind::Withdrawn)
    {
        tally.check(!reply.is_success(), || {
            format!("{} was answered", exchange.prompt)
        });
    }
    tally
}

/// Checks that all responses of a session name the same version.
pub fn sessions(all: &[Exchange]) -> Tally {
    let mut tally = Tally::new("a session keeps its version");
    for exchange in all.iter().filter(|exchange| exchange.kind == Kind::Session) {
        let versions: Vec<_> = exchange
            .replies()
            .filter(|reply| reply.is_success())
            .map(|reply| reply.header("cloverpost-version"))
            .collect();
        let same = versions
            .windows(2)
            .all(|pair| pair[0].is_some() && pair[0] == pair[1]);
        tally.check(same, || format!("{}: {versions:?}", exchange.prompt));
    }
    tally
}

/// Returns whether the content is what the version in it generates for the prompt.
fn matches_prompt(prompt: &str, reply: &Reply) -> bool {
    let content = reply.content();
    let mut words = content.split(' ');
    let (Some(target), Some(digest)) = (words.next(), words.next()) else {
        return false;
    };
    let Ok(target) = target.parse() else {
        return false;
    };
    let message = serde_json::json!({"role": "user", "content": prompt});
    engine::chat::digest(&[message], &target) == digest
}

/// Checks that complete responses belong to the prompt of their request.
pub fn complete_responses(all: &[Exchange]) -> Tally {
    let mut tally = Tally::new("a caller receives the whole answer to its own request");
    let responses = replies(all)
        .filter(|(exchange, reply)| exchange.kind != Kind::Booking && reply.is_success())
        .filter(|(_, reply)| reply.is_complete());
    for (exchange, reply) in responses {
        let matches = matches_prompt(&exchange.prompt, reply);
        tally.check(matches, || {
            format!("{}: {}", exchange.prompt, reply.content())
        });
    }
    tally
}

/// Checks that no upstream ran a request that was refused as not run.
pub fn refusals(site: &Site, all: &[Exchange]) -> Tally {
    let mut tally = Tally::new("a refusal that says not run is true");
    for (exchange, reply) in replies(all) {
        if reply.header("cloverpost-ran") != Some("no") {
            continue;
        }
        let request = reply.header("cloverpost-request").unwrap_or_default();
        let runs = site.count_by_request(request);
        tally.check(runs == 0, || {
            format!("{}: ran {runs} times", exchange.prompt)
        });
    }
    tally
}

/// Checks that the service ran each booking once, or at most once if its outcome is unknown.
pub fn at_most_once(site: &Site, all: &[Exchange]) -> Tally {
    let mut tally = Tally::new("a booking runs at most once, resends included");
    for exchange in all.iter().filter(|exchange| exchange.kind == Kind::Booking) {
        let runs = site
            .service
            .handle()
            .journal()
            .count_by_key(&exchange.prompt);
        // A booking without a successful response must be reported as having an unknown outcome.
        let answered = exchange.replies().any(Reply::is_success);
        let unknown = exchange
            .replies()
            .any(|reply| reply.header("cloverpost-ran") == Some("unknown"));
        let ok = runs == 1 && answered || runs <= 1 && unknown;
        tally.check(ok, || {
            format!(
                "{}: ran {runs} times, {:?}",
                exchange.prompt, exchange.attempts
            )
        });
    }
    tally
}

/// Checks that the drained engine ran nothing more.
pub fn drained(site: &Site, runs_before: usize) -> Tally {
    let mut tally = Tally::new("an upstream that is leaving receives no new work");
    let runs = site.engines[0].handle().journal().runs().len();
    tally.check(runs == runs_before, || {
        format!("{} runs after it was drained", runs - runs_before)
    });
    tally
}

/// Checks that the graceful shutdown of a VM truncated no response. Only the killed VM may
/// leave responses incomplete.
pub fn none_truncated(all: &[Exchange], killed: Option<SocketAddr>) -> Tally {
    let mut tally = Tally::new("a planned stop cuts off no request in flight");
    let attempts = all.iter().flat_map(|exchange| {
        exchange
            .attempts
            .iter()
            .map(move |attempt| (exchange, attempt))
    });
    for (exchange, attempt) in attempts.filter(|(_, attempt)| Some(attempt.vm) != killed) {
        let intact = match &attempt.result {
            Ok(reply) => !reply.is_success() || reply.is_complete(),
            Err(error) => error.is_connect,
        };
        tally.check(intact, || {
            format!("{}: {:?}", exchange.prompt, attempt.result)
        });
    }
    tally
}

/// Checks that every request ended with a complete response or a refusal.
pub fn all_settled(all: &[Exchange]) -> Tally {
    let mut tally = Tally::new("every request ends with a whole answer or a refusal");
    for exchange in all {
        tally.check(exchange.is_settled(), || {
            format!("{}: {:?}", exchange.prompt, exchange.attempts)
        });
    }
    tally
}

/// Checks that every complete response has exactly one bill. The bill of a booking is that of
/// its single run.
pub async fn bills(site: &Site, all: &[Exchange]) -> Tally {
    let mut tally = Tally::new("each request is billed exactly once");
    let audit = match wait_for_bills(site, all).await {
        Ok(audit) => audit,
        Err(error) => {
            tally.check(false, || format!("cannot read the bills: {error}"));
            return tally;
        }
    };
    for exchange in all {
        let counts = bill_counts(site, &audit, exchange);
        tally.check(is_billed(exchange, &counts), || {
            format!("{}: {counts:?} bills", exchange.prompt)
        });
    }
    let duplicates = audit.duplicates().count();
    tally.check(duplicates == 0, || {
        format!("{duplicates} requests are billed twice")
    });
    tally
}

/// Returns the bills once every complete response has one, or after `BILLING_TIMEOUT`.
async fn wait_for_bills(site: &Site, all: &[Exchange]) -> Result<Audit, String> {
    let deadline = Instant::now() + BILLING_TIMEOUT;
    loop {
        let audit = billing::audit(&site.platform.table).await;
        let audit = audit.map_err(|error| error.to_string())?;
        let settled = all
            .iter()
            .all(|exchange| is_billed(exchange, &bill_counts(site, &audit, exchange)));
        if settled || Instant::now() > deadline {
            return Ok(audit);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the number of bills of each complete response or, for a booking, of each run.
fn bill_counts(site: &Site, audit: &Audit, exchange: &Exchange) -> Vec<usize> {
    let requests: Vec<id::Request> = if exchange.kind == Kind::Booking {
        booking_runs(site, exchange)
    } else {
        exchange
            .replies()
            .filter(|reply| reply.is_success() && reply.is_complete())
            .filter_map(|reply| reply.header("cloverpost-request")?.parse().ok())
            .collect()
    };
    requests
        .iter()
        .map(|request| audit.bills(request))
        .collect()
}

/// Returns the ids of the requests under which the service ran the booking.
fn booking_runs(site: &Site, exchange: &Exchange) -> Vec<id::Request> {
    let runs = site.service.handle().journal().runs();
    runs.iter()
        .filter(|run| run.key.as_deref() == Some(exchange.prompt.as_str()))
        .filter_map(|run| run.request.as_deref()?.parse().ok())
        .collect()
}

/// Returns whether the exchange is billed correctly. A booking without a successful response
/// may lack a bill, because its VM may have failed before creating one.
fn is_billed(exchange: &Exchange, counts: &[usize]) -> bool {
    let answered = exchange.replies().any(Reply::is_success);
    if exchange.kind == Kind::Booking && !answered {
        return counts.iter().sum::<usize>() <= 1;
    }
    counts.iter().all(|count| *count == 1)
}
