//! Endpoints in service, through outages of the store.

use dispatch::roster::{ListChange, Roster, RosterChange};
use dispatch::site::EndpointEntry;
use dispatch::uptime::Span;
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

/// An answer of the store to this router.
fn answer(ms: u64) -> Span {
    span(ms, ms)
}

fn span(from: u64, until: u64) -> Span {
    Span {
        from: at(from),
        until: at(until),
    }
}

/// Two endpoints, and a store that was away from 1 s to 6 s.
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

/// The store is away for seconds and the leases of healthy endpoints lapse. If their entries counted as gone the moment
/// it is back, every caller would be refused until all endpoints have registered again.
#[test]
fn entries_that_lapsed_during_an_outage_have_time_to_come_back() {
    let mut roster = after_outage();
    roster.replace(Vec::new(), at(6_000));
    assert_eq!(serving(&roster), ["a", "b"]);
    roster.apply(ListChange::Listed(entry("a", false)), at(7_000));
    roster.tick(at(8_400));
    assert_eq!(serving(&roster), ["a", "b"]);
    roster.tick(at(8_500));
    assert_eq!(serving(&roster), ["a"]);
}

/// An endpoint is removed while all is well, or said that it leaves: new work must not reach it for more than a moment.
#[test]
fn an_entry_that_goes_otherwise_is_gone_at_once() {
    let mut calm = Roster::default();
    calm.store_answered(answer(0));
    calm.replace(vec![ListChange::Listed(entry("a", false))], at(0));
    calm.store_answered(answer(100));
    calm.apply(removed("a"), at(100));
    assert!(serving(&calm).is_empty());

    let mut left = after_outage();
    left.apply(ListChange::Listed(entry("a", true)), at(6_100));
    left.apply(removed("a"), at(6_200));
    assert_eq!(serving(&left), ["b"]);

    let mut later = after_outage();
    for ms in [7_000, 8_000, 9_000] {
        later.store_answered(answer(ms));
    }
    later.apply(removed("b"), at(9_000));
    assert_eq!(serving(&later), ["a"]);
}

/// One call fails and the next is answered: no lease lapses in so short a time, so a removal is a removal.
#[test]
fn one_failed_call_is_no_outage() {
    let mut roster = Roster::default();
    roster.store_answered(answer(0));
    roster.replace(vec![ListChange::Listed(entry("a", false))], at(0));
    roster.store_failed(at(1_000));
    roster.store_answered(answer(1_300));
    roster.apply(removed("a"), at(1_400));
    assert!(serving(&roster).is_empty());
}

/// Two endpoints, one of which goes in a break of this router's answers.
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

/// An outage counts from the last answer, not from the first failed call: entries lapse all the while.
#[test]
fn an_outage_counts_from_the_last_answer() {
    struct Case {
        why: &'static str,
        failed: Option<u64>,
        answered: u64,
        serves: bool,
    }
    let cases = [
        Case {
            why: "a watch that left as the store fell silent was given up late",
            failed: Some(2_800),
            answered: 3_400,
            serves: true,
        },
        Case {
            why: "the routers that were followed have lost the store",
            failed: None,
            answered: 3_000,
            serves: true,
        },
        Case {
            why: "one answer to a watch was lost, in which time no lease lapses",
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

/// Only this router was cut off, or the one that it follows: an entry that went meanwhile was removed, and has not lapsed.
#[test]
fn a_removal_behind_a_cut_is_no_lapse() {
    struct Case {
        why: &'static str,
        told: &'static [(u64, u64)],
        serves: bool,
    }
    let cases = [
        Case {
            why: "the store answered another router all the while",
            told: &[(0, 9_500)],
            serves: false,
        },
        Case {
            why: "living endpoints have had the time to register since the store answered another router",
            told: &[(4_000, 9_500)],
            serves: false,
        },
        Case {
            why: "they have not had the time yet",
            told: &[(8_000, 9_500)],
            serves: true,
        },
        Case {
            why: "the other router was cut off as well",
            told: &[(9_900, 10_000)],
            serves: true,
        },
        Case {
            why: "the other router has not been answered since the break began",
            told: &[(0, 1_200)],
            serves: true,
        },
        Case {
            why: "one of several knows",
            told: &[(9_900, 10_000), (0, 9_000), (8_000, 9_500)],
            serves: false,
        },
        Case {
            why: "two that follow one another fill the break",
            told: &[(8_000, 9_500), (0, 8_500)],
            serves: false,
        },
    ];
    for case in cases {
        let mut roster = after_break(1_000, Some(9_600), 10_000);
        for (from, until) in case.told {
            roster.store_answered_other(span(*from, *until), at(10_020));
        }
        let all: &[&str] = if case.serves { &["a", "b"] } else { &["b"] };
        assert_eq!(serving(&roster), all, "{}", case.why);
    }
}

/// Nobody can tell whether the store was away: an endpoint that left must get nothing three seconds after the path may be back.
#[test]
fn what_may_have_lapsed_is_dropped_in_time() {
    let mut roster = after_break(1_000, Some(9_200), 10_000);
    roster.tick(at(12_100));
    assert_eq!(serving(&roster), ["a", "b"]);
    roster.tick(at(12_200));
    assert_eq!(serving(&roster), ["b"]);
}

/// The router that is followed tells since when the store answers it: a router that changes to another one has had no break.
#[test]
fn a_followed_routers_answers_count() {
    let mut roster = after_break(1_000, None, 1_100);
    roster.store_answered(span(0, 3_900));
    roster.apply(removed("b"), at(4_000));
    assert!(serving(&roster).is_empty());
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
    roster.store_answered(answer(0));
    roster.replace(vec![ListChange::Listed(entry("a", false))], at(0));
    roster.store_failed(at(1_200));
    roster.store_failed(at(1_000));
    roster.store_answered(answer(6_000));
    roster.store_answered(answer(7_000));
    roster.apply(removed("a"), at(8_600));
    assert!(serving(&roster).is_empty());
}

/// The store is back for a second and away again, before endpoints whose leases had lapsed could register. Were they dropped
/// meanwhile, every caller would be refused until the store is back for good.
#[test]
fn endpoints_outlive_two_outages_in_a_row() {
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

/// The store is back and away again for less time than a lease lasts: endpoints that have lapsed could not register meanwhile.
#[test]
fn a_short_outage_after_a_long_one_gives_more_time() {
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

/// A call fails while endpoints have time to come back, and the next one is answered: that is no further outage.
#[test]
fn a_failed_call_gives_no_more_time_to_come_back() {
    let mut roster = after_outage();
    roster.replace(Vec::new(), at(6_000));
    roster.store_answered(answer(7_000));
    roster.store_failed(at(8_300));
    roster.store_answered(answer(8_600));
    roster.tick(at(8_600));
    assert!(serving(&roster).is_empty());
}

/// The store comes back from a copy: what has gone or leaves must not be taken for new, and what lives must not be dropped since its
/// entry is lost.
#[test]
fn an_older_list_brings_nobody_back() {
    let mut roster = Roster::default();
    let list = |ids: &[&str]| {
        ids.iter()
            .map(|id| ListChange::Listed(entry(id, false)))
            .collect::<Vec<_>>()
    };
    let leaving = ListChange::Listed(entry("leaves", true));
    roster.store_answered(answer(1_000));
    roster.replace(list(&["stays", "leaves", "goes"]), at(1_000));
    for second in 2..=13 {
        roster.store_answered(answer(second * 1_000));
    }
    roster.apply(leaving, at(13_000));
    roster.apply(removed("goes"), at(13_000));
    roster.apply(ListChange::Listed(entry("young", false)), at(13_000));
    let open = |roster: &Roster| {
        let open = roster.all().filter(|entry| !entry.leaving);
        open.map(|entry| entry.id.to_string()).collect::<Vec<_>>()
    };
    assert_eq!(open(&roster), ["stays", "young"]);
    roster.store_restored(answer(14_000));
    roster.replace(list(&["stays", "leaves", "goes"]), at(14_000));
    assert_eq!(open(&roster), ["stays", "young"]);
    // Another router that has not noticed.
    assert!(roster.store_answered_other(span(1_000, 14_100), at(14_200)).is_empty());
    assert_eq!(open(&roster), ["stays", "young"]);
    // What lives writes its entry again.
    roster.apply(ListChange::Listed(entry("goes", false)), at(15_000));
    assert_eq!(open(&roster), ["goes", "stays", "young"]);
    let gone = roster.tick(at(17_000));
    assert_eq!(gone, [RosterChange::Removed(EndpointId::from("young"))]);
    // An endpoint that changes its mind says so by itself.
    roster.apply(ListChange::Listed(entry("leaves", false)), at(18_000));
    assert_eq!(open(&roster), ["goes", "leaves", "stays"]);
}
