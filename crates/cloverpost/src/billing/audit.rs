//! Counts the bills in the store.

use cloverpost_core::billing;
use cloverpost_platform::table;

use crate::billing::store::{self, Store};

/// Counts the bills of each request in `table`. Reads every segment; meant for tests
/// and the demo.
pub async fn audit<T: table::Table>(table: &T) -> Result<billing::Audit, store::Error> {
    let store = Store::new(table.clone());
    let mut audit = billing::Audit::default();
    for owner in store.owners().await? {
        let Ok(vm) = owner.parse() else {
            continue;
        };
        let segments = store.segments(&vm).await?;
        audit.add_account(&segments);
    }
    Ok(audit)
}
