//! How long answers turn out, by how long callers allow them to be.
//!
//! Load pattern: callers allow thousands of tokens and get some dozens, or state nothing and get the default.
//! Without it the allowed length counts as the expected one: jobs look several times as long as they are, the queue looks
//! full while slots are idle, and jobs with short deadlines are refused that would have been in time. One notices refusals
//! for the deadline at a load that the pool serves easily.
//!
//! Kept for each workspace and for the whole pool, by the allowed length in powers of two, since each kind of request
//! allows its own. A workspace without a history is expected to be as the pool, a pool without one as allowed.

/// Allowed lengths with a history of their own: up to 2^16 tokens.
const SIZES: usize = 16;
/// Weight that is left of a workspace's and of the pool's history after one more answer: some twenty and some hundred
/// answers count, so that a new kind of request is learnt within seconds.
const FADE: f64 = 0.95;
const POOL_FADE: f64 = 0.99;
/// What is assumed weighs as much as this many answers.
const PRIOR: f64 = 2.0;

/// Output counted and allowed, tokens, older answers fading.
#[derive(Debug, Clone, Copy, Default)]
struct Sum {
    counted: f64,
    allowed: f64,
}

impl Sum {
    fn add(&mut self, counted: f64, allowed: f64, fade: f64) {
        self.counted = self.counted * fade + counted;
        self.allowed = self.allowed * fade + allowed;
    }

    /// Share of the allowed length that is used, starting from an assumed one.
    fn used(&self, assumed: f64, allowed: f64) -> f64 {
        (self.counted + assumed * allowed * PRIOR) / (self.allowed + allowed * PRIOR)
    }
}

/// How long answers turn out, by workspace and allowed length.
#[derive(Debug, Clone, Default)]
pub struct OutputModel {
    pool: [Sum; SIZES],
    lanes: Vec<[Sum; SIZES]>,
}

impl OutputModel {
    /// Expected output of a request of this lane's workspace, tokens.
    pub fn expected(&self, lane: usize, allowed: u64) -> u64 {
        if allowed == 0 {
            return 0;
        }
        let (size, allowed) = (size(allowed), allowed as f64);
        let pool = self.pool[size].used(1.0, allowed);
        let used = self.lanes.get(lane).map_or(pool, |sums| sums[size].used(pool, allowed));
        (allowed * used).round() as u64
    }

    /// Whether a few such requests of this workspace have been answered.
    pub fn is_learnt(&self, lane: usize, allowed: u64) -> bool {
        let Some(sums) = self.lanes.get(lane) else {
            return allowed == 0;
        };
        allowed == 0 || sums[size(allowed)].allowed >= PRIOR * allowed as f64
    }

    /// Takes in a whole answer.
    pub fn observe(&mut self, lane: usize, allowed: u64, counted: u64) {
        if allowed == 0 {
            return;
        }
        if self.lanes.len() <= lane {
            self.lanes.resize(lane + 1, [Sum::default(); SIZES]);
        }
        let (size, allowed, counted) = (size(allowed), allowed as f64, counted as f64);
        self.lanes[lane][size].add(counted, allowed, FADE);
        self.pool[size].add(counted, allowed, POOL_FADE);
    }
}

fn size(allowed: u64) -> usize {
    (allowed.ilog2() as usize).min(SIZES - 1)
}
