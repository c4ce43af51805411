//! Which endpoints read long prompts, and which ones generate long answers.
//!
//! Load pattern: prompts of thousands of tokens among short ones with long answers. An engine reads a piece of a prompt between two tokens
//! of the answers that it generates, so a long prompt, or several in a row, stops all of these for longer than their callers accept.
//! Routers don't see each other's choices in time to avoid that; kept apart by hash, they need not.

use super::Prompt;
use super::known::Known;
use crate::fade;
use placement::{EndpointKey, score};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::time::Duration;

/// Time in which a request loses half of its weight in the shares, seconds.
const HALF: f64 = 20.0;
/// Level of the hash that ranks endpoints for the lane of long answers.
const LEVEL: u64 = 0x1a9e;
/// What is assumed besides of a service of which little was seen.
const ASSUMED: LaneTokens = LaneTokens {
    reading: 40_000.0,
    generating: 20_000.0,
};
/// Share of what is read below which a kind of request gets no endpoints of its own.
const RARE: f64 = 0.05;
/// Endpoints of the lane of long answers for its share of what is read: its prompts are short, and so is the wait behind one of them.
const WEIGHT: f64 = 0.7;
/// Endpoints with fewer slots than this are not divided: long answers fill the slots of a few endpoints long before their prompts take up
/// the time of those.
const LEAST_SLOTS: u32 = 32;
/// Steps in which the lane of a large pool grows: each change moves prefixes from one lane to the other.
const STEPS: usize = 8;
/// Fewer endpoints than this are not divided.
const LEAST: usize = 4;

/// The endpoints that rank highest generate long answers.
pub(crate) fn rank(endpoint: EndpointKey) -> u64 {
    score(LEVEL, endpoint)
}

/// Prompt tokens that were read lately for requests of each lane.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct LaneTokens {
    /// Of long prompts.
    pub reading: f64,
    /// Before long answers.
    pub generating: f64,
}

/// What this router's requests have had read, with less weight the longer ago.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Fading {
    reads: LaneTokens,
    at: Duration,
}

impl Fading {
    /// A request was placed that has this many prompt tokens read.
    pub(super) fn count(&mut self, prompt: &Prompt, tokens: u64, now: Duration) {
        self.reads = self.reads(now);
        self.at = now;
        let lane = if prompt.is_decode_heavy() {
            &mut self.reads.generating
        } else {
            &mut self.reads.reading
        };
        *lane += tokens as f64;
    }

    pub(super) fn reads(&self, now: Duration) -> LaneTokens {
        let left = fade::left(now.saturating_sub(self.at), HALF);
        LaneTokens {
            reading: self.reads.reading * left,
            generating: self.reads.generating * left,
        }
    }
}

impl LaneTokens {
    pub(super) fn add(&mut self, other: &Self) {
        self.reading += other.reading;
        self.generating += other.generating;
    }

    /// How many of `endpoints` the long answers get; 0 if all go everywhere.
    fn generating_lane(self, endpoints: usize) -> usize {
        let (reading, generating) = (self.reading + ASSUMED.reading, self.generating + ASSUMED.generating);
        let share = generating / (reading + generating);
        if endpoints < LEAST || !(RARE..1.0 - RARE).contains(&share) {
            return 0;
        }
        let step = (endpoints / STEPS).max(1);
        let steps = (WEIGHT * share * endpoints as f64 / step as f64).round() as usize;
        (steps * step).clamp(1, endpoints - 1)
    }

    /// Endpoints for long answers, of all that serve now.
    pub(super) fn lane(self, mut all: Vec<&Known>, coming: impl Fn(&Known) -> bool) -> Vec<EndpointKey> {
        if all.iter().any(|known| known.entry.slots < LEAST_SLOTS) {
            return Vec::new();
        }
        let count = self.generating_lane(all.len());
        all.sort_by_cached_key(|known| (coming(known), Reverse(rank(known.key))));
        all.iter().take(count).map(|known| known.key).collect()
    }
}
