//! Measures the propagation time of catalogue revisions over loopback sockets.
//!
//! `cargo run --release -p cloverpost --example spread [EDITS]`

use std::time::{Duration, Instant};

use cloverpost::clock::Clock;
use cloverpost::control::Router;
use cloverpost::control::spread::{self, Handle};
use cloverpost::peer::{Faults, Keys, Links, Options, Rule, Target};
use cloverpost::revisions::{Store, write};
use cloverpost_core::spread::{Edition, Member};
use cloverpost_core::{id, time};
use cloverpost_platform::memory;
use cloverpost_wire::Message;

struct Vm {
    handle: Handle,
    links: Links,
}

#[tokio::main]
async fn main() {
    let edits = std::env::args().nth(1).and_then(|arg| arg.parse().ok());
    let edits = edits.unwrap_or(50);
    println!(
        "| VMs | loss | on all p50 / p99 / max ms | in force p50 / p99 / max ms | sent bytes/s per VM at rest |"
    );
    for size in [3, 9, 27] {
        for loss in [0.0, 0.1] {
            measure(size, loss, edits).await;
        }
    }
}

async fn measure(size: usize, loss: f64, edits: u64) {
    let platform = memory::Platform::new();
    let clock = Clock::start();
    let faults = Faults::seeded(7);
    let vms = start_vms(size, &platform, clock, &faults).await;
    tokio::time::sleep(Duration::from_secs(2 + size as u64 * 2)).await;
    let idle_traffic = idle_traffic(&vms).await;
    faults.add(Rule {
        lost: loss,
        ..Rule::default()
    });
    let store = Store::new(platform.table.clone(), platform.objects.clone());
    let (mut on_all, mut in_force) = (Vec::new(), Vec::new());
    for base in 0..edits {
        let index = usize::try_from(base).unwrap_or_default() % size;
        tokio::time::sleep(Duration::from_millis(1200 + base * 37 % 500)).await;
        let (requested, start) = (clock.now(), Instant::now());
        let edition = write_revision(&store, base).await;
        let revision = edition.number;
        vms[index]
            .handle
            .accepted(requested, edition)
            .await
            .unwrap();
        let held = async {
            for vm in &vms {
                let mut current = vm.handle.current();
                let holds = |current: &spread::Current| current.view.revision >= revision;
                current.wait_for(holds).await.unwrap();
            }
            start.elapsed()
        };
        let reported = async {
            while !vms[index].handle.status(revision).await.unwrap().in_force {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            start.elapsed()
        };
        let (held, reported) = tokio::join!(held, reported);
        on_all.push(held);
        in_force.push(reported);
    }
    let (on_all, in_force) = (percentiles(on_all), percentiles(in_force));
    println!("| {size} | {loss} | {on_all} | {in_force} | {idle_traffic} |");
}

async fn start_vms(
    size: usize,
    platform: &memory::Platform,
    clock: Clock,
    faults: &Faults,
) -> Vec<Vm> {
    let mut vms = Vec::new();
    let mut routers = Vec::new();
    for index in 0..size {
        let vm: id::Vm = format!("vm-{index}").parse().unwrap();
        let zone: id::AvailabilityZone = format!("zone-{}", index % 4).parse().unwrap();
        let key = "spread-0123456789abcdef".parse().unwrap();
        let keys = Keys {
            current: key,
            additional: None,
        };
        let options = Options {
            faults: faults.clone(),
            ..Options::new(vm.clone(), zone.clone(), keys)
        };
        let address = "127.0.0.1:0".parse().unwrap();
        let (links, mut inbox) = Links::bind(address, options).await.unwrap();
        let peers = router(links.clone());
        let run = id::Run::new(index as u64);
        let options = spread::Options {
            local: Member { vm, run, zone },
            spread: cloverpost_core::spread::Options::default(),
            clock,
            seed: index as u64,
        };
        let (table, objects) = (platform.table.clone(), platform.objects.clone());
        let (task, handle) = spread::new(options, table, objects, peers.clone());
        tokio::spawn(task.run());
        let receiver = handle.clone();
        tokio::spawn(async move {
            while let Some(incoming) = inbox.recv().await {
                if let Message::Spread(message) = incoming.message {
                    receiver.receive(incoming.from.vm, message);
                }
            }
        });
        routers.push(peers);
        vms.push(Vm { handle, links });
    }
    for (index, peers) in routers.iter().enumerate() {
        let others = vms.iter().enumerate().filter(|(other, _)| *other != index);
        let targets: Vec<Target> = others.map(|(_, vm)| target(&vm.links)).collect();
        let names = targets.iter().map(|target| target.vm.clone()).collect();
        peers.set_targets(targets);
        vms[index].handle.set_peers(names).await.unwrap();
    }
    vms
}

fn target(links: &Links) -> Target {
    Target {
        vm: links.identity().vm.clone(),
        address: links.local_addr(),
    }
}

/// Writes a revision on top of `base`.
async fn write_revision(store: &Store<memory::Table, memory::Objects>, base: u64) -> Edition {
    let text = format!("{}# edit {base}\n", "# x\n".repeat(1000));
    let edit = write::Edit {
        base: id::Revision::new(base),
        edit: id::Edit::random(&mut rand::rng()),
        editor: "ada".parse().unwrap(),
        stamp: time::Timestamp::from_millis(0),
        comment: String::new(),
        text: text.clone(),
    };
    match store.write(edit).await.unwrap() {
        write::Outcome::Accepted(record) => Edition::new(record.number, text),
        write::Outcome::Conflict(current) => panic!("conflicting revision: {current:?}"),
    }
}

/// Bytes per second sent by each VM without revisions.
async fn idle_traffic(vms: &[Vm]) -> u64 {
    let sent = || vms.iter().map(|vm| vm.links.counters().bytes_sent.get());
    let before: u64 = sent().sum();
    tokio::time::sleep(Duration::from_secs(5)).await;
    let after: u64 = sent().sum();
    (after - before) / 5 / vms.len() as u64
}

fn percentiles(mut durations: Vec<Duration>) -> String {
    durations.sort();
    let at = |percent: usize| {
        let rank = (durations.len() * percent).div_ceil(100);
        durations[rank.max(1) - 1].as_millis()
    };
    format!("{} / {} / {}", at(50), at(99), at(100))
}

/// Creates a router that sends to peers over `links`.
fn router(links: cloverpost::peer::Links) -> Router {
    let router = Router::default();
    router.connect(links);
    router
}
