//! How fast each endpoint is in comparison with the others of its service.
//!
//! Load pattern: pools in which some machines take more than twice as long as others, in front of which each router
//! sees one answer of an endpoint in ten seconds. Routers compare the durations of their own requests with the usual
//! duration at similar load, and exchange the sums of these comparisons. Only services of which an endpoint has reported
//! a [`WorkTime`] are compared; in all others each endpoint has speed 1.
//!
//! [`WorkTime`]: super::WorkTime

use super::endpoint_state::EndpointState;
use super::work_time::MAX_FACTOR;
use super::{BacklogSource, Fleet, ShortKey};
use crate::decay;
use crate::site::EndpointEntry;
use ids::{EndpointId, Incarnation, ServiceId, VmId};
use std::collections::{BTreeMap, HashMap};
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
/// Samples at a load before further ones are compared with them.
const MIN_USUAL_WEIGHT: f64 = 3.0;
/// Shorter prompts tell more about the round trip than about the engine.
const MIN_PREFILL_TOKENS: u64 = 1_000;
/// Queued tokens are known only roughly, so a prompt with more of them ahead, as a multiple of its own, is no sample.
const MAX_QUEUED: u64 = 2;
/// Fewer pauses between events are dominated by the chunk of a prompt that the engine reads between two of them.
const MIN_EVENTS: u32 = 6;
/// Weight of a prefill that took longer than expected: it probably waited for prompts that this router doesn't know of.
const SLOW_PREFILL_WEIGHT: f64 = 0.25;
/// Classes of load per multiple of an endpoint's slots, and the highest class.
const LOAD_CLASSES: u32 = 8;
const MAX_LOAD_CLASS: u32 = 12;
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

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Kind {
    Prefill,
    Events,
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
    fn amount(self) -> Option<(Kind, f64)> {
        match self {
            Self::Prefill { tokens, queued } => {
                let counts = tokens >= MIN_PREFILL_TOKENS && queued <= tokens * MAX_QUEUED;
                counts.then(|| (Kind::Prefill, (tokens + queued) as f64))
            }
            Self::Events(count) => (count >= MIN_EVENTS).then(|| (Kind::Events, f64::from(count))),
            Self::Call => Some((Kind::Call, 1.0)),
        }
    }
}

/// Samples of an endpoint's speed. The sums of several routers can be added.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpeedSum {
    /// The endpoint.
    pub endpoint: ShortKey,
    /// The incarnation that the samples belong to.
    pub incarnation: Incarnation,
    /// Weighted sum of the logarithms of the ratios of measured to usual durations.
    pub log_sum: f64,
    /// Sum of the weights.
    pub weight: f64,
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

/// A weighted sum of logarithms that decays.
#[derive(Debug, Clone, Copy, Default)]
struct Sum {
    log_sum: f64,
    weight: f64,
    updated_at: Duration,
}

impl Sum {
    fn current(&self, now: Duration) -> Self {
        let factor = decay::remaining(now.saturating_sub(self.updated_at), HALF_LIFE_SECS);
        Self {
            log_sum: self.log_sum * factor,
            weight: self.weight * factor,
            updated_at: now,
        }
    }

    fn record(&mut self, log: f64, weight: f64, now: Duration) {
        *self = self.current(now);
        self.log_sum += log * weight;
        self.weight += weight;
    }

    fn mean(&self) -> Option<f64> {
        (self.weight >= MIN_USUAL_WEIGHT).then(|| self.log_sum / self.weight)
    }
}

#[derive(Debug, Clone, Copy)]
struct Learned {
    incarnation: Incarnation,
    speed: f64,
    /// Exponent of [`SHARE_STEP`] in its share of prefix homes.
    step: i32,
}

#[derive(Debug)]
struct ReceivedSums {
    received_at: Duration,
    sums: Vec<SpeedSum>,
}

/// Samples of this router, sums of others and the speeds learned from both.
#[derive(Debug, Default)]
pub(super) struct Speeds {
    /// Logarithm of the usual duration of a unit of work at an endpoint of speed 1, by service, kind and load. Present
    /// for the services that are compared.
    usual: HashMap<ServiceId, HashMap<(Kind, u32), Sum>>,
    own: BTreeMap<(ShortKey, Incarnation), Sum>,
    received: HashMap<BacklogSource, ReceivedSums>,
    learned: HashMap<ShortKey, Learned>,
    refreshed_at: Option<Duration>,
    changes: BTreeMap<EndpointId, ShareChange>,
}

impl Speeds {
    /// Compares the endpoints of a service from now on.
    pub(super) fn enable(&mut self, service: &ServiceId) {
        if !self.usual.contains_key(service) {
            self.usual.insert(service.clone(), HashMap::new());
        }
    }

    fn is_enabled(&self, service: &ServiceId) -> bool {
        self.usual.contains_key(service)
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
        let Some(usual) = self.usual.get_mut(&state.entry.service) else {
            return false;
        };
        let Some((kind, amount)) = work.amount().filter(|_| !took.is_zero()) else {
            return false;
        };
        let current = state.work_times.mean(now.saturating_sub(took), now).unwrap_or(1.0);
        let log = (took.as_secs_f64() / amount / current).ln();
        let usual = usual.entry((kind, load_class(state))).or_default();
        let mean = usual.current(now).mean();
        // The known speed is taken out. Otherwise the slow endpoints, which are always full, would make up what is usual
        // at a high load, and would seem to be as fast as the others.
        usual.record(log - known, 1.0, now);
        let Some(mean) = mean else { return false };
        let bound = MAX_FACTOR.ln();
        let ratio = (log - mean).clamp(-bound, bound);
        let is_slow_prefill = kind == Kind::Prefill && ratio > known;
        let weight = if is_slow_prefill { SLOW_PREFILL_WEIGHT } else { 1.0 };
        let key = (ShortKey::from(state.key), state.entry.incarnation);
        self.own.entry(key).or_default().record(ratio, weight, now);
        true
    }

    /// Sum of this router's samples and those from the sources for which `is_included` holds, as of `now`.
    fn sum(&self, is_included: impl Fn(&BacklogSource) -> bool, now: Duration) -> Vec<SpeedSum> {
        let mut total: BTreeMap<(ShortKey, Incarnation), Sum> = BTreeMap::new();
        for (key, own) in &self.own {
            total.insert(*key, own.current(now));
        }
        for (_, received) in self.received.iter().filter(|(source, _)| is_included(source)) {
            let age = now.saturating_sub(received.received_at);
            if age >= PEER_TTL {
                continue;
            }
            let factor = decay::remaining(age, HALF_LIFE_SECS);
            for sum in &received.sums {
                let total = total.entry((sum.endpoint, sum.incarnation)).or_default();
                total.log_sum += sum.log_sum * factor;
                total.weight += sum.weight * factor;
            }
        }
        let sum = |((endpoint, incarnation), sum): ((ShortKey, Incarnation), Sum)| SpeedSum {
            endpoint,
            incarnation,
            log_sum: sum.log_sum,
            weight: sum.weight,
        };
        total.into_iter().map(sum).collect()
    }

    fn update(&mut self, source: BacklogSource, mut sums: Vec<SpeedSum>, now: Duration) {
        sums.retain_mut(|sum| {
            let bound = sum.weight * MAX_FACTOR.ln();
            let is_valid = sum.log_sum.is_finite() && sum.weight.is_finite() && sum.weight > 0.0;
            if is_valid {
                sum.log_sum = sum.log_sum.clamp(-bound, bound);
            }
            is_valid
        });
        self.received
            .retain(|_, received| now.saturating_sub(received.received_at) < PEER_TTL);
        let received = ReceivedSums { received_at: now, sums };
        self.received.insert(source, received);
    }

    /// Computes the speeds of the endpoints of one service.
    fn refresh(&mut self, states: &[&EndpointState], sums: &HashMap<(ShortKey, Incarnation), SpeedSum>) {
        let log = |state: &&EndpointState| {
            let sum = sums.get(&(ShortKey::from(state.key), state.entry.incarnation))?;
            (sum.weight >= MIN_WEIGHT).then(|| sum.log_sum / (sum.weight + PRIOR_WEIGHT))
        };
        let logs: Vec<Option<f64>> = states.iter().map(log).collect();
        let middle = median(logs.iter().flatten().copied().collect());
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

/// Class of an endpoint's load: the requests that it reported last, in relation to its slots.
fn load_class(state: &EndpointState) -> u32 {
    let requests = state.report().map_or(0, |received| {
        received.report.running.saturating_add(received.report.waiting)
    });
    let class = requests.saturating_mul(LOAD_CLASSES) / state.entry.slots.max(1);
    class.min(MAX_LOAD_CLASS)
}

/// Median; 0 without values.
fn median(mut values: Vec<f64>) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_by(f64::total_cmp);
    let (low, high) = (values[(values.len() - 1) / 2], values[values.len() / 2]);
    (low + high) / 2.0
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
    pub fn own_speeds(&self, now: Duration) -> Vec<SpeedSum> {
        self.speeds.sum(|_| false, now)
    }

    /// Returns the sums over this router and its followers, for other routers that have followers.
    pub fn speeds_subtotal(&self, now: Duration) -> Vec<SpeedSum> {
        self.speeds.sum(BacklogSource::is_follower, now)
    }

    /// Returns the sums over all routers except one follower, for that follower.
    pub fn speeds_without(&self, follower: &VmId, now: Duration) -> Vec<SpeedSum> {
        self.speeds.sum(|source| source.is_for(follower), now)
    }

    /// Replaces the sums received from a source.
    pub fn update_speeds(&mut self, source: BacklogSource, sums: Vec<SpeedSum>, now: Duration) {
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
        if self.speeds.usual.is_empty() || self.speeds.refreshed_at.is_some_and(is_recent) {
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
        speeds
            .own
            .retain(|(key, incarnation), _| present.get(key) == Some(incarnation));
        speeds.learned.retain(|key, _| present.contains_key(key));
        let sums = speeds.sum(|_| true, now).into_iter();
        let sums = sums.map(|sum| ((sum.endpoint, sum.incarnation), sum)).collect();
        for states in services.values() {
            speeds.refresh(states, &sums);
        }
    }
}
