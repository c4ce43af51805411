//! Paths to endpoints: a connection of this router's own, or a tunnel through another router.
//!
//! Load pattern: some routers, up to all of a failure domain and most of the deployment, lose their path to all
//! endpoints for seconds, while clients, the store and other routers still reach them. New connections to endpoints hang
//! or are refused. A connection timeout takes most of the time that a client has, so a slow connection is raced by a
//! tunnel, and a path that lost the race is used again only after a connection has shown that it works.
//!
//! A tunnel carries the bytes of one connection. Attempts, deadlines, budgets and quotas stay with the router that
//! serves the client.

use crate::site::EndpointEntry;
use control::rendezvous;
use ids::{DomainId, EndpointId, ServiceId, VmId};
use std::collections::HashMap;
use std::time::Duration;

/// Head start of a connection before a tunnel is opened too. Connecting takes a few milliseconds within a region.
const TUNNEL_DELAY: Duration = Duration::from_millis(150);
/// The same while the path to another endpoint is lost.
const TUNNEL_DELAY_SUSPECTED: Duration = Duration::from_millis(30);
/// Interval between connections that show whether a lost path works again.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a tunnel after which a lost path counts as working again.
const FORGET_AFTER: Duration = Duration::from_secs(5);
/// Time without a connection of its own after which a router that uses tunnels counts as cut off.
const CUT_OFF_AFTER: Duration = Duration::from_millis(1_000);
/// Lost paths of a router that counts as cut off. One may be a lost packet.
const MIN_LOST: usize = 2;
/// How long no tunnel is requested to an endpoint that other routers could not reach either.
const UNREACHABLE_TIME: Duration = Duration::from_millis(1_000);
/// Routers asked for one tunnel.
const MAX_HELPERS: usize = 3;
/// How long routers are preferred that have opened a tunnel, and avoided that have not.
const REMEMBERED_TIME: Duration = Duration::from_secs(3);
/// Routers of a domain that have not opened a tunnel, without one that has, after which the others are avoided too.
const MAX_DOMAIN_FAILURES: usize = 2;
/// Most tunnels that a router carries for others. At 16 KB of buffers for each direction they take 2 MB.
const MAX_TUNNELS: usize = 64;

/// The order in which the paths to an endpoint are tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathPlan {
    /// Connect. Open a tunnel as well if that fails or has taken this long.
    Direct {
        /// Head start of the connection.
        tunnel_after: Duration,
    },
    /// Connect. Other routers cannot reach the endpoint either.
    DirectOnly,
    /// Open a tunnel, and connect only if that fails.
    Tunnel,
}

/// A router that may carry a tunnel.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Helper {
    /// Its VM.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainId,
}

/// How a router answered the request for a tunnel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HelperReply {
    /// The tunnel is open.
    Opened,
    /// It could not reach the endpoint.
    Unreachable,
    /// It did not answer, carries enough tunnels or has lost the path to the endpoint itself.
    Refused,
}

/// How likely a router is to open a tunnel, best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Preference {
    /// It, or another one of its domain, has opened one recently. Preferring only the former would send all tunnels of a
    /// router through the first that worked.
    Works,
    Unknown,
    /// Others of its domain could not.
    Suspected,
    /// It could not, recently.
    Avoided,
}

/// Recent replies of a domain's routers.
#[derive(Debug, Clone, Copy, Default)]
struct DomainReplies {
    works: bool,
    failures: usize,
}

impl DomainReplies {
    /// Preference for routers of the domain that have not replied.
    fn preference(self) -> Preference {
        if self.works {
            Preference::Works
        } else if self.failures >= MAX_DOMAIN_FAILURES {
            Preference::Suspected
        } else {
            Preference::Unknown
        }
    }
}

/// A lost path.
#[derive(Debug, Clone)]
struct Detour {
    /// Service of the endpoint.
    service: ServiceId,
    /// When the last connection was tried.
    tried: Duration,
    /// When the last tunnel was opened.
    used: Duration,
}

/// One router's paths to its endpoints.
#[derive(Debug, Default)]
pub struct Paths {
    detours: HashMap<EndpointId, Detour>,
    /// When a connection was last established, by service.
    connected: HashMap<ServiceId, Duration>,
    /// Until when no tunnels are requested to endpoints that other routers could not reach.
    unreachable: HashMap<EndpointId, Duration>,
    /// Recent replies of other routers to requests for tunnels.
    replies: HashMap<VmId, (HelperReply, Duration)>,
    /// Tunnels that this router carries for others.
    carried: usize,
}

impl Paths {
    /// Decides how to reach an endpoint.
    pub fn plan(&mut self, endpoint: &EndpointId, now: Duration) -> PathPlan {
        self.expire(now);
        let suspected = !self.detours.is_empty();
        let Some(detour) = self.detours.get_mut(endpoint) else {
            // While other paths are lost, the routers that were asked may have lost theirs too.
            if !suspected && self.unreachable.get(endpoint).is_some_and(|until| now < *until) {
                return PathPlan::DirectOnly;
            }
            let tunnel_after = if suspected {
                TUNNEL_DELAY_SUSPECTED
            } else {
                TUNNEL_DELAY
            };
            return PathPlan::Direct { tunnel_after };
        };
        if now < detour.tried + RETRY_INTERVAL {
            return PathPlan::Tunnel;
        }
        // A tunnel that is opened at the same time keeps the client from waiting for the outcome.
        detour.tried = now;
        PathPlan::Direct {
            tunnel_after: Duration::ZERO,
        }
    }

    /// Forgets lost paths that were not used for a while.
    pub fn expire(&mut self, now: Duration) {
        self.detours.retain(|_, detour| now < detour.used + FORGET_AFTER);
    }

    /// Records that a connection to the endpoint was established. Returns whether its path had been lost.
    pub fn connected(&mut self, endpoint: &EndpointEntry, now: Duration) -> bool {
        match self.connected.get_mut(&endpoint.service) {
            Some(connected) => *connected = now,
            None => drop(self.connected.insert(endpoint.service.clone(), now)),
        }
        self.detours.remove(&endpoint.id).is_some()
    }

    /// Records that a tunnel to the endpoint was opened although a connection was due before it. Returns whether the
    /// path counted as working until now.
    pub fn tunnelled(&mut self, endpoint: &EndpointEntry, now: Duration) -> bool {
        if let Some(detour) = self.detours.get_mut(&endpoint.id) {
            detour.used = now;
            return false;
        }
        let detour = Detour {
            service: endpoint.service.clone(),
            tried: now,
            used: now,
        };
        self.detours.insert(endpoint.id.clone(), detour);
        true
    }

    /// Records that other routers could not reach the endpoint. Without a pause, each request and probe to an endpoint
    /// that is down would make several routers connect to it.
    pub fn unreachable_from_others(&mut self, endpoint: &EndpointId, now: Duration) {
        self.unreachable.retain(|_, until| now < *until);
        self.unreachable.insert(endpoint.clone(), now + UNREACHABLE_TIME);
    }

    /// Number of endpoints whose path is lost.
    pub fn lost(&self) -> usize {
        self.detours.len()
    }

    /// Whether this router has lost its paths to all endpoints of a service that it has used lately. In a large pool these
    /// are few of them.
    pub fn is_cut_off(&self, service: &ServiceId, now: Duration) -> bool {
        let in_use = |detour: &&Detour| detour.service == *service && now < detour.used + FORGET_AFTER;
        let connected = self.connected.get(service).copied().unwrap_or_default();
        self.detours.values().filter(in_use).count() >= MIN_LOST && now >= connected + CUT_OFF_AFTER
    }

    /// Chooses the routers to ask for a tunnel, in this order. Those that probably work come first, then near ones,
    /// in the domain of either end, because bytes between domains are billed. Unless the first is known to work, the
    /// last is in another domain, because a whole domain may have lost its paths. `draw` is uniform over all `u64` values
    /// and spreads the tunnels.
    pub fn helpers(&self, helpers: &[Helper], ends: [&DomainId; 2], draw: u64, now: Duration) -> Vec<VmId> {
        let domains = self.domains(helpers, now);
        let key = draw.to_string();
        let mut ranked: Vec<_> = helpers
            .iter()
            .map(|helper| {
                let preference = match self.recent_reply(&helper.vm, now) {
                    Some(HelperReply::Opened) => Preference::Works,
                    Some(HelperReply::Unreachable | HelperReply::Refused) => Preference::Avoided,
                    None => domains.get(&helper.domain).copied().unwrap_or_default().preference(),
                };
                let is_far = !ends.contains(&&helper.domain);
                (preference, is_far, rendezvous::weight(&key, &helper.vm), helper)
            })
            .collect();
        ranked.sort_by_key(|(preference, is_far, order, _)| (*preference, *is_far, *order));
        let works = ranked.first().is_some_and(|first| first.0 == Preference::Works);
        let mut ranked: Vec<&Helper> = ranked.into_iter().map(|(.., helper)| helper).collect();
        if !works {
            vary_domains(&mut ranked);
        }
        ranked.truncate(MAX_HELPERS);
        ranked.into_iter().map(|helper| helper.vm.clone()).collect()
    }

    fn recent_reply(&self, helper: &VmId, now: Duration) -> Option<HelperReply> {
        let (reply, at) = self.replies.get(helper)?;
        (now < *at + REMEMBERED_TIME).then_some(*reply)
    }

    /// Recent replies by domain.
    fn domains<'a>(&self, helpers: &'a [Helper], now: Duration) -> HashMap<&'a DomainId, DomainReplies> {
        let mut domains: HashMap<&DomainId, DomainReplies> = HashMap::new();
        for helper in helpers {
            let Some(reply) = self.recent_reply(&helper.vm, now) else {
                continue;
            };
            let replies = domains.entry(&helper.domain).or_default();
            match reply {
                HelperReply::Opened => replies.works = true,
                HelperReply::Unreachable | HelperReply::Refused => replies.failures += 1,
            }
        }
        domains
    }

    /// Records how a router answered the request for a tunnel.
    pub fn helper_replied(&mut self, helper: &VmId, reply: HelperReply, now: Duration) {
        self.replies.retain(|_, (_, at)| now < *at + REMEMBERED_TIME);
        self.replies.insert(helper.clone(), (reply, now));
    }

    /// Whether this router carries one more tunnel to the endpoint for another router, and counts it if so. A router
    /// that needs tunnels itself refuses, so tunnels have one hop.
    pub fn carry(&mut self, endpoint: &EndpointId) -> bool {
        let accepted = self.carried < MAX_TUNNELS && !self.detours.contains_key(endpoint);
        self.carried += usize::from(accepted);
        accepted
    }

    /// Records the end of a carried tunnel.
    pub fn carried_ended(&mut self) {
        self.carried = self.carried.saturating_sub(1);
    }

    /// Number of tunnels that this router carries for others.
    pub fn carried(&self) -> usize {
        self.carried
    }

    /// Forgets an endpoint that is out of service.
    pub fn remove(&mut self, endpoint: &EndpointId) {
        self.detours.remove(endpoint);
    }
}

/// Replaces the last router to ask if all are in one domain.
fn vary_domains(ranked: &mut [&Helper]) {
    let Some(first) = ranked.first() else { return };
    let other = ranked.iter().position(|helper| helper.domain != first.domain);
    if let Some(other) = other.filter(|other| *other >= MAX_HELPERS) {
        ranked.swap(MAX_HELPERS - 1, other);
    }
}
