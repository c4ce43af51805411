//! How fast the engines of a service read prompts, learnt from the delays of first events.
//!
//! Load pattern: engines of unknown speed, of which a router sees a few long prompts a second. Some samples waited
//! behind prompts that this router doesn't know of, others found more of their prompt in the cache than expected, so the
//! median is used.

use super::Fleet;
use ids::ServiceId;
use std::collections::VecDeque;
use std::time::Duration;

/// Prompt tokens per second assumed until enough samples are known.
const PRIOR: f64 = 80_000.0;
/// Samples until the prior is no longer used.
const MIN_SAMPLES: usize = 5;
/// Samples that are kept.
const MAX_SAMPLES: usize = 31;
/// Shorter prompts tell more about the round trip than about the engine.
const MIN_TOKENS: u64 = 1_000;
/// Bounds of the rate, in tokens per second.
const MIN_RATE: f64 = 5_000.0;
const MAX_RATE: f64 = 1_000_000.0;

/// Rate at which the engines of a service read prompts.
#[derive(Debug, Clone, Default)]
pub(super) struct ReadRate {
    samples: VecDeque<f64>,
    median: Option<f64>,
}

impl ReadRate {
    /// Records that the first event came `waited` after a request was sent that had this many tokens to read,
    /// including those queued ahead of it.
    pub(super) fn record(&mut self, tokens: u64, waited: Duration) {
        if tokens < MIN_TOKENS || waited.is_zero() {
            return;
        }
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(tokens as f64 / waited.as_secs_f64());
        let mut sorted: Vec<f64> = self.samples.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        let median = sorted[sorted.len() / 2].clamp(MIN_RATE, MAX_RATE);
        self.median = (sorted.len() >= MIN_SAMPLES).then_some(median);
    }

    /// Prompt tokens that an engine reads per second.
    pub(super) fn tokens_per_sec(&self) -> f64 {
        self.median.unwrap_or(PRIOR)
    }
}

impl Fleet {
    /// Records that the first event came `waited` after a request was sent that had this many prompt tokens to be read,
    /// including those queued ahead of it.
    pub fn record_read(&mut self, service: &ServiceId, tokens: u64, waited: Duration) {
        let rate = self.read_rates.entry(service.clone()).or_default();
        rate.record(tokens, waited);
    }

    /// Prompt tokens that an engine of a service reads per second.
    pub(super) fn read_rate(&self, service: &ServiceId) -> f64 {
        let rate = self.read_rates.get(service);
        rate.map_or(PRIOR, ReadRate::tokens_per_sec)
    }
}
