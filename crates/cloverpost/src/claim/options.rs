//! Limits of the claims of one VM.

use std::time::Duration;

/// Limits of the claims of one VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Timeout of a call to the table or object store.
    pub call_timeout: Duration,
    /// How long taking a claim is retried while the table fails, and the maximum wait
    /// for a claim to be released or completed.
    pub timeout: Duration,
    /// Maximum wait for open claims at a graceful shutdown.
    pub close_timeout: Duration,
    /// Maximum number of claims that are granted or not settled yet.
    pub max_open: usize,
    /// Maximum size of answers that are not stored yet, in bytes.
    pub max_pending_bytes: usize,
    /// Maximum size of a body that is stored in the row, in bytes. Larger bodies are
    /// stored as objects.
    pub max_inline_bytes: usize,
    /// Maximum number of rows in a transaction; 1 disables grouping.
    pub max_batch_rows: usize,
    /// Minimum time between the starts of two transactions, unless one is full.
    pub interval: Duration,
    /// Maximum number of concurrent transactions.
    pub max_transactions_in_flight: usize,
    /// Retention period of a settled claim.
    pub retention: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            call_timeout: Duration::from_secs(1),
            timeout: Duration::from_secs(2),
            close_timeout: Duration::from_secs(20),
            max_open: 4096,
            max_pending_bytes: 32 << 20,
            max_inline_bytes: 16 << 10,
            max_batch_rows: 99,
            interval: Duration::from_millis(20),
            max_transactions_in_flight: 2,
            retention: Duration::from_hours(24),
        }
    }
}
