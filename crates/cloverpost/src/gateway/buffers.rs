//! Memory for large bodies and events that wait in this VM.
//!
//! An upstream may send megabytes at once and a caller may not read them. Each response may buffer
//! [`UNRESERVED_BYTES`]. What needs more reserves all that it may need first, and waits while others
//! hold the memory. Since nothing holds a part of what it needs, no two wait for each other. Requests
//! have memory of their own, since a request holds its body while it waits for its response. Bodies that
//! are [offered](Offers) are given up before a request waits.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use prometheus::IntCounter;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::gateway::offers::{Offer, Offers};
use crate::gateway::retained::Retained;

/// Bytes that each response may buffer without a reservation.
pub const UNRESERVED_BYTES: usize = 16 * 1024;
/// Memory of two of the largest responses.
const DEFAULT_BYTES: u64 = 16 * 1024 * 1024;
/// Unit of reservations.
const UNIT_BYTES: usize = 1024;

/// Memory that may be reserved.
#[derive(Clone, Debug)]
pub struct Buffers {
    free: Arc<Semaphore>,
    units: u32,
    waiting: Arc<AtomicUsize>,
    offers: Option<Offers>,
}

impl Default for Buffers {
    /// Memory for two of the largest responses.
    fn default() -> Self {
        Self::new(DEFAULT_BYTES)
    }
}

impl Buffers {
    /// Creates `bytes` of free memory.
    #[must_use]
    pub fn new(bytes: u64) -> Self {
        let units = units(usize::try_from(bytes).unwrap_or(usize::MAX));
        Self {
            free: Arc::new(Semaphore::new(units as usize)),
            units,
            waiting: Arc::default(),
            offers: None,
        }
    }

    /// Creates `bytes` of free memory for bodies that may be offered; `given_up` counts those that are
    /// released for others.
    #[must_use]
    pub fn with_offers(bytes: u64, given_up: IntCounter) -> Self {
        Self {
            offers: Some(Offers::new(given_up)),
            ..Self::new(bytes)
        }
    }

    /// Offers the body `retained` of `request` until the result is dropped. It is released at once if a
    /// request waits for memory.
    #[must_use]
    pub fn offer(&self, request: &str, retained: &Retained) -> Option<Offer> {
        let offers = self.offers.as_ref()?;
        let offer = offers.add(request, retained.clone());
        if self.is_contended() {
            offers.release(1);
        }
        Some(offer)
    }

    /// Gives up offered bodies for a request that needs `bytes`.
    fn make_room(&self, bytes: usize) {
        let free = self.free.available_permits() * UNIT_BYTES;
        if let Some(offers) = &self.offers {
            offers.release(bytes.saturating_sub(free));
        }
    }

    /// Waits until `bytes` are free, in order of the calls, and reserves them. More than there are
    /// in all count as all.
    pub async fn reserve(&self, bytes: usize) -> Reservation {
        self.make_room(bytes);
        let _waiting = Waiting::new(&self.waiting);
        let units = units(bytes).min(self.units);
        let permit = self.free.clone().acquire_many_owned(units).await;
        Reservation(permit.ok())
    }

    /// Reserves `bytes` if they are free or can be made free.
    #[must_use]
    pub fn try_reserve(&self, bytes: usize) -> Option<Reservation> {
        self.make_room(bytes);
        let permit = self.free.clone().try_acquire_many_owned(units(bytes));
        permit.ok().map(|permit| Reservation(Some(permit)))
    }

    /// Memory that is reserved, in bytes.
    #[must_use]
    pub fn held(&self) -> u64 {
        let free = self.free.available_permits();
        ((self.units as usize).saturating_sub(free) * UNIT_BYTES) as u64
    }

    /// Whether a reservation waits for others.
    #[must_use]
    pub fn is_contended(&self) -> bool {
        self.waiting.load(Ordering::Relaxed) > 0
    }
}

/// Counts a reservation that waits until it is dropped.
struct Waiting<'a>(&'a AtomicUsize);

impl<'a> Waiting<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Reserved memory, which is free again when this is dropped.
#[derive(Debug)]
pub struct Reservation(Option<OwnedSemaphorePermit>);

impl Reservation {
    /// Frees what exceeds `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        if let Some(permit) = &mut self.0 {
            let excess = permit.num_permits().saturating_sub(units(bytes) as usize);
            drop(permit.split(excess));
        }
    }

    /// Holds the reservation for `bytes` until they are written or discarded.
    #[must_use]
    pub fn attach(mut self, bytes: impl AsRef<[u8]> + Send + 'static) -> Bytes {
        self.shrink_to(bytes.as_ref().len());
        Bytes::from_owner(Reserved {
            bytes,
            _reservation: self,
        })
    }
}

struct Reserved<T> {
    bytes: T,
    _reservation: Reservation,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for Reserved<T> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

fn units(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(UNIT_BYTES)).unwrap_or(u32::MAX)
}
