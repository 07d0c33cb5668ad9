//! Linear least-squares fits.

use crate::slopes::Point;

/// Number of parameters of a straight line.
const PARAMETERS: f64 = 2.0;

/// An estimate and its standard error, in the same unit.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct Estimate {
    /// Estimated value.
    pub value: f64,
    /// Standard error.
    pub error: f64,
}

/// A straight line fitted by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct Fit {
    /// Cost per unit.
    pub slope: Estimate,
    /// Intercept: cost at size 0.
    pub base: Estimate,
}

impl Fit {
    /// Fits a line to `points`. Returns `None` for fewer than three points or if all have the
    /// same size, because the standard errors are then undefined.
    #[must_use]
    pub fn of(points: &[Point]) -> Option<Self> {
        #[allow(clippy::cast_precision_loss)] // the number of points is small
        let count = points.len() as f64;
        if count <= PARAMETERS {
            return None;
        }
        let mean = |value: fn(&Point) -> f64| points.iter().map(value).sum::<f64>() / count;
        let (mean_size, mean_cost) = (mean(|point| point.size), mean(|point| point.cost));
        let size_variation: f64 = points.iter().map(|p| (p.size - mean_size).powi(2)).sum();
        if size_variation == 0.0 {
            return None;
        }
        let covariation = |p: &Point| (p.size - mean_size) * (p.cost - mean_cost);
        let slope = points.iter().map(covariation).sum::<f64>() / size_variation;
        let base = mean_cost - slope * mean_size;
        let residual = |p: &Point| (p.cost - base - slope * p.size).powi(2);
        let variance = points.iter().map(residual).sum::<f64>() / (count - PARAMETERS);
        let base_variance = variance * (1.0 / count + mean_size.powi(2) / size_variation);
        Some(Self {
            slope: Estimate {
                value: slope,
                error: (variance / size_variation).sqrt(),
            },
            base: Estimate {
                value: base,
                error: base_variance.sqrt(),
            },
        })
    }

    /// Returns the fitted cost of `size` units.
    #[must_use]
    pub fn at(&self, size: f64) -> f64 {
        self.base.value + self.slope.value * size
    }
}
