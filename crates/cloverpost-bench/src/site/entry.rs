//! An entry VM of the site.

use std::net::SocketAddr;

use cloverpost::settings::Settings;
use cloverpost::vm;
use cloverpost_core::id;
use cloverpost_platform::memory;
use tokio::runtime;

use crate::site::Error;

/// Worker threads of the runtime of a VM.
const WORKER_THREADS: usize = 2;

/// An entry VM with its own runtime, so that it can be killed like a separate process.
#[derive(Debug)]
pub struct EntryVm {
    vm: vm::Vm<memory::Platform>,
    runtime: runtime::Runtime,
}

impl EntryVm {
    /// Starts a VM.
    pub async fn start(settings: Settings, platform: memory::Platform) -> Result<Self, Error> {
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .enable_all()
            .build()?;
        let started = runtime.spawn(vm::Vm::start(settings, platform)).await;
        let vm = started
            .map_err(|error| Error::Start(error.to_string()))?
            .map_err(|report| Error::Start(format!("{report:?}")))?;
        Ok(Self { vm, runtime })
    }

    /// Returns the address for callers.
    #[must_use]
    pub fn caller_addr(&self) -> SocketAddr {
        self.vm.caller_addr()
    }

    /// Returns the address for operators.
    #[must_use]
    pub fn operator_addr(&self) -> SocketAddr {
        self.vm.operator_addr()
    }

    /// Returns the address for other VMs.
    #[must_use]
    pub fn peer_addr(&self) -> SocketAddr {
        self.vm.peer_addr()
    }

    /// Returns whether the VM accepts requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.vm.is_ready()
    }

    /// Returns the catalogue revision that the VM serves.
    #[must_use]
    pub fn revision(&self) -> id::Revision {
        self.vm.revision()
    }

    /// Shuts down gracefully.
    pub async fn close(self) {
        // A panic during shutdown has been reported by the panic hook.
        let _ = self.runtime.spawn(self.vm.close()).await;
        self.runtime.shutdown_background();
    }

    /// Aborts all tasks without a graceful shutdown.
    pub fn kill(self) {
        self.vm.abort();
        self.runtime.shutdown_background();
    }
}
