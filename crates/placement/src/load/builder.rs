//! Settings of a load view.

use super::LoadView;
use std::collections::HashMap;

/// Builds a [`LoadView`]. Each mechanism can be switched off, so that its worth can be measured.
#[derive(Debug, Clone, Copy)]
pub struct LoadViewBuilder {
    pub(super) rate: f64,
    pub(super) reports: bool,
    pub(super) own: bool,
    pub(super) paces: bool,
    pub(super) drain: f64,
}

impl LoadViewBuilder {
    /// `rate` is what the pool's median endpoint prefills, in tokens a second, until answers tell.
    pub fn new(rate: f64) -> Self {
        Self {
            rate,
            reports: true,
            own: true,
            paces: true,
            drain: 1.0,
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

    /// Share of the rate by which a report's queue is believed to shrink as it ages.
    pub fn drain(mut self, share: f64) -> Self {
        self.drain = share;
        self
    }

    /// The view, empty.
    pub fn build(self) -> LoadView {
        LoadView {
            settings: self,
            endpoints: HashMap::new(),
            next: 0,
            median: None,
        }
    }
}
