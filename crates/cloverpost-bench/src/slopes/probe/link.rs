//! Links between VMs over loopback. Both ends run on the measuring thread.

use std::time::Duration;

use cloverpost::peer::{Inbox, Incoming, Keys, Links, Options, Target};
use cloverpost_core::membership;
use cloverpost_wire::Message;

use crate::slopes::probe::{encoding, runtime};
use crate::slopes::{Meter, Quantity, Unit, fixture, meter};

/// Numbers of members in a message.
const MESSAGE_SIZES: &[usize] = &[0, 4, 16, 64];
/// Messages sent at each size.
const MESSAGES: usize = 64;
/// Numbers of links to open.
const LINKS: &[usize] = &[8, 16, 32, 64];
/// Numbers of links for the memory measurement. Each needs three file descriptors.
const MEMORY_SIZES: &[usize] = &[20, 40, 80, 160];
/// Timeout that is not reached on a busy machine.
const TIMEOUT: Duration = Duration::from_mins(1);

async fn bind(index: usize) -> (Links, Inbox) {
    let keys = Keys {
        current: fixture::parse_name("a-key-of-the-fleet-0123456789"),
        additional: None,
    };
    let options = Options {
        max_links: 1024,
        handshake_timeout: TIMEOUT,
        message_timeout: TIMEOUT,
        idle_timeout: TIMEOUT,
        ..Options::new(fixture::vm(index), fixture::zone(index), keys)
    };
    let bound = Links::bind(
        "127.0.0.1:0".parse().expect("address should be valid"),
        options,
    )
    .await;
    bound.expect("links should bind")
}

fn target(links: &Links) -> Target {
    Target {
        vm: links.identity().vm.clone(),
        address: links.local_addr(),
    }
}

fn message(members: usize) -> Message {
    let members = (0..members).map(fixture::member).collect();
    Message::Membership(membership::Message::Sync { members })
}

/// Replies to every message with the message itself.
fn echo(mut inbox: Inbox) {
    tokio::spawn(async move {
        while let Some(Incoming { message, reply, .. }) = inbox.recv().await {
            reply.send(message);
        }
    });
}

/// Measures messages and requests over an open link.
pub fn measure_messages(meter: &mut Meter) {
    for &members in MESSAGE_SIZES {
        let message = message(members);
        let size = encoding::frame_len(&message);
        let (deliver, request) = runtime().block_on(exchange(meter, &message));
        record(
            meter,
            Unit::Message,
            "message over an open link",
            "frame bytes",
            size,
            deliver,
        );
        record(
            meter,
            Unit::Message,
            "question and equal answer",
            "frame bytes",
            size,
            request,
        );
    }
}

/// Cost of a message, or of a number of links.
#[derive(Clone, Copy, Debug)]
struct Cost {
    cpu: f64,
    sent: f64,
    received: f64,
}

fn record(
    meter: &mut Meter,
    unit: Unit,
    what: &'static str,
    by: &'static str,
    size: usize,
    cost: Cost,
) {
    meter.record(unit, what, by, Quantity::Cpu, size, cost.cpu);
    meter.record(unit, what, by, Quantity::Sent, size, cost.sent);
    meter.record(unit, what, by, Quantity::Received, size, cost.received);
}

async fn exchange(meter: &Meter, message: &Message) -> (Cost, Cost) {
    let (local, _inbox) = bind(0).await;
    let (remote, inbox) = bind(1).await;
    echo(inbox);
    let target = target(&remote);
    // Warm up: the first message opens the link and fills the header table.
    local
        .request(&target, message)
        .await
        .expect("message should be delivered");
    local
        .deliver(&target, message)
        .await
        .expect("message should be delivered");
    let before = Counters::read(meter, &local);
    for _ in 0..MESSAGES {
        local
            .deliver(&target, message)
            .await
            .expect("message should be delivered");
    }
    let deliver = before.cost_until(Counters::read(meter, &local), MESSAGES);
    let before = Counters::read(meter, &local);
    for _ in 0..MESSAGES {
        local
            .request(&target, message)
            .await
            .expect("message should be delivered");
    }
    let request = before.cost_until(Counters::read(meter, &local), MESSAGES);
    local.close().await;
    remote.close().await;
    (deliver, request)
}

/// Values of the counters at one time.
#[derive(Clone, Copy, Debug)]
struct Counters {
    nanos: u64,
    sent: u64,
    received: u64,
}

impl Counters {
    fn read(meter: &Meter, links: &Links) -> Self {
        let counters = links.counters();
        Self {
            nanos: meter.thread_cpu_nanos(),
            sent: counters.bytes_sent.get(),
            received: counters.bytes_received.get(),
        }
    }

    fn cost_until(&self, after: Self, count: usize) -> Cost {
        let each =
            |after, before| meter::amount_to_f64(after - before) / meter::count_to_f64(count);
        Cost {
            cpu: each(after.nanos, self.nanos),
            sent: each(after.sent, self.sent),
            received: each(after.received, self.received),
        }
    }
}

/// Measures opening links, each with one small message.
pub fn measure_opening(meter: &mut Meter) {
    for &size in LINKS {
        let cost = runtime().block_on(async {
            let peers = bind_peers(size).await;
            let (local, _inbox) = bind(0).await;
            let before = Counters::read(meter, &local);
            open(&local, &peers).await;
            let cost = before.cost_until(Counters::read(meter, &local), 1);
            close(local, peers).await;
            cost
        });
        record(
            meter,
            Unit::Link,
            "links opened, with a first message",
            "links",
            size,
            cost,
        );
    }
}

/// Measures the memory of open links, both ends.
pub fn measure_memory(meter: &mut Meter) {
    // Open one link beforehand, so that code loaded by the first link does not count as growth.
    open_links_growth(meter, 1);
    for &size in MEMORY_SIZES {
        let growth = open_links_growth(meter, size);
        let what = "open link, both ends";
        meter.record(Unit::Link, what, "links", Quantity::Memory, size, growth);
    }
}

fn open_links_growth(meter: &mut Meter, size: usize) -> f64 {
    let runtime = runtime();
    let (local, inbox, peers) = runtime.block_on(async {
        let peers = bind_peers(size).await;
        let (local, inbox) = bind(0).await;
        (local, inbox, peers)
    });
    meter.memory_growth(|| {
        runtime.block_on(open(&local, &peers));
        (runtime, local, inbox, peers)
    })
}

async fn bind_peers(count: usize) -> Vec<Links> {
    let mut peers = Vec::new();
    for index in 1..=count {
        let (links, inbox) = bind(index).await;
        echo(inbox);
        peers.push(links);
    }
    peers
}

async fn open(local: &Links, peers: &[Links]) {
    for links in peers {
        let delivered = local.deliver(&target(links), &message(0)).await;
        delivered.expect("message should be delivered");
    }
}

async fn close(local: Links, peers: Vec<Links>) {
    local.close().await;
    for links in peers {
        links.close().await;
    }
}
