//! The `cloverpost gateway` command.

use std::path::PathBuf;

use cloverpost::gateway::{Settings, Vm};
use cloverpost::{logs, peer};
use cloverpost_adapter::{Codec, Store};

use crate::failure::Failure;
use crate::{flags, signal};

/// Environment variable with the path of the settings file.
const SETTINGS_VAR: &str = "CLOVERPOST_CONFIG";
/// Environment variable with the key that VMs share.
const PEER_KEY_VAR: &str = "CLOVERPOST_PEER_KEY";

/// Runs an entry VM on the users' platform until a signal stops it.
pub fn run(flags: &flags::Gateway) -> Result<(), Failure> {
    let file = settings_file(flags)?;
    let text = std::fs::read_to_string(&file)
        .map_err(|error| Failure::usage(format!("{}: {error}", file.display())))?;
    let settings: Settings = text.parse().map_err(Failure::usage)?;
    let keys = peer_keys()?;
    if flags.check {
        println!("the settings are valid");
        return Ok(());
    }
    logs::init_bounded(log::LevelFilter::Info).map_err(Failure::runtime)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Failure::runtime(format!("cannot start the async runtime: {error}")))?;
    runtime.block_on(serve(settings, file, keys))
}

async fn serve(settings: Settings, file: PathBuf, keys: peer::Keys) -> Result<(), Failure> {
    signal::handle_hangup();
    let stop = signal::stop();
    log::info!(settings:? = settings; "starting");
    let store = Store::new(settings.store_addr);
    let vm = Vm::start(settings, Some(file), Codec, store, keys)
        .await
        .map_err(Failure::runtime)?;
    vm.run(stop).await;
    Ok(())
}

fn settings_file(flags: &flags::Gateway) -> Result<PathBuf, Failure> {
    let from_environment = || std::env::var_os(SETTINGS_VAR).map(PathBuf::from);
    let file = flags.settings.clone().or_else(from_environment);
    file.ok_or_else(|| {
        Failure::usage(format!(
            "--settings ({SETTINGS_VAR}) is required: expected a file path"
        ))
    })
}

fn peer_keys() -> Result<peer::Keys, Failure> {
    let text = std::env::var(PEER_KEY_VAR).unwrap_or_default();
    let current = text
        .parse()
        .map_err(|error| Failure::usage(format!("{PEER_KEY_VAR}: {error}")))?;
    Ok(peer::Keys {
        current,
        additional: None,
    })
}
