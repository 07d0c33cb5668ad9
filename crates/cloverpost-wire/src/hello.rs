//! Handshake that opens and authenticates a link.
//!
//! The initiator sends [`Hello`], receives [`Challenge`] and replies with [`Proof`]. The tags of
//! both sides cover both nonces and both identities, which prevents replay on another link.

use std::net::SocketAddr;

use cloverpost_core::id;

/// Length of a nonce, in bytes.
pub const NONCE_LEN: usize = 32;
/// Length of an authentication tag, in bytes.
pub const TAG_LEN: usize = 32;

/// A random value, unique to one link.
pub type Nonce = [u8; NONCE_LEN];
/// An HMAC-SHA-256 authentication tag.
pub type Tag = [u8; TAG_LEN];

/// Identity of one end of a link.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Identity {
    /// VM name.
    pub vm: id::Vm,
    /// Availability zone of the VM.
    pub zone: id::AvailabilityZone,
    /// Address on which the VM accepts links.
    pub address: SocketAddr,
}

/// A handshake message.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// First message, sent by the initiator.
    Hello(Hello),
    /// Second message, sent by the responder.
    Challenge(Challenge),
    /// Third message, sent by the initiator.
    Proof(Proof),
}

/// Introduces the initiator.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Hello {
    /// Identity of the initiator.
    pub identity: Identity,
    /// Nonce of the initiator.
    pub nonce: Nonce,
}

/// Introduces the responder and authenticates it with each of its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Challenge {
    /// Identity of the responder.
    pub identity: Identity,
    /// Nonce of the responder.
    pub nonce: Nonce,
    /// One tag per key, at most two.
    pub tags: Vec<Tag>,
}

/// Authenticates the initiator with the key that verified the challenge.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Proof {
    /// Tag of the initiator.
    pub tag: Tag,
}
