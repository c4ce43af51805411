//! The operators' document, as traffic reads it: routes, services, workspaces and limits.

use ids::{EndpointId, ModelId, Revision, ServiceId, WorkspaceId};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// What may be done with a request more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// It may run any number of times.
    Idempotent,
    /// It may run once.
    Once,
    /// Its answer is a stream of numbered events.
    Stream {
        /// Another endpoint may go on from any event; otherwise it may run once.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may run more than once.
    pub fn repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether answers are streams.
    pub fn streams(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that gets a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Which.
    pub service: ServiceId,
    /// Its share, relative to the route's other targets.
    pub weight: u32,
}

/// Where requests of one host and path prefix go, and within which limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// Host in lower case.
    pub host: String,
    /// Beginning of the path.
    pub prefix: String,
    /// Services that serve it.
    pub targets: Vec<Target>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Whether no key is needed.
    pub public: bool,
    /// Longest time until the whole answer.
    pub timeout: Duration,
    /// Time within which the answer, or a stream's first event, is of full use.
    pub objective: Duration,
    /// Most endpoints that one request may be sent to.
    pub attempts: u32,
    /// Urgency, 0 the most urgent.
    pub rank: u8,
}

impl Route {
    /// The service for a request; `draw` is uniform over all numbers.
    pub fn target(&self, draw: u64) -> Option<&ServiceId> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut left = draw.checked_rem(total)?;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if left < weight {
                return Some(&target.service);
            }
            left -= weight;
        }
        None
    }
}

/// A service of the document.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Present if it is a store of cached prefixes, which is reached there.
    pub prefixes: Option<SocketAddr>,
}

/// A customer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkspaceSpec {
    /// Its name.
    pub id: WorkspaceId,
    /// Overrides the route's urgency.
    pub rank: Option<u8>,
    /// Shares no cached prefix with another workspace.
    pub isolated: bool,
}

/// What callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Longest head, bytes.
    pub head_bytes: usize,
    /// Longest body, bytes.
    pub body_bytes: u64,
    /// Longest time for a head.
    pub head_time: Duration,
    /// Longest time without a request on a kept connection.
    pub idle_time: Duration,
}

impl Default for ClientLimits {
    /// Common limits of HTTP servers, in force until a document names others.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// The parts of a document.
#[derive(Debug, Clone, Default)]
pub struct SiteParts {
    /// Its number; it only grows.
    pub revision: Revision,
    /// Routes in any order.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: HashMap<ServiceId, ServiceSpec>,
    /// Workspaces; absent if callers need no keys.
    pub workspaces: Option<Vec<(WorkspaceSpec, Vec<String>)>>,
    /// Limits.
    pub limits: ClientLimits,
}

/// A document, indexed.
#[derive(Debug, Clone, Default)]
pub struct Site {
    revision: Revision,
    hosts: HashMap<String, Vec<Route>>,
    services: HashMap<ServiceId, ServiceSpec>,
    workspaces: Vec<WorkspaceSpec>,
    keys: Option<HashMap<String, usize>>,
    limits: ClientLimits,
}

/// Whose a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Owner<'a> {
    /// The route or the document asks for no key.
    Anonymous,
    /// The key's workspace.
    Workspace(&'a WorkspaceSpec),
    /// The key is missing or unknown.
    Unknown,
}

impl Site {
    /// Indexes a document.
    pub fn new(parts: SiteParts) -> Self {
        let mut hosts: HashMap<String, Vec<Route>> = HashMap::new();
        for route in parts.routes {
            hosts.entry(route.host.clone()).or_default().push(route);
        }
        for routes in hosts.values_mut() {
            // The longest prefix wins, so it is looked at first.
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let (workspaces, keys) = index(parts.workspaces);
        Self {
            revision: parts.revision,
            hosts,
            services: parts.services,
            workspaces,
            keys,
            limits: parts.limits,
        }
    }

    /// The document's number.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Limits towards callers.
    pub fn limits(&self) -> ClientLimits {
        self.limits
    }

    /// The stores of cached prefixes.
    pub fn prefix_stores(&self) -> Vec<SocketAddr> {
        self.services.values().filter_map(|service| service.prefixes).collect()
    }

    /// The route of a request. A port in `host` doesn't count, nor does its case.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(&name.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Whose a request with this key is.
    pub fn owner(&self, route: &Route, key: Option<&str>) -> Owner<'_> {
        let Some(keys) = &self.keys else {
            return Owner::Anonymous;
        };
        if route.public {
            return Owner::Anonymous;
        }
        let place = key.and_then(|key| keys.get(key));
        place.map_or(Owner::Unknown, |place| Owner::Workspace(&self.workspaces[*place]))
    }
}

type Workspaces = (Vec<WorkspaceSpec>, Option<HashMap<String, usize>>);

fn index(workspaces: Option<Vec<(WorkspaceSpec, Vec<String>)>>) -> Workspaces {
    let Some(list) = workspaces else {
        return (Vec::new(), None);
    };
    let mut specs = Vec::with_capacity(list.len());
    let mut keys = HashMap::new();
    for (spec, owned) in list {
        for key in owned {
            keys.insert(key, specs.len());
        }
        specs.push(spec);
    }
    (specs, Some(keys))
}

/// An endpoint in service, as its entry in the store tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointEntry {
    /// Its name; a runner that starts again may bear it again.
    pub id: EndpointId,
    /// When this life began; another one has an empty cache and knows nothing of before.
    pub incarnation: ids::Incarnation,
    /// The service it belongs to.
    pub service: ServiceId,
    /// Where it listens. Addresses are used again by others once it has gone.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: ids::DomainId,
    /// Requests that run at once.
    pub slots: u32,
    /// Takes no new work.
    pub leaving: bool,
    /// Models it serves, with the number of their weights.
    pub weights: Vec<(ModelId, u64)>,
}
