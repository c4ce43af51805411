//! Which peers a router calls.
//!
//! Within a failure domain, the router with the lower id of each pair calls periodically; the call and its answer are
//! heartbeats in both directions. The other router keeps a link only for urgent updates, such as a new revision or a
//! draining endpoint. Only a few routers of a domain keep links to another domain.

use super::{Member, Membership};
use crate::rendezvous::choose;
use ids::{DomainId, VmId};
use std::collections::BTreeSet;

/// Routers of a domain that keep links to another domain, and the number of peers that each of them calls there. With
/// two on both sides, the domains stay connected if a router is lost on either side.
pub const DOMAIN_LINKS: usize = 2;

/// A link from this router to a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Link {
    /// The peer to call.
    pub member: Member,
    /// Whether the peer is in another failure domain.
    pub cross_domain: bool,
    /// Whether heartbeats are sent periodically. Otherwise only urgent updates are sent.
    pub periodic: bool,
}

impl Membership {
    /// All links of this router, including those to dead peers, so that a recovered peer is detected.
    pub fn links(&self) -> Vec<Link> {
        let same_domain = self.peers.values().filter(|peer| peer.member.domain == self.own.domain);
        let mut links: Vec<Link> = same_domain
            .map(|peer| Link {
                member: peer.member.clone(),
                cross_domain: false,
                periodic: self.own.id < peer.member.id,
            })
            .collect();
        let domains: BTreeSet<&DomainId> = self.peers.values().map(|peer| &peer.member.domain).collect();
        for domain in domains.into_iter().filter(|domain| **domain != self.own.domain) {
            if choose(domain.as_str(), &self.live, DOMAIN_LINKS).contains(&&self.own.id) {
                links.extend(self.cross_domain_links(domain));
            }
        }
        links
    }

    fn cross_domain_links(&self, domain: &DomainId) -> Vec<Link> {
        let remote = self
            .peers
            .values()
            .filter(|peer| peer.member.domain == *domain && !peer.leaving);
        let ids: Vec<&VmId> = remote.map(|peer| &peer.member.id).collect();
        let chosen = choose(self.own.domain.as_str(), ids, DOMAIN_LINKS);
        chosen
            .into_iter()
            .map(|id| Link {
                member: self.peers[id].member.clone(),
                cross_domain: true,
                periodic: true,
            })
            .collect()
    }
}
