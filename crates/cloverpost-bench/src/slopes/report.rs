//! The report of the slopes benchmark.

use std::fmt;

use crate::slopes::{Estimate, Gap, Load, Quantity, Series, Unit};

/// Width of a numeric column.
const NUMBER_WIDTH: usize = 11;
/// Width of the column `unit`.
const UNIT_WIDTH: usize = 12;
/// Width of the column `what`.
const WHAT_WIDTH: usize = 46;
/// Width of the column `per`.
const PER_WIDTH: usize = 14;
/// Width of the column `cost`.
const COST_WIDTH: usize = 14;

/// Control-plane cost of a VM per unit; displayed as a table.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct Report {
    /// Whether the run was quick.
    pub quick: bool,
    /// Load average at the start.
    pub load_before: Load,
    /// Load average at the end.
    pub load_after: Load,
    /// Measured costs.
    pub series: Vec<Series>,
    /// Costs that were not measured.
    pub gaps: Vec<Gap>,
}

impl Report {
    /// Returns the report as JSON.
    pub fn to_json(&self) -> Result<String, serde_json::Error> {
        serde_json::to_string_pretty(self)
    }

    /// Returns the first series of `quantity` for `unit`.
    #[must_use]
    pub fn find(&self, unit: Unit, quantity: Quantity) -> Option<&Series> {
        let matches = |series: &&Series| series.unit == unit && series.quantity == quantity;
        self.series.iter().find(matches)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (before, after) = (&self.load_before, &self.load_after);
        writeln!(f, "load average {before} at the start, {after} at the end")?;
        writeln!(
            f,
            "slope and base with their standard errors, least squares"
        )?;
        writeln!(
            f,
            "{:UNIT_WIDTH$} {:WHAT_WIDTH$} {:PER_WIDTH$} {:COST_WIDTH$} {:>NUMBER_WIDTH$} {:>NUMBER_WIDTH$} \
             {:>NUMBER_WIDTH$} {:>NUMBER_WIDTH$}  sizes",
            "unit", "what", "per", "cost", "slope", "+-", "base", "+-",
        )?;
        for series in &self.series {
            write_row(f, series)?;
        }
        for gap in &self.gaps {
            writeln!(f, "not measured: {gap}")?;
        }
        Ok(())
    }
}

fn write_row(f: &mut fmt::Formatter<'_>, series: &Series) -> fmt::Result {
    write!(
        f,
        "{:UNIT_WIDTH$} {:WHAT_WIDTH$} {:PER_WIDTH$} {:COST_WIDTH$}",
        series.unit, series.what, series.by, series.quantity
    )?;
    match &series.fit {
        Some(fit) => {
            write_estimate(f, fit.slope)?;
            write_estimate(f, fit.base)?;
        }
        None => write!(f, " no line")?,
    }
    let sizes: Vec<_> = series.points.iter().map(|p| p.size.to_string()).collect();
    writeln!(f, "  {}", sizes.join(","))
}

fn write_estimate(f: &mut fmt::Formatter<'_>, estimate: Estimate) -> fmt::Result {
    let Estimate { value, error } = estimate;
    write!(f, " {value:NUMBER_WIDTH$.3} {error:NUMBER_WIDTH$.3}")
}
