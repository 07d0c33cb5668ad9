//! Figures aggregated over many seeds.

use std::fmt;

use crate::policy::{self, Options, Policy, Report, Scenario};

/// Median, range and mean of each figure over the seeds from 1 to `seeds`.
///
/// `Display` formats them as a Markdown table.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct Summary {
    /// The simulated scenario.
    pub scenario: Scenario,
    /// Number of seeds.
    pub seeds: u64,
    /// One line per policy and figure.
    pub lines: Vec<Line>,
}

/// One figure of one policy.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct Line {
    /// The policy that made the decisions.
    pub policy: Policy,
    /// Name of the figure, with the unit as a suffix.
    pub figure: &'static str,
    /// Minimum.
    #[serde(rename = "least")]
    pub min: f64,
    /// Median.
    pub median: f64,
    /// Maximum.
    #[serde(rename = "most")]
    pub max: f64,
    /// Mean. For a figure that is 0 or 1, the fraction of seeds for which it is 1.
    pub mean: f64,
}

impl Summary {
    /// Simulates `scenario` with the seeds from 1 to `seeds`.
    #[must_use]
    pub fn simulate(scenario: Scenario, seeds: u64) -> Self {
        let simulate = |seed| {
            policy::run(&Options {
                scenario,
                seed,
                policy: None,
            })
        };
        let reports: Vec<_> = (1..=seeds).map(simulate).collect();
        Self {
            scenario,
            seeds,
            lines: lines(&reports),
        }
    }

    /// The line of a policy's figure, if there is one.
    #[must_use]
    pub fn line(&self, policy: Policy, figure: &str) -> Option<&Line> {
        let matches = |line: &&Line| line.policy == policy && line.figure == figure;
        self.lines.iter().find(matches)
    }
}

fn lines(reports: &[Report]) -> Vec<Line> {
    let Some(first) = reports.first() else {
        return Vec::new();
    };
    let names = first.rows.iter().flat_map(|row| {
        let figures = row.figures.iter();
        figures.map(|figure| (row.policy, figure.name))
    });
    names
        .map(|(policy, figure)| line(reports, policy, figure))
        .collect()
}

fn line(reports: &[Report], policy: Policy, figure: &'static str) -> Line {
    let value = |report: &Report| report.row(policy).and_then(|row| row.value(figure));
    let mut values: Vec<_> = reports.iter().filter_map(value).collect();
    values.sort_by(f64::total_cmp);
    Line {
        policy,
        figure,
        min: values.first().copied().unwrap_or_default(),
        median: median(&values),
        max: values.last().copied().unwrap_or_default(),
        mean: mean(&values),
    }
}

fn mean(values: &[f64]) -> f64 {
    let count = u32::try_from(values.len()).unwrap_or(u32::MAX);
    values.iter().sum::<f64>() / f64::from(count.max(1))
}

fn median(sorted: &[f64]) -> f64 {
    let upper = sorted.len() / 2;
    let lower = sorted.len().saturating_sub(1) / 2;
    match (sorted.get(lower), sorted.get(upper)) {
        (Some(lower), Some(upper)) => f64::midpoint(*lower, *upper),
        _ => 0.0,
    }
}

impl Summary {
    /// The simulated policies in the order of the report.
    fn policies(&self) -> Vec<Policy> {
        let mut policies: Vec<_> = self.lines.iter().map(|line| line.policy).collect();
        policies.dedup();
        policies
    }

    /// Names of the figures in the order of the report.
    fn figures(&self) -> Vec<&'static str> {
        let first = self.lines.first().map(|line| line.policy);
        let lines = self.lines.iter().filter(|line| Some(line.policy) == first);
        lines.map(|line| line.figure).collect()
    }
}

/// One row per figure and one column per policy; a cell is `median (min to max, mean)`.
impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let policies = self.policies();
        write!(f, "| {}, {} seeds |", self.scenario, self.seeds)?;
        for policy in &policies {
            write!(f, " {policy} |")?;
        }
        writeln!(f)?;
        writeln!(f, "|---|{}", "---|".repeat(policies.len()))?;
        for figure in self.figures() {
            write!(f, "| {figure} |")?;
            for policy in &policies {
                match self.line(*policy, figure) {
                    Some(line) => write!(f, " {line} |")?,
                    None => write!(f, " |")?,
                }
            }
            writeln!(f)?;
        }
        Ok(())
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (median, mean) = (self.median, self.mean);
        let (min, max) = (self.min, self.max);
        write!(f, "{median:.3} ({min:.3} to {max:.3}, {mean:.3})")
    }
}
