//! Estimates of the load and speed of each endpoint, from what this router can observe.
//!
//! Load pattern: reports are delayed, and every router sees the same endpoint idle at the same time. If a router did
//! not add its own recent placements to the report, it would send all requests to that endpoint until the next report.

mod builder;
mod endpoint;
mod pace;

pub use builder::LoadViewBuilder;

use self::endpoint::{EndpointLoad, Flight};
use crate::EndpointKey;
use crate::identity_hasher::BuildIdentityHasher;
use ids::Incarnation;
use std::collections::HashMap;
use std::time::Duration;

/// Identifies one placement until it has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Ticket(u64);

/// Load report of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Incarnation that sent the report.
    pub incarnation: Incarnation,
    /// Requests running or queued in the endpoint.
    pub requests: u32,
    /// Prompt tokens waiting for prefill.
    pub prefill: u64,
    /// Time of the measurement, on this router's clock.
    pub measured: Duration,
}

/// Current estimate of an endpoint's load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Requests in flight from this router.
    pub in_flight: u32,
    /// Prompt tokens queued ahead of a new request.
    pub queued: u64,
    /// Speed relative to the pool's median endpoint: 1.0 is as fast, 0.5 half as fast.
    pub speed: f64,
    /// Relative share of homes: below 1.0 for an endpoint that is slow or more loaded than the pool's mean. All routers
    /// read the same reports, so their weights are nearly equal and they agree on homes.
    pub weight: f64,
}

impl Estimate {
    /// Estimate for an unknown endpoint.
    const UNKNOWN: Self = Self {
        in_flight: 0,
        queued: 0,
        speed: 1.0,
        weight: 1.0,
    };
}

/// Load view of one router for one pool.
#[derive(Debug, Clone)]
pub struct LoadView {
    settings: LoadViewBuilder,
    endpoints: HashMap<EndpointKey, EndpointLoad, BuildIdentityHasher>,
    next_ticket: u64,
    median_pace: Option<f64>,
}

impl LoadView {
    /// Creates an empty view. `prefill_rate` is the prefill rate of the pool's median endpoint, in tokens per second.
    pub fn new(prefill_rate: f64) -> Self {
        Self::builder(prefill_rate).build()
    }

    /// Returns a builder. `prefill_rate` is the prefill rate of the pool's median endpoint, in tokens per second.
    pub fn builder(prefill_rate: f64) -> LoadViewBuilder {
        LoadViewBuilder::new(prefill_rate)
    }

    /// Records that a request with `tokens` uncached prompt tokens was placed.
    pub fn record_placement(
        &mut self,
        endpoint: EndpointKey,
        incarnation: Incarnation,
        tokens: u64,
        now: Duration,
    ) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let load = self.endpoints.entry(endpoint).or_default();
        load.set_incarnation(incarnation);
        load.flights.push(Flight {
            ticket,
            placed_at: now,
            tokens,
            progress: None,
        });
        ticket
    }

    /// Records the first token of `ticket`: its prompt is no longer queued.
    pub fn record_first_token(&mut self, endpoint: EndpointKey, ticket: Ticket, now: Duration) {
        let Some(flight) = self.flight(endpoint, ticket) else {
            return;
        };
        flight.progress = Some((now, 1));
    }

    /// Records that `generated` tokens of `ticket` have arrived so far, which shows the endpoint's speed. Call it
    /// repeatedly while an answer streams and at its end: complete answers of a slow endpoint arrive too late to detect
    /// it.
    pub fn record_progress(&mut self, endpoint: EndpointKey, ticket: Ticket, generated: u64, now: Duration) {
        let Some(flight) = self.flight(endpoint, ticket) else {
            return;
        };
        let Some(progress) = flight.progress else { return };
        let Some(pace) = pace::measure(progress, (now, generated)) else {
            return;
        };
        flight.progress = Some((now, generated));
        let Some(load) = self.endpoints.get_mut(&endpoint) else {
            return;
        };
        load.pace.record(pace, now);
        self.median_pace = pace::median(self.endpoints.values().filter_map(|load| load.pace.value()));
    }

    /// Records the end of `ticket`, whatever its outcome.
    pub fn record_end(&mut self, endpoint: EndpointKey, ticket: Ticket) {
        let Some(load) = self.endpoints.get_mut(&endpoint) else {
            return;
        };
        load.flights.retain(|flight| flight.ticket != ticket);
    }

    /// Records a load report of the endpoint.
    pub fn record_report(&mut self, endpoint: EndpointKey, report: Report) {
        if !self.settings.reports {
            return;
        }
        let reported = || self.endpoints.values().filter_map(EndpointLoad::work);
        let mean = reported().sum::<f64>() / reported().count().max(1) as f64;
        let load = self.endpoints.entry(endpoint).or_default();
        load.set_incarnation(report.incarnation);
        load.record_report(report, mean, &self.settings);
    }

    /// Pressures (smoothed load relative to the pool's mean) of all endpoints, as a hint for starting routers. It takes
    /// a few bytes per endpoint and can be provided by a peer or by the platform. The hint is optional. Without it a
    /// starting router ranks endpoints differently from the others until it has its own reports, and misses a tenth
    /// more blocks.
    pub fn pressures(&self) -> impl Iterator<Item = (EndpointKey, f64)> {
        self.endpoints
            .iter()
            .map(|(endpoint, load)| (*endpoint, load.pressure()))
    }

    /// Initialises the pressure of an endpoint from another router's value, unless own reports exist. Implausible
    /// values are ignored.
    pub fn seed_pressure(&mut self, endpoint: EndpointKey, pressure: f64) {
        self.endpoints
            .entry(endpoint)
            .or_default()
            .seed_pressure(pressure, &self.settings);
    }

    /// Removes an endpoint that left.
    pub fn forget(&mut self, endpoint: EndpointKey) {
        self.endpoints.remove(&endpoint);
    }

    /// Estimates the load of `endpoint`. An unknown endpoint is taken as idle and of median speed.
    pub fn estimate(&self, endpoint: EndpointKey, now: Duration) -> Estimate {
        let Some(load) = self.endpoints.get(&endpoint) else {
            return Estimate::UNKNOWN;
        };
        let in_flight = u32::try_from(load.flights.len()).unwrap_or(u32::MAX);
        let speed = if self.settings.pace_detection {
            load.pace.speed(self.median_pace, now)
        } else {
            1.0
        };
        let weight = speed * load.weight();
        Estimate {
            in_flight,
            queued: load.queued(&self.settings, now),
            speed,
            weight,
        }
    }

    fn flight(&mut self, endpoint: EndpointKey, ticket: Ticket) -> Option<&mut Flight> {
        let load = self.endpoints.get_mut(&endpoint)?;
        load.flights.iter_mut().find(|flight| flight.ticket == ticket)
    }
}
