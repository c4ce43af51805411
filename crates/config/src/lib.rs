//! The configuration document, its validation, its changes and its audit trail. This crate does no I/O.
//!
//! The document is stored as one small [`Head`] and a value for each section. A change writes its section and the new
//! audit log under unused keys, and then takes effect by one compare-and-swap of the head.

mod audit;
mod change;
mod diff;
mod document;
mod head;
mod parse;
mod problem;
mod refused;
mod revisions;
mod section;
mod settle;
mod strict;
mod submission;
mod undo;
mod validate;

pub use audit::{AuditLog, ChainError, Checkpoint, RECORDS_KEPT, Record, SectionChange, UnixMillis, verify_chain};
pub use change::{Change, ChangeId, ChangeRefused, Conflict, OperatorKey, Plan, Value, bootstrap, plan_change};
pub use diff::{Difference, diff};
pub use document::{
    Document, EndpointRole, EndpointSpec, ModelSpec, Operation, OperatorSpec, PrioritySpec, Section, ServiceSpec,
    WorkspaceLimits, WorkspaceSpec,
};
pub use head::{AUDIT_PREFIX, AssembleError, HEAD_KEY, Head, SECTION_PREFIX, SectionRef, View, assemble};
pub use parse::{parse, parse_section};
pub use problem::{Problem, ProblemKind};
pub use refused::{ATTEMPTS_KEPT, Attempt, REFUSED_KEY, RefusedLog};
pub use revisions::{Adopt, RevisionConflict, Revisions};
pub use section::section_text;
pub use settle::{Settled, settle};
pub use submission::{Answer, Call, Intent, Loader, Loading, Next, Outcome, Stored, Submission};
pub use undo::{UndoError, undo, undo_source};
pub use validate::validate;
