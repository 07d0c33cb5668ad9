//! Reloads settings at run time.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};

use crate::gateway::Shared;
use crate::gateway::codec::Codec;
use crate::gateway::settings::Settings;

/// Interval at which the file is checked for changes without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Applies changes of the settings file until dropped.
pub async fn run<C: Codec>(file: PathBuf, shared: Arc<Shared<C>>) {
    let mut hangup = signal(SignalKind::hangup()).ok();
    // Starts empty so that changes since the initial read are detected.
    let mut text = String::new();
    let mut signalled = false;
    loop {
        match std::fs::read_to_string(&file) {
            Ok(new_text) if new_text != text => {
                apply(&file, &new_text, &shared);
                text = new_text;
            }
            Ok(_) if signalled => {
                log::info!(file:% = file.display(); "reload requested; settings unchanged");
            }
            Ok(_) => {}
            Err(error) => {
                log::warn!(file:% = file.display(), why:% = error; "failed to read the settings file; keeping the current settings");
            }
        }
        signalled = tokio::select! {
            () = tokio::time::sleep(POLL_INTERVAL) => false,
            () = recv_hangup(&mut hangup) => true,
        };
    }
}

async fn recv_hangup(signal: &mut Option<tokio::signal::unix::Signal>) {
    match signal {
        Some(signal) => {
            signal.recv().await;
        }
        None => std::future::pending().await,
    }
}

fn apply<C: Codec>(file: &Path, text: &str, shared: &Shared<C>) {
    let old = shared.settings.load_full();
    match text.parse::<Settings>() {
        Ok(new) if new == *old => {}
        Ok(new) => {
            if startup_settings(&old) != startup_settings(&new) {
                log::warn!(file:% = file.display(); "changed addresses and names take effect after a restart");
            }
            log::info!(before:? = old, now:? = new; "settings reloaded");
            shared.settings.store(Arc::new(new));
        }
        Err(faults) => {
            log::error!(file:% = file.display(), faults:% = faults; "wrong settings, the old ones stay");
        }
    }
}

/// Returns the settings that take effect only at startup.
fn startup_settings(settings: &Settings) -> impl PartialEq + use<> {
    (
        settings.vm.clone(),
        settings.caller_addr,
        settings.operator_addr,
        settings.peer_addr,
        settings.store_addr,
    )
}
