//! Sizes the lanes of a large pool by what the current load needs of each.
//!
//! Load pattern: hundreds of long answers in flight, with short prompts. Sized by prompt tokens alone, the decode lane
//! has most of its slots in use: its answers take twice as long as elsewhere, and first events wait for a slot. Prefills
//! double when caches are emptied, and answers come in bursts, so both needs follow the load within seconds.

use super::endpoint_state::EndpointState;
use super::lanes::{LaneTokens, MIN_SHARE, MIN_SLOTS};
use super::{Fleet, PickedEndpoint};
use crate::decay;
use ids::ServiceId;
use std::time::Duration;

/// Smaller pools are sized by prompt tokens only: one engine is too large a step.
const MIN_LARGE_POOL: usize = 16;
/// Share of the decode lane's slots that running answers use. Bursts are 1.7 times the usual rate and a fifth of the
/// engines may be loading, so half of the slots would be too many: 0.4 x 1.7 / 0.8 = 0.85.
const TARGET_OCCUPANCY: f64 = 0.4;
/// Share of the time that an engine reads prompts. Prefixes are spread unevenly over the engines of a lane.
const TARGET_UTILIZATION: f64 = 0.7;
/// Half-life of the decode lane's size beyond its need. Each change moves prefixes from one lane to the other.
const SHRINK_HALF_LIFE_SECS: f64 = 10.0;
/// A need that is lower by less than this share may be random variation, which would move prefixes between the lanes
/// several times a second. The lane shrinks more slowly then.
const NOISE_SHARE: f64 = 0.1;
const NOISE_HALF_LIFE_SECS: f64 = 60.0;
/// Number of steps in which the decode lane grows. A step is smaller than the burst that a lane absorbs.
const LANE_STEPS: usize = 32;
/// How long needs are valid. Peer updates arrive about this often.
const NEEDS_TTL: Duration = Duration::from_millis(100);

/// What the lanes of a large pool need, in engines.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct LaneNeeds {
    decode: f64,
    prefill: f64,
    /// Whether the pool is split.
    split: bool,
    load: LaneTokens,
    updated_at: Duration,
}

/// Size of a service's decode lane and the load that it results from, for logs and metrics.
#[derive(Debug, Clone, PartialEq)]
pub struct LaneStatus {
    /// The service.
    pub service: ServiceId,
    /// Engines in the decode lane; 0 if the pool is not split.
    pub decode_lane: usize,
    /// Engines that are available.
    pub engines: usize,
    /// Load of all routers, as far as this router knows.
    pub load: LaneTokens,
}

/// Engines of a service, for its lanes' needs.
#[derive(Debug, Clone, Copy)]
struct Pool {
    engines: usize,
    /// Mean slots per engine.
    slots: f64,
    /// Prompt tokens that an engine reads per second.
    rate: f64,
}

impl LaneNeeds {
    /// Needs for a load. The need of the decode lane grows immediately and shrinks slowly.
    fn updated(before: Option<Self>, load: LaneTokens, pool: Pool, now: Duration) -> Self {
        let engines = pool.engines as f64;
        let answers = load.answers / (pool.slots * TARGET_OCCUPANCY);
        let tokens = load.decode_lane_size(pool.engines) as f64;
        let need = answers
            .max(tokens)
            .max(load.decode_rate / (pool.rate * TARGET_UTILIZATION));
        let held = before.map_or(0.0, |before| {
            let age = now.saturating_sub(before.updated_at);
            let is_noise = need >= before.decode * (1.0 - NOISE_SHARE);
            let half_life = if is_noise {
                NOISE_HALF_LIFE_SECS
            } else {
                SHRINK_HALF_LIFE_SECS
            };
            before.decode * decay::remaining(age, half_life)
        });
        let share = load.decode_share();
        Self {
            // Wrong counts of a peer claim no more than the pool.
            decode: need.max(held).clamp(0.0, engines),
            prefill: (load.prefill_rate / (pool.rate * TARGET_UTILIZATION)).clamp(0.0, engines),
            split: share < 1.0 - MIN_SHARE && (share >= MIN_SHARE || answers >= 1.0),
            load,
            updated_at: now,
        }
    }

    /// Number of `engines` in the decode lane; 0 if the pool is not split.
    pub(super) fn decode_lane_size(&self, engines: usize) -> usize {
        if !self.split || engines < 2 {
            return 0;
        }
        let both = self.decode + self.prefill;
        let available = engines as f64;
        let size = if both > available {
            available * self.decode / both
        } else {
            self.decode
        };
        let step = (engines / LANE_STEPS).max(1);
        let steps = (size / step as f64).ceil() as usize;
        (steps * step).clamp(1, engines - 1)
    }
}

impl Fleet {
    /// Records that a chosen request is in flight, until [`Self::answer_ended`].
    pub fn answer_started(&mut self, picked: &PickedEndpoint, now: Duration) {
        self.change_answers(picked, 1, now);
    }

    /// Records that a request of [`Self::answer_started`] has ended.
    pub fn answer_ended(&mut self, picked: &PickedEndpoint, now: Duration) {
        self.change_answers(picked, -1, now);
    }

    fn change_answers(&mut self, picked: &PickedEndpoint, change: i32, now: Duration) {
        if picked.long_answer {
            let lanes = self.lane_loads.entry(picked.endpoint.service.clone()).or_default();
            lanes.change_answers(change, now);
        }
    }

    /// Returns the decode lanes of large pools, sorted by service.
    pub fn lane_statuses(&self, now: Duration) -> Vec<LaneStatus> {
        let needs = self
            .lane_loads
            .iter()
            .filter_map(|(service, load)| Some((service, load.needs?)));
        let status = |(service, needs): (&ServiceId, LaneNeeds)| {
            let engines = self.available(service, now).count();
            LaneStatus {
                service: service.clone(),
                decode_lane: needs.decode_lane_size(engines),
                engines,
                load: needs.load,
            }
        };
        let mut statuses: Vec<LaneStatus> = needs.map(status).collect();
        statuses.sort_by(|a, b| a.service.cmp(&b.service));
        statuses
    }

    /// What the lanes of a service need, if its pool is large.
    pub(super) fn lane_needs(&self, service: &ServiceId) -> Option<LaneNeeds> {
        self.lane_loads.get(service)?.needs
    }

    /// Recomputes what the lanes of a service need.
    pub(super) fn update_lane_needs(&mut self, service: &ServiceId, now: Duration) {
        let own = self.lane_loads.get(service);
        let before = own.and_then(|own| own.needs);
        if before.is_some_and(|before| now.saturating_sub(before.updated_at) < NEEDS_TTL) {
            return;
        }
        let mut load = own.map(|own| own.current(now)).unwrap_or_default();
        load.add(&self.peer_backlogs.recent_lane_tokens(service, now));
        let pool = self.large_pool(service);
        let needs = pool.map(|pool| LaneNeeds::updated(before, load, pool, now));
        if needs != before {
            self.lane_loads.entry(service.clone()).or_default().needs = needs;
        }
    }

    /// The engines of a service, if they form a large pool.
    fn large_pool(&self, service: &ServiceId) -> Option<Pool> {
        let is_member = |state: &&EndpointState| state.entry.service == *service && !state.entry.draining;
        let slots = || {
            let members = self.endpoints.values().filter(is_member);
            members.map(|state| state.entry.slots)
        };
        let engines = slots().count();
        (engines >= MIN_LARGE_POOL && slots().all(|slots| slots >= MIN_SLOTS)).then(|| Pool {
            engines,
            slots: slots().map(f64::from).sum::<f64>() / engines as f64,
            rate: self.read_rate(service),
        })
    }
}
