//! State transitions of a job: from its offer to the queue, to a slot, and to its end.

use super::feasibility::{CHECK_PERIOD, EMPTY_RETRY};
use super::running::RunningJob;
use super::{Admission, QueuePosition};
use crate::queue::{Key, LaneIndex, QueuedJob};
use crate::reserve::Length;
use crate::{Cancelled, Next, Offer, Reason, Refusal, Ticket};
use std::time::Duration;

impl Admission {
    /// Starts, queues or refuses an offered job.
    pub(super) fn admit(&mut self, lane: LaneIndex, key: Key, job: QueuedJob, now: Duration) -> Offer {
        let slots = self.slots(now);
        if self.capacity == 0 {
            return self.refuse(Reason::NoCapacity, Some(EMPTY_RETRY));
        }
        let idle = self.free() > 0 && !self.queue.has_startable(slots.long_allowed);
        let may_start = idle && (slots.long_allowed || job.length == Length::Short);
        if let Some(refusal) = self.check_admission(lane, key, &job, may_start, now) {
            return self.refuse(refusal.reason, refusal.retry_after);
        }
        if may_start {
            self.queue.charge_direct(lane, job.cost);
            self.start(key.ticket, lane, &job, now);
            return Offer::Start(key.ticket);
        }
        if self.positions.is_empty() {
            self.check_at = now + CHECK_PERIOD;
        }
        self.queue.insert(lane, key, job, slots);
        self.positions.insert(
            key.ticket,
            QueuePosition {
                lane,
                key,
                length: job.length,
            },
        );
        self.counts.waiting += 1;
        Offer::Wait(key.ticket)
    }

    fn refuse(&mut self, reason: Reason, retry_after: Option<Duration>) -> Offer {
        self.counts.refused += 1;
        Offer::Refuse(Refusal { reason, retry_after })
    }

    /// Removes the next job from the queue, to start it or to refuse it.
    pub(super) fn take_next(&mut self, now: Duration) -> Next {
        if let Some((ticket, refusal)) = self.expired.pop_front() {
            self.counts.waiting -= 1;
            self.counts.expired += 1;
            return Next::Expired(ticket, refusal);
        }
        if self.free() == 0 {
            return Next::Wait;
        }
        let slots = self.slots(now);
        let Some((lane, key, job)) = self.queue.pick(slots) else {
            return Next::Wait;
        };
        self.queue.remove(lane, key, job.length);
        self.positions.remove(&key.ticket);
        self.counts.waiting -= 1;
        if self.settings.mechanisms.refuse && job.latest_start.is_some_and(|latest| now > latest) {
            self.counts.expired += 1;
            return Next::Expired(key.ticket, self.expire(lane, job.cost, Duration::ZERO, now));
        }
        self.queue.charge(lane, job.cost as f64);
        self.start(key.ticket, lane, &job, now);
        Next::Start(key.ticket)
    }

    fn start(&mut self, ticket: Ticket, lane: LaneIndex, job: &QueuedJob, now: Duration) {
        assert!(self.free() > 0, "a job was started without a free slot");
        let QueuedJob {
            cost, length, allowed, ..
        } = *job;
        self.running.start(
            ticket,
            RunningJob {
                lane,
                cost,
                length,
                allowed,
                started_at: now,
            },
        );
        self.counts.running += 1;
    }

    /// Removes a started job and frees its slot.
    pub(super) fn end_running(&mut self, ticket: Ticket) -> Option<RunningJob> {
        let job = self.running.end(ticket)?;
        self.counts.running -= 1;
        Some(job)
    }

    /// Removes a job in any state.
    pub(super) fn remove(&mut self, ticket: Ticket) -> Cancelled {
        if self.end_running(ticket).is_some() {
            return Cancelled::Running;
        }
        if let Some(place) = self.positions.remove(&ticket) {
            self.queue.remove(place.lane, place.key, place.length);
            self.counts.waiting -= 1;
            return Cancelled::Queued;
        }
        let Some(index) = self.expired.iter().position(|(expired, _)| *expired == ticket) else {
            return Cancelled::Ended;
        };
        self.expired.remove(index);
        self.counts.waiting -= 1;
        Cancelled::Queued
    }
}
