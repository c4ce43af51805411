//! Endpoints that state on their answers that they leave, at the roster and the fleet.

mod support;

use dispatch::fleet::Fleet;
use dispatch::leaving::LeavingEndpoint;
use dispatch::roster::{LeavingChange, ListChange, Roster};
use dispatch::site::EndpointEntry;
use dispatch::uptime::Span;
use ids::{DomainId, EndpointId, Incarnation, ServiceId, SoftwareVersion};
use std::sync::Arc;
use std::time::Duration;
use support::fleet::{entry as fleet_entry, fleet, send};

const SECOND: Duration = Duration::from_secs(1);

fn entry(id: &str, incarnation: u64, draining: bool) -> EndpointEntry {
    EndpointEntry {
        id: EndpointId::from(id),
        incarnation: Incarnation(incarnation),
        service: ServiceId::from("fans"),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: DomainId::from("here"),
        slots: 6,
        software: SoftwareVersion::from("v1"),
        draining,
        weights: Vec::new(),
    }
}

fn leaving(id: &str, incarnation: u64) -> LeavingEndpoint {
    LeavingEndpoint {
        id: EndpointId::from(id),
        incarnation: Incarnation(incarnation),
    }
}

fn answered(at: Duration) -> Span {
    Span { from: at, until: at }
}

/// What the roster is told of endpoint `a`. Each step comes a second after the one before.
#[derive(Debug, Clone, Copy)]
enum Step {
    Ready(u64),
    Draining(u64),
    Removed,
    /// The store was restored and lists this incarnation as ready.
    Restored(u64),
    /// All entries are read again; `a` is not among them.
    ReadWithout,
    States(u64),
    Minute,
}

#[derive(Debug, PartialEq, Eq)]
enum Service {
    Out,
    Serving,
    Draining,
}

struct Case {
    name: &'static str,
    steps: &'static [Step],
    service: Service,
    /// The incarnations that other routers are told of.
    told: &'static [u64],
}

fn apply(roster: &mut Roster, step: Step, now: Duration) {
    match step {
        Step::Ready(incarnation) => {
            roster.apply(ListChange::Listed(entry("a", incarnation, false)), now);
        }
        Step::Draining(incarnation) => {
            roster.apply(ListChange::Listed(entry("a", incarnation, true)), now);
        }
        Step::Removed => {
            roster.apply(ListChange::Removed(EndpointId::from("a")), now);
        }
        Step::Restored(incarnation) => {
            roster.store_restored(answered(now));
            roster.replace(vec![ListChange::Listed(entry("a", incarnation, false))], now);
        }
        Step::ReadWithout => {
            roster.replace(Vec::new(), now);
        }
        Step::States(incarnation) => {
            roster.mark_leaving(leaving("a", incarnation), now);
        }
        Step::Minute => {}
    }
}

/// An endpoint that has stated that it leaves drains until it starts again, whatever its entries show.
#[test]
fn an_endpoint_that_leaves_drains_for_the_rest_of_its_incarnation() {
    use Step::{Draining, Minute, ReadWithout, Ready, Removed, Restored, States};
    let case = |name, steps, service, told| Case {
        name,
        steps,
        service,
        told,
    };
    let cases = [
        case("no statement", &[Ready(1)][..], Service::Serving, &[]),
        case("ready", &[Ready(1), States(1)], Service::Draining, &[1]),
        case("twice", &[Ready(1), States(1), States(1)], Service::Draining, &[1]),
        case(
            "written again",
            &[Ready(1), States(1), Ready(1)],
            Service::Draining,
            &[1],
        ),
        case("draining before", &[Draining(1), States(1)], Service::Draining, &[]),
        case(
            "draining afterwards",
            &[Ready(1), States(1), Draining(1)],
            Service::Draining,
            &[],
        ),
        case(
            "ready after draining",
            &[Draining(1), States(1), Ready(1)],
            Service::Draining,
            &[1],
        ),
        case("removed", &[Ready(1), States(1), Removed], Service::Out, &[1]),
        case(
            "removed for long",
            &[Ready(1), States(1), Removed, Minute],
            Service::Out,
            &[],
        ),
        case(
            "listed again",
            &[Ready(1), States(1), Removed, Minute, Ready(1)],
            Service::Draining,
            &[1],
        ),
        case(
            "missing from a list, then listed again",
            &[Ready(1), States(1), ReadWithout, Ready(1)],
            Service::Draining,
            &[1],
        ),
        case(
            "restored",
            &[Ready(1), States(1), Draining(1), Restored(1)],
            Service::Draining,
            &[1],
        ),
        case(
            "removed, then restored",
            &[Ready(1), States(1), Draining(1), Removed, Restored(1)],
            Service::Out,
            &[],
        ),
        case(
            "removed, restored and written again",
            &[Ready(1), States(1), Draining(1), Removed, Restored(1), Ready(1)],
            Service::Draining,
            &[1],
        ),
        case("before it is listed", &[States(1), Ready(1)], Service::Draining, &[1]),
        case(
            "new incarnation",
            &[Ready(1), States(1), Ready(2)],
            Service::Serving,
            &[],
        ),
        case(
            "new incarnation leaves too",
            &[Ready(1), States(1), Ready(2), States(2)],
            Service::Draining,
            &[2],
        ),
        case(
            "late statement of the old incarnation",
            &[Ready(2), States(1)],
            Service::Serving,
            &[],
        ),
        case(
            "statement of a new incarnation that is not listed yet",
            &[Ready(1), States(2)],
            Service::Serving,
            &[2],
        ),
        case(
            "the new incarnation is listed then",
            &[Ready(1), States(2), Ready(2)],
            Service::Draining,
            &[2],
        ),
        case(
            "a restored list with the incarnation before",
            &[Ready(1), Ready(2), States(2), Restored(1), Ready(2)],
            Service::Draining,
            &[2],
        ),
        case(
            "incarnations that count backwards",
            &[Ready(2), States(2), Ready(1), States(1)],
            Service::Draining,
            &[2, 1],
        ),
    ];
    for case in cases {
        let mut roster = Roster::default();
        let mut now = SECOND;
        for step in case.steps {
            roster.store_answered(answered(now));
            apply(&mut roster, *step, now);
            now += if matches!(step, Minute) { 60 * SECOND } else { SECOND };
        }
        let entry = roster.get(&EndpointId::from("a"));
        let service = entry.map_or(Service::Out, |entry| {
            if entry.draining {
                Service::Draining
            } else {
                Service::Serving
            }
        });
        assert_eq!(service, case.service, "{}", case.name);
        let told: Vec<LeavingEndpoint> = roster.unshown_leaving(now).collect();
        let expected: Vec<LeavingEndpoint> = case.told.iter().map(|incarnation| leaving("a", *incarnation)).collect();
        assert_eq!(told, expected, "{}", case.name);
    }
}

/// Each statement is new once.
#[test]
fn a_statement_changes_the_roster_once() {
    let mut roster = Roster::default();
    roster.apply(ListChange::Listed(entry("a", 1, false)), SECOND);
    let first = roster.mark_leaving(leaving("a", 1), SECOND);
    assert!(matches!(first, LeavingChange::Draining(_)), "{first:?}");
    assert_eq!(roster.mark_leaving(leaving("a", 1), SECOND), LeavingChange::Known);
    assert_eq!(roster.mark_leaving(leaving("b", 1), SECOND), LeavingChange::New);
    assert_eq!(roster.mark_leaving(leaving("b", 1), SECOND), LeavingChange::Known);
}

/// Endpoints that leave and never come back must not fill the memory. The latest ones are kept.
#[test]
fn statements_of_unlisted_endpoints_are_bounded() {
    let mut roster = Roster::default();
    for number in 0..1_500 {
        let id = format!("e{number}");
        let now = Duration::from_millis(number);
        roster.apply(ListChange::Listed(entry(&id, 1, false)), now);
        roster.mark_leaving(leaving(&id, 1), now);
        roster.apply(ListChange::Removed(EndpointId::from(id.as_str())), now);
    }
    let kept: Vec<LeavingEndpoint> = roster.unshown_leaving(3 * SECOND).collect();
    assert_eq!(kept.len(), 1_024);
    assert!(kept.contains(&leaving("e1499", 1)) && !kept.contains(&leaving("e0", 1)));
}

/// The fleet excludes the endpoint at once, and an entry that was read before the statement doesn't bring it back.
#[test]
fn the_fleet_sends_nothing_to_an_endpoint_that_leaves() {
    let mut pool = fleet(&[fleet_entry("a", 1)]);
    let sends = |pool: &mut Fleet| send(pool, None, &[], 0, SECOND).is_some();
    assert!(sends(&mut pool));
    assert!(pool.mark_leaving(&leaving("b", 1)), "not in service");
    assert!(pool.mark_leaving(&leaving("a", 2)), "another incarnation");
    assert!(sends(&mut pool));
    assert!(pool.mark_leaving(&leaving("a", 1)));
    assert!(!pool.mark_leaving(&leaving("a", 1)), "known");
    assert!(!sends(&mut pool));
    pool.upsert_endpoint(&Arc::new(fleet_entry("a", 1)), SECOND);
    assert!(!sends(&mut pool));
    let restarted = EndpointEntry {
        incarnation: Incarnation(2),
        ..fleet_entry("a", 1)
    };
    pool.upsert_endpoint(&Arc::new(restarted), SECOND);
    assert!(sends(&mut pool));
}
