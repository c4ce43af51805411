//! Weights that were named for a model, and since when.

use std::time::Duration;

/// Names of weights that are remembered of a model: more than are named within any bound on old ones.
const REMEMBERED: usize = 16;

/// Weights that were named.
#[derive(Debug, Clone, Copy)]
pub(super) struct Named {
    pub(super) weights: u64,
    /// When; absent if before this router followed the store, which may be long ago.
    pub(super) at: Option<Duration>,
}

impl Named {
    pub(super) fn for_longer(&self, time: Duration, now: Duration) -> bool {
        self.at.is_none_or(|at| now.saturating_sub(at) >= time)
    }
}

/// How far some weights are behind the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behind {
    /// They are the newest, as far as this router knows.
    No,
    /// Newer ones have been named for this long.
    For(Duration),
    /// Newer ones have been named, and this router doesn't know since when.
    Unknown,
}

/// Names of one model's weights, the newest last.
#[derive(Debug, Clone, Default)]
pub(super) struct Names(Vec<Named>);

impl Names {
    /// Weights were named; others than newer ones change nothing.
    pub(super) fn name(&mut self, weights: u64, at: Option<Duration>) {
        if self.0.last().is_none_or(|last| last.weights < weights) {
            self.0.push(Named { weights, at });
            let old = self.0.len().saturating_sub(REMEMBERED);
            self.0.drain(..old);
        }
    }

    pub(super) fn newest(&self) -> Option<&Named> {
        self.0.last()
    }

    /// The newest that a test holds for.
    pub(super) fn newest_that(&self, test: impl Fn(&Named) -> bool) -> Option<&Named> {
        self.0.iter().rev().find(|named| test(named))
    }

    /// How far `weights` are behind: the first newer ones count.
    pub(super) fn behind(&self, weights: u64, now: Duration) -> Behind {
        let newer = self.0.iter().find(|named| named.weights > weights);
        match newer.map(|named| named.at) {
            None => Behind::No,
            Some(Some(at)) => Behind::For(now.saturating_sub(at)),
            Some(None) => Behind::Unknown,
        }
    }
}
