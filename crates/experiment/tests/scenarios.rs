//! The scenarios judged by what callers receive, each with a mechanism on and off.

use experiment::deployment::BOARD;
use experiment::policy::{Policy, Settings};
use experiment::scenario::{self, Scenario};
use experiment::table::{Comparison, Contender, Row, rows};

/// Requests a second that the Board's twelve engines can serve, as `experiment compare` found.
const CAPACITY: f64 = 67.5;

struct Case {
    scenario: &'static str,
    /// The mechanism, by its name in [`Settings::changed`].
    off: &'static str,
    /// What callers receive: at least this with the mechanism, at most that without.
    figure: fn(&Row) -> f64,
    on: f64,
    without: f64,
}

fn contender(change: Option<&str>) -> Contender {
    let settings = Settings::default();
    let settings = change
        .map_or(Some(settings.clone()), |change| settings.changed(change))
        .expect("a known mechanism");
    Contender {
        policy: Policy::Ours,
        settings,
        name: change.unwrap_or("on").to_owned(),
    }
}

fn play(scenario: Scenario, contenders: Vec<Contender>) -> Vec<Row> {
    let comparison = Comparison {
        deployment: BOARD,
        capacity: CAPACITY,
        contenders,
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

// Each row is one load pattern of the deployments. What a user notices without the mechanism: answers that come too late
// or not at all, and prefixes that are computed again while they lie in another cache.
#[test]
fn callers_are_served_with_each_mechanism_and_not_without() {
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
        let rows = play(named(case.scenario), vec![contender(None), contender(Some(case.off))]);
        let [on, off] = [&rows[0], &rows[1]].map(case.figure);
        println!("{}: {on:.3} with, {off:.3} without {}", case.scenario, case.off);
        assert!(on >= case.on, "{}: {on:.3} with {}", case.scenario, case.off);
        assert!(off <= case.without, "{}: {off:.3} without {}", case.scenario, case.off);
    }
}

// The oracle knows every cache and queue. A policy that falls far behind it computes prefixes again that lie elsewhere.
#[test]
fn the_hit_rate_is_near_the_oracles() {
    let oracle = Contender {
        policy: Policy::Oracle,
        settings: Settings::default(),
        name: "oracle".to_owned(),
    };
    let rows = play(named("steady 80%"), vec![contender(None), oracle]);
    let share = rows[0].figures.hit_rate / rows[1].figures.hit_rate;
    assert!(share >= 0.95, "{share:.3} of the oracle's hit rate");
}

// The same seed must give the same figures, or no two policies could be compared.
#[test]
fn a_run_repeats_exactly() {
    let figures = || play(named("engine crash"), vec![contender(None)])[0].figures;
    assert_eq!(figures(), figures());
}
