//! Limit of interim responses (1xx).

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use tokio::sync::Notify;

/// Interim responses after which an upstream is taken to send them without end. A response has one
/// or two.
const MAX_COUNT: u32 = 16;

/// Counts the interim responses to one request.
#[derive(Clone, Debug, Default)]
pub struct Interim(Arc<State>);

#[derive(Debug, Default)]
struct State {
    count: AtomicU32,
    exceeded: Notify,
}

impl Interim {
    /// Counts the interim responses to `request`.
    pub fn watch<B>(&self, request: &mut http::Request<B>) {
        let state = self.0.clone();
        hyper::ext::on_informational(request, move |_response| {
            if state.count.fetch_add(1, Ordering::Relaxed) == MAX_COUNT {
                state.exceeded.notify_one();
            }
        });
    }

    /// Completes once there are too many.
    pub async fn exceeded(&self) {
        self.0.exceeded.notified().await;
    }
}
