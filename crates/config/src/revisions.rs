//! Prevents a router's revision from decreasing.
//!
//! Routers receive revisions from a watch and from peers, in any order. Without this check a late response or a stale
//! peer would reactivate an older document, and an accepted change would be reverted.

use derive_more::Display;
use ids::{Digest, Revision};

/// What to do with an offered revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Adopt {
    /// Newer than the revision in force: adopted.
    Newer,
    /// Already in force.
    Same,
    /// Older: ignored.
    Older,
    /// Different content with the same revision: ignored and reported.
    Conflict(RevisionConflict),
}

/// Two different heads have the same revision: the compare-and-swap was bypassed, or the store was replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("revision {revision} has two contents: {kept} in force, {other} offered")]
pub struct RevisionConflict {
    /// The revision.
    pub revision: Revision,
    /// Digest of the head in force.
    pub kept: Digest,
    /// Digest of the head that was offered.
    pub other: Digest,
}

impl std::error::Error for RevisionConflict {}

/// The revision in force in one router.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Revisions {
    current: Option<(Revision, Digest)>,
}

impl Revisions {
    /// The revision in force; 0 before the first.
    pub fn current(&self) -> Revision {
        self.current.map_or(Revision(0), |(revision, _)| revision)
    }

    /// Digest of the head in force.
    pub fn digest(&self) -> Option<Digest> {
        self.current.map(|(_, digest)| digest)
    }

    /// What [`offer`](Self::offer) would return, without adopting the revision.
    pub fn check(&self, revision: Revision, digest: Digest) -> Adopt {
        let Some((current, kept)) = self.current else {
            return Adopt::Newer;
        };
        if revision > current {
            return Adopt::Newer;
        }
        if revision < current {
            return Adopt::Older;
        }
        if digest == kept {
            Adopt::Same
        } else {
            Adopt::Conflict(RevisionConflict {
                revision,
                kept,
                other: digest,
            })
        }
    }

    /// Adopts a revision if it is newer; `digest` is that of the head.
    pub fn offer(&mut self, revision: Revision, digest: Digest) -> Adopt {
        let adopt = self.check(revision, digest);
        if adopt == Adopt::Newer {
            self.current = Some((revision, digest));
        }
        adopt
    }
}
