//! Line plots as SVG.

use crate::error::ToolError;
use plotters::prelude::*;

const SIZE: (u32, u32) = (860, 380);
const COLOURS: [RGBColor; 2] = [RGBColor(20, 90, 160), RGBColor(200, 80, 20)];
const HEADROOM: f64 = 1.05;

/// One line of a plot.
#[derive(Debug)]
pub struct Curve<'a> {
    /// The name in the legend.
    pub name: &'a str,
    /// The points, ascending.
    pub points: Vec<(f64, f64)>,
}

/// Draws curves into one plot.
///
/// # Errors
/// If the plot can't be drawn.
pub fn draw(title: &str, x: &str, y: &str, curves: &[Curve]) -> Result<String, ToolError> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(failed)?;
        let (max_x, max_y) = maxima(curves);
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(36)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..max_x, 0.0..max_y * HEADROOM)
            .map_err(failed)?;
        chart.configure_mesh().x_desc(x).y_desc(y).draw().map_err(failed)?;
        for (curve, colour) in curves.iter().zip(COLOURS) {
            let line = LineSeries::new(curve.points.iter().copied(), colour.stroke_width(2));
            let drawn = chart.draw_series(line).map_err(failed)?;
            drawn
                .label(curve.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
        }
        let mut legend = chart.configure_series_labels();
        legend
            .border_style(BLACK)
            .background_style(WHITE)
            .draw()
            .map_err(failed)?;
        area.present().map_err(failed)?;
    }
    Ok(svg)
}

fn maxima(curves: &[Curve]) -> (f64, f64) {
    let points = curves.iter().flat_map(|curve| &curve.points);
    points.fold((1.0, 1.0), |(x, y), point| (f64::max(x, point.0), f64::max(y, point.1)))
}

#[allow(clippy::needless_pass_by_value, reason = "map_err passes it by value")]
fn failed(err: impl ToString) -> ToolError {
    ToolError::Plot(err.to_string())
}
