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
use std::sync::atomic::Ordering;
use std::time::Duration;
use store::items::{Client, CommitOutcome, ItemsError, Transaction, Write};

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

/// Keeps this router's entry in the store until the process exits.
pub async fn register(shared: Arc<Shared>, address: SocketAddr) {
    let mut lease = None;
    loop {
        let client = Client::new(shared.settings.load().store, shared.dialect.store);
        let until = shared.clock.now() + LEASE_TTL;
        let pause = match lease {
            None => {
                lease = write_entry(&shared, &client, address).await.ok().flatten();
                if lease.is_some() {
                    shared.fleet().set_registered_until(until);
                    RENEW_INTERVAL
                } else {
                    RETRY_DELAY
                }
            }
            Some(held) => match client.renew(held, CALL_TIMEOUT).await {
                Ok(Some(_)) => {
                    shared.fleet().set_registered_until(until);
                    RENEW_INTERVAL
                }
                Ok(None) => {
                    lease = None;
                    Duration::ZERO
                }
                Err(_) => RETRY_DELAY,
            },
        };
        if shared.stopping.load(Ordering::SeqCst) {
            if let Some(held) = lease {
                // An entry that is not removed expires by itself.
                drop(client.release(held, CALL_TIMEOUT).await);
            }
            return;
        }
        if timeout(pause, shared.restored_signal.1.recv()).await.is_ok() {
            // The lease may no longer exist, or its id may now belong to another lease.
            log::info!("store: writing this router's entry again");
            lease = None;
        }
    }
}

/// Writes the entry. Returns its lease, or none if the write was not committed.
async fn write_entry(shared: &Shared, client: &Client, address: SocketAddr) -> Result<Option<u64>, ItemsError> {
    let granted = client.grant(LEASE_TTL, CALL_TIMEOUT).await?;
    let settings = shared.settings.load();
    let member = Member {
        domain: settings.domain.clone(),
        address,
        link: settings.link_mbps.unwrap_or_default(),
    };
    let transaction = Transaction {
        expected: Vec::new(),
        writes: vec![Write {
            key: format!("{MEMBER_PREFIX}{}", settings.vm),
            value: serde_json::to_vec(&member).expect("a name and an address always serialize"),
            lease: granted.lease,
        }],
    };
    let committed = client.commit(&transaction, CALL_TIMEOUT).await?;
    Ok(matches!(committed, CommitOutcome::Done(_)).then_some(granted.lease))
}
