//! Tests of the seeded workload and faults, and of the line fit.

use loadtool::faults::schedule;
use loadtool::measure::fit;
use loadtool::scenario::Scenario;
use loadtool::workload::{Prompts, arrivals};

#[test]
fn same_seed_gives_same_arrivals_and_faults() {
    for scenario in [Scenario::board(), Scenario::kovacs()] {
        let draw = |seed| {
            (
                arrivals(&scenario, seed, 20.0, 50.0),
                schedule(&scenario, seed, 20.0, 2.0),
            )
        };
        assert_eq!(draw(1), draw(1), "{}", scenario.name);
        assert_ne!(draw(1), draw(2), "{}", scenario.name);
        let (calls, faults) = draw(1);
        assert!(calls.iter().enumerate().all(|(at, arrival)| arrival.number == at));
        assert!(calls.is_sorted_by_key(|arrival| arrival.at) && faults.is_sorted_by_key(|fault| fault.at));
    }
}

#[test]
fn levels_end_at_the_layer_boundaries() {
    let scenario = Scenario::board();
    let prompts = Prompts::new(&scenario, 1);
    for chat in [false, true] {
        let [one, other] = [3, 4].map(|task| prompts.prompt(0, task, 7, chat));
        let tenant = one.levels[1];
        assert_eq!(
            one.rendered[..tenant],
            other.rendered[..tenant],
            "the tenant layer is shared"
        );
        assert_ne!(
            one.rendered[tenant..one.levels[2]],
            other.rendered[tenant..one.levels[2]],
            "the task layer is not shared"
        );
        assert!(one.rendered[..one.levels[2]].ends_with(&one.shared));
        assert!(one.rendered[one.levels[2]..].contains(&one.question));
        let elsewhere = prompts.prompt(1, 3, 7, chat);
        assert_eq!(
            one.rendered[..one.levels[0]],
            elsewhere.rendered[..one.levels[0]],
            "the base is shared by all workspaces"
        );
    }
}

struct Case {
    points: &'static [(f64, f64)],
    line: Option<(f64, f64)>,
}

#[test]
fn fit_returns_the_least_squares_line() {
    let cases = [
        Case {
            points: &[(0.0, 1.0), (1.0, 3.0), (5.0, 11.0)],
            line: Some((1.0, 2.0)),
        },
        Case {
            points: &[(0.0, 0.0), (1.0, 2.0), (2.0, 1.0)],
            line: Some((0.5, 0.5)),
        },
        Case {
            points: &[(1.0, 1.0), (1.0, 2.0)],
            line: None,
        },
        Case {
            points: &[],
            line: None,
        },
    ];
    for case in cases {
        check(&case);
    }
}

fn check(case: &Case) {
    let found = fit(case.points);
    let line = found.as_ref().map(|fit| (fit.intercept, fit.slope));
    assert_eq!(line, case.line, "{:?}", case.points);
    let rest: f64 = found.iter().flat_map(|fit| &fit.residuals).sum();
    assert!(rest.abs() < 1e-9, "{:?}", case.points);
}
