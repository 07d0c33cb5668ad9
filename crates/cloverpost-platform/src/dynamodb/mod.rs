//! Messages of the table protocol.
//!
//! A subset of the `DynamoDB` JSON interface of 2012-08-10: `GetItem`, `Query` and
//! `TransactWriteItems`, with consistent reads and two condition expressions. An item has the
//! attributes `pk` (S), `sk` (S), `version` (N) and `value` (B). Each write of an item is an `Update`
//! that adds 1 to `version`, so versions increase strictly also for unconditional writes.

mod attribute;
mod error_response;
mod get;
mod item;
mod operation;
mod query;
mod transact;
mod values;

pub use attribute::{Attribute, TypeMismatch};
pub use error_response::{CancellationReason, ErrorResponse};
pub use get::{GetItem, GetItemOutput};
pub use item::{Item, Key};
pub use operation::Operation;
pub use query::{Query, QueryOutput};
pub use transact::{Delete, TransactItem, TransactWriteItems, Update};
pub use values::{Names, Values};

/// Content type of requests and responses.
pub const CONTENT_TYPE: &str = "application/x-amz-json-1.0";

/// Header that names the operation.
pub const TARGET_HEADER: &str = "x-amz-target";

/// Maximum size of the items in a query response, in bytes.
pub const MAX_PAGE_BYTES: usize = 1024 * 1024;

/// Condition that the item does not exist.
pub const IF_ABSENT: &str = "attribute_not_exists(pk)";

/// Condition that the item has a given version.
pub const IF_VERSION: &str = "version = :v";

/// Key condition of all queries.
pub const KEY_CONDITION: &str = "pk = :pk";

/// Update expression of all writes. `value` is a reserved word and therefore aliased.
pub const SET_VALUE: &str = "SET #value = :value ADD version :one";
