//! A small deployment: a store, replicas and entry VMs, each a process of its own, on loopback addresses.

use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// Program and arguments of the deploy file.
const RUN: [&str; 2] = ["target/release/cloverpost", "gateway"];
/// Environment of the deploy file.
const PEER_KEY: (&str, &str) = ("CLOVERPOST_PEER_KEY", "change-this-key-before-use");
/// API key of the tenant.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// Host of all routes.
pub const HOST: &str = "site.example";

/// First port of each process.
const PORT: u16 = 8220;

/// A process that ends with the deployment.
pub struct Process {
    pub name: String,
    pub child: Child,
}

impl Process {
    fn start(name: &str, mut command: Command, directory: &Path) -> io::Result<Self> {
        let output = File::create(directory.join(format!("{name}.log")))?;
        let errors = output.try_clone()?;
        command.stdin(Stdio::null()).stdout(output).stderr(errors);
        Ok(Self {
            name: name.to_owned(),
            child: command.spawn()?,
        })
    }

    /// Kills the process, as SIGKILL does.
    pub fn kill(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// An entry VM.
pub struct Vm {
    pub process: Process,
    settings: PathBuf,
    pub caller_addr: String,
    pub operator_addr: String,
}

/// A deployment. All its processes are killed when it is dropped.
pub struct Site {
    pub directory: PathBuf,
    pub store: String,
    pub vms: Vec<Vm>,
    pub replicas: Vec<Process>,
    _store: Process,
}

/// A loopback host of its own for each process, so that no outgoing connection takes its ports.
fn free_host() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    loop {
        let host = Ipv4Addr::new(
            127,
            100 + high % 100,
            low,
            NEXT.fetch_add(1, Ordering::Relaxed),
        );
        if TcpListener::bind((host, PORT)).is_ok() {
            return host;
        }
    }
}

/// Address of a process that listens on one port.
fn free_address() -> String {
    format!("{}:{PORT}", free_host())
}

fn standin(arguments: &[&str]) -> io::Result<Command> {
    let mut command = Command::new(std::env::current_exe()?);
    command.args(arguments);
    Ok(command)
}

/// Starts the router as the deploy file says.
fn start_router(name: &str, settings: &Path, directory: &Path) -> io::Result<Process> {
    let mut command = Command::new(RUN[0]);
    command
        .args(&RUN[1..])
        .env("CLOVERPOST_CONFIG", settings)
        .env(PEER_KEY.0, PEER_KEY.1);
    Process::start(name, command, directory)
}

fn metric_of(vm: &Vm, name: &str) -> Option<usize> {
    let response = http::call(&vm.operator_addr, "GET", "/metrics", b"").ok()?;
    let text = String::from_utf8_lossy(&response.body).into_owned();
    let line = { text.lines() }.find(|line| line.starts_with(name))?;
    line.split(' ').next_back()?.parse().ok()
}

fn wait(what: &str, check: impl Fn() -> bool) -> io::Result<()> {
    let started = Instant::now();
    while !check() {
        if started.elapsed() > Duration::from_secs(20) {
            return Err(io::Error::other(format!("not ready in time: {what}")));
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

impl Site {
    /// Starts the store with `configuration`.
    pub fn start(directory: &Path, configuration: &str) -> io::Result<Self> {
        let store = free_address();
        let process = Process::start("store", standin(&["store", &store])?, directory)?;
        let site = Self {
            directory: directory.to_owned(),
            store,
            vms: Vec::new(),
            replicas: Vec::new(),
            _store: process,
        };
        wait("the store", || site.configure(configuration).is_ok())?;
        Ok(site)
    }

    /// Writes `configuration` as the operator does.
    pub fn configure(&self, configuration: &str) -> io::Result<()> {
        let target = "/standin/put?table=op&key=config";
        http::call(&self.store, "POST", target, configuration.as_bytes())?;
        Ok(())
    }

    /// Starts a replica with `options`, which follow its address.
    pub fn add_replica(
        &mut self,
        name: &str,
        service: &str,
        zone: &str,
        options: &[&str],
    ) -> io::Result<()> {
        let address = free_address();
        let mut arguments = vec!["replica", &address, name, service, zone, &self.store];
        arguments.extend(options);
        let process = Process::start(name, standin(&arguments)?, &self.directory)?;
        self.replicas.push(process);
        Ok(())
    }

    /// Starts an entry VM with the settings that `platform/settings.toml` renders.
    pub fn add_vm(&mut self, name: &str, zone: &str) -> io::Result<()> {
        let host = free_host();
        let address = |offset| format!("{host}:{}", PORT + offset);
        let (caller_addr, operator_addr) = (address(7), address(0));
        let settings = format!(
            "vm = \"{name}\"\nzone = \"{zone}\"\ncaller-addr = \"{caller_addr}\"\n\
             operator-addr = \"{operator_addr}\"\nmetrics-addr = \"{}\"\npeer-addr = \"{}\"\n\
             store-addr = \"{}\"\nstop-grace-s = 8.0\nsession-gap-s = 5\nretry-share = 0.9\n\
             retry-window-s = 10\nretry-slack = 52\nexposure-share = 0.15\nexposure-slack = 30\n\
             leave-ms = 2000\nmax-descriptors = 4100\ncore-share = 0.25\nlink-mbit = 1000.0\n\
             memory-mb = 110\nnew-site = true\n",
            address(2),
            address(3),
            self.store
        );
        let file = self.directory.join(format!("{name}.toml"));
        fs::write(&file, settings)?;
        let process = start_router(name, &file, &self.directory)?;
        self.vms.push(Vm {
            process,
            settings: file,
            caller_addr,
            operator_addr,
        });
        Ok(())
    }

    /// Starts the process of a VM again, with the settings in effect.
    pub fn restart_vm(&mut self, number: usize, name: &str) -> io::Result<()> {
        let vm = &mut self.vms[number];
        // The site starts for the first time only once.
        let settings = fs::read_to_string(&vm.settings)?;
        fs::write(
            &vm.settings,
            settings.replace("new-site = true", "new-site = false"),
        )?;
        vm.process = start_router(name, &vm.settings, &self.directory)?;
        Ok(())
    }

    /// Waits until all VMs are ready and know all replicas and each other.
    pub fn wait_until_ready(&self) -> io::Result<()> {
        let replicas = self.replicas.len();
        for vm in &self.vms {
            let metric = |name: &str| metric_of(vm, name);
            wait("the VMs", || {
                let ready = http::call(&vm.operator_addr, "GET", "/api/readyz", b"");
                ready.is_ok_and(|one| one.status() == 200)
                    && metric("cloverpost_upstreams") == Some(replicas)
                    && metric("cloverpost_fleet_vms") == Some(self.vms.len())
            })?;
        }
        Ok(())
    }

    /// Lines that the replicas have recorded, in order of time.
    pub fn replica_records(&self) -> Vec<String> {
        let read =
            |one: &Process| fs::read_to_string(self.directory.join(format!("{}.log", one.name)));
        let texts = self.replicas.iter().filter_map(|one| read(one).ok());
        let mut lines: Vec<_> = texts
            .flat_map(|text| text.lines().map(str::to_owned).collect::<Vec<_>>())
            .collect();
        lines.sort();
        lines
    }
}
