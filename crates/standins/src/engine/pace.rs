//! The duration of prefill and decode. Concurrent prefills share the engine's rate; a larger batch slows each token.

use super::generate::Job;
use async_std::task;
use std::time::Duration;

const PREFILL_TICK: Duration = Duration::from_millis(5);
/// The batch size at which a token takes twice as long.
const DOUBLING_BATCH: f64 = 32.0;

impl Job {
    /// Waits for the prefill of `tokens`, then caches the blocks of the prompt. Returns false if the request was
    /// cancelled or the engine crashed.
    pub(super) async fn prefill(&self, tokens: u64) -> bool {
        if self.engine.args.prefill_rate > 0 && tokens > 0 {
            let mut left = tokens as f64;
            let mut reported = tokens as i64;
            self.add_prefilling(1, reported);
            while left > 0.0 && !self.is_cancelled() {
                left -= self.prefill_tick(left).await;
                self.add_prefilling(0, left as i64 - reported);
                reported = left as i64;
            }
            self.add_prefilling(-1, -reported);
        }
        if self.is_cancelled() {
            return false;
        }
        let mut state = self.engine.lock();
        if state
            .weights
            .as_ref()
            .is_some_and(|weights| weights.as_str() == self.weights)
        {
            let changes = state.cache.store(&self.scope, &self.hashes);
            self.engine.announce(&mut state, changes);
        }
        true
    }

    async fn prefill_tick(&self, left: f64) -> f64 {
        let (concurrent, slow_percent) = {
            let state = self.engine.lock();
            (state.prefilling.0.max(1), state.fault.slow_percent.unwrap_or(100))
        };
        let rate =
            self.engine.args.prefill_rate as f64 * 100.0 / f64::from(slow_percent.max(1)) / f64::from(concurrent);
        let tick = PREFILL_TICK.min(Duration::from_secs_f64(left / rate));
        let from = self.engine.now();
        task::sleep(tick).await;
        // Uses the measured time, because timers fire late on a busy machine.
        (rate * (self.engine.now() - from).as_secs_f64()).min(left)
    }

    fn add_prefilling(&self, requests: i32, tokens: i64) {
        let mut state = self.engine.lock();
        if state.incarnation != self.incarnation {
            return;
        }
        let (count, left) = state.prefilling;
        state.prefilling = (
            count.saturating_add_signed(requests),
            left.saturating_add_signed(tokens),
        );
    }

    pub(super) async fn decode_pause(&self) {
        let base = self.engine.args.decode_ms;
        if base == 0.0 {
            return;
        }
        let (running, slow_percent) = {
            let state = self.engine.lock();
            (state.slots.counts().0, state.fault.slow_percent.unwrap_or(100))
        };
        let pause_ms = base * (1.0 + f64::from(running) / DOUBLING_BATCH) * f64::from(slow_percent) / 100.0;
        task::sleep(Duration::from_secs_f64(pause_ms / 1000.0)).await;
    }
}
