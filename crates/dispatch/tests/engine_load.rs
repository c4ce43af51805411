//! Service quality with many routers in front of a few engines.

mod support;

use dispatch::fleet::Prompt;
use std::collections::BTreeSet;
use support::engine_load::{Served, Workload, simulate};
use support::fleet::{at, entry, fleet, prompt, send};

const WORKLOAD: Workload = Workload {
    routers: 12,
    engines: 9,
    long_prompts: 16.0,
    long_answers: 40.0,
    seconds: 30,
    announcements: true,
    seed: 1,
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
