//! Availability zones.

crate::id::text::text_id! {
    /// Name of an availability zone, unique across regions.
    AvailabilityZone
}
