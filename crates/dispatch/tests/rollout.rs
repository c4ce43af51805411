//! Which endpoints load new weights, in which order, and what follows their reports.

mod support;

use dispatch::fleet::Prompt;
use dispatch::rollout::{
    LoadBackoff, LoadCandidate, LoadStep, Report, SentOrder, load_step, plan_loads, should_give_up, sort_by_load_order,
};
use dispatch::site::EndpointEntry;
use ids::{EndpointId, Incarnation};
use std::collections::BTreeSet;
use std::time::Duration;
use support::fleet::{at, entry, fleet, prompt, send};

fn runner(name: &str, weights: u64, leaving: bool) -> LoadCandidate {
    LoadCandidate {
        endpoint: EndpointId::from(name),
        weights,
        leaving,
    }
}

fn ids(names: &[&str]) -> BTreeSet<EndpointId> {
    names.iter().map(|name| EndpointId::from(*name)).collect()
}

/// New weights are named before the last ones are in place everywhere. Endpoints with the oldest ones are the first
/// that may not serve any more; were the newest renewed first, they would fall out one after the other.
#[test]
fn the_oldest_load_first_and_most_go_on_serving() {
    struct Case {
        runners: Vec<LoadCandidate>,
        loading: &'static [&'static str],
        expected: &'static [&'static str],
    }
    let nine: Vec<LoadCandidate> = (0..9).map(|at| runner(&format!("e{at}"), 1 + at % 3, false)).collect();
    let cases = [
        Case {
            runners: nine.clone(),
            loading: &[],
            expected: &["e0", "e3", "e6"],
        },
        Case {
            runners: nine,
            loading: &["e0", "e3"],
            expected: &["e6"],
        },
        Case {
            runners: vec![runner("a", 1, false), runner("b", 1, false), runner("c", 1, false)],
            loading: &[],
            expected: &["a"],
        },
        Case {
            runners: vec![runner("a", 1, false)],
            loading: &[],
            expected: &["a"],
        },
        Case {
            runners: vec![
                runner("a", 1, true),
                runner("b", 4, false),
                runner("c", 3, false),
                runner("d", 4, false),
            ],
            loading: &[],
            expected: &["c"],
        },
    ];
    for case in cases {
        let expected: Vec<EndpointId> = case.expected.iter().map(|name| EndpointId::from(*name)).collect();
        assert_eq!(plan_loads(&case.runners, 4, &ids(case.loading)).begin, expected);
    }
}

/// Ninety engines load new weights. With two fifths of them running empty or loading, the others were full and callers' answers
/// late; with a fifth, whose successors already get no long answers, they are not. A third always takes long answers.
#[test]
fn few_take_part_and_their_successors_are_known() {
    struct Case {
        endpoints: usize,
        begin: usize,
        upcoming: usize,
    }
    let cases = [
        Case {
            endpoints: 1,
            begin: 1,
            upcoming: 0,
        },
        Case {
            endpoints: 3,
            begin: 1,
            upcoming: 1,
        },
        Case {
            endpoints: 9,
            begin: 3,
            upcoming: 3,
        },
        Case {
            endpoints: 12,
            begin: 4,
            upcoming: 4,
        },
        Case {
            endpoints: 90,
            begin: 18,
            upcoming: 30,
        },
        Case {
            endpoints: 140,
            begin: 28,
            upcoming: 46,
        },
    ];
    for case in cases {
        let runners: Vec<LoadCandidate> = (0..case.endpoints)
            .map(|at| runner(&format!("e{at:03}"), 1, false))
            .collect();
        let plan = plan_loads(&runners, 2, &BTreeSet::new());
        assert_eq!(
            (plan.begin.len(), plan.upcoming.len()),
            (case.begin, case.upcoming),
            "of {}",
            case.endpoints
        );
        let order: Vec<&EndpointId> = plan.begin.iter().chain(&plan.upcoming).collect();
        assert!(order.is_sorted(), "those that come next follow in order");
        // Once the first ones load, the next ones are still those that were told.
        let loading = plan.begin.iter().cloned().collect();
        assert_eq!(plan_loads(&runners, 2, &loading).upcoming, plan.upcoming);
    }
}

/// An order gets no answer and is carried out seconds later, after a newer one: the endpoint falls back to old weights. The
/// count that an order expects prevents it, if it is always the count of the newest report.
#[test]
fn an_order_expects_the_count_of_the_newest_report() {
    struct Case {
        report: Report,
        ordered: Option<SentOrder>,
        now: u64,
        expected: LoadStep,
    }
    let idle = Report {
        weights: Some(1),
        busy: false,
        orders: 5,
    };
    let order = Some(SentOrder {
        expected: 5,
        weights: 3,
        at: Duration::from_secs(1),
    });
    let cases = [
        Case {
            report: idle,
            ordered: None,
            now: 0,
            expected: LoadStep::Order { expected: 5 },
        },
        Case {
            report: Report { busy: true, ..idle },
            ordered: None,
            now: 0,
            expected: LoadStep::Wait,
        },
        // The report may be from before the order.
        Case {
            report: idle,
            ordered: order,
            now: 1_600,
            expected: LoadStep::Wait,
        },
        Case {
            report: idle,
            ordered: order,
            now: 1_700,
            expected: LoadStep::Order { expected: 5 },
        },
        Case {
            report: Report { orders: 6, ..idle },
            ordered: order,
            now: 1_700,
            expected: LoadStep::Order { expected: 6 },
        },
        Case {
            report: Report {
                weights: Some(3),
                orders: 6,
                ..idle
            },
            ordered: None,
            now: 0,
            expected: LoadStep::Order { expected: 6 },
        },
        Case {
            report: Report {
                weights: Some(3),
                orders: 6,
                ..idle
            },
            ordered: order,
            now: 1_100,
            expected: LoadStep::Done,
        },
        Case {
            report: Report {
                weights: Some(4),
                ..idle
            },
            ordered: None,
            now: 0,
            expected: LoadStep::Done,
        },
        Case {
            report: Report { weights: None, ..idle },
            ordered: None,
            now: 0,
            expected: LoadStep::Order { expected: 5 },
        },
    ];
    for (index, case) in cases.iter().enumerate() {
        let step = load_step(&case.report, 4, case.ordered, Duration::from_millis(case.now));
        assert_eq!(step, case.expected, "case {index}");
    }
}

/// A quarter of the engines crash while weights are loaded, and stay listed for seconds with the oldest ones. Tried again and again
/// they take up all the room for loads, and the sound ones are left out for their old weights in the end: an outage.
#[test]
fn endpoints_whose_loads_fail_wait_behind_the_others() {
    let crashed = ids(&["e0", "e1", "e2", "e3"]);
    let runners: Vec<LoadCandidate> = (0..12).map(|at| runner(&format!("e{at:x}"), 1, false)).collect();
    let mut backoff = LoadBackoff::default();
    let at = Duration::from_millis;
    for endpoint in &crashed {
        backoff.record_failure(endpoint.clone(), at(1_000));
    }
    let begin = |backoff: &LoadBackoff, now: u64| {
        let may = |runner: &&LoadCandidate| backoff.may_load(&runner.endpoint, at(now));
        let free: Vec<LoadCandidate> = runners.iter().filter(may).cloned().collect();
        plan_loads(&free, 2, &BTreeSet::new()).begin
    };
    let first = begin(&backoff, 1_000);
    assert!(!first.is_empty() && first.iter().all(|endpoint| !crashed.contains(endpoint)));
    // One that is back gets its turn.
    assert_eq!(begin(&backoff, 4_000)[0], EndpointId::from("e0"));
    assert!(!should_give_up(1), "one report may be lost");
    assert!(should_give_up(2));
}

/// Endpoints with long answers take seconds to run empty; ordered first, they stand idle for most of the rollout.
#[test]
fn endpoints_with_long_answers_load_last() {
    let mut runners: Vec<LoadCandidate> = (0..9).map(|at| runner(&format!("e{at}"), 1, false)).collect();
    sort_by_load_order(&mut runners);
    let entry = |at| EndpointEntry {
        slots: 64,
        ..entry(&format!("e{at}"), 1)
    };
    let mut load = fleet(&(0..9).map(entry).collect::<Vec<_>>());
    let answers = (0..200).filter_map(|session| {
        let long = Prompt {
            max_output: 600,
            ..prompt(session, 8)
        };
        let name = send(&mut load, Some(&long), &[], session, at(0))?;
        load.prefill_finished(&EndpointId::from(name.as_str()), Incarnation(1), at(0));
        load.request_finished(&EndpointId::from(name.as_str()), Incarnation(1));
        Some(name)
    });
    let used: BTreeSet<EndpointId> = answers.map(|name| EndpointId::from(name.as_str())).collect();
    let last = runners[9 - used.len()..].iter().map(|runner| runner.endpoint.clone());
    assert_eq!(used, last.collect());
}
