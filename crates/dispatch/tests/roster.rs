//! The endpoints in service during and after outages of the store.

use dispatch::roster::{ListChange, Roster, RosterChange};
use dispatch::site::{EndpointEntry, parse_endpoint_id};
use dispatch::uptime::Span;
use ids::{DomainId, EndpointId, Incarnation, ServiceId, SoftwareVersion};
use std::time::Duration;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn entry(id: &str, draining: bool) -> EndpointEntry {
    EndpointEntry {
        id: EndpointId::from(id),
        incarnation: Incarnation(1),
        service: ServiceId::from("fans"),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: DomainId::from("here"),
        slots: 6,
        software: SoftwareVersion::from("v1"),
        draining,
        weights: Vec::new(),
    }
}

fn removed(id: &str) -> ListChange {
    ListChange::Removed(EndpointId::from(id))
}

/// A response of the store to this router.
fn answer(ms: u64) -> Span {
    span(ms, ms)
}

fn span(from: u64, until: u64) -> Span {
    Span {
        from: at(from),
        until: at(until),
    }
}

/// Two endpoints, and a store that was unavailable from 1 s to 6 s.
fn after_outage() -> Roster {
    let mut roster = Roster::default();
    roster.store_answered(answer(0));
    roster.replace(
        vec![
            ListChange::Listed(entry("a", false)),
            ListChange::Listed(entry("b", false)),
        ],
        at(0),
    );
    roster.store_failed(at(1_000));
    roster.store_failed(at(5_600));
    roster.store_answered(answer(6_000));
    roster
}

fn serving(roster: &Roster) -> Vec<&str> {
    roster.all().map(|entry| entry.id.as_str()).collect()
}

/// An entry states more slots than any endpoint has. Its places would be divided one by one, and sums of slots overflow.
#[test]
fn no_endpoint_has_more_slots_than_can_be_divided() {
    for (stated, expected) in [(0, 0), (64, 64), (4_096, 4_096), (4_097, 4_096), (u32::MAX, 4_096)] {
        let mut roster = Roster::default();
        let mut odd = entry("a", false);
        odd.slots = stated;
        roster.apply(ListChange::Listed(odd.clone()), at(0));
        roster.replace(vec![ListChange::Listed(odd)], at(10));
        let slots: Vec<u32> = roster.all().map(|entry| entry.slots).collect();
        assert_eq!(slots, [expected], "{stated}");
    }
}

/// Another writer leaves keys whose text would end a line of a head.
#[test]
fn endpoint_ids_are_visible_text() {
    let long = "x".repeat(257);
    let cases = [
        ("e1", true),
        ("vm-1:8000/gpu_0.a", true),
        (&long[1..], true),
        ("", false),
        ("a b", false),
        ("a\r\nX-Odd: b", false),
        ("a\u{0}", false),
        ("a\u{7f}", false),
        ("\u{e9}", false),
        (&long, false),
    ];
    for (text, expected) in cases {
        assert_eq!(parse_endpoint_id(text).is_some(), expected, "{text:?}");
    }
}

/// The store is unavailable for seconds and the leases of healthy endpoints expire. If missing entries were dropped
/// when it recovers, every client would be refused until the endpoints have registered again.
#[test]
fn endpoints_whose_entries_expired_in_an_outage_have_time_to_register() {
    let mut roster = after_outage();
    roster.replace(Vec::new(), at(6_000));
    assert_eq!(serving(&roster), ["a", "b"]);
    roster.apply(ListChange::Listed(entry("a", false)), at(7_000));
    roster.tick(at(8_400));
    assert_eq!(serving(&roster), ["a", "b"]);
    roster.tick(at(8_500));
    assert_eq!(serving(&roster), ["a"]);
}

/// A router reads what it missed in parts, and the new entry of an endpoint lies in a later part than the end of its former
/// one. Without the first response that shows that all was read, the endpoint must stay in service.
#[test]
fn endpoints_stay_in_service_until_all_missed_changes_are_read() {
    let mut roster = after_outage();
    roster.list_complete(at(900));
    roster.apply(removed("a"), at(6_000));
    roster.apply(removed("b"), at(6_000));
    roster.tick(at(9_000));
    assert_eq!(serving(&roster), ["a", "b"]);
    roster.apply(ListChange::Listed(entry("a", false)), at(9_100));
    roster.list_complete(at(9_050));
    roster.tick(at(9_200));
    assert_eq!(serving(&roster), ["a"]);
}

/// A document that confirms nothing must not keep endpoints in service that have ended.
#[test]
fn missing_endpoints_are_dropped_if_the_list_is_never_shown_to_be_complete() {
    let mut roster = after_outage();
    roster.list_complete(at(900));
    roster.replace(Vec::new(), at(6_000));
    roster.tick(at(16_000));
    assert_eq!(serving(&roster), Vec::<&str>::new());
}

/// An endpoint is deregistered while the store is available, or is draining when its entry disappears. It must not get
/// new requests.
#[test]
fn an_endpoint_deregistered_outside_an_outage_is_dropped_at_once() {
    let mut available = Roster::default();
    available.store_answered(answer(0));
    available.replace(vec![ListChange::Listed(entry("a", false))], at(0));
    available.store_answered(answer(100));
    available.apply(removed("a"), at(100));
    assert!(serving(&available).is_empty());

    let mut draining = after_outage();
    draining.apply(ListChange::Listed(entry("a", true)), at(6_100));
    draining.apply(removed("a"), at(6_200));
    assert_eq!(serving(&draining), ["b"]);

    let mut later = after_outage();
    for ms in [7_000, 8_000, 9_000] {
        later.store_answered(answer(ms));
    }
    later.apply(removed("b"), at(9_000));
    assert_eq!(serving(&later), ["a"]);
}

/// One call fails and the next one succeeds. No lease expires in so short a time, so a missing entry was deregistered.
#[test]
fn one_failed_call_is_not_an_outage() {
    let mut roster = Roster::default();
    roster.store_answered(answer(0));
    roster.replace(vec![ListChange::Listed(entry("a", false))], at(0));
    roster.store_failed(at(1_000));
    roster.store_answered(answer(1_300));
    roster.apply(removed("a"), at(1_400));
    assert!(serving(&roster).is_empty());
}

/// Two endpoints, one of which disappears during a break in this router's responses.
fn after_break(last: u64, failed: Option<u64>, answered: u64) -> Roster {
    let mut roster = Roster::default();
    roster.store_answered(answer(last));
    let list = ["a", "b"].map(|id| ListChange::Listed(entry(id, false)));
    roster.replace(list.to_vec(), at(last));
    if let Some(failed) = failed {
        roster.store_failed(at(failed));
    }
    roster.store_answered(answer(answered));
    roster.apply(removed("a"), at(answered));
    roster
}

/// An outage counts from the last response, not from the first failed call, since entries may expire from then on.
#[test]
fn an_outage_counts_from_the_last_response() {
    struct Case {
        why: &'static str,
        failed: Option<u64>,
        answered: u64,
        serves: bool,
    }
    let cases = [
        Case {
            why: "a watch sent just before the outage timed out late",
            failed: Some(2_800),
            answered: 3_400,
            serves: true,
        },
        Case {
            why: "the upstreams have lost the store",
            failed: None,
            answered: 3_000,
            serves: true,
        },
        Case {
            why: "one watch response was lost, too short for a lease to expire",
            failed: Some(2_800),
            answered: 2_860,
            serves: false,
        },
    ];
    for case in cases {
        let mut roster = after_break(1_000, case.failed, case.answered);
        let all: &[&str] = if case.serves { &["a", "b"] } else { &["b"] };
        assert_eq!(serving(&roster), all, "{}", case.why);
        roster.tick(at(case.answered + 2_500));
        assert_eq!(serving(&roster), ["b"], "{}", case.why);
    }
}

/// Only this router or its upstream was partitioned from the store. An entry that disappeared meanwhile was
/// deregistered and has not expired.
#[test]
fn a_deregistration_during_a_partition_is_not_an_expiry() {
    struct Case {
        why: &'static str,
        reported: &'static [(u64, u64)],
        serves: bool,
    }
    let cases = [
        Case {
            why: "the store answered a peer throughout",
            reported: &[(0, 9_500)],
            serves: false,
        },
        Case {
            why: "the store has answered a peer for long enough to register",
            reported: &[(4_000, 9_500)],
            serves: false,
        },
        Case {
            why: "the store has not answered a peer for long enough to register",
            reported: &[(8_000, 9_500)],
            serves: true,
        },
        Case {
            why: "the peer was partitioned as well",
            reported: &[(9_900, 10_000)],
            serves: true,
        },
        Case {
            why: "the peer has had no response since the break began",
            reported: &[(0, 1_200)],
            serves: true,
        },
        Case {
            why: "one of several peers had responses throughout",
            reported: &[(9_900, 10_000), (0, 9_000), (8_000, 9_500)],
            serves: false,
        },
        Case {
            why: "the spans of two peers together cover the break",
            reported: &[(8_000, 9_500), (0, 8_500)],
            serves: false,
        },
    ];
    for case in cases {
        let mut roster = after_break(1_000, Some(9_600), 10_000);
        for (from, until) in case.reported {
            roster.store_answered_peer(span(*from, *until), at(10_020));
        }
        let all: &[&str] = if case.serves { &["a", "b"] } else { &["b"] };
        assert_eq!(serving(&roster), all, "{}", case.why);
    }
}

/// It is unknown whether the store was unavailable. A removed endpoint must get no requests three seconds after the
/// network path may have recovered.
#[test]
fn entries_that_may_have_expired_are_dropped_in_time() {
    let mut roster = after_break(1_000, Some(9_200), 10_000);
    roster.tick(at(12_100));
    assert_eq!(serving(&roster), ["a", "b"]);
    roster.tick(at(12_200));
    assert_eq!(serving(&roster), ["b"]);
}

/// A router receives the availability of the store from its upstream. A change of the upstream is not a break.
#[test]
fn responses_to_the_upstream_count() {
    let mut roster = after_break(1_000, None, 1_100);
    roster.store_answered(span(0, 3_900));
    roster.apply(removed("b"), at(4_000));
    assert!(serving(&roster).is_empty());
}

/// Another program writes an invalid entry. It must not add an endpoint or affect the others.
#[test]
fn an_unreadable_entry_adds_no_endpoint() {
    let mut roster = Roster::default();
    let list = vec![
        ListChange::Listed(entry("a", false)),
        ListChange::Unreadable(EndpointId::from("b")),
    ];
    roster.replace(list, at(0));
    assert_eq!(serving(&roster), ["a"]);
}

/// The store recovers after an outage in which two calls failed. Its second response must not count as another
/// recovery: endpoints that are removed later would continue to get requests.
#[test]
fn an_outage_ends_once() {
    let mut roster = Roster::default();
    roster.store_answered(answer(0));
    roster.replace(vec![ListChange::Listed(entry("a", false))], at(0));
    roster.store_failed(at(1_200));
    roster.store_failed(at(1_000));
    roster.store_answered(answer(6_000));
    roster.store_answered(answer(7_000));
    roster.apply(removed("a"), at(8_600));
    assert!(serving(&roster).is_empty());
}

/// The store recovers for a second and fails again before endpoints with expired leases could register. If they were
/// dropped meanwhile, every client would be refused until the second recovery.
#[test]
fn endpoints_stay_in_service_through_two_consecutive_outages() {
    let mut roster = after_outage();
    roster.replace(Vec::new(), at(6_000));
    roster.store_failed(at(7_000));
    roster.tick(at(8_600));
    assert_eq!(serving(&roster), ["a", "b"]);
    roster.store_failed(at(11_600));
    roster.store_answered(answer(12_000));
    roster.replace(Vec::new(), at(12_000));
    roster.tick(at(12_200));
    assert_eq!(serving(&roster), ["a", "b"]);
    roster.apply(ListChange::Listed(entry("a", false)), at(14_000));
    roster.tick(at(14_500));
    assert_eq!(serving(&roster), ["a"]);
}

/// The store recovers and then fails again for less than the duration of a lease. Endpoints whose leases had expired
/// could not register meanwhile.
#[test]
fn a_short_outage_after_a_long_one_extends_the_time_to_register() {
    let mut roster = after_outage();
    roster.replace(Vec::new(), at(6_000));
    roster.store_answered(answer(7_000));
    roster.store_failed(at(7_100));
    roster.store_answered(answer(8_000));
    roster.tick(at(9_900));
    assert_eq!(serving(&roster), ["a", "b"]);
    roster.tick(at(10_100));
    assert!(serving(&roster).is_empty());
}

/// A call fails while endpoints have time to register, and the next one succeeds. That is not another outage.
#[test]
fn a_failed_call_does_not_extend_the_time_to_register() {
    let mut roster = after_outage();
    roster.replace(Vec::new(), at(6_000));
    roster.store_answered(answer(7_000));
    roster.store_failed(at(8_300));
    roster.store_answered(answer(8_600));
    roster.tick(at(8_600));
    assert!(serving(&roster).is_empty());
}

/// The store is restored from a backup. Removed and draining endpoints must not return to service, and healthy
/// endpoints whose entries were lost must not be dropped.
#[test]
fn a_restored_list_does_not_return_removed_endpoints_to_service() {
    let mut roster = Roster::default();
    let list = |ids: &[&str]| {
        ids.iter()
            .map(|id| ListChange::Listed(entry(id, false)))
            .collect::<Vec<_>>()
    };
    let draining = ListChange::Listed(entry("leaves", true));
    roster.store_answered(answer(1_000));
    roster.replace(list(&["stays", "leaves", "goes"]), at(1_000));
    for second in 2..=13 {
        roster.store_answered(answer(second * 1_000));
    }
    roster.apply(draining, at(13_000));
    roster.apply(removed("goes"), at(13_000));
    roster.apply(ListChange::Listed(entry("young", false)), at(13_000));
    let open = |roster: &Roster| {
        let open = roster.all().filter(|entry| !entry.draining);
        open.map(|entry| entry.id.to_string()).collect::<Vec<_>>()
    };
    assert_eq!(open(&roster), ["stays", "young"]);
    roster.store_restored(answer(14_000));
    roster.replace(list(&["stays", "leaves", "goes"]), at(14_000));
    assert_eq!(open(&roster), ["stays", "young"]);
    // A peer that has not noticed the restore.
    assert!(roster.store_answered_peer(span(1_000, 14_100), at(14_200)).is_empty());
    assert_eq!(open(&roster), ["stays", "young"]);
    // A healthy endpoint writes its entry again.
    roster.apply(ListChange::Listed(entry("goes", false)), at(15_000));
    assert_eq!(open(&roster), ["goes", "stays", "young"]);
    let removed = roster.tick(at(17_000));
    assert_eq!(removed, [RosterChange::Removed(EndpointId::from("young"))]);
    // An endpoint may end its draining by a new entry.
    roster.apply(ListChange::Listed(entry("leaves", false)), at(18_000));
    assert_eq!(open(&roster), ["goes", "leaves", "stays"]);
}
