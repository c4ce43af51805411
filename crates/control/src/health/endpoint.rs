//! Health of one endpoint.

use super::{DEAD_AFTER, Failure, HealthState, Listing, MAX_PROBE_DELAY, MIN_PROBE_DELAY, Report, SUSPECT_AFTER};
use ids::Incarnation;
use std::time::Duration;

/// Number of earlier incarnations to remember, so that a late answer from one of them does not count as a restart.
const MAX_FORMER_INCARNATIONS: usize = 4;

#[derive(Debug, Clone)]
pub(super) struct Endpoint {
    incarnation: Option<Incarnation>,
    former: Vec<Incarnation>,
    /// Whether it reported that it accepts no new requests.
    reports_draining: bool,
    listing: Option<Listing>,
    /// Whether it was ever listed. An endpoint that disappears from the list is draining; one not yet listed is new.
    ever_listed: bool,
    connection_failures: u32,
    timeouts: u32,
    is_dead: bool,
    /// Time of the last failure. A report requested before it does not prove that the endpoint works again.
    last_failure: Duration,
    next_probe: Option<Duration>,
    /// Whether a probe is in flight.
    probing: bool,
    /// Delay before the next probe.
    probe_delay: Duration,
}

impl Endpoint {
    pub(super) fn new(now: Duration) -> Self {
        Self {
            incarnation: None,
            former: Vec::new(),
            reports_draining: false,
            listing: None,
            ever_listed: false,
            connection_failures: 0,
            timeouts: 0,
            is_dead: false,
            last_failure: now,
            next_probe: None,
            probing: false,
            probe_delay: MIN_PROBE_DELAY,
        }
    }

    pub(super) fn state(&self) -> HealthState {
        if self.is_dead {
            return HealthState::Dead;
        }
        let unlisted = self.ever_listed && self.listing.is_none();
        if self.reports_draining || unlisted || self.listing == Some(Listing::Draining) {
            return HealthState::Leaving;
        }
        if self.connection_failures > 0 || self.timeouts >= SUSPECT_AFTER {
            return HealthState::Suspected;
        }
        HealthState::Live
    }

    /// Whether the last connection failed.
    pub(super) fn is_unreachable(&self) -> bool {
        self.connection_failures > 0
    }

    pub(super) fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    pub(super) fn next_probe(&self) -> Option<Duration> {
        self.next_probe
    }

    pub(super) fn listed(&mut self, listing: Option<Listing>) {
        self.ever_listed |= listing.is_some();
        self.listing = listing;
    }

    /// A report read by a peer proves that the endpoint runs, not that this router can reach it. If it shows a restart,
    /// the next probe is due at once.
    pub(super) fn report(&mut self, report: &Report, now: Duration) {
        if self.former.contains(&report.incarnation) {
            return;
        }
        let restarted = self.observe_incarnation(report.incarnation);
        self.reports_draining = report.draining;
        if report.own && report.at > self.last_failure {
            self.mark_healthy();
        } else if restarted && self.next_probe.is_some() {
            self.next_probe = Some(now);
        }
    }

    pub(super) fn replied(&mut self, incarnation: Option<Incarnation>) {
        if incarnation.is_some_and(|incarnation| self.former.contains(&incarnation)) {
            return;
        }
        if let Some(incarnation) = incarnation
            && self.observe_incarnation(incarnation)
        {
            self.reports_draining = false;
        }
        self.mark_healthy();
    }

    pub(super) fn failed(&mut self, failure: Failure, now: Duration) {
        self.last_failure = now;
        match failure {
            Failure::Connection => self.connection_failures += 1,
            Failure::Timeout => self.timeouts += 1,
        }
        self.is_dead |= self.connection_failures >= DEAD_AFTER;
        if self.connection_failures == 0 && self.timeouts < SUSPECT_AFTER {
            return;
        }
        if self.probing || self.next_probe.is_none() {
            self.probing = false;
            self.next_probe = Some(now + self.probe_delay);
            self.probe_delay = (self.probe_delay * 2).min(MAX_PROBE_DELAY);
        }
    }

    /// Whether a probe is due now. The next one becomes due later even if this one never ends.
    pub(super) fn start_due_probe(&mut self, now: Duration) -> bool {
        let due = self.next_probe.is_some_and(|probe| probe <= now);
        if due {
            self.probing = true;
            self.next_probe = Some(now + MAX_PROBE_DELAY);
        }
        due
    }

    fn mark_healthy(&mut self) {
        self.connection_failures = 0;
        self.timeouts = 0;
        self.is_dead = false;
        self.next_probe = None;
        self.probing = false;
        self.probe_delay = MIN_PROBE_DELAY;
    }

    /// Records `incarnation` and returns whether the endpoint restarted.
    fn observe_incarnation(&mut self, incarnation: Incarnation) -> bool {
        let Some(old) = self.incarnation.replace(incarnation) else {
            return false;
        };
        if old == incarnation {
            return false;
        }
        self.former.insert(0, old);
        self.former.truncate(MAX_FORMER_INCARNATIONS);
        true
    }
}
