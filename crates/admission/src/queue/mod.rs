//! Queue of one pool, fair between workspaces by cost.
//!
//! Load pattern: one workspace sends many times its share, in requests or in tokens, while others send little. Without
//! fair sharing the other workspaces wait behind the jobs of the overloading one and are refused with it. The symptom
//! is that workspaces far below their share see the same waits as the one far above it.
//!
//! Start-time fair queueing (Goyal, Vin, Cheng 1996): each workspace has a tag, the slot time it has started divided by
//! its weight, and the workspace with the smallest tag goes next. A workspace that had no jobs restarts slightly before
//! the virtual time, so that idling gives only a small credit and use of free slots is not charged later. Costs are
//! estimates. The difference is charged when the job ends, so that low estimates bring no advantage.
//!
//! Urgent jobs borrow virtual time (Duda, Cheriton 1999): a workspace whose next job is urgent is compared by an
//! earlier tag but charged in full. Its long-run share is unchanged, and marking all jobs urgent gains at most the
//! borrowed time. Within a workspace, the effective arrival of a job is later the lower its rank and the longer it is,
//! so that no job starves.

mod forecast;
mod lane;

pub use forecast::{Slots, WorkAhead};
pub use lane::{Key, QueuedJob};

use crate::reserve::Length;
use crate::settings::Mechanisms;
use ids::WorkspaceId;
use lane::Lane;
use std::collections::HashMap;
use std::time::Duration;

/// Waiting time that one rank is worth within a workspace. The ten ranks span 4.5 s, longer than the wait of jobs with
/// deadlines of some seconds. An urgent job passes all jobs that arrived in that time; the least urgent one waits that
/// much longer.
const RANK_STEP: Duration = Duration::from_millis(500);
/// Waiting time that one rank is worth between workspaces, 0.9 s over all ranks. This is the one-time delay that a
/// workspace can cause to others by marking everything urgent. It is less than their idle credit.
const BORROW_STEP: Duration = Duration::from_millis(100);
/// The least urgent rank.
const LAST_RANK: u8 = 9;
/// Maximum credit of a workspace that had no queued jobs. Requests arrive in clusters. Without the credit, a workspace
/// well below its share waits with the second request of a cluster behind a workspace that overloads the pool: p99
/// first token is 0.39 s, with this credit 0.29 s, alone 0.16 s. It is more than all that urgent jobs may borrow.
const IDLE_CREDIT: Duration = Duration::from_secs(1);
/// The effective arrival of a job is delayed by this multiple of its service time: its wait grows in proportion to its
/// length, and by no more than that.
const LENGTH_DELAY: u32 = 2;
/// Rounding tolerance of tags, microseconds.
const ROUNDING: f64 = 1.0;
const MICROS: f64 = 1e6;

/// Index of a workspace's lane.
pub type LaneIndex = usize;

/// Queued jobs of all workspaces.
#[derive(Debug, Default)]
pub struct Queue {
    mechanisms: Mechanisms,
    lane_indices: HashMap<WorkspaceId, LaneIndex>,
    lanes: Vec<Lane>,
    virtual_time: f64,
    active_weight: u64,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new(mechanisms: Mechanisms) -> Self {
        Self {
            mechanisms,
            ..Self::default()
        }
    }

    /// Lane of a workspace, created on first use. Lanes are never removed: their number is bounded by the configured
    /// workspaces.
    pub fn lane(&mut self, workspace: &WorkspaceId, weight: u32) -> LaneIndex {
        let lane = self.lane_index(workspace);
        let weight = weight.max(1);
        let old = std::mem::replace(&mut self.lanes[lane].weight, weight);
        if !self.lanes[lane].is_empty() {
            self.active_weight = self.active_weight + u64::from(weight) - u64::from(old);
        }
        lane
    }

    /// Effective arrival of a job, by which its lane is ordered.
    pub fn effective_arrival(&self, rank: u8, cost: u64, now: Duration) -> Duration {
        let mut arrival = now;
        if self.mechanisms.priorities {
            arrival += RANK_STEP * u32::from(rank.min(LAST_RANK));
        }
        if self.mechanisms.short_first {
            arrival += Duration::from_micros(cost) * LENGTH_DELAY;
        }
        arrival
    }

    /// Adds a job to its lane.
    pub fn insert(&mut self, lane: LaneIndex, key: Key, job: QueuedJob, slots: Slots) {
        let idle_tag = self.idle_tag(slots);
        let lane = &mut self.lanes[lane];
        if lane.is_empty() {
            lane.tag = lane.tag.max(idle_tag);
            self.active_weight += u64::from(lane.weight);
        }
        lane.insert(key, job);
    }

    /// Removes a job from its lane.
    pub fn remove(&mut self, lane: LaneIndex, key: Key, length: Length) -> Option<QueuedJob> {
        let lane = &mut self.lanes[lane];
        let job = lane.remove(key, length)?;
        if lane.is_empty() {
            self.active_weight -= u64::from(lane.weight);
        }
        Some(job)
    }

    /// Picks the job to start next, if one may start.
    pub fn pick(&mut self, slots: Slots) -> Option<(LaneIndex, Key, QueuedJob)> {
        let mut best: Option<(f64, LaneIndex, Key, QueuedJob)> = None;
        let mut min_tag = f64::INFINITY;
        let step = self.borrowed_step(slots);
        for (index, lane) in self.lanes.iter().enumerate() {
            let Some((key, job)) = lane.head(slots.long_allowed) else {
                continue;
            };
            min_tag = min_tag.min(lane.tag);
            let tag = lane.tag - ranks_above_last(job.rank) * step;
            if best.is_none_or(|(best, ..)| tag < best) {
                best = Some((tag, index, key, *job));
            }
        }
        let (tag, index, key, job) = best?;
        self.virtual_time = self.virtual_time.max(min_tag);
        assert!(
            tag <= self.virtual_time + ROUNDING,
            "the picked tag is ahead of the virtual time"
        );
        Some((index, key, job))
    }

    /// Whether [`Queue::pick`] would find a job.
    pub fn has_startable(&self, long_allowed: bool) -> bool {
        self.lanes.iter().any(|lane| lane.head(long_allowed).is_some())
    }

    /// Charges a job that starts without queueing. The virtual time follows, so that use of free slots is not charged
    /// later.
    pub fn charge_direct(&mut self, lane: LaneIndex, cost: u64) {
        let lane = &mut self.lanes[lane];
        lane.tag = lane.tag.max(self.virtual_time);
        self.virtual_time = lane.tag;
        lane.tag += cost as f64 / f64::from(lane.weight);
    }

    /// Charges a picked job, or the difference between its estimated and actual cost.
    pub fn charge(&mut self, lane: LaneIndex, cost: f64) {
        let lane = &mut self.lanes[lane];
        lane.tag += cost / f64::from(lane.weight);
    }

    /// All jobs of a lane, for a pool without capacity.
    pub fn all_jobs(&self, lane: LaneIndex) -> Vec<(Key, QueuedJob, Duration)> {
        self.lanes[lane]
            .iter()
            .map(|(key, job)| (key, *job, Duration::ZERO))
            .collect()
    }

    /// Number of lanes.
    pub fn lane_count(&self) -> usize {
        self.lanes.len()
    }

    /// Earliest time for the next retry of the lane's refused jobs.
    pub fn next_retry(&mut self, lane: LaneIndex) -> &mut Duration {
        &mut self.lanes[lane].next_retry
    }

    fn lane_index(&mut self, workspace: &WorkspaceId) -> LaneIndex {
        if !self.mechanisms.fair && !self.lanes.is_empty() {
            return 0;
        }
        if let Some(lane) = self.lane_indices.get(workspace) {
            return *lane;
        }
        self.lanes.push(Lane::new());
        self.lane_indices.insert(workspace.clone(), self.lanes.len() - 1);
        self.lanes.len() - 1
    }

    /// Virtual time that a job borrows for each rank above the least urgent one, microseconds.
    fn borrowed_step(&self, slots: Slots) -> f64 {
        if self.mechanisms.priorities {
            self.virtual_span(BORROW_STEP, slots)
        } else {
            0.0
        }
    }

    /// Lowest tag of a workspace that had no queued jobs.
    fn idle_tag(&self, slots: Slots) -> f64 {
        self.virtual_time - self.virtual_span(IDLE_CREDIT, slots)
    }

    /// Virtual time that passes in `time` while all lanes with jobs are served, microseconds.
    fn virtual_span(&self, time: Duration, slots: Slots) -> f64 {
        time.as_secs_f64() * MICROS * f64::from(slots.all) / self.active_weight.max(1) as f64
    }
}

fn ranks_above_last(rank: u8) -> f64 {
    f64::from(LAST_RANK.saturating_sub(rank))
}
