//! The scenarios: load patterns with faults.

use crate::deployment::Deployment;
use crate::policy::{Policy, QueueKind, Settings};
use crate::sim::{Fault, Record, Setup, run};
use crate::workload::{Shape, Window, requests};
use std::time::Duration;

/// Length of a run.
pub const LENGTH: Duration = Duration::from_secs(120);
/// Requests sent before this are not counted, because the rate is rising and caches are filling.
pub const WARM_UP: Duration = Duration::from_secs(40);

/// A scenario.
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    /// Name in tables.
    pub name: &'static str,
    /// Rate as a share of the deployment's capacity.
    pub load: f64,
    /// Shape of the workload.
    pub shape: Shape,
    /// Faults by time.
    pub faults: Vec<(Duration, Fault)>,
}

/// All scenarios in table order.
pub fn all() -> Vec<Scenario> {
    let plain = Shape::default();
    let shape = |name, load, shape| Scenario {
        name,
        load,
        shape,
        faults: Vec::new(),
    };
    let fault = |name, load, faults| Scenario {
        name,
        load,
        shape: plain,
        faults,
    };
    let burst = Shape {
        burst: window(60, 65, 2.0),
        ..plain
    };
    let client = Shape {
        hot_client: window(60, 90, 1.2),
        ..plain
    };
    vec![
        shape("steady 80%", 0.8, plain),
        shape("burst", 0.8, burst),
        shape("hot caller", 0.8, client),
        shape(
            "hot prefix shifts",
            0.8,
            Shape {
                hot_prefix: true,
                ..plain
            },
        ),
        fault(
            "slow endpoint",
            0.7,
            vec![at(50, Fault::Slow(6, 4.0)), at(90, Fault::Slow(6, 1.0))],
        ),
        shape(
            "long among short",
            0.5,
            Shape {
                long_percent: 5,
                ..plain
            },
        ),
        shape("overload 2x", 2.0, plain),
        shape("overload 4x", 4.0, plain),
        fault("all routers restart", 0.8, vec![at(60, Fault::RestartAll)]),
        fault(
            "one router restarts",
            0.8,
            (0..8)
                .map(|number| at(40 + 10 * number, Fault::Restart(number as usize)))
                .collect(),
        ),
        fault("engine crash", 0.7, vec![at(60, Fault::Crash(3))]),
    ]
}

fn window(from: u64, until: u64, factor: f64) -> Option<Window> {
    Some(Window {
        from: Duration::from_secs(from),
        until: Duration::from_secs(until),
        factor,
    })
}

fn at(second: u64, fault: Fault) -> (Duration, Fault) {
    (Duration::from_secs(second), fault)
}

/// The configuration of a run, apart from the scenario.
#[derive(Debug, Clone)]
pub struct RunConfig {
    /// The deployment.
    pub deployment: Deployment,
    /// The policy.
    pub policy: Policy,
    /// Settings of every router.
    pub settings: Settings,
    /// Requests per second at a load of 1.
    pub capacity: f64,
    /// Seed of the workload and of random choices.
    pub seed: u64,
}

/// Requests that one router may have in flight at one engine: its slots.
const MAX_IN_FLIGHT: u32 = 32;
/// Maximum number of requests that wait at one router.
const MAX_QUEUE: usize = 16;

/// Runs one scenario.
pub fn run_scenario(config: &RunConfig, scenario: &Scenario) -> Record {
    let rate = config.capacity * scenario.load;
    let calls = requests(&config.deployment, &scenario.shape, rate, LENGTH, config.seed);
    run(&setup(config, scenario), &calls, config.seed)
}

fn setup(config: &RunConfig, scenario: &Scenario) -> Setup {
    Setup {
        deployment: config.deployment,
        policy: config.policy,
        settings: config.settings.clone(),
        faults: scenario.faults.clone(),
        limit: MAX_IN_FLIGHT,
        queue: MAX_QUEUE,
    }
}

/// Share of requests that must be answered in time at a deployment's capacity.
const IN_TIME_TARGET: f64 = 0.99;
/// Steps of the binary search for the capacity.
const SEARCH_STEPS: usize = 6;
/// Upper bound of the requests per second that one engine can serve.
const MAX_ENGINE_RATE: f64 = 8.0;

/// The requests per second at which the oracle answers 99 of 100 in time. This is a load of 1.
pub fn capacity(deployment: Deployment, seed: u64) -> f64 {
    let scenario = &all()[0];
    let (mut low, mut high) = (0.0, MAX_ENGINE_RATE * deployment.engines as f64);
    for _ in 0..SEARCH_STEPS {
        let rate = (low + high) / 2.0;
        let config = RunConfig {
            deployment,
            policy: Policy::Oracle,
            settings: Settings {
                queue_kind: QueueKind::Fifo,
                ..Settings::default()
            },
            capacity: rate / scenario.load,
            seed,
        };
        let figures = run_scenario(&config, scenario).figures(|outcome| outcome.sent >= WARM_UP);
        if figures.in_time >= IN_TIME_TARGET {
            low = rate;
        } else {
            high = rate;
        }
    }
    low
}
