//! Routers of the deployment, as they stand in the store.

use crate::shared::Shared;
use async_std::future::timeout;
use control::following::{UpdateSource, eligible_upstreams, update_source};
use control::rendezvous;
use ids::{DomainId, VmId};
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use store::items::{Client, Committed, ItemsError, Transaction, Write};

/// Prefix of routers' entries; the VM's id follows.
pub const PREFIX: &str = "apricotfork/routers/";
/// Time to live of an entry. A router that is gone for longer is followed by nobody; until then followers notice by
/// themselves.
const LEASE: Duration = Duration::from_secs(9);
/// Time between renewals: two may fail.
const RENEW: Duration = Duration::from_secs(3);
/// Wait before a failed call is repeated.
const AGAIN: Duration = Duration::from_millis(500);
/// Longest wait for an answer.
const CALL: Duration = Duration::from_millis(1_000);

/// A router's entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Its failure domain.
    pub domain: DomainId,
    /// Where it answers followers.
    pub address: SocketAddr,
    /// Its VM's link, Mbit/s; 0 where all VMs are alike.
    #[serde(default)]
    pub link: f64,
}

/// Routers of the own failure domain, and those of the others.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Members {
    near: Vec<(VmId, Member)>,
    far: Vec<(VmId, Member)>,
}

impl Members {
    /// Reads the entries.
    pub fn read(shared: &Shared) -> Self {
        let own = shared.settings.load();
        let relay = shared.relay.lock();
        let mut members = Self::default();
        for item in relay.log.under(PREFIX) {
            let Ok(member) = serde_json::from_slice::<Member>(&item.value) else {
                log::warn!(key = item.key.as_str(); "router: its entry cannot be read");
                continue;
            };
            let vm = VmId::from(item.key.trim_start_matches(PREFIX));
            let side = if member.domain == own.domain {
                &mut members.near
            } else {
                &mut members.far
            };
            side.push((vm, member));
        }
        members
    }

    /// Routers of the deployment.
    pub fn count(&self) -> u32 {
        (self.near.len() + self.far.len()) as u32
    }

    /// Ids of the routers of the deployment.
    pub fn ids(&self) -> Vec<VmId> {
        self.near.iter().chain(&self.far).map(|(vm, _)| vm.clone()).collect()
    }

    /// Addresses of the other routers, of the own failure domain first, at most so many.
    pub fn others(&self, own: &VmId, most: usize) -> Vec<SocketAddr> {
        let near = self.near.iter().filter(|(vm, _)| vm != own).take(most);
        let mut others: Vec<SocketAddr> = near.map(|(_, member)| member.address).collect();
        // Another order at each router, so that news passes between all domains.
        let mut far: Vec<&(VmId, Member)> = self.far.iter().collect();
        far.sort_by_cached_key(|(vm, _)| rendezvous::weight(own.as_str(), vm));
        let left = most - others.len();
        others.extend(far.into_iter().take(left).map(|(_, member)| member.address));
        others
    }

    /// Addresses of some other routers, drawn at random: half of them of the own failure domain, as far as there are, and the rest of
    /// others, since a whole domain may have lost its routers at once.
    pub fn some_others(&self, own: &VmId, count: usize) -> Vec<SocketAddr> {
        let mut random = rand::rng();
        let others = self.near.iter().filter(|(vm, _)| vm != own);
        let mut drawn = others.sample(&mut random, count / 2);
        drawn.extend(self.far.iter().sample(&mut random, count - drawn.len()));
        drawn.into_iter().map(|(_, member)| member.address).collect()
    }

    /// Whom this router follows, the best first; none if it watches the store itself.
    pub fn leaders(&self, own: &VmId, domain: &DomainId) -> Vec<(VmId, SocketAddr)> {
        let links: Vec<(VmId, f64)> = self.near.iter().map(|(vm, member)| (vm.clone(), member.link)).collect();
        let followed = eligible_upstreams(&links);
        let UpdateSource::Routers(leaders) = update_source(own, domain, &followed) else {
            return Vec::new();
        };
        let member = |vm: &VmId| self.near.iter().find(|(known, _)| known == vm);
        let leaders = leaders.into_iter().filter_map(member);
        leaders.map(|(vm, member)| (vm.clone(), member.address)).collect()
    }
}

/// Keeps this router's entry in the store until the process ends.
pub async fn register(shared: Arc<Shared>, address: SocketAddr) {
    let mut lease = None;
    loop {
        let client = Client::new(shared.settings.load().store, shared.dialect.store);
        let pause = match lease {
            None => {
                lease = enter(&shared, &client, address).await.ok().flatten();
                if lease.is_some() { RENEW } else { AGAIN }
            }
            Some(held) => match client.renew(held, CALL).await {
                Ok(Some(_)) => RENEW,
                Ok(None) => {
                    lease = None;
                    Duration::ZERO
                }
                Err(_) => AGAIN,
            },
        };
        if shared.stopping.load(Ordering::SeqCst) {
            if let Some(held) = lease {
                // An entry that isn't taken back lapses by itself.
                drop(client.release(held, CALL).await);
            }
            return;
        }
        if timeout(pause, shared.restored.1.recv()).await.is_ok() {
            // The lease may be gone, or its number given to another.
            log::info!("store: the router's entry is written again");
            lease = None;
        }
    }
}

/// Writes the entry; the lease it hangs on, none if it may not be there.
async fn enter(shared: &Shared, client: &Client, address: SocketAddr) -> Result<Option<u64>, ItemsError> {
    let granted = client.grant(LEASE, CALL).await?;
    let settings = shared.settings.load();
    let member = Member {
        domain: settings.domain.clone(),
        address,
        link: settings.link_mbps.unwrap_or_default(),
    };
    let transaction = Transaction {
        expected: Vec::new(),
        writes: vec![Write {
            key: format!("{PREFIX}{}", settings.vm),
            value: serde_json::to_vec(&member).expect("a name and an address are always JSON"),
            lease: granted.lease,
        }],
    };
    let committed = client.commit(&transaction, CALL).await?;
    Ok(matches!(committed, Committed::Done(_)).then_some(granted.lease))
}
