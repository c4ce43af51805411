//! Rendezvous hashing: all routers choose the same few live routers for a key, without coordination.
//!
//! If a router joins or leaves, only the keys that it gains or had held move.

use ids::{DomainId, EndpointId, VmId};
use xxhash_rust::xxh3::xxh3_64;

/// Routers that watch one endpoint's load report. With two, reports keep arriving until the failure of one router is
/// detected. Each additional watcher would cost every endpoint one more poll per period.
pub const WATCHERS: usize = 2;

/// The `count` routers with the highest weight for `key`, highest first.
pub fn choose<'a>(key: &str, routers: impl IntoIterator<Item = &'a VmId>, count: usize) -> Vec<&'a VmId> {
    let mut weighted: Vec<(u64, &VmId)> = routers
        .into_iter()
        .map(|router| (weight(key, router), router))
        .collect();
    weighted.sort_unstable_by(|left, right| right.cmp(left));
    weighted.truncate(count);
    weighted.into_iter().map(|(_, router)| router).collect()
}

/// Whether `own` watches `endpoint`, given the live routers of the endpoint's failure domain.
pub fn watches(own: &VmId, endpoint: &EndpointId, live: &[VmId]) -> bool {
    choose(endpoint.as_str(), live, WATCHERS).contains(&own)
}

/// Whether `own` forwards the endpoint's load to its peers. Only the first watcher does; the second also reads the
/// load, so that it has it when it becomes the first.
pub fn forwards_load(own: &VmId, endpoint: &EndpointId, live: &[VmId]) -> bool {
    choose(endpoint.as_str(), live, 1).contains(&own)
}

/// Routers of a domain that compete for its order lease. With a fixed two, the load on the platform does not grow with
/// the domain, and there is a successor if one is lost.
pub const CANDIDATES: usize = 2;

/// Whether `own` competes for the order lease of `domain`.
pub fn is_candidate(own: &VmId, domain: &DomainId, live: &[VmId]) -> bool {
    choose(domain.as_str(), live, CANDIDATES).contains(&own)
}

/// A router's weight for `key`.
pub fn weight(key: &str, router: &VmId) -> u64 {
    let mut text = Vec::with_capacity(key.len() + 1 + router.as_str().len());
    text.extend_from_slice(key.as_bytes());
    text.push(0);
    text.extend_from_slice(router.as_str().as_bytes());
    xxh3_64(&text)
}
