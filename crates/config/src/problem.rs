//! What can be wrong with a document, each with the place where it is.

use crate::Section;
use derive_more::Display;
use ids::{EndpointId, ModelId, ServiceId, WeightsVersion, WorkspaceId};

/// One thing that is wrong with a document.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{path}: {kind}")]
pub struct Problem {
    /// JSON path from the document's root, such as `workspaces.board.keys[0]`; `.` is the root.
    pub path: String,
    /// What is wrong there.
    pub kind: ProblemKind,
}

/// What is wrong.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ProblemKind {
    /// Not JSON at all; the library's explanation with line and column.
    #[display("not JSON: {_0}")]
    Syntax(String),
    /// JSON of another shape than the document's; the library's explanation.
    #[display("{_0}")]
    Shape(String),
    /// A key stands twice in one object, of which JSON readers silently drop one.
    #[display("this key stands twice")]
    DuplicateKey,
    /// No such section.
    #[display("there is no such section")]
    UnknownSection,
    /// Nobody could ever change this section again.
    #[display("no operator owns the section {_0}")]
    NoOwner(Section),
    /// Callers of this workspace could not prove who they are.
    #[display("the workspace has no key")]
    NoKey,
    /// Two holders of one key could not be told apart.
    #[display("the same key stands at {_0}")]
    SharedKey(String),
    /// A model is named that the document does not have.
    #[display("there is no model {_0}")]
    UnknownModel(ModelId),
    /// A service is named that the document does not have.
    #[display("there is no service {_0}")]
    UnknownService(ServiceId),
    /// The wanted version is none of those that may be served.
    #[display("the wanted version {_0} is not among the versions")]
    WantedMissing(WeightsVersion),
    /// A workspace uses the model, and no endpoint serves it.
    #[display("workspace {_0} uses the model, and no endpoint serves it")]
    ModelStranded(WorkspaceId),
    /// A workspace uses the service, and no endpoint serves it.
    #[display("workspace {_0} uses the service, and no endpoint serves it")]
    ServiceStranded(WorkspaceId),
    /// Two endpoints at one address.
    #[display("endpoint {_0} has the same address")]
    SharedAddress(EndpointId),
    /// Rank over the least urgent.
    #[display("rank {_0} is over {max}", max = crate::validate::LAST_RANK)]
    RankTooHigh(u8),
    /// Weight outside its range.
    #[display("weight {_0} is outside 1 to {max}", max = crate::validate::MAX_WEIGHT)]
    WeightOutside(u32),
    /// An endpoint that may run nothing.
    #[display("an endpoint needs at least one slot")]
    NoSlots,
    /// A limit of nothing would refuse every request.
    #[display("a limit of 0 would refuse every request; leave the key out to have no limit")]
    ZeroLimit,
    /// Two operations with the same path.
    #[display("operation {_0} has the same path")]
    DuplicatePath(usize),
    /// A path that could never match.
    #[display("a path begins with a slash")]
    NoSlash,
}
