//! The `cloverpost serve` command.

use cloverpost::settings::{Input, Settings};
use cloverpost::{logs, vm};
use cloverpost_platform::http;

use crate::failure::Failure;
use crate::{flags, signal};

/// Runs an entry VM until a signal stops it.
pub fn run(flags: flags::Serve) -> Result<(), Failure> {
    let check = flags.check;
    let settings = Settings::read(&input(flags)).map_err(Failure::usage)?;
    if check {
        println!("the settings are valid");
        return Ok(());
    }
    logs::init(settings.log_format, settings.log_level).map_err(Failure::runtime)?;
    crate::runtime()?.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<(), Failure> {
    let options = http::Options {
        timeout: settings.platform_timeout,
        client: Some(settings.vm.to_string()),
        ..http::Options::default()
    };
    let platform = http::Platform::new(&settings.platform_url, &options);
    let vm = vm::Vm::start(settings, platform)
        .await
        .map_err(|report| Failure::runtime(format!("{report:#}")))?;
    println!(
        "ready: callers {} operators {} peers {}",
        vm.caller_addr(),
        vm.operator_addr(),
        vm.peer_addr()
    );
    signal::stop().await;
    log::info!("stopping");
    // A second signal aborts the graceful shutdown.
    tokio::select! {
        () = vm.close() => log::info!("stopped"),
        () = signal::stop() => log::warn!("stopped at once"),
    }
    Ok(())
}

fn input(flags: flags::Serve) -> Input {
    Input::from_variables(std::env::vars())
        .with_flag("vm-id", flags.vm_id)
        .with_flag("zone", flags.zone)
        .with_flag("region", flags.region)
        .with_flag("caller-addr", flags.caller_addr)
        .with_flag("operator-addr", flags.operator_addr)
        .with_flag("peer-addr", flags.peer_addr)
        .with_flag("platform-url", flags.platform_url)
        .with_flag("peer-key", flags.peer_key)
        .with_flag("peer-key-previous", flags.peer_key_previous)
        .with_flag("session-key", flags.session_key)
        .with_flag("session-key-previous", flags.session_key_previous)
        .with_flag("operator-keys", flags.operator_keys)
        .with_flag("log-format", flags.log_format)
        .with_flag("log-level", flags.log_level)
        .with_flag("max-body", flags.max_body)
        .with_flag("max-headers", flags.max_headers)
        .with_flag("header-timeout", flags.header_timeout)
        .with_flag("body-timeout", flags.body_timeout)
        .with_flag("max-attempts", flags.max_attempts)
        .with_flag("drain-delay", flags.drain_delay)
        .with_flag("drain-limit", flags.drain_limit)
        .with_flag("platform-timeout", flags.platform_timeout)
}
