//! Runs sweeps and fits a line to each measured quantity.

use super::fit::{Fit, fit};
use super::sweeps;
use super::test_bed::Rates;
use crate::error::ToolError;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The settings of the measurement.
#[derive(Debug, Clone)]
pub struct SlopeSpec {
    /// Seconds per data point.
    pub seconds: f64,
    /// Names of the sweeps, all if empty.
    pub only: Vec<String>,
}

/// One quantity as a function of another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Series {
    /// Name of the sweep.
    pub sweep: String,
    /// The varied quantity.
    pub x: String,
    /// The measured quantity with its unit.
    pub y: String,
    /// The points.
    pub points: Vec<(f64, f64)>,
    /// The fitted line.
    pub fit: Option<Fit>,
}

/// A sweep with its name, varied quantity and measured points.
pub(super) struct Sweep {
    pub(super) name: &'static str,
    pub(super) x: &'static str,
    pub(super) points: Vec<(f64, Rates)>,
}

/// The name of a quantity with its unit, and its accessor.
type Quantity = (&'static str, fn(&Rates) -> f64);

const NAMES: [&str; 12] = [
    "starts",
    "domain",
    "peers",
    "endpoints",
    "requests",
    "busy",
    "prompts",
    "pieces",
    "claims",
    "blocks",
    "documents",
    "changes",
];

/// Runs the sweeps and fits a line to each quantity.
///
/// # Errors
/// If a process doesn't start or a name is unknown.
pub async fn slopes(spec: &SlopeSpec, progress: impl Fn(&Series)) -> Result<Vec<Series>, ToolError> {
    if spec.only.iter().any(|name| !NAMES.contains(&name.as_str())) {
        return Err(ToolError::OutOfBounds("name of a sweep"));
    }
    let time = Duration::from_secs_f64(spec.seconds);
    let mut all = Vec::new();
    for name in NAMES {
        if !spec.only.is_empty() && !spec.only.iter().any(|only| only == name) {
            continue;
        }
        let measured = match name {
            "starts" => sweeps::starts().await?,
            name => sweeps::sweep(name, time).await?.series(),
        };
        for series in measured {
            progress(&series);
            all.push(series);
        }
    }
    Ok(all)
}

impl Sweep {
    fn series(&self) -> Vec<Series> {
        let quantities: [Quantity; 7] = [
            ("processor time, ms/s", |rates| rates.cpu_ms),
            ("resident memory, kB", |rates| rates.resident),
            ("bytes/s with the platform, of each router", |rates| {
                rates.platform_bytes
            }),
            ("bytes/s with endpoints, of each router", |rates| rates.endpoint_bytes),
            ("bytes/s with peers, of each router", |rates| rates.peer_bytes),
            ("reads/s at the platform, of each router", |rates| rates.reads),
            ("writes/s at the platform, all routers", |rates| rates.writes),
        ];
        let mut all = Vec::new();
        for (y, value) in quantities {
            let points: Vec<(f64, f64)> = self.points.iter().map(|(x, rates)| (*x, value(rates))).collect();
            if points.iter().all(|(_, y)| *y == 0.0) {
                continue;
            }
            let fit = fit(&points);
            all.push(Series {
                sweep: self.name.to_owned(),
                x: self.x.to_owned(),
                y: y.to_owned(),
                points,
                fit,
            });
        }
        all
    }
}
