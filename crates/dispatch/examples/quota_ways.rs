//! Compares ways to keep quotas by many routers: `cargo run --release -p dispatch --example quota_ways`.

#[path = "../tests/support/quota_fleet.rs"]
#[allow(dead_code, reason = "the model and the comparison each use only some of these items")]
mod quota_fleet;

use quota_fleet::{Fault, Mix, Scenario, Spread, Way, play};

const SEEDS: u64 = 5;
/// Tokens per second of a large and of a small workspace.
const RATES: [f64; 2] = [1_265_974.0, 29_000.0];

fn main() {
    println!("| load | routers | rate | way | worst window | used | refused within | messages a router a second |");
    println!("| --- | ---: | ---: | --- | ---: | ---: | ---: | ---: |");
    let cut = Fault::CutDomain {
        from: 9_000,
        until: 15_000,
    };
    let loads: [(&str, f64, Spread, Vec<Fault>); 7] = [
        ("usual", 0.55, Spread::Even, Vec::new()),
        ("usual at one router", 0.55, Spread::One, Vec::new()),
        ("usual, a domain cut", 0.55, Spread::Even, vec![cut]),
        ("hot", 4.2, Spread::Even, Vec::new()),
        ("hot and moving", 4.2, Spread::Moving, Vec::new()),
        (
            "hot, all restart",
            4.2,
            Spread::Even,
            vec![Fault::RestartAll { at: 10_000 }],
        ),
        ("hot, a domain cut", 4.2, Spread::Even, vec![cut]),
    ];
    for (name, factor, spread, faults) in loads {
        for routers in [3, 14, 104, 300] {
            for rate in RATES {
                let scenario = Scenario {
                    routers,
                    domains: if routers < 8 { 1 } else { 4 },
                    rate,
                    asked: vec![(0, 0.55), (6_000, factor)],
                    spread,
                    mix: Mix::Plain,
                    faults: faults.clone(),
                    length_ms: 24_000,
                    seed: 0,
                };
                for way in [Way::Reports, Way::Even, Way::Demand, Way::Home] {
                    print_row(name, &scenario, way);
                }
            }
        }
    }
}

fn print_row(name: &str, scenario: &Scenario, way: Way) {
    let runs: Vec<_> = (1..=SEEDS)
        .map(|seed| {
            play(
                &Scenario {
                    seed,
                    ..scenario.clone()
                },
                way,
            )
        })
        .collect();
    let mean = |figure: fn(&quota_fleet::Figures) -> f64| runs.iter().map(figure).sum::<f64>() / SEEDS as f64;
    let worst = runs.iter().map(|run| run.worst_window).fold(0.0, f64::max);
    println!(
        "| {name} | {} | {} | {way:?} | {worst:.2} | {:.2} | {:.3} | {:.0} |",
        scenario.routers,
        scenario.rate,
        mean(|run| run.used),
        mean(|run| run.refused),
        mean(|run| run.messages)
    );
}
