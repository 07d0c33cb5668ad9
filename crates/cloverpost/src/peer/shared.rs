//! State shared by the tasks of all links.

use std::collections::HashMap;
use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cloverpost_wire::hello;
use tokio::runtime;
use tokio::sync::{mpsc, watch};

use crate::peer::link::Link;
use crate::peer::{Counters, Incoming, Options, Target, tunnel};

/// State shared by the tasks of all links.
pub struct Shared {
    pub options: Options,
    pub identity: hello::Identity,
    pub counters: Arc<Counters>,
    pub inbox: mpsc::Sender<Incoming>,
    pub closing: watch::Sender<bool>,
    /// Runtime that the links were bound on. All sockets belong to it, even if a
    /// call from another runtime opens the connection.
    pub runtime: runtime::Handle,
    /// Wishes of peers for tunnels.
    pub tunnels: mpsc::Sender<tunnel::Incoming>,
    /// Whether peers should open no more tunnels here.
    pub is_draining: watch::Sender<bool>,
    message_links: Mutex<HashMap<Target, Arc<Link>>>,
    tunnel_links: Mutex<HashMap<Target, Arc<Link>>>,
}

/// What a link is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    Messages,
    Tunnels,
}

impl Shared {
    pub fn new(
        options: Options,
        identity: hello::Identity,
        inbox: mpsc::Sender<Incoming>,
        tunnels: mpsc::Sender<tunnel::Incoming>,
    ) -> Self {
        Self {
            options,
            identity,
            counters: Arc::default(),
            inbox,
            closing: watch::Sender::new(false),
            runtime: runtime::Handle::current(),
            tunnels,
            is_draining: watch::Sender::new(false),
            message_links: Mutex::default(),
            tunnel_links: Mutex::default(),
        }
    }

    /// Runs `work` until it completes or the links are closed.
    pub fn spawn(self: &Arc<Self>, work: impl Future<Output = ()> + Send + 'static) {
        let mut closing = self.closing.subscribe();
        self.runtime.spawn(async move {
            tokio::select! {
                () = work => {}
                _ = closing.wait_for(|closing| *closing) => {}
            }
        });
    }

    /// Whether the links are closed.
    pub fn is_closing(&self) -> bool {
        *self.closing.borrow()
    }

    /// Calls `work` with the link to `target` for `purpose`, which is created if it does not exist.
    ///
    /// The map stays locked during the call, so that the link cannot be removed as
    /// idle before `work` has used it.
    pub fn with_link<T>(
        self: &Arc<Self>,
        target: &Target,
        purpose: Purpose,
        work: impl FnOnce(&Arc<Link>) -> T,
    ) -> T {
        let mut links = self.lock(purpose);
        if let Some(link) = links.get(target) {
            return work(link);
        }
        if links.len() >= self.options.max_links {
            evict(&mut links);
        }
        let link = Arc::new(Link::new(target.clone(), purpose, self.clone()));
        links.insert(target.clone(), link.clone());
        self.spawn(link.clone().run());
        work(&link)
    }

    /// Removes `link` if its idle timeout has elapsed. Returns whether it is no longer
    /// registered.
    pub fn remove_if_idle(&self, link: &Arc<Link>) -> bool {
        let mut links = self.lock(link.purpose);
        let is_registered = links
            .get(&link.target)
            .is_some_and(|current| Arc::ptr_eq(current, link));
        if is_registered && link.is_idle_timed_out() {
            links.remove(&link.target);
            self.counters.idled.increment();
            return true;
        }
        !is_registered
    }

    /// Removes all links.
    pub fn clear(&self) {
        self.lock(Purpose::Messages).clear();
        self.lock(Purpose::Tunnels).clear();
    }

    /// Number of outbound links, including those still connecting.
    pub fn len(&self) -> usize {
        self.lock(Purpose::Messages).len() + self.lock(Purpose::Tunnels).len()
    }

    fn lock(&self, purpose: Purpose) -> MutexGuard<'_, HashMap<Target, Arc<Link>>> {
        let links = match purpose {
            Purpose::Messages => &self.message_links,
            Purpose::Tunnels => &self.tunnel_links,
        };
        links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes the least recently used idle link. If no link is idle, the map exceeds
/// `max_links`.
fn evict(links: &mut HashMap<Target, Arc<Link>>) {
    let oldest = links
        .values()
        .filter(|link| link.is_idle())
        .min_by_key(|link| link.last_used())
        .cloned();
    if let Some(link) = oldest {
        links.remove(&link.target);
        link.stop();
    }
}
