//! Usage records, numbered segments and the takeover of a dead VM's billing.
//!
//! A request produces one [`Record`]. Its VM keeps it in [`Pending`] until it is
//! stored in a numbered [`Segment`] of the VM's [`Account`]. The transaction that
//! inserts a segment also writes the account, conditionally on its version, so the
//! writer has read every earlier segment: see [`ledger`].
//!
//! Until then, peers hold copies ([`copies`] sends them, [`holder`] stores them),
//! and the end of the answer is withheld from the caller until they do: see
//! [`Durability`]. When a VM dies, each holder appends the copies that are missing from
//! the VM's account. If holders conflict, the version of the account lets one
//! succeed; the others read its segment and omit the records in it.

mod account;
pub mod audit;
mod charge;
pub mod copies;
mod durability;
pub mod holder;
mod kind;
pub mod ledger;
pub mod machine;
mod mark;
mod message;
mod number;
mod options;
mod pending;
mod record;
mod segment;
mod source;
mod waiting;

pub use account::{Account, State};
pub use audit::Audit;
pub use charge::Charge;
pub use copies::Copies;
pub use durability::Durability;
pub use holder::Holder;
pub use kind::Kind;
pub use ledger::Ledger;
pub use machine::Machine;
pub use mark::Watermark;
pub use message::{Copied, Copy, Forget, Message};
pub use number::{Number, Run, Sequence, Stream};
pub use options::Options;
pub use pending::Pending;
pub use record::Record;
pub use segment::{Error, Segment};
pub use source::Source;
pub use waiting::Waiting;
