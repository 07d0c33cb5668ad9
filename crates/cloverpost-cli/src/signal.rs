//! Waits for the signals that ask for a stop.

use tokio::signal::unix::{SignalKind, signal};

/// Resolves on SIGTERM or SIGINT. They are caught from this call on, not only once the
/// future is polled; it needs a runtime.
pub fn stop() -> impl Future<Output = ()> {
    let terminate = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    async {
        let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else {
            // Without handlers the signals end the process themselves.
            return std::future::pending().await;
        };
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    }
}

/// Keeps SIGHUP from ending the process. One that comes before the settings are watched
/// needs no answer, since the watch begins with a look at the file.
pub fn survive_hang_up() {
    if let Err(error) = signal(SignalKind::hangup()) {
        log::warn!(why:% = error; "SIGHUP is not caught");
    }
}
