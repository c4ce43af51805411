//! Whom a router calls.
//!
//! Inside a failure domain the router with the lower id of each pair calls regularly; a call and its answer are a
//! heartbeat in both directions. The other one keeps a link as well, only for what can't wait: a new revision, a
//! leaving endpoint. To each other domain only few routers keep a link.

use super::{Member, Membership};
use crate::rendezvous::choose;
use ids::{DomainId, VmId};
use std::collections::BTreeSet;

/// Routers of a domain that keep a link to another domain, and peers that each of them calls there. With two times
/// two, one router lost on either side cuts nothing off.
pub const DOMAIN_LINKS: usize = 2;

/// A link that this router keeps.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Link {
    /// Whom to call.
    pub member: Member,
    /// Whether it is in another failure domain.
    pub cross_domain: bool,
    /// Whether heartbeats are sent at regular times, or only when something is urgent.
    pub periodic: bool,
}

impl Membership {
    /// All links that this router is to keep, dead peers among them, so that their return is noticed.
    pub fn links(&self) -> Vec<Link> {
        let near = self.peers.values().filter(|peer| peer.member.domain == self.own.domain);
        let mut links: Vec<Link> = near
            .map(|peer| Link {
                member: peer.member.clone(),
                cross_domain: false,
                periodic: self.own.id < peer.member.id,
            })
            .collect();
        let domains: BTreeSet<&DomainId> = self.peers.values().map(|peer| &peer.member.domain).collect();
        for domain in domains.into_iter().filter(|domain| **domain != self.own.domain) {
            if choose(domain.as_str(), &self.live, DOMAIN_LINKS).contains(&&self.own.id) {
                links.extend(self.far_links(domain));
            }
        }
        links
    }

    fn far_links(&self, domain: &DomainId) -> Vec<Link> {
        let there = self
            .peers
            .values()
            .filter(|peer| peer.member.domain == *domain && !peer.leaving);
        let ids: Vec<&VmId> = there.map(|peer| &peer.member.id).collect();
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
