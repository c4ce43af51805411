//! Keys, versions and leases. No clock: `now` is the time since the start.

use ids::Version;
use std::collections::BTreeMap;
use std::time::Duration;
use wire::platform::{Entries, Entry, Lease, Put};

const MOST_VALUE: usize = 1 << 20;

/// All keys and leases.
#[derive(Debug, Default)]
pub struct Store {
    keys: BTreeMap<String, Kept>,
    leases: BTreeMap<u64, Held>,
    newest_lease: u64,
}

/// What became of a compare-and-swap.
#[derive(Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// It took effect.
    Done(Entry),
    /// The key has another version.
    Conflict(Entry),
    /// The lease it names has lapsed.
    NoLease,
    /// The value is larger than a megabyte.
    TooLarge,
}

#[derive(Debug, Default)]
struct Kept {
    value: Option<String>,
    version: u64,
    lease: Option<u64>,
}

#[derive(Debug)]
struct Held {
    ttl: Duration,
    ends: Duration,
}

impl Store {
    /// The entry of `key`, version 0 if it never existed.
    pub fn get(&self, key: &str) -> Entry {
        let (value, version) = self
            .keys
            .get(key)
            .map_or((None, 0), |kept| (kept.value.clone(), kept.version));
        Entry {
            key: key.to_owned(),
            value,
            version: Version(version),
        }
    }

    /// Writes if the key has the expected version.
    pub fn put(&mut self, put: &Put) -> PutOutcome {
        if put.value.as_ref().is_some_and(|value| value.len() > MOST_VALUE) {
            return PutOutcome::TooLarge;
        }
        if put.lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return PutOutcome::NoLease;
        }
        let current = self.get(&put.key);
        if current.version != put.expect {
            return PutOutcome::Conflict(current);
        }
        let kept = Kept {
            value: put.value.clone(),
            version: current.version.0 + 1,
            lease: put.lease,
        };
        self.keys.insert(put.key.clone(), kept);
        PutOutcome::Done(self.get(&put.key))
    }

    /// Existing entries below `prefix`, by key.
    pub fn range(&self, prefix: &str) -> Entries {
        let from = self.keys.range(prefix.to_owned()..);
        let below = from.take_while(|(key, _)| key.starts_with(prefix));
        let present = below.filter(|(_, kept)| kept.value.is_some());
        Entries {
            entries: present.map(|(key, _)| self.get(key)).collect(),
        }
    }

    /// A new lease.
    pub fn grant(&mut self, now: Duration, ttl_ms: u64) -> Lease {
        self.newest_lease += 1;
        let ttl = Duration::from_millis(ttl_ms);
        self.leases.insert(self.newest_lease, Held { ttl, ends: now + ttl });
        Lease {
            id: self.newest_lease,
            ttl_ms,
        }
    }

    /// The lease with its full time again; none once it has lapsed.
    pub fn renew(&mut self, now: Duration, id: u64) -> Option<Lease> {
        let held = self.leases.get_mut(&id)?;
        held.ends = now + held.ttl;
        let ttl_ms = u64::try_from(held.ttl.as_millis()).expect("came as milliseconds");
        Some(Lease { id, ttl_ms })
    }

    /// Ends a lease; returns the keys that went with it.
    pub fn revoke(&mut self, id: u64) -> Vec<String> {
        self.leases.remove(&id);
        let mut gone = Vec::new();
        for (key, kept) in &mut self.keys {
            if kept.lease == Some(id) {
                *kept = Kept {
                    value: None,
                    version: kept.version + 1,
                    lease: None,
                };
                gone.push(key.clone());
            }
        }
        gone
    }

    /// Ends all leases whose time is over; returns the keys that went with them.
    pub fn expire(&mut self, now: Duration) -> Vec<String> {
        let over = self.leases.iter().filter(|(_, held)| held.ends <= now);
        let ids: Vec<u64> = over.map(|(id, _)| *id).collect();
        ids.into_iter().flat_map(|id| self.revoke(id)).collect()
    }
}
