//! Tracks upstreams and entry VMs by polling the platform's VM list.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use cloverpost_core::id;
use cloverpost_core::membership::{Incarnation, Member, State};
use cloverpost_core::time;
use cloverpost_platform::vms::{Role, State as VmState, Vm, Vms};
use ractor::{Actor, ActorProcessingErr, ActorRef};

use crate::control::{load, spread};
use crate::front;
use crate::peer;
use crate::snapshot;

/// Interval between reads of the VM list.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which an entry VM that is missing from the list counts as removed.
const REMOVAL_TIMEOUT: Duration = Duration::from_mins(1);
/// Concurrency limit of an upstream whose pool is not in the catalogue.
const DEFAULT_LIMIT: u32 = 64;
/// Number of upstreams polled for their load in each interval.
const LOAD_POLLS: usize = 16;

/// Messages of the actor.
#[derive(Debug)]
pub enum Message {
    /// Read the VM list and poll upstreams for their load.
    Read,
}

struct Upstreams<V>(std::marker::PhantomData<V>);

/// Recipients of changes to the list of entry VMs.
pub struct Listeners {
    /// Membership, which contacts the listed entry VMs.
    pub members: peer::members::Handle,
    /// Catalogue propagation, which removes VMs from the roster.
    pub spread: spread::Handle,
}

/// State of the actor.
pub struct Inventory<V> {
    front: front::State,
    vms: V,
    listeners: Listeners,
    /// Entry VMs that have been listed, with the time since which each has been missing.
    entry_vms: HashMap<id::Vm, Option<time::Moment>>,
    upstreams: HashMap<id::Vm, snapshot::Upstream>,
    /// Whether the last read of the list succeeded.
    reachable: bool,
    /// Rotating index of the next upstream to poll for its load.
    next_poll: usize,
}

/// Starts the actor. Returns after the first read of the list.
pub async fn start<V: Vms>(
    front: front::State,
    vms: V,
    listeners: Listeners,
) -> Result<ActorRef<Message>, ractor::SpawnErr> {
    let inventory = Inventory {
        front,
        vms,
        listeners,
        entry_vms: HashMap::new(),
        upstreams: HashMap::new(),
        reachable: true,
        next_poll: 0,
    };
    let actor = Upstreams(std::marker::PhantomData);
    let (actor, _task) = Actor::spawn(None, actor, inventory).await?;
    actor.send_interval(READ_INTERVAL, || Message::Read);
    Ok(actor)
}

impl<V: Vms> Actor for Upstreams<V> {
    type Msg = Message;
    type State = Inventory<V>;
    type Arguments = Inventory<V>;

    async fn pre_start(
        &self,
        _myself: ActorRef<Message>,
        mut inventory: Inventory<V>,
    ) -> Result<Inventory<V>, ActorProcessingErr> {
        inventory.read().await;
        Ok(inventory)
    }

    async fn handle(
        &self,
        _myself: ActorRef<Message>,
        Message::Read: Message,
        inventory: &mut Inventory<V>,
    ) -> Result<(), ActorProcessingErr> {
        inventory.read().await;
        inventory.poll_loads();
        Ok(())
    }
}

impl<V: Vms> Inventory<V> {
    /// Reads the list and publishes it.
    ///
    /// If the read fails, the last list remains in use. Requests to upstreams that have
    /// stopped since then fail with refused connections.
    async fn read(&mut self) {
        let list = self.vms.list().await;
        let reachable = list.is_ok();
        if reachable != self.reachable {
            if reachable {
                log::warn!("VM list can be read again");
            } else {
                log::warn!("failed to read the VM list; using the last one");
            }
            self.reachable = reachable;
        }
        match list {
            Ok(list) => {
                self.update_entry_vms(&list).await;
                self.update_upstreams(list);
            }
            Err(_) => self
                .front
                .metrics
                .platform_faults
                .with_label_values(&["vms"])
                .inc(),
        }
    }

    /// Reports the listed entry VMs to membership and removed ones to the catalogue
    /// propagation.
    async fn update_entry_vms(&mut self, list: &[Vm]) {
        let entries = list.iter().filter(|vm| vm.role == Role::Entry);
        let members: Vec<_> = entries.map(member).collect();
        let names: HashSet<_> = members.iter().map(|member| member.vm.clone()).collect();
        let removed = self.take_removed(&names);
        self.listeners.members.set_listed(members);
        for vm in removed {
            // Fails only during shutdown.
            let _ = self.listeners.spread.remove_vm(vm).await;
        }
    }

    /// Returns and forgets the entry VMs that have been missing from the list for
    /// [`REMOVAL_TIMEOUT`].
    ///
    /// The list lags and may omit a VM temporarily. A VM removed from the roster too
    /// early could keep serving on a confirmation that the remaining members no longer
    /// take into account.
    fn take_removed(&mut self, listed: &HashSet<id::Vm>) -> Vec<id::Vm> {
        let now = self.front.clock.now();
        for name in listed {
            self.entry_vms.insert(name.clone(), None);
        }
        let mut removed = Vec::new();
        for (name, missing) in &mut self.entry_vms {
            if listed.contains(name) {
                continue;
            }
            let since = missing.get_or_insert(now);
            if now.since(*since) >= REMOVAL_TIMEOUT {
                removed.push(name.clone());
            }
        }
        self.entry_vms.retain(|name, _| !removed.contains(name));
        removed
    }

    fn update_upstreams(&mut self, list: Vec<Vm>) {
        let catalogue = Arc::clone(&self.front.snapshot.load().catalogue);
        let mut upstreams = HashMap::new();
        let mut pools: HashMap<id::Pool, Vec<snapshot::Upstream>> = HashMap::new();
        for vm in list {
            let Role::Upstream(pool) = vm.role else {
                continue;
            };
            if vm.state == VmState::Leaving {
                continue;
            }
            let limit = catalogue
                .pool(&pool)
                .map_or(DEFAULT_LIMIT, |pool| pool.concurrency);
            // An upstream that was listed before keeps its load and its reports.
            let known = self.upstreams.remove(&vm.name);
            let upstream = known
                .filter(|known| known.address == vm.address)
                .unwrap_or_else(|| {
                    snapshot::Upstream::new(vm.name.clone(), vm.address, vm.zone, limit)
                });
            upstreams.insert(vm.name, upstream.clone());
            pools.entry(pool).or_default().push(upstream);
        }
        self.upstreams = upstreams;
        let overload = &self.front.overload;
        self.front.snapshot.update(|snapshot| {
            for pool in pools.keys() {
                let queue = || Arc::new(overload.create_queue(pool.clone()));
                snapshot.queues.entry(pool.clone()).or_insert_with(queue);
            }
            snapshot.upstreams = pools;
        });
    }

    /// Polls the next [`LOAD_POLLS`] upstreams, in rotation, for their load.
    ///
    /// The number is fixed to bound the cost in large fleets; older reports have less
    /// weight in the choice of an upstream.
    fn poll_loads(&mut self) {
        let mut all: Vec<_> = self.upstreams.values().cloned().collect();
        all.sort_by(|left, right| left.name.cmp(&right.name));
        let count = all.len().min(LOAD_POLLS);
        for offset in 0..count {
            let upstream = all[(self.next_poll + offset) % all.len()].clone();
            tokio::spawn(load::poll(self.front.clone(), upstream));
        }
        self.next_poll = self.next_poll.wrapping_add(count);
    }
}

/// Converts a listed entry VM to a member in the initial state.
fn member(vm: &Vm) -> Member {
    Member {
        vm: vm.name.clone(),
        zone: vm.zone.clone(),
        address: vm.address,
        incarnation: Incarnation::default(),
        state: State::Alive,
    }
}
