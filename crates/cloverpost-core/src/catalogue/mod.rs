//! The catalogue: permissions, prices and limits of models and services.
//!
//! Operators write it as TOML. [`parse`] returns either a [`Catalogue`] or all
//! validation errors at once. A `Catalogue` is always consistent, so the request path
//! need not handle dangling references.

mod access;
mod class;
mod entry;
mod fencing;
mod key_hash;
mod kind;
mod locate;
mod organisation;
pub mod parse;
mod service;
mod spare;
mod state;
mod upstream;
pub mod withdraw;

pub use class::Class;
pub use entry::Entry;
pub use fencing::Fencing;
pub use key_hash::KeyHash;
pub use kind::Kind;
pub use organisation::Organisation;
pub use service::Service;
pub use spare::Spare;
pub use state::State;
pub use upstream::Upstream;

use std::collections::{BTreeMap, HashMap};

use crate::id;

/// A validated catalogue, in which all references resolve.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalogue {
    classes: BTreeMap<id::Class, Class>,
    entries: BTreeMap<id::Entry, Entry>,
    organisations: BTreeMap<id::Organisation, Organisation>,
    pools: BTreeMap<id::Pool, Upstream>,
    organisation_by_key: HashMap<KeyHash, id::Organisation>,
}
