//! Exports the counters of billing and the peer links as metrics.
//!
//! These components keep their own counters, which are read on each scrape.

use std::sync::Arc;

use crate::billing::Counters;
use crate::front;
use crate::peer;

/// Accessor of one billing counter.
type ReadCounter = fn(&Counters) -> u64;

/// Billing metrics: name, help text and accessor.
const BILLING: [(&str, &str, ReadCounter); 14] = [
    ("stored", "records in the store before the end", |c| {
        c.stored
    }),
    ("copied", "records at as many peers as wanted", |c| c.copied),
    ("copied_once", "records at one peer only", |c| {
        c.under_replicated
    }),
    ("exposed", "records in this VM only", |c| c.unprotected),
    ("store_calls", "calls to the store", |c| c.store_calls),
    ("store_failures", "failed calls to the store", |c| {
        c.store_failures
    }),
    ("conflicts", "appends that lost a race", |c| c.conflicts),
    ("segments", "segments written", |c| c.segments),
    ("take_over_segments", "segments written for dead VMs", |c| {
        c.take_over_segments
    }),
    ("messages", "messages to peers", |c| c.messages),
    ("pending_records", "own records not in the store", |c| {
        to_u64(c.pending_records)
    }),
    (
        "pending_bytes",
        "bytes of own records not in the store",
        |c| to_u64(c.pending_bytes),
    ),
    ("held_records", "copies of others' records", |c| {
        to_u64(c.held_records)
    }),
    ("held_bytes", "bytes of copies of others' records", |c| {
        to_u64(c.held_bytes)
    }),
];

/// Registers the metrics of billing, of the peer links and of the catalogue's
/// confirmation.
pub fn register(state: &front::State, links: &Arc<peer::Counters>) {
    for (name, help, read) in BILLING {
        let billing = Arc::clone(&state.billing);
        let read = move || read(&billing.counters());
        state
            .metrics
            .register_gauge(&format!("billing_{name}"), help, read);
    }
    for (index, (name, _)) in links.values().into_iter().enumerate() {
        let links = Arc::clone(links);
        let read = move || links.values()[index].1;
        state
            .metrics
            .register_gauge(&format!("peer_{name}"), "see the operators' page", read);
    }
    let confirmed = state.clone();
    state.metrics.register_gauge(
        "catalogue_confirmed",
        "1 while the catalogue is confirmed",
        move || u64::from(confirmed.is_confirmed()),
    );
}

fn to_u64(value: usize) -> u64 {
    u64::try_from(value).unwrap_or(u64::MAX)
}
