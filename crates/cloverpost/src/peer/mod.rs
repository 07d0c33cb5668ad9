//! Peer-to-peer links between VMs.
//!
//! A link is one h2 connection over TCP. Each message is a separate request, so
//! every message can have a response and messages do not block each other. Links
//! are opened by the first message to a peer and closed when idle; a VM opens at
//! most [`Options::max_links`].
//!
//! # Authentication
//!
//! All VMs of a fleet share a key. The handshake is a mutual challenge-response
//! (see [`cloverpost_wire::hello`]): each tag is an HMAC-SHA-256 over the frame
//! version, both identities and both nonces, with a label for the direction.
//!
//! - Replay: a recorded handshake fails because the nonces differ. Every later
//!   frame carries a tag under a key derived from both nonces, over its direction
//!   and its h2 stream id. h2 never reuses a stream id, so a frame is valid once
//!   and only on its own link.
//! - Reflection: the labels differ, so a VM's own tag cannot be sent back to it.
//! - Downgrade: there is one frame version and no negotiation; the tags cover the
//!   version.
//! - Key rotation: a VM holds one or two keys, and two VMs can link if they share
//!   one. Add the new key to all VMs, then remove the old one.
//!
//! Links are not encrypted, and identities within the fleet are not verified: any
//! holder of the key can claim any VM name.
//!
//! # Failures
//!
//! Unauthenticated peers, other frame versions, malformed and oversize frames are
//! rejected and counted in [`Counters`]. Queues are bounded: a full gossip queue
//! drops its oldest message, every other call fails with an [`Error`] that shows
//! whether the message may have been received. Connecting to an unreachable peer
//! is retried with exponential backoff, and calls fail immediately meanwhile.
//!
//! Beside messages, links carry [`tunnel`]s.

mod accept;
mod auth;
mod backoff;
mod body;
mod connect;
mod counters;
mod counting_stream;
mod error;
mod faults;
mod inbound;
mod incoming;
mod key;
mod link;
mod links;
pub mod members;
mod options;
mod path;
mod shared;
mod target;
pub mod tunnel;

pub use counters::Counters;
pub use error::Error;
pub use faults::{Faults, Rule};
pub use incoming::{Inbox, Incoming, Reply};
pub use key::{Key, Keys};
pub use links::Links;
pub use options::Options;
pub use target::Target;
pub use tunnel::Tunnel;
