//! Which endpoints may begin streams, by the version of their software.

mod support;

use dispatch::fleet::{Choice, PickContext, SoftwareRule};
use dispatch::site::EndpointEntry;
use ids::{EndpointId, SoftwareVersion};
use std::collections::BTreeSet;
use support::fleet::{at, context, entry, fleet, service};

/// Guards against streams that begin at a version which the record doesn't name as active, because the endpoints of the others
/// can't serve a request.
#[test]
fn streams_begin_at_other_versions_only_if_no_active_one_is_listed() {
    struct Case {
        name: &'static str,
        rule: SoftwareRule<'static>,
        active_listed: bool,
        active_leaves: bool,
        active_tried: bool,
        expected: Option<&'static str>,
    }
    let case = |name, rule, [active_listed, active_leaves, active_tried]: [bool; 3], expected| Case {
        name,
        rule,
        active_listed,
        active_leaves,
        active_tried,
        expected,
    };
    let (strict, listed) = (SoftwareRule::Active, SoftwareRule::ActiveIfListed);
    let cases = [
        case("strict", strict, [true, false, false], Some("old")),
        case("strict, tried", strict, [true, false, true], None),
        case("strict, leaves", strict, [true, true, false], None),
        case("strict, gone", strict, [false; 3], None),
        case("if listed", listed, [true, false, false], Some("old")),
        case("if listed, tried", listed, [true, false, true], None),
        case("if listed, leaves", listed, [true, true, false], Some("new")),
        case("if listed, gone", listed, [false; 3], Some("new")),
        case("any, tried", SoftwareRule::Any, [true, false, true], Some("new")),
    ];
    for case in cases {
        let old = EndpointEntry {
            draining: case.active_leaves,
            ..entry("old", 1)
        };
        let new = EndpointEntry {
            software: SoftwareVersion::from("v2"),
            ..entry("new", 1)
        };
        let entries = if case.active_listed { vec![old, new] } else { vec![new] };
        let mut fleet = fleet(&entries);
        fleet.set_active_versions(&service(), &BTreeSet::from([SoftwareVersion::from("v1")]));
        let avoid = if case.active_tried {
            vec![EndpointId::from("old")]
        } else {
            Vec::new()
        };
        let service = service();
        let context = PickContext {
            software: case.rule,
            avoid: &avoid,
            ..context(&service, None)
        };
        let chosen = match fleet.choose(&context, 0, at(0)) {
            Choice::Endpoint(picked) => Some(picked.endpoint.id.to_string()),
            _ => None,
        };
        assert_eq!(chosen.as_deref(), case.expected, "{}", case.name);
    }
}
