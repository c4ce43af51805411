//! At which version of the software a stream may go on.

use dispatch::origins::{Continuation, Knowledge, Origin, Origins, StreamKey, continuation};
use ids::{RequestId, ServiceId, SoftwareVersion};
use std::time::Duration;

fn origin(version: &str) -> Origin {
    Origin {
        service: ServiceId::from("pool"),
        software: SoftwareVersion::from(version),
    }
}

fn knowledge(known: Option<&str>, versions: &[&str]) -> Knowledge {
    Knowledge {
        origin: known.map(origin),
        versions: versions.iter().map(|version| SoftwareVersion::from(*version)).collect(),
    }
}

/// A router that doesn't know where a stream began must not guess, unless all that it can ask have seen a single version.
#[test]
fn a_stream_goes_on_only_where_it_began() {
    struct Case {
        name: &'static str,
        own: Knowledge,
        others: Vec<Option<Knowledge>>,
        alone: bool,
        expected: Continuation,
    }
    let case = |name, own, others: &[Option<Knowledge>], expected| Case {
        name,
        own,
        others: others.to_vec(),
        alone: false,
        expected,
    };
    let at = |version| Continuation::At(origin(version));
    let (one, both) = (knowledge(None, &["v1"]), knowledge(None, &["v1", "v2"]));
    let told = knowledge(Some("v2"), &["v1", "v2"]);
    let cases = [
        case("it knows", told.clone(), &[], at("v2")),
        case(
            "another knows",
            both.clone(),
            &[None, Some(both.clone()), Some(told.clone())],
            at("v2"),
        ),
        case(
            "another knows of a version that it hasn't seen",
            one.clone(),
            &[Some(told)],
            at("v2"),
        ),
        case(
            "nobody knows, several versions",
            both.clone(),
            &[Some(both.clone()), None],
            Continuation::Unknown,
        ),
        case(
            "another has seen several",
            one.clone(),
            &[Some(both), None],
            Continuation::Unknown,
        ),
        case(
            "another has seen a different one",
            one.clone(),
            &[Some(knowledge(None, &["v2"]))],
            Continuation::Unknown,
        ),
        case(
            "all have seen a single version",
            one.clone(),
            &[Some(one.clone()), None],
            Continuation::Anywhere,
        ),
        case(
            "nobody answers",
            one.clone(),
            &[None, None, None],
            Continuation::Unknown,
        ),
        Case {
            alone: true,
            ..case("there is no other router", one, &[], Continuation::Anywhere)
        },
    ];
    for case in cases {
        let found = continuation(&case.own, &case.others, case.alone);
        assert_eq!(found, case.expected, "{}", case.name);
    }
}

/// A router that has just started, or whose list of endpoints is old, may have missed another version.
#[test]
fn a_single_version_is_proved_by_watching_long_enough() {
    struct Case {
        versions: usize,
        list_age: Option<u64>,
        now: u64,
        proved: bool,
    }
    let case = |versions, list_age, now, proved| Case {
        versions,
        list_age,
        now,
        proved,
    };
    let cases = [
        case(1, Some(100), 31_000, true),
        case(1, Some(100), 29_000, false),
        case(1, Some(2_500), 31_000, false),
        case(1, None, 31_000, false),
        case(2, Some(100), 31_000, false),
        case(0, Some(100), 31_000, true),
    ];
    let mut origins = Origins::default();
    origins.list_read(Duration::from_secs(1));
    origins.list_read(Duration::from_secs(20));
    for case in cases {
        let age = case.list_age.map(Duration::from_millis);
        let proved = origins.proves_single(case.versions, age, Duration::from_millis(case.now));
        assert_eq!(
            proved, case.proved,
            "{:?} {:?} {}",
            case.versions, case.list_age, case.now
        );
    }
}

/// Origins are forgotten once no client can return, and their number is bounded.
#[test]
fn origins_are_forgotten() {
    let key = |number: u64| StreamKey::from(&RequestId::from(format!("r{number}")));
    let mut origins = Origins::default();
    origins.record(key(0), origin("v1"), Duration::ZERO);
    origins.record(key(1), origin("v2"), Duration::from_secs(20));
    assert_eq!(origins.get(key(0)), Some(&origin("v1")));
    origins.record(key(2), origin("v2"), Duration::from_secs(31));
    assert_eq!(origins.get(key(0)), None);
    assert_eq!(origins.get(key(1)), Some(&origin("v2")));
    (3..70_000).for_each(|number| origins.record(key(number), origin("v1"), Duration::from_secs(32)));
    assert_eq!(origins.all().count(), 65_536);
}
