//! Choice of the endpoint for a request.

mod support;

use dispatch::fleet::{Choice, Fleet, LoadReport, Outcome, PickContext, PickedEndpoint, Prompt, PromptPart};
use ids::{EndpointId, Incarnation};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use support::fleet::{at, context, entry, fleet, pool, prompt, send, serve, service};

/// Endpoints of a plain service have few slots, and a burst of requests arrives at once. Sent to the endpoint with
/// the lowest last latency, they would queue there while the others idle.
#[test]
fn burst_spreads_over_all_slots() {
    let mut fleet = pool(&[1, 1, 1]);
    let mut counts = [0; 3];
    for draw in 0..18 {
        let endpoint = send(&mut fleet, None, &[], draw, at(0)).expect("an endpoint");
        counts[usize::from(endpoint.as_bytes()[1] - b'0')] += 1;
    }
    assert_eq!(counts, [6, 6, 6]);
}

/// Peers fill an endpoint that this router rarely uses. Its load report has to keep new requests away for a while;
/// then it is tried again.
#[test]
fn load_report_diverts_requests_until_it_decays() {
    let mut fleet = pool(&[1, 1]);
    let full = LoadReport::new(6, 4);
    fleet.record_load(&EndpointId::from("e0"), full, at(0));
    for draw in 0..4 {
        assert_eq!(send(&mut fleet, None, &[], draw, at(1)).as_deref(), Some("e1"));
    }
    fleet.record_load(&EndpointId::from("e1"), full, at(3_000));
    assert_eq!(send(&mut fleet, None, &[], 0, at(3_001)).as_deref(), Some("e0"));
}

/// An endpoint answers half of its requests with errors while it reports that it is healthy. Clients see failures for
/// as long as requests go there.
#[test]
fn endpoint_failing_half_of_its_requests_is_avoided() {
    let mut fleet = pool(&[1, 1, 1]);
    let (failing, now) = (EndpointId::from("e0"), at(0));
    for round in 0..20 {
        let outcome = if round % 2 == 0 {
            Outcome::Failed
        } else {
            Outcome::Answered(at(20))
        };
        fleet.record_outcome(&failing, outcome, now);
        for healthy in ["e1", "e2"] {
            fleet.record_outcome(&EndpointId::from(healthy), Outcome::Answered(at(20)), now);
        }
    }
    let used: BTreeSet<_> = (0..12)
        .filter_map(|draw| send(&mut fleet, None, &[], draw, now))
        .collect();
    assert!(!used.contains("e0"), "{used:?}");
    // With no other endpoint left it is still better than a refusal.
    let others = [EndpointId::from("e1"), EndpointId::from("e2")];
    assert_eq!(send(&mut fleet, None, &others, 0, now).as_deref(), Some("e0"));
}

/// An endpoint that is avoided for its failures gets no requests, so it can't show that it has recovered. If it were
/// avoided for ever, the others would carry its load, slow down, and be avoided in turn.
#[test]
fn avoided_endpoint_is_tried_again() {
    let mut fleet = pool(&[1, 1]);
    let failing = EndpointId::from("e0");
    for _ in 0..20 {
        fleet.record_outcome(&failing, Outcome::Failed, at(0));
        fleet.record_outcome(&EndpointId::from("e1"), Outcome::Answered(at(20)), at(0));
    }
    assert_eq!(send(&mut fleet, None, &[], 0, at(10)).as_deref(), Some("e1"));
    let used: BTreeSet<_> = (0..40)
        .filter_map(|draw| send(&mut fleet, None, &[], draw, at(20_000)))
        .collect();
    assert!(used.contains("e0"), "{used:?}");
}

/// Under load all engines answer late. None of them may be avoided for that.
#[test]
fn timeouts_under_load_do_not_make_an_endpoint_unhealthy() {
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

/// Prompts of one session share thousands of tokens. Every router has to send them to the same engine without
/// communicating, or else each engine reads them again.
#[test]
fn routers_agree_on_the_home_of_a_prefix() {
    let homes = |draw: u64| -> Vec<Option<String>> {
        let mut fleet = pool(&[1; 9]);
        (10..40)
            .map(|session| send(&mut fleet, Some(&prompt(session, draw)), &[], draw, at(0)))
            .collect()
    };
    let (one, other) = (homes(1_000), homes(2_000));
    let same = one.iter().zip(&other).filter(|(one, other)| one == other).count();
    assert!(same >= 24, "{same} of 30 sessions have the same home");
    let used: BTreeSet<_> = one.iter().collect();
    assert!(used.len() >= 6, "sessions spread over {} engines", used.len());
}

/// One session gets most of the traffic. If all of it went to its home, it would queue there for seconds while other
/// engines idle.
#[test]
fn hot_prefix_spills_to_other_engines() {
    let mut fleet = pool(&[1; 9]);
    let used: BTreeSet<_> = (0..60)
        .filter_map(|own| send(&mut fleet, Some(&prompt(7, 100 + own)), &[], own, at(0)))
        .collect();
    assert!(used.len() >= 3, "{used:?}");
}

/// An engine that is about to load weights refuses requests that haven't started, and some requests may be sent to
/// one engine only.
#[test]
fn loading_and_draining_endpoints_get_no_requests() {
    let mut leaving = entry("e2", 1);
    leaving.draining = true;
    let mut fleet = fleet(&[entry("e0", 1), entry("e1", 1), leaving]);
    fleet.set_loading(BTreeSet::from([EndpointId::from("e0")]), BTreeSet::new());
    let used: BTreeSet<_> = (0..20)
        .filter_map(|own| send(&mut fleet, Some(&prompt(own, 100 + own)), &[], own, at(0)))
        .collect();
    assert_eq!(used.into_iter().collect::<Vec<_>>(), ["e1"]);
}

/// Two connections to an endpoint fail in a row because it has crashed. New requests there would only lose time until
/// its entry is removed.
#[test]
fn unreachable_endpoint_is_probed_and_gets_no_requests() {
    let mut fleet = pool(&[1, 1]);
    let unreachable = EndpointId::from("e0");
    fleet.record_outcome(&unreachable, Outcome::ConnectFailed, at(0));
    fleet.record_outcome(&unreachable, Outcome::ConnectFailed, at(10));
    for draw in 0..8 {
        assert_eq!(send(&mut fleet, None, &[], draw, at(20)).as_deref(), Some("e1"));
    }
    let probes = fleet.due_probes(at(300));
    assert_eq!(probes.iter().map(|entry| entry.id.as_str()).collect::<Vec<_>>(), ["e0"]);
    fleet.record_probe(&unreachable, Outcome::Answered(at(5)), at(310));
    let used: BTreeSet<_> = (0..8)
        .filter_map(|draw| send(&mut fleet, None, &[], draw, at(320)))
        .collect();
    assert!(used.contains("e0"), "{used:?}");
}

/// An endpoint restarts under its old id. Requests of its previous incarnation must not count for the new one.
#[test]
fn new_incarnation_starts_without_load() {
    let mut fleet = pool(&[1, 1]);
    let id = EndpointId::from("e0");
    for _ in 0..6 {
        fleet.request_started(&id, Incarnation(1), 0, at(0));
    }
    let mut restarted = entry("e0", 1);
    restarted.incarnation = Incarnation(2);
    fleet.upsert_endpoint(&Arc::new(restarted), at(10));
    fleet.request_finished(&id, Incarnation(1));
    fleet.request_started(&EndpointId::from("e1"), Incarnation(1), 0, at(0));
    assert_eq!(send(&mut fleet, None, &[], 0, at(20)).as_deref(), Some("e0"));
}

/// In a large pool a router reaches each endpoint only once in ten seconds, so its own reports are too old to show
/// which one is full. Newer reports from peers have to count; older ones must not replace the router's own.
#[test]
fn newer_of_own_and_peer_load_report_wins() {
    let id = EndpointId::from("e0");
    let full = LoadReport::new(6, 4);
    let mut peer = pool(&[1, 1]);
    peer.record_load(&id, full, at(1_000));
    let mut updates = peer.loads_since(at(900), true);
    assert_eq!(updates.len(), 1);
    assert_eq!(peer.loads_since(at(1_000), true), []);
    // Clocks differ between routers, so updates are sent with their age.
    updates[0].reported_at = at(5_000);
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
        fleet.record_load(&EndpointId::from("e1"), LoadReport::new(2, 0), at(5_000));
        if let Some(own) = case.own {
            fleet.record_load(&id, LoadReport::default(), at(own));
        }
        fleet.merge_loads(&updates, at(5_050));
        assert_eq!(
            send(&mut fleet, None, &[], 0, at(5_100)).as_deref(),
            Some(case.used),
            "{:?}",
            case.own
        );
        let forwarded = fleet.loads_since(at(5_010), false);
        assert_eq!(forwarded.iter().any(|update| update.report == full), case.used == "e1");
    }
}

/// The prefix of a short prompt is shorter than a coarse block. If it were ignored, the requests would go anywhere
/// and each engine would read the prefix.
#[test]
fn short_prompts_stay_with_their_cached_prefix() {
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
            let endpoint = send(
                &mut fleet,
                Some(&short),
                &[],
                draw.wrapping_mul(0x9e37_79b9_7f4a_7c15),
                now,
            )
            .expect("an endpoint");
            fleet.prefill_finished(&EndpointId::from(endpoint.as_str()), Incarnation(1), now);
            fleet.request_finished(&EndpointId::from(endpoint.as_str()), Incarnation(1));
            used.insert(endpoint);
        }
        moved += used.len() - 1;
    }
    assert!(moved <= 5, "sessions moved to another endpoint {moved} times");
}

/// An engine that reads a long prompt from a peer answers nobody, so it can't report how long its queue is.
#[test]
fn endpoint_with_stalled_requests_is_avoided() {
    let mut fleet = pool(&[1, 1]);
    let first = send(&mut fleet, Some(&prompt(7, 8)), &[], 0, at(0)).expect("an endpoint");
    let home = |fleet: &mut Fleet, now| send(fleet, Some(&prompt(7, 9)), &[], 0, at(now));
    assert_eq!(home(&mut fleet, 100).as_ref(), Some(&first));
    assert_ne!(home(&mut fleet, 2_000).as_ref(), Some(&first));
}

/// Serves prompts with two hundred other prefixes. A prefix has few homes only if it is one of many.
fn serve_other_prefixes(fleet: &mut Fleet) {
    for session in 100..300 {
        serve(fleet, &prompt(session, 9), session, at(0)).expect("an endpoint");
    }
}

fn choose(fleet: &mut Fleet, context: &PickContext<'_>, now: Duration) -> PickedEndpoint {
    match fleet.choose(context, 1, now) {
        Choice::Endpoint(picked) => picked,
        other => panic!("no endpoint: {other:?}"),
    }
}

/// Engines of another site read much slower than assumed. With the assumed rate every prompt would stay in the queue of
/// its home until its answer is late.
#[test]
fn the_speed_of_engines_is_learnt() {
    struct Case {
        name: &'static str,
        /// Tokens per millisecond that first events show.
        observed: Option<u64>,
        stays: bool,
    }
    let cases = [
        Case {
            name: "nothing is known",
            observed: None,
            stays: true,
        },
        Case {
            name: "as assumed",
            observed: Some(80),
            stays: true,
        },
        Case {
            name: "a quarter as fast",
            observed: Some(20),
            stays: false,
        },
    ];
    let entries: Vec<_> = (0..9).map(|at| entry(&format!("e{at}"), 1)).collect();
    for case in cases {
        let mut fleet = fleet(&entries);
        serve_other_prefixes(&mut fleet);
        let home = serve(&mut fleet, &prompt(7, 9), 7, at(0)).expect("an endpoint");
        for _ in 0..9 {
            if let Some(rate) = case.observed {
                fleet.record_read(&service(), 9_000, at(9_000 / rate));
            }
        }
        fleet.request_started(&home, Incarnation(1), 9_500, at(100));
        let service = service();
        let long = prompt(7, 10);
        let context = PickContext {
            objective: Some(at(600)),
            ..context(&service, Some(&long))
        };
        let picked = choose(&mut fleet, &context, at(100));
        assert_eq!(picked.endpoint.id == home, case.stays, "{}", case.name);
    }
}

/// Caches are empty after a load. A prompt counted as cached would hide most of the queue from other routers.
#[test]
fn a_prompt_that_no_engine_has_read_counts_in_full() {
    struct Case {
        name: &'static str,
        unread: &'static [u64],
        now: u64,
        prefill: u64,
    }
    let cases = [
        Case {
            name: "read before",
            unread: &[],
            now: 0,
            prefill: 2_918,
        },
        Case {
            name: "unread with these weights",
            unread: &[1],
            now: 0,
            prefill: 9_190,
        },
        Case {
            name: "unread with other weights",
            unread: &[2],
            now: 0,
            prefill: 2_918,
        },
        Case {
            name: "long after the load",
            unread: &[1],
            now: 10_000,
            prefill: 2_918,
        },
    ];
    for case in cases {
        let mut fleet = fleet(&[entry("e0", 1)]);
        let service = service();
        let long = prompt(7, 10);
        let context = PickContext {
            unread: case.unread,
            ..context(&service, Some(&long))
        };
        let picked = choose(&mut fleet, &context, at(case.now));
        assert_eq!(picked.prefill, case.prefill, "{}", case.name);
    }
}

/// All routers restart. Engines that they took for new would get prompts of all prefixes until ten seconds later, when all
/// routers send them to their homes at once and everything is read again.
#[test]
fn engines_found_at_the_start_count_as_cached() {
    struct Case {
        name: &'static str,
        loaded_recently: &'static [&'static str],
        prefill: u64,
    }
    let cases = [
        Case {
            name: "served before",
            loaded_recently: &[],
            prefill: 2_918,
        },
        Case {
            name: "loaded weights just before",
            loaded_recently: &["e0"],
            prefill: 9_190,
        },
    ];
    for case in cases {
        let mut fleet = fleet(&[entry("e0", 1)]);
        let loaded: Vec<EndpointId> = case.loaded_recently.iter().map(|id| EndpointId::from(*id)).collect();
        fleet.first_list_read(&loaded);
        let service = service();
        let long = prompt(7, 10);
        let context = PickContext {
            unread: &[1],
            ..context(&service, Some(&long))
        };
        let picked = choose(&mut fleet, &context, at(100));
        assert_eq!(picked.prefill, case.prefill, "{}", case.name);
    }
}

/// Long prompts are read beside long answers. An engine that reads ten thousand tokens in a row stops its answers for
/// longer than clients accept, so such a prompt goes to an engine with few of them.
#[test]
fn long_prompts_avoid_engines_with_running_answers() {
    struct Case {
        name: &'static str,
        own: u64,
        pause: Option<Duration>,
        running: u32,
        stays: bool,
    }
    let cases = [
        Case {
            name: "short prompt",
            own: 2_890,
            pause: Some(at(300)),
            running: 8,
            stays: true,
        },
        Case {
            name: "long prompt, idle engine",
            own: 20_000,
            pause: Some(at(300)),
            running: 0,
            stays: true,
        },
        Case {
            name: "long prompt, answers running",
            own: 20_000,
            pause: Some(at(300)),
            running: 8,
            stays: false,
        },
        Case {
            name: "long prompt, pauses do not matter",
            own: 20_000,
            pause: None,
            running: 8,
            stays: true,
        },
    ];
    let entries: Vec<_> = (0..9).map(|at| entry(&format!("e{at}"), 1)).collect();
    let service = service();
    for case in cases {
        let mut fleet = fleet(&entries);
        serve_other_prefixes(&mut fleet);
        let mut long = prompt(7, 10);
        long.parts[2].tokens = case.own;
        long.tokens = 6_300 + case.own;
        let context = PickContext {
            pause: case.pause,
            ..context(&service, Some(&long))
        };
        let home = choose(&mut fleet, &context, at(100)).endpoint.id.clone();
        let report = LoadReport::new(case.running, 0);
        fleet.record_load(&home, report, at(100));
        let picked = choose(&mut fleet, &context, at(100));
        assert_eq!(picked.endpoint.id == home, case.stays, "{}", case.name);
    }
}

/// A patient request is refused by what recent reports show. A report that is a second old must not do that, since the
/// engine has read a part of its queue meanwhile.
#[test]
fn an_old_report_does_not_prove_a_queue() {
    let mut fleet = fleet(&[entry("e0", 1)]);
    let (service, long) = (service(), prompt(7, 9));
    let context = context(&service, Some(&long));
    let queue = |fleet: &mut Fleet, now| fleet.patient_queue(&context, 7, at(now)).expect("an engine");
    assert!(queue(&mut fleet, 0).is_short());
    let report = LoadReport::new(6, 80);
    fleet.record_load(&EndpointId::from("e0"), report, at(0));
    // 80 requests of 1,500 tokens at 80,000 tokens a second.
    assert_eq!(
        (queue(&mut fleet, 100).expected, queue(&mut fleet, 100).certain),
        (at(1_400), at(1_400))
    );
    assert_eq!(
        (queue(&mut fleet, 1_000).expected, queue(&mut fleet, 1_000).certain),
        (at(500), at(0))
    );
    assert!(queue(&mut fleet, 1_400).is_short());
}
