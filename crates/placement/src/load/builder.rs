//! Settings of a load view.

use super::LoadView;
use std::collections::HashMap;
use std::time::Duration;

/// Builds a [`LoadView`]. Each mechanism can be switched off, so that its worth can be measured.
#[derive(Debug, Clone, Copy)]
pub struct LoadViewBuilder {
    pub(super) rate: f64,
    pub(super) reports: bool,
    pub(super) own_placements: bool,
    pub(super) pace_detection: bool,
    pub(super) drain_share: f64,
    pub(super) smoothing_time: Duration,
    pub(super) weight_exponent: f64,
}

impl LoadViewBuilder {
    /// `rate` is what the pool's median endpoint prefills, in tokens a second.
    pub fn new(rate: f64) -> Self {
        let smoothing_time = Duration::from_secs(90);
        Self {
            rate,
            reports: true,
            own_placements: true,
            pace_detection: true,
            drain_share: 0.5,
            smoothing_time,
            weight_exponent: 0.85,
        }
    }

    /// Whether reports count.
    pub fn reports(mut self, on: bool) -> Self {
        self.reports = on;
        self
    }

    /// Whether own placements count on top of a report.
    pub fn own_placements(mut self, on: bool) -> Self {
        self.own_placements = on;
        self
    }

    /// Whether slow endpoints are noticed from their answers.
    pub fn pace_detection(mut self, on: bool) -> Self {
        self.pace_detection = on;
        self
    }

    /// Share of the rate by which a report's queue is believed to shrink as it ages: less than 1, since others send work.
    pub fn drain_share(mut self, share: f64) -> Self {
        self.drain_share = share;
        self
    }

    /// Time over which the work inside is smoothed. Homes move with it, and each move costs misses.
    pub fn smoothing_time(mut self, time: Duration) -> Self {
        self.smoothing_time = time;
        self
    }

    /// How strongly homes move away from crowded endpoints: 0 not at all, 1 in proportion.
    pub fn weight_exponent(mut self, power: f64) -> Self {
        self.weight_exponent = power;
        self
    }

    /// The view, empty.
    pub fn build(self) -> LoadView {
        LoadView {
            settings: self,
            endpoints: HashMap::default(),
            next: 0,
            pace: None,
        }
    }
}
