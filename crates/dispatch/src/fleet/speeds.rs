//! How fast each endpoint is in comparison with the others of its service.
//!
//! Load pattern: pools in which some machines take more than twice as long as others, in front of which each router
//! sees one answer of an endpoint in ten seconds. Slow endpoints are also the fullest, so a long duration may come from
//! either. Routers exchange sums of their samples, from which each computes how durations grow with the load at the same
//! endpoint (a regression with a constant for each endpoint), and how long each endpoint takes without that growth. Only
//! services of which an endpoint has reported a [`WorkTime`] are compared; in all others each endpoint has speed 1.
//!
//! [`WorkTime`]: super::WorkTime

use super::endpoint_state::EndpointState;
use super::work_time::MAX_FACTOR;
use super::{BacklogSource, Fleet, ShortKey};
use crate::decay;
use crate::site::EndpointEntry;
use ids::{EndpointId, Incarnation, ServiceId, VmId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// Half-life of a sample. Tens of seconds give each endpoint of a pool of a hundred some dozen samples.
const HALF_LIFE_SECS: f64 = 30.0;
/// How long the sums from another router count without a new message.
const PEER_TTL: Duration = Duration::from_secs(10);
/// Interval at which the speeds are computed from the sums.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);
/// Weight of the assumption that an endpoint is as fast as the others.
const PRIOR_WEIGHT: f64 = 2.0;
/// Weight of samples from which an endpoint counts for the median of its service.
const MIN_WEIGHT: f64 = 1.0;
/// Weight below which a sum is not sent: its samples are minutes old.
const MIN_SENT_WEIGHT: f64 = 0.05;
/// Assumed growth of the logarithm of a duration with the load, and its weight. Samples soon replace it.
const PRIOR_SLOPE: f64 = 0.5;
const SLOPE_WEIGHT: f64 = 1.0;
/// Largest growth: durations in proportion to the load.
const MAX_SLOPE: f64 = 1.5;
/// Shorter prompts tell more about the round trip than about the engine.
const MIN_PREFILL_TOKENS: u64 = 1_000;
/// Queued tokens are known only roughly, so a prompt with more of them ahead, as a multiple of its own, is no sample.
const MAX_QUEUED: u64 = 2;
/// Fewer pauses between events are dominated by the chunk of a prompt that the engine reads between two of them.
const MIN_EVENTS: u32 = 6;
/// Weight of a prefill that took longer than expected: it probably waited for prompts that this router doesn't know of.
const SLOW_PREFILL_WEIGHT: f64 = 0.25;
/// Requests, in relation to the slots, from which they rather than the machine determine a duration; its inverse.
const LOAD_SCALE: f64 = 3.0;
/// Factor between two steps of an endpoint's share of prefix homes. Each step moves prefixes to caches without them.
const SHARE_STEP: f64 = std::f64::consts::SQRT_2;
/// Deviation from the current share, in steps, at which it changes. Above a half, so that a speed between two steps
/// doesn't move prefixes back and forth.
const STEP_DEVIATION: f64 = 0.75;

/// Work of an endpoint whose duration was measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// It read a prompt, and before that others that were queued; in tokens.
    Prefill {
        /// Tokens of the request itself.
        tokens: u64,
        /// Tokens queued ahead of it.
        queued: u64,
    },
    /// It sent this many events after the first one.
    Events(u32),
    /// It served a non-streaming call.
    Call,
}

/// Kind of [`Work`]. Durations of different kinds are not comparable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum WorkKind {
    /// Reading prompts; the unit is a token.
    #[serde(rename = "p")]
    Prefill,
    /// Sending events; the unit is an event.
    #[serde(rename = "e")]
    Events,
    /// Serving non-streaming calls.
    #[serde(rename = "c")]
    Call,
}

impl Work {
    /// Name of the kind of work, for metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Prefill { .. } => "prefill",
            Self::Events(_) => "events",
            Self::Call => "call",
        }
    }

    /// Kind and amount, unless the duration says little about the endpoint.
    fn amount(self) -> Option<(WorkKind, f64)> {
        match self {
            Self::Prefill { tokens, queued } => {
                let counts = tokens >= MIN_PREFILL_TOKENS && queued <= tokens * MAX_QUEUED;
                counts.then(|| (WorkKind::Prefill, (tokens + queued) as f64))
            }
            Self::Events(count) => (count >= MIN_EVENTS).then(|| (WorkKind::Events, f64::from(count))),
            Self::Call => Some((WorkKind::Call, 1.0)),
        }
    }
}

/// What a sum of samples belongs to.
pub type SpeedKey = (ShortKey, Incarnation, WorkKind);

/// Sums over samples: of their weights, and of the weighted loads, logarithms of durations and products of these. The sums
/// of several routers can be added.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct SpeedSum {
    /// Sum of the weights.
    pub weight: f64,
    /// Sum of the loads; a load is about the logarithm of the growth of durations with the running requests.
    pub load: f64,
    /// Sum of the logarithms of the durations of a unit of work, in seconds, divided by the reported work time.
    pub log: f64,
    /// Sum of the squares of the loads.
    pub load_load: f64,
    /// Sum of the products of load and logarithm.
    pub load_log: f64,
}

impl SpeedSum {
    fn sample(load: f64, log: f64, weight: f64) -> Self {
        Self {
            weight,
            load: weight * load,
            log: weight * log,
            load_load: weight * load * load,
            load_log: weight * load * log,
        }
    }

    fn scaled(self, factor: f64) -> Self {
        Self {
            weight: self.weight * factor,
            load: self.load * factor,
            log: self.log * factor,
            load_load: self.load_load * factor,
            load_log: self.load_log * factor,
        }
    }

    fn plus(self, other: Self) -> Self {
        Self {
            weight: self.weight + other.weight,
            load: self.load + other.load,
            log: self.log + other.log,
            load_load: self.load_load + other.load_load,
            load_log: self.load_log + other.load_log,
        }
    }

    fn is_valid(&self) -> bool {
        let values = [self.load, self.log, self.load_load, self.load_log, self.weight];
        values.iter().all(|value| value.is_finite()) && self.weight > 0.0
    }
}

/// An endpoint whose share of prefix homes has changed.
#[derive(Debug, Clone, PartialEq)]
pub struct ShareChange {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its learned speed; 1 is the median of its service.
    pub speed: f64,
    /// Its new share in relation to an endpoint of speed 1.
    pub share: f64,
}

/// Sums as of a point in time.
#[derive(Debug, Default)]
struct Sums {
    by_key: BTreeMap<SpeedKey, SpeedSum>,
    updated_at: Duration,
}

impl Sums {
    /// Adds the sums `other`, decayed to `now`, to sums as of `now`.
    fn add(&mut self, other: &Self, now: Duration) {
        let factor = decay::remaining(now.saturating_sub(other.updated_at), HALF_LIFE_SECS);
        for (key, sum) in &other.by_key {
            let total = self.by_key.entry(*key).or_default();
            *total = total.plus(sum.scaled(factor));
        }
    }

    fn decay(&mut self, now: Duration) {
        let factor = decay::remaining(now.saturating_sub(self.updated_at), HALF_LIFE_SECS);
        for sum in self.by_key.values_mut() {
            *sum = sum.scaled(factor);
        }
        self.updated_at = now;
    }
}

/// How the duration of a unit of work at the median endpoint of a service depends on the load.
#[derive(Debug, Clone, Copy)]
struct Fit {
    base: f64,
    slope: f64,
}

impl Fit {
    fn log(self, load: f64) -> f64 {
        self.base + self.slope * load
    }
}

#[derive(Debug, Clone, Copy)]
struct Learned {
    incarnation: Incarnation,
    speed: f64,
    /// Exponent of [`SHARE_STEP`] in its share of prefix homes.
    step: i32,
}

/// Samples of this router, sums of others and the speeds learned from both.
#[derive(Debug, Default)]
pub(super) struct Speeds {
    /// Services whose endpoints are compared.
    enabled: BTreeSet<ServiceId>,
    own: Sums,
    received: HashMap<BacklogSource, Sums>,
    fits: HashMap<(ServiceId, WorkKind), Fit>,
    learned: HashMap<ShortKey, Learned>,
    refreshed_at: Option<Duration>,
    changes: BTreeMap<EndpointId, ShareChange>,
}

impl Speeds {
    /// Compares the endpoints of a service from now on.
    pub(super) fn enable(&mut self, service: &ServiceId) {
        if !self.enabled.contains(service) {
            self.enabled.insert(service.clone());
        }
    }

    fn is_enabled(&self, service: &ServiceId) -> bool {
        self.enabled.contains(service)
    }

    /// Drops the sums received from a source.
    pub(super) fn remove(&mut self, source: &BacklogSource) {
        self.received.remove(source);
    }

    fn learned(&self, state: &EndpointState) -> Option<&Learned> {
        let learned = self.learned.get(&ShortKey::from(state.key))?;
        (learned.incarnation == state.entry.incarnation).then_some(learned)
    }

    /// Records that a piece of work ended at `now` after `took`. Returns whether it tells something about the speed.
    fn record(&mut self, state: &EndpointState, work: Work, took: Duration, now: Duration) -> bool {
        let known = self.learned(state).map_or(0.0, |learned| -learned.speed.ln());
        if !self.is_enabled(&state.entry.service) {
            return false;
        }
        let Some((kind, amount)) = work.amount().filter(|_| !took.is_zero()) else {
            return false;
        };
        let reported = state.work_times.mean(now.saturating_sub(took), now);
        let (current, requests) = reported.unwrap_or_else(|| (1.0, last_requests(state)));
        let log = (took.as_secs_f64() / amount / current).ln();
        let load = (LOAD_SCALE * requests / f64::from(state.entry.slots.max(1))).ln_1p();
        let mut sample = SpeedSum::sample(load, log, 1.0);
        if let Some(fit) = self.fits.get(&(state.entry.service.clone(), kind)) {
            let bound = MAX_FACTOR.ln();
            let ratio = log - fit.log(load);
            let is_slow = kind == WorkKind::Prefill && ratio > known;
            let weight = if is_slow { SLOW_PREFILL_WEIGHT } else { 1.0 };
            sample = SpeedSum::sample(load, fit.log(load) + ratio.clamp(-bound, bound), weight);
        }
        self.own.decay(now);
        let key = (ShortKey::from(state.key), state.entry.incarnation, kind);
        let sum = self.own.by_key.entry(key).or_default();
        *sum = sum.plus(sample);
        true
    }

    /// Sum of this router's samples and those from the sources for which `is_included` holds, as of `now`.
    fn sum(&self, is_included: impl Fn(&BacklogSource) -> bool, now: Duration) -> Sums {
        let mut total = Sums {
            updated_at: now,
            ..Sums::default()
        };
        total.add(&self.own, now);
        for (_, sums) in self.received.iter().filter(|(source, _)| is_included(source)) {
            if now.saturating_sub(sums.updated_at) < PEER_TTL {
                total.add(sums, now);
            }
        }
        total
    }

    fn update(&mut self, source: BacklogSource, sums: Vec<(SpeedKey, SpeedSum)>, now: Duration) {
        self.received
            .retain(|_, sums| now.saturating_sub(sums.updated_at) < PEER_TTL);
        let sums = Sums {
            by_key: sums.into_iter().filter(|(_, sum)| sum.is_valid()).collect(),
            updated_at: now,
        };
        self.received.insert(source, sums);
    }

    /// Fits the durations of one kind of work of a service. Adds each endpoint's deviation from the median, times its
    /// weight, to `deviations`.
    fn fit(
        &mut self,
        service: &ServiceId,
        kind: WorkKind,
        states: &[&EndpointState],
        sums: &Sums,
        deviations: &mut [(f64, f64)],
    ) {
        let sum = |state: &&EndpointState| {
            let key = (ShortKey::from(state.key), state.entry.incarnation, kind);
            sums.by_key.get(&key).filter(|sum| sum.weight >= MIN_WEIGHT)
        };
        let sums: Vec<Option<&SpeedSum>> = states.iter().map(sum).collect();
        let known = || sums.iter().copied().flatten();
        let square = |sum: &SpeedSum| (sum.load_load - sum.load * sum.load / sum.weight).max(0.0);
        let product = |sum: &SpeedSum| sum.load_log - sum.load * sum.log / sum.weight;
        let squares = known().map(square).sum::<f64>() + SLOPE_WEIGHT;
        let products = known().map(product).sum::<f64>() + SLOPE_WEIGHT * PRIOR_SLOPE;
        let slope = (products / squares).clamp(0.0, MAX_SLOPE);
        let log = |sum: &SpeedSum| (sum.log - slope * sum.load) / sum.weight;
        let Some(base) = median(known().map(log).collect()) else {
            return;
        };
        self.fits.insert((service.clone(), kind), Fit { base, slope });
        let bound = MAX_FACTOR.ln();
        for (sum, (deviation, weight)) in sums.iter().zip(deviations) {
            if let Some(sum) = sum {
                *deviation += (log(sum) - base).clamp(-bound, bound) * sum.weight;
                *weight += sum.weight;
            }
        }
    }

    /// Computes the speeds of the endpoints of one service.
    fn refresh(&mut self, service: &ServiceId, states: &[&EndpointState], sums: &Sums) {
        let mut deviations = vec![(0.0, 0.0); states.len()];
        for kind in [WorkKind::Prefill, WorkKind::Events, WorkKind::Call] {
            self.fit(service, kind, states, sums, &mut deviations);
        }
        let log = |(deviation, weight): &(f64, f64)| (*weight > 0.0).then(|| deviation / (weight + PRIOR_WEIGHT));
        let logs: Vec<Option<f64>> = deviations.iter().map(log).collect();
        let middle = median(logs.iter().flatten().copied().collect()).unwrap_or_default();
        for (state, log) in states.iter().zip(logs) {
            let key = ShortKey::from(state.key);
            let Some(log) = log else {
                self.learned.remove(&key);
                continue;
            };
            let speed = (middle - log).exp().clamp(1.0 / MAX_FACTOR, MAX_FACTOR);
            let before = self.learned(state).map_or(0, |learned| learned.step);
            let exact = speed.ln() / SHARE_STEP.ln();
            let is_near = (exact - f64::from(before)).abs() < STEP_DEVIATION;
            let step = if is_near { before } else { exact.round() as i32 };
            let incarnation = state.entry.incarnation;
            self.learned.insert(
                key,
                Learned {
                    incarnation,
                    speed,
                    step,
                },
            );
            if step != before {
                let endpoint = state.entry.id.clone();
                let share = SHARE_STEP.powi(step);
                let change = ShareChange { endpoint, speed, share };
                self.changes.insert(state.entry.id.clone(), change);
            }
        }
    }
}

/// Running and waiting requests of the last report, if an endpoint doesn't say how long work takes.
fn last_requests(state: &EndpointState) -> f64 {
    f64::from(state.report().map_or(0, |received| received.report.requests()))
}

/// Median; `None` without values.
fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    let low = values.get(values.len().checked_sub(1)? / 2)?;
    let high = values.get(values.len() / 2)?;
    Some((low + high) / 2.0)
}

impl Fleet {
    /// Records that a piece of an endpoint's work ended at `now` after `took`. Returns whether it counts as a sample of
    /// the endpoint's speed.
    pub fn record_work(&mut self, endpoint: &EndpointEntry, work: Work, took: Duration, now: Duration) -> bool {
        let Some(state) = self.endpoints.get(&endpoint.id) else {
            return false;
        };
        state.entry.incarnation == endpoint.incarnation && self.speeds.record(state, work, took, now)
    }

    /// Returns the sums of this router's samples, for the router that it follows.
    pub fn own_speeds(&self, now: Duration) -> Vec<(SpeedKey, SpeedSum)> {
        self.speed_sums(|_| false, now)
    }

    /// Returns the sums over this router and its followers, for other routers that have followers.
    pub fn speeds_subtotal(&self, now: Duration) -> Vec<(SpeedKey, SpeedSum)> {
        self.speed_sums(BacklogSource::is_follower, now)
    }

    /// Returns the sums over all routers except one follower, for that follower.
    pub fn speeds_without(&self, follower: &VmId, now: Duration) -> Vec<(SpeedKey, SpeedSum)> {
        self.speed_sums(|source| source.is_for(follower), now)
    }

    fn speed_sums(&self, is_included: impl Fn(&BacklogSource) -> bool, now: Duration) -> Vec<(SpeedKey, SpeedSum)> {
        let sums = self.speeds.sum(is_included, now).by_key.into_iter();
        sums.filter(|(_, sum)| sum.weight >= MIN_SENT_WEIGHT).collect()
    }

    /// Replaces the sums received from a source.
    pub fn update_speeds(&mut self, source: BacklogSource, sums: Vec<(SpeedKey, SpeedSum)>, now: Duration) {
        self.speeds.update(source, sums, now);
    }

    /// Returns the changes of shares of prefix homes since the last call, for logs.
    pub fn take_share_changes(&mut self) -> Vec<ShareChange> {
        std::mem::take(&mut self.speeds.changes).into_values().collect()
    }

    /// Returns the number of endpoints whose learned speed has lowered their share of prefix homes.
    pub fn slow_count(&self) -> usize {
        self.speeds.learned.values().filter(|learned| learned.step < 0).count()
    }

    /// Returns the speed of an endpoint in relation to the median of its service, as choices assume it.
    pub fn endpoint_speed(&self, id: &EndpointId, now: Duration) -> Option<f64> {
        self.endpoints.get(id).map(|state| self.speed(state, now))
    }

    /// Speed of an endpoint: greater is faster, 1 is the median of its service.
    pub(super) fn speed(&self, state: &EndpointState, now: Duration) -> f64 {
        if !self.speeds.is_enabled(&state.entry.service) {
            return 1.0;
        }
        let learned = self.speeds.learned(state).map_or(1.0, |learned| learned.speed);
        (learned * state.work_times.current_speed(now)).clamp(1.0 / MAX_FACTOR, MAX_FACTOR)
    }

    /// Relative share of prefix homes of an endpoint; 1 is that of an endpoint of speed 1.
    pub(super) fn home_share(&self, state: &EndpointState) -> f64 {
        let learned = self.speeds.learned(state);
        learned.map_or(1.0, |learned| SHARE_STEP.powi(learned.step))
    }

    /// Whether the speeds of a service's endpoints are compared.
    pub(super) fn compares_speeds(&self, service: &ServiceId) -> bool {
        self.speeds.is_enabled(service)
    }

    /// Recomputes the speeds, if that is due.
    pub(super) fn refresh_speeds(&mut self, now: Duration) {
        let is_recent = |at: Duration| now.saturating_sub(at) < REFRESH_INTERVAL;
        if self.speeds.enabled.is_empty() || self.speeds.refreshed_at.is_some_and(is_recent) {
            return;
        }
        self.speeds.refreshed_at = Some(now);
        let mut services: HashMap<&ServiceId, Vec<&EndpointState>> = HashMap::new();
        for state in self.endpoints.values() {
            if self.speeds.is_enabled(&state.entry.service) {
                services.entry(&state.entry.service).or_default().push(state);
            }
        }
        let states = services.values().flatten();
        let present: BTreeMap<ShortKey, Incarnation> = states
            .map(|state| (ShortKey::from(state.key), state.entry.incarnation))
            .collect();
        let speeds = &mut self.speeds;
        let is_present = |key: &SpeedKey| present.get(&key.0) == Some(&key.1);
        speeds.own.by_key.retain(|key, _| is_present(key));
        speeds.learned.retain(|key, _| present.contains_key(key));
        let sums = speeds.sum(|_| true, now);
        for (service, states) in &services {
            speeds.refresh(service, states, &sums);
        }
    }
}
