//! Choice of the endpoint for a request while new weights are loaded.

mod support;

use dispatch::fleet::{Fleet, LoadReport, Outcome, Prompt, PromptPart};
use ids::{EndpointId, Incarnation};
use std::collections::BTreeSet;
use support::fleet::{at, model, pool, prompt, send, serve, set_target};

/// New weights become the target and reach one engine after the other. A request that begins on older weights long
/// after gets a stale answer, but refusing everything until the last engine has the new weights would be an outage.
#[test]
fn stale_weights_serve_until_the_soft_limit() {
    struct Case {
        weights: &'static [u64],
        set_at: &'static [(u64, Option<u64>)],
        now: u64,
        /// Whether requests stay at their endpoints, until these are full.
        full: bool,
        allowed: &'static [&'static str],
    }
    let cases = [
        Case {
            weights: &[1, 1, 2],
            set_at: &[(2, Some(0))],
            now: 7_400,
            full: true,
            allowed: &["e0", "e1", "e2"],
        },
        Case {
            weights: &[1, 1, 2],
            set_at: &[(2, Some(0))],
            now: 7_500,
            full: false,
            allowed: &["e2"],
        },
        // An answer on stale weights is better than a refusal.
        Case {
            weights: &[1, 1, 2],
            set_at: &[(2, Some(0))],
            now: 7_500,
            full: true,
            allowed: &["e0", "e1", "e2"],
        },
        // The staleness of each version counts from the time its successor was set.
        Case {
            weights: &[1, 2, 3],
            set_at: &[(2, Some(0)), (3, Some(4_000))],
            now: 7_500,
            full: false,
            allowed: &["e1", "e2"],
        },
        // Set before this router first read the store, perhaps long ago.
        Case {
            weights: &[1, 1, 2],
            set_at: &[(2, None)],
            now: 0,
            full: false,
            allowed: &["e2"],
        },
        // No endpoint has the new weights.
        Case {
            weights: &[1, 1, 1],
            set_at: &[(2, Some(0))],
            now: 9_000,
            full: true,
            allowed: &["e0", "e1", "e2"],
        },
    ];
    for case in cases {
        let mut fleet = pool(case.weights);
        for (weights, at_ms) in case.set_at {
            set_target(&mut fleet, *weights, at_ms.map(at));
        }
        let mut used = BTreeSet::new();
        for own in 0..200 {
            let prompt = prompt(own, 1_000 + own);
            let sent = if case.full {
                send(&mut fleet, Some(&prompt), &[], own * 7, at(case.now))
            } else {
                serve(&mut fleet, &prompt, own * 7, at(case.now)).map(|used| used.to_string())
            };
            used.extend(sent);
        }
        let used: Vec<&str> = used.iter().map(String::as_str).collect();
        assert_eq!(
            used, case.allowed,
            "{:?} {:?} at {}",
            case.weights, case.set_at, case.now
        );
    }
}

/// New weights become the target every few seconds, and an engine finishes its running requests before it loads them.
/// One long answer keeps it from serving others for seconds. A pool whose engines take turns at that is full, and
/// first events are late. So engines that load soon get no long answers as long as others serve; long prompts with
/// short answers still go there.
#[test]
fn decode_heavy_requests_avoid_endpoints_that_load_soon() {
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
        upcoming: &'static [&'static str],
        used: &'static [&'static str],
    }
    let cases = [
        Case {
            prompt: &long,
            upcoming: &["e0", "e1"],
            used: &["e2"],
        },
        Case {
            prompt: &long,
            upcoming: &["e0", "e1", "e2"],
            used: &["e0", "e1", "e2"],
        },
        Case {
            prompt: &short,
            upcoming: &["e0", "e1"],
            used: &["e0", "e1", "e2"],
        },
    ];
    for case in cases {
        let mut fleet = pool(&[1, 1, 1]);
        fleet.set_loading(BTreeSet::new(), ids(case.upcoming));
        let used: BTreeSet<EndpointId> = (0..12)
            .filter_map(|session| send(&mut fleet, Some(&(case.prompt)(session)), &[], session, at(0)))
            .map(EndpointId::from)
            .collect();
        assert_eq!(used, ids(case.used), "{:?} load next", case.upcoming);
    }
}

/// An engine refuses a request that names other weights than it serves. If it was assumed to have old weights, it has
/// the target by now. If it was assumed to have the target, it has restarted with the weights of its entry.
#[test]
fn refusal_for_other_weights_corrects_the_assumed_weights() {
    let id = EndpointId::from("e0");
    let mut fleet = pool(&[1, 1]);
    set_target(&mut fleet, 3, Some(at(0)));
    fleet.correct_weights(&id, &model());
    assert_eq!(fleet.weights(&id, &model()), Some(3));
    fleet.correct_weights(&id, &model());
    assert_eq!(fleet.weights(&id, &model()), Some(1));
}

/// One of five engines has new weights. If all prompts preferred it, it would get the work of five, from routers that
/// don't see how full it is.
#[test]
fn fresh_engines_get_only_their_share_of_requests() {
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
        set_target(&mut fleet, 2, Some(at(0)));
        let fresh = (0..1_000).filter(|session| {
            let used = send(&mut fleet, Some(&prompt(*session, 9)), &[], session * 7, at(2_000));
            let used = used.map(EndpointId::from).expect("an endpoint");
            fleet.request_finished(&used, Incarnation(1));
            fleet.prefill_finished(&used, Incarnation(1), at(2_000));
            fleet.weights(&used, &model()) == Some(2)
        });
        let fresh = fresh.count();
        assert!(
            (case.least..=case.most).contains(&fresh),
            "{fresh} requests to fresh engines with weights {:?}",
            case.weights
        );
    }
}

/// Engines with old weights have queues of seconds. If all prompts moved off them at one moment, the queued requests
/// would begin on weights that have become too old. So prompts move off gradually, and the queues are short when the
/// last ones do.
#[test]
fn prompts_move_off_stale_weights_gradually() {
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
        set_target(&mut fleet, 2, Some(at(0)));
        let old = (0..1_000).filter(|session| {
            let used = serve(&mut fleet, &prompt(*session, 9), session * 7, at(case.now)).expect("an endpoint");
            fleet.weights(&used, &model()) == Some(1)
        });
        let old = old.count();
        assert!(
            (case.least..=case.most).contains(&old),
            "{old} requests on stale weights at {}",
            case.now
        );
    }
}

/// The lease holder crashes in the middle of a rollout, and the engines with new weights fill up or disappear. A
/// request that begins on old weights past the hard limit gets a worthless answer, so it has to be refused; the
/// client retries.
#[test]
fn no_request_begins_on_weights_past_the_hard_limit() {
    struct Case {
        set_at: Option<u64>,
        now: u64,
        served: bool,
    }
    let cases = [
        Case {
            set_at: Some(0),
            now: 9_400,
            served: true,
        },
        Case {
            set_at: Some(0),
            now: 9_500,
            served: false,
        },
        // A router that has just started doesn't know when the weights became the target, perhaps too long ago.
        Case {
            set_at: None,
            now: 0,
            served: false,
        },
        Case {
            set_at: None,
            now: 9_500,
            served: false,
        },
    ];
    for case in cases {
        let mut fleet = pool(&[1, 1]);
        set_target(&mut fleet, 2, case.set_at.map(at));
        let sent = send(&mut fleet, Some(&prompt(7, 8)), &[], 1, at(case.now));
        assert_eq!(
            sent.is_some(),
            case.served,
            "set at {:?}, now {}",
            case.set_at,
            case.now
        );
    }
}

/// Engines with old weights are full, and requests wait there for a second or more. A request sent before the hard
/// limit that begins after it gets a worthless answer. So such an engine has to be avoided earlier by the expected
/// wait.
#[test]
fn expected_wait_counts_towards_the_hard_limit() {
    struct Case {
        name: &'static str,
        prepare: fn(&mut Fleet, &EndpointId),
        now: u64,
        used: &'static [&'static str],
    }
    let late: fn(&mut Fleet, &EndpointId) =
        |fleet, id| fleet.record_outcome(id, Outcome::Answered(at(1_400)), at(8_600));
    let cases = [
        Case {
            name: "idle",
            prepare: |_, _| {},
            now: 8_700,
            used: &["e0", "e1"],
        },
        Case {
            name: "first events late",
            prepare: late,
            now: 8_700,
            used: &["e1"],
        },
        Case {
            name: "first events late, long before the limit",
            prepare: late,
            now: 7_900,
            used: &["e0", "e1"],
        },
        Case {
            name: "first events late some time ago",
            prepare: |fleet, id| fleet.record_outcome(id, Outcome::Answered(at(1_400)), at(5_000)),
            now: 8_700,
            used: &["e0", "e1"],
        },
        Case {
            name: "its report shows many waiting requests",
            prepare: |fleet, id| {
                let running = 12;
                fleet.record_load(id, LoadReport::new(running, 60), at(8_600));
            },
            now: 8_700,
            used: &["e1"],
        },
        Case {
            name: "prompts of this router are not read yet",
            prepare: |fleet, id| fleet.request_started(id, Incarnation(1), 90_000, at(8_600)),
            now: 8_700,
            used: &["e1"],
        },
    ];
    let ids = ["e0", "e1"].map(EndpointId::from);
    for case in cases {
        // Each engine is tested with the other one excluded, because a full engine gets requests only if it is the
        // last.
        let used = ["e0", "e1"].into_iter().filter(|endpoint| {
            let mut fleet = pool(&[1, 1]);
            set_target(&mut fleet, 2, Some(at(0)));
            (case.prepare)(&mut fleet, &ids[0]);
            let others: Vec<EndpointId> = ids.iter().filter(|id| id.as_str() != *endpoint).cloned().collect();
            send(&mut fleet, Some(&prompt(7, 8)), &others, 1, at(case.now)).is_some()
        });
        assert_eq!(used.collect::<Vec<_>>(), case.used, "{}", case.name);
    }
}

/// A crash in the middle of a rollout leaves one engine with new weights. If all prompts went there, its queue would
/// grow to seconds while engines with old weights, still allowed, are idle.
#[test]
fn stale_weights_are_used_while_the_engine_with_new_ones_is_full() {
    struct Case {
        name: &'static str,
        queue: u64,
        now: u64,
        old: bool,
    }
    let cases = [
        Case {
            name: "not stale for long",
            queue: 0,
            now: 3_000,
            old: true,
        },
        Case {
            name: "stale, and the other engine is idle",
            queue: 0,
            now: 7_000,
            old: false,
        },
        Case {
            name: "stale, and the other engine is full",
            queue: 240_000,
            now: 7_000,
            old: true,
        },
        Case {
            name: "past the soft limit, and the other engine is busy",
            queue: 60_000,
            now: 7_500,
            old: false,
        },
    ];
    for case in cases {
        let mut fleet = pool(&[2, 1, 1]);
        set_target(&mut fleet, 2, Some(at(0)));
        if case.queue > 0 {
            fleet.request_started(&EndpointId::from("e0"), Incarnation(1), case.queue, at(case.now));
        }
        // A session whose home has the old weights.
        let session = (0..).find(|session| {
            let mut idle = pool(&[2, 1, 1]);
            send(&mut idle, Some(&prompt(*session, 9)), &[], 1, at(0)).as_deref() == Some("e1")
        });
        let used = send(
            &mut fleet,
            Some(&prompt(session.expect("a session"), 9)),
            &[],
            1,
            at(case.now),
        );
        assert_eq!(used.as_deref() != Some("e0"), case.old, "{}", case.name);
    }
}
