//! Expected slot time of jobs, learnt from the jobs that ended.
//!
//! Load pattern: prompts from ten to a hundred thousand tokens, answers from one to thousands, calls without tokens.
//! Without this model a queue can only count requests. Deadlines that cannot be met are not recognised, and a workspace
//! with long prompts gets several times its share.
//!
//! Time to first token is a linear function of the uncached prompt tokens: a constant overhead per request and a time
//! per token, fitted by least squares over recent jobs. The rest of the slot time is proportional to the output tokens.
//! Older jobs decay.

use crate::Tokens;
use std::time::Duration;

/// Decay factor of a sample per job. About the last 100 jobs count: a pool that becomes slow is noticed within some
/// seconds at tens of jobs a second, while one outlier moves the estimates by a hundredth.
const DECAY: f64 = 0.99;
/// Initial assumptions, with the weight of a few jobs. Engines prefill in the order of 10,000 tokens a second and
/// decode 50 tokens a second per request.
const PREFILL_SECONDS: f64 = 1e-4;
const DECODE_SECONDS: f64 = 0.02;
const REQUEST_SECONDS: f64 = 0.02;
/// Token counts of the initial samples.
const PRIOR_PROMPTS: [f64; 2] = [0.0, 2_000.0];
const PRIOR_OUTPUT: f64 = 100.0;
/// After this many jobs the initial assumptions weigh less than the samples.
const MIN_JOBS: u32 = 5;
/// Minimum variance term of the prompt lengths (tokens squared, weighted) for a slope. Below it the samples of other
/// lengths have decayed to rounding errors, and the quotient would be arbitrary.
const MIN_VARIANCE: f64 = 1.0;
/// Lower bound of estimates, so that no job is free and divisions by zero cannot occur.
const MIN_SECONDS: f64 = 1e-4;

/// Estimates the slot time of a job from its tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceModel {
    weight_sum: f64,
    prompt_sum: f64,
    square_sum: f64,
    first_sum: f64,
    product_sum: f64,
    output_sum: f64,
    decode_sum: f64,
    jobs: u32,
}

impl Default for ServiceModel {
    fn default() -> Self {
        let mut model = Self {
            weight_sum: 0.0,
            prompt_sum: 0.0,
            square_sum: 0.0,
            first_sum: 0.0,
            product_sum: 0.0,
            output_sum: PRIOR_OUTPUT,
            decode_sum: PRIOR_OUTPUT * DECODE_SECONDS,
            jobs: 0,
        };
        for prompt in PRIOR_PROMPTS {
            model.add_sample(prompt, REQUEST_SECONDS + prompt * PREFILL_SECONDS);
        }
        model
    }
}

impl ServiceModel {
    /// Records a job that ended: its tokens, its time to first token and its total slot time.
    pub fn observe(&mut self, tokens: Tokens, first_token: Duration, total: Duration) {
        self.jobs = self.jobs.saturating_add(1);
        self.weight_sum *= DECAY;
        self.prompt_sum *= DECAY;
        self.square_sum *= DECAY;
        self.first_sum *= DECAY;
        self.product_sum *= DECAY;
        self.add_sample(tokens.uncached as f64, first_token.as_secs_f64());
        if tokens.output == 0 {
            return;
        }
        self.output_sum = self.output_sum * DECAY + tokens.output as f64;
        self.decode_sum = self.decode_sum * DECAY + total.saturating_sub(first_token).as_secs_f64();
    }

    /// Whether enough jobs have ended for the estimates to be used against deadlines.
    pub fn is_trained(&self) -> bool {
        self.jobs >= MIN_JOBS
    }

    /// Expected time to first token of a job that holds a slot, seconds.
    pub fn first_token(&self, uncached: u64) -> f64 {
        let (request, token) = self.fit_line();
        (request + token * uncached as f64).max(MIN_SECONDS)
    }

    /// Expected slot time of a job, seconds.
    pub fn seconds(&self, tokens: Tokens) -> f64 {
        self.first_token(tokens.uncached) + self.decode_sum / self.output_sum * tokens.output as f64
    }

    fn add_sample(&mut self, prompt: f64, seconds: f64) {
        self.weight_sum += 1.0;
        self.prompt_sum += prompt;
        self.square_sum += prompt * prompt;
        self.first_sum += seconds;
        self.product_sum += prompt * seconds;
    }

    /// Overhead per request and time per prompt token, both at least zero.
    fn fit_line(&self) -> (f64, f64) {
        let variance = self.weight_sum * self.square_sum - self.prompt_sum * self.prompt_sum;
        if variance <= (f64::EPSILON * self.weight_sum * self.square_sum).max(MIN_VARIANCE) {
            return (self.first_sum / self.weight_sum, 0.0);
        }
        let slope = (self.weight_sum * self.product_sum - self.prompt_sum * self.first_sum) / variance;
        let base = (self.first_sum - slope * self.prompt_sum) / self.weight_sum;
        if slope < 0.0 {
            return (self.first_sum / self.weight_sum, 0.0);
        }
        if base < 0.0 {
            return (0.0, self.product_sum / self.square_sum);
        }
        (base, slope)
    }
}
