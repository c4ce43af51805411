//! Splits a pool into two lanes: the decode lane for decode-heavy requests, and the prefill lane for prefill-heavy
//! ones.
//!
//! Load pattern: prompts of thousands of tokens mixed with short prompts that have long answers. An engine reads a
//! piece of a prompt between two generated tokens, so a long prompt, or several in a row, interrupts all of its
//! answers for longer than clients accept. Routers don't learn of each other's choices in time to avoid that. With
//! lanes assigned by hash they don't need to.

use super::Prompt;
use super::endpoint_state::EndpointState;
use crate::decay;
use placement::{EndpointKey, score};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::time::Duration;

/// Half-life of a request in the token counts.
const HALF_LIFE_SECS: f64 = 20.0;
/// Hash level that ranks endpoints for the decode lane.
const RANK_SEED: u64 = 0x1a9e;
/// Prior token counts, which dominate while little traffic was seen.
const PRIOR: LaneTokens = LaneTokens {
    reading: 40_000.0,
    generating: 20_000.0,
};
/// Smallest share of prompt tokens for which a kind of request gets a lane of its own.
const MIN_SHARE: f64 = 0.05;
/// Endpoints of the decode lane in proportion to its share of prompt tokens. Below 1 because its prompts are short,
/// and so is the wait for one of them.
const DECODE_LANE_WEIGHT: f64 = 0.7;
/// Pools with fewer slots per endpoint are not split: long answers would fill the slots of a few endpoints long
/// before their prompts use the endpoints' time.
const MIN_SLOTS: u32 = 32;
/// Number of steps in which the decode lane of a large pool grows. Each change moves prefixes from one lane to the
/// other, so it should be rare.
const LANE_STEPS: usize = 8;
/// Pools with fewer endpoints are not split.
const MIN_ENDPOINTS: usize = 4;

/// Rank of an endpoint; those that rank highest form the decode lane.
pub(crate) fn rank(endpoint: EndpointKey) -> u64 {
    score(RANK_SEED, endpoint)
}

/// Prompt tokens read recently for the requests of each lane.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct LaneTokens {
    /// Tokens of prefill-heavy requests.
    pub reading: f64,
    /// Tokens of decode-heavy requests.
    pub generating: f64,
}

/// Prompt tokens read for this router's requests, with exponential decay.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DecayingTokens {
    tokens: LaneTokens,
    updated_at: Duration,
}

impl DecayingTokens {
    /// Records a placed request that has `tokens` prompt tokens to read.
    pub(super) fn record(&mut self, prompt: &Prompt, tokens: u64, now: Duration) {
        self.tokens = self.current(now);
        self.updated_at = now;
        let lane = if prompt.is_decode_heavy() {
            &mut self.tokens.generating
        } else {
            &mut self.tokens.reading
        };
        *lane += tokens as f64;
    }

    pub(super) fn current(&self, now: Duration) -> LaneTokens {
        let factor = decay::remaining(now.saturating_sub(self.updated_at), HALF_LIFE_SECS);
        LaneTokens {
            reading: self.tokens.reading * factor,
            generating: self.tokens.generating * factor,
        }
    }
}

impl LaneTokens {
    pub(super) fn add(&mut self, other: &Self) {
        self.reading += other.reading;
        self.generating += other.generating;
    }

    /// Number of `endpoints` in the decode lane; 0 if the pool is not split.
    fn decode_lane_size(self, endpoints: usize) -> usize {
        let (reading, generating) = (self.reading + PRIOR.reading, self.generating + PRIOR.generating);
        let share = generating / (reading + generating);
        if endpoints < MIN_ENDPOINTS || !(MIN_SHARE..1.0 - MIN_SHARE).contains(&share) {
            return 0;
        }
        let step = (endpoints / LANE_STEPS).max(1);
        let steps = (DECODE_LANE_WEIGHT * share * endpoints as f64 / step as f64).round() as usize;
        (steps * step).clamp(1, endpoints - 1)
    }

    /// Endpoints of the decode lane, of all that serve now.
    pub(super) fn decode_lane(
        self,
        mut all: Vec<&EndpointState>,
        upcoming: impl Fn(&EndpointState) -> bool,
    ) -> Vec<EndpointKey> {
        if all.iter().any(|state| state.entry.slots < MIN_SLOTS) {
            return Vec::new();
        }
        let count = self.decode_lane_size(all.len());
        all.sort_by_cached_key(|state| (upcoming(state), Reverse(rank(state.key))));
        all.iter().take(count).map(|state| state.key).collect()
    }
}
