//! The report of the hop benchmark.

use std::fmt;

use hdrhistogram::Histogram;

/// Latencies at one connection count, in microseconds.
#[derive(Clone, Debug)]
pub struct Comparison {
    /// Number of connections.
    pub connections: usize,
    /// Calls directly to the engine.
    pub direct: Histogram<u64>,
    /// Calls through an entry VM.
    pub routed: Histogram<u64>,
}

/// Results of the hop benchmark.
#[derive(Clone, Debug)]
pub struct Report {
    /// Calls per second.
    pub rate: u32,
    /// Number of failed calls.
    pub failed: usize,
    /// Latencies at each connection count.
    pub comparisons: Vec<Comparison>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} calls a second, {} failed; microseconds",
            self.rate, self.failed
        )?;
        writeln!(
            f,
            "connections  direct p50    p99  routed p50    p99  added p50    p99"
        )?;
        for comparison in &self.comparisons {
            let at = |histogram: &Histogram<u64>, quantile| histogram.value_at_quantile(quantile);
            let (direct, routed) = (&comparison.direct, &comparison.routed);
            writeln!(
                f,
                "{:11}  {:10} {:6}  {:10} {:6}  {:9} {:6}",
                comparison.connections,
                at(direct, 0.5),
                at(direct, 0.99),
                at(routed, 0.5),
                at(routed, 0.99),
                at(routed, 0.5).saturating_sub(at(direct, 0.5)),
                at(routed, 0.99).saturating_sub(at(direct, 0.99)),
            )?;
        }
        Ok(())
    }
}
