//! A measured figure.

/// A named value.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct Figure {
    /// Name, with the unit as a suffix.
    pub name: &'static str,
    /// Value in the unit of the name.
    pub value: f64,
}

impl Figure {
    /// Creates a figure.
    #[must_use]
    pub const fn new(name: &'static str, value: f64) -> Self {
        Self { name, value }
    }
}
