//! The configuration document, its checks, its changes and its audit trail. Never does I/O.

mod document;

pub use document::{
    Document, EndpointRole, EndpointSpec, ModelSpec, Operation, OperatorSpec, PrioritySpec, Section, ServiceSpec,
    WorkspaceLimits, WorkspaceSpec,
};
