//! Queue of one pool, fair between workspaces by cost.
//!
//! Load pattern: one workspace sends many times its share, in requests or in tokens, while others send little.
//! Without it the queue belongs to whoever fills it: the others wait behind the hot one's jobs and are refused with it.
//! One notices that workspaces far below their share see the same waits as the one that is far above.
//!
//! Start-time fair queueing (Goyal, Vin, Cheng 1996): each workspace has a tag, the slot time it has started divided by
//! its weight, and the workspace with the smallest tag goes next. A workspace that comes back starts from the virtual
//! time, so that idling saves nothing up and what was used while slots were free is not held against it. Costs are
//! estimates; the difference is charged when the job ends, so that estimating low gains nothing.
//!
//! Urgent jobs borrow time (Duda, Cheriton 1999): a workspace whose next job is urgent is compared by an earlier tag, but
//! is charged in full. Its long-run share stays what it was, and nobody gains more than the borrowed time by calling all
//! jobs urgent. Within a workspace a job counts as arrived the later the lower its rank and the longer it is, so that
//! every job's turn comes.

mod lane;

pub use lane::{Key, Queued};

use crate::reserve::Length;
use crate::settings::Mechanisms;
use ids::WorkspaceId;
use lane::Lane;
use std::collections::HashMap;
use std::time::Duration;

/// Within a workspace one rank is worth this much waiting. The ten ranks span 4.5 s, more than jobs wait that have
/// deadlines of some seconds: an urgent job passes all that came in that time, the least urgent waits that much longer.
const RANK_STEP: Duration = Duration::from_millis(500);
/// Between workspaces one rank is worth this much: 0.9 s over all ranks, which is what a workspace that calls everything
/// urgent may cost the others once. At 0.25 s they saw a p99 first token of 0.94 s beside such a one, at this 0.65 s.
const BORROW_STEP: Duration = Duration::from_millis(100);
/// The least urgent rank.
const LAST_RANK: u8 = 9;
/// A job counts as arrived later by this multiple of its own time: it waits longer in proportion to its length, and at
/// most that much longer.
const LENGTH_DELAY: u32 = 2;
/// Difference of tags that rounding may make, microseconds.
const ROUNDING: f64 = 1.0;
const MICROS: f64 = 1e6;

/// Index of a workspace's lane.
pub type LaneIndex = usize;

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

/// Queued jobs of all workspaces.
#[derive(Debug, Default)]
pub struct Queue {
    mechanisms: Mechanisms,
    names: HashMap<WorkspaceId, LaneIndex>,
    lanes: Vec<Lane>,
    virtual_time: f64,
    active_weight: u64,
}

impl Queue {
    /// Empty queue.
    pub fn new(mechanisms: Mechanisms) -> Self {
        Self {
            mechanisms,
            ..Self::default()
        }
    }

    /// Lane of a workspace; made when it is first seen. Lanes stay: a workspace's are as many as are configured.
    pub fn lane(&mut self, workspace: &WorkspaceId, weight: u32) -> LaneIndex {
        let lane = self.lane_index(workspace);
        let weight = weight.max(1);
        let old = std::mem::replace(&mut self.lanes[lane].weight, weight);
        if !self.lanes[lane].is_empty() {
            self.active_weight = self.active_weight + u64::from(weight) - u64::from(old);
        }
        lane
    }

    /// When a job counts as arrived.
    pub fn due(&self, rank: u8, cost: u64, now: Duration) -> Duration {
        let mut due = now;
        if self.mechanisms.priorities {
            due += RANK_STEP * u32::from(rank.min(LAST_RANK));
        }
        if self.mechanisms.short_first {
            due += Duration::from_micros(cost) * LENGTH_DELAY;
        }
        due
    }

    /// Adds a job to its lane.
    pub fn insert(&mut self, lane: LaneIndex, key: Key, job: Queued) {
        let virtual_time = self.virtual_time;
        let lane = &mut self.lanes[lane];
        if lane.is_empty() {
            lane.tag = lane.tag.max(virtual_time);
            self.active_weight += u64::from(lane.weight);
        }
        lane.insert(key, job);
    }

    /// Takes a job out that is not to start.
    pub fn remove(&mut self, lane: LaneIndex, key: Key, length: Length) -> Option<Queued> {
        let lane = &mut self.lanes[lane];
        let job = lane.remove(key, length)?;
        if lane.is_empty() {
            self.active_weight -= u64::from(lane.weight);
        }
        Some(job)
    }

    /// The job to start next, if any may start.
    pub fn pick(&mut self, slots: Slots) -> Option<(LaneIndex, Key, Queued)> {
        let mut best: Option<(f64, LaneIndex, Key, Queued)> = None;
        let mut least = f64::INFINITY;
        for (index, lane) in self.lanes.iter().enumerate() {
            let Some((key, job)) = lane.head(slots.long_allowed) else {
                continue;
            };
            least = least.min(lane.tag);
            let tag = lane.tag - self.borrowed(job.rank, slots);
            if best.is_none_or(|(best, ..)| tag < best) {
                best = Some((tag, index, key, *job));
            }
        }
        let (tag, index, key, job) = best?;
        self.virtual_time = self.virtual_time.max(least);
        assert!(
            tag <= self.virtual_time + ROUNDING,
            "a workspace runs ahead of its share"
        );
        Some((index, key, job))
    }

    /// Whether [`Queue::pick`] would find a job.
    pub fn can_pick(&self, long_allowed: bool) -> bool {
        self.lanes.iter().any(|lane| lane.head(long_allowed).is_some())
    }

    /// Charges a job that starts without having waited. The virtual time follows, so that free slots cost nothing later.
    pub fn charge_direct(&mut self, lane: LaneIndex, cost: u64) {
        let lane = &mut self.lanes[lane];
        lane.tag = lane.tag.max(self.virtual_time);
        self.virtual_time = lane.tag;
        lane.tag += cost as f64 / f64::from(lane.weight);
    }

    /// Charges a picked job, or the difference between a job's estimated and its true cost.
    pub fn charge(&mut self, lane: LaneIndex, cost: f64) {
        let lane = &mut self.lanes[lane];
        lane.tag += cost / f64::from(lane.weight);
    }

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

    /// All jobs of a lane, for a pool that cannot start any.
    pub fn all(&self, lane: LaneIndex) -> Vec<(Key, Queued, Duration)> {
        self.lanes[lane]
            .iter()
            .map(|(key, job)| (key, *job, Duration::ZERO))
            .collect()
    }

    /// Number of lanes.
    pub fn lanes(&self) -> usize {
        self.lanes.len()
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

    /// Until when the lane's refused jobs have been told to come back.
    pub fn promised(&mut self, lane: LaneIndex) -> &mut Duration {
        &mut self.lanes[lane].promised
    }

    fn lane_index(&mut self, workspace: &WorkspaceId) -> LaneIndex {
        if !self.mechanisms.fair && !self.lanes.is_empty() {
            return 0;
        }
        if let Some(lane) = self.names.get(workspace) {
            return *lane;
        }
        self.lanes.push(Lane::new());
        self.names.insert(workspace.clone(), self.lanes.len() - 1);
        self.lanes.len() - 1
    }

    /// Virtual time, in microseconds, that an urgent job borrows: what passes in its ranks' worth of waiting.
    fn borrowed(&self, rank: u8, slots: Slots) -> f64 {
        if !self.mechanisms.priorities {
            return 0.0;
        }
        let ranks = f64::from(LAST_RANK.saturating_sub(rank));
        ranks * BORROW_STEP.as_secs_f64() * MICROS * f64::from(slots.all) / self.active_weight.max(1) as f64
    }

    /// Tag by which a lane is compared, with a job of `rank` added to it if given.
    fn start(&self, lane: &Lane, rank: Option<u8>, slots: Slots) -> f64 {
        let head = lane.head(true).map(|(_, job)| job.rank);
        let tag = if head.is_some() {
            lane.tag
        } else {
            lane.tag.max(self.virtual_time)
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
