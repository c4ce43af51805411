//! Queue of one pool, fair between workspaces by cost.
//!
//! Load pattern: one workspace sends many times its share, in requests or in tokens, while others send little.
//! Without it the queue belongs to whoever fills it: the others wait behind the hot one's jobs and are refused with it.
//! One notices that workspaces far below their share see the same waits as the one that is far above.
//!
//! Start-time fair queueing (Goyal, Vin, Cheng 1996): each workspace has a tag, the slot time it has started divided by
//! its weight, and the workspace with the smallest tag goes next. A workspace that comes back starts from just before the
//! virtual time, so that idling saves up little and what was used while slots were free is not held against it. Costs are
//! estimates; the difference is charged when the job ends, so that estimating low gains nothing.
//!
//! Urgent jobs borrow time (Duda, Cheriton 1999): a workspace whose next job is urgent is compared by an earlier tag, but
//! is charged in full. Its long-run share stays what it was, and nobody gains more than the borrowed time by calling all
//! jobs urgent. Within a workspace a job counts as arrived the later the lower its rank and the longer it is, so that
//! every job's turn comes.

mod forecast;
mod lane;

pub use forecast::{Ahead, Slots};
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
/// A workspace that had nothing queued comes back with at most this much of its share saved up. Requests come in clusters;
/// with nothing saved, a workspace well below its share waits with the second of a cluster beside one that asks for more
/// than the pool: p99 first token 0.39 s, at this 0.29 s, alone 0.16 s. More than all that urgent jobs may borrow.
const SAVED: Duration = Duration::from_secs(1);
/// A job counts as arrived later by this multiple of its own time: it waits longer in proportion to its length, and at
/// most that much longer.
const LENGTH_DELAY: u32 = 2;
/// Difference of tags that rounding may make, microseconds.
const ROUNDING: f64 = 1.0;
const MICROS: f64 = 1e6;

/// Index of a workspace's lane.
pub type LaneIndex = usize;

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
    pub fn insert(&mut self, lane: LaneIndex, key: Key, job: Queued, slots: Slots) {
        let returning = self.returning_tag(slots);
        let lane = &mut self.lanes[lane];
        if lane.is_empty() {
            lane.tag = lane.tag.max(returning);
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
        let ranks = u32::from(LAST_RANK.saturating_sub(rank));
        self.virtual_span(BORROW_STEP * ranks, slots)
    }

    /// Least tag of a workspace that had nothing queued.
    fn returning_tag(&self, slots: Slots) -> f64 {
        self.virtual_time - self.virtual_span(SAVED, slots)
    }

    /// Virtual time, in microseconds, that passes in some time while all lanes with jobs are served.
    fn virtual_span(&self, time: Duration, slots: Slots) -> f64 {
        time.as_secs_f64() * MICROS * f64::from(slots.all) / self.active_weight.max(1) as f64
    }
}
