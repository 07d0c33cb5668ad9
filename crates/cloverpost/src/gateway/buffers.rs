//! Memory for large bodies and events that wait in this VM.
//!
//! An upstream may send megabytes at once and a caller may not read them. Each response may buffer
//! [`UNRESERVED_BYTES`]. What needs more reserves all that it may need first, and waits while others
//! hold the memory. Since nothing holds a part of what it needs, no two wait for each other.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes that each response may buffer without a reservation.
pub const UNRESERVED_BYTES: usize = 16 * 1024;
/// Bytes that all reservations may have together: two of the largest responses, a fifth of the
/// memory of the smallest VMs.
const TOTAL_BYTES: usize = 16 * 1024 * 1024;
/// Unit of reservations.
const UNIT_BYTES: usize = 1024;

/// Memory that responses may reserve.
#[derive(Clone, Debug)]
pub struct Buffers(Arc<Semaphore>);

impl Default for Buffers {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(TOTAL_BYTES / UNIT_BYTES)))
    }
}

impl Buffers {
    /// Waits until `bytes` are free, in order of the calls, and reserves them. More than there are
    /// in all count as all.
    pub async fn reserve(&self, bytes: usize) -> Reservation {
        let units = units(bytes.min(TOTAL_BYTES));
        let permit = self.0.clone().acquire_many_owned(units).await;
        Reservation(permit.ok())
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
