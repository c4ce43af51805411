//! Plans a change: what to write so that it is accepted once, and why it is refused.

mod plan;

pub use plan::{Plan, Value, bootstrap, plan_change};

use crate::{Problem, Record, Section};
use derive_more::{AsRef, Display, From};
use ids::{Digest, Revision};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Names one change, unique over all operators and times; it settles a lost answer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, AsRef, Serialize, Deserialize)]
#[from(String, &str)]
#[as_ref(str)]
#[serde(transparent)]
pub struct ChangeId(String);

/// An operator's key, by which they prove who they are; only its digest is ever stored or shown.
#[derive(Clone, From)]
#[from(String, &str)]
pub struct OperatorKey(String);

impl OperatorKey {
    /// The digest that stands in the document.
    pub fn digest(&self) -> Digest {
        Digest::of(self.0.as_bytes())
    }
}

/// A change that an operator wants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Chosen by the command, and kept over its retries.
    pub id: ChangeId,
    /// Who wants it.
    pub operator: String,
    /// The section to replace.
    pub section: Section,
    /// Digest of the section as the operator saw it.
    pub before: Digest,
    /// The section as it is to be, JSON.
    pub after: String,
}

/// Someone else has changed the same section since the operator read it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conflict {
    /// What is in force now.
    pub current: Digest,
    /// The changes since; empty if they are so old that the log has dropped what the operator saw.
    pub since: Vec<Record>,
}

quick_error! {
    /// Why a change is not accepted; nothing was changed then.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ChangeRefused {
        /// No such operator, or not their key.
        AuthFailed {
            display("the operator's name and key do not go together")
        }
        /// The section belongs to someone else.
        NotOwner(section: Section) {
            display("the section {section} belongs to other operators")
        }
        /// The section has changed since it was read; read it again, and edit that.
        Conflict(conflict: Conflict) {
            display("the section was changed {} times since it was read", conflict.since.len())
        }
        /// The document would contradict itself or strand traffic.
        Invalid(problems: Vec<Problem>) {
            display("the document would have {} problems", problems.len())
        }
        /// Nothing would change.
        Unchanged {
            display("the section is like that already")
        }
        /// This very change is in force since this revision; it is not applied again.
        Accepted(revision: Revision) {
            display("the change was accepted before, as revision {revision}")
        }
        /// The change's id belongs to another change; nothing was done under it.
        IdTaken(revision: Revision) {
            display("another change, of revision {revision}, has the same id")
        }
        /// There is no document yet to change.
        Empty {
            display("there is no document yet")
        }
        /// There is a document already; it is changed, not replaced.
        NotEmpty {
            display("there is a document already")
        }
        /// A value of the platform holds at most 1 MB.
        TooLarge(bytes: usize) {
            display("the section would take {bytes} bytes, of at most {}", plan::MAX_VALUE)
        }
    }
}
