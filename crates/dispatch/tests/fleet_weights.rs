//! Which endpoint a request goes to while new weights are loaded.

mod support;

use dispatch::fleet::{Fleet, LoadReport, Outcome, Prompt, PromptPart};
use ids::{EndpointId, Incarnation};
use std::collections::BTreeSet;
use support::fleet::{at, model, name, pool, prompt, send};

/// New weights are named and reach one engine after the other. A request that begins on older ones long after is a stale
/// answer; refusing everything until the last engine has them would be an outage.
#[test]
fn old_weights_serve_for_a_while_only() {
    struct Case {
        weights: &'static [u64],
        named: &'static [(u64, Option<u64>)],
        now: u64,
        allowed: &'static [&'static str],
    }
    let cases = [
        Case {
            weights: &[1, 1, 2],
            named: &[(2, Some(0))],
            now: 7_400,
            allowed: &["e0", "e1", "e2"],
        },
        Case {
            weights: &[1, 1, 2],
            named: &[(2, Some(0))],
            now: 7_500,
            allowed: &["e2"],
        },
        // Each version counts from its own naming.
        Case {
            weights: &[1, 2, 3],
            named: &[(2, Some(0)), (3, Some(4_000))],
            now: 7_500,
            allowed: &["e1", "e2"],
        },
        // Named before this router followed the store: perhaps long ago.
        Case {
            weights: &[1, 1, 2],
            named: &[(2, None)],
            now: 0,
            allowed: &["e2"],
        },
        // An answer on old weights is better than none.
        Case {
            weights: &[1, 1, 1],
            named: &[(2, Some(0))],
            now: 9_000,
            allowed: &["e0", "e1", "e2"],
        },
    ];
    for case in cases {
        let mut fleet = pool(case.weights);
        for (weights, at_ms) in case.named {
            name(&mut fleet, *weights, at_ms.map(at));
        }
        let used: BTreeSet<String> = (0..200)
            .filter_map(|own| send(&mut fleet, Some(&prompt(own, 1_000 + own)), &[], own * 7, at(case.now)))
            .collect();
        let used: Vec<&str> = used.iter().map(String::as_str).collect();
        assert_eq!(
            used, case.allowed,
            "{:?} {:?} at {}",
            case.weights, case.named, case.now
        );
    }
}

/// New weights are named every few seconds, and an engine finishes what it runs before it loads them. One long answer keeps it
/// from everything else for seconds, and a pool whose engines take turns at that is full: callers' first events are late.
/// So engines whose turn is near get none, as long as others serve; long prompts with short answers still go there.
#[test]
fn long_answers_keep_away_from_endpoints_that_load_soon() {
    let long = |session| Prompt {
        parts: vec![
            PromptPart {
                id: session,
                tokens: 512,
            },
            PromptPart { id: 8, tokens: 314 },
        ],
        tokens: 826,
        max_output: 290,
        ..prompt(session, 8)
    };
    let short = |session| prompt(session, 8);
    let ids = |names: &[&str]| {
        names
            .iter()
            .map(|name| EndpointId::from(*name))
            .collect::<BTreeSet<_>>()
    };
    struct Case<'a> {
        prompt: &'a dyn Fn(u64) -> Prompt,
        coming: &'static [&'static str],
        used: &'static [&'static str],
    }
    let cases = [
        Case {
            prompt: &long,
            coming: &["e0", "e1"],
            used: &["e2"],
        },
        Case {
            prompt: &long,
            coming: &["e0", "e1", "e2"],
            used: &["e0", "e1", "e2"],
        },
        Case {
            prompt: &short,
            coming: &["e0", "e1"],
            used: &["e0", "e1", "e2"],
        },
    ];
    for case in cases {
        let mut fleet = pool(&[1, 1, 1]);
        fleet.set_loading(BTreeSet::new(), ids(case.coming));
        let used: BTreeSet<EndpointId> = (0..12)
            .filter_map(|session| send(&mut fleet, Some(&(case.prompt)(session)), &[], session, at(0)))
            .map(EndpointId::from)
            .collect();
        assert_eq!(used, ids(case.used), "{:?} come next", case.coming);
    }
}

/// An engine refuses a request that names other weights than it serves. Believed to have the old ones it has the newest by
/// now; believed to have the newest it has restarted with what its entry says.
#[test]
fn a_refusal_for_other_weights_corrects_the_belief() {
    let id = EndpointId::from("e0");
    let mut fleet = pool(&[1, 1]);
    name(&mut fleet, 3, Some(at(0)));
    fleet.correct_weights(&id, &model());
    assert_eq!(fleet.weights(&id, &model()), Some(3));
    fleet.correct_weights(&id, &model());
    assert_eq!(fleet.weights(&id, &model()), Some(1));
}

/// One of five engines has new weights. Were they preferred by all prompts, this one would get the work of five, from routers that
/// don't see how full it is.
#[test]
fn new_weights_get_their_share() {
    struct Case {
        weights: &'static [u64],
        least: usize,
        most: usize,
    }
    let cases = [
        Case {
            weights: &[2, 1, 1, 1, 1],
            least: 150,
            most: 250,
        },
        Case {
            weights: &[2, 2, 2, 2, 1],
            least: 750,
            most: 850,
        },
    ];
    for case in cases {
        let mut fleet = pool(case.weights);
        name(&mut fleet, 2, Some(at(0)));
        let renewed = (0..1_000).filter(|session| {
            let used = send(&mut fleet, Some(&prompt(*session, 9)), &[], session * 7, at(2_000));
            let used = used.map(EndpointId::from).expect("an endpoint");
            fleet.request_finished(&used, Incarnation(1));
            fleet.prefill_finished(&used, Incarnation(1), at(2_000));
            fleet.weights(&used, &model()) == Some(2)
        });
        let renewed = renewed.count();
        assert!(
            (case.least..=case.most).contains(&renewed),
            "{renewed} with {:?}",
            case.weights
        );
    }
}

/// Engines with old weights have queues of seconds, and all prompts leave them at one moment: what waits there begins on weights that
/// are too old by then. So prompts leave them one after the other, and the queues are short when the last ones go.
#[test]
fn prompts_leave_old_weights_one_after_the_other() {
    struct Case {
        now: u64,
        least: usize,
        most: usize,
    }
    let cases = [
        Case {
            now: 3_700,
            least: 600,
            most: 900,
        },
        Case {
            now: 5_600,
            least: 250,
            most: 450,
        },
        Case {
            now: 7_500,
            least: 0,
            most: 0,
        },
    ];
    for case in cases {
        let mut fleet = pool(&[2, 1, 1, 1, 1]);
        name(&mut fleet, 2, Some(at(0)));
        let old = (0..1_000).filter(|session| {
            let used = send(&mut fleet, Some(&prompt(*session, 9)), &[], session * 7, at(case.now));
            let used = used.map(EndpointId::from).expect("an endpoint");
            fleet.request_finished(&used, Incarnation(1));
            fleet.prefill_finished(&used, Incarnation(1), at(case.now));
            fleet.weights(&used, &model()) == Some(1)
        });
        let old = old.count();
        assert!((case.least..=case.most).contains(&old), "{old} at {}", case.now);
    }
}

/// The holder of orders dies in the middle of a rollout, and the engines that have the new weights fill up or go. A request that begins
/// on the old ones after the bound is a stale answer, worth nothing to its caller; it is refused, and comes back.
#[test]
fn nothing_begins_on_old_weights_after_the_bound() {
    struct Case {
        named: Option<u64>,
        now: u64,
        served: bool,
    }
    let cases = [
        Case {
            named: Some(0),
            now: 9_400,
            served: true,
        },
        Case {
            named: Some(0),
            now: 9_500,
            served: false,
        },
        // A router that has just started doesn't know when they were named: perhaps too long ago.
        Case {
            named: None,
            now: 0,
            served: false,
        },
        Case {
            named: None,
            now: 9_500,
            served: false,
        },
    ];
    for case in cases {
        let mut fleet = pool(&[1, 1]);
        name(&mut fleet, 2, case.named.map(at));
        let sent = send(&mut fleet, Some(&prompt(7, 8)), &[], 1, at(case.now));
        assert_eq!(sent.is_some(), case.served, "named {:?}, at {}", case.named, case.now);
    }
}

/// Engines with old weights are full, and what is sent there waits a second and more inside the engine. Sent before the bound and begun
/// after it, the answer is worth nothing to its caller; so an engine is left earlier by the wait that is to be expected there.
#[test]
fn an_engine_with_old_weights_is_left_earlier_by_the_wait_there() {
    struct Case {
        what: &'static str,
        seen: fn(&mut Fleet, &EndpointId),
        now: u64,
        used: &'static [&'static str],
    }
    let late: fn(&mut Fleet, &EndpointId) =
        |fleet, id| fleet.record_outcome(id, Outcome::Answered(at(1_400)), at(8_600));
    let cases = [
        Case {
            what: "idle",
            seen: |_, _| {},
            now: 8_700,
            used: &["e0", "e1"],
        },
        Case {
            what: "first events late",
            seen: late,
            now: 8_700,
            used: &["e1"],
        },
        Case {
            what: "first events late, long before the bound",
            seen: late,
            now: 7_900,
            used: &["e0", "e1"],
        },
        Case {
            what: "first events late a while ago",
            seen: |fleet, id| fleet.record_outcome(id, Outcome::Answered(at(1_400)), at(5_000)),
            now: 8_700,
            used: &["e0", "e1"],
        },
        Case {
            what: "many wait by its report",
            seen: |fleet, id| {
                let running = 12;
                fleet.record_load(id, LoadReport { running, waiting: 60 }, at(8_600));
            },
            now: 8_700,
            used: &["e1"],
        },
        Case {
            what: "prompts of this router aren't read yet",
            seen: |fleet, id| fleet.request_started(id, Incarnation(1), 90_000, at(8_600)),
            now: 8_700,
            used: &["e1"],
        },
    ];
    let ids = ["e0", "e1"].map(EndpointId::from);
    for case in cases {
        // Each engine is asked with the other one out of the way: a full one has work only if it is the last.
        let used = ["e0", "e1"].into_iter().filter(|asked| {
            let mut fleet = pool(&[1, 1]);
            name(&mut fleet, 2, Some(at(0)));
            (case.seen)(&mut fleet, &ids[0]);
            let others: Vec<EndpointId> = ids.iter().filter(|id| id.as_str() != *asked).cloned().collect();
            send(&mut fleet, Some(&prompt(7, 8)), &others, 1, at(case.now)).is_some()
        });
        assert_eq!(used.collect::<Vec<_>>(), case.used, "{}", case.what);
    }
}
