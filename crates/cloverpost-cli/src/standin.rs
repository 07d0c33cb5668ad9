//! The `cloverpost standin` commands.

use std::net::SocketAddr;
use std::time::Duration;

use cloverpost_core::id;
use cloverpost_platform::vms;
use cloverpost_standin::{engine, platform, service};

use crate::failure::{Failure, parse};
use crate::{flags, signal};

/// Loopback address with a port chosen by the operating system.
const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// Expected syntax of addresses, for error messages.
const ADDRESS: &str = "IP:PORT";
/// Expected syntax of durations, for error messages.
const DURATION: &str = "a duration, such as 2ms";
/// Expected syntax of counts, for error messages.
const COUNT: &str = "a non-negative integer";

/// Runs one stand-in until a signal stops it.
pub fn run(flags: flags::Standin) -> Result<(), Failure> {
    use flags::StandinCmd as Command;
    crate::runtime()?.block_on(async {
        match flags.subcommand {
            Command::Engine(flags) => engine(flags).await,
            Command::Service(flags) => service(flags).await,
            Command::Platform(flags) => platform(flags).await,
        }
    })
}

async fn engine(flags: flags::Engine) -> Result<(), Failure> {
    let defaults = engine::Options::default();
    let options = engine::Options {
        loaded: loaded(flags.loaded)?,
        tokens: parse("--tokens", flags.tokens, defaults.tokens, COUNT)?,
        first_token: duration("--first-token", flags.first_token, defaults.first_token)?,
        token_interval: duration("--token-gap", flags.token_gap, defaults.token_interval)?,
        concurrency: parse(
            "--concurrency",
            flags.concurrency,
            defaults.concurrency,
            COUNT,
        )?,
        ..defaults
    };
    let address = parse("--addr", flags.addr, ANY_PORT, ADDRESS)?;
    let server = engine::Server::bind(address, options).await;
    let server = server.map_err(|error| cannot_listen(address, &error))?;
    let registration = Registration {
        platform: flags.platform_url,
        name: flags.name,
        zone: flags.zone,
        pool: flags.pool,
    };
    registration.serve("engine", server.local_addr()).await?;
    server.close().await;
    Ok(())
}

async fn service(flags: flags::Service) -> Result<(), Failure> {
    let defaults = service::Options::default();
    let options = service::Options {
        latency: duration("--latency", flags.latency, defaults.latency)?,
        ..defaults
    };
    let address = parse("--addr", flags.addr, ANY_PORT, ADDRESS)?;
    let server = service::Server::bind(address, options).await;
    let server = server.map_err(|error| cannot_listen(address, &error))?;
    let registration = Registration {
        platform: flags.platform_url,
        name: flags.name,
        zone: flags.zone,
        pool: flags.pool,
    };
    registration.serve("service", server.local_addr()).await?;
    server.close().await;
    Ok(())
}

async fn platform(flags: flags::Platform) -> Result<(), Failure> {
    let address = parse("--addr", flags.addr, ANY_PORT, ADDRESS)?;
    let server = platform::Server::bind(address).await;
    let server = server.map_err(|error| cannot_listen(address, &error))?;
    println!("ready: platform {}", server.local_addr());
    signal::stop().await;
    server.close().await;
    Ok(())
}

/// Registration of an upstream with the platform stand-in's discovery list.
struct Registration {
    platform: Option<String>,
    name: Option<String>,
    zone: Option<String>,
    pool: Option<String>,
}

impl Registration {
    /// Registers the upstream, prints the ready line and waits for a stop signal.
    /// Registration comes first because VMs only know the upstreams on the list.
    async fn serve(self, kind: &str, address: SocketAddr) -> Result<(), Failure> {
        self.register(address).await?;
        println!("ready: {kind} {address}");
        signal::stop().await;
        Ok(())
    }

    /// Registers the upstream if a platform URL was given.
    async fn register(self, address: SocketAddr) -> Result<(), Failure> {
        let Some(platform) = self.platform else {
            return Ok(());
        };
        let vm = vms::Vm {
            name: required("--name", self.name)?,
            address,
            zone: required("--zone", self.zone)?,
            role: vms::Role::Upstream(required::<id::Pool>("--pool", self.pool)?),
            state: vms::State::Live,
        };
        cloverpost_bench::site::register(&platform, &vm)
            .await
            .map_err(Failure::runtime)
    }
}

fn required<T: std::str::FromStr>(flag: &str, value: Option<String>) -> Result<T, Failure> {
    let text =
        value.ok_or_else(|| Failure::usage(format!("{flag} is required with --platform-url")))?;
    text.parse()
        .map_err(|_| Failure::usage(format!("{flag}: invalid name `{text}`")))
}

fn loaded(list: Option<String>) -> Result<Vec<engine::Target>, Failure> {
    let list = list.unwrap_or_default();
    list.split(',')
        .filter(|text| !text.is_empty())
        .map(|text| {
            text.parse().map_err(|_| {
                Failure::usage(format!(
                    "--loaded: invalid value `{text}`: expected MODEL@VERSION"
                ))
            })
        })
        .collect()
}

fn duration(flag: &str, value: Option<String>, default: Duration) -> Result<Duration, Failure> {
    let parsed: humantime::Duration = parse(flag, value, default.into(), DURATION)?;
    Ok(parsed.into())
}

fn cannot_listen(address: SocketAddr, error: &std::io::Error) -> Failure {
    Failure::runtime(format!("--addr: cannot listen on {address}: {error}"))
}
