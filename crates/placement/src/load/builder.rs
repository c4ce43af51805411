//! Settings of a load view.

use super::LoadView;
use std::collections::HashMap;
use std::time::Duration;

/// Builds a [`LoadView`]. Each mechanism can be switched off, so that its worth can be measured.
#[derive(Debug, Clone, Copy)]
pub struct LoadViewBuilder {
    pub(super) rate: f64,
    pub(super) reports: bool,
    pub(super) own: bool,
    pub(super) paces: bool,
    pub(super) drain: f64,
    pub(super) smooth: Duration,
    pub(super) lean: f64,
}

impl LoadViewBuilder {
    /// `rate` is what the pool's median endpoint prefills, in tokens a second.
    pub fn new(rate: f64) -> Self {
        let smooth = Duration::from_secs(60);
        Self {
            rate,
            reports: true,
            own: true,
            paces: true,
            drain: 0.5,
            smooth,
            lean: 0.7,
        }
    }

    /// Whether reports count.
    pub fn reports(mut self, on: bool) -> Self {
        self.reports = on;
        self
    }

    /// Whether own placements count on top of a report.
    pub fn own(mut self, on: bool) -> Self {
        self.own = on;
        self
    }

    /// Whether slow endpoints are noticed from their answers.
    pub fn paces(mut self, on: bool) -> Self {
        self.paces = on;
        self
    }

    /// Share of the rate by which a report's queue is believed to shrink as it ages: less than 1, since others send work.
    pub fn drain(mut self, share: f64) -> Self {
        self.drain = share;
        self
    }

    /// Time over which the number of requests inside is smoothed. Homes move with it, and each move costs misses.
    pub fn smooth(mut self, time: Duration) -> Self {
        self.smooth = time;
        self
    }

    /// How strongly homes move away from crowded endpoints: 0 not at all, 1 in proportion.
    pub fn lean(mut self, power: f64) -> Self {
        self.lean = power;
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
