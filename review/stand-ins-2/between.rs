//! Relays between machines, of which connections go silent as a machine gets a large message.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;

/// Largest part of a message that is passed on at once.
const BUFFER_BYTES: usize = 64 * 1024;
/// Size of a part of a message that counts as large.
const LARGE_BYTES: usize = 8 * 1024;

/// The relays of all machines.
#[derive(Clone)]
pub struct Group(Arc<State>);

struct State {
    /// Name of the machine whose large message ends its connection.
    victim: String,
    is_armed: AtomicBool,
    next: AtomicU64,
    /// Numbers of the silent connections.
    silent: Mutex<Vec<u64>>,
}

impl Group {
    /// Creates a group without relays.
    pub fn new(victim: &str) -> Self {
        Self(Arc::new(State {
            victim: victim.to_owned(),
            is_armed: AtomicBool::new(false),
            next: AtomicU64::new(0),
            silent: Mutex::default(),
        }))
    }

    /// Starts a relay on a free port of `ip` to the machine at `target`.
    pub fn relay(&self, ip: &str, target: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let group = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                // The machine may not listen any more.
                let Ok(onward) = TcpStream::connect(target) else {
                    continue;
                };
                let number = group.0.next.fetch_add(1, Ordering::SeqCst);
                let is_victim = Arc::<AtomicBool>::default();
                let ways = [
                    (stream.try_clone(), onward.try_clone(), true),
                    (onward.try_clone(), stream.try_clone(), false),
                ];
                for (from, to, is_request) in ways {
                    let (Ok(from), Ok(to)) = (from, to) else {
                        continue;
                    };
                    let (group, is_victim) = (group.clone(), is_victim.clone());
                    thread::spawn(move || group.pass_on(from, to, number, is_request, &is_victim));
                }
            }
        });
        Ok(address)
    }

    /// Lets the connection go silent that has the next large message to the victim.
    pub fn arm(&self) {
        self.0.is_armed.store(true, Ordering::SeqCst);
    }

    /// Undoes the effect of `arm`, if no large message has come since.
    pub fn disarm(&self) {
        self.0.is_armed.store(false, Ordering::SeqCst);
    }

    /// Number of connections that have gone silent.
    pub fn count_silent(&self) -> usize {
        lock(&self.0.silent).len()
    }

    fn pass_on(
        &self,
        mut from: TcpStream,
        mut to: TcpStream,
        number: u64,
        is_request: bool,
        is_victim: &AtomicBool,
    ) {
        let state = &self.0;
        let is_silent = || lock(&state.silent).contains(&number);
        let _ = to.set_nodelay(true);
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(count) = from.read(&mut buffer) {
            if count == 0 {
                break;
            }
            let part = &buffer[..count];
            // A machine names itself as it opens a connection.
            if is_request
                && part
                    .windows(state.victim.len())
                    .any(|one| one == state.victim.as_bytes())
            {
                is_victim.store(true, Ordering::SeqCst);
            }
            let is_large = !is_request && count >= LARGE_BYTES && is_victim.load(Ordering::SeqCst);
            if is_large && state.is_armed.swap(false, Ordering::SeqCst) {
                lock(&state.silent).push(number);
            }
            if !is_silent() && to.write_all(part).is_err() {
                break;
            }
        }
        if !is_silent() {
            let _ = to.shutdown(Shutdown::Write);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
