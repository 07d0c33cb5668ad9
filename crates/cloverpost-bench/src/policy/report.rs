//! Report of a simulation.

use std::fmt;

use crate::policy::{Figure, Policy, Scenario};

/// Width of a column of figures in the table.
const FIGURE_WIDTH: usize = 14;

/// Width of the column of policy names in the table.
const NAME_WIDTH: usize = 18;

/// The figures of each policy in one scenario with one seed.
///
/// `Display` formats them as a table.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct Report {
    /// The simulated scenario.
    pub scenario: Scenario,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Axis labels of the curves.
    pub axes: Axes,
    /// One row per policy.
    pub rows: Vec<Row>,
}

/// Axis labels of a plot, with units.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct Axes {
    /// Label of the horizontal axis.
    pub x: &'static str,
    /// Label of the vertical axis.
    pub y: &'static str,
}

/// The figures of one policy.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct Row {
    /// The policy that made the decisions.
    pub policy: Policy,
    /// Measured figures; every row of a report has the same names in the same order.
    pub figures: Vec<Figure>,
    /// Points of the plotted curve.
    pub curve: Vec<(f64, f64)>,
}

impl Row {
    /// The value of the figure called `name`, if there is one.
    #[must_use]
    pub fn value(&self, name: &str) -> Option<f64> {
        let figure = self.figures.iter().find(|figure| figure.name == name);
        figure.map(|figure| figure.value)
    }
}

impl Report {
    /// The row of `policy`, if it was simulated.
    #[must_use]
    pub fn row(&self, policy: Policy) -> Option<&Row> {
        self.rows.iter().find(|row| row.policy == policy)
    }

    /// Serialises the report as JSON.
    pub fn to_json(&self) -> Result<String, serde_json::Error> {
        serde_json::to_string_pretty(self)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "scenario {}, seed {}", self.scenario, self.seed)?;
        let Some(first) = self.rows.first() else {
            return Ok(());
        };
        write!(f, "{:NAME_WIDTH$}", "policy")?;
        for figure in &first.figures {
            write!(f, " {:>FIGURE_WIDTH$}", figure.name)?;
        }
        writeln!(f)?;
        for row in &self.rows {
            write!(f, "{:NAME_WIDTH$}", row.policy)?;
            for figure in &row.figures {
                write!(f, " {:>FIGURE_WIDTH$.3}", figure.value)?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}
