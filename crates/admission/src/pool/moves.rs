//! How a job moves: from its offer to the queue, to a slot and out.

use super::judge::{CHECK_PERIOD, EMPTY_RETRY};
use super::running::Started;
use super::{Admission, Place};
use crate::queue::{Key, LaneIndex, Queued};
use crate::reserve::Length;
use crate::{Cancelled, Next, Offer, Reason, Refusal, Ticket};
use std::time::Duration;

impl Admission {
    /// Starts, queues or refuses an offered job.
    pub(super) fn place(&mut self, lane: LaneIndex, key: Key, job: Queued, now: Duration) -> Offer {
        let slots = self.slots(now);
        if self.capacity == 0 {
            return self.refuse(Reason::NoCapacity, Some(EMPTY_RETRY));
        }
        let idle = self.free() > 0 && !self.queue.can_pick(slots.long_allowed);
        let may_start = idle && (slots.long_allowed || job.length == Length::Short);
        if let Some(refusal) = self.judge(lane, key, &job, may_start, now) {
            return self.refuse(refusal.reason, refusal.retry_after);
        }
        if may_start {
            self.queue.charge_direct(lane, job.cost);
            self.start(key.ticket, lane, &job, now);
            return Offer::Start(key.ticket);
        }
        if self.places.is_empty() {
            self.check_at = now + CHECK_PERIOD;
        }
        self.queue.insert(lane, key, job, slots);
        self.places.insert(
            key.ticket,
            Place {
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

    /// Takes the next job out of the queue, to start or to be refused.
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
        self.places.remove(&key.ticket);
        self.counts.waiting -= 1;
        if self.settings.mechanisms.refuse && job.latest.is_some_and(|latest| now > latest) {
            self.counts.expired += 1;
            return Next::Expired(key.ticket, self.expire(lane, job.cost, Duration::ZERO, now));
        }
        self.queue.charge(lane, job.cost as f64);
        self.start(key.ticket, lane, &job, now);
        Next::Start(key.ticket)
    }

    fn start(&mut self, ticket: Ticket, lane: LaneIndex, job: &Queued, now: Duration) {
        assert!(self.free() > 0, "a job started beyond the pool's slots");
        let Queued {
            cost, length, allowed, ..
        } = *job;
        self.running.start(
            ticket,
            Started {
                lane,
                cost,
                length,
                allowed,
                at: now,
            },
        );
        self.counts.running += 1;
    }

    /// Takes a started job out and frees its slot.
    pub(super) fn end_running(&mut self, ticket: Ticket) -> Option<Started> {
        let job = self.running.end(ticket)?;
        self.counts.running -= 1;
        Some(job)
    }

    /// Takes a job out from wherever it is.
    pub(super) fn remove(&mut self, ticket: Ticket) -> Cancelled {
        if self.end_running(ticket).is_some() {
            return Cancelled::Running;
        }
        if let Some(place) = self.places.remove(&ticket) {
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
