//! A VM on its own runtime, so that it can be killed.

use std::net::SocketAddr;
use std::time::Duration;

use cloverpost::settings::{Input, Settings};
use cloverpost::vm;
use cloverpost_core::catalogue;
use cloverpost_platform::memory;
use tokio::{runtime, task, time};

use super::super::caller;

/// Timeout for the tasks of a killed VM to stop.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);

/// A running VM.
pub struct Vm {
    runtime: Option<runtime::Runtime>,
    handle: Option<vm::Vm<memory::Platform>>,
    address: SocketAddr,
}

impl Vm {
    /// Starts VM `index` and waits until it accepts requests.
    pub async fn start(
        index: usize,
        platform: memory::Platform,
        flags: &[(&'static str, String)],
    ) -> Self {
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let settings = settings(index, flags);
        let vm = runtime.spawn(vm::Vm::start(settings, platform));
        let vm = vm.await.unwrap().unwrap();
        while !vm.is_ready() {
            time::sleep(super::POLL_INTERVAL).await;
        }
        Self {
            address: vm.caller_addr(),
            runtime: Some(runtime),
            handle: Some(vm),
        }
    }

    /// Returns the address for callers.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the sum of a metric over its labels, 0 if it has no value yet.
    pub async fn metric(&self, name: &str) -> f64 {
        let vm = self.handle.as_ref().unwrap().operator_addr();
        let request = caller::request(vm, "", http::Method::GET, "/metrics", "");
        let text = caller::send(request).await.unwrap().body;
        let lines = text.lines().filter(|line| {
            let rest = line.strip_prefix(name);
            rest.is_some_and(|rest| rest.starts_with([' ', '{']))
        });
        let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        values.sum()
    }

    /// Stops the VM gracefully.
    pub async fn close(mut self) {
        let (runtime, handle) = (self.runtime.take().unwrap(), self.handle.take().unwrap());
        runtime.spawn(handle.close()).await.unwrap();
        runtime.shutdown_background();
    }

    /// Drops all tasks and connections, as a crash of the machine would.
    pub async fn kill(mut self) {
        let runtime = self.runtime.take().unwrap();
        let end = task::spawn_blocking(move || runtime.shutdown_timeout(SHUTDOWN_TIMEOUT));
        end.await.unwrap();
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        // Shut down before the handle is dropped, which would stop the tasks gracefully.
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
        drop(self.handle.take());
    }
}

fn settings(index: usize, flags: &[(&'static str, String)]) -> Settings {
    let zone = ["a", "b", "c"][index % 3];
    let operator = catalogue::KeyHash::of("operator-key");
    let any = "127.0.0.1:0";
    let common = [
        ("vm-id", format!("vm-{index}")),
        ("zone", zone.to_owned()),
        ("region", "test".to_owned()),
        ("caller-addr", any.to_owned()),
        ("operator-addr", any.to_owned()),
        ("peer-addr", any.to_owned()),
        ("platform-url", "http://127.0.0.1:1".to_owned()),
        ("peer-key", "peer key of the tests".to_owned()),
        ("session-key", "session key of the tests".to_owned()),
        ("operator-keys", format!("test={operator}")),
    ];
    let input = common
        .iter()
        .chain(flags)
        .fold(Input::default(), |input, (flag, value)| {
            input.with_flag(flag, Some(value.clone()))
        });
    Settings::read(&input).unwrap()
}
