//! One endpoint's evidence.

use super::{DEAD_AFTER, FIRST_PROBE, Failure, HealthState, LAST_PROBE, Listing, Report, SUSPECT_AFTER};
use ids::Incarnation;
use std::time::Duration;

/// Former lives that are remembered, so that a late answer of one is not taken for another restart.
const FORMER_LIVES: usize = 4;

#[derive(Debug, Clone)]
pub(super) struct Endpoint {
    life: Option<Incarnation>,
    former: Vec<Incarnation>,
    /// Its own word that it takes no new work.
    leaves: bool,
    listing: Option<Listing>,
    /// Whether it was ever listed: one that vanishes from the list is going, one that is not yet there is new.
    known: bool,
    broken: u32,
    timeouts: u32,
    dead: bool,
    /// When the last failure was noticed; a report from before it proves nothing.
    failed: Duration,
    probe: Option<Duration>,
    /// Whether a probe is under way.
    probing: bool,
    /// Wait before the next probe.
    wait: Duration,
}

impl Endpoint {
    pub(super) fn new(now: Duration) -> Self {
        Self {
            life: None,
            former: Vec::new(),
            leaves: false,
            listing: None,
            known: false,
            broken: 0,
            timeouts: 0,
            dead: false,
            failed: now,
            probe: None,
            probing: false,
            wait: FIRST_PROBE,
        }
    }

    pub(super) fn state(&self) -> HealthState {
        if self.dead {
            return HealthState::Dead;
        }
        let unlisted = self.known && self.listing.is_none();
        if self.leaves || unlisted || self.listing == Some(Listing::Leaving) {
            return HealthState::Leaving;
        }
        if self.broken > 0 || self.timeouts >= SUSPECT_AFTER {
            return HealthState::Suspected;
        }
        HealthState::Live
    }

    pub(super) fn incarnation(&self) -> Option<Incarnation> {
        self.life
    }

    pub(super) fn next_probe(&self) -> Option<Duration> {
        self.probe
    }

    pub(super) fn listed(&mut self, listing: Option<Listing>) {
        self.known |= listing.is_some();
        self.listing = listing;
    }

    /// A report that a peer read proves that the endpoint lives, not that this router reaches it: it only brings the
    /// next probe forward.
    pub(super) fn report(&mut self, report: &Report, now: Duration) {
        if self.former.contains(&report.incarnation) {
            return;
        }
        let restarted = self.begin_life(report.incarnation);
        self.leaves = report.leaving;
        if report.own && report.at > self.failed {
            self.well();
        } else if restarted && self.probe.is_some() {
            self.probe = Some(now);
        }
    }

    pub(super) fn replied(&mut self, life: Option<Incarnation>) {
        if life.is_some_and(|life| self.former.contains(&life)) {
            return;
        }
        if let Some(life) = life
            && self.begin_life(life)
        {
            self.leaves = false;
        }
        self.well();
    }

    pub(super) fn failed(&mut self, failure: Failure, now: Duration) {
        self.failed = now;
        match failure {
            Failure::Connection => self.broken += 1,
            Failure::Timeout => self.timeouts += 1,
        }
        self.dead |= self.broken >= DEAD_AFTER;
        if self.broken == 0 && self.timeouts < SUSPECT_AFTER {
            return;
        }
        if self.probing || self.probe.is_none() {
            self.probing = false;
            self.probe = Some(now + self.wait);
            self.wait = (self.wait * 2).min(LAST_PROBE);
        }
    }

    /// Takes the probe if it is due; another is due later even if this one never ends.
    pub(super) fn take_probe(&mut self, now: Duration) -> bool {
        let due = self.probe.is_some_and(|probe| probe <= now);
        if due {
            self.probing = true;
            self.probe = Some(now + LAST_PROBE);
        }
        due
    }

    fn well(&mut self) {
        self.broken = 0;
        self.timeouts = 0;
        self.dead = false;
        self.probe = None;
        self.probing = false;
        self.wait = FIRST_PROBE;
    }

    /// Whether `life` is another one than before.
    fn begin_life(&mut self, life: Incarnation) -> bool {
        let Some(old) = self.life.replace(life) else {
            return false;
        };
        if old == life {
            return false;
        }
        self.former.insert(0, old);
        self.former.truncate(FORMER_LIVES);
        true
    }
}
