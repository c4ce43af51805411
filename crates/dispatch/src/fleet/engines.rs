//! Model engines: requests go where their prompt's prefix is cached.
//!
//! Load pattern: prompts that share long nested prefixes, over engines whose memory holds a part of them. The placer ranks engines by
//! hashes of the nested levels and weighs what would have to be read again against what waits there.

use super::known::Known;
use super::{Choice, Fleet, PickContext, PickedEndpoint, ShortKey};
use ids::{Incarnation, ModelId};
use placement::{Candidate, Placer, PrefixChain};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Tokens of a block in the placer's eyes: fine enough for parts of a hundred tokens, which are most of a short prompt's, and coarse
/// enough for few hashes a prompt.
const BLOCK: u64 = 32;
/// Tokens a second that an engine of the sites reads of a prompt.
pub(super) const PREFILL_RATE: f64 = 80_000.0;
/// Prompt tokens that are assumed for each request that waits inside an engine, whoever sent it: the sites' mean.
const WAITING_TOKENS: f64 = 1_500.0;
/// What a running request costs a new one, as prompt tokens: each step of the batch takes longer by it.
const RUNNING_TOKENS: f64 = 60.0;
/// Prompt tokens that an engine of the sites reads in the time that one generated token takes of a full batch: a step of some
/// 5 ms for 12 to 24 tokens, and 82 prompt tokens a millisecond.
const GENERATED_TOKENS: u64 = 20;
/// Requests for each slot that this router may have at an engine; more only wait there behind each other.
const DEPTH: u32 = 2;
/// Least speed in the placer's eyes of an engine that fails.
const LEAST_SPEED: f64 = 0.1;
/// Bits of an incarnation's number that are left to the weights: an engine drops its cache for new ones.
const WEIGHTS_BITS: u32 = 16;

/// What waits more at the endpoints of its own lane before a prompt goes to those of the other, as prompt tokens.
const APART_TOKENS: u64 = 8_000;
/// Share of homes that endpoints of the other lane get.
const APART_WEIGHT: f64 = 0.001;

/// Seed of the number that is drawn for a prefix.
const DRAW: u64 = 0xd4a3;

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Stands for its text.
    pub id: u64,
    /// Its length.
    pub tokens: u64,
}

/// A prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// The model.
    pub model: ModelId,
    /// Parts in order; the last one is the request's own.
    pub parts: Vec<PromptPart>,
    /// Prompt tokens in all.
    pub tokens: u64,
    /// Most tokens that are generated.
    pub max_output: u64,
}

impl Prompt {
    /// Parts that other requests may share: all but the last.
    pub fn shared(&self) -> &[PromptPart] {
        let last = self.parts.len().saturating_sub(1);
        &self.parts[..last]
    }

    /// Whether an engine spends more time on the answer than on reading the prompt.
    pub fn is_decode_heavy(&self) -> bool {
        self.max_output * GENERATED_TOKENS > self.tokens
    }

    /// A number from 0 to 1 that is drawn for the innermost shared prefix, the same at every router, so that its requests stay
    /// together.
    pub(super) fn draw(&self) -> f64 {
        let last = self.shared().last().or(self.parts.last());
        let hash = last.map_or(0, |part| xxh3_64_with_seed(&part.id.to_le_bytes(), DRAW));
        hash as f64 / u64::MAX as f64
    }

    fn chain(&self, seed: u64) -> PrefixChain {
        let mut blocks = Vec::new();
        let mut levels = Vec::new();
        let mut last = seed;
        let mut tokens = 0;
        for part in self.shared() {
            last = xxh3_64_with_seed(&part.id.to_le_bytes(), last);
            tokens += part.tokens;
            while (blocks.len() as u64) < tokens / BLOCK {
                last = xxh3_64_with_seed(b"block", last);
                blocks.push(last);
            }
            levels.push(blocks.len());
        }
        PrefixChain::from_hashes(seed, blocks, &levels)
    }
}

impl Fleet {
    pub(super) fn choose_engine(
        &self,
        placer: &mut Placer,
        wish: &PickContext<'_>,
        mut open: Vec<&Known>,
        draw: u64,
        now: Duration,
    ) -> Choice {
        let Some(prompt) = wish.prompt else {
            return Choice::Unavailable;
        };
        let chain = prompt.chain(seed(wish));
        open.sort_by_key(|known| known.key);
        let apart = self.apart(wish, prompt, now);
        let candidate = |known: &&Known| self.candidate(known, prompt, apart(known), now);
        let candidates: Vec<Candidate> = open.iter().map(candidate).collect();
        let placement::Choice::At(pick) = placer.choose(&chain, &candidates, now, draw) else {
            return Choice::Full;
        };
        let Candidate {
            endpoint, incarnation, ..
        } = candidates[pick.index];
        let known = open[pick.index];
        let picked = PickedEndpoint {
            endpoint: known.entry.clone(),
            weights: known.weights(&prompt.model),
            prefill: prompt.tokens.saturating_sub(pick.cached as u64 * BLOCK),
            reason: reason(pick.reason),
        };
        placer.learn(
            endpoint,
            incarnation,
            &chain,
            pick.cached.min(chain.blocks().len()),
            now,
        );
        Choice::Endpoint(picked)
    }

    /// What is ahead of a new request there, as prompt tokens.
    pub(super) fn queued(&self, known: &Known, now: Duration) -> u64 {
        let held_up = known.held_up(PREFILL_RATE, now).as_secs_f64() * PREFILL_RATE;
        let told = self.others.tokens(ShortKey::from(known.key)) as f64;
        let reported = known.waiting(now) * WAITING_TOKENS;
        let others = told.max(reported).max(held_up) + known.running(now) * RUNNING_TOKENS;
        known.prefill() + others as u64
    }

    fn candidate(&self, known: &Known, prompt: &Prompt, apart: bool, now: Duration) -> Candidate {
        let weights = known.weights(&prompt.model).unwrap_or_default();
        Candidate {
            endpoint: known.key,
            incarnation: Incarnation((known.entry.incarnation.0 << WEIGHTS_BITS) | (weights & 0xffff)),
            same_domain: known.entry.domain == self.settings.domain,
            in_flight: known.in_flight(),
            limit: known.entry.slots.max(1) * DEPTH,
            queued: self.queued(known, now) + if apart { APART_TOKENS } else { 0 },
            speed: (1.0 - known.trouble(now)).max(LEAST_SPEED),
            weight: if apart { APART_WEIGHT } else { 1.0 },
        }
    }
}

/// Prefixes of an isolated workspace have homes of their own.
fn seed(wish: &PickContext<'_>) -> u64 {
    wish.isolated
        .map_or(0, |workspace| xxh3_64_with_seed(workspace.as_str().as_bytes(), 1))
}

pub(super) fn placer() -> Placer {
    Placer::builder()
        .block_tokens(BLOCK as u32)
        .prefill_rate(PREFILL_RATE)
        .build()
}

fn reason(reason: placement::Reason) -> &'static str {
    match reason {
        placement::Reason::Home => "home",
        placement::Reason::Spill => "spill",
        placement::Reason::Learnt => "learnt",
        placement::Reason::Drawn => "drawn",
    }
}
