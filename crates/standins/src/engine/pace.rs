//! How long prefill and decode take: prefill shares the engine's rate, a token takes longer in a larger batch.

use super::generate::Job;
use async_std::task;
use std::time::Duration;

const PREFILL_TICK: Duration = Duration::from_millis(5);
/// Requests in the batch that make each token take twice as long.
const BATCH_DOUBLES: f64 = 32.0;

impl Job {
    /// Shares the engine's rate with all that is being prefilled; false if the request ended meanwhile.
    pub(super) async fn prefill(&self, tokens: u64) -> bool {
        if self.engine.args.prefill_rate > 0 && tokens > 0 {
            let mut left = tokens as f64;
            let mut reported = tokens as i64;
            self.prefilling(1, reported);
            while left > 0.0 && !self.ended() {
                left -= self.prefill_tick(left).await;
                self.prefilling(0, left as i64 - reported);
                reported = left as i64;
            }
            self.prefilling(-1, -reported);
        }
        if self.ended() {
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
        let (sharing, slow) = {
            let state = self.engine.lock();
            (state.prefilling.0.max(1), state.fault.slow_percent.unwrap_or(100))
        };
        let rate = self.engine.args.prefill_rate as f64 * 100.0 / f64::from(slow.max(1)) / f64::from(sharing);
        let tick = PREFILL_TICK.min(Duration::from_secs_f64(left / rate));
        let from = self.engine.now();
        task::sleep(tick).await;
        // The tick as it was: a timer of a busy machine comes late.
        (rate * (self.engine.now() - from).as_secs_f64()).min(left)
    }

    fn prefilling(&self, requests: i32, tokens: i64) {
        let mut state = self.engine.lock();
        if state.incarnation != self.life {
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
        let (running, slow) = {
            let state = self.engine.lock();
            (state.slots.counts().0, state.fault.slow_percent.unwrap_or(100))
        };
        let grown = base * (1.0 + f64::from(running) / BATCH_DOUBLES) * f64::from(slow) / 100.0;
        task::sleep(Duration::from_secs_f64(grown / 1000.0)).await;
    }
}
