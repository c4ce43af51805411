//! Identifiers shared by all crates. Never does I/O.
//!
//! Each identifier has its own type, so that a workspace cannot be passed where a model is expected.

mod digest;
mod names;
mod numbers;

pub use digest::{Digest, ParseDigestError};
pub use names::{
    DomainId, EndpointId, IdempotencyKey, ModelId, RequestId, ServiceId, SoftwareVersion, VmId, WeightsVersion,
    WorkspaceId,
};
pub use numbers::{Fence, Incarnation, Priority, Revision, Version};
