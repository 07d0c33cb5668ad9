//! Worker that calls the rater outside the request path.

use cloverpost_platform::rating::{Rater, Verdict};
use tokio::sync::mpsc;

use crate::clock;
use crate::plan::{Event, RatingRequest, ratings};

/// Rates each answer from `requests` until the channel closes.
pub async fn run<R: Rater>(
    mut requests: mpsc::Receiver<RatingRequest>,
    rater: R,
    events: mpsc::Sender<Event>,
    clock: clock::Clock,
) {
    while let Some(request) = requests.recv().await {
        tokio::spawn(rate(request, rater.clone(), events.clone(), clock));
    }
}

async fn rate<R: Rater>(
    request: RatingRequest,
    rater: R,
    events: mpsc::Sender<Event>,
    clock: clock::Clock,
) {
    let start = clock.now();
    let call = rater.rate(&request.class, &request.prompt, &request.answer);
    let verdict = tokio::time::timeout(ratings::RATER_TIMEOUT, call).await;
    let event = match verdict {
        Ok(Ok(verdict)) => {
            if let Some(reply) = request.reply {
                // The caller may have disconnected; the verdict is still recorded.
                let _ = reply.send(verdict);
            }
            Event::Rated {
                key: request.key,
                passed: verdict == Verdict::Pass,
                took: clock.now().since(start),
            }
        }
        Ok(Err(_)) | Err(_) => Event::RatingFailed,
    };
    drop(request.permit);
    let _ = events.send(event).await;
}
