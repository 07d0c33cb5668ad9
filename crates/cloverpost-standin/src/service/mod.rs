//! Stand-in for an HTTP service that accepts bookings and orders.
//!
//! It does not deduplicate requests: each `POST` creates a booking, so that retries are visible in
//! the journal.

mod booking;
mod options;
mod routes;
mod server;

pub use booking::Booking;
pub use options::Options;
pub use server::Server;
