//! Which versions of a service's software may have begun streams, as recorded in the store.
//!
//! Load pattern: all routers may lose their memory at the same moment, while endpoints of one version replace those of
//! another. The list of endpoints doesn't show what was listed before. So the versions at which streams begin are recorded
//! in the store before the first stream begins at them, and until no client can return after their last endpoint has left.
//!
//! A version is pending at first. No stream begins there until every router has read of it, or no longer takes its copy of
//! the record for recent. A recent copy with one active and no pending version shows where every stream began; so does a
//! read of the store at any time.

use crate::origins::RETENTION;
use ids::{ServiceId, SoftwareVersion, VmId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// Age up to which a router's copy of the store's contents proves what the record holds. A copy that another router passes
/// on after a watch without changes is up to 2.7 s old.
pub const MAX_COPY_AGE: Duration = Duration::from_millis(3_000);
/// Time for which a version is pending if not all routers say that they have read of it: longer than [`MAX_COPY_AGE`], so
/// that no copy that counts as recent lacks it.
const MIN_PENDING: Duration = Duration::from_millis(3_250);
/// Longest time for which a version is pending while another one serves. After a power loss of all routers, clients
/// take up their streams in this time.
const MAX_PENDING: Duration = Duration::from_millis(5_000);
/// Time without a listed endpoint after which a version is no longer active. Clients may return for [`RETENTION`] after the
/// last endpoint has ended, and endpoints serve for some seconds after their entries were removed.
const UNLISTED_RETENTION: Duration = Duration::from_secs(RETENTION.as_secs() + 15);
/// How long a router that has left the list without returning may be cut off and still begin streams.
const LOST_RETENTION: Duration = Duration::from_secs(600);

/// The versions of a service's software, as recorded in the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoftwareRecord {
    /// Versions at which streams may have begun.
    pub active: BTreeSet<SoftwareVersion>,
    /// Listed versions at which no stream has begun.
    #[serde(default)]
    pub pending: BTreeSet<SoftwareVersion>,
}

/// Number of a service's endpoints of each version that are in service and don't leave. Zero for a version all of whose
/// endpoints leave.
pub type ListedVersions = BTreeMap<SoftwareVersion, usize>;

/// What is to be done about the record of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordStep {
    /// Nothing.
    Keep,
    /// All routers are asked whether they have read the record with this store revision.
    Ask(u64),
    /// The record is written.
    Write(RecordUpdate),
}

/// A new record for the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordUpdate {
    /// The new record.
    pub record: SoftwareRecord,
    /// Store revision of the record that it replaces; 0 if there is none.
    pub replaces: u64,
}

/// What a router knows of the record of one service.
#[derive(Debug, Default)]
struct Known {
    record: SoftwareRecord,
    /// Store revision of the record; 0 if the store holds none.
    revision: u64,
    /// When this router first read that a version is pending.
    pending_since: BTreeMap<SoftwareVersion, Duration>,
    /// Revision of a record that all routers have read.
    acknowledged: Option<u64>,
    /// When an endpoint of an active version was last listed, or the version first read of.
    listed_at: BTreeMap<SoftwareVersion, Duration>,
    /// Versions that were active before the store was restored from a backup.
    restored: BTreeSet<SoftwareVersion>,
}

/// What a router knows of the records of all services.
#[derive(Debug, Default)]
pub struct SoftwareRecords {
    services: HashMap<ServiceId, Known>,
    /// Time as of which this router's copy of the store's contents is complete.
    complete: Option<Duration>,
    routers: BTreeSet<VmId>,
    /// When this router first read the list of routers. Which ones had left it before is unknown.
    watching_since: Option<Duration>,
    /// Routers that have left the list, and when.
    lost: BTreeMap<VmId, Duration>,
}

impl SoftwareRecords {
    /// Records that this router's copy of the store's contents is complete as of `at`.
    pub fn copy_complete(&mut self, at: Duration) {
        self.complete = self.complete.max(Some(at));
    }

    /// Time since this router's copy of the store's contents was complete.
    pub fn copy_age(&self, now: Duration) -> Option<Duration> {
        self.complete.map(|at| now.saturating_sub(at))
    }

    /// Whether the copy is recent enough to hold every version at which a stream has begun.
    pub fn is_current(&self, now: Duration) -> bool {
        self.copy_age(now).is_some_and(|age| age <= MAX_COPY_AGE)
    }

    /// The versions of a service at which streams may have begun; `None` if there is no record of it.
    pub fn active(&self, service: &ServiceId) -> Option<BTreeSet<SoftwareVersion>> {
        let known = self.services.get(service)?;
        Some(known.record.active.union(&known.restored).cloned().collect())
    }

    /// Whether this router's copy shows all versions at which streams of the service may have begun. That of a router that isn't
    /// registered doesn't, since the others don't ask it before streams begin at a version. `own` is this router.
    pub fn proves_all(&self, service: &ServiceId, own: &VmId, now: Duration) -> bool {
        let is_settled = self.services.get(service).is_some_and(Known::is_settled);
        is_settled && self.is_current(now) && self.routers.contains(own)
    }

    /// Store revision of a service's record as far as this router has read it.
    pub fn revision(&self, service: &ServiceId) -> Option<u64> {
        self.services.get(service).map(|known| known.revision)
    }

    /// Records that all routers have read the record with this revision.
    pub fn acknowledge(&mut self, service: &ServiceId, revision: u64) {
        if let Some(known) = self.services.get_mut(service) {
            known.acknowledged = Some(revision);
        }
    }

    /// Applies a record that was read from the store.
    pub fn read(&mut self, service: &ServiceId, record: SoftwareRecord, revision: u64, now: Duration) {
        let known = self.services.entry(service.clone()).or_default();
        known
            .pending_since
            .retain(|version, _| record.pending.contains(version));
        for version in &record.pending {
            known.pending_since.entry(version.clone()).or_insert(now);
        }
        known.listed_at.retain(|version, _| record.active.contains(version));
        for version in &record.active {
            known.listed_at.entry(version.clone()).or_insert(now);
        }
        known.restored.retain(|version| !record.active.contains(version));
        known.record = record;
        known.revision = revision;
    }

    /// Records that the store was restored from a backup, which may lack versions that are active.
    pub fn store_restored(&mut self) {
        for known in self.services.values_mut() {
            known.restored.extend(known.record.active.iter().cloned());
            // Revisions are assigned again.
            known.acknowledged = None;
            known.revision = 0;
        }
    }

    /// Records which routers are registered.
    pub fn set_routers(&mut self, routers: BTreeSet<VmId>, now: Duration) {
        self.watching_since.get_or_insert(now);
        for left in self.routers.difference(&routers) {
            self.lost.entry(left.clone()).or_insert(now);
        }
        self.lost
            .retain(|router, at| !routers.contains(router) && now.saturating_sub(*at) < LOST_RETENTION);
        self.routers = routers;
    }

    /// Compares the record of a service with the versions that are listed now.
    pub fn next(&mut self, service: &ServiceId, listed: &ListedVersions, now: Duration) -> RecordStep {
        if !self.is_current(now) {
            // What was listed or pending meanwhile is unknown.
            if let Some(known) = self.services.get_mut(service) {
                let times = known.listed_at.values_mut().chain(known.pending_since.values_mut());
                times.for_each(|at| *at = now);
            }
            return RecordStep::Keep;
        }
        if listed.is_empty() {
            return RecordStep::Keep;
        }
        let watched = self.watching_since.map(|since| now.saturating_sub(since));
        let may_drop = self.lost.is_empty() && watched.is_some_and(|time| time >= LOST_RETENTION);
        let Some(known) = self.services.get_mut(service) else {
            let active = listed.keys().cloned().collect();
            let pending = BTreeSet::new();
            return RecordStep::Write(RecordUpdate {
                record: SoftwareRecord { active, pending },
                replaces: 0,
            });
        };
        let record = known.next(listed, may_drop, now);
        if record != known.record || known.revision == 0 {
            return RecordStep::Write(RecordUpdate {
                record,
                replaces: known.revision,
            });
        }
        if known.acknowledged != Some(known.revision) && known.is_needed(listed) {
            return RecordStep::Ask(known.revision);
        }
        RecordStep::Keep
    }
}

impl Known {
    /// Whether no stream can begin at a version that the record doesn't name as active.
    fn is_settled(&self) -> bool {
        self.record.pending.is_empty() && self.restored.is_subset(&self.record.active)
    }

    fn next(&mut self, listed: &ListedVersions, may_drop: bool, now: Duration) -> SoftwareRecord {
        for version in listed.keys() {
            if let Some(at) = self.listed_at.get_mut(version) {
                *at = now;
            }
        }
        let mut record = SoftwareRecord::default();
        let is_kept = |version: &&SoftwareVersion| {
            let unlisted = self.listed_at.get(*version).map(|at| now.saturating_sub(*at));
            !may_drop || unlisted.is_none_or(|time| time < UNLISTED_RETENTION)
        };
        let active = self.record.active.iter().chain(&self.restored);
        record.active = active.filter(is_kept).cloned().collect();
        if record.active.is_empty() {
            record.active.clone_from(&self.record.active);
        }
        let waiting = listed.keys().filter(|version| !record.active.contains(*version));
        let waiting: Vec<&SoftwareVersion> = waiting.collect();
        for version in waiting {
            if self.may_begin(version, listed, now) {
                record.active.insert(version.clone());
            } else {
                record.pending.insert(version.clone());
            }
        }
        record
    }

    /// Whether streams may begin at a listed version that is not active.
    fn may_begin(&self, version: &SoftwareVersion, listed: &ListedVersions, now: Duration) -> bool {
        let Some(since) = self.pending_since.get(version) else {
            return false;
        };
        let pending = now.saturating_sub(*since);
        let is_read = self.acknowledged == Some(self.revision) || pending >= MIN_PENDING;
        is_read && (pending >= MAX_PENDING || self.is_needed(listed))
    }

    /// Whether the pending versions have more endpoints that can begin streams than the active ones.
    fn is_needed(&self, listed: &ListedVersions) -> bool {
        let serving = |versions: &BTreeSet<SoftwareVersion>| -> usize {
            versions.iter().filter_map(|version| listed.get(version)).sum()
        };
        serving(&self.record.pending) > serving(&self.record.active)
    }
}
