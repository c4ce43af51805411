//! Load state of one endpoint.

use super::pace::Pace;
use super::{LoadViewBuilder, Report, Ticket};
use ids::Incarnation;
use std::time::Duration;

/// An in-flight request of this router at the endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Flight {
    /// Ticket of the placement.
    pub ticket: Ticket,
    /// Time of the placement.
    pub placed_at: Duration,
    /// Uncached prompt tokens.
    pub tokens: u64,
    /// Time and token count of the last recorded progress; `None` before the first token.
    pub progress: Option<(Duration, u64)>,
}

/// Weight of the initial pressure, in reports.
const INITIAL_REPORTS: f64 = 4.0;

/// Queued prompt tokens that count as one request. Values from 500 to 2000 give the same results.
const REQUEST_TOKENS: f64 = 1000.0;
/// Weight of a pressure seeded from another router, in reports.
const SEEDED_REPORTS: f64 = 100.0;
/// Maximum plausible pressure; the minimum is its inverse.
const MAX_PRESSURE: f64 = 100.0;

/// Load of one endpoint.
#[derive(Debug, Clone)]
pub struct EndpointLoad {
    /// In-flight requests of this router.
    pub flights: Vec<Flight>,
    /// Pace of the endpoint's answers.
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
    /// Resets the state if the endpoint has restarted, since its queue and pace are then new.
    pub fn set_incarnation(&mut self, incarnation: Incarnation) {
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

    /// Smoothed work relative to the pool's mean.
    pub fn pressure(&self) -> f64 {
        self.pressure
    }

    /// Relative share of homes.
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// Work by the last report.
    pub fn work(&self) -> Option<f64> {
        self.report.map(work)
    }

    /// Records a report; `mean` is the pool's mean work. One is added to both, so that random fluctuations do not
    /// dominate in a nearly idle pool. The pressure starts at 1 and changes slowly: a newly started router finds the
    /// homes near their previous positions instead of moving them by one report. The first report only starts the
    /// count, since the reports of other endpoints may be missing.
    pub fn record_report(&mut self, report: Report, mean: f64, settings: &LoadViewBuilder) {
        let Some(last) = self.report.replace(report) else {
            return;
        };
        let gap = report.measured.saturating_sub(last.measured);
        self.reports += 1.0;
        let gain = 1.0 - (-gap.as_secs_f64() / settings.smoothing_time.as_secs_f64()).exp();
        let weight = gain.max(1.0 / (self.reports + INITIAL_REPORTS));
        let sample = (work(report) + 1.0) / (mean + 1.0);
        self.pressure += weight * (sample - self.pressure);
        self.weight = self.pressure.powf(-settings.weight_exponent);
    }

    /// Initialises the pressure from another router's value.
    pub fn seed_pressure(&mut self, pressure: f64, settings: &LoadViewBuilder) {
        let plausible = pressure.is_finite() && (1.0 / MAX_PRESSURE..=MAX_PRESSURE).contains(&pressure);
        if !plausible || self.reports > 0.0 {
            return;
        }
        self.pressure = pressure;
        self.weight = pressure.powf(-settings.weight_exponent);
        self.reports = SEEDED_REPORTS;
    }

    /// Prompt tokens queued ahead of a new request: the reported queue, less what was prefilled since, plus the
    /// router's own later placements. At least the tokens of the router's own waiting requests.
    pub fn queued(&self, settings: &LoadViewBuilder, now: Duration) -> u64 {
        let waiting = self
            .flights
            .iter()
            .filter(|flight| flight.progress.is_none() && settings.own_placements);
        let own_tokens: u64 = waiting.clone().map(|flight| flight.tokens).sum();
        let Some(report) = self.report else { return own_tokens };
        let later = waiting.filter(|flight| flight.placed_at >= report.measured);
        let later_tokens: u64 = later.map(|flight| flight.tokens).sum();
        let age = now.saturating_sub(report.measured).as_secs_f64();
        let drained = (age * settings.prefill_rate * settings.drain_share) as u64;
        own_tokens.max(report.prefill.saturating_sub(drained) + later_tokens)
    }
}

/// Work by a report, in requests: the running ones plus the queued prompt tokens. Either alone misses endpoints with
/// few requests of long prompts, or with many of short ones.
fn work(report: Report) -> f64 {
    f64::from(report.requests) + report.prefill as f64 / REQUEST_TOKENS
}
