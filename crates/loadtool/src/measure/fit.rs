//! A straight line through points by least squares. Pure.

use serde::{Deserialize, Serialize};

/// `y = intercept + slope * x`, and how far the points are from it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// At `x` = 0.
    pub intercept: f64,
    /// Growth of `y` with each `x`.
    pub slope: f64,
    /// `y` less the line, point by point.
    pub residuals: Vec<f64>,
}

/// Fits a line; none for fewer than two different `x`.
pub fn fit(points: &[(f64, f64)]) -> Option<Fit> {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if points.is_empty() || spread == 0.0 {
        return None;
    }
    let common: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let slope = common / spread;
    let intercept = mean_y - slope * mean_x;
    let residuals = points.iter().map(|(x, y)| y - (intercept + slope * x)).collect();
    Some(Fit {
        intercept,
        slope,
        residuals,
    })
}
