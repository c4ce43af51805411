//! What routers tell each other about who exists, sent only when their digests differ.

use super::{Counted, Member, Membership, Peer};
use ids::DomainId;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Live routers of another failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainCount {
    /// The domain.
    pub domain: DomainId,
    /// Its live routers.
    pub routers: u32,
    /// Milliseconds since a router of that domain said so.
    pub age_ms: u64,
}

/// What one router knows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Live routers of its failure domain.
    pub members: Vec<Member>,
    /// Counts of the other domains.
    pub counts: Vec<DomainCount>,
}

impl Membership {
    /// What to tell a peer whose digest differs.
    pub fn roster(&self, now: Duration) -> Roster {
        let near = self.live.iter().filter_map(|id| self.peers.get(id));
        let heard = near.filter(|peer| peer.heard.is_some()).map(|peer| peer.member.clone());
        let counts = self.counts.iter().map(|(domain, counted)| DomainCount {
            domain: domain.clone(),
            routers: counted.routers,
            age_ms: u64::try_from(now.saturating_sub(counted.at).as_millis()).unwrap_or(u64::MAX),
        });
        Roster {
            members: heard.collect(),
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
        for (domain, counted) in &self.counts {
            text.push_str(&format!("{domain}\0{}\0", counted.routers));
        }
        xxh3_64(text.as_bytes())
    }

    /// Hearsay makes a router known, so that it is called, but not live: otherwise two routers could keep a dead one
    /// alive by telling each other of it.
    pub(super) fn learn(&mut self, roster: &Roster, now: Duration) {
        for member in roster.members.iter().filter(|member| member.id != self.own.id) {
            self.peers.entry(member.id.clone()).or_insert_with(|| Peer {
                member: member.clone(),
                heard: None,
                grace: Duration::ZERO,
                known: now,
                leaving: false,
            });
        }
        for count in roster.counts.iter().filter(|count| count.domain != self.own.domain) {
            let at = now.saturating_sub(Duration::from_millis(count.age_ms));
            let counted = Counted {
                routers: count.routers,
                at,
            };
            let known = self.counts.entry(count.domain.clone()).or_insert(counted);
            if known.at < at {
                *known = counted;
            }
        }
    }
}
