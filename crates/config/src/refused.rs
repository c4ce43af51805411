//! A log of refused attempts, bounded and chained like the audit log, in a separate value.
//!
//! It is best effort: an attempt that is refused while the platform is unreachable is not recorded.

use crate::{Change, ChangeRefused, Section, UnixMillis};
use ids::Digest;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Key of the refused attempts.
pub const REFUSED_KEY: &str = "config/refused";
/// Number of attempts that are kept.
pub const ATTEMPTS_KEPT: usize = 64;

/// One refused attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// The operator name that was given; it may be wrong.
    pub operator: String,
    /// Time of the attempt, by the operator's clock.
    pub at: UnixMillis,
    /// The section of the attempted change.
    pub section: Section,
    /// Digest of the requested new section.
    pub wanted: Digest,
    /// Why it was refused, for display.
    pub reason: String,
    /// Digest of the previous attempt; of the empty string for the first.
    pub previous: Digest,
}

/// The newest refused attempts.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RefusedLog {
    /// Digest of the last attempt that is no longer kept.
    pub dropped: Option<Digest>,
    /// Oldest first.
    pub attempts: VecDeque<Attempt>,
}

impl RefusedLog {
    /// Adds an attempt.
    pub fn record(&mut self, change: &Change, refused: &ChangeRefused, at: UnixMillis) {
        let attempt = Attempt {
            operator: change.operator.clone(),
            at,
            section: change.section,
            wanted: Digest::of(change.after.as_bytes()),
            reason: refused.to_string(),
            previous: self.newest(),
        };
        self.attempts.push_back(attempt);
        if self.attempts.len() > ATTEMPTS_KEPT {
            self.dropped = self.attempts.pop_front().as_ref().map(digest);
        }
    }

    /// Whether each attempt contains the digest of the one before it.
    pub fn verify(&self) -> bool {
        let mut before = self.dropped.unwrap_or_else(|| Digest::of(b""));
        for attempt in &self.attempts {
            if attempt.previous != before {
                return false;
            }
            before = digest(attempt);
        }
        true
    }

    fn newest(&self) -> Digest {
        self.attempts
            .back()
            .map(digest)
            .or(self.dropped)
            .unwrap_or_else(|| Digest::of(b""))
    }
}

fn digest(attempt: &Attempt) -> Digest {
    Digest::of(&serde_json::to_vec(attempt).expect("an attempt is always JSON"))
}
