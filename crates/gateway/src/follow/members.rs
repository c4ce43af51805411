//! The routers of the deployment, as registered in the store.

use crate::shared::Shared;
use async_std::future::timeout;
use control::following::{UpdateSource, eligible_upstreams, update_source, watchers};
use control::rendezvous;
use ids::{DomainId, VmId};
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use store::items::{Client, CommitOutcome, Transaction, Write};

/// Key prefix of routers' entries, followed by the VM's id.
pub const MEMBER_PREFIX: &str = "apricotfork/routers/";
/// Time to live of an entry. An entry of a failed router is removed after this time; until then, followers detect the
/// failure themselves.
const LEASE_TTL: Duration = Duration::from_secs(9);
/// Interval between renewals. Two renewals in a row may fail.
const RENEW_INTERVAL: Duration = Duration::from_secs(3);
/// Delay before a failed call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Longest wait for a response.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Entry of a router.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Failure domain.
    pub domain: DomainId,
    /// Address for followers.
    pub address: SocketAddr,
    /// Bandwidth of the VM's network link, Mbit/s; 0 where all VMs have the same.
    #[serde(default)]
    pub link: f64,
}

/// The routers, grouped by whether they are in this router's failure domain.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Members {
    same_domain: Vec<(VmId, Member)>,
    other_domains: Vec<(VmId, Member)>,
}

impl Members {
    /// Reads the entries from this router's copy of the store.
    pub fn read(shared: &Shared) -> Self {
        let own = shared.settings.load();
        let relay = shared.relay.lock();
        let mut members = Self::default();
        for item in relay.log.with_prefix(MEMBER_PREFIX) {
            let Ok(member) = serde_json::from_slice::<Member>(&item.value) else {
                log::warn!(key = item.key.as_str(); "router: cannot parse its entry");
                continue;
            };
            let vm = VmId::from(item.key.trim_start_matches(MEMBER_PREFIX));
            let group = if member.domain == own.domain {
                &mut members.same_domain
            } else {
                &mut members.other_domains
            };
            group.push((vm, member));
        }
        members
    }

    /// Number of routers in the deployment, including this one.
    pub fn count(&self) -> u32 {
        (self.same_domain.len() + self.other_domains.len()) as u32
    }

    /// Ids of all routers in the deployment.
    pub fn ids(&self) -> Vec<VmId> {
        self.same_domain
            .iter()
            .chain(&self.other_domains)
            .map(|(vm, _)| vm.clone())
            .collect()
    }

    /// The routers of all failure domains that watch the store, except `own`.
    pub fn other_watchers(&self, own: &VmId) -> Vec<(VmId, SocketAddr)> {
        let mut domains: BTreeMap<&DomainId, Vec<&(VmId, Member)>> = BTreeMap::new();
        for router in self.same_domain.iter().chain(&self.other_domains) {
            domains.entry(&router.1.domain).or_default().push(router);
        }
        let mut found = Vec::new();
        for (domain, routers) in domains {
            let links: Vec<(VmId, f64)> = routers.iter().map(|(vm, member)| (vm.clone(), member.link)).collect();
            let eligible = eligible_upstreams(&links);
            let chosen = watchers(domain, &eligible);
            let watching = routers.iter().filter(|(vm, _)| vm != own && chosen.contains(&vm));
            found.extend(watching.map(|(vm, member)| (vm.clone(), member.address)));
        }
        found
    }

    /// The routers to report to, best first: those that this router may follow, then the watchers of other domains.
    /// Empty if this router watches the store.
    pub fn collectors(&self, own: &VmId, domain: &DomainId) -> Vec<(VmId, SocketAddr)> {
        let mut found = self.upstreams(own, domain);
        if found.is_empty() {
            return found;
        }
        let mut others = self.other_watchers(own);
        others.retain(|(vm, _)| found.iter().all(|(known, _)| known != vm));
        // Each router orders them differently, so that they share the work of a domain that lost its watchers.
        others.sort_by_cached_key(|(vm, _)| rendezvous::weight(own.as_str(), vm));
        found.extend(others);
        found
    }

    /// Addresses of `count` other routers, drawn at random. Half of them are in this router's failure domain, if it has
    /// enough. The rest are in other domains, because all routers of a domain may fail at once.
    pub fn some_others(&self, own: &VmId, count: usize) -> Vec<SocketAddr> {
        let mut random = rand::rng();
        let others = self.same_domain.iter().filter(|(vm, _)| vm != own);
        let mut drawn = others.sample(&mut random, count / 2);
        drawn.extend(self.other_domains.iter().sample(&mut random, count - drawn.len()));
        drawn.into_iter().map(|(_, member)| member.address).collect()
    }

    /// Ids and addresses of all routers in the deployment.
    pub fn addresses(&self) -> Vec<(VmId, SocketAddr)> {
        let all = self.same_domain.iter().chain(&self.other_domains);
        all.map(|(vm, member)| (vm.clone(), member.address)).collect()
    }

    /// Address of a router.
    pub fn address(&self, vm: &VmId) -> Option<SocketAddr> {
        let mut all = self.same_domain.iter().chain(&self.other_domains);
        all.find(|(known, _)| known == vm).map(|(_, member)| member.address)
    }

    /// All routers except `own`.
    pub fn others(&self, own: &VmId) -> Vec<(VmId, Member)> {
        let all = self.same_domain.iter().chain(&self.other_domains);
        all.filter(|(vm, _)| vm != own).cloned().collect()
    }

    /// The routers to follow, best first; empty if this router watches the store directly.
    pub fn upstreams(&self, own: &VmId, domain: &DomainId) -> Vec<(VmId, SocketAddr)> {
        let link_speeds: Vec<(VmId, f64)> = self
            .same_domain
            .iter()
            .map(|(vm, member)| (vm.clone(), member.link))
            .collect();
        let followed = eligible_upstreams(&link_speeds);
        let UpdateSource::Routers(upstreams) = update_source(own, domain, &followed) else {
            return Vec::new();
        };
        let member = |vm: &VmId| self.same_domain.iter().find(|(known, _)| known == vm);
        let upstreams = upstreams.into_iter().filter_map(member);
        upstreams.map(|(vm, member)| (vm.clone(), member.address)).collect()
    }
}

/// This router's entry in the store, as far as the router knows.
#[derive(Debug, Default)]
struct Registration {
    lease: Option<u64>,
    /// Whether the entry is written under the lease.
    written: bool,
}

/// What a try to keep the entry has led to.
enum Kept {
    /// The entry is written, and its lease renewed.
    Registered,
    /// The lease has ended.
    Expired,
    /// The lease may still be used, for the next try.
    Failed,
}

impl Registration {
    /// Renews the lease or requests one, and writes the entry if it isn't written.
    async fn keep(&mut self, shared: &Shared, client: &Client, address: SocketAddr) -> Kept {
        let renewed = match self.lease {
            Some(lease) => client.renew(lease, CALL_TIMEOUT).await.map(|ttl| ttl.map(|_| lease)),
            None => client
                .grant(LEASE_TTL, CALL_TIMEOUT)
                .await
                .map(|granted| Some(granted.lease)),
        };
        let Ok(renewed) = renewed else {
            return Kept::Failed;
        };
        self.lease = renewed;
        let Some(lease) = renewed else {
            self.written = false;
            return Kept::Expired;
        };
        if !self.written {
            // A lost response is repeated under the same lease, so that no lease is left behind.
            let committed = client.commit(&entry(shared, address, lease), CALL_TIMEOUT).await;
            self.written = matches!(committed, Ok(CommitOutcome::Done(_)));
        }
        if self.written { Kept::Registered } else { Kept::Failed }
    }
}

/// Keeps this router's entry in the store until the process exits.
pub async fn register(shared: Arc<Shared>, address: SocketAddr) {
    let mut registration = Registration::default();
    loop {
        let client = Client::new(shared.settings.load().store, shared.dialect.store);
        let until = shared.clock.now() + LEASE_TTL;
        let pause = match registration.keep(&shared, &client, address).await {
            Kept::Registered => {
                shared.fleet().set_registered_until(until);
                RENEW_INTERVAL
            }
            Kept::Expired => Duration::ZERO,
            Kept::Failed => RETRY_DELAY,
        };
        if shared.stop.has_begun() {
            if let Some(held) = registration.lease {
                // An entry that is not removed expires by itself.
                drop(client.release(held, CALL_TIMEOUT).await);
            }
            return;
        }
        if timeout(pause, shared.restored_signal.1.recv()).await.is_ok() {
            // The lease may no longer exist, or its id may now belong to another lease.
            log::info!("store: writing this router's entry again");
            registration = Registration::default();
        }
    }
}

/// The transaction that writes this router's entry.
fn entry(shared: &Shared, address: SocketAddr, lease: u64) -> Transaction {
    let settings = shared.settings.load();
    let member = Member {
        domain: settings.domain.clone(),
        address,
        link: settings.link_mbps.unwrap_or_default(),
    };
    Transaction {
        expected: Vec::new(),
        writes: vec![Write {
            key: format!("{MEMBER_PREFIX}{}", settings.vm),
            value: serde_json::to_vec(&member).expect("a name and an address always serialize"),
            lease,
        }],
    }
}
