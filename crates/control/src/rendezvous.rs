//! Rendezvous hashing: every router chooses the same few of the live routers for a key, without asking anyone.
//!
//! If one router comes or goes, only the keys move that it wins or had won.

use ids::{DomainId, EndpointId, VmId};
use xxhash_rust::xxh3::xxh3_64;

/// Routers that watch one endpoint's load report. Two, so that a report goes on arriving while one router's death is
/// being noticed; each more would cost every endpoint another poll a period.
pub const WATCHERS: usize = 2;

/// The `count` routers with the highest weight for `key`, highest first.
pub fn choose<'a>(key: &str, routers: impl IntoIterator<Item = &'a VmId>, count: usize) -> Vec<&'a VmId> {
    let mut weighed: Vec<(u64, &VmId)> = routers
        .into_iter()
        .map(|router| (weight(key, router), router))
        .collect();
    weighed.sort_unstable_by(|left, right| right.cmp(left));
    weighed.truncate(count);
    weighed.into_iter().map(|(_, router)| router).collect()
}

/// Whether `own` is to watch `endpoint`, given the live routers of the endpoint's failure domain.
pub fn watches(own: &VmId, endpoint: &EndpointId, live: &[VmId]) -> bool {
    choose(endpoint.as_str(), live, WATCHERS).contains(&own)
}

/// Whether `own` passes the endpoint's load on to its peers: the first of the watchers only. The second one reads it
/// as well, so that it has it at hand when it becomes the first.
pub fn forwards_load(own: &VmId, endpoint: &EndpointId, live: &[VmId]) -> bool {
    choose(endpoint.as_str(), live, 1).contains(&own)
}

/// Routers of a domain that try to hold its order lease. Two, so that the load of the platform does not grow with the
/// domain, and one router lost leaves a successor.
pub const CANDIDATES: usize = 2;

/// Whether `own` is to try to hold the order lease of `domain`.
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
