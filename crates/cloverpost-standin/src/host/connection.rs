//! Connections.

use std::convert::Infallible;
use std::future;
use std::pin::pin;
use std::sync::Arc;

use futures_util::FutureExt;
use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::service;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::host::{Body, Call, ConnectionHandle, Controls, Handler, Phase, call, reply};

/// Serves `stream` until it is closed by the caller, by a fault or by a graceful shutdown.
pub async fn serve<H: Handler>(stream: TcpStream, handler: Arc<H>, controls: Controls) {
    // Nagle's algorithm would delay small chunks and distort latencies.
    let _ = stream.set_nodelay(true);
    let handle = ConnectionHandle::default();
    let mut phase = controls.watch_phase();
    let service = service::service_fn(|request| {
        let (handler, controls, handle) = (handler.clone(), controls.clone(), handle.clone());
        async move { Ok::<_, Infallible>(respond(request, &*handler, &controls, handle).await) }
    });
    let builder = auto::Builder::new(TokioExecutor::new());
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        _ = connection.as_mut() => return,
        () = handle.closed() => return poll_once(connection),
        () = wait_for_refusing(&mut phase) => {}
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        _ = connection.as_mut() => {}
        () = handle.closed() => poll_once(connection),
    }
}

/// Polls a connection once more before it is closed, so that it writes the chunks that it has
/// already consumed.
fn poll_once(connection: impl Future) {
    let _ = connection.now_or_never();
}

/// Waits for a change to [`Phase::Refusing`]. Connections accepted in that phase stay open, so that
/// their requests receive a response that states that they did not start.
async fn wait_for_refusing(phase: &mut watch::Receiver<Phase>) {
    while phase.changed().await.is_ok() {
        if *phase.borrow_and_update() == Phase::Refusing {
            return;
        }
    }
    future::pending::<()>().await;
}

async fn respond<H: Handler>(
    request: Request<Incoming>,
    handler: &H,
    controls: &Controls,
    handle: ConnectionHandle,
) -> Response<Body> {
    let (head, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return reply::not_started(StatusCode::BAD_REQUEST, "body broke off");
    };
    let id = head.headers.get(call::REQUEST_ID).cloned();
    let call = Call {
        head,
        body: body.to_bytes(),
        connection: handle,
    };
    let mut response = route(call, handler, controls).await;
    if let Some(id) = id {
        // A response with the fault `OtherResponse` already has another request's ID.
        let headers = response.headers_mut();
        headers.entry(call::REQUEST_ID).or_insert(id);
    }
    response
}

async fn route<H: Handler>(call: Call, handler: &H, controls: &Controls) -> Response<Body> {
    match (&call.head.method, call.head.uri.path()) {
        (&Method::GET, "/health") => reply::json(StatusCode::OK, &controls.phase()),
        (&Method::GET, "/runs") => reply::json(StatusCode::OK, &controls.journal().runs()),
        (&Method::POST, "/faults") => match handler.apply_command(controls, &call.body) {
            Ok(()) => reply::json(StatusCode::OK, &controls.phase()),
            Err(error) => reply::error(StatusCode::BAD_REQUEST, &error.to_string()),
        },
        _ => handler.handle(call).await,
    }
}
