//! How busy and how fast each endpoint is, as far as this router can know.
//!
//! Load pattern: reports lag, and every router sees the same endpoint idle at the same time. Without the router's own
//! recent placements on top of the report, it sends one request after the other to that endpoint until the next report.

mod builder;
mod endpoint;
mod pace;

pub use builder::LoadViewBuilder;

use self::endpoint::{EndpointLoad, Flight};
use crate::EndpointKey;
use crate::uniform::Uniform;
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
    /// Relative share of homes: below 1.0 for an endpoint that has more work inside than the pool's mean, or is slow.
    /// All routers read the same reports, so their weights are nearly the same and they still agree on homes.
    pub weight: f64,
}

impl Estimate {
    /// Of an endpoint nothing is known of.
    const UNKNOWN: Self = Self {
        in_flight: 0,
        queued: 0,
        speed: 1.0,
        weight: 1.0,
    };
}

/// The load view of one router.
#[derive(Debug, Clone)]
pub struct LoadView {
    settings: LoadViewBuilder,
    endpoints: HashMap<EndpointKey, EndpointLoad, Uniform>,
    next: u64,
    pace: Option<f64>,
}

impl LoadView {
    /// An empty view; `rate` is what the pool's median endpoint prefills, in tokens a second.
    pub fn new(rate: f64) -> Self {
        Self::builder(rate).build()
    }

    /// A builder; `rate` is what the pool's median endpoint prefills, in tokens a second.
    pub fn builder(rate: f64) -> LoadViewBuilder {
        LoadViewBuilder::new(rate)
    }

    /// A request with `tokens` uncached prompt tokens was placed.
    pub fn record_placement(
        &mut self,
        endpoint: EndpointKey,
        incarnation: Incarnation,
        tokens: u64,
        now: Duration,
    ) -> Ticket {
        let ticket = Ticket(self.next);
        self.next += 1;
        let load = self.endpoints.entry(endpoint).or_default();
        load.renew(incarnation);
        load.flights.push(Flight {
            ticket,
            placed: now,
            tokens,
            mark: None,
        });
        ticket
    }

    /// The first token of `ticket` arrived: its prompt no longer waits.
    pub fn record_first_token(&mut self, endpoint: EndpointKey, ticket: Ticket, now: Duration) {
        let Some(flight) = self.flight(endpoint, ticket) else {
            return;
        };
        flight.mark = Some((now, 1));
    }

    /// So far `generated` tokens of `ticket` have arrived: shows how fast the endpoint is. To be called now and then while
    /// an answer streams, and at its end: whole answers of a slow endpoint come too late to notice it by.
    pub fn record_progress(&mut self, endpoint: EndpointKey, ticket: Ticket, generated: u64, now: Duration) {
        let Some(flight) = self.flight(endpoint, ticket) else {
            return;
        };
        let Some(mark) = flight.mark else { return };
        let Some(pace) = pace::between(mark, (now, generated)) else {
            return;
        };
        flight.mark = Some((now, generated));
        let Some(load) = self.endpoints.get_mut(&endpoint) else {
            return;
        };
        load.pace.take_in(pace, now);
        self.pace = pace::median(self.endpoints.values().filter_map(|load| load.pace.value()));
    }

    /// `ticket` has ended, however it ended.
    pub fn record_end(&mut self, endpoint: EndpointKey, ticket: Ticket) {
        let Some(load) = self.endpoints.get_mut(&endpoint) else {
            return;
        };
        load.flights.retain(|flight| flight.ticket != ticket);
    }

    /// The endpoint reported its load.
    pub fn record_report(&mut self, endpoint: EndpointKey, report: Report) {
        if !self.settings.reports {
            return;
        }
        let known = || self.endpoints.values().filter_map(EndpointLoad::work);
        let mean = known().sum::<f64>() / known().count().max(1) as f64;
        let load = self.endpoints.entry(endpoint).or_default();
        load.renew(report.incarnation);
        load.take_in(report, mean, &self.settings);
    }

    /// Pressures of all endpoints: a hint for routers that start, worth handing to them by a peer or by the platform. A
    /// few bytes for each endpoint; nothing breaks without it, but until its own reports tell, a router that starts
    /// without the hint ranks endpoints unlike the others and misses a tenth more blocks.
    pub fn pressures(&self) -> impl Iterator<Item = (EndpointKey, f64)> {
        self.endpoints
            .iter()
            .map(|(endpoint, load)| (*endpoint, load.pressure()))
    }

    /// Starts from the pressure that another router knew, unless own reports have told already. A figure that is no sane
    /// pressure is ignored.
    pub fn seed_pressure(&mut self, endpoint: EndpointKey, pressure: f64) {
        self.endpoints
            .entry(endpoint)
            .or_default()
            .seed_pressure(pressure, &self.settings);
    }

    /// Forgets an endpoint that left.
    pub fn forget(&mut self, endpoint: EndpointKey) {
        self.endpoints.remove(&endpoint);
    }

    /// What is believed of `endpoint`; an unknown one is idle and ordinary.
    pub fn estimate(&self, endpoint: EndpointKey, now: Duration) -> Estimate {
        let Some(load) = self.endpoints.get(&endpoint) else {
            return Estimate::UNKNOWN;
        };
        let in_flight = u32::try_from(load.flights.len()).unwrap_or(u32::MAX);
        let speed = if self.settings.pace_detection {
            load.pace.speed(self.pace, now)
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
