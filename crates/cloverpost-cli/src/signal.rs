//! Process signal handling.

use tokio::signal::unix::{SignalKind, signal};

/// Returns a future that resolves on SIGTERM or SIGINT. The handlers are installed by this
/// call, before the future is first polled, so it must be called within a Tokio runtime.
pub fn stop() -> impl Future<Output = ()> {
    let terminate = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    async {
        let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else {
            // Without handlers the default action of the signals terminates the process.
            return std::future::pending().await;
        };
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    }
}

/// Installs a SIGHUP handler so that the signal does not terminate the process. A SIGHUP
/// received before the settings watcher starts can be ignored: the watcher reads the file
/// when it starts.
pub fn handle_hangup() {
    if let Err(error) = signal(SignalKind::hangup()) {
        log::warn!(why:% = error; "failed to install the SIGHUP handler");
    }
}
