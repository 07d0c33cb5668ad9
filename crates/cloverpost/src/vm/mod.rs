//! An entry VM: startup and graceful shutdown.
//!
//! [`Vm::start`] starts billing, the control thread, the operators' server and
//! finally the callers' server, so that every component runs before requests need
//! it. [`Vm::close`] stops the callers' server first and the operators' server
//! last, so that readiness can be queried throughout the shutdown.

mod metrics;

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cloverpost_core::billing::{Run, Source};
use cloverpost_core::claim::Claimant;
use cloverpost_core::id;
use cloverpost_platform::Platform;
use error_stack::{Report, ResultExt};

use crate::billing;
use crate::claim;
use crate::clock;
use crate::control;
use crate::front::{self, server};
use crate::plan::rating_worker;
use crate::settings;
use crate::snapshot;

/// Polling interval while draining.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time limit on shutdown for writing bills.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit on shutdown for held copies of other VMs' bills to be written. It
/// covers the time in which a large fleet detects a failure.
const HELD_COPIES_TIMEOUT: Duration = Duration::from_secs(20);
/// Wait on shutdown for the roster to be written without this VM.
const ROSTER_WRITE_DELAY: Duration = Duration::from_millis(300);
/// Time in which the last responses to callers are written.
const RESPONSE_TIME: Duration = Duration::from_millis(300);

/// A component failed to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The server for callers, at this address.
    Callers(SocketAddr),
    /// The server for operators, at this address.
    Operators(SocketAddr),
    /// The control thread.
    Control,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Callers(address) => write!(f, "--caller-addr: cannot listen on {address}"),
            Self::Operators(address) => write!(f, "--operator-addr: cannot listen on {address}"),
            Self::Control => f.write_str("control thread failed to start"),
        }
    }
}

impl std::error::Error for Error {}

/// A running entry VM.
pub struct Vm<P: Platform> {
    state: front::State,
    claims: front::Claims<P>,
    callers: server::Server,
    operators: server::Server,
    control: control::Thread,
}

impl<P: Platform> fmt::Debug for Vm<P> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Vm")
            .field("vm", &self.state.settings.vm)
            .finish_non_exhaustive()
    }
}

impl<P: Platform> Vm<P> {
    /// Starts a VM on `platform`.
    pub async fn start(settings: settings::Settings, platform: P) -> Result<Self, Report<Error>> {
        let router = control::Router::default();
        let (billing, task) = create_billing(&settings, &platform, router.clone());
        let snapshot = snapshot::Shared::default();
        let state = front::State::new(Arc::new(settings), snapshot, billing);
        let control = control::Thread::start(control::Dependencies {
            front: state.clone(),
            platform: platform.clone(),
            router,
            billing: task,
        });
        let control = control.await.change_context(Error::Control)?;
        spawn_rating_worker(&state, &platform);
        metrics::register(&state, &control.handles().links);
        let spread = control.handles().spread.clone();
        let operator_api = front::OperatorApi::new(state.clone(), &platform, spread);
        let operators = state.settings.operator_addr;
        let operators =
            server::Server::for_operators(operators, state.settings.limits, operator_api)
                .await
                .change_context(Error::Operators(operators))?;
        let context: front::Context<P> = front::Context {
            state: state.clone(),
            claims: create_claims(&state, &platform),
        };
        let callers = state.settings.caller_addr;
        let callers = server::Server::for_callers(callers, context.clone())
            .await
            .change_context(Error::Callers(callers))?;
        Ok(Self {
            state,
            claims: context.claims,
            callers,
            operators,
            control,
        })
    }

    /// Listening address for callers.
    #[must_use]
    pub fn caller_addr(&self) -> SocketAddr {
        self.callers.local_addr()
    }

    /// Listening address for operators.
    #[must_use]
    pub fn operator_addr(&self) -> SocketAddr {
        self.operators.local_addr()
    }

    /// Listening address for other VMs.
    #[must_use]
    pub fn peer_addr(&self) -> SocketAddr {
        self.control.handles().peer_addr
    }

    /// Revision of the catalogue in use.
    #[must_use]
    pub fn revision(&self) -> id::Revision {
        self.state.snapshot.load().view.revision
    }

    /// Whether the VM accepts requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state.is_ready()
    }

    /// Shuts down gracefully: fails `/readyz`, gives the load balancer time to
    /// react, refuses new requests and waits for requests in flight.
    ///
    /// Callers of requests in flight are told at the drain limit that the outcome is unknown. Writing bills and the
    /// roster has separate time limits.
    pub async fn close(self) {
        self.state.start_drain();
        self.control.leave().await;
        tokio::time::sleep(self.state.settings.drain_delay).await;
        self.state.refuse_new();
        // Requests on open connections are refused, and callers are asked to close
        // the connections.
        tokio::time::sleep(self.state.settings.drain_delay).await;
        let limit = self.state.settings.drain_limit;
        let drained = async {
            self.callers.close().await;
            wait_for_requests(&self.state).await;
        };
        if tokio::time::timeout(limit, drained).await.is_err() {
            let in_flight = self.state.metrics.in_flight.get();
            log::warn!("{in_flight} requests in flight answered at the drain limit of {limit:?}");
            self.state.end_requests();
            tokio::time::sleep(RESPONSE_TIME).await;
        }
        let claims = self.claims.close().await;
        if claims.unsettled > 0 {
            log::warn!("{} claims left unsettled on shutdown", claims.unsettled);
        }
        let unwritten = self.state.billing.flush(FLUSH_TIMEOUT).await;
        if unwritten > 0 {
            log::warn!(
                "{unwritten} bills not written before shutdown; peers that hold copies take over"
            );
        }
        let copies_released = wait_for_held_copies(&self.state);
        if tokio::time::timeout(HELD_COPIES_TIMEOUT, copies_released)
            .await
            .is_err()
        {
            let held = self.state.billing.counters().held_records;
            log::warn!("{held} copies of other VMs' bills discarded on shutdown");
        }
        // Removes this VM from the roster, so that the roster counts no stopped VM.
        // The spread task runs until the control thread closes.
        let _ = self.control.handles().spread.leave().await;
        tokio::time::sleep(ROSTER_WRITE_DELAY).await;
        self.control.close().await;
        self.operators.abort();
    }

    /// Stops immediately, without draining, as a crash would.
    pub fn abort(self) {
        self.claims.abort();
        self.callers.abort();
        self.operators.abort();
        drop(self.control);
    }
}

/// Waits until this VM holds no copies of other VMs' bills.
///
/// Live peers know that this VM is leaving: they write their bills or copy them
/// elsewhere. If a peer has just failed, this VM may hold the last copies of its
/// bills; billing writes them once membership detects the failure.
async fn wait_for_held_copies(state: &front::State) {
    while state.billing.counters().held_records > 0 {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

/// Creates the billing component and its task.
fn create_billing<P: Platform>(
    settings: &settings::Settings,
    platform: &P,
    router: control::Router,
) -> (billing::Billing, billing::Task<P::Table, control::Router>) {
    let options = billing::Options {
        source: Source {
            vm: settings.vm.clone(),
            run: Run::new(clock::stamp().as_millis()),
        },
        zone: settings.zone.clone(),
        limits: cloverpost_core::billing::Options::default(),
    };
    billing::Billing::new(options, platform.table().clone(), router)
}

/// Spawns the worker that calls the platform's rater on the traffic runtime.
fn spawn_rating_worker<P: Platform>(state: &front::State, platform: &P) {
    if let Some(requests) = state.ratings.take_requests() {
        let rater = platform.rater().clone();
        let events = state.ratings.events();
        tokio::spawn(rating_worker::run(requests, rater, events, state.clock));
    }
}

/// Creates the claims of this process and registers their metrics.
fn create_claims<P: Platform>(state: &front::State, platform: &P) -> front::Claims<P> {
    let claimant = Claimant {
        vm: state.settings.vm.clone(),
        process: id::Process::new(clock::stamp().as_millis()),
    };
    let claims = claim::Claims::new(
        platform.table().clone(),
        platform.objects().clone(),
        claimant,
        state.snapshot.clone(),
        claim::Options::default(),
    );
    if claims
        .counters()
        .register(state.metrics.registry())
        .is_err()
    {
        log::warn!("failed to register the claim metrics");
    }
    claims
}

/// Waits for requests that outlive their connections.
async fn wait_for_requests(state: &front::State) {
    while state.metrics.in_flight.get() > 0 {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}
