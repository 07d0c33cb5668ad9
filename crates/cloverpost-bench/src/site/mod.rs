//! A site on loopback in one process: platform and upstream stand-ins and entry VMs, with
//! real sockets between them.

pub mod catalogue;
mod entry;
mod error;
mod register;

pub use entry::EntryVm;
pub use error::Error;
pub use register::register;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use cloverpost::operate;
use cloverpost::settings::{Input, Settings};
use cloverpost_core::{catalogue as core_catalogue, id};
use cloverpost_platform::memory;
use cloverpost_platform::vms;
use cloverpost_standin::{engine, service};

/// Number of engines.
const ENGINES: usize = 3;
/// Availability zones that VMs are spread over.
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Key of the site's operator.
pub const OPERATOR_KEY: &str = "demo-operator-key";
/// Polling interval.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout for VMs to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// A running site.
pub struct Site {
    /// The platform services.
    pub platform: memory::Platform,
    /// Engines `engine-0`, `engine-1` and so on.
    pub engines: Vec<engine::Server>,
    /// The booking service.
    pub service: service::Server,
    /// Running entry VMs.
    pub vms: Vec<EntryVm>,
}

impl Site {
    /// Starts a site with `count` entry VMs and waits until they are ready.
    pub async fn start(count: usize) -> Result<Self, Error> {
        Self::start_with(count, engine::Options::default()).await
    }

    /// Starts a site whose engines use `options`.
    pub async fn start_with(count: usize, options: engine::Options) -> Result<Self, Error> {
        let platform = memory::Platform::new();
        let mut engines = Vec::new();
        for _ in 0..ENGINES {
            engines
                .push(engine::Server::bind(any_port(), with_demo_versions(options.clone())).await?);
        }
        let service = service::Server::bind(any_port(), service::Options::default()).await?;
        let mut site = Self {
            platform,
            engines,
            service,
            vms: Vec::new(),
        };
        site.register_upstreams();
        for index in 0..count {
            site.start_vm(index).await?;
        }
        site.apply("first catalogue", catalogue::TEXT.to_owned())
            .await?;
        site.wait_until(EntryVm::is_ready).await?;
        Ok(site)
    }

    /// Returns the addresses of the VMs for callers.
    #[must_use]
    pub fn caller_addrs(&self) -> Vec<SocketAddr> {
        self.vms.iter().map(EntryVm::caller_addr).collect()
    }

    /// Creates a client of the operator interface of the first VM.
    #[must_use]
    pub fn operator(&self) -> operate::Client {
        let address = self.vms.first().map_or(any_port(), EntryVm::operator_addr);
        operate::Client::new(&format!("http://{address}"), OPERATOR_KEY)
    }

    /// Publishes `text` as the next revision.
    pub async fn apply(&self, comment: &str, text: String) -> Result<id::Revision, Error> {
        let client = self.operator();
        let base = client.show().await?.revision;
        let edit = id::Edit::random(&mut rand::rng());
        Ok(client.apply(base, edit, comment, text).await?)
    }

    /// Waits until every VM serves `revision` and returns the time that it took.
    pub async fn wait_in_force(&self, revision: id::Revision) -> Result<Duration, Error> {
        let start = tokio::time::Instant::now();
        self.wait_until(|vm| vm.revision() >= revision).await?;
        Ok(start.elapsed())
    }

    /// Marks an engine as leaving on the discovery list.
    pub fn mark_leaving(&self, engine: usize) {
        self.platform.vms.mark_leaving(&engine_name(engine));
    }

    /// Returns how often the upstreams ran the request.
    #[must_use]
    pub fn count_by_request(&self, request: &str) -> usize {
        let on_engine =
            |engine: &engine::Server| engine.handle().journal().count_by_request(request);
        let engines: usize = self.engines.iter().map(on_engine).sum();
        engines + self.service.handle().journal().count_by_request(request)
    }

    /// Shuts down the VMs gracefully and then the stand-ins.
    pub async fn close(self) {
        for vm in self.vms {
            vm.close().await;
        }
        for engine in self.engines {
            engine.close().await;
        }
        self.service.close().await;
    }

    fn register_upstreams(&self) {
        for (index, engine) in self.engines.iter().enumerate() {
            self.platform.vms.add(vms::Vm {
                name: engine_name(index),
                address: engine.local_addr(),
                zone: zone(index),
                role: vms::Role::Upstream(parse_name(catalogue::ENGINES)),
                state: vms::State::Live,
            });
        }
        self.platform.vms.add(vms::Vm {
            name: parse_name("service-0"),
            address: self.service.local_addr(),
            zone: zone(0),
            role: vms::Role::Upstream(parse_name(catalogue::SERVICES)),
            state: vms::State::Live,
        });
    }

    async fn start_vm(&mut self, index: usize) -> Result<(), Error> {
        let settings = settings(index)?;
        let vm_name = settings.vm.clone();
        let platform = self.platform.client(vm_name.as_str());
        let vm = EntryVm::start(settings, platform).await?;
        self.platform.vms.add(vms::Vm {
            name: vm_name,
            address: vm.peer_addr(),
            zone: zone(index),
            role: vms::Role::Entry,
            state: vms::State::Live,
        });
        self.vms.push(vm);
        Ok(())
    }

    async fn wait_until(&self, condition: impl Fn(&EntryVm) -> bool) -> Result<(), Error> {
        let wait = async {
            while !self.vms.iter().all(&condition) {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(READY_TIMEOUT, wait)
            .await
            .map_err(|_| Error::NotReady)
    }
}

/// Returns `options` with the versions of the demo catalogue loaded.
fn with_demo_versions(options: engine::Options) -> engine::Options {
    engine::Options {
        loaded: ["brief@0", "brief@1", "brief@2"]
            .iter()
            .map(|target| target.parse().expect("target should be valid"))
            .collect(),
        ..options
    }
}

/// Parses the settings of the VM `index`.
fn settings(index: usize) -> Result<Settings, Error> {
    let operator = core_catalogue::KeyHash::of(OPERATOR_KEY);
    let any = "127.0.0.1:0";
    let values: HashMap<&'static str, String> = HashMap::from([
        ("vm-id", format!("vm-{index}")),
        ("zone", ZONES[index % ZONES.len()].to_owned()),
        ("region", "demo".to_owned()),
        ("caller-addr", any.to_owned()),
        ("operator-addr", any.to_owned()),
        ("peer-addr", any.to_owned()),
        ("platform-url", "http://127.0.0.1:1".to_owned()),
        ("peer-key", "demo peer key of the site".to_owned()),
        ("session-key", "demo session key of the site".to_owned()),
        ("operator-keys", format!("demo={operator}")),
        ("drain-delay", "100ms".to_owned()),
        ("drain-limit", "10s".to_owned()),
    ]);
    let input = values
        .into_iter()
        .fold(Input::default(), |input, (flag, value)| {
            input.with_flag(flag, Some(value))
        });
    Settings::read(&input).map_err(|error| Error::Start(error.to_string()))
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn engine_name(index: usize) -> id::Vm {
    parse_name(&format!("engine-{index}"))
}

fn zone(index: usize) -> id::AvailabilityZone {
    parse_name(ZONES[index % ZONES.len()])
}

fn parse_name<T>(text: &str) -> T
where
    T: std::str::FromStr<Err = id::Error>,
{
    text.parse().expect("name should be valid")
}
