//! Simulates brittle endpoints, which fall over if they have to reject too many requests, with deployments of several
//! sizes.

mod support;

use std::thread;
use support::brittle_fleet::{Case, END_MS, GRACE_MS, RUN_MS, Simulation};

const SEEDS: [u64; 3] = [1, 2, 3];

/// Endpoints of a plain service behind the routers of a small deployment, under more load than they can run.
const SMALL: Case = Case {
    name: "small",
    routers: 13,
    endpoints: 12,
    slots: 6,
    room: 6,
    queue: 2,
    tolerance: 3,
    calm: 0.3,
    burst: 1.5,
    skew: 0.0,
    killed: 0,
    cut_off: 0,
    crashed: 0,
    min_served: 0.8,
};

/// Requests for endpoints that are full must not make them fall over, and what they can run must still be served.
#[test]
fn brittle_endpoints_survive_a_burst() {
    let cases = [
        SMALL,
        Case {
            name: "three routers",
            routers: 3,
            ..SMALL
        },
        Case {
            name: "sixty routers",
            routers: 60,
            ..SMALL
        },
        Case {
            name: "more rejections tolerated",
            tolerance: 20,
            ..SMALL
        },
        Case {
            name: "no rejection tolerated",
            tolerance: 0,
            ..SMALL
        },
        Case {
            name: "nothing waits in endpoints",
            queue: 0,
            ..SMALL
        },
        Case {
            name: "uneven load",
            skew: 0.7,
            min_served: 0.7,
            ..SMALL
        },
        Case {
            name: "routers killed",
            killed: 4,
            min_served: 0.65,
            ..SMALL
        },
        Case {
            name: "routers cut off",
            cut_off: 4,
            min_served: 0.65,
            ..SMALL
        },
        Case {
            name: "a third of the endpoints crashes",
            crashed: 4,
            min_served: 0.6,
            ..SMALL
        },
        Case {
            name: "all endpoints crash",
            crashed: 12,
            min_served: 0.5,
            ..SMALL
        },
        Case {
            name: "fewer places than routers",
            routers: 119,
            endpoints: 11,
            min_served: 0.2,
            ..SMALL
        },
        Case {
            name: "few endpoints",
            endpoints: 4,
            min_served: 0.7,
            ..SMALL
        },
        Case {
            name: "less room than slots",
            slots: 64,
            room: 20,
            min_served: 0.6,
            ..SMALL
        },
    ];
    let failed: Vec<String> = thread::scope(|scope| {
        let runs = cases.iter().flat_map(|case| SEEDS.map(|seed| (case, seed)));
        let plays: Vec<_> = runs.map(|(case, seed)| scope.spawn(move || play(case, seed))).collect();
        let failed = plays
            .into_iter()
            .filter_map(|play| play.join().expect("a finished play"));
        failed.collect()
    });
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Plays a case and returns why it failed.
fn play(case: &Case, seed: u64) -> Option<String> {
    let fit = (END_MS - GRACE_MS) as f64 / RUN_MS as f64 * (case.endpoints * case.room) as f64;
    let allowed = 2 + case.endpoints / 10;
    let results = Simulation::new(case, seed).run();
    let served = results.served as f64 / fit;
    println!("{} {seed}: {results:?}, {served:.2}", case.name);
    let failed = results.falls > allowed || served < case.min_served;
    failed.then(|| {
        let falls = results.falls;
        format!(
            "{} seed {seed}: {falls} falls, {allowed} are allowed; {served:.2} served",
            case.name
        )
    })
}
