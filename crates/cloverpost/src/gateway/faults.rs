//! Fault injection on the paths from this VM to upstreams, for tests.

use std::collections::HashMap;
use std::io;
use std::pin::Pin;
use std::str::FromStr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

use crate::socket;

/// How the paths from this VM to all upstreams fail.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// They do not fail.
    #[default]
    None,
    /// No packet arrives, in either direction.
    Hang,
    /// Open connections are reset and new ones refused.
    Reset,
    /// Open connections live on and new ones are refused.
    RefuseNew,
}

/// The text names no fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownFault;

impl FromStr for Fault {
    type Err = UnknownFault;

    fn from_str(text: &str) -> Result<Self, UnknownFault> {
        match text {
            "none" => Ok(Self::None),
            "hang" => Ok(Self::Hang),
            "reset" => Ok(Self::Reset),
            "refuse-new" => Ok(Self::RefuseNew),
            _ => Err(UnknownFault),
        }
    }
}

/// Faults of the paths from one VM. Clones refer to the same faults; disabled by default.
#[derive(Clone, Debug, Default)]
pub struct Faults(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    is_enabled: AtomicBool,
    fault: Mutex<Fault>,
    /// Number of resets so far.
    resets: AtomicU64,
    next_stream: AtomicU64,
    /// Tasks that wait on a stream, by stream and direction.
    wakers: Mutex<HashMap<(u64, Direction), Waker>>,
    changed: tokio::sync::Notify,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Direction {
    Read,
    Write,
}

impl Faults {
    /// Lets faults apply to connections that are opened from now on, at the cost of a lock for each
    /// operation.
    pub fn enable(&self) {
        self.0.is_enabled.store(true, Ordering::Relaxed);
    }

    /// Lets all paths fail from now on as `fault` says.
    pub fn set(&self, fault: Fault) {
        let shared = &self.0;
        *lock(&shared.fault) = fault;
        if fault == Fault::Reset {
            shared.resets.fetch_add(1, Ordering::Relaxed);
        }
        let wakers = std::mem::take(&mut *lock(&shared.wakers));
        wakers.into_values().for_each(Waker::wake);
        shared.changed.notify_waiters();
    }

    /// Applies the current fault to a new connection.
    pub(super) async fn check_connect(&self) -> io::Result<()> {
        let shared = &self.0;
        while self.is_enabled() {
            let changed = shared.changed.notified();
            let fault = *lock(&shared.fault);
            match fault {
                Fault::None => return Ok(()),
                Fault::Hang => changed.await,
                Fault::Reset | Fault::RefuseNew => {
                    return Err(io::ErrorKind::ConnectionRefused.into());
                }
            }
        }
        Ok(())
    }

    fn is_enabled(&self) -> bool {
        self.0.is_enabled.load(Ordering::Relaxed)
    }

    /// Applies later faults to `stream`.
    pub(super) fn wrap(&self, stream: TcpStream) -> Stream {
        let path = || Path {
            id: self.0.next_stream.fetch_add(1, Ordering::Relaxed),
            resets: self.0.resets.load(Ordering::Relaxed),
            dead_at: None,
            shared: self.0.clone(),
        };
        Stream {
            stream,
            path: self.is_enabled().then(path),
        }
    }
}

/// A connection whose path may fail.
#[derive(Debug)]
pub struct Stream {
    stream: TcpStream,
    path: Option<Path>,
}

#[derive(Debug)]
struct Path {
    shared: Arc<Shared>,
    id: u64,
    /// Number of resets before the connection was opened.
    resets: u64,
    /// Ends the connection if the path hangs until then.
    dead_at: Option<Pin<Box<Sleep>>>,
}

impl Path {
    /// Ready if the path works or the connection is broken.
    fn poll(&mut self, cx: &mut Context<'_>, direction: Direction) -> Poll<io::Result<()>> {
        lock(&self.shared.wakers).insert((self.id, direction), cx.waker().clone());
        if self.shared.resets.load(Ordering::Relaxed) != self.resets {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        if *lock(&self.shared.fault) != Fault::Hang {
            self.dead_at = None;
            return Poll::Ready(Ok(()));
        }
        let timeout = match direction {
            Direction::Read => socket::UPSTREAM_TIMEOUTS.keep_alive + unacknowledged(),
            Direction::Write => unacknowledged(),
        };
        let deadline = Instant::now() + timeout;
        let dead_at = self
            .dead_at
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(deadline)));
        if deadline < dead_at.deadline() {
            dead_at.as_mut().reset(deadline);
        }
        ready!(dead_at.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

fn unacknowledged() -> Duration {
    socket::UPSTREAM_TIMEOUTS.user_timeout
}

impl Drop for Path {
    fn drop(&mut self) {
        let mut wakers = lock(&self.shared.wakers);
        wakers.remove(&(self.id, Direction::Read));
        wakers.remove(&(self.id, Direction::Write));
    }
}

impl Stream {
    fn poll_path(&mut self, cx: &mut Context<'_>, direction: Direction) -> Poll<io::Result<()>> {
        match &mut self.path {
            Some(path) => path.poll(cx, direction),
            None => Poll::Ready(Ok(())),
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.poll_path(cx, Direction::Read))?;
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_path(cx, Direction::Write))?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_path(cx, Direction::Write))?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
