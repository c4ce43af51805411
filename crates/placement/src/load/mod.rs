//! How busy and how fast each endpoint is, as far as this router can know.
//!
//! Load pattern: reports lag, and every router sees the same endpoint idle at the same time. Without the router's own
//! recent placements on top of the report, all of them send their next requests to that endpoint until the next report.
//! A slow endpoint reports a short queue because it answers little; it is noticed from the answers.

mod builder;

pub use builder::LoadViewBuilder;

use crate::EndpointKey;
use ids::Incarnation;
use std::collections::HashMap;
use std::time::Duration;

/// Names one placement until it has finished.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Ticket(u64);

/// What an endpoint reported of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// The life that reported.
    pub incarnation: Incarnation,
    /// Requests running or waiting inside the endpoint.
    pub requests: u32,
    /// Prompt tokens still to be prefilled.
    pub prefill: u64,
    /// When the endpoint measured it, on this router's clock.
    pub measured: Duration,
}

/// What is believed of an endpoint now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Requests in flight from this router.
    pub in_flight: u32,
    /// Prompt tokens that a new request would wait for.
    pub queued: u64,
    /// Relative to the pool's median endpoint: 1.0 as fast, 0.5 half as fast.
    pub speed: f64,
}

#[derive(Debug, Clone, Copy)]
struct Flight {
    ticket: Ticket,
    placed: Duration,
    tokens: u64,
    ahead: u64,
    started: bool,
}

#[derive(Debug, Clone, Default)]
struct EndpointLoad {
    incarnation: Incarnation,
    flights: Vec<Flight>,
    report: Option<Report>,
    pace: Option<f64>,
    paced: Duration,
}

/// The load view of one router.
#[derive(Debug, Clone)]
pub struct LoadView {
    settings: LoadViewBuilder,
    endpoints: HashMap<EndpointKey, EndpointLoad>,
    next: u64,
    median: Option<f64>,
}

/// Weight of the newest answer in an endpoint's pace.
const PACE_WEIGHT: f64 = 0.2;
/// What a request costs besides its tokens, as tokens, so that short prompts do not look slow.
const FIXED_TOKENS: u64 = 512;
/// A pace older than this is no longer believed: the endpoint counts as median again and so is probed.
const PACE_TRUST: Duration = Duration::from_secs(10);
/// Bounds of a believed speed. Below, an endpoint would get nothing and so never show that it has recovered.
const SPEED_BOUNDS: (f64, f64) = (0.05, 2.0);

impl LoadView {
    /// A builder; `rate` is what the pool's median endpoint prefills, in tokens a second.
    pub fn builder(rate: f64) -> LoadViewBuilder {
        LoadViewBuilder::new(rate)
    }

    /// A request with `tokens` uncached prompt tokens was placed.
    pub fn placed(&mut self, endpoint: EndpointKey, incarnation: Incarnation, tokens: u64, now: Duration) -> Ticket {
        let ticket = Ticket(self.next);
        self.next += 1;
        let load = self.endpoints.entry(endpoint).or_default();
        load.renew(incarnation);
        let ahead = load.queued(&self.settings, now);
        load.flights.push(Flight {
            ticket,
            placed: now,
            tokens,
            ahead,
            started: false,
        });
        ticket
    }

    /// The first token of `ticket` arrived; `tokens` prompt tokens were computed for it.
    pub fn first_token(&mut self, endpoint: EndpointKey, ticket: Ticket, tokens: u64, now: Duration) {
        let Some(load) = self.endpoints.get_mut(&endpoint) else {
            return;
        };
        let Some(flight) = load.flights.iter_mut().find(|flight| flight.ticket == ticket) else {
            return;
        };
        flight.started = true;
        let waited = now.saturating_sub(flight.placed).as_secs_f64();
        let pace = waited / (flight.ahead + tokens + FIXED_TOKENS) as f64;
        let known = load.pace.unwrap_or(pace);
        load.pace = Some(known + PACE_WEIGHT * (pace - known));
        load.paced = now;
        self.median = median(self.endpoints.values().filter_map(|load| load.pace));
    }

    /// `ticket` has ended, however it ended.
    pub fn finished(&mut self, endpoint: EndpointKey, ticket: Ticket) {
        let Some(load) = self.endpoints.get_mut(&endpoint) else {
            return;
        };
        load.flights.retain(|flight| flight.ticket != ticket);
    }

    /// The endpoint reported its load.
    pub fn report(&mut self, endpoint: EndpointKey, report: Report) {
        let load = self.endpoints.entry(endpoint).or_default();
        load.renew(report.incarnation);
        if self.settings.reports {
            load.report = Some(report);
        }
    }

    /// Forgets an endpoint that left.
    pub fn forget(&mut self, endpoint: EndpointKey) {
        self.endpoints.remove(&endpoint);
    }

    /// What is believed of `endpoint`; an unknown one is idle and of median speed.
    pub fn estimate(&self, endpoint: EndpointKey, now: Duration) -> Estimate {
        let Some(load) = self.endpoints.get(&endpoint) else {
            return Estimate {
                in_flight: 0,
                queued: 0,
                speed: 1.0,
            };
        };
        let in_flight = u32::try_from(load.flights.len()).unwrap_or(u32::MAX);
        Estimate {
            in_flight,
            queued: load.queued(&self.settings, now),
            speed: self.speed(load, now),
        }
    }

    fn speed(&self, load: &EndpointLoad, now: Duration) -> f64 {
        let (Some(pace), Some(median)) = (load.pace, self.median) else {
            return 1.0;
        };
        if !self.settings.paces || now.saturating_sub(load.paced) > PACE_TRUST || pace <= 0.0 {
            return 1.0;
        }
        (median / pace).clamp(SPEED_BOUNDS.0, SPEED_BOUNDS.1)
    }
}

impl EndpointLoad {
    fn renew(&mut self, incarnation: Incarnation) {
        if incarnation == self.incarnation {
            return;
        }
        *self = Self {
            incarnation,
            ..Self::default()
        };
    }

    fn queued(&self, settings: &LoadViewBuilder, now: Duration) -> u64 {
        let waiting = self.flights.iter().filter(|flight| !flight.started);
        let waiting = waiting.take_while(|_| settings.own);
        let own: u64 = waiting.clone().map(|flight| flight.tokens).sum();
        let Some(report) = self.report else { return own };
        let later = waiting.filter(|flight| flight.placed >= report.measured);
        let newer: u64 = later.map(|flight| flight.tokens).sum();
        let drained = (now.saturating_sub(report.measured).as_secs_f64() * settings.rate * settings.drain) as u64;
        own.max(report.prefill.saturating_sub(drained) + newer)
    }
}

fn median(paces: impl Iterator<Item = f64>) -> Option<f64> {
    let mut sorted: Vec<f64> = paces.collect();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied()
}
