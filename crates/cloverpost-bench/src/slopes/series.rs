//! Measurements of one cost at several sizes.

use crate::slopes::{Fit, Quantity, Unit};

/// The cost at one size.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct Point {
    /// Number of units.
    pub size: f64,
    /// Cost of the units.
    pub cost: f64,
}

/// One cost at several sizes.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct Series {
    /// Unit that the cost belongs to.
    pub unit: Unit,
    /// Short description of the operation.
    pub what: &'static str,
    /// What the size counts, such as `members`.
    pub by: &'static str,
    /// Kind of cost.
    pub quantity: Quantity,
    /// The measurements.
    pub points: Vec<Point>,
    /// The line fitted to the points.
    pub fit: Option<Fit>,
}

impl Series {
    /// Creates a series and fits a line to `points`.
    #[must_use]
    pub fn new(
        unit: Unit,
        what: &'static str,
        by: &'static str,
        quantity: Quantity,
        points: Vec<Point>,
    ) -> Self {
        let fit = Fit::of(&points);
        Self {
            unit,
            what,
            by,
            quantity,
            points,
            fit,
        }
    }
}
