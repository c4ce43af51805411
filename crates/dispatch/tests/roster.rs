//! Endpoints in service, through outages of the store.

use dispatch::roster::{ListChange, Roster};
use dispatch::site::EndpointEntry;
use ids::{DomainId, EndpointId, Incarnation, ServiceId};
use std::time::Duration;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn entry(id: &str, leaving: bool) -> EndpointEntry {
    EndpointEntry {
        id: EndpointId::from(id),
        incarnation: Incarnation(1),
        service: ServiceId::from("fans"),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: DomainId::from("here"),
        slots: 6,
        leaving,
        weights: Vec::new(),
    }
}

fn removed(id: &str) -> ListChange {
    ListChange::Removed(EndpointId::from(id))
}

/// Two endpoints, and a store that was away from 1 s to 6 s.
fn after_outage() -> Roster {
    let mut roster = Roster::default();
    roster.replace(
        vec![
            ListChange::Listed(entry("a", false)),
            ListChange::Listed(entry("b", false)),
        ],
        at(0),
    );
    roster.store_failed(at(1_000));
    roster.store_failed(at(5_000));
    roster.store_answered(at(6_000));
    roster
}

fn serving(roster: &Roster) -> Vec<&str> {
    roster.all().map(|entry| entry.id.as_str()).collect()
}

/// The store is away for seconds and the leases of healthy endpoints lapse. If their entries counted as gone the moment
/// it is back, every caller would be refused until all endpoints have registered again.
#[test]
fn entries_that_lapsed_during_an_outage_have_time_to_come_back() {
    let mut roster = after_outage();
    roster.replace(Vec::new(), at(6_000));
    assert_eq!(serving(&roster), ["a", "b"]);
    roster.change(ListChange::Listed(entry("a", false)), at(7_000));
    roster.tick(at(8_400));
    assert_eq!(serving(&roster), ["a", "b"]);
    roster.tick(at(8_500));
    assert_eq!(serving(&roster), ["a"]);
}

/// An endpoint is removed while all is well, or said that it leaves: new work must not reach it for more than a moment.
#[test]
fn an_entry_that_goes_otherwise_is_gone_at_once() {
    let mut calm = Roster::default();
    calm.replace(vec![ListChange::Listed(entry("a", false))], at(0));
    calm.change(removed("a"), at(100));
    assert!(serving(&calm).is_empty());

    let mut left = after_outage();
    left.change(ListChange::Listed(entry("a", true)), at(6_100));
    left.change(removed("a"), at(6_200));
    assert_eq!(serving(&left), ["b"]);

    let mut later = after_outage();
    later.change(removed("b"), at(9_000));
    assert_eq!(serving(&later), ["a"]);
}

/// One call fails and the next is answered: no lease lapses in so short a time, so a removal is a removal.
#[test]
fn one_failed_call_is_no_outage() {
    let mut roster = Roster::default();
    roster.replace(vec![ListChange::Listed(entry("a", false))], at(0));
    roster.store_failed(at(1_000));
    roster.store_answered(at(1_300));
    roster.change(removed("a"), at(1_400));
    assert!(serving(&roster).is_empty());
}

/// The store falls silent right after a watch has left, which is given up long after, and entries lapse. A router that follows
/// others hears of it even later. If an outage counted from the failed call only, all callers would be refused when the store is back.
#[test]
fn an_outage_counts_from_when_nothing_was_heard() {
    struct Case {
        why: &'static str,
        unheard: u64,
        failed: u64,
        answered: u64,
        serves: bool,
    }
    let cases = [
        Case {
            why: "a watch that left as the store fell silent was given up late",
            unheard: 1_000,
            failed: 2_800,
            answered: 3_400,
            serves: true,
        },
        Case {
            why: "the routers that were followed have lost the store",
            unheard: 1_000,
            failed: 2_900,
            answered: 3_000,
            serves: true,
        },
        Case {
            why: "one answer to a watch was lost, in which time no lease lapses",
            unheard: 1_000,
            failed: 2_800,
            answered: 2_860,
            serves: false,
        },
    ];
    for case in cases {
        let mut roster = Roster::default();
        roster.replace(vec![ListChange::Listed(entry("a", false))], at(0));
        roster.store_failed(at(case.failed));
        roster.store_unheard(at(case.unheard));
        roster.store_answered(at(case.answered));
        roster.change(removed("a"), at(case.answered));
        assert_eq!(!serving(&roster).is_empty(), case.serves, "{}", case.why);
        roster.tick(at(case.answered + 2_500));
        assert!(serving(&roster).is_empty(), "{}", case.why);
    }
}

/// Another program writes bytes under an endpoint's key that cannot be read. They name no endpoint; the others serve on.
#[test]
fn an_entry_that_cannot_be_read_names_no_endpoint() {
    let mut roster = Roster::default();
    let list = vec![
        ListChange::Listed(entry("a", false)),
        ListChange::Unreadable(EndpointId::from("b")),
    ];
    roster.replace(list, at(0));
    assert_eq!(serving(&roster), ["a"]);
}

/// The store is back after an outage that two calls told of. Its second answer must not count as another return: an endpoint that is
/// removed later would go on getting work.
#[test]
fn an_outage_ends_once() {
    let mut roster = Roster::default();
    roster.replace(vec![ListChange::Listed(entry("a", false))], at(0));
    roster.store_failed(at(1_200));
    roster.store_unheard(at(1_000));
    roster.store_answered(at(6_000));
    roster.store_answered(at(7_000));
    roster.change(removed("a"), at(8_600));
    assert!(serving(&roster).is_empty());
}

/// The store is back for a second and away again, before endpoints whose leases had lapsed could register. Were they let go of
/// meanwhile, every caller would be refused until the store is back for good.
#[test]
fn endpoints_outlive_two_outages_in_a_row() {
    let mut roster = after_outage();
    roster.replace(Vec::new(), at(6_000));
    roster.store_failed(at(7_000));
    roster.store_unheard(at(6_900));
    roster.tick(at(8_600));
    assert_eq!(serving(&roster), ["a", "b"]);
    roster.store_answered(at(12_000));
    roster.replace(Vec::new(), at(12_000));
    roster.tick(at(12_200));
    assert_eq!(serving(&roster), ["a", "b"]);
    roster.change(ListChange::Listed(entry("a", false)), at(14_000));
    roster.tick(at(14_500));
    assert_eq!(serving(&roster), ["a"]);
}

/// A call fails while endpoints have time to come back, and the next one is answered: that is no further outage.
#[test]
fn a_failed_call_gives_no_more_time_to_come_back() {
    let mut roster = after_outage();
    roster.replace(Vec::new(), at(6_000));
    roster.store_failed(at(8_300));
    roster.store_answered(at(8_600));
    roster.tick(at(8_600));
    assert!(serving(&roster).is_empty());
}
