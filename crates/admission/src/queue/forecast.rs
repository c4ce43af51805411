//! How much slot time starts before a job, under fair sharing.
//!
//! A fluid picture: every lane with jobs is served at its weight from its tag on, until it is empty. What a job waits for is
//! the jobs before it in its own lane and what the other lanes are served until its turn. Jobs that come later are not
//! foreseen; what admits jobs leaves time for them.

use super::{Key, Lane, LaneIndex, Queue, Queued};
use crate::reserve::Length;
use std::time::Duration;

/// What the queue needs to know of the pool, to turn waiting time into slot time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Slots {
    /// Slots of the pool.
    pub all: u32,
    /// Most slots that long jobs may hold.
    pub long: u32,
    /// Whether a long job may start now.
    pub long_allowed: bool,
}

/// Slot time that starts before a job, microseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ahead {
    /// Of all jobs.
    pub work: f64,
    /// Of long jobs.
    pub long: f64,
}

impl Queue {
    /// Slot time that starts before a job with this key, if each lane is served at its weight from its tag on.
    pub fn ahead(&self, lane: LaneIndex, key: Key, rank: u8, slots: Slots) -> Ahead {
        let own = &self.lanes[lane];
        let start = self.start(own, Some(rank), slots);
        let (work, long) = (own.work_before(key) as f64, own.long_before(key) as f64);
        self.ahead_of(lane, start, Ahead { work, long }, slots)
    }

    /// Jobs of a lane that would start after the latest time they must, given the time at which a job of some length
    /// starts behind so much slot time, and those times. A job that goes no longer counts for those behind it.
    pub fn late(
        &self,
        lane: LaneIndex,
        slots: Slots,
        start: impl Fn(Ahead, Length) -> Duration,
    ) -> Vec<(Key, Queued, Duration)> {
        let own = &self.lanes[lane];
        let tag = self.start(own, None, slots);
        let whole = Ahead {
            work: own.work() as f64,
            long: own.long_work() as f64,
        };
        let worst = self.ahead_of(lane, tag, whole, slots);
        let worst = [Length::Short, Length::Long].map(|length| start(worst, length));
        let mut before = Ahead { work: 0.0, long: 0.0 };
        let mut late = Vec::new();
        for (key, job) in own.iter() {
            // Most jobs would be in time even behind the whole lane, and are not looked at closer.
            if let Some(latest) = job.latest
                && worst[job.length as usize] > latest
            {
                let start = start(self.ahead_of(lane, tag, before, slots), job.length);
                if start > latest {
                    late.push((key, *job, start - latest));
                    continue;
                }
            }
            before.work += job.cost as f64;
            if job.length == Length::Long {
                before.long += job.cost as f64;
            }
        }
        late
    }

    /// Slots that this lane is due among those that wait now.
    pub fn due_slots(&self, lane: LaneIndex, slots: Slots) -> f64 {
        let own = &self.lanes[lane];
        let weight = u64::from(own.weight);
        let all = if own.is_empty() {
            self.active_weight + weight
        } else {
            self.active_weight
        };
        f64::from(slots.all) * weight as f64 / all as f64
    }

    /// Tag by which a lane is compared, with a job of `rank` added to it if given.
    fn start(&self, lane: &Lane, rank: Option<u8>, slots: Slots) -> f64 {
        let head = lane.head(true).map(|(_, job)| job.rank);
        let tag = if head.is_some() {
            lane.tag
        } else {
            lane.tag.max(self.returning_tag(slots))
        };
        let urgent = head.into_iter().chain(rank).min();
        tag - urgent.map_or(0.0, |rank| self.borrowed(rank, slots))
    }

    fn ahead_of(&self, own: LaneIndex, start: f64, before: Ahead, slots: Slots) -> Ahead {
        let weight = f64::from(self.lanes[own].weight);
        let (until, long_until) = (start + before.work / weight, start + before.long / weight);
        let mut ahead = before;
        for (index, lane) in self.lanes.iter().enumerate() {
            if index == own || lane.is_empty() {
                continue;
            }
            let (start, weight) = (self.start(lane, None, slots), f64::from(lane.weight));
            ahead.work += ((until - start) * weight).clamp(0.0, lane.work() as f64);
            ahead.long += ((long_until - start) * weight).clamp(0.0, lane.long_work() as f64);
        }
        ahead
    }
}
