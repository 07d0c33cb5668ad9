//! Connections to upstreams, direct or through another VM.
//!
//! A connect that fails, or takes longer than a path between two hosts takes, is tried through other
//! VMs as well. If one of them reaches the upstream, the direct path is broken: connections go
//! through other VMs then, and [`probe`] tries the direct path again. What this VM does not reach is
//! down only if a VM that reaches other upstreams says so.

use std::sync::Arc;
use std::time::Duration;

use cloverpost_core::directory::{self, Member};
use cloverpost_core::{id, path};

use crate::gateway::Shared;
use crate::gateway::codec::Codec;
use crate::gateway::dial;
use crate::gateway::pool::Connection;
use crate::peer::tunnel::{self, Liveness, Rejection};
use crate::peer::{Target, Tunnel};

/// Time after which the other way is tried beside the first. A handshake takes a few milliseconds.
const SECOND_WAY_DELAY: Duration = Duration::from_millis(100);
/// Timeout of a tunnel through one VM, after which the next is asked.
const TUNNEL_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of finding a VM that opens a tunnel.
const TUNNEL_SEARCH_TIMEOUT: Duration = Duration::from_millis(600);
/// Number of VMs that are asked for a tunnel.
const MAX_ASKED: usize = 6;
/// Number of VMs that are asked whether an upstream is down.
const WITNESSES: usize = 2;
/// Number of other upstreams that a VM connects to, to find out whether it reaches any.
const CONTROLS: usize = 3;
/// Interval between checks for a direct path to try again.
const PROBE_TICK: Duration = Duration::from_millis(250);

/// Why there is no connection to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The upstream is down, or nobody else could be asked.
    Down(dial::Error),
    /// This VM has no path to it; the state of the upstream is unknown.
    NoPath(dial::Error),
}

/// A tunnel that is open.
#[derive(Debug)]
pub struct Via {
    /// The VM that it leads through.
    pub vm: id::Vm,
    /// Whether its link still takes new work.
    pub liveness: Liveness,
}

/// Why no VM opened a tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TunnelError {
    /// A VM that reaches other upstreams was refused.
    Refused,
    /// No VM that was asked knows.
    Unknown,
    /// There is no other VM.
    NoPeers,
}

/// Opens a connection to `upstream`.
pub async fn connect<C: Codec>(
    shared: &Arc<Shared<C>>,
    upstream: &directory::Upstream,
) -> Result<Connection, Error> {
    if shared.paths().is_broken(&upstream.id) {
        return match connect_via_peer(shared, upstream).await {
            Ok(connection) => Ok(connection),
            Err(TunnelError::Refused) => Err(Error::Down(dial::Error::Refused)),
            Err(_) => connect_direct(shared, upstream)
                .await
                .map_err(Error::NoPath),
        };
    }
    let direct = connect_direct(shared, upstream);
    tokio::pin!(direct);
    let error = match tokio::time::timeout(SECOND_WAY_DELAY, &mut direct).await {
        Ok(Ok(connection)) => return Ok(connection),
        Ok(Err(error)) => error,
        Err(_elapsed) => return connect_both_ways(shared, upstream, direct).await,
    };
    let tunnelled = connect_via_peer(shared, upstream).await;
    finish(shared, upstream, Err(error), tunnelled)
}

/// Waits for `direct` and a tunnel, whichever is open first.
async fn connect_both_ways<C: Codec>(
    shared: &Arc<Shared<C>>,
    upstream: &directory::Upstream,
    direct: impl Future<Output = Result<Connection, dial::Error>>,
) -> Result<Connection, Error> {
    let tunnelled = connect_via_peer(shared, upstream);
    tokio::pin!(direct, tunnelled);
    tokio::select! {
        opened = &mut direct => match opened {
            Ok(connection) => Ok(connection),
            Err(error) => finish(shared, upstream, Err(error), tunnelled.await),
        },
        opened = &mut tunnelled => match opened {
            Ok(connection) => finish(shared, upstream, Err(dial::Error::TimedOut), Ok(connection)),
            Err(error) => finish(shared, upstream, direct.await, Err(error)),
        },
    }
}

/// Combines the results of both ways.
fn finish<C: Codec>(
    shared: &Shared<C>,
    upstream: &directory::Upstream,
    direct: Result<Connection, dial::Error>,
    tunnelled: Result<Connection, TunnelError>,
) -> Result<Connection, Error> {
    let error = match direct {
        Ok(connection) => return Ok(connection),
        Err(error) => error,
    };
    match tunnelled {
        Ok(connection) => {
            record_broken(shared, upstream, error);
            Ok(connection)
        }
        Err(TunnelError::Refused | TunnelError::NoPeers) => Err(Error::Down(error)),
        Err(TunnelError::Unknown) => Err(Error::NoPath(error)),
    }
}

fn record_broken<C: Codec>(shared: &Shared<C>, upstream: &directory::Upstream, why: dial::Error) {
    let now = shared.clock.now();
    let mut paths = shared.paths();
    if paths.record_broken(&upstream.id, now) {
        shared.metrics.paths.broken.set(as_gauge(paths.count()));
        log::warn!(
            upstream = upstream.id.as_str(), address:% = upstream.address, why = why.as_str();
            "the upstream is reached through other VMs only"
        );
    }
}

/// Opens a direct connection.
async fn connect_direct<C: Codec>(
    shared: &Shared<C>,
    upstream: &directory::Upstream,
) -> Result<Connection, dial::Error> {
    let opened = shared.pool.connect(upstream).await;
    let result = opened
        .as_ref()
        .map_or_else(|error| error.as_str(), |_| "connected");
    let connects = &shared.metrics.paths.connects;
    connects.with_label_values(&[result]).inc();
    if opened.is_ok() {
        record_direct(shared, upstream);
    }
    opened
}

/// Records that the direct path to `upstream` works. Idle connections through other VMs are closed.
fn record_direct<C: Codec>(shared: &Shared<C>, upstream: &directory::Upstream) {
    let now = shared.clock.now();
    let mut paths = shared.paths();
    let Some(broken) = paths.record_direct(&upstream.id, now) else {
        return;
    };
    shared.metrics.paths.broken.set(as_gauge(paths.count()));
    drop(paths);
    shared.pool.close_idle_tunnels(&upstream.id);
    let broken_ms = u64::try_from(broken.as_millis()).unwrap_or(u64::MAX);
    log::info!(upstream = upstream.id.as_str(), broken_ms; "the direct path works again");
}

/// Opens a connection through the first VM that reaches `upstream`.
async fn connect_via_peer<C: Codec>(
    shared: &Shared<C>,
    upstream: &directory::Upstream,
) -> Result<Connection, TunnelError> {
    let search = search_tunnel(shared, upstream);
    let search = tokio::time::timeout(TUNNEL_SEARCH_TIMEOUT, search);
    let (tunnel, via) = search.await.unwrap_or(Err(TunnelError::Unknown))?;
    let connection = shared.pool.adopt(upstream, tunnel, Some(via)).await;
    connection.map_err(|_| TunnelError::Unknown)
}

async fn search_tunnel<C: Codec>(
    shared: &Shared<C>,
    upstream: &directory::Upstream,
) -> Result<(Tunnel, Via), TunnelError> {
    let peers = ranked_peers(shared);
    if peers.is_empty() {
        return Err(TunnelError::NoPeers);
    }
    for peer in peers.iter().take(MAX_ASKED) {
        match open_tunnel(shared, peer, upstream).await {
            Ok((tunnel, liveness)) => {
                let vm = peer.vm.clone();
                return Ok((tunnel, Via { vm, liveness }));
            }
            Err(tunnel::Error::Rejected(Rejection::UpstreamRefused)) => {
                return Err(TunnelError::Refused);
            }
            Err(_) => {}
        }
    }
    Err(TunnelError::Unknown)
}

fn ranked_peers<C: Codec>(shared: &Shared<C>) -> Vec<Member> {
    let now = shared.clock.now();
    let peers = shared.peers.load();
    let zone = &shared.settings.load().zone;
    shared.helpers().rank(&peers, zone, now, rand::random)
}

/// Asks `peer` for a tunnel and records its answer.
async fn open_tunnel<C: Codec>(
    shared: &Shared<C>,
    peer: &Member,
    upstream: &directory::Upstream,
) -> Result<(Tunnel, Liveness), tunnel::Error> {
    let target = Target {
        vm: peer.vm.clone(),
        address: peer.address,
    };
    let unreachable = || tunnel::Error::Peer(crate::peer::Error::Closed);
    let links = shared.links.get().ok_or_else(unreachable)?;
    let opening = links.open_tunnel(&target, directory::Tunnel::from(upstream));
    let opened = tokio::time::timeout(TUNNEL_TIMEOUT, opening)
        .await
        .unwrap_or(Err(tunnel::Error::Peer(crate::peer::Error::TimedOut)));
    let (result, answer) = match &opened {
        Ok(_) => ("connected", path::Answer::Connected),
        Err(error @ tunnel::Error::Rejected(Rejection::UpstreamRefused)) => {
            (error.as_str(), path::Answer::OnlyOthers)
        }
        Err(error) => (error.as_str(), path::Answer::None),
    };
    let asked = &shared.metrics.paths.asked;
    asked.with_label_values(&[result]).inc();
    let now = shared.clock.now();
    shared.helpers().record(&peer.vm, answer, now);
    opened
}

/// Whether `upstream` is known to be down: this VM is refused but reaches other upstreams, and so
/// are others.
pub async fn is_down<C: Codec>(shared: &Shared<C>, upstream: &directory::Upstream) -> bool {
    let is_broken = shared.paths().is_broken(&upstream.id);
    if !is_broken {
        match connect_direct(shared, upstream).await {
            Err(dial::Error::Refused) => {}
            _ => return false,
        }
    }
    let peers = ranked_peers(shared);
    if peers.is_empty() {
        return true;
    }
    if !is_broken && !reaches_others(shared, upstream).await {
        return false;
    }
    let witnesses = peers.iter().take(WITNESSES);
    let answers = witnesses.map(|peer| open_tunnel(shared, peer, upstream));
    let answers = futures_util::future::join_all(answers).await;
    if answers.iter().any(Result::is_ok) {
        record_broken(shared, upstream, dial::Error::Refused);
        return false;
    }
    let refused = tunnel::Error::Rejected(Rejection::UpstreamRefused);
    answers
        .iter()
        .any(|answer| answer.as_ref().err() == Some(&refused))
}

/// Whether a connection to `upstream` can be opened now, by the way that this VM uses.
pub async fn works<C: Codec>(shared: &Arc<Shared<C>>, upstream: &directory::Upstream) -> bool {
    let was_broken = shared.paths().is_broken(&upstream.id);
    let is_open = connect(shared, upstream).await.is_ok();
    is_open && shared.paths().is_broken(&upstream.id) == was_broken
}

/// Whether this VM reaches another upstream than `upstream` directly. Those of other services come
/// first, as a fault may affect a whole service.
pub async fn reaches_others<C: Codec>(shared: &Shared<C>, upstream: &directory::Upstream) -> bool {
    let view = shared.view.load_full();
    let mut others: Vec<_> = view
        .upstreams()
        .filter(|other| other.id != upstream.id)
        .map(|other| {
            (
                other.service == upstream.service,
                rand::random::<u64>(),
                other,
            )
        })
        .collect();
    others.sort_by_key(|(is_same, draw, _)| (*is_same, *draw));
    let controls = others.into_iter().take(CONTROLS);
    let dials = controls.map(|(_, _, other)| Box::pin(shared.pool.dial(other)));
    let dials: Vec<_> = dials.collect();
    !dials.is_empty() && futures_util::future::select_ok(dials).await.is_ok()
}

/// Tries broken direct paths again, one at a time.
pub async fn probe<C: Codec>(shared: Arc<Shared<C>>) {
    let mut ticks = tokio::time::interval(PROBE_TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        while let Some(upstream) = next_probe(&shared) {
            if connect_direct(&shared, &upstream).await.is_err() {
                break;
            }
        }
    }
}

fn next_probe<C: Codec>(shared: &Shared<C>) -> Option<Arc<directory::Upstream>> {
    let now = shared.clock.now();
    let due = shared.paths().due_probe(now)?;
    let view = shared.view.load();
    view.upstreams().find(|one| one.id == due).cloned()
}

fn as_gauge(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
