//! Accepts connections and shuts them down gracefully.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use cloverpost_core::id;
use cloverpost_core::refusal::{Code, Refusal};
use cloverpost_platform::Platform;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;

use crate::front::operator::OperatorApi;
use crate::front::{Body, Context, disconnect, response, route};
use crate::settings;

/// Time for connections from the accept backlog to be served before a graceful shutdown.
const BACKLOG_GRACE: Duration = Duration::from_millis(100);
/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Header limit of hyper as a multiple of the configured limit.
const HEADER_LIMIT_FACTOR: usize = 2;

/// A listening server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Server {
    /// Listens for callers on `address`.
    pub async fn for_callers<P: Platform>(
        address: SocketAddr,
        context: Context<P>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let limits = context.state.settings.limits;
        let handler = move |incoming| spawn_request(context.clone(), incoming);
        Self::start(listener, limits, handler)
    }

    /// Listens for operators on `address`.
    pub async fn for_operators<P: Platform>(
        address: SocketAddr,
        limits: settings::Limits,
        operator_api: OperatorApi<P>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let handler = move |incoming| operator_api.clone().handle(incoming);
        Self::start(listener, limits, handler)
    }

    fn start<H, F>(listener: TcpListener, limits: settings::Limits, handler: H) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(accept(listener, limits, handler, stopped));
        Ok(Self {
            address,
            stop,
            task,
        })
    }

    /// Listening address.
    #[must_use]
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and waits until the open ones have ended.
    pub async fn close(self) {
        // Sending fails only if the task has already ended.
        let _ = self.stop.send(true);
        let _ = self.task.await;
    }

    /// Stops accepting connections, without waiting for open connections to end.
    pub fn abort(self) {
        self.task.abort();
    }
}

/// Handles a request in its own task, which survives a disconnect of the caller.
///
/// A disconnect drops this future and with it the guard, which notifies the task.
async fn spawn_request<P: Platform>(
    context: Context<P>,
    incoming: Request<Incoming>,
) -> Response<Body> {
    let (guard, caller) = disconnect::channel();
    let state = context.state.clone();
    let request = id::Request::random(&mut rand::rng());
    let task = tokio::spawn(route::handle(context, request, incoming, caller));
    let result = tokio::select! {
        result = task => result,
        () = state.ended() => {
            let message = "the VM stops before the response";
            let mut response = response::refusal(&Refusal::uncertain(Code::TimedOut, message));
            response::set_request_id(&mut response, request);
            response::close_connection(&mut response);
            return response;
        }
    };
    drop(guard);
    result.unwrap_or_else(|_panicked| {
        let message = "the request failed inside the router";
        response::refusal(&Refusal::uncertain(Code::Internal, message))
    })
}

async fn accept<H, F>(
    listener: TcpListener,
    limits: settings::Limits,
    handler: H,
    mut stopped: watch::Receiver<bool>,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    let builder = builder(limits);
    loop {
        let accepted = tokio::select! {
            _ = stopped.wait_for(|stop| *stop) => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _from)) => {
                let connection = Connection {
                    stream,
                    head_timeout: limits.header_timeout,
                };
                connection.serve(&builder, &graceful, handler.clone());
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    for stream in drain_backlog(listener) {
        let connection = Connection {
            stream,
            head_timeout: limits.header_timeout,
        };
        connection.serve(&builder, &graceful, handler.clone());
    }
    tokio::time::sleep(BACKLOG_GRACE).await;
    graceful.shutdown().await;
}

/// Closes `listener` and returns the connections in its accept backlog.
///
/// Closing the listener would reset them, and their clients could not know whether their
/// requests ran. They are accepted directly from the socket, because the runtime may not
/// have been notified of all of them.
fn drain_backlog(listener: TcpListener) -> Vec<TcpStream> {
    let Ok(listener) = listener.into_std() else {
        return Vec::new();
    };
    let mut streams = Vec::new();
    while let Ok((stream, _from)) = listener.accept() {
        let ready = stream.set_nonblocking(true);
        streams.extend(ready.and_then(|()| TcpStream::from_std(stream)));
    }
    streams
}

fn builder(limits: settings::Limits) -> auto::Builder<TokioExecutor> {
    // Hyper rejects requests over its own limit without a refusal of the router, so its
    // limit is larger than the one that the router enforces.
    let header_limit = limits.max_headers.saturating_mul(HEADER_LIMIT_FACTOR);
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        // Protects against slow clients that exhaust the file descriptors.
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(header_limit);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(header_limit).unwrap_or(u32::MAX));
    builder
}

/// An accepted connection.
struct Connection {
    stream: TcpStream,
    head_timeout: Duration,
}

impl Connection {
    fn serve<H, F>(
        self,
        builder: &auto::Builder<TokioExecutor>,
        graceful: &GracefulShutdown,
        handler: H,
    ) where
        H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        // Nagle's algorithm would delay small events of a stream.
        let _ = self.stream.set_nodelay(true);
        let first_head = Arc::new(Notify::new());
        let head_received = Arc::clone(&first_head);
        let service = service_fn(move |incoming| {
            head_received.notify_one();
            let response = handler(incoming);
            async move { Ok::<_, Infallible>(response.await) }
        });
        let connection = builder.serve_connection(TokioIo::new(self.stream), service);
        let connection = graceful.watch(connection.into_owned());
        tokio::spawn(serve_connection(self.head_timeout, first_head, connection));
    }
}

/// Drives `connection` to its end, or closes it if its first request head does not arrive
/// within `timeout`.
///
/// The header timeout of hyper starts only after protocol detection, so it does not cover
/// clients that send nothing or only a part of the HTTP/2 preface.
async fn serve_connection(timeout: Duration, first_head: Arc<Notify>, connection: impl Future) {
    let mut connection = pin!(connection);
    let head = tokio::time::timeout(timeout, first_head.notified());
    tokio::select! {
        // Connection errors are ignored: the client detects them itself.
        _ = connection.as_mut() => return,
        head = head => if head.is_err() { return },
    }
    let _ = connection.await;
}
