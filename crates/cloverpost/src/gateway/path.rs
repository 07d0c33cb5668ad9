//! Connections to upstreams, direct or through another VM.
//!
//! A connect that fails, or takes longer than a path between two hosts takes, is tried through other
//! VMs as well. If one of them reaches the upstream, the direct path is broken: connections go
//! through other VMs then, and [`probe`] tries the direct path again. What this VM does not reach is
//! down only if a VM that reaches other upstreams says so.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cloverpost_core::directory::{self, Member};
use cloverpost_core::{id, path, time};
use tokio::sync::OnceCell;

use crate::gateway::Shared;
use crate::gateway::codec::Codec;
use crate::gateway::connections::{self, Permit};
use crate::gateway::dial;
use crate::gateway::faults;
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
/// Timeout of their answers if this VM has a direct path. A request that has lost its connection
/// waits for them.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(25);
/// Delay before the check of an upstream that closed a connection.
const LOSS_CHECK_DELAY: Duration = Duration::from_millis(10);
/// Number of times that a check asks for a connection while all others are in use.
const PERMIT_TRIES: usize = 3;
/// Time after which a check says nothing about a connection that is lost then.
const LOSS_CHECK_EXPIRY: Duration = Duration::from_millis(250);
/// Numbers of other upstreams that a VM connects to at once, to find out whether it reaches any. The
/// second ones follow if the first fail.
const CONTROLS: [usize; 2] = [3, 12];
/// Interval between checks for a direct path to try again.
const PROBE_TICK: Duration = Duration::from_millis(250);

/// Why there is no connection to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The upstream is down, or nobody else could be asked.
    Down(dial::Error),
    /// This VM has no path to it; the state of the upstream is unknown.
    NoPath(dial::Error),
    /// The upstream accepted the connection and reset it at once. Another way would not change that.
    Reset,
}

/// What was lost with a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// Only the connection: the upstream accepts another.
    Connection,
    /// The process of the upstream: no VM that reaches others reaches it.
    Upstream,
    /// This VM's path to it, as far as is known.
    Path,
}

/// Checks for the cause of lost connections, of the last moment.
#[derive(Debug, Default)]
pub struct LossChecks(HashMap<id::Upstream, (time::Moment, Arc<OnceCell<Loss>>)>);

impl LossChecks {
    /// The latest check of `upstream`, or a new one if that is too old.
    fn join(&mut self, upstream: &id::Upstream, now: time::Moment) -> Arc<OnceCell<Loss>> {
        self.0
            .retain(|_, (since, _)| now.since(*since) < LOSS_CHECK_EXPIRY);
        let check = self.0.entry(upstream.clone());
        let (_, check) = check.or_insert_with(|| (now, Arc::default()));
        check.clone()
    }
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
    /// A VM that reaches other upstreams does not reach this one.
    Down,
    /// No VM that was asked knows.
    Unknown,
    /// There is no other VM.
    NoPeers,
}

/// Opens a connection to `upstream`, which `permit` counts. While two ways are tried, it counts both.
pub async fn connect<C: Codec>(
    shared: &Arc<Shared<C>>,
    upstream: &directory::Upstream,
    permit: Permit,
) -> Result<Connection, Error> {
    if shared.paths().is_broken(&upstream.id) {
        return match connect_via_peer(shared, upstream, permit.clone()).await {
            Ok(connection) => Ok(connection),
            Err(TunnelError::Down) => Err(Error::Down(dial::Error::Failed)),
            Err(_) => connect_direct(shared, upstream, permit)
                .await
                .map_err(Error::NoPath),
        };
    }
    let direct = connect_direct(shared, upstream, permit.clone());
    tokio::pin!(direct);
    let error = match tokio::time::timeout(SECOND_WAY_DELAY, &mut direct).await {
        Ok(Ok(connection)) => return Ok(connection),
        Ok(Err(dial::Error::Reset)) => return Err(Error::Reset),
        Ok(Err(error)) => error,
        Err(_elapsed) => return connect_both_ways(shared, upstream, permit, direct).await,
    };
    let tunnelled = connect_via_peer(shared, upstream, permit).await;
    after_direct_failure(shared, upstream, error, tunnelled)
}

/// Waits for `direct` and a tunnel, whichever is open first.
async fn connect_both_ways<C: Codec>(
    shared: &Arc<Shared<C>>,
    upstream: &directory::Upstream,
    permit: Permit,
    direct: impl Future<Output = Result<Connection, dial::Error>>,
) -> Result<Connection, Error> {
    let tunnelled = connect_via_peer(shared, upstream, permit);
    tokio::pin!(direct, tunnelled);
    tokio::select! {
        opened = &mut direct => match opened {
            Ok(connection) => Ok(connection),
            Err(dial::Error::Reset) => Err(Error::Reset),
            Err(error) => after_direct_failure(shared, upstream, error, tunnelled.await),
        },
        opened = &mut tunnelled => match opened {
            Ok(_) | Err(TunnelError::Down) => {
                after_direct_failure(shared, upstream, dial::Error::TimedOut, opened)
            }
            Err(_) => match direct.await {
                Ok(connection) => Ok(connection),
                Err(error) => after_direct_failure(shared, upstream, error, opened),
            },
        },
    }
}

/// The result of a tunnel after the direct connect failed with `error`.
fn after_direct_failure<C: Codec>(
    shared: &Shared<C>,
    upstream: &directory::Upstream,
    error: dial::Error,
    tunnelled: Result<Connection, TunnelError>,
) -> Result<Connection, Error> {
    match tunnelled {
        Ok(connection) => {
            record_broken(shared, upstream, error);
            Ok(connection)
        }
        Err(TunnelError::Down | TunnelError::NoPeers) => Err(Error::Down(error)),
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
    permit: Permit,
) -> Result<Connection, dial::Error> {
    let opened = shared.pool.connect(upstream, permit).await;
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
    permit: Permit,
) -> Result<Connection, TunnelError> {
    let search = search_tunnel(shared, upstream);
    let search = tokio::time::timeout(TUNNEL_SEARCH_TIMEOUT, search);
    let (tunnel, via) = search.await.unwrap_or(Err(TunnelError::Unknown))?;
    let connection = shared.pool.adopt(upstream, tunnel, Some(via), permit);
    let connection = connection.await;
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
            Err(tunnel::Error::Rejected(Rejection::UpstreamDown)) => {
                return Err(TunnelError::Down);
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
    let result = opened
        .as_ref()
        .map_or_else(tunnel::Error::as_str, |_| "connected");
    let asked = &shared.metrics.paths.asked;
    asked.with_label_values(&[result]).inc();
    if let Some(answer) = answer(&opened) {
        let now = shared.clock.now();
        shared.helpers().record(&peer.vm, answer, now);
    }
    opened
}

/// What the result of a request for a tunnel says of the VM that was asked; `None` if its tables
/// differ.
fn answer<T>(opened: &Result<T, tunnel::Error>) -> Option<path::Answer> {
    match opened {
        Ok(_) => Some(path::Answer::Connected),
        Err(tunnel::Error::Rejected(Rejection::UnknownUpstream)) => None,
        Err(tunnel::Error::Rejected(Rejection::UpstreamDown | Rejection::PushedBack)) => {
            Some(path::Answer::OnlyOthers)
        }
        Err(_) => Some(path::Answer::None),
    }
}

/// Finds out why a connection to `upstream` was lost. A check of the same upstream that is under way
/// is joined.
pub async fn find_loss<C: Codec>(
    shared: &Arc<Shared<C>>,
    upstream: &Arc<directory::Upstream>,
) -> Loss {
    let now = shared.clock.now();
    let check = shared.loss_checks().join(&upstream.id, now);
    let find = async {
        // The sockets of a process that ends are closed one after the other.
        tokio::time::sleep(LOSS_CHECK_DELAY).await;
        check_loss(shared, upstream).await
    };
    *check.get_or_init(|| find).await
}

/// Leave to open a connection for the check of a loss, which leaves one for a request. `None` if other
/// connections take up the rest.
async fn permit_for_check<C: Codec>(
    shared: &Shared<C>,
    upstream: &directory::Upstream,
) -> Option<Permit> {
    let connections = shared.pool.connections();
    for _ in 0..PERMIT_TRIES {
        if let Some(permit) = connections.request_for_check(&upstream.id) {
            return Some(permit);
        }
        tokio::time::sleep(LOSS_CHECK_DELAY).await;
    }
    None
}

async fn check_loss<C: Codec>(shared: &Arc<Shared<C>>, upstream: &directory::Upstream) -> Loss {
    let is_broken = shared.paths().is_broken(&upstream.id);
    if !is_broken {
        // A check that did not connect would take a crash for the loss of one connection, and requests
        // that crash upstreams would not be stopped.
        let permit = permit_for_check(shared, upstream).await;
        let permit = permit.unwrap_or_else(|| shared.pool.connections().count(&upstream.id));
        match connect_direct(shared, upstream, permit).await {
            Ok(connection) => {
                put_back_new(shared, upstream, connection).await;
                return Loss::Connection;
            }
            Err(dial::Error::Refused) => {}
            Err(dial::Error::Reset) => return Loss::Connection,
            Err(_) => return Loss::Path,
        }
    }
    let is_refused_alone = async { !is_broken && is_refused_alone(shared, upstream).await };
    let timeout = if is_broken {
        TUNNEL_TIMEOUT
    } else {
        WITNESS_TIMEOUT
    };
    let answers = ask_witnesses(shared, upstream, timeout);
    let (is_refused_alone, answers) = tokio::join!(is_refused_alone, answers);
    let pushed_back = tunnel::Error::Rejected(Rejection::PushedBack);
    let is_reached = |answer: &Result<_, tunnel::Error>| match answer {
        Ok(_) => true,
        Err(error) => *error == pushed_back,
    };
    if answers.iter().any(is_reached) {
        record_broken(shared, upstream, dial::Error::Refused);
        return Loss::Path;
    }
    let down = tunnel::Error::Rejected(Rejection::UpstreamDown);
    let is_down = |answer: &Result<_, tunnel::Error>| answer.as_ref().err() == Some(&down);
    // A VM that reaches others has lost a single path at most, which a witness would have shown.
    if is_refused_alone || answers.iter().any(is_down) {
        Loss::Upstream
    } else {
        Loss::Path
    }
}

/// Adds a connection without a request to the pool, unless the upstream resets it for lack of capacity.
async fn put_back_new<C: Codec>(
    shared: &Shared<C>,
    upstream: &directory::Upstream,
    mut connection: Connection,
) {
    if connection.settle().await {
        shared.pool.put_back(connection);
        return;
    }
    let register = shared.pool.connections();
    let reduced = register.record_reset(&upstream.id, connection.permitted());
    if reduced.is_some() {
        connections::log_change(shared, &upstream.id, connections::REDUCED);
    }
}

/// Asks other VMs for a tunnel to `upstream`, to find out whether they reach it.
async fn ask_witnesses<C: Codec>(
    shared: &Shared<C>,
    upstream: &directory::Upstream,
    timeout: Duration,
) -> Vec<Result<(Tunnel, Liveness), tunnel::Error>> {
    let peers = ranked_peers(shared);
    let witnesses = peers.iter().take(WITNESSES);
    let answers = witnesses.map(async |peer| {
        let answer = open_tunnel(shared, peer, upstream);
        let timed_out = tunnel::Error::Peer(crate::peer::Error::TimedOut);
        let answer = tokio::time::timeout(timeout, answer).await;
        answer.unwrap_or(Err(timed_out))
    });
    futures_util::future::join_all(answers).await
}

/// Whether `upstream` refuses this VM right after another one accepted it. A path that works again
/// after the first refusal would otherwise look like the crash of this upstream.
async fn is_refused_alone<C: Codec>(shared: &Shared<C>, upstream: &directory::Upstream) -> bool {
    let refused = Err(dial::Error::Refused);
    let connect = async || connect_direct(shared, upstream, count(shared, upstream)).await;
    reaches_others(shared, upstream).await && connect().await.map(drop) == refused
}

/// Whether this VM reaches `upstream` on its own path. What it sees otherwise is no evidence about
/// the upstream.
pub async fn is_sound<C: Codec>(shared: &Arc<Shared<C>>, upstream: &directory::Upstream) -> bool {
    if shared.paths().is_broken(&upstream.id) {
        return false;
    }
    match connect(shared, upstream, count(shared, upstream)).await {
        Ok(connection) => !connection.is_tunnelled(),
        Err(Error::Down(_) | Error::Reset) => true,
        Err(Error::NoPath(_)) => false,
    }
}

/// Whether this VM has a direct path to `upstream` now.
pub async fn is_direct<C: Codec>(shared: &Arc<Shared<C>>, upstream: &directory::Upstream) -> bool {
    match connect(shared, upstream, count(shared, upstream)).await {
        Ok(connection) if !connection.is_tunnelled() => {
            put_back_new(shared, upstream, connection).await;
            true
        }
        Err(Error::Reset) => true,
        Ok(_) | Err(_) => false,
    }
}

/// Whether this VM reaches another upstream than `upstream` directly. Those that are not ejected come
/// first, and of them those of other services, as a fault may affect a whole service.
pub async fn reaches_others<C: Codec>(shared: &Shared<C>, upstream: &directory::Upstream) -> bool {
    let mut others = ranked_others(shared, upstream).into_iter();
    for controls in CONTROLS {
        let controls = others.by_ref().take(controls);
        let dials = controls.map(|other| Box::pin(dial(shared, other)));
        let dials: Vec<_> = dials.collect();
        if !dials.is_empty() && futures_util::future::select_ok(dials).await.is_ok() {
            return true;
        }
    }
    false
}

async fn dial<C: Codec>(
    shared: &Shared<C>,
    upstream: Arc<directory::Upstream>,
) -> Result<faults::Stream, dial::Error> {
    let _permit = count(shared, &upstream);
    shared.pool.dial(&upstream).await
}

/// Counts a connection that checks a path. Such checks are rare and must not wait for the requests that
/// they are made for, so they are not limited.
fn count<C: Codec>(shared: &Shared<C>, upstream: &directory::Upstream) -> Permit {
    shared.pool.connections().count(&upstream.id)
}

/// All upstreams but `upstream`, those first that this VM is most likely to reach.
fn ranked_others<C: Codec>(
    shared: &Shared<C>,
    upstream: &directory::Upstream,
) -> Vec<Arc<directory::Upstream>> {
    let now = shared.clock.now();
    let view = shared.view.load();
    let balancer = shared.balancer();
    let others = view.upstreams().filter(|other| other.id != upstream.id);
    let rank = |other: &directory::Upstream| {
        let is_ejected = !balancer.is_available(&other.id, now);
        let is_same = other.service == upstream.service;
        (is_ejected, is_same, rand::random::<u64>())
    };
    let mut others: Vec<_> = others.map(|other| (rank(other), other.clone())).collect();
    drop(balancer);
    others.sort_unstable_by_key(|(rank, _)| *rank);
    others.into_iter().map(|(_, other)| other).collect()
}

/// Tries broken direct paths again, one at a time.
pub async fn probe<C: Codec>(shared: Arc<Shared<C>>) {
    let mut ticks = tokio::time::interval(PROBE_TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        while let Some(upstream) = next_probe(&shared) {
            let permit = count(&shared, &upstream);
            if connect_direct(&shared, &upstream, permit).await.is_err() {
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
