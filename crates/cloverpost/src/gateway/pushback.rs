//! Upstreams that asked this VM to send them nothing.

use std::sync::Arc;

use cloverpost_core::pushback::{Block, Notice};
use cloverpost_core::{directory, id};
use cloverpost_wire::Message;

use crate::gateway::Shared;
use crate::gateway::codec::{Codec, Stated, Statements};
use crate::gateway::job::Job;
use crate::gateway::pool::Connection;
use crate::gateway::response;
use crate::peer;

/// Whether `upstream`, which was selected for `job`, has asked for no requests since, as the request
/// waited for a connection. `kind` is that of the attempt.
pub fn is_blocked<C: Codec>(
    shared: &Shared<C>,
    job: &Job,
    upstream: &directory::Upstream,
    kind: &'static str,
) -> bool {
    let now = shared.clock.now();
    let (block, age) = {
        let admission = shared.admission();
        let pushback = &admission.pushback;
        (
            pushback.block(&upstream.id, now),
            pushback.age(&upstream.id, now),
        )
    };
    let Some(block) = block else {
        return false;
    };
    let withheld = &shared.metrics.pushback.withheld;
    let labels = [job.service.as_str(), block.as_str(), kind];
    withheld.with_label_values(&labels).inc();
    log::info!(
        id = job.head.id.as_str(), upstream = upstream.id.as_str(), block:%, kind,
        age_ms = response::millis(age.unwrap_or_default());
        "the upstream asked for no requests as this one waited for a connection"
    );
    true
}

/// Records what `upstream` asks for in a response on `connection`. What it asks for behind a tunnel it
/// asks of the VM that the tunnel leads through, too.
pub fn record_response<C: Codec>(
    shared: &Shared<C>,
    job: &Job,
    upstream: &directory::Upstream,
    connection: &Connection,
    statements: &Statements,
) {
    let is_leaving = read(job, upstream, &statements.leaving).unwrap_or_default();
    let rest = read(job, upstream, &statements.rest);
    if !is_leaving && rest.is_none() {
        return;
    }
    let notice = Notice {
        upstream: upstream.id.clone(),
        born_ms: upstream.born_ms,
        is_leaving,
        rest,
    };
    record(shared, upstream, &notice, &job.head.id, "");
    if let Some(vm) = connection.via() {
        tell(shared, vm, notice);
    }
}

/// Records what an upstream asked of this VM in a response that `from` read behind a tunnel.
pub fn merge<C: Codec>(shared: &Shared<C>, from: &id::Vm, notice: &Notice) {
    let view = shared.view.load();
    let mut upstreams = view.upstreams();
    let is_meant = |one: &&Arc<directory::Upstream>| {
        one.id == notice.upstream && one.born_ms == notice.born_ms
    };
    if let Some(upstream) = upstreams.find(is_meant) {
        record(shared, upstream, notice, "", from.as_str());
    }
}

/// Tells `vm` what an upstream asked of it behind its tunnel.
fn tell<C: Codec>(shared: &Shared<C>, vm: &id::Vm, notice: Notice) {
    let peers = shared.peers.load();
    let peer = peers.iter().find(|member| member.vm == *vm);
    let Some((links, peer)) = shared.links.get().zip(peer) else {
        return;
    };
    let target = peer::Target {
        vm: vm.clone(),
        address: peer.address,
    };
    let message = Message::Pushback(notice);
    let messages = &shared.metrics.peers.messages;
    messages.with_label_values(&[message.kind()]).inc();
    if let Err(error) = links.send(&target, &message) {
        log::debug!(peer:% = target, why:% = error; "failed to send a message to a peer");
    }
}

/// Records `notice` of `upstream`. `id` is that of the request whose response has it, or `peer` the VM
/// that told of it.
fn record<C: Codec>(
    shared: &Shared<C>,
    upstream: &directory::Upstream,
    notice: &Notice,
    id: &str,
    peer: &str,
) {
    let now = shared.clock.now();
    let (is_leaving, is_resting) = {
        let mut admission = shared.admission();
        let pushback = &mut admission.pushback;
        let is_leaving = notice.is_leaving && pushback.record_leaving(&upstream.id, now);
        let rest = notice.rest.unwrap_or_default();
        let is_resting = pushback.record_rest(&upstream.id, rest, rand::random(), now);
        (is_leaving, is_resting)
    };
    let (service, upstream) = (upstream.service.as_str(), &upstream.id);
    if is_leaving {
        // Requests in flight keep their connections.
        shared.pool.close_idle(upstream);
        count_asked(shared, Block::Leaving);
        log::info!(id, peer, upstream = upstream.as_str(), service; "the upstream says that it leaves");
    }
    if is_resting {
        count_asked(shared, Block::Resting);
        let rest_ms = response::millis(notice.rest.unwrap_or_default());
        log::info!(id, peer, upstream = upstream.as_str(), service, rest_ms; "the upstream asks for rest");
    }
}

/// Logs the rests that have ended, and counts the upstreams that get no request.
pub fn record_ends<C: Codec>(shared: &Shared<C>) {
    let now = shared.clock.now();
    let (ended, counts) = {
        let mut admission = shared.admission();
        let pushback = &mut admission.pushback;
        let counts = Block::ALL.map(|block| (block, pushback.count(block, now)));
        (pushback.take_ended(now), counts)
    };
    for (upstream, lasted) in ended {
        log::info!(
            upstream = upstream.as_str(), lasted_ms = response::millis(lasted);
            "the rest that the upstream asked for is over"
        );
    }
    for (block, count) in counts {
        shared.metrics.pushback.set_upstreams(block, count);
    }
}

fn count_asked<C: Codec>(shared: &Shared<C>, block: Block) {
    let asked = &shared.metrics.pushback.asked;
    asked.with_label_values(&[block.as_str()]).inc();
}

/// The value that `upstream` states, if it can be read.
fn read<T: Copy>(job: &Job, upstream: &directory::Upstream, stated: &Stated<T>) -> Option<T> {
    match stated {
        Stated::Absent => None,
        Stated::Value(value) => Some(*value),
        Stated::Malformed(value) => {
            log::warn!(
                id = job.head.id.as_str(), upstream = upstream.id.as_str(), value = value.as_str();
                "what the upstream asks for cannot be read, what was known of it stays"
            );
            None
        }
    }
}
