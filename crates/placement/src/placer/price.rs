//! What it costs to send a request somewhere.
//!
//! Load pattern: a pool near its capacity. A request that leaves its busy home for an idle endpoint gains some wait, but
//! its prefix is computed again, which holds up all who come later and evicts what others need. Were recomputing weighed
//! like waiting, every queue would push requests away from their caches, the misses would lengthen the queues, and the
//! pool would stay in that state long after the load has gone: in the experiment a steady 80% load then collapses to a
//! hit rate of 0.7. So a miss has a price above its own time, and the price rises with the pool's mean wait.

use super::Candidate;
use std::time::Duration;

/// Settings of the price.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pricing {
    /// Tokens of a block.
    pub block_tokens: u32,
    /// Tokens a second that the pool's median endpoint prefills.
    pub prefill_rate: f64,
    /// What a request pays for an endpoint in another failure domain: there and back.
    pub domain_rtt: Duration,
    /// Price of a second of recomputing in an idle pool, in seconds of waiting.
    pub base: f64,
    /// Rise of the price for each second of mean wait.
    pub rise: f64,
}

/// The price at one moment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Price {
    pricing: Pricing,
    miss: f64,
}

impl Pricing {
    /// The price that the load of `candidates` makes.
    pub fn of(&self, candidates: &[Candidate]) -> Price {
        let queued: f64 = candidates.iter().map(|candidate| candidate.queued as f64).sum();
        let wait = queued / (self.prefill_rate * candidates.len().max(1) as f64);
        Price {
            pricing: *self,
            miss: self.base + self.rise * wait,
        }
    }
}

impl Price {
    /// Cost in seconds of a request that misses `missed` blocks at `candidate`.
    pub fn cost(&self, candidate: &Candidate, missed: f64) -> f64 {
        let domain_rtt = if candidate.same_domain {
            Duration::ZERO
        } else {
            self.pricing.domain_rtt
        };
        let tokens = missed.max(0.0) * f64::from(self.pricing.block_tokens);
        let work = candidate.queued as f64 + tokens * self.miss;
        work / (self.pricing.prefill_rate * candidate.speed.max(f64::MIN_POSITIVE)) + domain_rtt.as_secs_f64()
    }
}
