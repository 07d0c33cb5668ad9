//! Clients that send requests at an even rate, and what they got.

use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, Answer, Request};

/// A request, the VM that took it, and its answer.
pub type Exchange = (Request, usize, Answer);

/// Sends `rate` requests a second for `span`, at uneven intervals and to each of `addresses` in turn, and
/// waits for the answers.
pub fn play(
    addresses: &[String],
    rate: u32,
    span: Duration,
    make: impl Fn(usize) -> Request,
) -> Vec<Exchange> {
    let exchanges = Arc::new(Mutex::new(Vec::new()));
    let started = Instant::now();
    let mut clients = Vec::new();
    let interval = Duration::from_secs(1) / rate;
    for number in 0_u32.. {
        // At any moment of its interval.
        let unevenness = number.wrapping_mul(2_654_435_761) % 1000;
        let at = interval * number + interval * unevenness / 1000;
        if at >= span {
            break;
        }
        thread::sleep(at.saturating_sub(started.elapsed()));
        let number = number as usize;
        let vm = number % addresses.len();
        let (request, address, exchanges) =
            (make(number), addresses[vm].clone(), exchanges.clone());
        clients.push(thread::spawn(move || {
            let answer = client::send(&address, &request);
            let mut exchanges = exchanges.lock().unwrap_or_else(PoisonError::into_inner);
            exchanges.push((request, vm, answer));
        }));
    }
    for client in clients {
        client.join().expect("a client does not panic");
    }
    let mut exchanges = exchanges.lock().unwrap_or_else(PoisonError::into_inner);
    let mut exchanges = std::mem::take(&mut *exchanges);
    exchanges.sort_by_key(|(_, _, answer)| answer.sent_ms);
    exchanges
}
