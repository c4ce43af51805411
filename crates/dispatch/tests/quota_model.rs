//! Quotas kept by many routers, in simulation.

#[path = "support/quota_fleet.rs"]
#[allow(dead_code, reason = "the model and the comparison each use only some of these items")]
mod quota_fleet;

use quota_fleet::{Fault, Figures, Mix, Scenario, Spread, Way, play};

const LARGE: f64 = 1_265_974.0;
const SMALL: f64 = 29_000.0;
const SEEDS: u64 = 4;

fn scenario(rate: f64, asked: &[(u64, f64)]) -> Scenario {
    Scenario {
        routers: 104,
        domains: 4,
        rate,
        asked: asked.to_vec(),
        spread: Spread::Even,
        mix: Mix::Plain,
        faults: Vec::new(),
        length_ms: 24_000,
        seed: 1,
    }
}

/// A workspace that asks for several times its quota takes the engines from all others.
#[test]
fn no_window_exceeds_the_quota() {
    struct Case {
        name: &'static str,
        scenario: Scenario,
    }
    let hot: &[(u64, f64)] = &[(0, 0.55), (6_000, 4.2)];
    let mut cases = Vec::new();
    for rate in [SMALL, 300_000.0, LARGE] {
        for routers in [3, 14, 104, 300] {
            let base = Scenario {
                routers,
                domains: if routers < 8 { 1 } else { 4 },
                ..scenario(rate, hot)
            };
            let with = |spread, faults| Scenario {
                spread,
                faults,
                ..base.clone()
            };
            let restart = Fault::RestartAll { at: 10_000 };
            let cut = Fault::CutDomain {
                from: 9_000,
                until: 15_000,
            };
            let lowered = Fault::ChangeQuota { at: 12_000, share: 0.1 };
            cases.extend([
                Case {
                    name: "hot",
                    scenario: base.clone(),
                },
                Case {
                    name: "hot at one router",
                    scenario: with(Spread::One, Vec::new()),
                },
                Case {
                    name: "hot and moving",
                    scenario: with(Spread::Moving, Vec::new()),
                },
                Case {
                    name: "all restart",
                    scenario: with(Spread::Even, vec![restart]),
                },
                Case {
                    name: "domain cut",
                    scenario: with(Spread::Even, vec![cut]),
                },
                Case {
                    name: "lowered",
                    scenario: with(Spread::Even, vec![lowered]),
                },
                Case {
                    name: "all at once",
                    scenario: with(Spread::Moving, vec![cut, restart, lowered]),
                },
            ]);
        }
    }
    for Case { name, scenario } in cases {
        for seed in 1..=SEEDS {
            let scenario = Scenario {
                seed,
                ..scenario.clone()
            };
            let figures = play(&scenario, Way::Reports);
            let about = format!(
                "{name}, {} routers, rate {}, seed {seed}",
                scenario.routers, scenario.rate
            );
            assert!(figures.worst_window <= 1.0, "{about}: {figures:?}");
        }
    }
}

/// Requests within the quota are refused.
#[test]
fn a_workspace_within_its_quota_is_not_refused() {
    for rate in [SMALL, LARGE] {
        for spread in [Spread::Even, Spread::One, Spread::Moving] {
            let base = Scenario {
                spread,
                ..scenario(rate, &[(0, 0.55)])
            };
            for seed in 1..=SEEDS {
                let figures = play(&Scenario { seed, ..base.clone() }, Way::Reports);
                assert!(
                    figures.refused == 0.0,
                    "{spread:?}, rate {rate}, seed {seed}: {figures:?}"
                );
            }
        }
    }
}

/// A workspace that asks for more than its quota gets much less than its quota.
#[test]
fn a_quota_is_used() {
    for rate in [SMALL, LARGE] {
        for spread in [Spread::Even, Spread::One, Spread::Moving] {
            let base = Scenario {
                spread,
                ..scenario(rate, &[(0, 0.55), (4_000, 4.2)])
            };
            for seed in 1..=SEEDS {
                let figures = play(&Scenario { seed, ..base.clone() }, Way::Reports);
                assert!(
                    figures.used >= 0.95,
                    "{spread:?}, rate {rate}, seed {seed}: {figures:?}"
                );
            }
        }
    }
}

/// The distinction of classes changes decisions where no route is patient. The hashes are those of the code before the
/// distinction.
#[test]
fn decisions_without_patient_routes_are_unchanged() {
    let cut = Fault::CutDomain {
        from: 5_000,
        until: 7_000,
    };
    let faults = [
        cut,
        Fault::RestartAll { at: 6_000 },
        Fault::ChangeQuota { at: 8_000, share: 0.1 },
    ];
    let cases = [
        (SMALL, 14, 14_890_537_337_494_035_518),
        (SMALL, 104, 3_349_356_511_969_062_629),
        (LARGE, 14, 14_604_255_432_352_715_097),
        (LARGE, 104, 8_614_972_875_581_677_647),
    ];
    for (rate, routers, decisions) in cases {
        let scenario = Scenario {
            routers,
            spread: Spread::Moving,
            faults: faults.to_vec(),
            length_ms: 10_000,
            ..scenario(rate, &[(0, 0.55), (2_000, 4.2)])
        };
        let figures = play(&scenario, Way::Reports);
        assert_eq!(
            figures.decisions, decisions,
            "rate {rate}, {routers} routers: {figures:?}"
        );
    }
}

/// Share of the prompts among the requests of a workspace with long prompts and calls.
const PROMPTS: f64 = 0.58;

/// Scenarios of a workspace over its quota with two classes of requests.
fn two_class_scenarios(routers: &[usize], prompts: f64, faults: &[Fault]) -> Vec<Scenario> {
    let mut scenarios = Vec::new();
    for routers in routers {
        for (rate, factor) in [(SMALL, 4.4), (SMALL, 7.5), (LARGE, 4.4), (LARGE, 7.5)] {
            scenarios.push(Scenario {
                routers: *routers,
                mix: Mix::TwoClasses(prompts),
                faults: faults.to_vec(),
                length_ms: 18_000,
                ..scenario(rate, &[(0, 0.55), (4_000, factor)])
            });
        }
    }
    scenarios
}

/// Plays a scenario and checks the bound of a window.
fn play_within_bound(scenario: &Scenario, seed: u64) -> Figures {
    let scenario = Scenario {
        seed,
        ..scenario.clone()
    };
    let figures = play(&scenario, Way::Reports);
    println!("{scenario:?}: {figures:?}");
    assert!(figures.worst_window <= 1.0, "{scenario:?}: {figures:?}");
    figures
}

/// Plays two classes with these faults, and compares with one class.
fn check_that_calls_come_first(faults: &[Fault]) {
    for scenario in two_class_scenarios(&[14, 104, 300], PROMPTS, faults) {
        let one_class = Scenario {
            mix: Mix::OneClass(PROMPTS),
            ..scenario.clone()
        };
        let before = play_within_bound(&one_class, 1);
        for seed in 1..=SEEDS {
            let after = play_within_bound(&scenario, seed);
            let about = format!("{scenario:?}, seed {seed}: {after:?}");
            assert!(after.refused_calls <= 0.1 * before.refused_calls, "{about}");
            assert!(after.refused_prompts <= before.refused_prompts + 0.05, "{about}");
            assert!(after.used >= 0.95, "{about}");
        }
    }
}

/// Long prompts of a workspace over its quota take the quota from its calls, or available quota is not used because
/// classes are distinguished.
#[test]
fn calls_are_admitted_before_patient_prompts() {
    check_that_calls_come_first(&[]);
}

/// The same while a failure domain is cut off.
#[test]
fn calls_are_admitted_first_in_a_cut() {
    check_that_calls_come_first(&[Fault::CutDomain {
        from: 6_000,
        until: 11_000,
    }]);
}

/// The same after all routers have restarted.
#[test]
fn calls_are_admitted_first_after_a_restart() {
    check_that_calls_come_first(&[Fault::RestartAll { at: 7_000 }]);
}

/// Calls alone ask for more than the quota: they exceed it, or the patient class takes a part of it.
#[test]
fn calls_over_the_quota_use_all_of_it() {
    for scenario in two_class_scenarios(&[14, 104], 0.005, &[]) {
        for seed in 1..=SEEDS {
            let figures = play_within_bound(&scenario, seed);
            assert!(figures.used >= 0.95, "{scenario:?}, seed {seed}: {figures:?}");
            assert!(
                figures.refused_prompts > figures.refused_calls,
                "{scenario:?}, seed {seed}: {figures:?}"
            );
        }
    }
}

/// Routers that reach no other router admit a long prompt each, although that is many times their part of the quota.
#[test]
fn patient_prompts_stay_within_the_quota_if_no_router_reaches_another() {
    let cut = Fault::CutAll {
        from: 6_000,
        until: 16_000,
    };
    for scenario in two_class_scenarios(&[14, 104, 300], PROMPTS, &[cut]) {
        for seed in 1..=SEEDS {
            play_within_bound(&scenario, seed);
        }
    }
}

/// A part of the quota is left unused in some window, although more than the quota is asked for.
#[test]
fn two_classes_use_the_quota_in_each_window() {
    for scenario in two_class_scenarios(&[14, 104, 300], PROMPTS, &[]) {
        let figures = play_within_bound(&scenario, 1);
        assert!(figures.least_window >= 0.95, "{scenario:?}: {figures:?}");
    }
}
