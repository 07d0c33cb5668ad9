//! Processes of the router, and signals to processes that the case started.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::between::Group;

/// The program, as the deploy file builds it.
const PROGRAM: &str = "target/release/cloverpost";
/// Time in which a process has to be ready.
const START_TIME: Duration = Duration::from_secs(10);

/// A process of the router.
pub struct Vm {
    /// Address for clients.
    pub callers: SocketAddr,
    /// Address of the readiness check.
    pub readiness: SocketAddr,
    child: Child,
}

impl Vm {
    /// Starts the VM `name` in `zone`, with its files in `folder`. Others reach it through a relay of
    /// `group`, if there is one.
    pub fn start(
        folder: &Path,
        name: &str,
        zone: &str,
        store: SocketAddr,
        group: Option<&Group>,
    ) -> io::Result<Self> {
        let [callers, readiness, metrics, peers] = free_addresses()?;
        let relay = match group {
            Some(group) => format!(
                "peer-advertised-addr = \"{}\"\n",
                group.relay("127.0.0.1", peers)?
            ),
            None => String::new(),
        };
        let settings = format!(
            "vm = \"{name}\"\nzone = \"{zone}\"\ncaller-addr = \"{callers}\"\noperator-addr = \"{readiness}\"\n\
             metrics-addr = \"{metrics}\"\npeer-addr = \"{peers}\"\nstore-addr = \"{store}\"\n\
             stop-grace-s = 8\nsession-gap-s = 5\nretry-share = 0.9\nretry-window-s = 10\nretry-slack = 58\n\
             exposure-share = 0.15\nexposure-slack = 30\nleave-ms = 2000\nmax-descriptors = 4100\n\
             core-share = 0.25\nlink-mbit = 1000.0\nmemory-mb = 260\nnew-site = true\n{relay}"
        );
        let file: PathBuf = folder.join(format!("{name}.toml"));
        fs::write(&file, settings)?;
        let log = File::create(folder.join(format!("{name}.log")))?;
        let child = Command::new(PROGRAM)
            .arg("gateway")
            .env("CLOVERPOST_CONFIG", &file)
            .env("CLOVERPOST_PEER_KEY", "change-this-key-before-use")
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self {
            callers,
            readiness,
            child,
        })
    }

    /// Waits until the VM is ready; returns whether it is.
    pub fn wait_until_ready(&self) -> bool {
        let end = Instant::now() + START_TIME;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Stops the process as planned, and waits for its end.
    pub fn stop(mut self) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").args(["-TERM", &pid]).status();
        let _ = self.child.wait();
    }

    fn is_ready(&self) -> bool {
        let ask = || -> io::Result<String> {
            let mut stream = TcpStream::connect(self.readiness)?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(
                b"GET /api/readyz HTTP/1.1\r\nHost: vm.example\r\nConnection: close\r\n\r\n",
            )?;
            let mut text = String::new();
            stream.read_to_string(&mut text)?;
            Ok(text)
        };
        ask().is_ok_and(|text| text.starts_with("HTTP/1.1 200"))
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Loopback addresses with ports that are free now.
fn free_addresses<const N: usize>() -> io::Result<[SocketAddr; N]> {
    let mut listeners = Vec::new();
    let mut addresses = [SocketAddr::from(([127, 0, 0, 1], 0)); N];
    for address in &mut addresses {
        let listener = TcpListener::bind(*address)?;
        *address = listener.local_addr()?;
        listeners.push(listener);
    }
    Ok(addresses)
}
