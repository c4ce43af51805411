//! Plans a change: the writes that apply it exactly once, or the reason for refusing it.

mod plan;

pub use plan::{Plan, Value, bootstrap, plan_change};

use crate::{Problem, Record, Section};
use derive_more::{AsRef, Display, From};
use ids::{Digest, Revision};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Globally unique id of a change. It tells whether a write whose response was lost took effect.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, AsRef, Serialize, Deserialize)]
#[from(String, &str)]
#[as_ref(str)]
#[serde(transparent)]
pub struct ChangeId(String);

/// An operator's authentication key; only its digest is ever stored or shown.
#[derive(Clone, From)]
#[from(String, &str)]
pub struct OperatorKey(String);

impl OperatorKey {
    /// The digest that is stored in the document.
    pub fn digest(&self) -> Digest {
        Digest::of(self.0.as_bytes())
    }
}

/// A change that an operator requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Chosen by the command and reused in its retries.
    pub id: ChangeId,
    /// Name of the operator.
    pub operator: String,
    /// The section to replace.
    pub section: Section,
    /// Digest of the section as the operator read it.
    pub before: Digest,
    /// The new section, JSON.
    pub after: String,
}

/// Someone else has changed the same section since the operator read it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conflict {
    /// Digest of the section now in force.
    pub current: Digest,
    /// The changes since; empty if the log no longer contains the version that the operator read.
    pub since: Vec<Record>,
}

quick_error! {
    /// Why a change is not accepted; nothing was changed. The messages are stored in the log of refused attempts.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ChangeRefused {
        /// Unknown operator or wrong key.
        AuthFailed {
            display("the operator's name and key do not go together")
        }
        /// The operator does not own the section.
        NotOwner(section: Section) {
            display("the section {section} belongs to other operators")
        }
        /// The section has changed since it was read; it must be read and edited again.
        Conflict(conflict: Conflict) {
            display("the section was changed {} times since it was read", conflict.since.len())
        }
        /// The document would be inconsistent or leave a model or service in use without endpoints.
        Invalid(problems: Vec<Problem>) {
            display("the document would have {} problems", problems.len())
        }
        /// The new section equals the current one.
        Unchanged {
            display("the section is like that already")
        }
        /// This change was already accepted as this revision; it is not applied again.
        Accepted(revision: Revision) {
            display("the change was accepted before, as revision {revision}")
        }
        /// Another change has the same id; this one was not applied.
        IdTaken(revision: Revision) {
            display("another change, of revision {revision}, has the same id")
        }
        /// No document exists yet.
        Empty {
            display("there is no document yet")
        }
        /// A document already exists; it can be changed but not replaced.
        NotEmpty {
            display("there is a document already")
        }
        /// A value of the platform holds at most 1 MB.
        TooLarge(bytes: usize) {
            display("the section would take {bytes} bytes, of at most {}", plan::MAX_VALUE)
        }
    }
}
