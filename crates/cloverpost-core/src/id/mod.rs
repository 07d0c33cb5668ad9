//! Typed identifiers.
//!
//! Text identifiers have 1 to 64 characters from `a-z A-Z 0-9 . _ -`, which makes them
//! safe in paths, headers, metric labels and table keys.

mod availability_zone;
mod class;
mod edit;
mod entry;
mod epoch;
mod fence;
mod handle;
mod model;
mod operator;
mod organisation;
mod pool;
mod process;
mod region;
mod request;
mod revision;
mod run;
mod session;
pub(crate) mod text;
mod upstream;
mod version;
mod vm;

pub use availability_zone::AvailabilityZone;
pub use class::Class;
pub use edit::Edit;
pub use entry::Entry;
pub use epoch::Epoch;
pub use fence::Fence;
pub use handle::Handle;
pub use model::Model;
pub use operator::Operator;
pub use organisation::Organisation;
pub use pool::Pool;
pub use process::Process;
pub use region::Region;
pub use request::Request;
pub use revision::Revision;
pub use run::Run;
pub use session::Session;
pub use text::Error;
pub use upstream::Upstream;
pub use version::Version;
pub use vm::Vm;
