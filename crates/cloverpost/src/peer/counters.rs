//! Counters of link activity.

use std::sync::atomic::{AtomicU64, Ordering};

/// Defines the counters together with [`Counters::values`], which exports them as
/// metrics under their field names.
macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Counters since the links were bound.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Counter,)*
        }

        impl Counters {
            /// Name and value of every counter.
            #[must_use]
            pub fn values(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name.get()),)*]
            }
        }
    };
}

counters! {
    /// Messages acknowledged by peers.
    sent,
    /// Messages received from peers.
    received,
    /// Bytes written to sockets.
    bytes_sent,
    /// Bytes read from sockets.
    bytes_received,
    /// Outbound links opened.
    opened,
    /// Inbound links authenticated.
    accepted,
    /// Failed attempts to open a link.
    failed,
    /// Links closed because they were idle.
    idled,
    /// Gossip messages dropped because the queue was full.
    dropped_oldest,
    /// Gossip messages that could not be delivered.
    lost,
    /// Calls rejected because too many were in flight.
    refused_full,
    /// Messages that timed out.
    timed_out,
    /// Connections that failed authentication.
    refused_stranger,
    /// Frames of an unsupported version.
    refused_version,
    /// Malformed frames.
    refused_garbled,
    /// Frames over the size limit.
    refused_oversize,
    /// Frames with an invalid tag.
    refused_tag,
    /// Messages rejected because the inbox was full.
    refused_busy,
    /// Requests received that got no response in time.
    unanswered,
    /// Connections rejected because too many were open.
    refused_crowd,
    /// Connection attempts that reached a different VM.
    wrong_vm,
}

/// A monotonic counter.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Current value.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    pub fn increment(&self) {
        self.add(1);
    }

    pub fn add(&self, amount: u64) {
        self.0.fetch_add(amount, Ordering::Relaxed);
    }
}
