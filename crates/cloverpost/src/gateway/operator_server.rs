//! HTTP server for operators and load balancers: readiness and metrics.

use std::convert::Infallible;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use cloverpost_core::clients::{Limits, Stage};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use crate::gateway::Shared;
use crate::gateway::caller_stream::{self, CallerStream};
use crate::gateway::clients::{Client, Clients, Served, Timeouts};
use crate::gateway::codec::Codec;
use crate::socket;

const METRICS_PATH: &str = "/metrics";
/// Timeout for connections without a request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Times after which a connection is closed. Probes and collectors send their requests at once.
const TIMEOUTS: Timeouts = Timeouts {
    head: Duration::from_secs(3),
    silent: Duration::from_secs(3),
};
/// Maximum size of a head, in bytes: the smallest one that hyper accepts.
const HEAD_BYTES: usize = 8 * 1024;
/// Limits on the connections. A probe a second and some collectors need a few.
const LIMITS: Limits = Limits {
    connections: 128,
    bytes: 6 * 1024 * 1024,
};
/// Connections that are accepted before others take a turn, a small part of the limit. Otherwise later
/// ones displace a connection before its request is read.
const MAX_ACCEPTED_IN_TURN: usize = 16;
/// Pause between two turns at the limit, which lets each connection stay for 20 ms at least.
const PAUSE_AT_LIMIT: Duration = Duration::from_micros(2_500);
/// Maximum number of connections that wait to be accepted.
pub const BACKLOG: u32 = 4096;
/// Bytes that a client may send before its connection is accepted: the head of a probe.
pub const PENDING_BYTES: u32 = 1024;
/// Delay after a failed accept, for instance when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Multiple of the time that it took to render metrics for which they are not rendered again.
const RENDER_PAUSE: u32 = 16;

/// Serves readiness and metrics on `listener`, which metrics and the log call `name`.
pub async fn run<C: Codec>(name: &'static str, listener: TcpListener, shared: Arc<Shared<C>>) {
    let clients = Clients::of_operators(name, LIMITS, &shared.metrics.clients);
    tokio::spawn(clients.clone().close_late(|| TIMEOUTS));
    let page = Arc::<Page>::default();
    let mut accepted_in_turn = 0;
    loop {
        if accepted_in_turn == MAX_ACCEPTED_IN_TURN {
            accepted_in_turn = 0;
            if clients.is_full() {
                tokio::time::sleep(PAUSE_AT_LIMIT).await;
            } else {
                tokio::task::yield_now().await;
            }
        }
        match listener.accept().await {
            Ok((stream, _peer)) => {
                accepted_in_turn += 1;
                if let Some(client) = clients.open() {
                    tokio::spawn(serve(shared.clone(), page.clone(), stream, client));
                }
            }
            Err(error) => {
                log::warn!(why:% = error; "failed to accept a connection for readiness or metrics");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve<C: Codec>(
    shared: Arc<Shared<C>>,
    page: Arc<Page>,
    stream: TcpStream,
    client: Arc<Client>,
) {
    socket::configure(&stream, socket::CALLER_TIMEOUTS);
    socket::limit_request_buffer(&stream);
    socket::limit_response_buffer(&stream);
    let disconnects = shared.metrics.callers.disconnects.clone();
    let limit = caller_stream::Limit::default();
    let stream = CallerStream::new(stream, limit, client.clone(), HEAD_BYTES, disconnects);
    let service_client = client.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (shared, page, client) = (shared.clone(), page.clone(), service_client.clone());
        async move {
            // Lets others take a turn: a client may send requests without end.
            tokio::task::yield_now().await;
            let is_kept = client.begin(Stage::Busy, 0);
            let mut response = respond(&shared, &page, request.uri().path());
            if !is_kept {
                response = Response::new(Full::new(Bytes::new()));
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            }
            Ok::<_, Infallible>(response.map(|body| Served::new(body, client)))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        // Clients may disconnect at any time.
        _ = connection => {}
        () = client.closed() => {}
    }
}

fn respond<C: Codec>(shared: &Shared<C>, page: &Page, path: &str) -> Response<Full<Bytes>> {
    if path == METRICS_PATH {
        return Response::new(Full::new(page.text(|| shared.metrics.text())));
    }
    let mut response = Response::new(Full::new(Bytes::new()));
    let is_ready = shared.is_ready();
    *response.status_mut() = match (shared.codec.is_readiness_probe(path), is_ready) {
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        (false, _) => StatusCode::NOT_FOUND,
    };
    response
}

/// The metrics as they were rendered last.
#[derive(Debug, Default)]
struct Page(Mutex<Option<Rendered>>);

#[derive(Debug)]
struct Rendered {
    text: Bytes,
    valid_until: Instant,
}

impl Page {
    /// The metrics. Rendering takes at most a small part of the processor: otherwise the last ones are
    /// returned again, which are some milliseconds old.
    fn text(&self, render: impl FnOnce() -> Vec<u8>) -> Bytes {
        let mut page = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let start = Instant::now();
        if let Some(page) = page.as_ref().filter(|page| start < page.valid_until) {
            return page.text.clone();
        }
        let text = Bytes::from(render());
        let valid_until = Instant::now() + start.elapsed() * RENDER_PAUSE;
        *page = Some(Rendered {
            text: text.clone(),
            valid_until,
        });
        text
    }
}
