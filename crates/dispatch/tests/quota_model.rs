//! Quotas kept by many routers, in simulation.

#[path = "support/quota_fleet.rs"]
#[allow(dead_code, reason = "the model and the comparison each use only some of these items")]
mod quota_fleet;

use quota_fleet::{Fault, Scenario, Spread, Way, play};

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
