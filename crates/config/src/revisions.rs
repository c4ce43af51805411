//! Keeps a router's revision from going back.
//!
//! Routers hear of revisions by watch and from each other, in any order. Without this a late answer or a stale peer
//! would put an older document in force again; an operator would notice a change that held and then reverted.

use derive_more::Display;
use ids::{Digest, Revision};

/// What to do with an offered revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Adopt {
    /// Newer than what is in force: it is in force now.
    Newer,
    /// In force already.
    Same,
    /// Older: ignored.
    Older,
    /// Two contents under one revision: ignored and reported.
    Conflict(RevisionConflict),
}

/// Two different contents bear one revision: the compare-and-swap was bypassed, or the store was replaced.
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

    /// What [`offer`](Self::offer) would say, without adopting.
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
