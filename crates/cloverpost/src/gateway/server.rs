//! HTTP server for callers.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::gateway::caller_stream::{self, CallerStream, ReadBy};
use crate::gateway::clients::{self, Client};
use crate::gateway::codec::Codec;
use crate::gateway::shared::Phase;
use crate::gateway::{Shared, route};
use crate::socket;

/// Delay after a failed accept, for instance when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Connections that are accepted before others take a turn. Many more would displace a connection
/// before its request is read.
const MAX_ACCEPTED_IN_TURN: usize = 64;
/// Smallest buffer size that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8192;
/// Size of the shortest field of a head: a letter, a colon and the end of the line.
const MIN_FIELD_BYTES: usize = 4;
/// Largest number of fields that hyper's table of headers can hold, with a margin.
const MAX_FIELDS: usize = 24_000;

/// Serves callers on `listener` until the VM is closing and every connection has
/// ended.
pub async fn run<C: Codec>(listener: TcpListener, shared: Arc<Shared<C>>) {
    let mut phase = shared.phase.subscribe();
    let mut connections = JoinSet::new();
    let late = {
        let shared = shared.clone();
        tokio::spawn(shared.callers.clone().close_late(move || timeouts(&shared)))
    };
    let mut accepted_in_turn = 0;
    loop {
        if accepted_in_turn == MAX_ACCEPTED_IN_TURN {
            accepted_in_turn = 0;
            // While connections arrive, the branch below removes fewer tasks than have ended.
            while connections.try_join_next().is_some() {}
            tokio::task::yield_now().await;
        }
        tokio::select! {
            () = wait_for_closing(&mut phase) => break,
            accepted = listener.accept() => match accepted {
                Ok((stream, _peer)) => {
                    accepted_in_turn += 1;
                    if let Some(client) = shared.callers.open() {
                        connections.spawn(serve(shared.clone(), stream, client));
                    }
                }
                Err(error) => {
                    log::warn!(why:% = error; "failed to accept a connection");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(_) = connections.join_next() => {}
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
    late.abort();
}

/// Serves the connection `stream` of `client`. Most of its memory is taken only once a byte has arrived.
async fn serve<C: Codec>(shared: Arc<Shared<C>>, stream: TcpStream, client: Arc<Client>) {
    socket::configure(&stream, socket::CALLER_TIMEOUTS);
    socket::limit_send_buffer(&stream);
    socket::limit_request_buffer(&stream);
    let mut phase = shared.phase.subscribe();
    let is_readable = tokio::select! {
        // A request that has arrived is served, also while the VM closes.
        biased;
        readable = stream.readable() => readable.is_ok(),
        () = client.closed() => false,
        () = wait_for_closing(&mut phase) => false,
    };
    if is_readable {
        let requests = Box::pin(serve_requests(shared, stream, client.clone(), phase));
        tokio::select! {
            () = requests => {}
            () = client.closed() => {}
        }
    }
}

async fn serve_requests<C: Codec>(
    shared: Arc<Shared<C>>,
    stream: TcpStream,
    client: Arc<Client>,
    mut phase: watch::Receiver<Phase>,
) {
    let limits = shared.limits();
    let limit = caller_stream::Limit::default();
    let disconnects = shared.metrics.callers.disconnects.clone();
    let stream = CallerStream::new(
        stream,
        limit.clone(),
        client.clone(),
        limits.header_bytes,
        disconnects,
    );
    let service_state = shared.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        // In a box of its own, since hyper reserves memory for it as the connection begins.
        let response = Box::pin(route::handle(
            service_state.clone(),
            client.clone(),
            request,
        ));
        let limit = limit.clone();
        async move {
            let response = response.await;
            let read_by = response.extensions().get().copied();
            limit.set(read_by.unwrap_or_else(ReadBy::of_complete));
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // hyper applies this timeout to idle connections too, so it must not be shorter
        // than the idle timeout.
        .header_read_timeout(limits.idle_timeout.max(limits.receive_timeout))
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .max_headers(max_fields(limits.header_bytes))
        .serve_connection(TokioIo::new(stream), service);
    serve_until_closing(connection, &mut phase).await;
}

/// The largest number of fields in a head of `bytes`.
fn max_fields(bytes: usize) -> usize {
    (bytes / MIN_FIELD_BYTES).clamp(1, MAX_FIELDS)
}

/// Times after which connections of callers are closed.
fn timeouts<C: Codec>(shared: &Shared<C>) -> clients::Timeouts {
    let limits = shared.limits();
    clients::Timeouts {
        head: limits.receive_timeout,
        silent: limits.idle_timeout,
    }
}

/// Waits until the VM enters the closing phase.
async fn wait_for_closing(phase: &mut watch::Receiver<Phase>) {
    // The sender is part of the shared state, so it outlives this receiver.
    let _ = phase.wait_for(|phase| *phase == Phase::Closing).await;
}

async fn serve_until_closing<S, B>(
    connection: http1::Connection<TokioIo<CallerStream>, S>,
    phase: &mut watch::Receiver<Phase>,
) where
    S: hyper::service::Service<Request<Incoming>, Response = http::Response<B>, Error = Infallible>,
    B: Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut connection = pin!(connection);
    tokio::select! {
        // Errors of a caller's connection need no handling here.
        _ = connection.as_mut() => return,
        () = wait_for_closing(phase) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
