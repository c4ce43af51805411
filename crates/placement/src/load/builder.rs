//! Settings of a load view.

use super::LoadView;
use std::collections::HashMap;
use std::time::Duration;

/// Builds a [`LoadView`]. Each mechanism can be switched off to measure its effect.
#[derive(Debug, Clone, Copy)]
pub struct LoadViewBuilder {
    pub(super) prefill_rate: f64,
    pub(super) reports: bool,
    pub(super) own_placements: bool,
    pub(super) pace_detection: bool,
    pub(super) drain_share: f64,
    pub(super) smoothing_time: Duration,
    pub(super) weight_exponent: f64,
}

impl LoadViewBuilder {
    /// Creates a builder with the defaults. `prefill_rate` is the prefill rate of the pool's median endpoint, in tokens
    /// per second.
    pub fn new(prefill_rate: f64) -> Self {
        let smoothing_time = Duration::from_secs(90);
        Self {
            prefill_rate,
            reports: true,
            own_placements: true,
            pace_detection: true,
            drain_share: 0.5,
            smoothing_time,
            weight_exponent: 0.85,
        }
    }

    /// Whether load reports are used.
    pub fn reports(mut self, on: bool) -> Self {
        self.reports = on;
        self
    }

    /// Whether own placements are added to the reported load.
    pub fn own_placements(mut self, on: bool) -> Self {
        self.own_placements = on;
        self
    }

    /// Whether slow endpoints are detected from the pace of their answers.
    pub fn pace_detection(mut self, on: bool) -> Self {
        self.pace_detection = on;
        self
    }

    /// Share of the prefill rate at which the reported queue is assumed to drain as the report ages. Less than 1, since
    /// other routers send work as well.
    pub fn drain_share(mut self, share: f64) -> Self {
        self.drain_share = share;
        self
    }

    /// Time constant for smoothing the load of an endpoint. Homes move with the smoothed load, and each move costs
    /// cache misses.
    pub fn smoothing_time(mut self, time: Duration) -> Self {
        self.smoothing_time = time;
        self
    }

    /// How strongly homes move away from overloaded endpoints: 0 not at all, 1 in proportion to the load.
    pub fn weight_exponent(mut self, power: f64) -> Self {
        self.weight_exponent = power;
        self
    }

    /// Builds an empty view.
    pub fn build(self) -> LoadView {
        LoadView {
            settings: self,
            endpoints: HashMap::default(),
            next_ticket: 0,
            median_pace: None,
        }
    }
}
