//! What is known of one endpoint's load.

use super::pace::Pace;
use super::{LoadViewBuilder, Report, Ticket};
use ids::Incarnation;
use std::time::Duration;

/// A request of this router at the endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Flight {
    /// Its name.
    pub ticket: Ticket,
    /// When it was placed.
    pub placed: Duration,
    /// Prompt tokens that have to be computed for it.
    pub tokens: u64,
    /// When its progress was last seen, and its tokens by then; none before the first token.
    pub mark: Option<(Duration, u64)>,
}

/// The pressure that a router starts with counts as much as this many reports.
const FIRST: f64 = 4.0;

/// Waiting prompt tokens that weigh as much as one request inside. From the experiment; 500 to 2000 are alike.
const REQUEST_TOKENS: f64 = 1000.0;
/// A pressure taken over from another router counts as much as this many reports.
const ASSUMED: f64 = 100.0;
/// Bounds of a pressure, and their inverse.
const SANE: f64 = 100.0;

/// Load of one endpoint.
#[derive(Debug, Clone)]
pub struct EndpointLoad {
    /// Requests of this router.
    pub flights: Vec<Flight>,
    /// Pace of its answers.
    pub pace: Pace,
    pressure: f64,
    weight: f64,
    reports: f64,
    incarnation: Incarnation,
    report: Option<Report>,
}

impl Default for EndpointLoad {
    fn default() -> Self {
        Self {
            flights: Vec::new(),
            pace: Pace::default(),
            pressure: 1.0,
            weight: 1.0,
            reports: 0.0,
            incarnation: Incarnation::default(),
            report: None,
        }
    }
}

impl EndpointLoad {
    /// A restarted endpoint is empty, and its queue and pace are new.
    pub fn renew(&mut self, incarnation: Incarnation) {
        if incarnation == self.incarnation {
            return;
        }
        if self.incarnation == Incarnation::default() {
            self.incarnation = incarnation;
            return;
        }
        *self = Self {
            incarnation,
            ..Self::default()
        };
    }

    /// Smoothed work inside relative to the pool's mean.
    pub fn pressure(&self) -> f64 {
        self.pressure
    }

    /// Relative share of homes.
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// Work inside by the last report.
    pub fn work(&self) -> Option<f64> {
        self.report.map(work)
    }

    /// Takes in a report; `mean` is the pool's mean work inside. One is added to both, so that a nearly idle
    /// pool is not ruled by chance. The pressure begins at 1 and moves slowly: a router that has just started finds the
    /// homes near where they were, instead of moving them by one report. The first report only begins the count, since
    /// the other endpoints' may not have come yet.
    pub fn take_in(&mut self, report: Report, mean: f64, settings: &LoadViewBuilder) {
        let Some(last) = self.report.replace(report) else {
            return;
        };
        let gap = report.measured.saturating_sub(last.measured);
        self.reports += 1.0;
        let settled = 1.0 - (-gap.as_secs_f64() / settings.smoothing_time.as_secs_f64()).exp();
        let weight = settled.max(1.0 / (self.reports + FIRST));
        let now = (work(report) + 1.0) / (mean + 1.0);
        self.pressure += weight * (now - self.pressure);
        self.weight = self.pressure.powf(-settings.weight_exponent);
    }

    /// Starts from a pressure that another router knew.
    pub fn seed_pressure(&mut self, pressure: f64, settings: &LoadViewBuilder) {
        let sane = pressure.is_finite() && (1.0 / SANE..=SANE).contains(&pressure);
        if !sane || self.reports > 0.0 {
            return;
        }
        self.pressure = pressure;
        self.weight = pressure.powf(-settings.weight_exponent);
        self.reports = ASSUMED;
    }

    /// Prompt tokens that a new request would wait for: the report, less what was prefilled since, and the router's own
    /// later placements; at least what the router itself waits for.
    pub fn queued(&self, settings: &LoadViewBuilder, now: Duration) -> u64 {
        let waiting = self
            .flights
            .iter()
            .filter(|flight| flight.mark.is_none() && settings.own_placements);
        let own: u64 = waiting.clone().map(|flight| flight.tokens).sum();
        let Some(report) = self.report else { return own };
        let later = waiting.filter(|flight| flight.placed >= report.measured);
        let newer: u64 = later.map(|flight| flight.tokens).sum();
        let age = now.saturating_sub(report.measured).as_secs_f64();
        let drained = (age * settings.rate * settings.drain_share) as u64;
        own.max(report.prefill.saturating_sub(drained) + newer)
    }
}

/// Work inside by a report, in requests: those that generate, and the prompt tokens that wait. Either alone misses endpoints
/// whose few requests have long prompts, or whose many have short ones.
fn work(report: Report) -> f64 {
    f64::from(report.requests) + report.prefill as f64 / REQUEST_TOKENS
}
