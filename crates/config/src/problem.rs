//! Problems of a document, each with its location.

use crate::Section;
use derive_more::Display;
use ids::{EndpointId, ModelId, ServiceId, WeightsVersion, WorkspaceId};

/// One problem of a document.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{path}: {kind}")]
pub struct Problem {
    /// JSON path from the document's root, such as `workspaces.board.keys[0]`; `.` is the root.
    pub path: String,
    /// The kind of problem.
    pub kind: ProblemKind,
}

/// The kind of problem.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ProblemKind {
    /// Invalid JSON; contains the parser's message with line and column.
    #[display("not JSON: {_0}")]
    Syntax(String),
    /// JSON that does not match the document's schema; contains the deserializer's message.
    #[display("{_0}")]
    Shape(String),
    /// A key is repeated in one object; JSON parsers silently drop one of the values.
    #[display("this key stands twice")]
    DuplicateKey,
    /// No such section.
    #[display("there is no such section")]
    UnknownSection,
    /// A section without an owner could never be changed again.
    #[display("no operator owns the section {_0}")]
    NoOwner(Section),
    /// Clients of this workspace could not authenticate.
    #[display("the workspace has no key")]
    NoKey,
    /// Two workspaces or operators with the same key could not be distinguished.
    #[display("the same key stands at {_0}")]
    SharedKey(String),
    /// A reference to a model that the document does not contain.
    #[display("there is no model {_0}")]
    UnknownModel(ModelId),
    /// A reference to a service that the document does not contain.
    #[display("there is no service {_0}")]
    UnknownService(ServiceId),
    /// The target version is not among the allowed versions.
    #[display("the wanted version {_0} is not among the versions")]
    WantedMissing(WeightsVersion),
    /// A workspace uses the model, and no endpoint serves it.
    #[display("workspace {_0} uses the model, and no endpoint serves it")]
    ModelStranded(WorkspaceId),
    /// A workspace uses the service, and no endpoint serves it.
    #[display("workspace {_0} uses the service, and no endpoint serves it")]
    ServiceStranded(WorkspaceId),
    /// Two endpoints have the same address.
    #[display("endpoint {_0} has the same address")]
    SharedAddress(EndpointId),
    /// The rank is above that of the least urgent priority.
    #[display("rank {_0} is over {max}", max = crate::validate::LAST_RANK)]
    RankTooHigh(u8),
    /// The weight is outside its range.
    #[display("weight {_0} is outside 1 to {max}", max = crate::validate::MAX_WEIGHT)]
    WeightOutside(u32),
    /// An endpoint without slots could run no request.
    #[display("an endpoint needs at least one slot")]
    NoSlots,
    /// A limit of 0 would refuse every request.
    #[display("a limit of 0 would refuse every request; leave the key out to have no limit")]
    ZeroLimit,
    /// Two operations of a service have the same path.
    #[display("operation {_0} has the same path")]
    DuplicatePath(usize),
    /// A path without a leading slash could never match.
    #[display("a path begins with a slash")]
    NoSlash,
}
