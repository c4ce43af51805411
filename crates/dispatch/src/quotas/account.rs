//! One workspace's level, as known to one router.

use super::classes::{self, Class, Demand, MAX_RETRY, MIN_RETRY};
use super::{QuotaBounds, Usage};
use crate::site::QuotaSpec;
use std::time::Duration;

/// Part of the permitted excess that is added to the burst, so that the delay of reports refuses nobody within the
/// quota; and part of it within which the probability of admission falls to zero in debt. The rest covers what is spent
/// before reports arrive.
const EXCESS_BAND: f64 = 0.25;
/// Smallest band, as a part of the burst, for sites that permit no excess.
const MIN_BAND: f64 = 0.05;
/// Time constant of the rate at which a workspace asks.
const ASKED_TIME: Duration = Duration::from_millis(1_000);
/// Share of its rate from which a workspace counts as near its quota.
const NEAR_RATE: f64 = 0.8;
/// Part of its capacity below which a workspace counts as near its quota.
const NEAR_LEVEL: f64 = 0.5;
/// Shortest interval between two log lines on denied requests of a workspace.
const DENIAL_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Remaining level of a workspace, as followers receive it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Level {
    /// Level in the unit of the quota; negative in debt.
    pub level: f64,
    /// Share of the requests that are admitted at a level of zero, if classes are not distinguished.
    pub share: f64,
    /// Demand by class; absent if none of it is patient, and from older routers.
    pub demand: Option<Demand>,
}

/// A draw that denied a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Refusal {
    pub(super) cost: f64,
    pub(super) probability: f64,
    /// Uniform between 0 and 1, and at least `probability`.
    pub(super) draw: f64,
}

#[derive(Debug)]
pub(super) struct Account {
    pub(super) spec: QuotaSpec,
    pub(super) level: f64,
    refilled_at: Duration,
    /// Decayed sum of what all known routers asked, and when it last changed.
    asked: (f64, Duration),
    /// The patient part of `asked`, as of the same time.
    patient_asked: f64,
    /// Share from the followed router.
    received_share: f64,
    /// Demand from the followed router.
    received_demand: Option<Demand>,
    /// Use since the start, by this router and the followers that reported to it.
    pub(super) totals: Usage,
    pub(super) changed_at: Duration,
    pub(super) unreported: Usage,
    /// Requests denied since the last log line.
    pub(super) denied: u64,
    /// The patient ones among them.
    pub(super) patient_denied: u64,
    denial_logged: Option<Duration>,
}

impl Account {
    pub(super) fn new(spec: QuotaSpec, now: Duration) -> Self {
        Self {
            spec,
            level: 0.0,
            refilled_at: now,
            asked: (0.0, now),
            patient_asked: 0.0,
            received_share: 1.0,
            received_demand: None,
            totals: Usage::default(),
            changed_at: now,
            unreported: Usage::default(),
            denied: 0,
            patient_denied: 0,
            denial_logged: None,
        }
    }

    fn band(&self, bounds: &QuotaBounds) -> f64 {
        let band = EXCESS_BAND * bounds.permitted_excess(&self.spec);
        band.max(MIN_BAND * self.spec.burst).max(f64::MIN_POSITIVE)
    }

    fn capacity(&self, bounds: &QuotaBounds) -> f64 {
        self.spec.burst + EXCESS_BAND * bounds.permitted_excess(&self.spec)
    }

    /// Refills the level by a part of the rate, up to a part of the capacity.
    pub(super) fn refill(&mut self, bounds: &QuotaBounds, part: f64, cap: f64, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = now;
        let refilled = self.level + elapsed.as_secs_f64() * self.spec.rate * part;
        self.level = refilled.min(self.capacity(bounds) * cap);
    }

    pub(super) fn ask(&mut self, class: Class, cost: f64, now: Duration) {
        self.record_own(Usage::asked(class, cost), now);
    }

    pub(super) fn spend(&mut self, class: Class, cost: f64, now: Duration) {
        self.record_own(Usage::spent(class, cost), now);
    }

    fn record_own(&mut self, usage: Usage, now: Duration) {
        self.unreported.add(usage);
        self.totals.add(usage);
        self.changed_at = now;
        self.count(usage, now);
    }

    /// Charges use by any router.
    pub(super) fn count(&mut self, usage: Usage, now: Duration) {
        self.level -= usage.spent;
        self.patient_asked = self.patient_asked * self.asked_decay(now) + usage.patient_asked;
        self.asked = (self.asked_sum(now) + usage.asked, now);
    }

    fn asked_sum(&self, now: Duration) -> f64 {
        self.asked.0 * self.asked_decay(now)
    }

    fn asked_decay(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.asked.1).as_secs_f64() / ASKED_TIME.as_secs_f64();
        (-age).exp()
    }

    /// Demand by class, if any of it is patient.
    pub(super) fn demand(&self, part: f64, is_watcher: bool, now: Duration) -> Option<Demand> {
        if !is_watcher {
            return self.received_demand;
        }
        let patient_rate = self.patient_asked * self.asked_decay(now) / ASKED_TIME.as_secs_f64();
        Demand::by_class(self.spec.rate * part, self.asked_rate(now), patient_rate)
    }

    /// Share of the requests that are admitted at a level of zero: what the rate allows of what is asked.
    pub(super) fn share(&self, part: f64, is_watcher: bool, now: Duration) -> f64 {
        if !is_watcher {
            return self.received_share;
        }
        let asked_rate = self.asked_rate(now);
        if asked_rate <= 0.0 {
            return 1.0;
        }
        (self.spec.rate * part / asked_rate).min(1.0)
    }

    /// Probability of admission.
    pub(super) fn probability(
        &self,
        class: Class,
        bounds: &QuotaBounds,
        part: f64,
        is_watcher: bool,
        now: Duration,
    ) -> f64 {
        let share = self.share(part, is_watcher, now);
        let band = self.band(bounds);
        let demand = self.demand(part, is_watcher, now);
        if demand.is_some() || class == Class::Patient {
            let share = demand.map_or(share, |demand| demand.share(class));
            return classes::probability(class, share, self.level / band);
        }
        if self.level < 0.0 {
            return share * (1.0 + self.level / band).max(0.0);
        }
        let saved = (self.level / band).min(1.0);
        share + (1.0 - share) * saved
    }

    /// Reduces the known level to an even share when reports stop. Otherwise each router could spend the whole level,
    /// which exceeded the bound of a window without links.
    pub(super) fn retain_even_share(&mut self, part: f64) {
        if self.received_demand.take().is_some() && self.level > 0.0 {
            self.level *= part;
        }
    }

    /// Probability of admission by a router without recent news. An even share of a quota is less than a long prompt,
    /// whose debt would refuse all urgent requests for many seconds, so a patient request is admitted in proportion to
    /// the saved part of its cost.
    pub(super) fn stale_probability(&self, class: Class, cost: f64) -> f64 {
        match class {
            Class::Urgent => f64::from(u8::from(self.level > 0.0)),
            Class::Patient => (self.level / cost.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0),
        }
    }

    /// Time after which a denied client should retry, if demand is known by class.
    pub(super) fn class_retry(
        &self,
        class: Class,
        demand: &Demand,
        bounds: &QuotaBounds,
        refusal: Refusal,
    ) -> Duration {
        let missing = refusal.cost - self.level - classes::debt_part(class) * self.band(bounds);
        demand.retry_after(class, missing, refusal.probability, refusal.draw)
    }

    /// Time after which a denied client should retry. It is spread over the time in which the requests that are asked
    /// for now would fit.
    pub(super) fn retry_after(&self, refusal: Refusal, part: f64) -> Duration {
        let missing = (refusal.cost - self.level).max(0.0);
        let refill = missing / (self.spec.rate * part).max(f64::MIN_POSITIVE);
        let spread = 1.0 + refusal.draw * (1.0 / refusal.probability.max(0.1));
        let seconds = (refill * spread).clamp(MIN_RETRY.as_secs_f64(), MAX_RETRY.as_secs_f64());
        Duration::from_secs_f64(seconds)
    }

    /// Number of denied requests, and of the patient ones among them, if a log line is due.
    pub(super) fn take_denied(&mut self, now: Duration) -> Option<(u64, u64)> {
        let is_due = |at: Duration| now.saturating_sub(at) >= DENIAL_LOG_INTERVAL;
        if !self.denial_logged.is_none_or(is_due) {
            return None;
        }
        self.denial_logged = Some(now);
        Some((
            std::mem::take(&mut self.denied),
            std::mem::take(&mut self.patient_denied),
        ))
    }

    /// The level that a follower needs; none if it is far from the quota.
    pub(super) fn level_for_follower(&self, bounds: &QuotaBounds, part: f64, now: Duration) -> Option<Level> {
        let share = self.share(part, true, now);
        let is_near = self.asked_rate(now) > self.spec.rate * part * NEAR_RATE;
        let is_low = self.level < self.capacity(bounds) * NEAR_LEVEL;
        (is_near || is_low).then_some(Level {
            level: self.level,
            share,
            demand: self.demand(part, true, now),
        })
    }

    fn asked_rate(&self, now: Duration) -> f64 {
        self.asked_sum(now) / ASKED_TIME.as_secs_f64()
    }

    /// Applies a level from the followed router; `None` is a full one. What was spent since the report is not part of
    /// it.
    pub(super) fn set_level(&mut self, level: Option<Level>, bounds: &QuotaBounds, now: Duration) {
        let level = level.unwrap_or(Level {
            level: self.capacity(bounds),
            share: 1.0,
            demand: None,
        });
        self.level = level.level - self.unreported.spent;
        self.received_share = level.share;
        self.received_demand = level.demand;
        self.refilled_at = now;
    }
}
