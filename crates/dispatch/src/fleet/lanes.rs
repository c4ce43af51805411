//! Which endpoints read long prompts, and which ones generate long answers.
//!
//! Load pattern: prompts of thousands of tokens among short ones with long answers. An engine reads prompts one after the other, so a
//! short one behind two long ones is late, whatever its own length. Routers don't see each other's choices in time to avoid that; kept
//! apart by hash, they need not.

use super::Prompt;
use super::known::Known;
use crate::fade;
use placement::{EndpointKey, score};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::time::Duration;

/// Time in which a request loses half of its weight in the shares, seconds.
const HALF: f64 = 20.0;
/// Time in which a change of the long answers that run counts half, seconds.
const ANSWERS_HALF: f64 = 3.0;
/// Share of the slots of an endpoint for long answers that is meant to be taken.
const FULL: f64 = 0.75;
/// Level of the hash that ranks endpoints for the lane of long answers.
const LEVEL: u64 = 0x1a9e;
/// What is assumed besides of a service of which little was seen.
const ASSUMED: Reads = Reads {
    reading: 40_000.0,
    generating: 20_000.0,
    answers: 0.0,
};
/// Share of what is read below which a kind of request gets no endpoints of its own.
const RARE: f64 = 0.05;
/// Weight of long answers.
const WEIGHT: f64 = 0.7;
/// Fewer endpoints than this are not divided.
const LEAST: usize = 4;

/// The endpoints that rank highest generate long answers.
pub(crate) fn rank(endpoint: EndpointKey) -> u64 {
    score(LEVEL, endpoint)
}

/// Prompt tokens that were read lately for requests of each lane.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Reads {
    /// Of long prompts.
    pub reading: f64,
    /// Before long answers.
    pub generating: f64,
    /// Long answers that were generated at a time.
    pub answers: f64,
}

/// What this router's requests have had read and are having generated, with less weight the longer ago.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Fading {
    reads: Reads,
    /// Long answers that are being generated.
    running: u32,
    at: Duration,
}

impl Fading {
    /// A request was placed that has this many prompt tokens read.
    pub(super) fn count(&mut self, prompt: &Prompt, tokens: u64, now: Duration) {
        self.fade(now);
        let lane = if prompt.mostly_generates() {
            &mut self.reads.generating
        } else {
            &mut self.reads.reading
        };
        *lane += tokens as f64;
    }

    /// A long answer begins.
    pub(super) fn begins(&mut self, now: Duration) {
        self.fade(now);
        self.running += 1;
    }

    /// A long answer has ended.
    pub(super) fn ended(&mut self, now: Duration) {
        self.fade(now);
        self.running = self.running.saturating_sub(1);
    }

    pub(super) fn reads(&self, now: Duration) -> Reads {
        let age = now.saturating_sub(self.at);
        let left = fade::left(age, HALF);
        let before = fade::left(age, ANSWERS_HALF);
        Reads {
            reading: self.reads.reading * left,
            generating: self.reads.generating * left,
            answers: self.reads.answers * before + f64::from(self.running) * (1.0 - before),
        }
    }

    fn fade(&mut self, now: Duration) {
        self.reads = self.reads(now);
        self.at = now;
    }
}

impl Reads {
    pub(super) fn add(&mut self, other: &Self) {
        self.reading += other.reading;
        self.generating += other.generating;
        self.answers += other.answers;
    }

    /// How many endpoints of `slots` each the long answers get; 0 if all go everywhere.
    fn generating_lane(self, endpoints: usize, slots: f64) -> usize {
        let (reading, generating) = (self.reading + ASSUMED.reading, self.generating + ASSUMED.generating);
        let share = generating / (reading + generating);
        if endpoints < LEAST || !(RARE..1.0 - RARE).contains(&share) {
            return 0;
        }
        let for_reading = (WEIGHT * share * endpoints as f64).round();
        let for_answers = (self.answers / (slots * FULL)).round();
        (for_reading.max(for_answers) as usize).clamp(1, endpoints - 1)
    }

    /// Endpoints for long answers, of all that serve now.
    pub(super) fn lane(self, mut all: Vec<&Known>, coming: impl Fn(&Known) -> bool) -> Vec<EndpointKey> {
        let slots: u32 = all.iter().map(|known| known.entry.slots.max(1)).sum();
        let count = self.generating_lane(all.len(), f64::from(slots) / all.len().max(1) as f64);
        all.sort_by_key(|known| (coming(known), Reverse(rank(known.key))));
        all.iter().take(count).map(|known| known.key).collect()
    }
}
