//! Health of each endpoint, as one router sees it.
//!
//! Endpoints crash, restart with empty caches, drain or become slow, and the platform's list reports this late. A
//! router that relied on the list alone would keep sending requests to a dead endpoint, and each of them would spend
//! its time for a retry. A router that treated slow endpoints as dead would overload the others. Refused and broken
//! connections are strong evidence: [`DEAD_AFTER`] of them make an endpoint dead. Timeouts are weak evidence: they only
//! make an endpoint suspected.

mod endpoint;

use endpoint::Endpoint;
use ids::{EndpointId, Incarnation};
use std::collections::BTreeMap;
use std::time::Duration;

/// Consecutive connection failures that make an endpoint dead. A single one may be a network fault. With two, at most
/// two attempts are lost before the endpoint gets no more requests.
pub const DEAD_AFTER: u32 = 2;
/// Consecutive timeouts that make an endpoint suspected.
pub const SUSPECT_AFTER: u32 = 2;
/// Delay of the first probe of a dead or suspected endpoint. It doubles with each failed probe.
pub const MIN_PROBE_DELAY: Duration = Duration::from_millis(250);
/// Longest delay between two probes. It limits how long a recovered endpoint stays idle.
pub const MAX_PROBE_DELAY: Duration = Duration::from_secs(2);

/// Health of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum HealthState {
    /// Accepts requests.
    Live,
    /// Answers late or not at all. Gets requests only if no live endpoint accepts them.
    Suspected,
    /// Draining: accepts no new requests and finishes those in progress. Logged as `leaving`.
    Leaving,
    /// Gets no requests.
    Dead,
}

/// How a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The connection was refused, reset or closed without an answer.
    Connection,
    /// No answer in time.
    Timeout,
}

/// State of an endpoint in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listing {
    /// In service.
    Live,
    /// Being shut down.
    Draining,
}

/// Health information from a load report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Whether the endpoint accepts no new requests.
    pub draining: bool,
    /// Whether this router read the report itself.
    pub own: bool,
    /// When the report was requested. Distinguishes reports from before and after a failure.
    pub at: Duration,
}

/// Input of [`EndpointHealth`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The configured endpoints. Endpoints that are no longer configured are removed.
    Configured(Vec<EndpointId>),
    /// The platform's list.
    Listed(BTreeMap<EndpointId, Listing>),
    /// A load report, read by this router or forwarded by a peer.
    Report(Report),
    /// A call or probe got a complete answer.
    Replied {
        /// The endpoint.
        endpoint: EndpointId,
        /// The incarnation that answered, if the answer names it.
        incarnation: Option<Incarnation>,
    },
    /// A call or probe failed.
    Failed {
        /// The endpoint.
        endpoint: EndpointId,
        /// Kind of failure.
        failure: Failure,
    },
}

/// A change to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The health state changed.
    State {
        /// The endpoint.
        endpoint: EndpointId,
        /// The new state.
        state: HealthState,
    },
    /// The endpoint restarted and lost its caches.
    Restarted {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its new incarnation.
        incarnation: Incarnation,
    },
}

/// Health of all endpoints.
#[derive(Debug, Clone, Default)]
pub struct EndpointHealth {
    endpoints: BTreeMap<EndpointId, Endpoint>,
}

impl EndpointHealth {
    /// Handles an event and returns the resulting changes.
    pub fn on(&mut self, event: Event, now: Duration) -> Vec<Change> {
        match event {
            Event::Configured(ids) => self.configure(&ids, now),
            Event::Listed(list) => self.listed(&list),
            Event::Report(report) => self.update(&report.endpoint, |entry| entry.report(&report, now)),
            Event::Replied { endpoint, incarnation } => self.update(&endpoint, |entry| entry.replied(incarnation)),
            Event::Failed { endpoint, failure } => self.update(&endpoint, |entry| entry.failed(failure, now)),
        }
    }

    /// Health of `endpoint`. An unknown endpoint is dead.
    pub fn state(&self, endpoint: &EndpointId) -> HealthState {
        self.endpoints.get(endpoint).map_or(HealthState::Dead, Endpoint::state)
    }

    /// Endpoints to which the last connection failed.
    pub fn unreachable(&self) -> impl Iterator<Item = &EndpointId> {
        let unreachable = self.endpoints.iter().filter(|(_, entry)| entry.is_unreachable());
        unreachable.map(|(id, _)| id)
    }

    /// Current incarnation of `endpoint`, if known.
    pub fn incarnation(&self, endpoint: &EndpointId) -> Option<Incarnation> {
        self.endpoints.get(endpoint)?.incarnation()
    }

    /// Endpoints to probe now. Each is returned once, until its probe has replied or failed or is due again.
    pub fn due_probes(&mut self, now: Duration) -> Vec<EndpointId> {
        let due = self
            .endpoints
            .iter_mut()
            .filter_map(|(id, entry)| entry.start_due_probe(now).then(|| id.clone()));
        due.collect()
    }

    /// Time of the earliest probe.
    pub fn next_probe(&self) -> Option<Duration> {
        self.endpoints.values().filter_map(Endpoint::next_probe).min()
    }

    fn configure(&mut self, ids: &[EndpointId], now: Duration) -> Vec<Change> {
        self.endpoints.retain(|id, _| ids.contains(id));
        let mut changes = Vec::new();
        for id in ids
            .iter()
            .filter(|id| !self.endpoints.contains_key(*id))
            .cloned()
            .collect::<Vec<_>>()
        {
            self.endpoints.insert(id.clone(), Endpoint::new(now));
            changes.push(Change::State {
                endpoint: id,
                state: HealthState::Live,
            });
        }
        changes
    }

    fn listed(&mut self, list: &BTreeMap<EndpointId, Listing>) -> Vec<Change> {
        let ids: Vec<EndpointId> = self.endpoints.keys().cloned().collect();
        let each = ids
            .iter()
            .flat_map(|id| self.update(id, |entry| entry.listed(list.get(id).copied())));
        each.collect()
    }

    fn update(&mut self, id: &EndpointId, change: impl FnOnce(&mut Endpoint)) -> Vec<Change> {
        let Some(entry) = self.endpoints.get_mut(id) else {
            return Vec::new();
        };
        let before = (entry.state(), entry.incarnation());
        change(entry);
        let mut changes = Vec::new();
        if let Some(incarnation) = entry
            .incarnation()
            .filter(|new| before.1.is_some_and(|old| old != *new))
        {
            changes.push(Change::Restarted {
                endpoint: id.clone(),
                incarnation,
            });
        }
        if entry.state() != before.0 {
            changes.push(Change::State {
                endpoint: id.clone(),
                state: entry.state(),
            });
        }
        changes
    }
}
