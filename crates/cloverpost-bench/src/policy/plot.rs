//! SVG plots of reports.

use std::fmt;
use std::path::Path;

use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, SVGBackend,
    WHITE,
};

use crate::policy::{Report, Row};

/// Width and height of the image in pixels.
const IMAGE_SIZE: (u32, u32) = (900, 540);

/// Size of the label area of an axis in pixels.
const LABEL_AREA: u32 = 56;

/// Length of a line sample in the legend in pixels.
const LEGEND_LINE: i32 = 16;

/// Drawing or writing a plot failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    message: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "failed to write the plot: {}", self.message)
    }
}

impl std::error::Error for Error {}

impl Report {
    /// Draws the curve of each row into the SVG file `path`.
    pub fn plot(&self, path: &Path) -> Result<(), Error> {
        self.draw(path).map_err(|error| Error {
            message: error.to_string(),
        })
    }

    fn draw(&self, path: &Path) -> Result<(), Box<dyn std::error::Error + '_>> {
        let area = SVGBackend::new(path, IMAGE_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let (right, top) = self.extent();
        let title = format!("{}, seed {}", self.scenario, self.seed);
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 20))
            .margin(12)
            .x_label_area_size(LABEL_AREA)
            .y_label_area_size(LABEL_AREA)
            .build_cartesian_2d(0.0..right, 0.0..top)?;
        chart
            .configure_mesh()
            .x_desc(self.axes.x)
            .y_desc(self.axes.y)
            .draw()?;
        for (index, row) in self.rows.iter().enumerate() {
            let colour = Palette99::pick(index).to_rgba();
            chart
                .draw_series(LineSeries::new(row.curve.iter().copied(), colour))?
                .label(row.policy.name())
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + LEGEND_LINE, y)], colour));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE)
            .draw()?;
        area.present()?;
        Ok(())
    }

    /// Maximum coordinates over all curves; always positive.
    fn extent(&self) -> (f64, f64) {
        let points = || self.rows.iter().flat_map(|row: &Row| &row.curve);
        let right = points().map(|point| point.0).fold(f64::EPSILON, f64::max);
        let top = points().map(|point| point.1).fold(f64::EPSILON, f64::max);
        (right, top)
    }
}
