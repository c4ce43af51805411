//! Cost of placing a request at an endpoint.
//!
//! Load pattern: a pool near its capacity. A request that leaves its busy home for an idle endpoint waits less, but its
//! prefix is computed again, which delays later requests and evicts other prefixes. If recomputation were weighed like
//! waiting, every queue would push requests away from their caches, the misses would lengthen the queues, and the pool
//! would stay in that state long after the load has dropped. In simulations a steady 80% load then collapses to a hit
//! rate of 0.7. A miss is therefore priced above its own time, and the price rises with the pool's mean wait.

use super::Candidate;
use std::time::Duration;

/// Cost of an answer that comes late, in seconds of waiting.
const LATE_COST: f64 = 1.0;
/// Excess over [`Candidate::late_tokens`], as a share of them, at which an answer is certainly late. The queue is known
/// only roughly, so the cost rises gradually.
const LATE_RANGE: f64 = 0.5;

/// Settings of the price.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pricing {
    /// Tokens per block.
    pub block_tokens: u32,
    /// Prefill rate of the pool's median endpoint, in tokens per second.
    pub prefill_rate: f64,
    /// Round-trip time to an endpoint in another failure domain.
    pub domain_rtt: Duration,
    /// Price of a second of recomputation in an idle pool, in seconds of waiting.
    pub base: f64,
    /// Increase of the price per second of mean wait.
    pub rise: f64,
}

/// Price for the current load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Price {
    pricing: Pricing,
    miss_price: f64,
}

impl Pricing {
    /// Computes the price for the load of `candidates`.
    pub fn for_candidates(&self, candidates: &[Candidate]) -> Price {
        let queued: f64 = candidates.iter().map(|candidate| candidate.queued as f64).sum();
        let wait = queued / (self.prefill_rate * candidates.len().max(1) as f64);
        Price {
            pricing: *self,
            miss_price: self.base + self.rise * wait,
        }
    }
}

impl Price {
    /// Cost, in seconds, of a request with `missed_blocks` uncached blocks at `candidate`.
    pub fn cost(&self, candidate: &Candidate, missed_blocks: f64) -> f64 {
        let domain_rtt = if candidate.same_domain {
            Duration::ZERO
        } else {
            self.pricing.domain_rtt
        };
        let tokens = missed_blocks.max(0.0) * f64::from(self.pricing.block_tokens);
        let work = candidate.queued as f64 + tokens * self.miss_price;
        work / (self.pricing.prefill_rate * candidate.speed.max(f64::MIN_POSITIVE))
            + domain_rtt.as_secs_f64()
            + candidate.penalty
            + late_cost(candidate, candidate.queued as f64 + tokens)
    }
}

/// Cost of the delay that `tokens` to be read before the answer cause.
fn late_cost(candidate: &Candidate, tokens: f64) -> f64 {
    if candidate.late_tokens.is_infinite() {
        return 0.0;
    }
    let excess = tokens - candidate.late_tokens;
    LATE_COST * (excess / (candidate.late_tokens.max(1.0) * LATE_RANGE)).clamp(0.0, 1.0)
}
