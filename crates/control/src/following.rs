//! Who asks the platform for a new configuration.
//!
//! Load pattern: every change is wanted by every router within seconds. If each of 380 routers kept a watch, each change
//! would cost the platform 380 answers, 380 new watches and 380 reads of a section at the same moment, of the two
//! thousand reads a second that it has. So in each failure domain [`WATCHERS`] routers watch, and tell the others.
//! Should the watchers be cut off, or wrong, the others still read the head now and then; the larger the domain, the
//! more seldom each of them does, so that a domain costs the same whatever its size.

use crate::rendezvous::choose;
use ids::{DomainId, VmId};
use std::time::Duration;

/// Routers of a domain that watch the head. Two, so that one lost delays nothing.
pub const WATCHERS: usize = 2;
/// Mean time between the reads of all the routers of a domain that don't watch. A change that the watchers miss is
/// found by one of the others within about this time, and must be in force everywhere within five seconds.
pub const READ_EVERY: Duration = Duration::from_millis(2_500);

/// What a router asks of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Follow {
    /// Keep a watch on the head.
    Watch,
    /// Read the head once in this time. Each wait is to be drawn from half to one and a half of it, or else routers
    /// that started together would read together.
    Read(Duration),
}

/// From whom a router that needs everything hears of changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpdateSource<'a> {
    /// From the store itself.
    Store,
    /// From one of these routers, the first one that answers.
    Routers(Vec<&'a VmId>),
}

/// Routers with less than this share of their domain's widest link are followed by nobody. A dozen followers take some
/// 2 Mbit/s, which fills the link of a small VM: its followers hear too late, and its callers wait.
const WIDE: f64 = 0.5;

/// The routers of a domain whose links bear being followed. `links` are in Mbit/s, 0 for all where they are unknown.
pub fn eligible_leaders(links: &[(VmId, f64)]) -> Vec<VmId> {
    let widest = links.iter().map(|(_, link)| *link).fold(0.0, f64::max);
    let wide = links.iter().filter(|(_, link)| *link >= widest * WIDE);
    wide.map(|(vm, _)| vm.clone()).collect()
}

/// From whom `own` hears, given the routers of its domain. The others are spread over the watchers.
pub fn update_source<'a>(own: &VmId, domain: &DomainId, live: &'a [VmId]) -> UpdateSource<'a> {
    let watchers = choose(domain.as_str(), live, WATCHERS);
    if watchers.is_empty() || watchers.contains(&own) {
        return UpdateSource::Store;
    }
    let count = watchers.len();
    UpdateSource::Routers(choose(own.as_str(), watchers, count))
}

/// What `own` asks, given the live routers of its domain.
pub fn follow(own: &VmId, domain: &DomainId, live: &[VmId]) -> Follow {
    let watchers = choose(domain.as_str(), live, WATCHERS);
    if watchers.contains(&own) || !live.contains(own) {
        return Follow::Watch;
    }
    let others = u32::try_from(live.len() - watchers.len()).unwrap_or(u32::MAX);
    Follow::Read(READ_EVERY * others)
}
