//! How long a job holds its slot, learnt from the jobs that ended.
//!
//! Load pattern: prompts from ten to a hundred thousand tokens, answers from one to thousands, calls without tokens.
//! Without it a queue can only count requests: a deadline that cannot be met looks like one that can, and a workspace
//! with long prompts takes the share of many.
//!
//! Time to first token is a line over the uncached prompt tokens (a request's own overhead and a time per token), fitted
//! by least squares over recent jobs; the rest is a time per output token. Older jobs fade.

use crate::Tokens;
use std::time::Duration;

/// Weight that is left of a job's sample after one more job: about the last 100 jobs count, so that a pool that becomes
/// slow is noticed within some seconds at tens of jobs a second while one odd job moves the figures by a hundredth.
const FADE: f64 = 0.99;
/// Assumed until jobs have ended: engines prefill in the order of 10,000 tokens a second and decode 50 a second for each
/// request; both are replaced by what is seen, their weight being that of a few jobs.
const PREFILL_SECONDS: f64 = 1e-4;
const DECODE_SECONDS: f64 = 0.02;
const REQUEST_SECONDS: f64 = 0.02;
/// Sizes of the assumed samples, tokens.
const PRIOR_PROMPTS: [f64; 2] = [0.0, 2_000.0];
const PRIOR_OUTPUT: f64 = 100.0;
/// After this many answers the assumptions above weigh less than what was seen.
const LEARNT: u32 = 5;
/// Below this spread of prompts (tokens squared, weighted) no slope can be told: the samples of other prompts have faded
/// to rounding errors, of which a quotient is any number.
const MIN_SPREAD: f64 = 1.0;
/// Never expect less, so that no job is free and no division by zero follows.
const MIN_SECONDS: f64 = 1e-4;

/// Expected slot time of a job, from its tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceModel {
    count: f64,
    prompt: f64,
    prompt_square: f64,
    first: f64,
    prompt_first: f64,
    output: f64,
    decode: f64,
    seen: u32,
}

impl Default for ServiceModel {
    fn default() -> Self {
        let mut model = Self {
            count: 0.0,
            prompt: 0.0,
            prompt_square: 0.0,
            first: 0.0,
            prompt_first: 0.0,
            output: PRIOR_OUTPUT,
            decode: PRIOR_OUTPUT * DECODE_SECONDS,
            seen: 0,
        };
        for prompt in PRIOR_PROMPTS {
            model.add_first(prompt, REQUEST_SECONDS + prompt * PREFILL_SECONDS);
        }
        model
    }
}

impl ServiceModel {
    /// Takes in a job that ended: its tokens, its time to the first token and the whole time it held its slot.
    pub fn observe(&mut self, tokens: Tokens, first_token: Duration, total: Duration) {
        self.seen = self.seen.saturating_add(1);
        self.count *= FADE;
        self.prompt *= FADE;
        self.prompt_square *= FADE;
        self.first *= FADE;
        self.prompt_first *= FADE;
        self.add_first(tokens.uncached as f64, first_token.as_secs_f64());
        if tokens.output == 0 {
            return;
        }
        self.output = self.output * FADE + tokens.output as f64;
        self.decode = self.decode * FADE + total.saturating_sub(first_token).as_secs_f64();
    }

    /// Whether enough jobs have ended to judge others by them.
    pub fn is_learnt(&self) -> bool {
        self.seen >= LEARNT
    }

    /// Expected time to the first token once the job has a slot, seconds.
    pub fn first_token(&self, uncached: u64) -> f64 {
        let (request, token) = self.line();
        (request + token * uncached as f64).max(MIN_SECONDS)
    }

    /// Expected time that the job holds its slot, seconds.
    pub fn seconds(&self, tokens: Tokens) -> f64 {
        self.first_token(tokens.uncached) + self.decode / self.output * tokens.output as f64
    }

    fn add_first(&mut self, prompt: f64, seconds: f64) {
        self.count += 1.0;
        self.prompt += prompt;
        self.prompt_square += prompt * prompt;
        self.first += seconds;
        self.prompt_first += prompt * seconds;
    }

    /// Overhead of a request and time of a prompt token, neither below zero.
    fn line(&self) -> (f64, f64) {
        let spread = self.count * self.prompt_square - self.prompt * self.prompt;
        if spread <= (f64::EPSILON * self.count * self.prompt_square).max(MIN_SPREAD) {
            return (self.first / self.count, 0.0);
        }
        let slope = (self.count * self.prompt_first - self.prompt * self.first) / spread;
        let base = (self.first - slope * self.prompt) / self.count;
        if slope < 0.0 {
            return (self.first / self.count, 0.0);
        }
        if base < 0.0 {
            return (0.0, self.prompt_first / self.prompt_square);
        }
        (base, slope)
    }
}
