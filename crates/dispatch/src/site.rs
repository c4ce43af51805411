//! The parts of the configuration that request handling needs: routes, services, workspaces and limits.

use crate::scope::Isolation;
use ids::{EndpointId, ModelId, Revision, ServiceId, SoftwareVersion, WorkspaceId};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

/// A patient route's objective, relative to that of the most urgent streaming route: long enough that its requests
/// can wait for several urgent ones and still be in time.
const PATIENT_FACTOR: u32 = 3;

/// Whether a request may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run at most once.
    Once,
    /// The response is a stream of numbered events.
    Stream {
        /// Whether another endpoint may resume from any event. Otherwise the request may run at most once.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may run more than once.
    pub fn repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether responses are streams that another endpoint may resume.
    pub fn resumable(self) -> bool {
        matches!(self, Self::Stream { resumable: true })
    }

    /// Whether responses are streams.
    pub fn streams(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that gets a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// ID of the service.
    pub service: ServiceId,
    /// Weight relative to the route's other targets.
    pub weight: u32,
}

/// Destination and limits of requests with one host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host, in lower case.
    pub host: String,
    /// Path prefix.
    pub prefix: String,
    /// Services that the requests are split over.
    pub targets: Vec<Target>,
    /// Whether requests may be repeated.
    pub kind: RouteKind,
    /// Whether requests need no API key.
    pub public: bool,
    /// Maximum time until the response is complete.
    pub timeout: Duration,
    /// Latency objective for the response, or for the first event of a stream.
    pub objective: Duration,
    /// Longest pause between two events of a stream with which its response is in time.
    pub pause: Option<Duration>,
    /// Maximum number of endpoints that one request may be sent to.
    pub attempts: u32,
    /// Priority; 0 is the highest.
    pub rank: u8,
}

impl Route {
    /// The service for a request. `random` is uniformly distributed over all `u64` values.
    pub fn target(&self, random: u64) -> Option<&ServiceId> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut offset = random.checked_rem(total)?;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if offset < weight {
                return Some(&target.service);
            }
            offset -= weight;
        }
        None
    }
}

/// A service of the configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Address, if the service is a prefix store.
    pub prefixes: Option<SocketAddr>,
}

/// What a quota counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Requests.
    Requests,
    /// Prompt tokens and maximum output tokens together.
    Tokens {
        /// Cost of a request that does not state its tokens.
        unstated: u64,
    },
}

impl QuotaUnit {
    /// Cost of a request with `tokens`, if its head states them.
    pub fn cost(self, tokens: Option<u64>) -> f64 {
        match self {
            Self::Requests => 1.0,
            Self::Tokens { unstated } => tokens.unwrap_or(unstated) as f64,
        }
    }
}

/// Limit on what a workspace may use, over all routers together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaSpec {
    /// Units per second.
    pub rate: f64,
    /// Units that may be used at once after a pause.
    pub burst: f64,
    /// What is counted.
    pub unit: QuotaUnit,
}

/// A workspace of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkspaceSpec {
    /// ID of the workspace.
    pub id: WorkspaceId,
    /// Overrides the route's priority.
    pub rank: Option<u8>,
    /// Whether it shares no cached prefixes with other workspaces.
    pub isolated: bool,
    /// Limit on its use; none if it is unlimited.
    pub quota: Option<QuotaSpec>,
}

/// Limits on client requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Maximum time to receive a request head.
    pub head_time: Duration,
    /// Maximum idle time of a keep-alive connection.
    pub idle_time: Duration,
}

impl Default for ClientLimits {
    /// Common limits of HTTP servers, for configurations that don't set their own.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// The parts of a configuration, before indexing.
#[derive(Debug, Clone, Default)]
pub struct SiteParts {
    /// Revision of the configuration. It only increases.
    pub revision: Revision,
    /// Routes, in any order.
    pub routes: Vec<Route>,
    /// Services by ID.
    pub services: HashMap<ServiceId, ServiceSpec>,
    /// Workspaces with their API keys; `None` if requests need no keys.
    pub workspaces: Option<Vec<(WorkspaceSpec, Vec<String>)>>,
    /// Limits on clients.
    pub limits: ClientLimits,
}

/// A configuration, indexed for lookups per request.
#[derive(Debug, Clone, Default)]
pub struct Site {
    revision: Revision,
    hosts: HashMap<String, Vec<Route>>,
    services: HashMap<ServiceId, ServiceSpec>,
    workspaces: Vec<WorkspaceSpec>,
    isolation: Isolation,
    keys: Option<HashMap<String, usize>>,
    limits: ClientLimits,
    urgent_streams: HashMap<ServiceId, UrgentStream>,
    patient_services: HashSet<ServiceId>,
    resumable_services: BTreeSet<ServiceId>,
}

/// The most urgent streaming routes of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct UrgentStream {
    /// Their rank.
    rank: u8,
    /// Shortest latency objective of the routes of this rank.
    objective: Duration,
}

impl UrgentStream {
    /// The more urgent of two; of equal ranks, the one with the shorter objective.
    fn merge(self, other: Self) -> Self {
        std::cmp::min_by_key(self, other, |stream| (stream.rank, stream.objective))
    }

    fn outranks(&self, route: &Route) -> bool {
        route.rank > self.rank && route.objective >= self.objective * PATIENT_FACTOR
    }
}

/// The owner of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Owner<'a> {
    /// The route or the configuration requires no API key.
    Anonymous,
    /// The workspace of the API key.
    Workspace(&'a WorkspaceSpec),
    /// The API key is missing or unknown.
    Unknown,
}

impl Site {
    /// Indexes a configuration.
    pub fn new(parts: SiteParts) -> Self {
        let urgent_streams = urgent_streams(&parts.routes);
        let patient = parts.routes.iter().filter(|route| is_patient(route, &urgent_streams));
        let patient_services = patient
            .flat_map(active_targets)
            .map(|target| target.service.clone())
            .collect();
        let resumable = parts.routes.iter().filter(|route| route.kind.resumable());
        let resumable_services = resumable
            .flat_map(|route| &route.targets)
            .map(|target| target.service.clone())
            .collect();
        let mut hosts: HashMap<String, Vec<Route>> = HashMap::new();
        for route in parts.routes {
            hosts.entry(route.host.clone()).or_default().push(route);
        }
        for routes in hosts.values_mut() {
            // Longest prefix first, since `route` returns the first match.
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let (workspaces, keys) = index_workspaces(parts.workspaces);
        let isolated = workspaces.iter().filter(|spec| spec.isolated);
        let isolation = Isolation::new(isolated.map(|spec| spec.id.clone()));
        Self {
            revision: parts.revision,
            hosts,
            services: parts.services,
            workspaces,
            isolation,
            keys,
            limits: parts.limits,
            urgent_streams,
            patient_services,
            resumable_services,
        }
    }

    /// Revision of the configuration.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Limits on clients.
    pub fn limits(&self) -> ClientLimits {
        self.limits
    }

    /// Quotas of the workspaces that have one.
    pub fn quotas(&self) -> impl Iterator<Item = (&WorkspaceId, QuotaSpec)> {
        self.workspaces.iter().filter_map(|spec| Some((&spec.id, spec.quota?)))
    }

    /// The workspaces that share no cached prefixes with others.
    pub fn isolation(&self) -> &Isolation {
        &self.isolation
    }

    /// Addresses of the prefix stores.
    pub fn prefix_stores(&self) -> Vec<SocketAddr> {
        self.services.values().filter_map(|service| service.prefixes).collect()
    }

    /// The route of a request. The port and the case of `host` are ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(&name.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Whether a route's streams can wait for more urgent streams of the same service: each service that it sends
    /// requests to has a streaming route of a lower rank whose objective is at most a third of its own.
    pub fn is_patient(&self, route: &Route) -> bool {
        is_patient(route, &self.urgent_streams)
    }

    /// Whether a service has a patient route.
    pub fn has_patient(&self, service: &ServiceId) -> bool {
        self.patient_services.contains(service)
    }

    /// The services that have routes with resumable streams.
    pub fn resumable_services(&self) -> &BTreeSet<ServiceId> {
        &self.resumable_services
    }

    /// The owner of a request with this API key.
    pub fn owner(&self, route: &Route, key: Option<&str>) -> Owner<'_> {
        let Some(keys) = &self.keys else {
            return Owner::Anonymous;
        };
        if route.public {
            return Owner::Anonymous;
        }
        let index = key.and_then(|key| keys.get(key));
        index.map_or(Owner::Unknown, |index| Owner::Workspace(&self.workspaces[*index]))
    }
}

fn active_targets(route: &Route) -> impl Iterator<Item = &Target> {
    route.targets.iter().filter(|target| target.weight > 0)
}

fn urgent_streams(routes: &[Route]) -> HashMap<ServiceId, UrgentStream> {
    let mut streams: HashMap<ServiceId, UrgentStream> = HashMap::new();
    for route in routes.iter().filter(|route| route.kind.streams()) {
        let stream = UrgentStream {
            rank: route.rank,
            objective: route.objective,
        };
        for target in active_targets(route) {
            let entry = streams.entry(target.service.clone()).or_insert(stream);
            *entry = entry.merge(stream);
        }
    }
    streams
}

fn is_patient(route: &Route, streams: &HashMap<ServiceId, UrgentStream>) -> bool {
    let is_outranked = |target: &Target| {
        streams
            .get(&target.service)
            .is_some_and(|stream| stream.outranks(route))
    };
    route.kind.streams() && active_targets(route).next().is_some() && active_targets(route).all(is_outranked)
}

type IndexedWorkspaces = (Vec<WorkspaceSpec>, Option<HashMap<String, usize>>);

fn index_workspaces(workspaces: Option<Vec<(WorkspaceSpec, Vec<String>)>>) -> IndexedWorkspaces {
    let Some(list) = workspaces else {
        return (Vec::new(), None);
    };
    let mut specs = Vec::with_capacity(list.len());
    let mut keys = HashMap::new();
    for (spec, spec_keys) in list {
        for key in spec_keys {
            keys.insert(key, specs.len());
        }
        specs.push(spec);
    }
    (specs, Some(keys))
}

/// Longest ID of an endpoint, bytes.
const MAX_ID_BYTES: usize = 256;
/// Most slots that an endpoint is taken to have. Its places may be divided one by one, and an entry may state any number.
const MAX_SLOTS: u32 = 4_096;

/// The endpoint ID that is this text, if it can be one. IDs become a part of heads, so they are visible ASCII.
pub fn parse_endpoint_id(text: &str) -> Option<EndpointId> {
    let is_valid = (1..=MAX_ID_BYTES).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_graphic());
    is_valid.then(|| EndpointId::from(text))
}

/// An endpoint's entry in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointEntry {
    /// ID; a restarted endpoint may reuse it.
    pub id: EndpointId,
    /// Start time of this incarnation. A new incarnation has an empty cache and no state of the previous one.
    pub incarnation: ids::Incarnation,
    /// Service that the endpoint belongs to.
    pub service: ServiceId,
    /// Address that it listens on. Another endpoint may reuse it later.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: ids::DomainId,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the endpoint is draining: it accepts no new requests.
    pub draining: bool,
    /// Version of its software; empty if its entry names none.
    pub software: SoftwareVersion,
    /// Models that it serves, with the version of their weights.
    pub weights: Vec<(ModelId, u64)>,
}

impl EndpointEntry {
    /// Limits the numbers that it states to what an endpoint can have.
    pub(crate) fn limit(&mut self) {
        self.slots = self.slots.min(MAX_SLOTS);
    }
}
