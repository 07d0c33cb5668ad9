//! Set-up of structured logs.

mod explain;
