//! What traffic needs to know, as one immutable value that the control thread replaces.

mod health;

use config::{Document, EndpointRole, EndpointSpec, Operation, WorkspaceSpec};
use derive_more::Display;
use ids::{Digest, EndpointId, ModelId, Revision, ServiceId, WorkspaceId};
use std::collections::{BTreeMap, HashMap};

pub use health::{Believed, Standing};

/// One consistent state of configuration and belief.
#[derive(Debug, Clone)]
pub struct View {
    /// Revision in force.
    pub revision: Revision,
    /// The document of that revision.
    pub document: Document,
    /// What is believed of each endpoint.
    pub believed: HashMap<EndpointId, Believed>,
    keys: HashMap<Digest, WorkspaceId>,
    members: BTreeMap<Target, Vec<EndpointId>>,
}

/// What a request is for: the pool that serves it.
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
    /// A view of `document`; an endpoint that nothing is believed of counts as live.
    pub fn new(revision: Revision, document: Document, believed: HashMap<EndpointId, Believed>) -> Self {
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
            believed,
            keys,
            members,
        }
    }

    /// The workspace whose key this is.
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

    /// All pools.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.members.keys()
    }

    /// What is believed of `endpoint`.
    pub fn belief(&self, endpoint: &EndpointId) -> Believed {
        self.believed.get(endpoint).cloned().unwrap_or_default()
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

/// The pool an endpoint belongs to.
pub fn target(role: &EndpointRole) -> Target {
    match role {
        EndpointRole::Model(model) => Target::Model(model.clone()),
        EndpointRole::Service(service) => Target::Service(service.clone()),
    }
}

/// Whether `path` is `prefix` or stands below it; `/fans` does not cover `/fansite`.
fn is_below(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/')
}
