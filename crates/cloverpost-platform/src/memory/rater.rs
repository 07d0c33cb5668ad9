//! In-memory rating service.

use std::collections;
use std::sync::{Arc, Mutex};

use cloverpost_core::id;

use crate::fault;
use crate::memory::{Faults, connection, lock};
use crate::rating::{self, Verdict};

/// Answers that contain this text are rated [`Verdict::Fail`].
pub const FAIL_MARKER: &str = "[[wrong]]";

/// An in-memory rating service. Returns the scripted verdicts first, then rates by [`FAIL_MARKER`].
#[derive(Clone, Debug, Default)]
pub struct Rater {
    script: Arc<Mutex<collections::VecDeque<Verdict>>>,
    connection: connection::Connection,
}

impl Rater {
    /// Creates a rating service without scripted verdicts.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends verdicts to return for the next answers.
    pub fn script(&self, verdicts: impl IntoIterator<Item = Verdict>) {
        lock::lock(&self.script).extend(verdicts);
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

impl rating::Rater for Rater {
    async fn rate(&self, _: &id::Class, _: &str, answer: &str) -> Result<Verdict, fault::Fault> {
        self.connection
            .read(|| {
                let scripted = lock::lock(&self.script).pop_front();
                scripted.unwrap_or_else(|| by_marker(answer))
            })
            .await
    }
}

fn by_marker(answer: &str) -> Verdict {
    if answer.contains(FAIL_MARKER) {
        Verdict::Fail
    } else {
        Verdict::Pass
    }
}
