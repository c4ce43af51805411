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
    /// When its first token arrived.
    pub first: Option<Duration>,
}

/// Load of one endpoint.
#[derive(Debug, Clone, Default)]
pub struct EndpointLoad {
    /// Requests of this router.
    pub flights: Vec<Flight>,
    /// Pace of its answers.
    pub pace: Pace,
    /// Smoothed number of requests inside.
    pub crowd: Option<f64>,
    incarnation: Incarnation,
    report: Option<Report>,
}

impl EndpointLoad {
    /// A restarted endpoint is empty, and its queue and pace are new.
    pub fn renew(&mut self, incarnation: Incarnation) {
        if incarnation == self.incarnation {
            return;
        }
        *self = Self {
            incarnation,
            ..Self::default()
        };
    }

    /// Takes in a report.
    pub fn take_in(&mut self, report: Report, smooth: Duration) {
        let gap = self
            .report
            .map_or(Duration::ZERO, |last| report.measured.saturating_sub(last.measured));
        let weight = 1.0 - (-gap.as_secs_f64() / smooth.as_secs_f64()).exp();
        let requests = f64::from(report.requests);
        let known = self.crowd.unwrap_or(requests);
        self.crowd = Some(known + weight * (requests - known));
        self.report = Some(report);
    }

    /// Requests inside relative to the pool's `mean`; one is added to both, so that a nearly idle pool is not ruled by
    /// chance.
    pub fn pressure(&self, mean: f64) -> f64 {
        (self.crowd.unwrap_or(mean) + 1.0) / (mean + 1.0)
    }

    /// Prompt tokens that a new request would wait for: the report, less what was prefilled since, and the router's own
    /// later placements; at least what the router itself waits for.
    pub fn queued(&self, settings: &LoadViewBuilder, now: Duration) -> u64 {
        let waiting = self
            .flights
            .iter()
            .filter(|flight| flight.first.is_none() && settings.own);
        let own: u64 = waiting.clone().map(|flight| flight.tokens).sum();
        let Some(report) = self.report else { return own };
        let later = waiting.filter(|flight| flight.placed >= report.measured);
        let newer: u64 = later.map(|flight| flight.tokens).sum();
        let age = now.saturating_sub(report.measured).as_secs_f64();
        let drained = (age * settings.rate * settings.drain) as u64;
        own.max(report.prefill.saturating_sub(drained) + newer)
    }
}
