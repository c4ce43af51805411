//! Long random runs of one placer and one load view, with invariants checked at each step.

mod support;

use ids::Incarnation;
use placement::{Candidate, Choice, EndpointKey, LoadView, Placer, Reason, Report, Ticket};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashSet;
use std::time::Duration;
use support::{chain, spread};

const STEPS: usize = 20_000;
const CAPACITY: usize = 100;
const SCOPES: u64 = 3;

struct Engine {
    key: EndpointKey,
    incarnation: u64,
    alive: bool,
    /// Blocks that this incarnation of the engine has been asked to compute.
    computed: HashSet<u64>,
}

struct Run {
    rng: ChaCha8Rng,
    now: Duration,
    engines: Vec<Engine>,
    placer: Placer,
    view: LoadView,
    flights: Vec<(usize, u64, Ticket, [u64; 4])>,
    capacity: usize,
}

impl Run {
    fn candidates(&mut self) -> Vec<Candidate> {
        let mut limit = || self.rng.random_range(1..6);
        let candidate = |engine: &Engine| {
            let estimate = self.view.estimate(engine.key, self.now);
            Candidate {
                endpoint: engine.key,
                incarnation: Incarnation(engine.incarnation),
                same_domain: engine.key.0.is_multiple_of(2),
                in_flight: estimate.in_flight,
                limit: limit(),
                queued: estimate.queued,
                speed: estimate.speed,
                weight: estimate.weight,
                cold: false,
                late_tokens: f64::INFINITY,
                penalty: 0.0,
            }
        };
        let alive = self.engines.iter().filter(|engine| engine.alive);
        let mut candidates: Vec<Candidate> = alive.map(candidate).collect();
        candidates.sort_by_key(|candidate| candidate.endpoint);
        candidates
    }

    fn place(&mut self) {
        let parts = [
            self.rng.random_range(0..SCOPES),
            self.rng.random_range(0..4),
            self.rng.random_range(0..4),
            self.rng.random_range(0..1000),
        ];
        let prompt = chain(parts[0], parts[1], parts[2], parts[3]);
        let candidates = self.candidates();
        let draw = self.rng.next_u64();
        let Choice::At(pick) = self.placer.choose(&prompt, &candidates, self.now, draw) else {
            assert!(
                candidates.iter().all(|candidate| !candidate.has_room()),
                "`Full` only if no candidate has room"
            );
            return;
        };
        let chosen = candidates[pick.index];
        let at = self
            .engines
            .iter()
            .position(|engine| engine.key == chosen.endpoint)
            .expect("a known engine");
        let engine = &mut self.engines[at];
        assert!(engine.alive, "a dead endpoint was chosen");
        assert_eq!(engine.incarnation, chosen.incarnation.0);
        assert!(chosen.has_room(), "the chosen endpoint is at its limit");
        assert!(pick.cached <= prompt.blocks().len());
        if pick.reason == Reason::Learnt {
            let held = prompt.blocks()[..pick.cached]
                .iter()
                .all(|block| engine.computed.contains(block));
            assert!(held, "index entries must be of this incarnation, workspace and weights");
        }
        engine.computed.extend(prompt.blocks());
        let ticket = self
            .view
            .record_placement(chosen.endpoint, chosen.incarnation, 1024, self.now);
        self.flights.push((at, engine.incarnation, ticket, parts));
    }

    fn reply(&mut self) {
        if self.flights.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.flights.len());
        let (engine, incarnation, ticket, parts) = self.flights.swap_remove(at);
        let key = self.engines[engine].key;
        let prompt = chain(parts[0], parts[1], parts[2], parts[3]);
        self.view.record_first_token(key, ticket, self.now);
        self.view.record_progress(key, ticket, 20, self.now);
        self.view.record_end(key, ticket);
        // Replies of a previous incarnation arrive late.
        self.placer.learn(key, Incarnation(incarnation), &prompt, 4, self.now);
    }

    fn inject_fault(&mut self) {
        let at = self.rng.random_range(0..self.engines.len());
        let kind = self.rng.random_range(0..4);
        let engine = &mut self.engines[at];
        match kind {
            0 => {
                engine.incarnation += 1;
                engine.computed.clear();
                self.placer.forget(engine.key);
            }
            1 => engine.alive = !engine.alive,
            2 => self.placer.mark_uncertain(engine.key),
            _ => {
                let incarnation = Incarnation(engine.incarnation);
                self.view.record_report(
                    engine.key,
                    Report {
                        incarnation,
                        requests: 3,
                        prefill: 9_000,
                        measured: self.now,
                    },
                );
            }
        }
    }

    fn check(&mut self) {
        assert!(self.placer.index().len() <= CAPACITY, "the index exceeds its capacity");
        let flights = |key| {
            self.flights
                .iter()
                .filter(|flight| self.engines[flight.0].key == key)
                .count() as u32
        };
        for engine in &self.engines {
            let estimate = self.view.estimate(engine.key, self.now);
            assert!(estimate.in_flight <= flights(engine.key), "a request is counted twice");
            assert!(estimate.speed > 0.0 && estimate.speed <= 1.0);
            assert!(estimate.weight > 0.0 && estimate.weight.is_finite());
        }
        let capacity = self.placer.scratch_capacity();
        assert!(capacity >= self.capacity);
        self.capacity = capacity;
    }
}

fn run(seed: u64) -> Run {
    let engine = |number| Engine {
        key: EndpointKey(spread(number)),
        incarnation: 1,
        alive: true,
        computed: HashSet::new(),
    };
    let mut run = Run {
        rng: ChaCha8Rng::seed_from_u64(seed),
        now: Duration::ZERO,
        engines: (1..=7).map(engine).collect(),
        placer: Placer::builder().capacity(CAPACITY).build(),
        view: LoadView::new(20_000.0),
        flights: Vec::new(),
        capacity: 0,
    };
    for _ in 0..STEPS {
        run.now += Duration::from_millis(run.rng.random_range(0..50));
        match run.rng.random_range(0..100) {
            0..50 => run.place(),
            50..97 => run.reply(),
            _ => run.inject_fault(),
        }
        run.check();
    }
    run
}

#[test]
fn invariants_hold_in_long_runs() {
    for seed in 1..=6 {
        let run = run(seed);
        let mut placer = run.placer.clone();
        let candidates = support::candidates(7);
        placer.choose(&chain(0, 1, 1, 1), &candidates, run.now, 7);
        let capacity = placer.scratch_capacity();
        for number in 0..500 {
            placer.choose(
                &chain(0, number % 4, number % 3, number),
                &candidates,
                run.now,
                spread(number),
            );
        }
        assert_eq!(
            placer.scratch_capacity(),
            capacity,
            "choices must not allocate once their buffers have grown"
        );
    }
}
