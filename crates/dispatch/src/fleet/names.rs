//! Weights that were named for a model, and how long ago.
//!
//! What goes wrong without an age that holds: the store tells which weights were named, not when. A router that has just started finds
//! the name there, and one that was frozen or cut off hears of it late. Counted from then, the name is younger than it is, and callers
//! get answers on weights that were replaced long before. So a name has two ages: it is at least as old as the first word of it that
//! some router had, and at most as old as the last word of the store without it. What is not known counts as too old.

use std::time::Duration;

/// Names of weights that are remembered of a model: more than are named within any bound on old ones.
const REMEMBERED: usize = 16;

/// A difference between the two ages that is not worth a question to another router: routers in touch have a word of the store
/// that is one to two seconds old.
const LOOSE: Duration = Duration::from_millis(2_500);

/// How long ago weights were named.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetAge {
    /// At least so long ago.
    pub lower: Duration,
    /// At most so long ago; absent if this router can't tell.
    pub upper: Option<Duration>,
}

/// Something that was so old at a time, and gets older.
#[derive(Debug, Clone, Copy)]
struct Aged {
    age: Duration,
    at: Duration,
}

impl Aged {
    fn age(&self, now: Duration) -> Duration {
        self.age + now.saturating_sub(self.at)
    }
}

/// Weights that were named.
#[derive(Debug, Clone, Copy)]
pub(super) struct Named {
    pub(super) weights: u64,
    lower: Aged,
    upper: Option<Aged>,
}

impl Named {
    fn new(weights: u64, age: TargetAge, now: Duration) -> Self {
        let aged = |age| Aged { age, at: now };
        Self {
            weights,
            lower: aged(age.lower),
            upper: age.upper.map(aged),
        }
    }

    pub(super) fn age(&self, now: Duration) -> TargetAge {
        TargetAge {
            lower: self.lower.age(now),
            upper: self.upper.map(|upper| upper.age(now)),
        }
    }

    /// Whether they were named so long ago, as far as this router can tell; what it can't tell counts as long ago.
    pub(super) fn for_longer(&self, time: Duration, now: Duration) -> bool {
        let age = self.age(now);
        age.upper.is_none() || age.lower >= time
    }

    /// Whether they may have been named so long ago.
    pub(super) fn maybe_for_longer(&self, time: Duration, now: Duration) -> bool {
        self.age(now).upper.is_none_or(|upper| upper >= time)
    }

    /// Whether another router's word could make the age much clearer.
    fn vague(&self, now: Duration) -> bool {
        let age = self.age(now);
        age.upper.is_none_or(|upper| upper.saturating_sub(age.lower) > LOOSE)
    }

    fn stands_for(&mut self, older: &Self, now: Duration) {
        let (own, older) = (self.age(now), older.age(now));
        let upper = own.upper.zip(older.upper).map(|(own, older)| own.max(older));
        let lower = own.lower.max(older.lower);
        *self = Self::new(self.weights, TargetAge { lower, upper }, now);
    }

    /// Takes in what another router knows: both are right, so the narrower bound of each side holds.
    fn narrow(&mut self, told: TargetAge, now: Duration) {
        let own = self.age(now);
        let upper = match (own.upper, told.upper) {
            (Some(own), Some(told)) => Some(own.min(told)),
            (own, told) => own.or(told),
        };
        let lower = own.lower.max(told.lower);
        *self = Self::new(self.weights, TargetAge { lower, upper }, now);
    }
}

/// How far some weights are behind the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Staleness {
    /// They are the newest, as far as this router knows.
    Current,
    /// Newer ones have been named for this long at least.
    Stale(Duration),
    /// Newer ones have been named, and this router doesn't know since when.
    Unknown,
}

/// Names of one model's weights, the newest last.
#[derive(Debug, Clone, Default)]
pub(super) struct Names(Vec<Named>);

impl Names {
    /// Weights were named; others than newer ones change nothing.
    pub(super) fn name(&mut self, weights: u64, age: TargetAge, now: Duration) {
        if self.0.last().is_none_or(|last| last.weights < weights) {
            self.0.push(Named::new(weights, age, now));
            self.forget(now);
        }
    }

    /// Forgets the oldest names; the first that stays stands for them, and takes their age.
    fn forget(&mut self, now: Duration) {
        while self.0.len() > REMEMBERED {
            let oldest = self.0.remove(0);
            self.0[0].stands_for(&oldest, now);
        }
    }

    /// Another router tells how long ago these weights were named; whether that made clear what was vague. Names in between that
    /// this router missed are taken in: a name's greatest age holds for whatever was named since the one before it, so without them
    /// a narrower age of a newer name would let engines serve that are further behind. Newer names come from the store.
    pub(super) fn told(&mut self, weights: u64, age: TargetAge, now: Duration) -> bool {
        if self.newest().is_none_or(|newest| newest.weights < weights) {
            return false;
        }
        match self.0.binary_search_by_key(&weights, |named| named.weights) {
            Ok(index) => {
                let named = &mut self.0[index];
                let vague = named.vague(now);
                named.narrow(age, now);
                vague && !named.vague(now)
            }
            Err(index) => {
                self.0.insert(index, Named::new(weights, age, now));
                self.forget(now);
                false
            }
        }
    }

    pub(super) fn newest(&self) -> Option<&Named> {
        self.0.last()
    }

    pub(super) fn all(&self) -> &[Named] {
        &self.0
    }

    /// The newest that a test holds for.
    pub(super) fn newest_that(&self, test: impl Fn(&Named) -> bool) -> Option<&Named> {
        self.0.iter().rev().find(|named| test(named))
    }

    /// Whether another router's word on weights newer than these could make their age much clearer, as long as that matters: nothing
    /// clears up an age that is past `bound` at least.
    pub(super) fn vague_after(&self, weights: u64, bound: Duration, now: Duration) -> bool {
        let newer = self.0.iter().filter(|named| named.weights > weights);
        let mut young = newer.filter(|named| named.age(now).lower < bound);
        young.any(|named| named.vague(now))
    }

    /// How far `weights` are behind: the first newer ones count.
    pub(super) fn behind(&self, weights: u64, now: Duration) -> Staleness {
        let newer = self.0.iter().find(|named| named.weights > weights);
        match newer.map(|named| named.age(now)) {
            None => Staleness::Current,
            Some(TargetAge { upper: None, .. }) => Staleness::Unknown,
            Some(TargetAge { lower, .. }) => Staleness::Stale(lower),
        }
    }
}
