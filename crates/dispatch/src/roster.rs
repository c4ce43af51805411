//! Which endpoints are in service, from the store's entries.
//!
//! Load pattern: entries live under leases that the endpoints renew. When the store is away, leases of healthy
//! endpoints lapse; were their entries believed gone at once, all endpoints would vanish in the moment the store comes
//! back and every caller would be refused. So what is missing after a break in the store's answers stays in service for as long as
//! a living endpoint needs to register again, unless another router shows that the store was not away.

use crate::site::EndpointEntry;
use crate::uptime::{Span, Uptime};
use ids::{EndpointId, Incarnation, ServiceId};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Time after the store's return in which a living endpoint has registered again: the users state about two seconds,
/// to which a quarter is added for the watch's way here.
const REGISTER_AGAIN: Duration = Duration::from_millis(2_500);
/// Time after a call went unanswered in which this router must have the list right again: the store may have been back, or the
/// router's path to it, right after that call.
const RESTORED: Duration = Duration::from_millis(3_000);

/// Time after the store came back from a copy in which it may list endpoints that had gone: their entries lapse after three heartbeats.
const STALE: Duration = Duration::from_secs(10);
/// How long it is remembered that an endpoint is gone.
const REMEMBERED: Duration = Duration::from_secs(60);

/// Failing calls for longer than this, while living endpoints register, are a further outage: those that had not registered yet could not
/// do so since.
const OUTAGE: Duration = Duration::from_millis(700);

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
    InService(Arc<EndpointEntry>),
    /// Its entry is missing and may have lapsed in an outage: it stays in service until then.
    Missing {
        /// Which.
        id: EndpointId,
        /// Until when at most.
        until: Duration,
    },
    /// Gone.
    Removed(EndpointId),
}

/// Endpoints in service.
#[derive(Debug, Clone, Default)]
pub struct Roster {
    entries: BTreeMap<EndpointId, Arc<EndpointEntry>>,
    /// Those whose entries went and may have lapsed.
    missing: BTreeSet<EndpointId>,
    uptime: Uptime,
    /// When the first answer was due of the calls that have failed since the last answer.
    failing: Option<Duration>,
    /// When the store came back from a copy last.
    restored: Option<Duration>,
    /// Lives of endpoints that are gone, and since when.
    gone: BTreeMap<EndpointId, (Incarnation, Duration)>,
}

impl Roster {
    /// Endpoints of a service.
    pub fn for_service<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a Arc<EndpointEntry>> {
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

    /// Since when the store is known to answer.
    pub fn uptime(&self) -> &Uptime {
        &self.uptime
    }

    /// An endpoint.
    pub fn get(&self, id: &EndpointId) -> Option<&Arc<EndpointEntry>> {
        self.entries.get(id)
    }

    /// A call to the store failed, whose answer was due then.
    pub fn store_failed(&mut self, due: Duration) {
        self.failing.get_or_insert(due);
        self.uptime.failed(due);
    }

    /// The store answered this router, or one that it follows. Comes before the changes that the last answer brought.
    pub fn store_answered(&mut self, answers: Span) {
        let failing = self.failing.take();
        let further = |due: Duration| due + OUTAGE <= answers.until && self.kept_until(due).is_some();
        if failing.is_some_and(further) {
            self.uptime.resumed(answers);
        } else {
            self.uptime.answered(answers);
        }
    }

    /// The store came back from a copy, and has answered. Entries of living endpoints may be lost, as after an outage.
    pub fn store_restored(&mut self, answers: Span) {
        self.failing = None;
        self.uptime.resumed(answers);
        self.restored = Some(answers.until);
    }

    /// The store answered another router. Returns what is gone by that: its entry went while the store answered.
    pub fn store_answered_other(&mut self, answers: Span, now: Duration) -> Vec<RosterChange> {
        // Whoever has not noticed that the store came back from a copy would take lost entries for removed ones.
        if !self.restored_within(REGISTER_AGAIN, now) {
            self.uptime.witness(answers);
        }
        self.tick(now)
    }

    /// One change of the list.
    pub fn apply(&mut self, change: ListChange, now: Duration) -> Option<RosterChange> {
        match change {
            ListChange::Listed(entry) => {
                self.missing.remove(&entry.id);
                self.gone.remove(&entry.id);
                self.list(entry)
            }
            ListChange::Unreadable(id) | ListChange::Removed(id) => self.remove(id, now),
        }
    }

    /// The whole list as it is now.
    pub fn replace(&mut self, mut list: Vec<ListChange>, now: Duration) -> Vec<RosterChange> {
        if self.restored_within(STALE, now) {
            list.retain(|change| !self.is_stale(change));
            list.iter_mut().for_each(|change| self.keep_leaving(change));
        }
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
        let mut changes: Vec<_> = list.into_iter().filter_map(|change| self.apply(change, now)).collect();
        changes.extend(lost.into_iter().filter_map(|id| self.remove(id, now)));
        changes
    }

    /// Drops what is still missing. While calls to the store fail, endpoints that live can't register: nothing is dropped.
    pub fn tick(&mut self, now: Duration) -> Vec<RosterChange> {
        if self.failing.is_some() || self.kept_until(now).is_some() {
            return Vec::new();
        }
        let gone = std::mem::take(&mut self.missing);
        gone.into_iter().map(|id| self.drop_entry(id, now)).collect()
    }

    fn drop_entry(&mut self, id: EndpointId, now: Duration) -> RosterChange {
        self.missing.remove(&id);
        self.gone
            .retain(|_, (_, since)| now.saturating_sub(*since) < REMEMBERED);
        if let Some(entry) = self.entries.remove(&id) {
            self.gone.insert(id.clone(), (entry.incarnation, now));
        }
        RosterChange::Removed(id)
    }

    fn restored_within(&self, time: Duration, now: Duration) -> bool {
        self.restored
            .is_some_and(|restored| now.saturating_sub(restored) < time)
    }

    /// Whether a store that came back from a copy lists a life that is gone. One that isn't writes its entry again.
    fn is_stale(&self, change: &ListChange) -> bool {
        let ListChange::Listed(entry) = change else {
            return false;
        };
        let gone = self.gone.get(&entry.id);
        gone.is_some_and(|(life, _)| *life == entry.incarnation)
    }

    /// A life that leaves goes on leaving, whatever an older copy of the store says.
    fn keep_leaving(&self, change: &mut ListChange) {
        if let ListChange::Listed(entry) = change
            && let Some(known) = self.entries.get(&entry.id)
        {
            entry.leaving |= known.leaving && known.incarnation == entry.incarnation;
        }
    }

    fn list(&mut self, entry: EndpointEntry) -> Option<RosterChange> {
        let known = self.entries.get(&entry.id);
        if known.is_some_and(|known| **known == entry) {
            return None;
        }
        let entry = Arc::new(entry);
        self.entries.insert(entry.id.clone(), entry.clone());
        Some(RosterChange::InService(entry))
    }

    fn remove(&mut self, id: EndpointId, now: Duration) -> Option<RosterChange> {
        let entry = self.entries.get(&id)?;
        // One that said it leaves has not lapsed in an outage.
        if entry.leaving {
            return Some(self.drop_entry(id, now));
        }
        let Some(until) = self.kept_until(now) else {
            return Some(self.drop_entry(id, now));
        };
        let new = self.missing.insert(id.clone());
        new.then_some(RosterChange::Missing { id, until })
    }

    /// Until when an endpoint stays in service whose entry is missing, if it may have lapsed. What is missing after the store
    /// has answered for long enough was removed, or did not live to register again.
    fn kept_until(&self, now: Duration) -> Option<Duration> {
        let registered = self.uptime.last_break()?.until + REGISTER_AGAIN;
        let overdue = self.uptime.overdue_at();
        let until = overdue.map_or(registered, |overdue| registered.min(overdue + RESTORED));
        (now < until).then_some(until)
    }
}
