//! State of a VM.

/// State of a VM. Of two records with the same incarnation, the greater state wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum State {
    /// It answers pings.
    Alive,
    /// It is in a planned stop and accepts no new work, but still answers.
    Leaving,
    /// It did not answer pings and may still refute the suspicion.
    Suspect,
    /// It did not refute a suspicion in time.
    Dead,
    /// It completed a planned stop.
    Left,
}

impl State {
    /// Whether the VM may still be running.
    #[must_use]
    pub const fn is_present(self) -> bool {
        matches!(self, Self::Alive | Self::Leaving | Self::Suspect)
    }
}
