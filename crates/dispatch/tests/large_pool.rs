//! Choice of an engine in a large pool.

mod support;

use dispatch::fleet::{Choice, Fleet, LoadReport, PickContext, Prompt};
use dispatch::site::EndpointEntry;
use ids::{EndpointId, Incarnation};
use std::collections::BTreeSet;
use std::time::Duration;
use support::fleet::{at, context, entry, fleet, model, prompt, serve, service, set_target};

fn pool(engines: usize) -> Fleet {
    let entries = (0..engines).map(|at| EndpointEntry {
        slots: 64,
        ..entry(&format!("e{at}"), 1)
    });
    fleet(&entries.collect::<Vec<_>>())
}

fn long_answer(session: u64) -> Prompt {
    let mut answer = Prompt {
        max_output: 290,
        tokens: 826,
        ..prompt(session, 8)
    };
    answer.parts[0].tokens = 119;
    answer.parts[1].tokens = 79;
    answer.parts[2].tokens = 628;
    answer
}

fn choose(fleet: &mut Fleet, context: &PickContext<'_>, now: Duration) -> EndpointId {
    let Choice::Endpoint(picked) = fleet.choose(context, now.as_millis() as u64, now) else {
        panic!("no endpoint");
    };
    picked.endpoint.id.clone()
}

fn report(fleet: &mut Fleet, id: &EndpointId, running: u32, waiting: u32, now: Duration) {
    fleet.record_load(id, LoadReport::new(running, waiting), now);
}

/// Gives one prefix a small share of the load. Alone, it would have homes at all engines.
fn serve_other_prefixes(fleet: &mut Fleet) {
    for session in 100..400 {
        serve(fleet, &prompt(session, 9), session, at(50));
    }
}

/// An engine with cached prefixes keeps getting requests although all of its slots are in use, and they wait for
/// seconds.
#[test]
fn requests_leave_an_engine_whose_slots_are_in_use() {
    struct Case {
        name: &'static str,
        running: u32,
        waiting: u32,
        /// Age of the report in milliseconds.
        age: u64,
        stays: bool,
    }
    let cases = [
        Case {
            name: "free slots",
            running: 40,
            waiting: 0,
            age: 0,
            stays: true,
        },
        Case {
            name: "requests wait for slots",
            running: 64,
            waiting: 2,
            age: 0,
            stays: false,
        },
        Case {
            name: "requests waited for slots half a second ago",
            running: 64,
            waiting: 20,
            age: 500,
            stays: false,
        },
    ];
    for case in cases {
        let mut fleet = pool(16);
        let service = service();
        let long = prompt(7, 8);
        let context = context(&service, Some(&long));
        serve_other_prefixes(&mut fleet);
        let home = choose(&mut fleet, &context, at(100));
        for other in 0..16 {
            report(
                &mut fleet,
                &EndpointId::from(format!("e{other}").as_str()),
                40,
                0,
                at(100),
            );
        }
        report(&mut fleet, &home, case.running, case.waiting, at(101));
        let used = choose(&mut fleet, &context, at(101 + case.age));
        assert_eq!(used == home, case.stays, "{}", case.name);
    }
}

/// In a burst most slots of the decode lane are in use. If that cost more than leaving the lane, long answers would run
/// beside long prompts, although the lane has free slots.
#[test]
fn long_answers_stay_in_a_busy_lane() {
    let mut fleet = pool(32);
    set_target(&mut fleet, 1, Some(at(0)));
    let service = service();
    serve_other_prefixes(&mut fleet);
    let now = at(60_000);
    let lane: BTreeSet<EndpointId> = (0..200)
        .map(|session| choose(&mut fleet, &context(&service, Some(&long_answer(session))), now))
        .collect();
    for id in &lane {
        report(&mut fleet, id, 50, 0, now);
    }
    let left = (200..400)
        .filter(|session| {
            !lane.contains(&choose(
                &mut fleet,
                &context(&service, Some(&long_answer(*session))),
                now,
            ))
        })
        .count();
    assert!(
        lane.len() < 16 && left <= 10,
        "{} engines, {left} of 200 left them",
        lane.len()
    );
}

/// The decode lane loads last, so long answers on replaced weights lose value while other engines already have the
/// newest ones.
#[test]
fn long_answers_prefer_the_newest_weights() {
    struct Case {
        name: &'static str,
        /// Age of the target.
        age: u64,
        /// Engines of 32 with the newest weights; the lane has 8.
        newest: usize,
        /// Requests running at each of them.
        running: u32,
        /// Whether prompts are long instead of answers.
        long_prompts: bool,
        /// Least and greatest share of the requests that go to the engines with the newest weights.
        expected: (f64, f64),
    }
    let cases = [
        Case {
            name: "free slots",
            age: 1_100,
            newest: 8,
            running: 20,
            long_prompts: false,
            expected: (0.95, 1.0),
        },
        Case {
            name: "a part of the lane",
            age: 1_100,
            newest: 3,
            running: 20,
            long_prompts: false,
            expected: (0.8, 1.0),
        },
        Case {
            name: "target of this moment: they form the lane",
            age: 500,
            newest: 8,
            running: 20,
            long_prompts: false,
            expected: (0.95, 1.0),
        },
        Case {
            name: "no free slots",
            age: 1_100,
            newest: 8,
            running: 70,
            long_prompts: false,
            expected: (0.0, 0.5),
        },
        Case {
            name: "long prompts keep their caches",
            age: 1_100,
            newest: 8,
            running: 20,
            long_prompts: true,
            expected: (0.0, 0.5),
        },
    ];
    for case in cases {
        let mut fleet = pool(32);
        let newest: Vec<EndpointId> = (0..case.newest)
            .map(|at| EndpointId::from(format!("e{at}").as_str()))
            .collect();
        set_target(&mut fleet, 2, Some(at(100)));
        let now = at(100 + case.age);
        for id in &newest {
            fleet.record_weights(id, &model(), 2, at(200));
            report(&mut fleet, id, case.running, 0, now);
        }
        let service = service();
        let mut on_newest = 0;
        for session in 0..100 {
            let request = if case.long_prompts {
                prompt(session, 8)
            } else {
                long_answer(session)
            };
            let used = choose(&mut fleet, &context(&service, Some(&request)), now);
            on_newest += u32::from(newest.contains(&used));
        }
        let share = f64::from(on_newest) / 100.0;
        let (least, greatest) = case.expected;
        assert!((least..=greatest).contains(&share), "{}: {share}", case.name);
    }
}

/// Long prompts that evade the queues of their own lane interrupt more urgent answers.
#[test]
fn less_urgent_prompts_stay_in_their_lane() {
    struct Case {
        name: &'static str,
        rank: u8,
        /// Prompt tokens queued at each engine of the prefill lane.
        queued: u64,
        /// Whether some prompts go to the decode lane.
        leaves: bool,
    }
    let cases = [
        Case {
            name: "as urgent",
            rank: 0,
            queued: 60_000,
            leaves: true,
        },
        Case {
            name: "less urgent",
            rank: 2,
            queued: 60_000,
            leaves: false,
        },
        Case {
            name: "less urgent, a queue of more than a second",
            rank: 2,
            queued: 160_000,
            leaves: true,
        },
    ];
    for case in cases {
        let mut fleet = pool(32);
        let service = service();
        // Enough sessions to use the whole lane.
        let mut answer = |session| choose(&mut fleet, &context(&service, Some(&long_answer(session))), at(100));
        let lane: BTreeSet<EndpointId> = (1_000..1_200).map(&mut answer).collect();
        for other in 0..32 {
            let id = EndpointId::from(format!("e{other}").as_str());
            if !lane.contains(&id) {
                fleet.request_started(&id, Incarnation(1), case.queued, at(100));
            }
        }
        let mut in_decode_lane = 0;
        for session in 0..100 {
            let long = prompt(session, 8);
            let context = PickContext {
                rank: case.rank,
                ..context(&service, Some(&long))
            };
            in_decode_lane += u32::from(lane.contains(&choose(&mut fleet, &context, at(101))));
        }
        assert_eq!(in_decode_lane > 0, case.leaves, "{}: {in_decode_lane}", case.name);
    }
}

/// An engine that is ordered to load rejects the requests in its queue. Those with a single attempt then fail.
#[test]
fn requests_with_one_attempt_avoid_queues_at_engines_that_load_next() {
    struct Case {
        name: &'static str,
        attempts: u32,
        /// Requests waiting at the home, and prompt tokens of this router there.
        waiting: u32,
        pending: u64,
        engines: usize,
        stays: bool,
    }
    let case = Case {
        name: "no queue",
        attempts: 1,
        waiting: 0,
        pending: 0,
        engines: 16,
        stays: true,
    };
    let cases = [
        Case {
            name: "reported queue",
            waiting: 1,
            stays: false,
            ..case
        },
        Case {
            name: "own request in the queue",
            pending: 100,
            stays: false,
            ..case
        },
        Case {
            name: "two attempts",
            attempts: 2,
            waiting: 1,
            ..case
        },
        Case {
            name: "small pool",
            waiting: 1,
            engines: 15,
            ..case
        },
        case,
    ];
    for case in cases {
        let mut fleet = pool(case.engines);
        let service = service();
        let long = prompt(7, 8);
        let context = PickContext {
            attempts: case.attempts,
            ..context(&service, Some(&long))
        };
        serve_other_prefixes(&mut fleet);
        let home = choose(&mut fleet, &context, at(100));
        fleet.set_loading(BTreeSet::new(), BTreeSet::from([home.clone()]));
        report(&mut fleet, &home, 1, case.waiting, at(100));
        if case.pending > 0 {
            fleet.request_started(&home, Incarnation(1), case.pending, at(100));
        }
        let used = choose(&mut fleet, &context, at(101));
        assert_eq!(used == home, case.stays, "{}", case.name);
    }
}
