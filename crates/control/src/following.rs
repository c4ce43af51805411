//! Which routers watch the platform for configuration changes, and which poll it.
//!
//! Every router needs each change within seconds. If all 380 routers of a deployment kept a watch, each change would
//! cost the platform 380 answers, 380 new watches and 380 section reads at once, out of a capacity of two thousand
//! reads a second. Therefore only [`WATCHERS`] routers per failure domain keep a watch and notify their peers. The
//! peers also poll the head, in case the watchers are disconnected or stale. The poll interval grows with the size of
//! the domain, so that the load on the platform does not depend on it.

use crate::rendezvous::choose;
use ids::{DomainId, VmId};
use std::time::Duration;

/// Routers of a domain that watch the head. With two, losing one delays no change.
pub const WATCHERS: usize = 2;
/// Mean time between two reads of the head, over all non-watching routers of a domain together. A change that the
/// watchers miss is found by another router within about this time. It must be in force everywhere within five seconds.
pub const DOMAIN_READ_INTERVAL: Duration = Duration::from_millis(2_500);

/// How a router learns of configuration changes from the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Follow {
    /// Keep a watch on the head.
    Watch,
    /// Read the head once per this interval. Each wait must be drawn at random from half to one and a half times the
    /// interval; otherwise routers that started together would read at the same time.
    Read(Duration),
}

/// Where a router that needs every update gets updates from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpdateSource<'a> {
    /// The store itself.
    Store,
    /// The first of these routers that answers.
    Routers(Vec<&'a VmId>),
}

/// Minimum link bandwidth of an upstream, as a share of the fastest link in its domain. A dozen followers
/// take about 2 Mbit/s. That saturates the link of a small VM, which delays updates to its followers and answers to its
/// clients.
const MIN_LINK_SHARE: f64 = 0.5;

/// The routers of a domain whose links are fast enough for followers. `links` are in Mbit/s, or all 0 if unknown.
pub fn eligible_upstreams(links: &[(VmId, f64)]) -> Vec<VmId> {
    let fastest = links.iter().map(|(_, link)| *link).fold(0.0, f64::max);
    let eligible = links.iter().filter(|(_, link)| *link >= fastest * MIN_LINK_SHARE);
    eligible.map(|(vm, _)| vm.clone()).collect()
}

/// The routers of a domain that get updates from the store and serve the others, given those that may.
pub fn watchers<'a>(domain: &DomainId, eligible: &'a [VmId]) -> Vec<&'a VmId> {
    choose(domain.as_str(), eligible, WATCHERS)
}

/// Where `own` gets updates from, given the routers of its domain. Non-watching routers are spread over the watchers.
pub fn update_source<'a>(own: &VmId, domain: &DomainId, live: &'a [VmId]) -> UpdateSource<'a> {
    let watchers = watchers(domain, live);
    if watchers.is_empty() || watchers.contains(&own) {
        return UpdateSource::Store;
    }
    let count = watchers.len();
    UpdateSource::Routers(choose(own.as_str(), watchers, count))
}

/// How `own` follows the configuration, given the live routers of its domain. A router that is not in `live` watches.
pub fn follow(own: &VmId, domain: &DomainId, live: &[VmId]) -> Follow {
    let watchers = watchers(domain, live);
    if watchers.contains(&own) || !live.contains(own) {
        return Follow::Watch;
    }
    let others = u32::try_from(live.len() - watchers.len()).unwrap_or(u32::MAX);
    Follow::Read(DOMAIN_READ_INTERVAL * others)
}
