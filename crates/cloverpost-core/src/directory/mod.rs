//! Replicated view of the platform's store: configuration, upstreams and rollouts.
//!
//! The store keeps this state as rows in a few tables. An [`Image`] is one VM's copy of the
//! tables. It is updated from change feeds, full reads and peers; the newest version of a table
//! wins, whatever its source.
//!
//! The store may come back from a copy some seconds old: it then lacks what it acknowledged since,
//! and assigns the versions of those writes again, in a new [`Era`]. What the image knows of the
//! earlier era is compared with the copy table by table: rows that the copy lacks are kept against
//! the store's word until the store has them again.
//!
//! A [`View`] holds the indexes over one state of the image that the request path reads.

mod assembly;
mod chunk;
mod configuration;
pub mod encoded;
mod era;
mod evacuation;
mod exceptions;
pub mod fetch;
mod fleet;
mod image;
mod index;
mod kind;
mod limits;
mod member;
mod message;
mod organisation;
pub mod outline;
mod patch;
mod pending_request;
mod piece;
mod processes;
mod restore;
mod rollout;
mod route;
mod service;
mod size;
mod superseded;
mod table;
mod tombstones;
mod tunnel;
mod upstream;
mod version;
mod view;
pub mod watchers;

pub use assembly::Assembly;
pub use chunk::Chunk;
pub use configuration::Configuration;
pub use encoded::{Encoded, Encodings};
pub use era::Era;
pub use evacuation::Evacuation;
pub use exceptions::Exceptions;
pub use fetch::Fetch;
pub use fleet::{Fleet, ParseFleet};
pub use image::{Image, Page, Rows, Unreadable, Update, Versions};
pub use index::{Index, Sender, Unrouted};
pub use kind::Kind;
pub use limits::Limits;
pub use member::Member;
pub use message::{Message, TableKind};
pub use organisation::Organisation;
pub use outline::Outline;
pub use patch::Patch;
pub use pending_request::PendingRequest;
pub use piece::Piece;
pub use processes::Processes;
pub use rollout::{Order, Progress, State};
pub use route::{Destination, Route};
pub use service::{Model, Service};
pub use size::Size;
pub use superseded::Superseded;
pub use table::{Change, Row, Table};
pub use tombstones::Tombstones;
pub use tunnel::Tunnel;
pub use upstream::Upstream;
pub use version::Version;
pub use view::{Allowed, Pool, Rollout, View, base};
