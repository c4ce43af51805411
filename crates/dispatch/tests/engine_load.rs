//! Service quality with many routers in front of a few engines.

mod support;

use dispatch::fleet::Prompt;
use std::collections::BTreeSet;
use support::engine_load::{Served, Steps, Workload, simulate};
use support::fleet::{at, entry, fleet, prompt, send};

const WORKLOAD: Workload = Workload {
    routers: 12,
    engines: 9,
    long_prompts: 16.0,
    long_answers: 40.0,
    seconds: 30,
    announcements: true,
    seed: 1,
    steps: None,
};

/// Pool and load of a deployment with long prompts and long answers at hundreds per second.
const STEPS: Steps = Steps {
    slots: 64,
    base_ms: 4.34,
    running_ms: 0.151,
    prefill_tokens_per_ms: 36.7,
    chunk: 1_024,
    stride: 5,
    objectives_ms: [1_500, 400],
    pause_ms: 400,
    surge: 1.0,
    empties_caches: false,
    rollout: false,
};
const LARGE_POOL: Workload = Workload {
    routers: 136,
    engines: 90,
    long_prompts: 164.0,
    long_answers: 203.0,
    seconds: 20,
    announcements: true,
    seed: 7_919,
    steps: Some(STEPS),
};

fn over_seeds(workload: &Workload) -> Served {
    let mut sum = Served::default();
    for seed in 1..=6 {
        let served = simulate(&Workload {
            seed: seed * 7_919,
            ..*workload
        });
        sum.long_prompts += served.long_prompts;
        sum.late_prompts += served.late_prompts;
        sum.long_answers += served.long_answers;
        sum.late_answers += served.late_answers;
        sum.interrupted_answers += served.interrupted_answers;
        sum.reread_tokens += served.reread_tokens;
    }
    sum
}

/// Engines report their load only on answers, and an engine that reads long prompts answers nobody. Without announced
/// backlogs all routers send their next long prompt to it.
#[test]
fn announced_backlogs_spread_long_prompts() {
    let alone = over_seeds(&Workload {
        announcements: false,
        ..WORKLOAD
    });
    let together = over_seeds(&WORKLOAD);
    assert!(
        together.interrupted_answers * 2 < alone.interrupted_answers,
        "{together:?}, {alone:?}"
    );
    assert!(together.late_prompts + together.late_answers <= 5, "{together:?}");
}

/// Without announcements each router sees other shares of the lanes, so it moves prefixes between them on its own,
/// and engines read them again.
#[test]
fn announced_lane_tokens_avoid_repeated_prefills() {
    let alone = over_seeds(&Workload {
        announcements: false,
        ..WORKLOAD
    });
    let together = over_seeds(&WORKLOAD);
    assert!(
        together.reread_tokens < alone.reread_tokens * 3 / 4,
        "{together:?}, {alone:?}"
    );
}

/// Long answers are interrupted while their engine reads a long prompt.
#[test]
fn long_prompts_do_not_interrupt_long_answers() {
    struct Case {
        name: &'static str,
        workload: Workload,
    }
    let cases = [
        Case {
            name: "peak load",
            workload: WORKLOAD,
        },
        Case {
            name: "routers just started",
            workload: Workload { seconds: 5, ..WORKLOAD },
        },
        Case {
            name: "smaller pool",
            workload: Workload {
                engines: 5,
                long_prompts: 9.0,
                long_answers: 22.0,
                ..WORKLOAD
            },
        },
    ];
    for Case { name, workload } in cases {
        let served = over_seeds(&workload);
        assert!(
            served.interrupted_answers * 200 <= served.long_answers,
            "{name}: {served:?}"
        );
        assert!(served.late_prompts * 50 <= served.long_prompts, "{name}: {served:?}");
    }
}

/// With few slots per engine, a decode lane of a tenth of a large pool would be full of long answers, and clients
/// would wait for a slot.
#[test]
fn pools_with_few_slots_per_engine_are_not_split() {
    let mut used = BTreeSet::new();
    let entries = (0..40).map(|at| entry(&format!("e{at}"), 1));
    let mut fleet = fleet(&entries.collect::<Vec<_>>());
    for session in 0..200 {
        let long = Prompt {
            max_output: 600,
            ..prompt(session, 8)
        };
        used.extend(send(&mut fleet, Some(&long), &[], session, at(session)));
    }
    assert!(used.len() > 30, "{}", used.len());
}

/// Lanes of large pools must not change the choices in small pools, or in pools with few slots per engine.
#[test]
fn small_pools_choose_as_before() {
    struct Case {
        name: &'static str,
        workload: Workload,
        choices: u64,
    }
    let rollout = Steps { rollout: true, ..STEPS };
    let few_slots = Steps { slots: 24, ..rollout };
    let cases = [
        Case {
            name: "9 engines",
            workload: WORKLOAD,
            choices: 1_945_154_834_833_374_396,
        },
        Case {
            name: "15 engines, long answers fill slots",
            workload: Workload {
                routers: 12,
                engines: 15,
                long_prompts: 27.0,
                long_answers: 60.0,
                seconds: 12,
                steps: Some(rollout),
                ..LARGE_POOL
            },
            choices: 483_531_626_213_845_943,
        },
        Case {
            name: "24 slots per engine",
            workload: Workload {
                routers: 12,
                engines: 40,
                long_prompts: 70.0,
                long_answers: 90.0,
                seconds: 12,
                steps: Some(few_slots),
                ..LARGE_POOL
            },
            choices: 14_332_569_452_680_494_685,
        },
    ];
    let choices = cases.iter().map(|case| simulate(&case.workload).choices);
    let expected: Vec<u64> = cases.iter().map(|case| case.choices).collect();
    let names: Vec<&str> = cases.iter().map(|case| case.name).collect();
    assert_eq!(choices.collect::<Vec<_>>(), expected, "{names:?}");
}

/// A decode lane sized by prompt tokens has all of its slots in use, and a tenth of the long answers wait for one.
#[test]
fn long_answers_find_slots_in_a_large_pool() {
    for routers in [13, 136] {
        let served = simulate(&Workload {
            routers,
            seconds: 12,
            ..LARGE_POOL
        });
        assert!(
            served.late_answers * 100 <= served.long_answers,
            "{routers}: {served:?}"
        );
        assert!(
            served.late_prompts * 100 <= served.long_prompts,
            "{routers}: {served:?}"
        );
    }
}

/// Prints how many requests are late in a large pool: `cargo test -p dispatch --test engine_load large_pool_table --
/// --ignored --nocapture`.
#[test]
#[ignore = "prints figures, checks nothing"]
fn large_pool_table() {
    for routers in [13, 136] {
        for (name, surge, empties_caches) in [
            ("usual", 1.0, false),
            ("2.5 times the long prompts", 2.5, false),
            ("empty caches", 1.0, true),
        ] {
            let steps = Steps {
                surge,
                empties_caches,
                ..STEPS
            };
            let workload = Workload {
                routers,
                steps: Some(steps),
                ..LARGE_POOL
            };
            println!("{routers} routers, {name}: {:?}", simulate(&workload));
        }
    }
}
