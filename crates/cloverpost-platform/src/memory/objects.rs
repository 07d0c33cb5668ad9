//! In-memory object store.

use std::collections;
use std::sync::{Arc, Mutex};

use bytes::Bytes;

use crate::memory::{Faults, connection, lock};
use crate::{fault, objects};

/// An in-memory object store.
#[derive(Clone, Debug, Default)]
pub struct Objects {
    bodies: Arc<Mutex<collections::BTreeMap<String, Bytes>>>,
    connection: connection::Connection,
}

impl Objects {
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the view of the client `name`.
    #[must_use]
    pub fn client(&self, name: &str) -> Self {
        Self {
            connection: self.connection.client(name),
            ..self.clone()
        }
    }

    /// Returns the faults of this view.
    #[must_use]
    pub fn faults(&self) -> &Faults {
        self.connection.faults()
    }
}

impl objects::Objects for Objects {
    async fn get(&self, name: &str) -> Result<Option<Bytes>, fault::Fault> {
        objects::validate_name(name)?;
        self.connection
            .read(|| lock::lock(&self.bodies).get(name).cloned())
            .await
    }

    async fn create(&self, name: &str, body: Bytes) -> Result<bool, fault::Fault> {
        objects::validate_name(name)?;
        let bodies = Arc::clone(&self.bodies);
        let name = name.to_owned();
        self.connection
            .write(move || insert(&mut lock::lock(&bodies), name, body))
            .await
    }
}

/// Inserts `body` unless `name` exists. Returns whether it was inserted.
fn insert(bodies: &mut collections::BTreeMap<String, Bytes>, name: String, body: Bytes) -> bool {
    match bodies.entry(name) {
        collections::btree_map::Entry::Vacant(vacant) => {
            vacant.insert(body);
            true
        }
        collections::btree_map::Entry::Occupied(_) => false,
    }
}
