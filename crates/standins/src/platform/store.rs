//! Keys, versions and leases. Reads no clock: `now` is the time since the start.

use ids::Version;
use std::collections::BTreeMap;
use std::time::Duration;
use wire::platform::{Entries, Entry, Lease, Put};

const MAX_VALUE_BYTES: usize = 1 << 20;

/// All keys and leases.
#[derive(Debug, Default)]
pub struct Store {
    keys: BTreeMap<String, StoredValue>,
    leases: BTreeMap<u64, LeaseState>,
    newest_lease: u64,
}

/// The outcome of a compare-and-swap.
#[derive(Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// The value was written.
    Done(Entry),
    /// The key has another version.
    Conflict(Entry),
    /// The lease has expired.
    NoLease,
    /// The value is larger than a megabyte.
    TooLarge,
}

#[derive(Debug, Default)]
struct StoredValue {
    value: Option<String>,
    version: u64,
    lease: Option<u64>,
}

#[derive(Debug)]
struct LeaseState {
    ttl: Duration,
    expires_at: Duration,
}

impl Store {
    /// The entry of `key`, with version 0 if it never existed.
    pub fn get(&self, key: &str) -> Entry {
        let (value, version) = self
            .keys
            .get(key)
            .map_or((None, 0), |stored| (stored.value.clone(), stored.version));
        Entry {
            key: key.to_owned(),
            value,
            version: Version(version),
        }
    }

    /// Writes if the key has the expected version.
    pub fn put(&mut self, put: &Put) -> PutOutcome {
        if put.value.as_ref().is_some_and(|value| value.len() > MAX_VALUE_BYTES) {
            return PutOutcome::TooLarge;
        }
        if put.lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return PutOutcome::NoLease;
        }
        let current = self.get(&put.key);
        if current.version != put.expect {
            return PutOutcome::Conflict(current);
        }
        let stored = StoredValue {
            value: put.value.clone(),
            version: current.version.0 + 1,
            lease: put.lease,
        };
        self.keys.insert(put.key.clone(), stored);
        PutOutcome::Done(self.get(&put.key))
    }

    /// The existing entries with this key prefix, ordered by key.
    pub fn range(&self, prefix: &str) -> Entries {
        let from = self.keys.range(prefix.to_owned()..);
        let matching = from.take_while(|(key, _)| key.starts_with(prefix));
        let present = matching.filter(|(_, stored)| stored.value.is_some());
        Entries {
            entries: present.map(|(key, _)| self.get(key)).collect(),
        }
    }

    /// Grants a new lease.
    pub fn grant(&mut self, now: Duration, ttl_ms: u64) -> Lease {
        self.newest_lease += 1;
        let ttl = Duration::from_millis(ttl_ms);
        self.leases.insert(
            self.newest_lease,
            LeaseState {
                ttl,
                expires_at: now + ttl,
            },
        );
        Lease {
            id: self.newest_lease,
            ttl_ms,
        }
    }

    /// Renews the lease for its full TTL. Returns `None` if it has expired.
    pub fn renew(&mut self, now: Duration, id: u64) -> Option<Lease> {
        let state = self.leases.get_mut(&id)?;
        state.expires_at = now + state.ttl;
        let ttl_ms = u64::try_from(state.ttl.as_millis()).expect("TTL was given in milliseconds");
        Some(Lease { id, ttl_ms })
    }

    /// Revokes a lease. Returns the keys that were deleted with it.
    pub fn revoke(&mut self, id: u64) -> Vec<String> {
        self.leases.remove(&id);
        let mut removed = Vec::new();
        for (key, stored) in &mut self.keys {
            if stored.lease == Some(id) {
                *stored = StoredValue {
                    value: None,
                    version: stored.version + 1,
                    lease: None,
                };
                removed.push(key.clone());
            }
        }
        removed
    }

    /// Expires all leases that are due. Returns the keys that were deleted with them.
    pub fn expire(&mut self, now: Duration) -> Vec<String> {
        let expired = self.leases.iter().filter(|(_, state)| state.expires_at <= now);
        let ids: Vec<u64> = expired.map(|(id, _)| *id).collect();
        ids.into_iter().flat_map(|id| self.revoke(id)).collect()
    }
}
