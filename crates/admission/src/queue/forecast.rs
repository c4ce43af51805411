//! Forecast of the slot time that starts before a job under fair sharing.
//!
//! The forecast uses a fluid model: every lane with jobs is served at its weight, starting from its tag, until it is
//! empty. A job waits for the jobs before it in its own lane and for the service of the other lanes until its turn.
//! Later arrivals are not predicted; the admission margin covers them.

use super::{Key, Lane, LaneIndex, Queue, QueuedJob, ranks_above_last};
use crate::reserve::Length;
use std::time::Duration;

/// Slots of the pool, used to convert waiting time into slot time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Slots {
    /// All slots of the pool.
    pub all: u32,
    /// Most slots that long jobs may hold.
    pub long: u32,
    /// Whether a long job may start now.
    pub long_allowed: bool,
}

/// Slot time that starts before a job, microseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkAhead {
    /// Slot time of all jobs.
    pub total: f64,
    /// Slot time of long jobs.
    pub long: f64,
}

impl Queue {
    /// Slot time that starts before a job with this key, if each lane is served at its weight from its tag on.
    pub fn ahead(&self, lane: LaneIndex, key: Key, rank: u8, slots: Slots) -> WorkAhead {
        let own = &self.lanes[lane];
        let tag = self.comparison_tag(own, Some(rank), slots);
        let (total, long) = (own.work_before(key) as f64, own.long_before(key) as f64);
        self.ahead_of(lane, tag, WorkAhead { total, long }, slots)
    }

    /// Jobs of a lane that would start after their latest start, each with the excess. `start` gives the start time of
    /// a job of some length behind some slot time. The caller removes late jobs, so they do not count for the jobs
    /// behind them.
    pub fn late(
        &self,
        lane: LaneIndex,
        slots: Slots,
        start: impl Fn(WorkAhead, Length) -> Duration,
    ) -> Vec<(Key, QueuedJob, Duration)> {
        let own = &self.lanes[lane];
        let tag = self.comparison_tag(own, None, slots);
        let whole = WorkAhead {
            total: own.work() as f64,
            long: own.long_work() as f64,
        };
        let worst = self.ahead_of(lane, tag, whole, slots);
        let worst = [Length::Short, Length::Long].map(|length| start(worst, length));
        let mut before = WorkAhead { total: 0.0, long: 0.0 };
        let mut late = Vec::new();
        for (key, job) in own.iter() {
            // Most jobs would start in time even behind the whole lane and need no exact forecast.
            if let Some(latest) = job.latest_start
                && worst[job.length as usize] > latest
            {
                let start = start(self.ahead_of(lane, tag, before, slots), job.length);
                if start > latest {
                    late.push((key, *job, start - latest));
                    continue;
                }
            }
            before.total += job.cost as f64;
            if job.length == Length::Long {
                before.long += job.cost as f64;
            }
        }
        late
    }

    /// Slots that this lane gets under fair sharing with the lanes that have jobs.
    pub fn fair_slots(&self, lane: LaneIndex, slots: Slots) -> f64 {
        let own = &self.lanes[lane];
        let weight = u64::from(own.weight);
        let all = if own.is_empty() {
            self.active_weight + weight
        } else {
            self.active_weight
        };
        f64::from(slots.all) * weight as f64 / all as f64
    }

    /// Tag by which a lane is compared with others, with a job of `rank` added to it if given.
    fn comparison_tag(&self, lane: &Lane, rank: Option<u8>, slots: Slots) -> f64 {
        let head = lane.head(true).map(|(_, job)| job.rank);
        let tag = if head.is_some() {
            lane.tag
        } else {
            lane.tag.max(self.idle_tag(slots))
        };
        let urgent = head.into_iter().chain(rank).min();
        tag - urgent.map_or(0.0, ranks_above_last) * self.borrowed_step(slots)
    }

    fn ahead_of(&self, own: LaneIndex, tag: f64, before: WorkAhead, slots: Slots) -> WorkAhead {
        let weight = f64::from(self.lanes[own].weight);
        let (until, long_until) = (tag + before.total / weight, tag + before.long / weight);
        let step = self.borrowed_step(slots);
        let mut ahead = before;
        for (index, lane) in self.lanes.iter().enumerate() {
            let Some((_, head)) = lane.head(true) else { continue };
            if index == own {
                continue;
            }
            let tag = lane.tag - ranks_above_last(head.rank) * step;
            let weight = f64::from(lane.weight);
            ahead.total += ((until - tag) * weight).clamp(0.0, lane.work() as f64);
            ahead.long += ((long_until - tag) * weight).clamp(0.0, lane.long_work() as f64);
        }
        ahead
    }
}
