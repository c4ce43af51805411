//! Target weights of a model and how long ago they became the target.
//!
//! The store holds the target weights, but not since when they are the target. A router that has just started finds
//! the target there, and a router that was frozen or cut off learns of it late. If it counted from that moment, it
//! would underestimate the age of the target, and clients would get answers on weights that were replaced long
//! before. So a target's age has two bounds: the target is at least as old as the first time any router saw it, and
//! at most as old as the last read of the store without it. A missing upper bound counts as too old.

use std::time::Duration;

/// Targets kept per model: more than are set within any limit on staleness.
const MAX_TARGETS: usize = 16;

/// Difference of the two age bounds up to which asking a peer isn't worthwhile. Routers that reach the store
/// have read it within the last one to two seconds.
const MAX_AGE_SPREAD: Duration = Duration::from_millis(2_500);

/// Bounds on how long ago weights became the target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetAge {
    /// Lower bound.
    pub lower: Duration,
    /// Upper bound; `None` if this router doesn't know one.
    pub upper: Option<Duration>,
}

/// An age at a point in time, from which the current age follows.
#[derive(Debug, Clone, Copy)]
struct AgeSample {
    age: Duration,
    sampled_at: Duration,
}

impl AgeSample {
    fn age(&self, now: Duration) -> Duration {
        self.age + now.saturating_sub(self.sampled_at)
    }
}

/// Weights that became the target of their model, with the bounds on when.
#[derive(Debug, Clone, Copy)]
pub(super) struct Target {
    pub(super) weights: u64,
    lower: AgeSample,
    upper: Option<AgeSample>,
}

impl Target {
    fn new(weights: u64, age: TargetAge, now: Duration) -> Self {
        let sample = |age| AgeSample { age, sampled_at: now };
        Self {
            weights,
            lower: sample(age.lower),
            upper: age.upper.map(sample),
        }
    }

    pub(super) fn age(&self, now: Duration) -> TargetAge {
        TargetAge {
            lower: self.lower.age(now),
            upper: self.upper.map(|upper| upper.age(now)),
        }
    }

    /// Whether the weights may have become the target at least `time` ago, by the upper bound.
    pub(super) fn may_be_older_than(&self, time: Duration, now: Duration) -> bool {
        self.age(now).upper.is_none_or(|upper| upper >= time)
    }

    /// Whether a peer's bounds could be considerably tighter.
    fn is_uncertain(&self, now: Duration) -> bool {
        let age = self.age(now);
        age.upper
            .is_none_or(|upper| upper.saturating_sub(age.lower) > MAX_AGE_SPREAD)
    }

    fn absorb(&mut self, older: &Self, now: Duration) {
        let (own, older) = (self.age(now), older.age(now));
        let upper = own.upper.zip(older.upper).map(|(own, older)| own.max(older));
        let lower = own.lower.max(older.lower);
        *self = Self::new(self.weights, TargetAge { lower, upper }, now);
    }

    /// Intersects the bounds with those of a peer. Both are correct, so the tighter bound of each side holds.
    fn narrow(&mut self, received: TargetAge, now: Duration) {
        let own = self.age(now);
        let upper = match (own.upper, received.upper) {
            (Some(own), Some(received)) => Some(own.min(received)),
            (own, received) => own.or(received),
        };
        let lower = own.lower.max(received.lower);
        *self = Self::new(self.weights, TargetAge { lower, upper }, now);
    }
}

/// How stale some weights are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Staleness {
    /// They are the newest target, as far as this router knows.
    Current,
    /// A newer target has been set for at least this long.
    Stale(Duration),
    /// A newer target has been set, but this router doesn't know since when.
    Unknown,
}

/// Targets of one model, the newest last.
#[derive(Debug, Clone, Default)]
pub(super) struct Targets(Vec<Target>);

impl Targets {
    /// Adds a target if it is newer than the last one.
    pub(super) fn add(&mut self, weights: u64, age: TargetAge, now: Duration) {
        if self.0.last().is_none_or(|last| last.weights < weights) {
            self.0.push(Target::new(weights, age, now));
            self.prune(now);
        }
    }

    /// Removes the oldest targets. The age bounds of the oldest remaining target then also cover the removed ones.
    fn prune(&mut self, now: Duration) {
        while self.0.len() > MAX_TARGETS {
            let oldest = self.0.remove(0);
            self.0[0].absorb(&oldest, now);
        }
    }

    /// Merges an age received from a peer. Returns whether an uncertain age became certain. Adds targets in
    /// between that this router missed: the upper bound of an age covers all targets set since the previous known
    /// one, so without the missed targets a tighter age of a newer target would allow endpoints with older weights to
    /// serve. Newer targets come from the store only.
    pub(super) fn merge_age(&mut self, weights: u64, age: TargetAge, now: Duration) -> bool {
        if self.newest().is_none_or(|newest| newest.weights < weights) {
            return false;
        }
        match self.0.binary_search_by_key(&weights, |target| target.weights) {
            Ok(index) => {
                let target = &mut self.0[index];
                let uncertain = target.is_uncertain(now);
                target.narrow(age, now);
                uncertain && !target.is_uncertain(now)
            }
            Err(index) => {
                self.0.insert(index, Target::new(weights, age, now));
                self.prune(now);
                false
            }
        }
    }

    pub(super) fn newest(&self) -> Option<&Target> {
        self.0.last()
    }

    pub(super) fn all(&self) -> &[Target] {
        &self.0
    }

    /// Newest target that satisfies `test`.
    pub(super) fn newest_matching(&self, test: impl Fn(&Target) -> bool) -> Option<&Target> {
        self.0.iter().rev().find(|target| test(target))
    }

    /// Whether a target newer than `weights` has an uncertain age that still matters. Targets whose lower bound has
    /// passed `bound` are too old whatever the exact age.
    pub(super) fn has_uncertain_newer(&self, weights: u64, bound: Duration, now: Duration) -> bool {
        let newer = self.0.iter().filter(|target| target.weights > weights);
        let mut recent = newer.filter(|target| target.age(now).lower < bound);
        recent.any(|target| target.is_uncertain(now))
    }

    /// How stale `weights` are, counted from the first newer target.
    pub(super) fn staleness(&self, weights: u64, now: Duration) -> Staleness {
        let newer = self.0.iter().find(|target| target.weights > weights);
        match newer.map(|target| target.age(now)) {
            None => Staleness::Current,
            Some(TargetAge { upper: None, .. }) => Staleness::Unknown,
            Some(TargetAge { lower, .. }) => Staleness::Stale(lower),
        }
    }
}
