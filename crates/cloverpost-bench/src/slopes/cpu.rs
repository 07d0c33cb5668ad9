//! CPU time of a thread.

use std::fmt;
use std::fs::File;
use std::os::unix::fs::FileExt;
use std::thread;

/// Scheduler statistics of the calling thread. The first field is its CPU time in nanoseconds.
const SCHEDSTAT: &str = "/proc/thread-self/schedstat";

/// Maximum length of the file.
const MAX_LEN: usize = 96;

/// Reads the CPU time of the thread that opened it.
#[derive(Debug)]
pub struct Clock(File);

/// The CPU time of the thread could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    reason: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cannot read CPU time from {SCHEDSTAT}: {}", self.reason)
    }
}

impl std::error::Error for Error {}

impl Clock {
    /// Opens the clock of the calling thread.
    pub fn open() -> Result<Self, Error> {
        let file = File::open(SCHEDSTAT).map_err(|error| Error {
            reason: error.to_string(),
        })?;
        let clock = Self(file);
        clock.read()?;
        Ok(clock)
    }

    /// Returns the CPU time of the thread in nanoseconds.
    ///
    /// The kernel updates the value at ticks and when the thread yields. Without the yield it
    /// may be milliseconds old.
    ///
    /// # Panics
    ///
    /// Panics if the CPU time can no longer be read.
    pub fn nanos(&self) -> u64 {
        thread::yield_now();
        self.read().expect("CPU time should still be readable")
    }

    fn read(&self) -> Result<u64, Error> {
        let mut buffer = [0; MAX_LEN];
        let len = self.0.read_at(&mut buffer, 0).map_err(|error| Error {
            reason: error.to_string(),
        })?;
        let text = String::from_utf8_lossy(&buffer[..len]);
        let first = text.split_whitespace().next();
        first
            .and_then(|digits| digits.parse().ok())
            .ok_or_else(|| Error {
                reason: "first field is not a number".to_owned(),
            })
    }
}
