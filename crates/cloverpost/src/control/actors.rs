//! Startup and shutdown of the actors and tasks on the control thread.

use std::net::SocketAddr;
use std::sync::Arc;

use cloverpost_core::membership::Options;
use cloverpost_core::{id, spread as core_spread};
use cloverpost_platform::Platform;
use ractor::ActorRef;
use rand::Rng;

use crate::billing;
use crate::clock;
use crate::control::membership::Subscriber;
use crate::control::thread::Error;
use crate::control::{
    Router, capacity, concurrency, dispatch, publish, quarantine, spread, upstreams,
};
use crate::front;
use crate::peer;
use crate::plan;

/// Dependencies of the control thread.
pub struct Dependencies<P: Platform> {
    /// Shared state of the VM.
    pub front: front::State,
    /// Clients of the platform's services.
    pub platform: P,
    /// Sends messages to peers.
    pub router: Router,
    /// Billing task to run on the thread.
    pub billing: billing::Task<P::Table, Router>,
}

/// Handles of the actors on the control thread, for the rest of the VM.
#[derive(Clone, Debug)]
pub struct Handles {
    /// Handle of the catalogue propagation task.
    pub spread: spread::Handle,
    /// Address that peers connect to.
    pub peer_addr: SocketAddr,
    /// Counters of the links to peers.
    pub links: Arc<peer::Counters>,
}

/// The running actors.
pub struct Actors {
    /// Handles for the rest of the VM.
    pub handles: Handles,
    links: peer::Links,
    members: peer::members::Handle,
    upstreams: ActorRef<upstreams::Message>,
}

impl Actors {
    /// Starts all actors and tasks. Returns after the first read of the VM list.
    pub async fn start<P: Platform>(dependencies: Dependencies<P>) -> Result<Self, Error> {
        let Dependencies {
            front,
            platform,
            router,
            billing,
        } = dependencies;
        let (links, inbox) = bind(&front).await?;
        router.connect(links.clone());
        tokio::spawn(billing.run());
        let spread = start_spread(&front, &platform, router.clone());
        tokio::spawn(publish::run(spread.current(), front.clone()));
        if let Some(outgoing) = front.quarantine.take_outgoing() {
            tokio::spawn(quarantine::run(outgoing, router.clone()));
        }
        start_keeper(&front, &spread, router.clone());
        if let Some(observations) = front.overload.take_observations() {
            tokio::spawn(concurrency::run(observations, front.clone()));
        }
        let members = peer::members::start(links.clone(), Options::default(), Vec::new());
        let members = members.await.map_err(Error::Actor)?;
        let subscriber = Subscriber {
            front: front.clone(),
            links: links.clone(),
            router,
            spread: spread.clone(),
        };
        tokio::spawn(subscriber.run(members.view(), members.events()));
        tokio::spawn(dispatch::run(
            inbox,
            front.clone(),
            members.clone(),
            spread.clone(),
        ));
        tokio::spawn(capacity::run(front.clone(), platform.clone()));
        let listeners = upstreams::Listeners {
            members: members.clone(),
            spread: spread.clone(),
        };
        let upstreams = upstreams::start(front, platform.vms().clone(), listeners);
        let upstreams = upstreams.await.map_err(Error::Actor)?;
        let handles = Handles {
            spread,
            peer_addr: links.local_addr(),
            links: Arc::clone(links.counters()),
        };
        Ok(Self {
            handles,
            links,
            members,
            upstreams,
        })
    }

    /// Starts a graceful shutdown: tells peers that this VM takes no new work.
    pub fn leave(&self) {
        self.members.leave();
    }

    /// Ends a graceful shutdown: tells peers that this VM has left, then stops the
    /// actors and closes the links.
    pub async fn close(self) {
        self.members.finish_leave().await;
        self.members.close();
        self.upstreams.stop(None);
        self.links.close().await;
    }
}

async fn bind(front: &front::State) -> Result<(peer::Links, peer::Inbox), Error> {
    let settings = &front.settings;
    let key = |secret: &crate::settings::Secret| {
        let text = String::from_utf8_lossy(secret.expose());
        text.parse().map_err(|_| Error::Terminated)
    };
    let keys = peer::Keys {
        current: key(&settings.peer_keys[0])?,
        additional: settings.peer_keys.get(1).map(key).transpose()?,
    };
    let options = peer::Options::new(settings.vm.clone(), settings.zone.clone(), keys);
    let bound = peer::Links::bind(settings.peer_addr, options).await;
    bound.map_err(|error| Error::Peers(settings.peer_addr, error))
}

fn start_keeper(front: &front::State, spread: &spread::Handle, router: Router) {
    let process = id::Process::new(clock::stamp().as_millis());
    let options = plan::Options::default();
    let planner = plan::Planner::new(front.clone(), spread.current(), router, process, options);
    if let Some(planner) = planner {
        tokio::spawn(planner.run());
    }
}

fn start_spread<P: Platform>(front: &front::State, platform: &P, router: Router) -> spread::Handle {
    let mut rng = rand::rng();
    let options = spread::Options {
        local: core_spread::Member {
            vm: front.settings.vm.clone(),
            run: id::Run::new(rng.random()),
            zone: front.settings.zone.clone(),
        },
        spread: core_spread::Options::default(),
        clock: front.clock,
        seed: rng.random(),
    };
    let table = platform.table().clone();
    let (task, handle) = spread::new(options, table, platform.objects().clone(), router);
    tokio::spawn(task.run());
    handle
}
