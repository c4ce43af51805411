//! Whether a job can end before its deadline, and the retry-after of a refused one.

use super::Admission;
use crate::queue::{Key, LaneIndex, QueuedJob, Slots, WorkAhead};
use crate::reserve::Length;
use crate::{Reason, Refusal, Tokens};
use std::time::Duration;

/// Safety factor on the expected wait and service time when a job is admitted. Later checks use the plain wait, so that
/// an admitted job is refused only if conditions got worse, not because of rounding.
const ADMIT_MARGIN: f64 = 1.1;
/// Share of the time to the deadline that a job may be expected to wait. The rest is a margin for jobs that arrive
/// later and start earlier. Without it, in a lasting overload every admitted job is close to its deadline, and one in
/// ten misses it. Shorter waits also give earlier first tokens, and a queue of seconds keeps the slots as busy as a
/// longer one.
const WAIT_SHARE: f64 = 0.5;
/// Interval between checks of the waiting jobs. A refusal delayed by this much is still useful to a client with seconds
/// left. A check of 10,000 jobs in 250 workspaces takes about half a millisecond, a hundredth of a core.
pub(super) const CHECK_PERIOD: Duration = Duration::from_millis(50);
/// How long a pool without slots keeps its queue: restarting endpoints are back within about a second.
const EMPTY_GRACE: Duration = Duration::from_secs(1);
/// Retry-after of a pool without slots.
pub(super) const EMPTY_RETRY: Duration = Duration::from_secs(2);
/// Maximum retry-after: the load changes faster than a longer forecast holds.
const MAX_RETRY: Duration = Duration::from_secs(60);
/// Minimum retry-after: a shorter one is below the interval between two checks.
const MIN_RETRY: Duration = CHECK_PERIOD;

/// Retries of refused jobs are spread over this multiple of their service time, since new jobs arrive as well.
const RETRY_SPREAD: f64 = 1.5;
/// Upper bound of forecasts, so that sums of durations cannot overflow.
const MAX_SECONDS: f64 = 1e6;

impl Admission {
    /// Expected slot time of a job, seconds.
    pub(super) fn expected_seconds(&self, lane: LaneIndex, mut tokens: Tokens) -> f64 {
        if self.settings.mechanisms.learn {
            tokens.output = self.outputs.expected(lane, tokens.output);
        }
        self.model.seconds(tokens)
    }

    /// Latest start that lets a job end before its deadline.
    pub(super) fn latest_start(&self, lane: LaneIndex, tokens: Tokens, deadline: Duration, now: Duration) -> Duration {
        let expected = Duration::from_secs_f64(self.expected_seconds(lane, tokens) * ADMIT_MARGIN);
        if now + expected <= deadline {
            return deadline - expected;
        }
        deadline.saturating_sub(self.min_time(lane, tokens))
    }

    /// Lower bound of the time that a job needs, from observed jobs only. A new router has no observations, and clients
    /// allow more output than they use. If its initial assumptions were applied to deadlines, it would refuse jobs that
    /// would end in time, and would never observe them.
    fn min_time(&self, lane: LaneIndex, tokens: Tokens) -> Duration {
        if !self.model.is_trained() {
            return Duration::ZERO;
        }
        if self.settings.mechanisms.learn && !self.outputs.has_history(lane, tokens.output) {
            return Duration::from_secs_f64(self.model.first_token(tokens.uncached));
        }
        Duration::from_secs_f64(self.expected_seconds(lane, tokens) * ADMIT_MARGIN)
    }

    /// Returns the refusal of a job that must not be admitted. `idle` means that the job can start now.
    pub(super) fn check_admission(
        &mut self,
        lane: LaneIndex,
        key: Key,
        job: &QueuedJob,
        idle: bool,
        now: Duration,
    ) -> Option<Refusal> {
        let full = !idle && self.positions.len() >= self.settings.max_queued;
        if !self.settings.mechanisms.refuse {
            return full.then_some(Refusal {
                reason: Reason::Overloaded,
                retry_after: Some(EMPTY_RETRY),
            });
        }
        let until_latest = job
            .latest_start
            .map_or(Some(Duration::MAX), |latest| latest.checked_sub(now));
        let Some(until_latest) = until_latest else {
            return Some(Refusal {
                reason: Reason::DeadlineShort,
                retry_after: None,
            });
        };
        if idle {
            return None;
        }
        let slots = self.slots(now);
        let ahead = self.queue.ahead(lane, key, job.rank, slots);
        let wait = self.wait(ahead, job.length, slots).mul_f64(ADMIT_MARGIN);
        let until_late = until_latest.mul_f64(WAIT_SHARE);
        let allowed = until_late.min(self.settings.max_wait);
        if wait <= allowed && !full {
            return None;
        }
        let at_deadline = !full && until_late <= self.settings.max_wait;
        let reason = if at_deadline {
            Reason::DeadlineUnreachable
        } else {
            Reason::Overloaded
        };
        let retry_after = Some(self.retry_delay(lane, job.cost, wait.saturating_sub(allowed), now));
        Some(Refusal { reason, retry_after })
    }

    /// Removes jobs from the queue that can no longer end before their deadline.
    pub(super) fn check_waiting(&mut self, now: Duration) {
        self.check_at = now + CHECK_PERIOD;
        if !self.settings.mechanisms.refuse {
            return;
        }
        if self.capacity == 0 && now < self.empty_since + EMPTY_GRACE {
            return;
        }
        let slots = self.slots(now);
        for lane in 0..self.queue.lane_count() {
            let start = |ahead, length| now + self.wait(ahead, length, slots);
            let late = match self.capacity {
                0 => self.queue.all_jobs(lane),
                _ => self.queue.late(lane, slots, start),
            };
            for (key, job, overrun) in late {
                self.queue.remove(lane, key, job.length);
                self.positions.remove(&key.ticket);
                let refusal = self.expire(lane, job.cost, overrun, now);
                self.expired.push_back((key.ticket, refusal));
            }
        }
    }

    /// Refusal of a job that was queued.
    pub(super) fn expire(&mut self, lane: LaneIndex, cost: u64, overrun: Duration, now: Duration) -> Refusal {
        if self.capacity == 0 {
            return Refusal {
                reason: Reason::NoCapacity,
                retry_after: Some(EMPTY_RETRY),
            };
        }
        let delay = self.retry_delay(lane, cost, overrun, now);
        Refusal {
            reason: Reason::DeadlineUnreachable,
            retry_after: Some(delay),
        }
    }

    /// Time until the queue has drained far enough to admit such a job. The queue drains by whole jobs and the running
    /// ones may end together, so the time of one job is added. If all refused jobs of a workspace retried at the same
    /// time, most would be refused again. Each retry is therefore scheduled after the previous ones have been served at
    /// the workspace's share of the slots.
    fn retry_delay(&mut self, lane: LaneIndex, cost: u64, excess: Duration, now: Duration) -> Duration {
        let own = micros(RETRY_SPREAD * cost as f64 / self.queue.fair_slots(lane, self.slots(now)));
        let excess = excess + micros(self.running.mean_cost());
        let latest = now + MAX_RETRY;
        let next_retry = self.queue.next_retry(lane);
        let retry_at = (now + excess).max(*next_retry).min(latest);
        *next_retry = (retry_at + own).min(latest);
        (retry_at - now).max(MIN_RETRY)
    }

    /// Expected wait of a job behind the queued slot time ahead of it, including the first slot to be freed.
    fn wait(&self, ahead: WorkAhead, length: Length, slots: Slots) -> Duration {
        let running = self.running.mean_cost();
        let wait = micros((ahead.total + running) / f64::from(slots.all.max(1)));
        if length == Length::Short {
            return wait;
        }
        wait.max(micros((ahead.long + running) / f64::from(slots.long.max(1))))
    }
}

fn micros(micros: f64) -> Duration {
    Duration::from_secs_f64((micros / 1e6).min(MAX_SECONDS))
}
