//! SVG plots of reports.

use std::fmt;
use std::path::Path;

use plotters::coord::Shift;
use plotters::prelude::{
    BLUE, ChartBuilder, Circle, Color, DrawingArea, IntoDrawingArea, LineSeries, RED, SVGBackend,
    WHITE,
};

use crate::slopes::{Report, Series};

/// Width and height of the chart of one series, in pixels.
const CHART_SIZE: (u32, u32) = (420, 300);
/// Charts per row.
const COLUMNS: usize = 3;
/// Size of the label area of an axis, in pixels.
const LABEL_AREA: u32 = 48;
/// Radius of a point, in pixels.
const RADIUS: i32 = 3;
/// Ratio of the axis range to the largest value.
const AXIS_SCALE: f64 = 1.05;

type DrawResult<'a> = Result<(), Box<dyn std::error::Error + 'a>>;

/// A plot could not be drawn or written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    reason: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "failed to plot the report: {}", self.reason)
    }
}

impl std::error::Error for Error {}

impl Report {
    /// Writes a chart of each series and its fitted line to the SVG file `path`.
    pub fn plot(&self, path: &Path) -> Result<(), Error> {
        self.draw(path).map_err(|error| Error {
            reason: error.to_string(),
        })
    }

    fn draw<'a>(&self, path: &'a Path) -> DrawResult<'a> {
        let rows = self.series.len().div_ceil(COLUMNS).max(1);
        let width = CHART_SIZE.0 * u32::try_from(COLUMNS)?;
        let height = CHART_SIZE.1 * u32::try_from(rows)?;
        let area = SVGBackend::new(path, (width, height)).into_drawing_area();
        area.fill(&WHITE)?;
        for (series, cell) in self.series.iter().zip(area.split_evenly((rows, COLUMNS))) {
            draw_series(series, &cell)?;
        }
        area.present()?;
        Ok(())
    }
}

fn draw_series<'a>(series: &Series, cell: &DrawingArea<SVGBackend<'a>, Shift>) -> DrawResult<'a> {
    let largest = |value: fn(&crate::slopes::Point) -> f64| {
        let values = series.points.iter().map(value);
        values.fold(f64::EPSILON, f64::max) * AXIS_SCALE
    };
    let (right, top) = (largest(|point| point.size), largest(|point| point.cost));
    let title = format!("{}: {}", series.unit, series.what);
    let mut chart = ChartBuilder::on(cell)
        .caption(title, ("sans-serif", 13))
        .margin(8)
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart
        .configure_mesh()
        .x_labels(5)
        .x_desc(series.by)
        .y_desc(series.quantity.to_string())
        .draw()?;
    let points = series.points.iter();
    chart.draw_series(points.map(|p| Circle::new((p.size, p.cost), RADIUS, RED.filled())))?;
    if let Some(fit) = &series.fit {
        let ends = [0.0, right].map(|size| (size, fit.at(size).clamp(0.0, top)));
        chart.draw_series(LineSeries::new(ends, &BLUE))?;
    }
    Ok(())
}
