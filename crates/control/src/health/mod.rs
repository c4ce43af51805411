//! What a router believes about each endpoint.
//!
//! Load pattern: endpoints crash, come back empty, leave, or get slow, and the platform's list tells of it late.
//! Without this, work would go on being sent to a dead endpoint until the list says so, and each such request would
//! lose its time for a retry; or a merely slow endpoint would be taken for dead, and its load would fall on the others.
//! Refused or broken connections are strong evidence and make an endpoint dead after [`DEAD_AFTER`]; timeouts are weak
//! and only ever make it suspected.

mod endpoint;

use endpoint::Endpoint;
use ids::{EndpointId, Incarnation};
use std::collections::BTreeMap;
use std::time::Duration;

/// Broken connections in a row, without a reply in between, that make an endpoint dead. One alone may be a cut network
/// path; with two, a request loses at most two attempts before all others are spared.
pub const DEAD_AFTER: u32 = 2;
/// Timeouts in a row that make an endpoint suspected.
pub const SUSPECT_AFTER: u32 = 2;
/// Wait before the first probe of a dead or suspected endpoint; it doubles with each failed one.
pub const FIRST_PROBE: Duration = Duration::from_millis(250);
/// Longest wait between probes: bounds how long a returned endpoint stays idle.
pub const LAST_PROBE: Duration = Duration::from_secs(2);

/// What is believed of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum HealthState {
    /// Takes work.
    Live,
    /// Answers late or not at all; takes work only when no live one does.
    Suspected,
    /// Takes no new work and finishes what it has.
    Leaving,
    /// Takes nothing.
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

/// An endpoint in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listing {
    /// In service.
    Live,
    /// Told to go.
    Leaving,
}

/// What a load report tells about an endpoint's health.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Of whom.
    pub endpoint: EndpointId,
    /// The life that it tells of.
    pub incarnation: Incarnation,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Whether this router read it itself.
    pub own: bool,
    /// When it was asked for, so that a report from before a failure is told from one after it.
    pub at: Duration,
}

/// What a router hears of endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Endpoints in service by the configuration; those that are no longer named are forgotten.
    Configured(Vec<EndpointId>),
    /// The platform's list.
    Listed(BTreeMap<EndpointId, Listing>),
    /// A load report, read by this router or passed on by a peer.
    Report(Report),
    /// A whole answer, also of a probe.
    Replied {
        /// From whom.
        endpoint: EndpointId,
        /// The life that answered, if it said so.
        incarnation: Option<Incarnation>,
    },
    /// A call failed, also a probe.
    Failed {
        /// To whom.
        endpoint: EndpointId,
        /// How.
        failure: Failure,
    },
}

/// What changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Another belief.
    State {
        /// Of whom.
        endpoint: EndpointId,
        /// What is believed now.
        state: HealthState,
    },
    /// The endpoint restarted: what was cached there is gone.
    Restarted {
        /// Who.
        endpoint: EndpointId,
        /// Its new life.
        incarnation: Incarnation,
    },
}

/// Beliefs about all endpoints.
#[derive(Debug, Clone, Default)]
pub struct EndpointHealth {
    endpoints: BTreeMap<EndpointId, Endpoint>,
}

impl EndpointHealth {
    /// Takes an event.
    pub fn on(&mut self, event: Event, now: Duration) -> Vec<Change> {
        match event {
            Event::Configured(ids) => self.configure(&ids, now),
            Event::Listed(list) => self.listed(&list),
            Event::Report(report) => self.touch(&report.endpoint, |known| known.report(&report, now)),
            Event::Replied { endpoint, incarnation } => self.touch(&endpoint, |known| known.replied(incarnation)),
            Event::Failed { endpoint, failure } => self.touch(&endpoint, |known| known.failed(failure, now)),
        }
    }

    /// What is believed of `endpoint`; an unknown one is dead.
    pub fn state(&self, endpoint: &EndpointId) -> HealthState {
        self.endpoints.get(endpoint).map_or(HealthState::Dead, Endpoint::state)
    }

    /// The life that `endpoint` is in, if it is known.
    pub fn incarnation(&self, endpoint: &EndpointId) -> Option<Incarnation> {
        self.endpoints.get(endpoint)?.incarnation()
    }

    /// Endpoints to probe now; each is given out once until its probe replies, fails, or is due again.
    pub fn due_probes(&mut self, now: Duration) -> Vec<EndpointId> {
        let due = self
            .endpoints
            .iter_mut()
            .filter_map(|(id, known)| known.take_probe(now).then(|| id.clone()));
        due.collect()
    }

    /// Earliest time of a probe.
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
            .flat_map(|id| self.touch(id, |known| known.listed(list.get(id).copied())));
        each.collect()
    }

    fn touch(&mut self, id: &EndpointId, change: impl FnOnce(&mut Endpoint)) -> Vec<Change> {
        let Some(known) = self.endpoints.get_mut(id) else {
            return Vec::new();
        };
        let before = (known.state(), known.incarnation());
        change(known);
        let mut changes = Vec::new();
        if let Some(incarnation) = known
            .incarnation()
            .filter(|life| before.1.is_some_and(|old| old != *life))
        {
            changes.push(Change::Restarted {
                endpoint: id.clone(),
                incarnation,
            });
        }
        if known.state() != before.0 {
            changes.push(Change::State {
                endpoint: id.clone(),
                state: known.state(),
            });
        }
        changes
    }
}
