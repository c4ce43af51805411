//! The state that request tasks read: an immutable value that the control thread replaces.

mod health;

use config::{Document, EndpointRole, EndpointSpec, Operation, WorkspaceSpec};
use derive_more::Display;
use ids::{Digest, EndpointId, ModelId, Revision, ServiceId, WorkspaceId};
use std::collections::{BTreeMap, HashMap};

pub use health::{Availability, EndpointState};

/// A consistent snapshot of configuration and endpoint states.
#[derive(Debug, Clone)]
pub struct View {
    /// Revision in force.
    pub revision: Revision,
    /// The document of that revision.
    pub document: Document,
    /// State of each endpoint.
    pub endpoint_states: HashMap<EndpointId, EndpointState>,
    keys: HashMap<Digest, WorkspaceId>,
    members: BTreeMap<Target, Vec<EndpointId>>,
}

/// What a request addresses; each target has a pool.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum Target {
    /// Engines of a model.
    #[display("model {_0}")]
    Model(ModelId),
    /// Runners of a plain service.
    #[display("service {_0}")]
    Service(ServiceId),
}

impl View {
    /// Creates a view of `document`; an endpoint without a state counts as live.
    pub fn new(revision: Revision, document: Document, endpoint_states: HashMap<EndpointId, EndpointState>) -> Self {
        let mut keys = HashMap::new();
        for (id, workspace) in &document.workspaces {
            keys.extend(workspace.keys.iter().map(|key| (*key, id.clone())));
        }
        let mut members: BTreeMap<Target, Vec<EndpointId>> = BTreeMap::new();
        for (id, endpoint) in &document.endpoints {
            members.entry(target(&endpoint.role)).or_default().push(id.clone());
        }
        Self {
            revision,
            document,
            endpoint_states,
            keys,
            members,
        }
    }

    /// The workspace that this key belongs to.
    pub fn workspace(&self, key: &str) -> Option<(&WorkspaceId, &WorkspaceSpec)> {
        let id = self.keys.get(&Digest::of(key.as_bytes()))?;
        let spec = self.document.workspaces.get(id)?;
        Some((id, spec))
    }

    /// The endpoints of `target` with their specs.
    pub fn members(&self, target: &Target) -> impl Iterator<Item = (&EndpointId, &EndpointSpec)> {
        let ids = self.members.get(target).into_iter().flatten();
        ids.filter_map(|id| self.document.endpoints.get_key_value(id))
    }

    /// The targets of all pools.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.members.keys()
    }

    /// State of `endpoint`.
    pub fn endpoint_state(&self, endpoint: &EndpointId) -> EndpointState {
        self.endpoint_states.get(endpoint).cloned().unwrap_or_default()
    }

    /// The operation of `service` whose path is the longest prefix of `path`.
    pub fn operation(&self, service: &ServiceId, path: &str) -> Option<&Operation> {
        let spec = self.document.services.get(service)?;
        let matching = spec
            .operations
            .iter()
            .filter(|operation| is_below(path, &operation.path));
        matching.max_by_key(|operation| operation.path.len())
    }
}

/// The target of an endpoint's role.
pub fn target(role: &EndpointRole) -> Target {
    match role {
        EndpointRole::Model(model) => Target::Model(model.clone()),
        EndpointRole::Service(service) => Target::Service(service.clone()),
    }
}

/// Whether `path` equals `prefix` or is below it; `/fans` does not cover `/fansite`.
fn is_below(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/')
}
