//! Simulates rate-limited endpoints with deployments of two sizes: the requests that endpoints get from all routers
//! together.

mod support;

use dispatch::fleet::{Choice, Fleet, RateUpdate};
use ids::{EndpointId, VmId};
use std::collections::BTreeMap;
use std::time::Duration;
use support::fleet::{at, context, entry, fleet, service};

/// Length of the window in which requests are counted.
const WINDOW: Duration = Duration::from_millis(4_000);
/// Time after the first answer with a rate limit from which a router's requests count.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Time until an endpoint answers.
const ANSWER_TIME: Duration = Duration::from_millis(200);
/// Peers that a router sends its updates to, and the longest delivery time.
const FANOUT: u64 = 32;
const MAX_DELIVERY_MS: u64 = 300;
/// Interval between two updates of a router.
const REPEAT_MS: u64 = 500;
/// Start and end of the overload, in ms.
const OVERLOAD: std::ops::Range<u64> = 2_000..14_000;
/// End of a simulation.
const END_MS: u64 = 18_000;

/// Parameters of a simulation.
struct Case {
    name: &'static str,
    routers: usize,
    endpoints: usize,
    /// Number of endpoints that report a rate limit.
    overloaded: usize,
    rate: f64,
    /// Requests per second from all clients.
    load: u64,
    /// Share of updates that are lost, in percent.
    lost_percent: u64,
    /// Share of the routers that each router knows, in percent.
    known_percent: u64,
    /// Smallest acceptable part of the rate that is used.
    min_used: f64,
}

/// Results of a simulation.
struct Results {
    /// Most requests counted in any window at any overloaded endpoint.
    max_in_window: usize,
    /// Mean requests per second at an overloaded endpoint, from two seconds after the start of the overload.
    used: f64,
    /// Mean requests per second at such an endpoint, from one second after the end of the overload.
    used_after: f64,
    /// Requests that were refused.
    refused: usize,
}

struct Simulation {
    seed: u64,
    fleets: Vec<Fleet>,
    /// When each router first received a rate limit from each endpoint.
    first_limited: BTreeMap<(usize, usize), Duration>,
    /// Requests by endpoint: arrival time and router.
    arrivals: Vec<Vec<(Duration, usize)>>,
    answers: BTreeMap<(Duration, u64), (usize, usize)>,
    updates: BTreeMap<(Duration, u64), (usize, Vec<RateUpdate>)>,
    refused: usize,
}

impl Simulation {
    fn new(case: &Case, seed: u64) -> Self {
        let entries: Vec<_> = (0..case.endpoints).map(|number| entry(&name(number), 1)).collect();
        let vms: Vec<VmId> = (0..case.routers)
            .map(|number| VmId::from(format!("vm-{number}")))
            .collect();
        let mut simulation = Self {
            seed,
            fleets: Vec::new(),
            first_limited: BTreeMap::new(),
            arrivals: vec![Vec::new(); case.endpoints],
            answers: BTreeMap::new(),
            updates: BTreeMap::new(),
            refused: 0,
        };
        for own in &vms {
            let mut fleet = fleet(&entries);
            let knows = |vm: &&VmId| *vm == own || simulation.draw(100) < case.known_percent;
            let known: Vec<VmId> = vms.iter().filter(knows).cloned().collect();
            fleet.set_routers(own, &known);
            simulation.fleets.push(fleet);
        }
        simulation
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.seed = self
            .seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.seed >> 33) % below
    }

    fn send(&mut self, router: usize, now: Duration) {
        let service = service();
        let context = context(&service, None);
        let draw = self.draw(u64::MAX);
        match self.fleets[router].choose(&context, draw, now) {
            Choice::Endpoint(picked) => {
                let endpoint = number(&picked.endpoint.id);
                self.arrivals[endpoint].push((now, router));
                let key = (now + ANSWER_TIME, self.draw(u64::MAX));
                self.answers.insert(key, (router, endpoint));
            }
            Choice::RateLimited(after) => {
                assert!(after <= Duration::from_secs(2), "{after:?}");
                self.refused += 1;
            }
            Choice::Full | Choice::Occupied(_) | Choice::Unavailable => panic!("no endpoint is full or unavailable"),
        }
    }

    fn answer(&mut self, case: &Case, now: Duration) {
        while let Some(due) = self.answers.first_entry().filter(|first| first.key().0 <= now) {
            let (router, endpoint) = due.remove();
            let is_overloaded = endpoint < case.overloaded && (at(OVERLOAD.start)..at(OVERLOAD.end)).contains(&now);
            let rate = is_overloaded.then_some(case.rate);
            if is_overloaded {
                self.first_limited.entry((router, endpoint)).or_insert(now);
            }
            if self.fleets[router].record_rate(&EndpointId::from(name(endpoint)), rate, now) {
                self.announce(case, router, now);
            }
        }
    }

    fn announce(&mut self, case: &Case, router: usize, now: Duration) {
        let updates = self.fleets[router].recent_rates(now);
        if updates.is_empty() {
            return;
        }
        for _ in 0..FANOUT.min(case.routers as u64 - 1) {
            let receiver = self.draw(case.routers as u64) as usize;
            if self.draw(100) >= case.lost_percent {
                let due = now + at(self.draw(MAX_DELIVERY_MS));
                let key = (due, self.draw(u64::MAX));
                self.updates.insert(key, (receiver, updates.clone()));
            }
        }
    }

    fn deliver(&mut self, case: &Case, now: Duration) {
        while let Some(due) = self.updates.first_entry().filter(|first| first.key().0 <= now) {
            let (receiver, mut updates) = due.remove();
            for update in &mut updates {
                update.reported_at = update.reported_at.saturating_sub(at(MAX_DELIVERY_MS));
            }
            if self.fleets[receiver].merge_rates(&updates, now) {
                self.announce(case, receiver, now);
            }
        }
    }

    /// Most requests counted at an endpoint in any window.
    fn max_in_window(&self, endpoint: usize) -> usize {
        let counts = |(when, router): &&(Duration, usize)| {
            let first_limited = self.first_limited.get(&(*router, endpoint));
            first_limited.is_some_and(|first_limited| *when >= *first_limited + SETTLE_TIME) && *when < at(OVERLOAD.end)
        };
        let times: Vec<Duration> = self.arrivals[endpoint]
            .iter()
            .filter(counts)
            .map(|(when, _)| *when)
            .collect();
        let within = |from: &Duration| {
            times
                .iter()
                .filter(|when| (*from..*from + WINDOW).contains(when))
                .count()
        };
        times.iter().map(within).max().unwrap_or_default()
    }

    /// Mean requests per second at the overloaded endpoints between two times in ms.
    fn mean(&self, case: &Case, from: u64, until: u64) -> f64 {
        let arrivals = self.arrivals[..case.overloaded].iter().flatten();
        let count = arrivals
            .filter(|(when, _)| (at(from)..at(until)).contains(when))
            .count();
        count as f64 * 1_000.0 / (until - from) as f64 / case.overloaded as f64
    }
}

fn name(number: usize) -> String {
    format!("e{number}")
}

fn number(id: &EndpointId) -> usize {
    id.as_str()[1..].parse().expect("a number")
}

fn simulate(case: &Case, seed: u64) -> Results {
    let mut simulation = Simulation::new(case, seed);
    for ms in 0..END_MS {
        let now = at(ms);
        simulation.answer(case, now);
        simulation.deliver(case, now);
        for router in 0..case.routers {
            if (ms + router as u64 * 37).is_multiple_of(REPEAT_MS) {
                simulation.announce(case, router, now);
            }
        }
        if simulation.draw(1_000) < case.load % 1_000 {
            let router = simulation.draw(case.routers as u64) as usize;
            simulation.send(router, now);
        }
        for _ in 0..case.load / 1_000 {
            let router = simulation.draw(case.routers as u64) as usize;
            simulation.send(router, now);
        }
    }
    Results {
        max_in_window: (0..case.overloaded)
            .map(|endpoint| simulation.max_in_window(endpoint))
            .max()
            .unwrap_or_default(),
        used: simulation.mean(case, OVERLOAD.start + 2_000, OVERLOAD.end),
        used_after: simulation.mean(case, OVERLOAD.end + 1_000, OVERLOAD.end + 4_000),
        refused: simulation.refused,
    }
}

const SMALL: Case = Case {
    name: "small",
    routers: 13,
    endpoints: 9,
    overloaded: 1,
    rate: 2.5,
    load: 90,
    lost_percent: 0,
    known_percent: 100,
    min_used: 0.3,
};
const LARGE: Case = Case {
    name: "large",
    routers: 125,
    endpoints: 40,
    overloaded: 3,
    rate: 2.5,
    load: 400,
    lost_percent: 0,
    known_percent: 100,
    min_used: 0.0,
};

/// Routers that each keep to the whole rate would send an overloaded endpoint as much as before; routers that split
/// it evenly would send nothing.
#[test]
fn routers_together_stay_within_a_rate_limit() {
    let cases = [
        SMALL,
        LARGE,
        Case {
            name: "small, low rate",
            rate: 0.5,
            ..SMALL
        },
        Case {
            name: "small, high rate",
            rate: 9.1,
            load: 200,
            ..SMALL
        },
        Case {
            name: "small, zero rate",
            rate: 0.0,
            min_used: 0.0,
            ..SMALL
        },
        Case {
            name: "large, low rate",
            rate: 0.5,
            ..LARGE
        },
        Case {
            name: "large, high rate",
            rate: 6.0,
            ..LARGE
        },
        Case {
            name: "small, updates lost",
            lost_percent: 100,
            ..SMALL
        },
        Case {
            name: "large, updates lost",
            lost_percent: 100,
            ..LARGE
        },
        Case {
            name: "small, half of the routers known",
            known_percent: 50,
            ..SMALL
        },
        Case {
            name: "large, half of the routers known",
            known_percent: 50,
            ..LARGE
        },
        Case {
            name: "small, all overloaded",
            overloaded: 9,
            min_used: 0.8,
            ..SMALL
        },
        Case {
            name: "large, all overloaded",
            overloaded: 40,
            min_used: 0.8,
            ..LARGE
        },
    ];
    for case in &cases {
        for seed in 1..=2 {
            let results = simulate(case, seed);
            let allowed = (6.0 * case.rate) as usize + 5;
            println!(
                "{}: at most {} of {allowed} in a window, used {:.2} of {}, afterwards {:.2}, refused {}",
                case.name, results.max_in_window, results.used, case.rate, results.used_after, results.refused
            );
            assert!(
                results.max_in_window <= allowed,
                "{}, seed {seed}: {}",
                case.name,
                results.max_in_window
            );
            assert!(results.used >= case.min_used * case.rate, "{}, seed {seed}", case.name);
        }
    }
}

/// Routers that send no requests to an endpoint get no answer that shows the end of its overload, and would never
/// resume.
#[test]
fn routers_resume_when_the_limit_is_lifted() {
    for seed in 1..=3 {
        let results = simulate(&SMALL, seed);
        let even = SMALL.load as f64 / SMALL.endpoints as f64;
        assert!(
            results.used_after >= even / 2.0,
            "seed {seed}: {} of {even}",
            results.used_after
        );
    }
}
