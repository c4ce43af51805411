//! The endpoints in service, from their entries in the store.
//!
//! Load pattern: entries are attached to leases that the endpoints renew. During an outage of the store the leases of
//! healthy endpoints expire. If missing entries were dropped at once, all endpoints would disappear when the store
//! recovers, and every client would be refused. So an endpoint whose entry is missing after a break in the store's
//! responses stays in service for as long as a healthy endpoint needs to register again, unless a peer shows that
//! the store was available.

use crate::leaving::{Leaving, LeavingEndpoint};
use crate::site::EndpointEntry;
use crate::uptime::{Span, Uptime};
use ids::{EndpointId, Incarnation, ServiceId};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Time after the store's recovery within which a healthy endpoint registers again: about two seconds according to
/// the operators, plus a quarter for the delay of the watch.
const REREGISTER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time after an overdue response within which this router's list must be correct again. The store, or the network path
/// to it, may have recovered right after that call.
const RECOVERY_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Longest time after the store's recovery in which the changes that were missed are still being read.
const MAX_CATCH_UP: Duration = Duration::from_secs(10);

/// Time after the store was restored from a backup during which it may list removed endpoints. Their entries expire
/// after three heartbeats.
const STALE_LIST_PERIOD: Duration = Duration::from_secs(10);
/// How long removed endpoints are remembered.
const REMOVED_RETENTION: Duration = Duration::from_secs(60);

/// If calls fail for longer than this while healthy endpoints register again, it counts as another outage: the
/// remaining endpoints could not register in that time.
const MIN_OUTAGE: Duration = Duration::from_millis(700);

/// A change of the endpoint list in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListChange {
    /// An entry was added or changed; its current contents.
    Listed(EndpointEntry),
    /// An entry can't be parsed. It is treated as removed.
    Unreadable(EndpointId),
    /// An entry was deregistered or has expired.
    Removed(EndpointId),
}

/// A change of the endpoints in service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RosterChange {
    /// The endpoint is new or its properties changed.
    InService(Arc<EndpointEntry>),
    /// The endpoint's entry is missing and may have expired in an outage. It stays in service for now.
    Missing {
        /// ID of the endpoint.
        id: EndpointId,
        /// When it is removed unless it registers again.
        until: Duration,
    },
    /// The endpoint is out of service.
    Removed(EndpointId),
}

/// What a statement of an endpoint that it leaves changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeavingChange {
    /// Nothing: the statement is known, or of an earlier incarnation.
    Known,
    /// The statement is new, and the endpoint is not in service or drains already.
    New,
    /// The statement is new, and the endpoint begins to drain.
    Draining(RosterChange),
}

/// The endpoints in service.
#[derive(Debug, Clone, Default)]
pub struct Roster {
    entries: BTreeMap<EndpointId, Arc<EndpointEntry>>,
    /// Endpoints in service whose entries are missing and may have expired.
    missing: BTreeSet<EndpointId>,
    uptime: Uptime,
    /// Time as of which the list is known to be complete; none if that was never shown.
    complete: Option<Duration>,
    /// When the first of the calls that failed since the last response was due.
    failing: Option<Duration>,
    /// When the store was last restored from a backup.
    restored: Option<Duration>,
    /// Incarnations of removed endpoints, and when they were removed.
    removed: BTreeMap<EndpointId, (Incarnation, Duration)>,
    leaving: Leaving,
}

impl Roster {
    /// The endpoints of a service.
    pub fn for_service<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a Arc<EndpointEntry>> {
        self.entries.values().filter(move |entry| entry.service == *service)
    }

    /// All endpoints.
    pub fn all(&self) -> impl Iterator<Item = &Arc<EndpointEntry>> {
        self.entries.values()
    }

    /// Number of endpoints in service whose entries are missing.
    pub fn missing(&self) -> usize {
        self.missing.len()
    }

    /// Availability of the store.
    pub fn uptime(&self) -> &Uptime {
        &self.uptime
    }

    /// The endpoint with this ID.
    pub fn get(&self, id: &EndpointId) -> Option<&Arc<EndpointEntry>> {
        self.entries.get(id)
    }

    /// Endpoints that have stated that they leave, although the store does not show it.
    pub fn unshown_leaving(&self, now: Duration) -> impl Iterator<Item = LeavingEndpoint> {
        self.leaving.unshown(now)
    }

    /// Records that an endpoint has stated on an answer that it leaves. It drains until it starts again, whatever its
    /// entries show.
    pub fn mark_leaving(&mut self, endpoint: LeavingEndpoint, now: Duration) -> LeavingChange {
        let entry = self.entries.get(&endpoint.id).cloned();
        let incarnation = endpoint.incarnation;
        if !self.leaving.record(endpoint, entry.as_deref(), now) {
            return LeavingChange::Known;
        }
        let serving = entry.filter(|entry| entry.incarnation == incarnation && !entry.draining);
        let Some(mut entry) = serving else {
            return LeavingChange::New;
        };
        Arc::make_mut(&mut entry).draining = true;
        self.entries.insert(entry.id.clone(), entry.clone());
        LeavingChange::Draining(RosterChange::InService(entry))
    }

    /// Records a failed call to the store whose response was due at `due`.
    pub fn store_failed(&mut self, due: Duration) {
        self.failing.get_or_insert(due);
        self.uptime.failed(due);
    }

    /// Records that the store responded to this router or its upstream. To be called before the changes from
    /// the last response are applied.
    pub fn store_answered(&mut self, answers: Span) {
        let failing = self.failing.take();
        let is_outage = |due: Duration| due + MIN_OUTAGE <= answers.until && self.retained_until(due).is_some();
        if failing.is_some_and(is_outage) {
            self.uptime.answered_after_break(answers);
        } else {
            self.uptime.answered(answers);
        }
    }

    /// Records that the list contains all changes that were acknowledged before `at`.
    pub fn list_complete(&mut self, at: Duration) {
        self.complete = self.complete.max(Some(at));
    }

    /// Records that the store was restored from a backup and has responded. Entries of healthy endpoints may be lost,
    /// as after an outage.
    pub fn store_restored(&mut self, answers: Span) {
        self.failing = None;
        self.uptime.answered_after_break(answers);
        self.restored = Some(answers.until);
    }

    /// Records that the store responded to a peer. Returns the endpoints that this removes: their entries
    /// disappeared while the store was available.
    pub fn store_answered_peer(&mut self, answers: Span, now: Duration) -> Vec<RosterChange> {
        // A peer that hasn't noticed the restore would make lost entries look like removed ones.
        if !self.restored_within(REREGISTER_TIMEOUT, now) {
            self.uptime.answered_peer(answers);
        }
        self.tick(now)
    }

    /// Applies one change of the list.
    pub fn apply(&mut self, change: ListChange, now: Duration) -> Option<RosterChange> {
        match change {
            ListChange::Listed(entry) => {
                self.missing.remove(&entry.id);
                self.removed.remove(&entry.id);
                self.list(entry)
            }
            ListChange::Unreadable(id) | ListChange::Removed(id) => self.remove(id, now),
        }
    }

    /// Replaces the whole list.
    pub fn replace(&mut self, mut list: Vec<ListChange>, now: Duration) -> Vec<RosterChange> {
        if self.restored_within(STALE_LIST_PERIOD, now) {
            list.retain(|change| !self.is_stale(change));
            list.iter_mut().for_each(|change| self.keep_draining(change));
        }
        let id = |change: &ListChange| match change {
            ListChange::Listed(entry) => entry.id.clone(),
            ListChange::Unreadable(id) | ListChange::Removed(id) => id.clone(),
        };
        let present: Vec<EndpointId> = list.iter().map(id).collect();
        let absent: Vec<EndpointId> = self
            .entries
            .keys()
            .filter(|id| !present.contains(id))
            .cloned()
            .collect();
        let mut changes: Vec<_> = list.into_iter().filter_map(|change| self.apply(change, now)).collect();
        changes.extend(absent.into_iter().filter_map(|id| self.remove(id, now)));
        changes
    }

    /// Removes endpoints whose entries are still missing after their time to register. While calls to the store fail,
    /// healthy endpoints can't register, so none are removed.
    pub fn tick(&mut self, now: Duration) -> Vec<RosterChange> {
        if self.failing.is_some() || self.retained_until(now).is_some() {
            return Vec::new();
        }
        let expired = std::mem::take(&mut self.missing);
        expired.into_iter().map(|id| self.remove_now(id, now)).collect()
    }

    fn remove_now(&mut self, id: EndpointId, now: Duration) -> RosterChange {
        self.missing.remove(&id);
        self.removed
            .retain(|_, (_, since)| now.saturating_sub(*since) < REMOVED_RETENTION);
        self.leaving.entry_removed(&id);
        if let Some(entry) = self.entries.remove(&id) {
            self.removed.insert(id.clone(), (entry.incarnation, now));
        }
        RosterChange::Removed(id)
    }

    fn restored_within(&self, time: Duration, now: Duration) -> bool {
        self.restored
            .is_some_and(|restored| now.saturating_sub(restored) < time)
    }

    /// Whether a restored store lists an incarnation that was removed. A healthy endpoint writes its entry again.
    fn is_stale(&self, change: &ListChange) -> bool {
        let ListChange::Listed(entry) = change else {
            return false;
        };
        let removed = self.removed.get(&entry.id);
        removed.is_some_and(|(incarnation, _)| *incarnation == entry.incarnation)
    }

    /// Keeps an incarnation draining, even if the restored store has an entry from before it began to drain.
    fn keep_draining(&self, change: &mut ListChange) {
        if let ListChange::Listed(entry) = change
            // An endpoint that has stated that it leaves drains in any case.
            && !self.leaving.contains(&entry.id, entry.incarnation)
            && let Some(current) = self.entries.get(&entry.id)
        {
            entry.draining |= current.draining && current.incarnation == entry.incarnation;
        }
    }

    fn list(&mut self, mut entry: EndpointEntry) -> Option<RosterChange> {
        entry.limit();
        entry.draining |= self.leaving.entry_listed(&entry);
        let current = self.entries.get(&entry.id);
        if current.is_some_and(|current| **current == entry) {
            return None;
        }
        let entry = Arc::new(entry);
        self.entries.insert(entry.id.clone(), entry.clone());
        Some(RosterChange::InService(entry))
    }

    fn remove(&mut self, id: EndpointId, now: Duration) -> Option<RosterChange> {
        let entry = self.entries.get(&id)?;
        // A draining endpoint was deregistered; its entry did not expire in an outage.
        if entry.draining {
            return Some(self.remove_now(id, now));
        }
        let Some(until) = self.retained_until(now) else {
            return Some(self.remove_now(id, now));
        };
        let new = self.missing.insert(id.clone());
        new.then_some(RosterChange::Missing { id, until })
    }

    /// Until when an endpoint with a missing entry stays in service, if the entry may have expired. `None` once the
    /// store has been available long enough to conclude that the endpoint was deregistered or failed to register again.
    fn retained_until(&self, now: Duration) -> Option<Duration> {
        let recovered = self.uptime.last_break()?.until;
        let registered = recovered + REREGISTER_TIMEOUT;
        let overdue = self.uptime.overdue_at();
        let mut until = overdue.map_or(registered, |overdue| registered.min(overdue + RECOVERY_TIMEOUT));
        if self.complete.is_some_and(|complete| complete < recovered) {
            // The entry may be among the changes that are still to be read.
            until = until.max(recovered + MAX_CATCH_UP);
        }
        (now < until).then_some(until)
    }
}
