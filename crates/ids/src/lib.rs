//! Identifiers shared by all crates. Never does I/O.
//!
//! Each identifier is a type of its own, so that a workspace cannot be passed where a model is meant.

mod digest;
mod names;
mod numbers;

pub use digest::{Digest, ParseDigestError};
pub use names::{
    DomainId, EndpointId, IdempotencyKey, ModelId, RequestId, ServiceId, VmId, WeightsVersion, WorkspaceId,
};
pub use numbers::{Fence, Incarnation, Priority, Revision, Version};
