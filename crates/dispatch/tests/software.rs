//! At which versions of the software streams may begin.

use dispatch::software::{ListedVersions, RecordStep, SoftwareRecord, SoftwareRecords};
use ids::{ServiceId, SoftwareVersion, VmId};
use std::collections::BTreeSet;
use std::time::Duration;

fn versions(names: &[&str]) -> BTreeSet<SoftwareVersion> {
    names.iter().map(|name| SoftwareVersion::from(*name)).collect()
}

fn record(active: &[&str], pending: &[&str]) -> SoftwareRecord {
    SoftwareRecord {
        active: versions(active),
        pending: versions(pending),
    }
}

fn listed(counts: &[(&str, usize)]) -> ListedVersions {
    let count = |(name, count): &(&str, usize)| (SoftwareVersion::from(*name), *count);
    counts.iter().map(count).collect()
}

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// One router and the store that holds its service's record.
#[derive(Default)]
struct Service {
    records: SoftwareRecords,
    revision: u64,
}

impl Service {
    fn recorded(active: &[&str], pending: &[&str], now: u64) -> Self {
        let mut service = Self::default();
        service.records.set_routers(BTreeSet::new(), ms(now));
        service.write(record(active, pending), now);
        service
    }

    fn id() -> ServiceId {
        ServiceId::from("pool")
    }

    fn write(&mut self, record: SoftwareRecord, now: u64) {
        self.revision += 1;
        self.records.read(&Self::id(), record, self.revision, ms(now));
    }

    /// Compares the record with what is listed, with a copy of the store that is this old. Returns the record to write.
    fn next_with(&mut self, counts: &[(&str, usize)], now: u64, age: u64) -> Option<SoftwareRecord> {
        self.records.copy_complete(ms(now.saturating_sub(age)));
        match self.records.next(&Self::id(), &listed(counts), ms(now)) {
            RecordStep::Keep => None,
            RecordStep::Ask(revision) => {
                assert_eq!(revision, self.revision);
                None
            }
            RecordStep::Write(update) => {
                assert_eq!(update.replaces, self.revision);
                Some(update.record)
            }
        }
    }

    fn next(&mut self, counts: &[(&str, usize)], now: u64) -> Option<SoftwareRecord> {
        self.next_with(counts, now, 0)
    }

    fn proves_all(&self, now: u64) -> bool {
        self.records.proves_all(&Self::id(), &VmId::from("a"), ms(now))
    }
}

/// Before the first record, whatever is listed may have begun streams.
#[test]
fn the_first_record_names_all_listed_versions() {
    let mut service = Service::default();
    assert_eq!(service.next(&[], 0), None);
    assert_eq!(
        service.next(&[("v1", 2), ("v2", 0)], 10),
        Some(record(&["v1", "v2"], &[]))
    );
    service.write(record(&["v1"], &[]), 20);
    assert_eq!(service.next(&[("v1", 2)], 30), None);
}

/// No stream may begin at a version before all routers with a recent copy of the record have read of it.
#[test]
fn a_version_is_pending_before_streams_begin_at_it() {
    struct Case {
        name: &'static str,
        listed: &'static [(&'static str, usize)],
        acknowledged: bool,
        pending_ms: u64,
        begins: bool,
    }
    let case = |name, listed, acknowledged, pending_ms, begins| Case {
        name,
        listed,
        acknowledged,
        pending_ms,
        begins,
    };
    let few: &[(&str, usize)] = &[("v1", 3), ("v2", 1)];
    let half: &[(&str, usize)] = &[("v1", 2), ("v2", 2)];
    let most: &[(&str, usize)] = &[("v1", 1), ("v2", 2)];
    let cases = [
        case("the old one serves", few, true, 4_900, false),
        case("the old one serves, later", few, false, 5_000, true),
        case("half are new, all know", half, true, 4_900, false),
        case("most are new, all know", most, true, 100, true),
        case("most are new, not all know", most, false, 3_200, false),
        case("most are new, not all know, later", most, false, 3_250, true),
        case("the old one leaves, all know", &[("v1", 0), ("v2", 1)], true, 100, true),
        case("the old one leaves", &[("v1", 0), ("v2", 1)], false, 3_200, false),
        case("the old one is gone", &[("v2", 1)], false, 3_200, false),
        case("the old one is gone, all know", &[("v2", 1)], true, 0, true),
    ];
    for case in cases {
        let mut service = Service::recorded(&["v1"], &[], 0);
        let first = service.next(&[("v1", 3), ("v2", 1)], 100);
        assert_eq!(first, Some(record(&["v1"], &["v2"])));
        service.write(record(&["v1"], &["v2"]), 1_000);
        if case.acknowledged {
            service.records.acknowledge(&Service::id(), service.revision);
        }
        let next = service.next(case.listed, 1_000 + case.pending_ms);
        let expected = case.begins.then(|| record(&["v1", "v2"], &[]));
        assert_eq!(next, expected, "{}", case.name);
    }
}

/// What the routers have read of one record proves nothing of the next one.
#[test]
fn each_record_is_acknowledged_by_itself() {
    let mut service = Service::recorded(&["v1"], &["v2"], 0);
    service.records.copy_complete(ms(10));
    let id = Service::id();
    assert_eq!(
        service.records.next(&id, &listed(&[("v2", 1)]), ms(10)),
        RecordStep::Ask(1)
    );
    assert_eq!(
        service.records.next(&id, &listed(&[("v1", 3), ("v2", 1)]), ms(10)),
        RecordStep::Keep
    );
    service.records.acknowledge(&id, 1);
    service.write(record(&["v1"], &["v2", "v3"]), 20);
    assert_eq!(
        service.records.next(&id, &listed(&[("v2", 1), ("v3", 1)]), ms(30)),
        RecordStep::Ask(2)
    );
}

/// All routers have restarted, and what they find listed is not what streams began at.
#[test]
fn a_version_that_left_unseen_still_counts() {
    let mut service = Service::recorded(&["v1"], &[], 0);
    assert_eq!(service.next(&[("v2", 2)], 10), Some(record(&["v1"], &["v2"])));
    service.write(record(&["v1"], &["v2"]), 20);
    service.records.acknowledge(&Service::id(), service.revision);
    assert_eq!(service.next(&[("v2", 2)], 30), Some(record(&["v1", "v2"], &[])));
    service.write(record(&["v1", "v2"], &[]), 40);
    assert_eq!(service.next(&[("v2", 2)], 44_900), None);
    assert_eq!(
        service.next(&[("v2", 2)], 599_900),
        None,
        "another router may be cut off"
    );
    assert_eq!(service.next(&[("v2", 2)], 600_010), Some(record(&["v2"], &[])));
}

/// A pending version whose endpoints are gone has begun no stream.
#[test]
fn a_pending_version_is_dropped_with_its_endpoints() {
    let mut service = Service::recorded(&["v1"], &["v2"], 0);
    assert_eq!(service.next(&[("v1", 2)], 100), Some(record(&["v1"], &[])));
}

/// Guards against dropping a version that was listed while this router had no recent copy of the store.
#[test]
fn a_version_counts_anew_after_a_time_without_the_store() {
    let mut service = Service::recorded(&["v1", "v2"], &[], 0);
    assert_eq!(service.next(&[("v1", 1), ("v2", 1)], 601_000), None);
    assert_eq!(service.next_with(&[("v2", 1)], 660_000, 59_000), None);
    assert_eq!(service.next(&[("v2", 1)], 660_200), None);
    assert_eq!(service.next(&[("v2", 1)], 704_900), None);
    assert_eq!(service.next(&[("v2", 1)], 705_100), Some(record(&["v2"], &[])));
}

/// A router that is cut off goes on beginning streams at the versions that it knows.
#[test]
fn no_version_is_dropped_while_a_router_may_be_cut_off() {
    let all: BTreeSet<VmId> = ["a", "b"].into_iter().map(VmId::from).collect();
    let without: BTreeSet<VmId> = ["a"].into_iter().map(VmId::from).collect();
    let mut service = Service::recorded(&["v1", "v2"], &[], 0);
    service.records.set_routers(all.clone(), ms(0));
    service.records.set_routers(without.clone(), ms(610_000));
    assert_eq!(service.next(&[("v2", 1)], 650_000), None);
    service.records.set_routers(all, ms(650_000));
    assert_eq!(service.next(&[("v2", 1)], 650_100), Some(record(&["v2"], &[])));
    service.records.set_routers(without.clone(), ms(651_000));
    assert_eq!(service.next(&[("v2", 1)], 1_250_900), None);
    service.records.set_routers(without, ms(1_251_000));
    assert_eq!(service.next(&[("v2", 1)], 1_251_100), Some(record(&["v2"], &[])));
}

/// A restored store may lack a version that was recorded after the backup.
#[test]
fn a_restored_record_is_completed() {
    let mut service = Service::recorded(&["v1", "v2"], &[], 0);
    service.records.store_restored();
    service.revision = 0;
    assert_eq!(
        service.next(&[("v1", 1), ("v2", 1)], 10),
        Some(record(&["v1", "v2"], &[]))
    );
    service.write(record(&["v1"], &[]), 20);
    assert_eq!(service.next(&[("v1", 1)], 30), Some(record(&["v1", "v2"], &[])));
}

/// An old copy of the record, or one from before this router was registered, may lack a version at which streams begin by now.
#[test]
fn an_old_copy_proves_nothing() {
    let own: BTreeSet<VmId> = ["a"].into_iter().map(VmId::from).collect();
    let mut service = Service::recorded(&["v1"], &[], 0);
    service.records.copy_complete(ms(100));
    assert!(!service.proves_all(200));
    service.records.set_routers(own.clone(), ms(200));
    assert!(service.proves_all(3_100));
    assert!(!service.proves_all(3_101));
    let mut pending = Service::recorded(&["v1"], &["v2"], 0);
    pending.records.copy_complete(ms(100));
    pending.records.set_routers(own, ms(100));
    assert!(!pending.proves_all(200));
}

/// Guards against taking up streams at the version of a restored record while this router knows of another one.
#[test]
fn a_restored_record_alone_proves_nothing() {
    let mut service = Service::recorded(&["v1", "v2"], &[], 0);
    let own: BTreeSet<VmId> = ["a"].into_iter().map(VmId::from).collect();
    service.records.set_routers(own, ms(0));
    service.records.store_restored();
    service.write(record(&["v1"], &[]), 20);
    service.records.copy_complete(ms(30));
    assert!(!service.proves_all(40));
    let active = service.records.active(&Service::id());
    assert_eq!(active.as_ref(), Some(&versions(&["v1", "v2"])));
    service.write(record(&["v1", "v2"], &[]), 50);
    service.write(record(&["v1"], &[]), 60);
    assert!(service.proves_all(70));
}

/// A restored store assigns revisions again. Guards against taking what the routers had read of another record for this one.
#[test]
fn a_restored_record_is_acknowledged_anew() {
    let mut service = Service::recorded(&["v1"], &["v2"], 0);
    service.records.acknowledge(&Service::id(), service.revision);
    service.records.store_restored();
    service.revision = 0;
    assert_eq!(service.next(&[("v2", 1)], 10), Some(record(&["v1"], &["v2"])));
    service.write(record(&["v1"], &["v2"]), 20);
    assert_eq!(service.revision, 1);
    assert_eq!(service.next(&[("v2", 1)], 30), None);
}

/// Guards against beginning streams too early at a version that was dropped and listed again while this router had no recent
/// copy of the store.
#[test]
fn a_version_is_pending_anew_after_a_time_without_the_store() {
    let both = [("v1", 3), ("v2", 1)];
    let mut service = Service::recorded(&["v1"], &["v2"], 0);
    assert_eq!(service.next(&both, 100), None);
    assert_eq!(service.next_with(&both, 20_000, 19_900), None);
    service.write(record(&["v1"], &["v2"]), 20_100);
    assert_eq!(service.next(&both, 20_200), None);
    assert_eq!(service.next(&both, 25_000), Some(record(&["v1", "v2"], &[])));
}

/// Guards against dropping a version because this router has not seen that another one was cut off.
#[test]
fn a_router_that_has_just_started_does_not_drop_versions() {
    let others: BTreeSet<VmId> = ["a"].into_iter().map(VmId::from).collect();
    let mut service = Service::recorded(&["v1", "v2"], &[], 0);
    service.records.set_routers(others, ms(0));
    assert_eq!(service.next(&[("v2", 1)], 45_100), None);
    assert_eq!(service.next(&[("v2", 1)], 599_900), None);
    assert_eq!(service.next(&[("v2", 1)], 600_000), Some(record(&["v2"], &[])));
}
