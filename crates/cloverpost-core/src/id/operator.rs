//! Operators.

crate::id::text::text_id! {
    /// Name of an operator, as recorded in the audit trail.
    Operator
}
