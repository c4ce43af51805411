//! Which endpoints load new weights, in which order, and the next step after their reports.

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

fn candidate(name: &str, weights: u64, draining: bool) -> LoadCandidate {
    LoadCandidate {
        endpoint: EndpointId::from(name),
        weights,
        draining,
    }
}

fn ids(names: &[&str]) -> BTreeSet<EndpointId> {
    names.iter().map(|name| EndpointId::from(*name)).collect()
}

/// New target weights are set before the previous ones are loaded everywhere. Endpoints with the oldest weights are the
/// first to exceed the age limit. If they loaded last, they would drop out of service one after the other.
#[test]
fn the_oldest_weights_load_first_and_most_endpoints_keep_serving() {
    struct Case {
        candidates: Vec<LoadCandidate>,
        loading: &'static [&'static str],
        expected: &'static [&'static str],
    }
    let nine: Vec<LoadCandidate> = (0..9)
        .map(|at| candidate(&format!("e{at}"), 1 + at % 3, false))
        .collect();
    let cases = [
        Case {
            candidates: nine.clone(),
            loading: &[],
            expected: &["e0", "e3", "e6"],
        },
        Case {
            candidates: nine,
            loading: &["e0", "e3"],
            expected: &["e6"],
        },
        Case {
            candidates: vec![
                candidate("a", 1, false),
                candidate("b", 1, false),
                candidate("c", 1, false),
            ],
            loading: &[],
            expected: &["a"],
        },
        Case {
            candidates: vec![candidate("a", 1, false)],
            loading: &[],
            expected: &["a"],
        },
        Case {
            candidates: vec![
                candidate("a", 1, true),
                candidate("b", 4, false),
                candidate("c", 3, false),
                candidate("d", 4, false),
            ],
            loading: &[],
            expected: &["c"],
        },
    ];
    for case in cases {
        let expected: Vec<EndpointId> = case.expected.iter().map(|name| EndpointId::from(*name)).collect();
        assert_eq!(plan_loads(&case.candidates, 4, &ids(case.loading)).begin, expected);
    }
}

/// Ninety engines load new weights. If two fifths of them drain or load at a time, the others are at capacity and
/// responses are late. With a fifth, and no long generations on the next ones, they are not. A third of the engines
/// always accepts long generations.
#[test]
fn few_endpoints_load_at_a_time_and_the_next_ones_are_fixed() {
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
        let candidates: Vec<LoadCandidate> = (0..case.endpoints)
            .map(|at| candidate(&format!("e{at:03}"), 1, false))
            .collect();
        let plan = plan_loads(&candidates, 2, &BTreeSet::new());
        assert_eq!(
            (plan.begin.len(), plan.upcoming.len()),
            (case.begin, case.upcoming),
            "of {}",
            case.endpoints
        );
        let order: Vec<&EndpointId> = plan.begin.iter().chain(&plan.upcoming).collect();
        assert!(order.is_sorted(), "upcoming endpoints follow in order");
        // While the first ones load, the upcoming ones don't change.
        let loading = plan.begin.iter().cloned().collect();
        assert_eq!(plan_loads(&candidates, 2, &loading).upcoming, plan.upcoming);
    }
}

/// An order gets no response and takes effect seconds later, after a newer one, so the endpoint returns to old weights.
/// The expected number of accepted orders prevents this if it is always taken from the newest report.
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
        // The report may be older than the order.
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

/// A quarter of the engines crash during a rollout and stay listed for seconds with the oldest weights. If they were
/// ordered again and again, they would occupy all load slots until the healthy engines exceed the age limit of their
/// weights.
#[test]
fn endpoints_with_failed_loads_do_not_block_the_others() {
    let crashed = ids(&["e0", "e1", "e2", "e3"]);
    let candidates: Vec<LoadCandidate> = (0..12).map(|at| candidate(&format!("e{at:x}"), 1, false)).collect();
    let mut backoff = LoadBackoff::default();
    let at = Duration::from_millis;
    for endpoint in &crashed {
        backoff.record_failure(endpoint.clone(), at(1_000));
    }
    let begin = |backoff: &LoadBackoff, now: u64| {
        let may = |candidate: &&LoadCandidate| backoff.may_load(&candidate.endpoint, at(now));
        let free: Vec<LoadCandidate> = candidates.iter().filter(may).cloned().collect();
        plan_loads(&free, 2, &BTreeSet::new()).begin
    };
    let first = begin(&backoff, 1_000);
    assert!(!first.is_empty() && first.iter().all(|endpoint| !crashed.contains(endpoint)));
    // After the backoff an endpoint is ordered again.
    assert_eq!(begin(&backoff, 4_000)[0], EndpointId::from("e0"));
    assert!(!should_give_up(1), "one report may be lost");
    assert!(should_give_up(2));
}

/// Endpoints with long generations take seconds to drain. If they were ordered first, their load slots would be idle
/// for most of the rollout.
#[test]
fn endpoints_with_long_generations_load_last() {
    let mut candidates: Vec<LoadCandidate> = (0..9).map(|at| candidate(&format!("e{at}"), 1, false)).collect();
    sort_by_load_order(&mut candidates);
    let entry = |at| EndpointEntry {
        slots: 64,
        ..entry(&format!("e{at}"), 1)
    };
    let mut load = fleet(&(0..9).map(entry).collect::<Vec<_>>());
    let placed = (0..200).filter_map(|session| {
        let long = Prompt {
            max_output: 600,
            ..prompt(session, 8)
        };
        let name = send(&mut load, Some(&long), &[], session, at(0))?;
        load.prefill_finished(&EndpointId::from(name.as_str()), Incarnation(1), at(0));
        load.request_finished(&EndpointId::from(name.as_str()), Incarnation(1));
        Some(name)
    });
    let used: BTreeSet<EndpointId> = placed.map(|name| EndpointId::from(name.as_str())).collect();
    let last = candidates[9 - used.len()..]
        .iter()
        .map(|candidate| candidate.endpoint.clone());
    assert_eq!(used, last.collect());
}
