//! Plots of a scenario over time, one line per policy: the share of the requests' value that was
//! served, and the time to the first event.

use std::path::Path;

use plotters::prelude::*;

use super::report::{OverloadReport, OverloadWindow};

/// Width and height in pixels.
const SIZE_PX: (u32, u32) = (900, 640);
/// Longer times to the first event are drawn as this one, in milliseconds.
const MAX_FIRST_EVENT_MS: f64 = 3000.0;

/// A plot file could not be written.
#[derive(Debug, thiserror::Error)]
#[error("the plot {path} can't be written: {reason}")]
pub struct PlotError {
    /// Path of the plot file.
    pub path: String,
    /// Error of the plotting library or of the file system.
    pub reason: String,
}

pub(crate) type Result<T> = std::result::Result<T, PlotError>;

/// Writes an SVG file with the reports of one scenario, one per policy.
///
/// ```no_run
/// use celeryshed_measure::overload::*;
/// let options = OverloadOptions::new(1, OverloadScenario::Burst, PlacementPolicy::Product);
/// write_plot(std::path::Path::new("burst.svg"), &PlacementPolicy::compare(&options)).unwrap();
/// ```
pub fn write_plot(path: &Path, reports: &[OverloadReport]) -> Result<()> {
    draw(path, reports)
        .map_err(|error| PlotError { path: path.display().to_string(), reason: error.to_string() })
}

type DrawResult = std::result::Result<(), Box<dyn std::error::Error>>;

fn draw(path: &Path, reports: &[OverloadReport]) -> DrawResult {
    let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let (upper, lower) = area.split_vertically(SIZE_PX.1 as i32 / 2);
    draw_chart(&upper, reports, "served worth", 1.0, OverloadWindow::served_value_share)?;
    let p95 = |window: &OverloadWindow| window.first_event_ms(95) as f64;
    draw_chart(&lower, reports, "first event, 95 in 100, ms", MAX_FIRST_EVENT_MS, p95)?;
    area.present()?;
    Ok(())
}

fn draw_chart(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    reports: &[OverloadReport],
    caption: &str,
    max_value: f64,
    window_value: impl Fn(&OverloadWindow) -> f64,
) -> DrawResult {
    let seconds = reports.iter().map(|report| report.windows.len()).max().unwrap_or(1) as f64;
    let mut chart = ChartBuilder::on(area)
        .caption(caption, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..seconds, 0.0..max_value)?;
    chart.configure_mesh().x_desc("second").draw()?;
    for (index, report) in reports.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = report.windows.iter().enumerate();
        let points =
            points.map(|(second, window)| (second as f64, window_value(window).min(max_value)));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(report.options.policy.name())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
    Ok(())
}
