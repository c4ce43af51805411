//! Expected output length, learnt from the lengths that clients allow and use.
//!
//! Load pattern: clients allow thousands of tokens and use some dozens, or state no maximum and get the default.
//! Without this model the allowed length is taken as the expected one. Jobs then look several times as long as they
//! are, the queue looks full while slots are idle, and jobs with short deadlines are refused although they would end in
//! time. The symptom is refusals for the deadline at a load well below the pool's capacity.
//!
//! Usage is kept for each workspace and for the whole pool, by the allowed length in powers of two, since each kind of
//! request has its own maximum. A workspace without history uses the pool's ratio; a pool without history assumes the
//! allowed length.

/// Classes of allowed length, up to 2^16 tokens.
const SIZE_CLASSES: usize = 16;
/// Decay factors of a workspace's and of the pool's history per answer. About twenty and a hundred answers count, so
/// that a new kind of request is learnt within seconds.
const WORKSPACE_DECAY: f64 = 0.95;
const POOL_DECAY: f64 = 0.99;
/// Weight of the prior, in answers.
const PRIOR_ANSWERS: f64 = 2.0;

/// Sums of counted and allowed output tokens with exponential decay.
#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    counted: f64,
    allowed: f64,
}

impl Usage {
    fn add(&mut self, counted: f64, allowed: f64, decay: f64) {
        self.counted = self.counted * decay + counted;
        self.allowed = self.allowed * decay + allowed;
    }

    /// Ratio of counted to allowed output, starting from a prior.
    fn ratio(&self, prior: f64, allowed: f64) -> f64 {
        (self.counted + prior * allowed * PRIOR_ANSWERS) / (self.allowed + allowed * PRIOR_ANSWERS)
    }
}

/// Expected output length by workspace and allowed length.
#[derive(Debug, Clone, Default)]
pub struct OutputModel {
    pool: [Usage; SIZE_CLASSES],
    lanes: Vec<[Usage; SIZE_CLASSES]>,
}

impl OutputModel {
    /// Expected output tokens of a request of this lane's workspace.
    pub fn expected(&self, lane: usize, allowed: u64) -> u64 {
        if allowed == 0 {
            return 0;
        }
        let (class, allowed) = (class(allowed), allowed as f64);
        let pool = self.pool[class].ratio(1.0, allowed);
        let ratio = self
            .lanes
            .get(lane)
            .map_or(pool, |sums| sums[class].ratio(pool, allowed));
        (allowed * ratio).round() as u64
    }

    /// Whether a few requests of this workspace and length class have been answered.
    pub fn has_history(&self, lane: usize, allowed: u64) -> bool {
        let Some(sums) = self.lanes.get(lane) else {
            return allowed == 0;
        };
        allowed == 0 || sums[class(allowed)].allowed >= PRIOR_ANSWERS * allowed as f64
    }

    /// Records a complete answer.
    pub fn observe(&mut self, lane: usize, allowed: u64, counted: u64) {
        if allowed == 0 {
            return;
        }
        if self.lanes.len() <= lane {
            self.lanes.resize(lane + 1, [Usage::default(); SIZE_CLASSES]);
        }
        let (class, allowed, counted) = (class(allowed), allowed as f64, counted as f64);
        self.lanes[lane][class].add(counted, allowed, WORKSPACE_DECAY);
        self.pool[class].add(counted, allowed, POOL_DECAY);
    }
}

fn class(allowed: u64) -> usize {
    (allowed.ilog2() as usize).min(SIZE_CLASSES - 1)
}
