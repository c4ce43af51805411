//! Which endpoint a request goes to.

mod support;

use dispatch::fleet::{Fleet, LoadReport, Outcome, Prompt, PromptPart};
use ids::{EndpointId, Incarnation};
use std::collections::BTreeSet;
use std::sync::Arc;
use support::fleet::{at, entry, fleet, pool, prompt, send};

/// Endpoints of a plain service have few slots, and a burst of calls comes within a moment. Sent to whichever answered fastest
/// last time they would queue up there while the others idle.
#[test]
fn a_burst_spreads_over_the_slots() {
    let mut fleet = pool(&[1, 1, 1]);
    let mut counts = [0; 3];
    for draw in 0..18 {
        let name = send(&mut fleet, None, &[], draw, at(0)).expect("an endpoint");
        counts[usize::from(name.as_bytes()[1] - b'0')] += 1;
    }
    assert_eq!(counts, [6, 6, 6]);
}

/// Other routers fill an endpoint of which this one sees little. What it reports on an answer keeps new calls away for a while,
/// then it is tried again.
#[test]
fn a_load_report_counts_for_a_moment() {
    let mut fleet = pool(&[1, 1]);
    let full = LoadReport { running: 6, waiting: 4 };
    fleet.record_load(&EndpointId::from("e0"), full, at(0));
    for draw in 0..4 {
        assert_eq!(send(&mut fleet, None, &[], draw, at(1)).as_deref(), Some("e1"));
    }
    fleet.record_load(&EndpointId::from("e1"), full, at(3_000));
    assert_eq!(send(&mut fleet, None, &[], 0, at(3_001)).as_deref(), Some("e0"));
}

/// An endpoint answers half of its calls with errors while it says that it is well. A caller notices failures for as long
/// as calls go there.
#[test]
fn an_endpoint_that_fails_half_of_its_calls_is_left() {
    let mut fleet = pool(&[1, 1, 1]);
    let (grey, now) = (EndpointId::from("e0"), at(0));
    for round in 0..20 {
        let outcome = if round % 2 == 0 {
            Outcome::Failed
        } else {
            Outcome::Answered(at(20))
        };
        fleet.record_outcome(&grey, outcome, now);
        for sound in ["e1", "e2"] {
            fleet.record_outcome(&EndpointId::from(sound), Outcome::Answered(at(20)), now);
        }
    }
    let used: BTreeSet<_> = (0..12)
        .filter_map(|draw| send(&mut fleet, None, &[], draw, now))
        .collect();
    assert!(!used.contains("e0"), "{used:?}");
    // With nothing else left it is still better than a refusal.
    let others = [EndpointId::from("e1"), EndpointId::from("e2")];
    assert_eq!(send(&mut fleet, None, &others, 0, now).as_deref(), Some("e0"));
}

/// An endpoint failed and was left; it gets no work, so it cannot show that it is well again. While it is left for ever the
/// others carry its load, slow down, and are left in their turn.
#[test]
fn an_endpoint_that_was_left_is_tried_again() {
    let mut fleet = pool(&[1, 1]);
    let grey = EndpointId::from("e0");
    for _ in 0..20 {
        fleet.record_outcome(&grey, Outcome::Failed, at(0));
        fleet.record_outcome(&EndpointId::from("e1"), Outcome::Answered(at(20)), at(0));
    }
    assert_eq!(send(&mut fleet, None, &[], 0, at(10)).as_deref(), Some("e1"));
    let used: BTreeSet<_> = (0..40)
        .filter_map(|draw| send(&mut fleet, None, &[], draw, at(20_000)))
        .collect();
    assert!(used.contains("e0"), "{used:?}");
}

/// Engines answer late under load, all of them. None is left for that.
#[test]
fn late_answers_make_no_endpoint_grey() {
    let mut fleet = pool(&[1, 1]);
    for _ in 0..50 {
        fleet.record_outcome(&EndpointId::from("e0"), Outcome::Timeout, at(0));
        fleet.record_outcome(&EndpointId::from("e0"), Outcome::Answered(at(400)), at(0));
    }
    let used: BTreeSet<_> = (0..40)
        .filter_map(|own| send(&mut fleet, Some(&prompt(own, 99)), &[], own, at(10)))
        .collect();
    assert_eq!(used.len(), 2, "{used:?}");
}

/// Prompts of one session share thousands of tokens. Every router must send them to the same engine without asking the others, or
/// each engine reads them anew.
#[test]
fn routers_agree_on_a_prefix_home() {
    let homes = |draw: u64| -> Vec<Option<String>> {
        let mut fleet = pool(&[1; 9]);
        (10..40)
            .map(|session| send(&mut fleet, Some(&prompt(session, draw)), &[], draw, at(0)))
            .collect()
    };
    let (one, other) = (homes(1_000), homes(2_000));
    let same = one.iter().zip(&other).filter(|(one, other)| one == other).count();
    assert!(same >= 24, "{same} of 30 sessions have one home");
    let used: BTreeSet<_> = one.iter().collect();
    assert!(used.len() >= 6, "sessions spread over {} engines", used.len());
}

/// One session becomes hot. All of it at its home would queue there for seconds while other engines idle.
#[test]
fn a_hot_prefix_spills() {
    let mut fleet = pool(&[1; 9]);
    let used: BTreeSet<_> = (0..60)
        .filter_map(|own| send(&mut fleet, Some(&prompt(7, 100 + own)), &[], own, at(0)))
        .collect();
    assert!(used.len() >= 3, "{used:?}");
}

/// An engine that is about to load weights refuses what hasn't started, and some requests may be sent to one engine only.
#[test]
fn nothing_goes_to_an_endpoint_that_loads_or_leaves() {
    let mut leaving = entry("e2", 1);
    leaving.draining = true;
    let mut fleet = fleet(&[entry("e0", 1), entry("e1", 1), leaving]);
    fleet.set_loading(BTreeSet::from([EndpointId::from("e0")]), BTreeSet::new());
    let used: BTreeSet<_> = (0..20)
        .filter_map(|own| send(&mut fleet, Some(&prompt(own, 100 + own)), &[], own, at(0)))
        .collect();
    assert_eq!(used.into_iter().collect::<Vec<_>>(), ["e1"]);
}

/// Two connections to an endpoint break in a row: it has crashed. New calls there would only lose time until its entry goes.
#[test]
fn a_dead_endpoint_is_probed_and_not_called() {
    let mut fleet = pool(&[1, 1]);
    let dead = EndpointId::from("e0");
    fleet.record_outcome(&dead, Outcome::ConnectFailed, at(0));
    fleet.record_outcome(&dead, Outcome::ConnectFailed, at(10));
    for draw in 0..8 {
        assert_eq!(send(&mut fleet, None, &[], draw, at(20)).as_deref(), Some("e1"));
    }
    let probes = fleet.due_probes(at(300));
    assert_eq!(probes.iter().map(|entry| entry.id.as_str()).collect::<Vec<_>>(), ["e0"]);
    fleet.record_probe(&dead, Outcome::Answered(at(5)), at(310));
    let used: BTreeSet<_> = (0..8)
        .filter_map(|draw| send(&mut fleet, None, &[], draw, at(320)))
        .collect();
    assert!(used.contains("e0"), "{used:?}");
}

/// An endpoint restarts under its old name. What ran in its former life must not be counted in the new one.
#[test]
fn another_life_begins_without_load() {
    let mut fleet = pool(&[1, 1]);
    let id = EndpointId::from("e0");
    for _ in 0..6 {
        fleet.request_started(&id, Incarnation(1), 0, at(0));
    }
    let mut reborn = entry("e0", 1);
    reborn.incarnation = Incarnation(2);
    fleet.upsert_endpoint(&Arc::new(reborn), at(10));
    fleet.request_finished(&id, Incarnation(1));
    fleet.request_started(&EndpointId::from("e1"), Incarnation(1), 0, at(0));
    assert_eq!(send(&mut fleet, None, &[], 0, at(20)).as_deref(), Some("e0"));
}

/// A router meets each endpoint of a large pool once in ten seconds, and its own reports are too old to tell which is full. What
/// its neighbours heard keeps requests away from it; an older word of theirs does not replace what the router heard itself.
#[test]
fn neighbours_reports_count_by_their_age() {
    let id = EndpointId::from("e0");
    let full = LoadReport { running: 6, waiting: 4 };
    let mut neighbour = pool(&[1, 1]);
    neighbour.record_load(&id, full, at(1_000));
    let mut news = neighbour.loads_since(at(900), true);
    assert_eq!(news.len(), 1);
    assert_eq!(neighbour.loads_since(at(1_000), true), []);
    // Clocks differ: the news comes with its age.
    news[0].reported_at = at(5_000);
    struct Case {
        own: Option<u64>,
        used: &'static str,
    }
    let cases = [
        Case { own: None, used: "e1" },
        Case {
            own: Some(4_900),
            used: "e1",
        },
        Case {
            own: Some(5_100),
            used: "e0",
        },
    ];
    for case in cases {
        let mut fleet = pool(&[1, 1]);
        fleet.record_load(
            &EndpointId::from("e1"),
            LoadReport { running: 2, waiting: 0 },
            at(5_000),
        );
        if let Some(own) = case.own {
            fleet.record_load(&id, LoadReport::default(), at(own));
        }
        fleet.merge_loads(&news, at(5_050));
        assert_eq!(
            send(&mut fleet, None, &[], 0, at(5_100)).as_deref(),
            Some(case.used),
            "{:?}",
            case.own
        );
        let passed_on = fleet.loads_since(at(5_010), false);
        assert_eq!(passed_on.iter().any(|news| news.report == full), case.used == "e1");
    }
}

/// A short prompt's prefix has fewer tokens than a coarse block: its requests go anywhere, and each engine reads it.
#[test]
fn short_prompts_stay_where_their_prefix_is() {
    let mut fleet = pool(&[1; 8]);
    let mut moved = 0;
    for session in 0..50 {
        let short = Prompt {
            parts: vec![
                PromptPart { id: 1, tokens: 119 },
                PromptPart {
                    id: session,
                    tokens: 79,
                },
                PromptPart { id: 9, tokens: 628 },
            ],
            tokens: 826,
            max_output: 73,
            ..prompt(session, 9)
        };
        let mut used = BTreeSet::new();
        for draw in 0..6_u64 {
            let now = at(1_000 * draw);
            let name = send(
                &mut fleet,
                Some(&short),
                &[],
                draw.wrapping_mul(0x9e37_79b9_7f4a_7c15),
                now,
            )
            .expect("an endpoint");
            fleet.prefill_finished(&EndpointId::from(name.as_str()), Incarnation(1), now);
            fleet.request_finished(&EndpointId::from(name.as_str()), Incarnation(1));
            used.insert(name);
        }
        moved += used.len() - 1;
    }
    assert!(moved <= 5, "{moved} times to another endpoint");
}

/// An engine that reads a long prompt of another router answers nobody, and so tells nobody how long its queue is.
#[test]
fn an_endpoint_where_requests_wait_too_long_is_left() {
    let mut fleet = pool(&[1, 1]);
    let first = send(&mut fleet, Some(&prompt(7, 8)), &[], 0, at(0)).expect("an endpoint");
    let home = |fleet: &mut Fleet, now| send(fleet, Some(&prompt(7, 9)), &[], 0, at(now));
    assert_eq!(home(&mut fleet, 100).as_ref(), Some(&first));
    assert_ne!(home(&mut fleet, 2_000).as_ref(), Some(&first));
}
