//! Fits a straight line by least squares.

use serde::{Deserialize, Serialize};

/// The line `y = intercept + slope * x` and its residuals.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// The value at `x` = 0.
    pub intercept: f64,
    /// The growth of `y` per unit of `x`.
    pub slope: f64,
    /// The difference between `y` and the line for each point.
    pub residuals: Vec<f64>,
}

/// Fits a line. Returns `None` for fewer than two different `x`.
pub fn fit(points: &[(f64, f64)]) -> Option<Fit> {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if points.is_empty() || variance == 0.0 {
        return None;
    }
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let slope = covariance / variance;
    let intercept = mean_y - slope * mean_x;
    let residuals = points.iter().map(|(x, y)| y - (intercept + slope * x)).collect();
    Some(Fit {
        intercept,
        slope,
        residuals,
    })
}
