//! A relay in front of the store whose open connections can go silent.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

/// Largest part of a message that is passed on at once.
const BUFFER_BYTES: usize = 16 * 1024;

/// A relay of connections to one address.
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    /// Connections with a lower number are silent.
    silent_below: Arc<AtomicU64>,
    next: Arc<AtomicU64>,
}

impl Relay {
    /// Starts a relay on a free port of `ip` to `target`.
    pub fn start(ip: &str, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let relay = Self {
            address: listener.local_addr()?,
            silent_below: Arc::default(),
            next: Arc::default(),
        };
        let (silent_below, next) = (relay.silent_below.clone(), relay.next.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let Ok(onward) = TcpStream::connect(target) else {
                    continue;
                };
                let number = next.fetch_add(1, Ordering::Relaxed);
                let ways = [
                    (stream.try_clone(), onward.try_clone()),
                    (onward.try_clone(), stream.try_clone()),
                ];
                for way in ways {
                    let (Ok(from), Ok(to)) = way else { continue };
                    let silent_below = silent_below.clone();
                    thread::spawn(move || pass_on(from, to, number, &silent_below));
                }
            }
        });
        Ok(relay)
    }

    /// Lets the connections that are open now go silent for good. New ones work.
    pub fn silence(&self) {
        let next = self.next.load(Ordering::Relaxed);
        self.silent_below.store(next, Ordering::Relaxed);
    }
}

/// Passes bytes on until the connection ends; drops them while it is silent.
fn pass_on(mut from: TcpStream, mut to: TcpStream, number: u64, silent_below: &AtomicU64) {
    let is_silent = || number < silent_below.load(Ordering::Relaxed);
    let _ = to.set_nodelay(true);
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(count) = from.read(&mut buffer) {
        if count == 0 || (!is_silent() && to.write_all(&buffer[..count]).is_err()) {
            break;
        }
    }
    if !is_silent() {
        let _ = to.shutdown(Shutdown::Write);
    }
}
