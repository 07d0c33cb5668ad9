//! Billing accounts, one for each VM.

use crate::billing::{Error, Number};
use crate::id;

/// Who may append to an account without reading it first.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum State {
    /// The VM that owns it.
    Open,
    /// No VM: a holder considered the owner dead and billed its copies. If the
    /// owner is alive, it must read those segments before it reopens the account.
    Closed {
        /// The holder that closed it.
        by: id::Vm,
    },
}

/// Head of a VM's segments. Every append rewrites it, conditionally on its row
/// version.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Account {
    /// Number of the next segment.
    pub next: Number,
    /// Increases with each change of `state`.
    pub fence: id::Fence,
    /// Who may append.
    pub state: State,
}

impl Account {
    /// Creates an account without segments.
    #[must_use]
    pub fn empty() -> Self {
        Self {
            next: Number::default(),
            fence: id::Fence::default(),
            state: State::Open,
        }
    }

    /// Returns the account of `owner` after `actor` appends one segment.
    #[must_use]
    pub fn appended(&self, owner: &id::Vm, actor: &id::Vm) -> Self {
        let state = if owner == actor {
            State::Open
        } else {
            State::Closed { by: actor.clone() }
        };
        let fence = if state == self.state {
            self.fence
        } else {
            self.fence.next()
        };
        Self {
            next: self.next.next(),
            fence,
            state,
        }
    }

    /// Encodes the account for the store.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let config = bincode::config::standard();
        bincode::serde::encode_to_vec(self, config).map_err(|error| Error::new(&error))
    }

    /// Decodes an account from the store.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let config = bincode::config::standard();
        let (account, _) =
            bincode::serde::decode_from_slice(bytes, config).map_err(|error| Error::new(&error))?;
        Ok(account)
    }
}
