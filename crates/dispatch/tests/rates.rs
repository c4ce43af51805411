//! Rates that endpoints in need name, before fleets of two sizes: what endpoints get of all routers together.

mod support;

use dispatch::fleet::{Choice, Fleet, PickContext, RateUpdate};
use ids::{EndpointId, VmId};
use std::collections::BTreeMap;
use std::time::Duration;
use support::fleet::{at, entry, fleet, service};

/// Time over which requests are counted.
const WINDOW: Duration = Duration::from_millis(4_000);
/// Time after its first answer with a rate from which on a router's requests count.
const TOLD: Duration = Duration::from_millis(500);
/// Time until an endpoint's answer begins.
const ANSWER: Duration = Duration::from_millis(200);
/// Routers that one router tells its news, and how long that takes at most, milliseconds.
const HEARERS: u64 = 32;
const HOP: u64 = 300;
/// Time between two tellings, milliseconds.
const REPEAT: u64 = 500;
/// The need begins and ends, milliseconds.
const NEED: std::ops::Range<u64> = 2_000..14_000;
/// End of a play, milliseconds.
const END: u64 = 18_000;

/// A play.
struct Case {
    name: &'static str,
    routers: usize,
    endpoints: usize,
    /// Endpoints that name a rate.
    needy: usize,
    rate: f64,
    /// Requests a second from all callers.
    load: u64,
    /// Share of news that is lost, percent.
    lost: u64,
    /// Part of the routers that each router knows, percent.
    known: u64,
    /// Least part of the rate that is used.
    least: f64,
}

/// What came of a play.
struct Played {
    /// Most requests that counted in any window, of any endpoint in need.
    most: usize,
    /// Requests a second that an endpoint in need got on average, from two seconds after its need began.
    used: f64,
    /// Requests a second that it got after its need had been over for a second.
    after: f64,
    /// Requests that were refused.
    refused: usize,
}

struct World {
    seed: u64,
    fleets: Vec<Fleet>,
    /// When each router was first told of an endpoint's rate.
    told: BTreeMap<(usize, usize), Duration>,
    /// Arrivals at endpoints: when, and from whom.
    arrivals: Vec<Vec<(Duration, usize)>>,
    answers: BTreeMap<(Duration, u64), (usize, usize)>,
    news: BTreeMap<(Duration, u64), (usize, Vec<RateUpdate>)>,
    refused: usize,
}

impl World {
    fn new(case: &Case, seed: u64) -> Self {
        let entries: Vec<_> = (0..case.endpoints).map(|number| entry(&name(number), 1)).collect();
        let vms: Vec<VmId> = (0..case.routers)
            .map(|number| VmId::from(format!("vm-{number}")))
            .collect();
        let mut world = Self {
            seed,
            fleets: Vec::new(),
            told: BTreeMap::new(),
            arrivals: vec![Vec::new(); case.endpoints],
            answers: BTreeMap::new(),
            news: BTreeMap::new(),
            refused: 0,
        };
        for own in &vms {
            let mut fleet = fleet(&entries);
            let knows = |vm: &&VmId| *vm == own || world.draw(100) < case.known;
            let known: Vec<VmId> = vms.iter().filter(knows).cloned().collect();
            fleet.set_routers(own, &known);
            world.fleets.push(fleet);
        }
        world
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.seed = self
            .seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.seed >> 33) % below
    }

    fn send(&mut self, router: usize, now: Duration) {
        let wish = PickContext {
            service: &service(),
            avoid: &[],
            prompt: None,
            isolated: None,
        };
        let draw = self.draw(u64::MAX);
        match self.fleets[router].choose(&wish, draw, now) {
            Choice::Endpoint(picked) => {
                let endpoint = number(&picked.endpoint.id);
                self.arrivals[endpoint].push((now, router));
                let key = (now + ANSWER, self.draw(u64::MAX));
                self.answers.insert(key, (router, endpoint));
            }
            Choice::RateLimited(after) => {
                assert!(after <= Duration::from_secs(2), "{after:?}");
                self.refused += 1;
            }
            Choice::Full | Choice::Unavailable => panic!("no endpoint is full"),
        }
    }

    fn answer(&mut self, case: &Case, now: Duration) {
        while let Some(due) = self.answers.first_entry().filter(|first| first.key().0 <= now) {
            let (router, endpoint) = due.remove();
            let in_need = endpoint < case.needy && (at(NEED.start)..at(NEED.end)).contains(&now);
            let rate = in_need.then_some(case.rate);
            if in_need {
                self.told.entry((router, endpoint)).or_insert(now);
            }
            if self.fleets[router].record_rate(&EndpointId::from(name(endpoint)), rate, now) {
                self.tell(case, router, now);
            }
        }
    }

    fn tell(&mut self, case: &Case, router: usize, now: Duration) {
        let news = self.fleets[router].recent_rates(now);
        if news.is_empty() {
            return;
        }
        for _ in 0..HEARERS.min(case.routers as u64 - 1) {
            let hearer = self.draw(case.routers as u64) as usize;
            if self.draw(100) >= case.lost {
                let due = now + at(self.draw(HOP));
                let key = (due, self.draw(u64::MAX));
                self.news.insert(key, (hearer, news.clone()));
            }
        }
    }

    fn hear(&mut self, case: &Case, now: Duration) {
        while let Some(due) = self.news.first_entry().filter(|first| first.key().0 <= now) {
            let (hearer, mut news) = due.remove();
            for news in &mut news {
                news.reported_at = news.reported_at.saturating_sub(at(HOP));
            }
            if self.fleets[hearer].merge_rates(&news, now) {
                self.tell(case, hearer, now);
            }
        }
    }

    /// Most arrivals that count at an endpoint in any window.
    fn most(&self, endpoint: usize) -> usize {
        let counts = |(when, router): &&(Duration, usize)| {
            let told = self.told.get(&(*router, endpoint));
            told.is_some_and(|told| *when >= *told + TOLD) && *when < at(NEED.end)
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

    /// Mean arrivals a second of endpoints in need, between two times in milliseconds.
    fn mean(&self, case: &Case, from: u64, until: u64) -> f64 {
        let arrivals = self.arrivals[..case.needy].iter().flatten();
        let count = arrivals
            .filter(|(when, _)| (at(from)..at(until)).contains(when))
            .count();
        count as f64 * 1_000.0 / (until - from) as f64 / case.needy as f64
    }
}

fn name(number: usize) -> String {
    format!("e{number}")
}

fn number(id: &EndpointId) -> usize {
    id.as_str()[1..].parse().expect("a number")
}

fn play(case: &Case, seed: u64) -> Played {
    let mut world = World::new(case, seed);
    for ms in 0..END {
        let now = at(ms);
        world.answer(case, now);
        world.hear(case, now);
        for router in 0..case.routers {
            if (ms + router as u64 * 37).is_multiple_of(REPEAT) {
                world.tell(case, router, now);
            }
        }
        if world.draw(1_000) < case.load % 1_000 {
            let router = world.draw(case.routers as u64) as usize;
            world.send(router, now);
        }
        for _ in 0..case.load / 1_000 {
            let router = world.draw(case.routers as u64) as usize;
            world.send(router, now);
        }
    }
    Played {
        most: (0..case.needy)
            .map(|endpoint| world.most(endpoint))
            .max()
            .unwrap_or_default(),
        used: world.mean(case, NEED.start + 2_000, NEED.end),
        after: world.mean(case, NEED.end + 1_000, NEED.end + 4_000),
        refused: world.refused,
    }
}

const SMALL: Case = Case {
    name: "small",
    routers: 13,
    endpoints: 9,
    needy: 1,
    rate: 2.5,
    load: 90,
    lost: 0,
    known: 100,
    least: 0.3,
};
const LARGE: Case = Case {
    name: "large",
    routers: 125,
    endpoints: 40,
    needy: 3,
    rate: 2.5,
    load: 400,
    lost: 0,
    known: 100,
    least: 0.0,
};

/// Routers that keep to a rate each by itself send an endpoint in need as much as ever; those that split it evenly send nothing.
#[test]
fn all_routers_together_keep_to_a_rate() {
    let cases = [
        SMALL,
        LARGE,
        Case {
            name: "small, little",
            rate: 0.5,
            ..SMALL
        },
        Case {
            name: "small, much",
            rate: 9.1,
            load: 200,
            ..SMALL
        },
        Case {
            name: "small, nothing",
            rate: 0.0,
            least: 0.0,
            ..SMALL
        },
        Case {
            name: "large, little",
            rate: 0.5,
            ..LARGE
        },
        Case {
            name: "large, much",
            rate: 6.0,
            ..LARGE
        },
        Case {
            name: "small, news is lost",
            lost: 100,
            ..SMALL
        },
        Case {
            name: "large, news is lost",
            lost: 100,
            ..LARGE
        },
        Case {
            name: "small, others are half known",
            known: 50,
            ..SMALL
        },
        Case {
            name: "large, others are half known",
            known: 50,
            ..LARGE
        },
        Case {
            name: "small, all in need",
            needy: 9,
            least: 0.8,
            ..SMALL
        },
        Case {
            name: "large, all in need",
            needy: 40,
            least: 0.8,
            ..LARGE
        },
    ];
    for case in &cases {
        for seed in 1..=2 {
            let played = play(case, seed);
            let allowed = (6.0 * case.rate) as usize + 5;
            println!(
                "{}: most {} of {allowed}, used {:.2} of {}, after {:.2}, refused {}",
                case.name, played.most, played.used, case.rate, played.after, played.refused
            );
            assert!(played.most <= allowed, "{}, seed {seed}: {}", case.name, played.most);
            assert!(played.used >= case.least * case.rate, "{}, seed {seed}", case.name);
        }
    }
}

/// Routers that send an endpoint nothing get no answer that says that its need is over, and would stay away.
#[test]
fn routers_come_back_when_the_need_is_over() {
    for seed in 1..=3 {
        let played = play(&SMALL, seed);
        let even = SMALL.load as f64 / SMALL.endpoints as f64;
        assert!(played.after >= even / 2.0, "seed {seed}: {} of {even}", played.after);
    }
}
