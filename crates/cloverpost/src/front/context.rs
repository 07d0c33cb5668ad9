//! Context of request handlers.

use cloverpost_platform::Platform;

use crate::claim;
use crate::front::State;
use crate::snapshot;

/// Claims of a VM, stored on its platform.
pub type Claims<P> =
    claim::Claims<<P as Platform>::Table, <P as Platform>::Objects, snapshot::Shared>;

/// Shared state and the components that depend on the platform.
pub struct Context<P: Platform> {
    /// Shared state.
    pub state: State,
    /// Claims of idempotency keys.
    pub claims: Claims<P>,
}

impl<P: Platform> Clone for Context<P> {
    fn clone(&self) -> Self {
        Self {
            state: self.state.clone(),
            claims: self.claims.clone(),
        }
    }
}
