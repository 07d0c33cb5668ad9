//! Bookings and orders.

/// A booking or an order.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Booking {
    /// Sequence number, starting at 1.
    pub id: usize,
    /// ID of the request that created the booking.
    pub request: Option<String>,
    /// Body of that request.
    pub details: serde_json::Value,
}
