//! All messages.

use cloverpost_core::{
    balance, billing, directory, evidence, exposure, membership, poison, rollout, spread,
};

use crate::hello;

/// A message between two VMs; variants are grouped by job.
///
/// New variants go to the end: a variant's position is its number on the wire.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// Opens and authenticates a link.
    Hello(hello::Message),
    /// Heartbeats and news of VMs.
    Membership(membership::Message),
    /// Spread and confirmation of the catalogue.
    Spread(spread::Message),
    /// Copies of usage records.
    Billing(billing::Message),
    /// What is known of requests that crash upstreams.
    Poison(Vec<poison::Fact>),
    /// Counts of ratings.
    Evidence(evidence::Digest),
    /// Versions that were found bad.
    Halts(Vec<rollout::Halt>),
    /// The store's tables.
    Directory(directory::Message),
    /// Evidence and sessions of roll-outs.
    Exposure(exposure::Message),
    /// Loads of upstreams.
    Balance(balance::Message),
}
