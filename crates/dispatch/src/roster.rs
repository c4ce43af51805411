//! Which endpoints are in service, from the store's entries.
//!
//! Load pattern: entries live under leases that the endpoints renew. When the store is away, leases of healthy
//! endpoints lapse; were their entries believed gone at once, all endpoints would vanish in the moment the store comes
//! back and every caller would be refused. So what is missing right after an outage stays in service for as long as a
//! living endpoint needs to register again.

use crate::site::EndpointEntry;
use ids::{EndpointId, ServiceId};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time after the store's return in which a living endpoint has registered again: the users state about two seconds,
/// to which a quarter is added for the watch's way here.
const REGISTER_AGAIN: Duration = Duration::from_millis(2_500);
/// Failing calls for shorter than this are no outage: leases of endpoints last for several heartbeats of a second.
const OUTAGE: Duration = Duration::from_millis(700);
/// Nothing heard for this long is an outage too, however late the first call failed: a lease lapses after three heartbeats of 1.2 s at
/// the sites, the last of which may have just been due. One lost answer to a watch is heard of again after 1.9 s.
const SILENCE: Duration = Duration::from_millis(2_000);

/// What changed in the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListChange {
    /// An entry as it is now.
    Listed(EndpointEntry),
    /// An entry that cannot be read: it names no endpoint to use.
    Unreadable(EndpointId),
    /// The entry has gone.
    Removed(EndpointId),
}

/// What became of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RosterChange {
    /// In service, newly or with other properties.
    Serves(Arc<EndpointEntry>),
    /// Its entry is missing and may have lapsed in an outage: it stays in service until then.
    Missing {
        /// Which.
        id: EndpointId,
        /// Until when.
        until: Duration,
    },
    /// Gone.
    Gone(EndpointId),
}

/// Endpoints in service.
#[derive(Debug, Clone, Default)]
pub struct Roster {
    entries: BTreeMap<EndpointId, Arc<EndpointEntry>>,
    missing: BTreeMap<EndpointId, Duration>,
    failing: Option<Duration>,
    silent: Option<Duration>,
    returned: Option<Duration>,
    lasted: Option<Duration>,
}

impl Roster {
    /// Endpoints of a service.
    pub fn of<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a Arc<EndpointEntry>> {
        self.entries.values().filter(move |entry| entry.service == *service)
    }

    /// All endpoints.
    pub fn all(&self) -> impl Iterator<Item = &Arc<EndpointEntry>> {
        self.entries.values()
    }

    /// How many are in service though their entries are missing.
    pub fn missing(&self) -> usize {
        self.missing.len()
    }

    /// When the store's last outage ended, and how long nothing had been heard of it, as far as this router can tell.
    pub fn outage(&self) -> Option<(Duration, Duration)> {
        self.returned.zip(self.lasted)
    }

    /// An endpoint.
    pub fn get(&self, id: &EndpointId) -> Option<&Arc<EndpointEntry>> {
        self.entries.get(id)
    }

    /// A call to the store failed.
    pub fn store_failed(&mut self, now: Duration) {
        self.failing.get_or_insert(now);
    }

    /// Nothing was heard of the store since then: a call that has failed left at that time, or all routers that this one follows
    /// have lost the store.
    pub fn store_unheard(&mut self, since: Duration) {
        self.silent = Some(self.silent.map_or(since, |silent| silent.min(since)));
    }

    /// A call to the store was answered. Comes before the changes that it brought.
    pub fn store_answered(&mut self, now: Duration) {
        let lasted = |since: Option<Duration>, least| since.is_some_and(|since| now.saturating_sub(since) >= least);
        // Both are over: one that was kept would make the next answer another return, and removals would count as lapses for longer.
        let (failing, silent) = (self.failing.take(), self.silent.take());
        if lasted(failing, OUTAGE) || lasted(silent, SILENCE) {
            self.returned = Some(now);
            self.lasted = silent.or(failing).map(|since| now.saturating_sub(since));
            // Those that had not registered when the store went away again could not do so since.
            self.missing
                .values_mut()
                .for_each(|until| *until = now + REGISTER_AGAIN);
        }
    }

    /// One change of the list.
    pub fn change(&mut self, change: ListChange, now: Duration) -> Option<RosterChange> {
        match change {
            ListChange::Listed(entry) => {
                self.missing.remove(&entry.id);
                self.list(entry)
            }
            ListChange::Unreadable(id) | ListChange::Removed(id) => self.remove(id, now),
        }
    }

    /// The whole list as it is now.
    pub fn replace(&mut self, list: Vec<ListChange>, now: Duration) -> Vec<RosterChange> {
        let named = |change: &ListChange| match change {
            ListChange::Listed(entry) => entry.id.clone(),
            ListChange::Unreadable(id) | ListChange::Removed(id) => id.clone(),
        };
        let present: Vec<EndpointId> = list.iter().map(named).collect();
        let lost: Vec<EndpointId> = self
            .entries
            .keys()
            .filter(|id| !present.contains(id))
            .cloned()
            .collect();
        let mut changes: Vec<_> = list.into_iter().filter_map(|change| self.change(change, now)).collect();
        changes.extend(lost.into_iter().filter_map(|id| self.remove(id, now)));
        changes
    }

    /// Lets go of what is still missing. While calls to the store fail, endpoints that live can't register: nothing is let go of.
    pub fn tick(&mut self, now: Duration) -> Vec<RosterChange> {
        let due = |until: &Duration| self.failing.is_none() && now >= *until;
        let gone: Vec<EndpointId> = self
            .missing
            .iter()
            .filter(|(_, until)| due(until))
            .map(|(id, _)| id.clone())
            .collect();
        gone.into_iter()
            .map(|id| {
                self.missing.remove(&id);
                self.entries.remove(&id);
                RosterChange::Gone(id)
            })
            .collect()
    }

    fn list(&mut self, entry: EndpointEntry) -> Option<RosterChange> {
        let known = self.entries.get(&entry.id);
        if known.is_some_and(|known| **known == entry) {
            return None;
        }
        let entry = Arc::new(entry);
        self.entries.insert(entry.id.clone(), entry.clone());
        Some(RosterChange::Serves(entry))
    }

    fn remove(&mut self, id: EndpointId, now: Duration) -> Option<RosterChange> {
        let entry = self.entries.get(&id)?;
        // One that said it leaves has not lapsed by the outage.
        if let (Some(until), false) = (self.grace(now), entry.leaving) {
            let until = *self.missing.entry(id.clone()).or_insert(until);
            return Some(RosterChange::Missing { id, until });
        }
        self.missing.remove(&id);
        self.entries.remove(&id);
        Some(RosterChange::Gone(id))
    }

    fn grace(&self, now: Duration) -> Option<Duration> {
        let until = self.returned? + REGISTER_AGAIN;
        (now < until).then_some(until)
    }
}
