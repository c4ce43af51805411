//! Splits a pool into two lanes: the decode lane for decode-heavy requests, and the prefill lane for prefill-heavy
//! ones.
//!
//! Load pattern: prompts of thousands of tokens mixed with short prompts that have long answers. An engine reads a
//! piece of a prompt between two generated tokens, so a long prompt, or several in a row, interrupts all of its
//! answers for longer than clients accept. Routers don't learn of each other's choices in time to avoid that. With
//! lanes assigned by hash they don't need to.
//!
//! In large pools the decode lane is also sized by the slots that running answers occupy; see [`super::lane_size`].

use super::endpoint_state::EndpointState;
use super::lane_size::LaneNeeds;
use super::{PickContext, PickedEndpoint};
use crate::decay;
use placement::{EndpointKey, score};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::f64::consts::LN_2;
use std::time::Duration;

/// Half-life of a request in the token counts.
const HALF_LIFE_SECS: f64 = 20.0;
/// Half-life of the recent tokens and of the answers in flight. New weights and bursts change the load within seconds.
const RECENT_HALF_LIFE_SECS: f64 = 2.0;
/// How long the rank of a decode-heavy request counts. At 200 requests per second, each of hundreds of routers places
/// one every few seconds.
const RANK_TTL: Duration = Duration::from_secs(10);
/// Hash level that ranks endpoints for the decode lane.
const RANK_SEED: u64 = 0x1a9e;
/// Prior token counts, which dominate while little traffic was seen.
const PRIOR_READING: f64 = 40_000.0;
const PRIOR_GENERATING: f64 = 20_000.0;
/// Smallest share of prompt tokens for which a kind of request gets a lane of its own.
pub(super) const MIN_SHARE: f64 = 0.05;
/// Endpoints of the decode lane in proportion to its share of prompt tokens. Below 1 because its prompts are short,
/// and so is the wait for one of them.
const DECODE_LANE_WEIGHT: f64 = 0.7;
/// Pools with fewer slots per endpoint are not split: long answers would fill the slots of a few endpoints long
/// before their prompts use the endpoints' time.
pub(super) const MIN_SLOTS: u32 = 32;
/// Number of steps in which the decode lane of a large pool grows. Each change moves prefixes from one lane to the
/// other, so it should be rare.
const LANE_STEPS: usize = 8;
/// Pools with fewer endpoints are not split.
const MIN_ENDPOINTS: usize = 4;

/// Rank of an endpoint; those that rank highest form the decode lane.
pub(crate) fn rank(endpoint: EndpointKey) -> u64 {
    score(RANK_SEED, endpoint)
}

/// Load of the requests of each lane. Routers that omit the later fields are counted by their prompt tokens only.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct LaneTokens {
    /// Tokens of prefill-heavy requests.
    pub reading: f64,
    /// Tokens of decode-heavy requests.
    pub generating: f64,
    /// Prompt tokens of prefill-heavy requests, cold caches included, per second over the last few seconds.
    #[serde(default)]
    pub prefill_rate: f64,
    /// The same of decode-heavy requests.
    #[serde(default)]
    pub decode_rate: f64,
    /// Decode-heavy requests in flight, smoothed over the last few seconds.
    #[serde(default)]
    pub answers: f64,
}

/// Prompt tokens of each lane, with exponential decay.
#[derive(Debug, Clone, Copy, Default)]
struct DecayingTokens {
    reading: f64,
    generating: f64,
    updated_at: Duration,
}

impl DecayingTokens {
    fn record(&mut self, is_decode_heavy: bool, tokens: u64, half_life: f64, now: Duration) {
        *self = self.decayed(half_life, now);
        let lane = if is_decode_heavy {
            &mut self.generating
        } else {
            &mut self.reading
        };
        *lane += tokens as f64;
    }

    fn decayed(self, half_life: f64, now: Duration) -> Self {
        let factor = decay::remaining(now.saturating_sub(self.updated_at), half_life);
        Self {
            reading: self.reading * factor,
            generating: self.generating * factor,
            updated_at: now,
        }
    }
}

/// A number of requests in flight, smoothed.
#[derive(Debug, Clone, Copy, Default)]
struct SmoothedCount {
    count: u32,
    mean: f64,
    updated_at: Duration,
}

impl SmoothedCount {
    fn current(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at);
        let count = f64::from(self.count);
        count + (self.mean - count) * decay::remaining(age, RECENT_HALF_LIFE_SECS)
    }

    fn set(&mut self, count: u32, now: Duration) {
        self.mean = self.current(now);
        self.count = count;
        self.updated_at = now;
    }
}

/// This router's requests to a service, by lane, and what their lanes need.
#[derive(Debug, Clone, Default)]
pub(super) struct LaneLoad {
    tokens: DecayingTokens,
    recent_tokens: DecayingTokens,
    answers: SmoothedCount,
    /// Most urgent rank of decode-heavy requests, and when one was last placed.
    answer_rank: Option<(u8, Duration)>,
    /// What the lanes need, if the pool is large.
    pub(super) needs: Option<LaneNeeds>,
}

impl LaneLoad {
    /// Records a placed request.
    pub(super) fn record(&mut self, context: &PickContext<'_>, picked: &PickedEndpoint, now: Duration) {
        let is_decode_heavy = picked.long_answer;
        self.tokens
            .record(is_decode_heavy, picked.warm_prefill, HALF_LIFE_SECS, now);
        self.recent_tokens
            .record(is_decode_heavy, picked.prefill, RECENT_HALF_LIFE_SECS, now);
        if is_decode_heavy {
            let known = self.most_urgent_answer(now).unwrap_or(u8::MAX);
            if context.rank <= known {
                self.answer_rank = Some((context.rank, now));
            }
        }
    }

    /// Most urgent rank of the decode-heavy requests placed recently.
    pub(super) fn most_urgent_answer(&self, now: Duration) -> Option<u8> {
        let (rank, at) = self.answer_rank?;
        (now.saturating_sub(at) < RANK_TTL).then_some(rank)
    }

    /// Changes the number of decode-heavy requests in flight.
    pub(super) fn change_answers(&mut self, change: i32, now: Duration) {
        let count = self.answers.count.saturating_add_signed(change);
        self.answers.set(count, now);
    }

    pub(super) fn current(&self, now: Duration) -> LaneTokens {
        let tokens = self.tokens.decayed(HALF_LIFE_SECS, now);
        let recent = self.recent_tokens.decayed(RECENT_HALF_LIFE_SECS, now);
        // Sum of a constant rate with exponential decay, per second.
        let per_sec = LN_2 / RECENT_HALF_LIFE_SECS;
        LaneTokens {
            reading: tokens.reading,
            generating: tokens.generating,
            prefill_rate: recent.reading * per_sec,
            decode_rate: recent.generating * per_sec,
            answers: self.answers.current(now),
        }
    }
}

impl LaneTokens {
    pub(super) fn add(&mut self, other: &Self) {
        self.reading += other.reading;
        self.generating += other.generating;
        self.prefill_rate += other.prefill_rate;
        self.decode_rate += other.decode_rate;
        self.answers += other.answers;
    }

    /// Share of the decode-heavy requests in the prompt tokens.
    pub(super) fn decode_share(&self) -> f64 {
        let (reading, generating) = (self.reading + PRIOR_READING, self.generating + PRIOR_GENERATING);
        generating / (reading + generating)
    }

    /// Number of `endpoints` in the decode lane; 0 if the pool is not split.
    pub(super) fn decode_lane_size(self, endpoints: usize) -> usize {
        let share = self.decode_share();
        if endpoints < MIN_ENDPOINTS || !(MIN_SHARE..1.0 - MIN_SHARE).contains(&share) {
            return 0;
        }
        let step = (endpoints / LANE_STEPS).max(1);
        let steps = (DECODE_LANE_WEIGHT * share * endpoints as f64 / step as f64).round() as usize;
        (steps * step).clamp(1, endpoints - 1)
    }
}

/// Returns the first `count` endpoints by the order in which they join the decode lane; the greater `is_last`, the later.
pub(super) fn decode_lane(
    mut all: Vec<&EndpointState>,
    count: usize,
    is_last: impl Fn(&EndpointState) -> (bool, bool),
) -> Vec<EndpointKey> {
    if all.iter().any(|state| state.entry.slots < MIN_SLOTS) {
        return Vec::new();
    }
    all.sort_by_cached_key(|state| (is_last(state), Reverse(rank(state.key))));
    all.iter().take(count).map(|state| state.key).collect()
}
