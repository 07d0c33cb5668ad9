//! A deadline that holds across a pause of the process.

use std::future::{Future, poll_fn};
use std::pin::pin;
use std::task::Poll;

use tokio::time::Instant;

/// Runs `call` until `deadline`; returns `None` if the deadline passes first.
///
/// The clock is read before each poll. `tokio::time::timeout` polls the call first, so
/// that after a pause while connecting, it could send an order although the lease has
/// expired.
pub async fn before<F: Future>(deadline: Instant, call: F) -> Option<F::Output> {
    let mut call = pin!(call);
    let mut timer = pin!(tokio::time::sleep_until(deadline));
    poll_fn(|context| {
        if Instant::now() >= deadline {
            return Poll::Ready(None);
        }
        if let Poll::Ready(output) = call.as_mut().poll(context) {
            return Poll::Ready(Some(output));
        }
        timer.as_mut().poll(context).map(|()| None)
    })
    .await
}
