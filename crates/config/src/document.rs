//! The document's types, in the format that operators write. Unknown fields are rejected.

use derive_more::Display;
use ids::{Digest, DomainId, EndpointId, ModelId, Priority, ServiceId, WeightsVersion, WorkspaceId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One part of the document, owned by one team.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum Section {
    /// Who may change which section.
    Operators,
    /// Workspaces, their keys and limits.
    Workspaces,
    /// Models and their versions.
    Models,
    /// Plain services and their operations.
    Services,
    /// Priorities by name.
    Priorities,
    /// Endpoints in service.
    Endpoints,
}

/// The whole configuration document.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Operators by name.
    #[serde(default)]
    pub operators: BTreeMap<String, OperatorSpec>,
    /// Workspaces by id.
    #[serde(default)]
    pub workspaces: BTreeMap<WorkspaceId, WorkspaceSpec>,
    /// Models by the name that clients use.
    #[serde(default)]
    pub models: BTreeMap<ModelId, ModelSpec>,
    /// Plain services by the name in their path.
    #[serde(default)]
    pub services: BTreeMap<ServiceId, ServiceSpec>,
    /// Priorities by the name that clients send.
    #[serde(default)]
    pub priorities: BTreeMap<String, PrioritySpec>,
    /// Endpoints in service.
    #[serde(default)]
    pub endpoints: BTreeMap<EndpointId, EndpointSpec>,
}

/// An operator and the sections they own.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSpec {
    /// Digest of the operator's key.
    pub key: Digest,
    /// Sections this operator owns.
    pub sections: Vec<Section>,
}

/// A workspace: its keys, the models and services it may use, and its limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceSpec {
    /// Digests of the bearer keys that authenticate this workspace.
    pub keys: Vec<Digest>,
    /// Models it may call.
    #[serde(default)]
    pub models: Vec<ModelId>,
    /// Plain services it may call.
    #[serde(default)]
    pub services: Vec<ServiceId>,
    /// Its weight in fair sharing, 1 to 1000.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Limits over all routers together.
    #[serde(default)]
    pub limits: WorkspaceLimits,
}

/// Limits of one workspace over all routers together; absent means unlimited.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceLimits {
    /// Requests a second.
    pub requests_per_second: Option<u32>,
    /// Tokens a second, uncached prompt tokens and output together.
    pub tokens_per_second: Option<u32>,
}

/// A model and the weights in service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// Weights versions that may be served.
    pub versions: Vec<WeightsVersion>,
    /// The target version, which runners must serve.
    pub wanted: WeightsVersion,
}

/// A plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Its operations by path; the longest matching prefix applies.
    pub operations: Vec<Operation>,
}

/// One operation of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// Path prefix below the service, such as `/fans`.
    pub path: String,
    /// Whether executing a request twice has the same effect as once.
    pub idempotent: bool,
    /// Whether the service itself runs a key at most once.
    #[serde(default)]
    pub deduplicates: bool,
}

/// A named priority.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PrioritySpec {
    /// 0 is the most urgent, 9 the least.
    pub rank: Priority,
}

/// An endpoint in service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSpec {
    /// IP address and port.
    pub address: std::net::SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// What it serves.
    pub role: EndpointRole,
    /// Whether it rejects orders with an old fencing token.
    #[serde(default)]
    pub fenced: bool,
    /// Maximum number of requests that it runs at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
}

/// What an endpoint serves.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointRole {
    /// An engine of this model.
    Model(ModelId),
    /// A runner of this plain service.
    Service(ServiceId),
}

fn default_weight() -> u32 {
    1
}

fn default_slots() -> u32 {
    32
}
