//! Tunnels that this VM carries for others.
//!
//! It connects to upstreams of its own tables only, on its own direct path: never through a third
//! VM. Bytes are passed on as they come, so decisions, counts and timeouts stay with the VM that
//! took the request.

use std::sync::Arc;
use std::time::Duration;

use cloverpost_core::directory;
use prometheus::IntGauge;
use tokio::io;

use crate::gateway::Shared;
use crate::gateway::codec::Codec;
use crate::gateway::dial;
use crate::gateway::faults;
use crate::gateway::path;
use crate::gateway::shared::Phase;
use crate::peer::tunnel::{self, Incoming, Rejection};

/// Largest number of open tunnels, at about 20 kB each.
const MAX_TUNNELS: i64 = 256;

/// Timeout of a connect. The answer has to come before the asking VM turns to another.
const DIAL_TIMEOUT: Duration = Duration::from_millis(150);

/// Counts an open tunnel until it is dropped.
struct Guard(IntGauge);

impl Guard {
    fn new(gauge: &IntGauge) -> Self {
        gauge.inc();
        Self(gauge.clone())
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.dec();
    }
}

/// Serves the tunnels that other VMs ask for.
pub async fn run<C: Codec>(shared: Arc<Shared<C>>, mut inbox: tunnel::Inbox) {
    while let Some(incoming) = inbox.recv().await {
        let guard = Guard::new(&shared.metrics.paths.open);
        tokio::spawn(serve(shared.clone(), incoming, guard));
    }
}

async fn serve<C: Codec>(shared: Arc<Shared<C>>, incoming: Incoming, _guard: Guard) {
    let served = &shared.metrics.paths.served;
    let mut stream = match open(&shared, &incoming.tunnel).await {
        Ok(stream) => stream,
        Err(rejection) => {
            served.with_label_values(&[rejection.as_str()]).inc();
            incoming.reject(rejection);
            return;
        }
    };
    served.with_label_values(&["connected"]).inc();
    if let Some(mut tunnel) = incoming.accept() {
        // Either end learns of an error as its own connection is dropped.
        let _ = io::copy_bidirectional(&mut tunnel, &mut stream).await;
    }
}

/// Connects to the upstream that `tunnel` leads to.
async fn open<C: Codec>(
    shared: &Arc<Shared<C>>,
    tunnel: &directory::Tunnel,
) -> Result<faults::Stream, Rejection> {
    let is_serving = *shared.phase.borrow() == Phase::Serving;
    if !is_serving || shared.metrics.paths.open.get() > MAX_TUNNELS {
        return Err(Rejection::Busy);
    }
    let view = shared.view.load_full();
    let pool = view.pools.get(&tunnel.service);
    let mut upstreams = pool.into_iter().flat_map(|pool| &pool.upstreams);
    let upstream = upstreams.find(|upstream| tunnel.leads_to(upstream));
    let upstream = upstream.ok_or(Rejection::UnknownUpstream)?;
    if shared.paths().is_broken(&upstream.id) {
        return Err(Rejection::UpstreamUnreachable);
    }
    let dialled = tokio::time::timeout(DIAL_TIMEOUT, shared.pool.dial(upstream)).await;
    if let Ok(Ok(stream)) = dialled {
        // The requests of a tunnel come from this VM, as far as the upstream sees.
        let now = shared.clock.now();
        let block = shared.admission().pushback.block(&upstream.id, now);
        return match block {
            Some(_) => Err(Rejection::PushedBack),
            None => Ok(stream),
        };
    }
    if let Ok(Err(dial::Error::Reset)) = dialled {
        // It is reached, but takes no connection.
        return Err(Rejection::PushedBack);
    }
    if path::reaches_others(shared, upstream).await {
        Err(Rejection::UpstreamDown)
    } else {
        Err(Rejection::UpstreamUnreachable)
    }
}
