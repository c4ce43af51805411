//! Tests of what clients receive in each scenario, with a mechanism on and off.

use experiment::deployment::BOARD;
use experiment::policy::{Policy, Settings};
use experiment::scenario::{self, Scenario};
use experiment::table::{Comparison, Row, Variant, rows};

/// Requests per second that the Board's twelve engines can serve, as computed by `experiment compare`.
const CAPACITY: f64 = 67.5;

struct Case {
    scenario: &'static str,
    /// The mechanism, by its name in [`Settings::changed`].
    off: &'static str,
    /// The figure for clients: at least `on` with the mechanism, at most `without` without it.
    figure: fn(&Row) -> f64,
    on: f64,
    without: f64,
}

fn variant(change: Option<&str>) -> Variant {
    let settings = Settings::default();
    let settings = change
        .map_or(Some(settings.clone()), |change| settings.changed(change))
        .expect("a known mechanism");
    Variant {
        policy: Policy::Placer,
        settings,
        name: change.unwrap_or("on").to_owned(),
    }
}

fn run_scenario(scenario: Scenario, variants: Vec<Variant>) -> Vec<Row> {
    let comparison = Comparison {
        deployment: BOARD,
        capacity: CAPACITY,
        variants,
        scenarios: vec![scenario],
        seeds: vec![1],
    };
    rows(&comparison, 2)
}

fn named(name: &str) -> Scenario {
    scenario::all()
        .into_iter()
        .find(|scenario| scenario.name == name)
        .expect("a known scenario")
}

// Each row is one load pattern. Without the mechanism, answers arrive too late or not at all, and prefixes are computed
// again although another engine has them cached.
#[test]
fn clients_are_served_only_with_each_mechanism() {
    let in_time = |row: &Row| row.figures.in_time;
    let others = |row: &Row| row.others_in_time;
    let share_of_best = |row: &Row| row.goodput / CAPACITY;
    let fresh = |row: &Row| row.fresh;
    let cases = [
        Case {
            scenario: "steady 80%",
            off: "price",
            figure: in_time,
            on: 0.98,
            without: 0.7,
        },
        Case {
            scenario: "burst",
            off: "price",
            figure: in_time,
            on: 0.96,
            without: 0.7,
        },
        Case {
            scenario: "hot caller",
            off: "admission",
            figure: others,
            on: 0.85,
            without: 0.75,
        },
        Case {
            scenario: "hot prefix shifts",
            off: "hash",
            figure: in_time,
            on: 0.97,
            without: 0.7,
        },
        Case {
            scenario: "slow endpoint",
            off: "reports",
            figure: in_time,
            on: 0.97,
            without: 0.7,
        },
        Case {
            scenario: "long among short",
            off: "reports",
            figure: in_time,
            on: 0.98,
            without: 0.93,
        },
        Case {
            scenario: "overload 2x",
            off: "admission",
            figure: share_of_best,
            on: 0.9,
            without: 0.2,
        },
        Case {
            scenario: "overload 4x",
            off: "admission",
            figure: share_of_best,
            on: 0.9,
            without: 0.2,
        },
        Case {
            scenario: "all routers restart",
            off: "hint",
            figure: fresh,
            on: 0.865,
            without: 0.85,
        },
        Case {
            scenario: "one router restarts",
            off: "hint",
            figure: fresh,
            on: 0.85,
            without: 0.83,
        },
        Case {
            scenario: "engine crash",
            off: "hash",
            figure: in_time,
            on: 0.98,
            without: 0.7,
        },
    ];
    for case in cases {
        let rows = run_scenario(named(case.scenario), vec![variant(None), variant(Some(case.off))]);
        let [on, off] = [&rows[0], &rows[1]].map(case.figure);
        println!("{}: {on:.3} with, {off:.3} without {}", case.scenario, case.off);
        assert!(on >= case.on, "{}: {on:.3} with {}", case.scenario, case.off);
        assert!(off <= case.without, "{}: {off:.3} without {}", case.scenario, case.off);
    }
}

// The oracle sees every cache and queue. A policy with a much lower hit rate recomputes prefixes that other engines
// have cached.
#[test]
fn hit_rate_is_near_that_of_the_oracle() {
    let oracle = Variant {
        policy: Policy::Oracle,
        settings: Settings::default(),
        name: "oracle".to_owned(),
    };
    let rows = run_scenario(named("steady 80%"), vec![variant(None), oracle]);
    let share = rows[0].figures.hit_rate / rows[1].figures.hit_rate;
    assert!(share >= 0.95, "{share:.3} of the oracle's hit rate");
}

// The same seed must give the same figures, otherwise policies are not comparable.
#[test]
fn runs_with_the_same_seed_give_the_same_figures() {
    let figures = || run_scenario(named("engine crash"), vec![variant(None)])[0].figures;
    assert_eq!(figures(), figures());
}
