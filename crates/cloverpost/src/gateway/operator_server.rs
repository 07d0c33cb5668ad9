//! HTTP server for operators and load balancers: readiness and metrics.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::gateway::Shared;
use crate::gateway::codec::Codec;
use crate::socket;

const METRICS_PATH: &str = "/metrics";
/// Timeout for connections without a request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay after a failed accept, for instance when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves readiness and metrics on `listener`.
pub async fn run<C: Codec>(listener: TcpListener, shared: Arc<Shared<C>>) {
    loop {
        match listener.accept().await {
            Ok((stream, _peer)) => {
                tokio::spawn(serve(shared.clone(), stream));
            }
            Err(error) => {
                log::warn!(why:% = error; "failed to accept a connection for readiness or metrics");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve<C: Codec>(shared: Arc<Shared<C>>, stream: TcpStream) {
    socket::configure(&stream, socket::CALLER_TIMEOUTS);
    let service = service_fn(move |request: Request<Incoming>| {
        let response = respond(&shared, request.uri().path());
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    // Clients may disconnect at any time.
    let _ = connection.await;
}

fn respond<C: Codec>(shared: &Shared<C>, path: &str) -> Response<Full<Bytes>> {
    if path == METRICS_PATH {
        return Response::new(Full::new(Bytes::from(shared.metrics.text())));
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
