//! The view of the membership that routers exchange when their digests differ.

use super::{Member, Membership, Peer, RouterCount};
use ids::DomainId;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Number of live routers in another failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainCount {
    /// The domain.
    pub domain: DomainId,
    /// Number of its live routers.
    pub routers: u32,
    /// Milliseconds since a router of that domain reported the number.
    pub age_ms: u64,
}

/// One router's view of the membership.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Live routers of its failure domain.
    pub members: Vec<Member>,
    /// Counts of the other domains.
    pub counts: Vec<DomainCount>,
}

impl Membership {
    /// The view to send to a peer whose digest differs.
    pub fn roster(&self, now: Duration) -> Roster {
        let same_domain = self.live.iter().filter_map(|id| self.peers.get(id));
        let members = same_domain
            .filter(|peer| peer.last_heartbeat.is_some())
            .map(|peer| peer.member.clone());
        let counts = self.counts.iter().map(|(domain, router_count)| DomainCount {
            domain: domain.clone(),
            routers: router_count.routers,
            age_ms: u64::try_from(now.saturating_sub(router_count.at).as_millis()).unwrap_or(u64::MAX),
        });
        Roster {
            members: members.collect(),
            counts: counts.collect(),
        }
    }

    /// Digest of the live routers and the other domains' counts.
    pub fn digest(&self) -> u64 {
        let mut text = String::new();
        for id in &self.live {
            text.push_str(id.as_str());
            text.push('\0');
        }
        for (domain, router_count) in &self.counts {
            text.push_str(&format!("{domain}\0{}\0", router_count.routers));
        }
        xxh3_64(text.as_bytes())
    }

    /// Merges a peer's view. A router learned from a peer is called, but does not count as live: otherwise two routers
    /// could keep a dead one live by reporting it to each other.
    pub(super) fn merge_roster(&mut self, roster: &Roster, now: Duration) {
        for member in roster.members.iter().filter(|member| member.id != self.own.id) {
            self.peers.entry(member.id.clone()).or_insert_with(|| Peer {
                member: member.clone(),
                last_heartbeat: None,
                grace_until: Duration::ZERO,
                last_known: now,
                leaving: false,
            });
        }
        for count in roster.counts.iter().filter(|count| count.domain != self.own.domain) {
            let at = now.saturating_sub(Duration::from_millis(count.age_ms));
            let router_count = RouterCount {
                routers: count.routers,
                at,
            };
            let current = self.counts.entry(count.domain.clone()).or_insert(router_count);
            if current.at < at {
                *current = router_count;
            }
        }
    }
}
