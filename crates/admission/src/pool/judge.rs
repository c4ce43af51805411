//! Whether a job can be served in time, and when a refused one should come back.

use super::Admission;
use crate::queue::{Ahead, Key, LaneIndex, Queued, Slots};
use crate::reserve::Length;
use crate::{Reason, Refusal, Tokens};
use std::time::Duration;

/// Expected wait and service are taken as longer by this factor when a job is admitted. When it is checked again the wait is
/// taken as it is: a job that was admitted goes only if things got worse, not for a rounding.
const ADMIT_MARGIN: f64 = 1.1;
/// Share of the time to its deadline that a job is admitted to wait. The rest is for what comes later and goes ahead of
/// it: without it, in a lasting overload every admitted job stands at the edge of its deadline and one in ten is pushed
/// over it. Less waiting also means sooner first tokens, and a queue of seconds keeps the slots as busy as a longer one.
const WAIT_SHARE: f64 = 0.5;
/// How often waiting jobs are checked. A refusal this late is still useful to a caller with seconds to go, and a check of
/// 10,000 jobs in 250 workspaces takes about half a millisecond, a hundredth of a core.
pub(super) const CHECK_PERIOD: Duration = Duration::from_millis(50);
/// A pool without slots keeps its queue this long: endpoints that restart are back within about a second.
const EMPTY_GRACE: Duration = Duration::from_secs(1);
/// When to come back to a pool without slots.
pub(super) const EMPTY_RETRY: Duration = Duration::from_secs(2);
/// Nobody is told to come back later than this; the load changes faster than such a forecast holds.
const MAX_RETRY: Duration = Duration::from_secs(60);
/// Nobody is told to come back sooner than this: less is below the time between two checks.
const MIN_RETRY: Duration = CHECK_PERIOD;

/// Returns of refused jobs are spread over this multiple of the time that serving them takes, since new jobs come as well.
const RETURN_SPACE: f64 = 1.5;
/// Longer forecasts are cut to this, so that sums of times cannot overflow.
const MAX_SECONDS: f64 = 1e6;

impl Admission {
    /// Seconds that a job is expected to hold its slot.
    pub(super) fn expected_seconds(&self, lane: LaneIndex, mut tokens: Tokens) -> f64 {
        if self.settings.mechanisms.learn {
            tokens.output = self.outputs.expected(lane, tokens.output);
        }
        self.model.seconds(tokens)
    }

    /// When a job must have started to end before its deadline.
    pub(super) fn latest_start(&self, lane: LaneIndex, tokens: Tokens, deadline: Duration, now: Duration) -> Duration {
        let expected = Duration::from_secs_f64(self.expected_seconds(lane, tokens) * ADMIT_MARGIN);
        if now + expected <= deadline {
            return deadline - expected;
        }
        deadline.saturating_sub(self.least_time(lane, tokens))
    }

    /// Time that a job is known to need. A new router knows nothing, and callers allow more output than they get: were its
    /// assumptions held against deadlines, it would refuse jobs that are in time, and never learn better.
    fn least_time(&self, lane: LaneIndex, tokens: Tokens) -> Duration {
        if !self.model.is_learnt() {
            return Duration::ZERO;
        }
        if self.settings.mechanisms.learn && !self.outputs.is_learnt(lane, tokens.output) {
            return Duration::from_secs_f64(self.model.first_token(tokens.uncached));
        }
        Duration::from_secs_f64(self.expected_seconds(lane, tokens) * ADMIT_MARGIN)
    }

    /// Why the job must not be admitted, if so. `idle` says that it can start now.
    pub(super) fn judge(
        &mut self,
        lane: LaneIndex,
        key: Key,
        job: &Queued,
        idle: bool,
        now: Duration,
    ) -> Option<Refusal> {
        let full = !idle && self.places.len() >= self.settings.max_queued;
        if !self.settings.mechanisms.refuse {
            return full.then_some(Refusal {
                reason: Reason::Overloaded,
                retry_after: Some(EMPTY_RETRY),
            });
        }
        let until_latest = job.latest.map_or(Some(Duration::MAX), |latest| latest.checked_sub(now));
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
        let retry_after = Some(self.come_back(lane, job.cost, wait.saturating_sub(allowed), now));
        Some(Refusal { reason, retry_after })
    }

    /// Takes jobs that can no longer be served in time out of the queue.
    pub(super) fn check_waiting(&mut self, now: Duration) {
        self.check_at = now + CHECK_PERIOD;
        if !self.settings.mechanisms.refuse {
            return;
        }
        if self.capacity == 0 && now < self.empty_since + EMPTY_GRACE {
            return;
        }
        let slots = self.slots(now);
        for lane in 0..self.queue.lanes() {
            let start = |ahead, length| now + self.wait(ahead, length, slots);
            let late = match self.capacity {
                0 => self.queue.all(lane),
                _ => self.queue.late(lane, slots, start),
            };
            for (key, job, overrun) in late {
                self.queue.remove(lane, key, job.length);
                self.places.remove(&key.ticket);
                let refusal = self.expire(lane, job.cost, overrun, now);
                self.expired.push_back((key.ticket, refusal));
            }
        }
    }

    /// Refusal of a job that has waited.
    pub(super) fn expire(&mut self, lane: LaneIndex, cost: u64, overrun: Duration, now: Duration) -> Refusal {
        if self.capacity == 0 {
            return Refusal {
                reason: Reason::NoCapacity,
                retry_after: Some(EMPTY_RETRY),
            };
        }
        let back = self.come_back(lane, cost, overrun, now);
        Refusal {
            reason: Reason::DeadlineUnreachable,
            retry_after: Some(back),
        }
    }

    /// Time until the queue has drained far enough for such a job; it drains by whole jobs, and the running ones may end
    /// together, so one job's time comes on top. All refused jobs of a workspace would come back at one
    /// moment and most be refused again, so each is told to come after the ones before it have been served at the
    /// workspace's share of the slots.
    fn come_back(&mut self, lane: LaneIndex, cost: u64, excess: Duration, now: Duration) -> Duration {
        let own = micros(RETURN_SPACE * cost as f64 / self.queue.due_slots(lane, self.slots(now)));
        let excess = excess + micros(self.running.mean_cost());
        let latest = now + MAX_RETRY;
        let promised = self.queue.promised(lane);
        let back = (now + excess).max(*promised).min(latest);
        *promised = (back + own).min(latest);
        (back - now).max(MIN_RETRY)
    }

    /// Expected wait of a job behind the slot time ahead of it and the first slot that frees up.
    fn wait(&self, ahead: Ahead, length: Length, slots: Slots) -> Duration {
        let running = self.running.mean_cost();
        let wait = micros((ahead.work + running) / f64::from(slots.all.max(1)));
        if length == Length::Short {
            return wait;
        }
        wait.max(micros((ahead.long + running) / f64::from(slots.long.max(1))))
    }
}

fn micros(micros: f64) -> Duration {
    Duration::from_secs_f64((micros / 1e6).min(MAX_SECONDS))
}
