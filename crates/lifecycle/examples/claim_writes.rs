//! Compares the platform calls of at-most-once claims: one entry per claim, or claims grouped in shared entries.
//!
//! A deterministic simulation of 14 routers and one platform. Calls arrive at random routers. Each call needs one write
//! of its claim before it is sent and one write of its result afterwards. In a grouped design, the key selects one of
//! `shards` entries. A router collects the pending writes of an entry for `linger` microseconds and writes them with
//! one compare-and-swap. After a conflict it merges and writes again. With `read`, it first reads the entry, so that
//! only concurrent writes conflict. With `owner`, all calls of an entry go to one router, so that there are no
//! conflicts.
//!
//! Run: `cargo run --release -p lifecycle --example claim_writes`

use ids::Digest;
use lifecycle::claims::{Body, ClaimState, KEY_RETENTION, Nonce, Record, StoredAnswer};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const ROUTERS: u64 = 14;
/// One-way latency to the platform, microseconds.
const ONE_WAY: u64 = 2_000;
/// Duration of a call at the endpoint, microseconds.
const WORK: u64 = 50_000;
const SECONDS: u64 = 60;
const MICROS: u64 = 1_000_000;
const VALUE_LIMIT: f64 = 1e6;

#[derive(Clone, Copy)]
struct Design {
    name: &'static str,
    shards: u64,
    linger: u64,
    read: bool,
    owner: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Call {
        router: u64,
        shard: u64,
    },
    Result {
        router: u64,
        shard: u64,
    },
    Write {
        router: u64,
        shard: u64,
    },
    Arrive {
        router: u64,
        shard: u64,
    },
    Answer {
        router: u64,
        shard: u64,
        version: u64,
        ok: bool,
    },
}

#[derive(Default)]
struct Group {
    version: u64,
    claims: Vec<u64>,
    results: u64,
    in_flight: Option<(usize, u64)>,
    scheduled: bool,
}

#[derive(Default)]
struct Totals {
    calls: u64,
    writes: u64,
    conflicts: u64,
    reads: u64,
    delays: Vec<u64>,
}

struct Simulation {
    design: Design,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    order: u64,
    versions: BTreeMap<u64, u64>,
    groups: BTreeMap<(u64, u64), Group>,
    totals: Totals,
}

impl Simulation {
    fn push(&mut self, time: u64, event: Event) {
        self.order += 1;
        self.queue.push(Reverse((time, self.order, event)));
    }

    fn schedule(&mut self, router: u64, shard: u64, linger: u64) {
        let group = self.groups.entry((router, shard)).or_default();
        if group.scheduled || group.in_flight.is_some() || (group.claims.is_empty() && group.results == 0) {
            return;
        }
        group.scheduled = true;
        self.push(self.now + linger, Event::Write { router, shard });
    }

    fn step(&mut self, event: Event) {
        let linger = self.design.linger;
        match event {
            Event::Call { router, shard } => {
                self.totals.calls += 1;
                let now = self.now;
                self.groups.entry((router, shard)).or_default().claims.push(now);
                self.schedule(router, shard, linger);
            }
            Event::Result { router, shard } => {
                self.groups.entry((router, shard)).or_default().results += 1;
                self.schedule(router, shard, linger);
            }
            Event::Write { router, shard } => self.send(router, shard),
            Event::Arrive { router, shard } => self.arrive(router, shard),
            Event::Answer {
                router,
                shard,
                version,
                ok,
            } => self.answer(router, shard, version, ok),
        }
    }

    fn send(&mut self, router: u64, shard: u64) {
        let read = self.design.read;
        let current = self.versions.get(&shard).copied().unwrap_or(0);
        let group = self.groups.get_mut(&(router, shard)).expect("a scheduled group exists");
        group.scheduled = false;
        group.in_flight = Some((group.claims.len(), group.results));
        let mut delay = ONE_WAY;
        if read && group.version != current {
            // The read returns the entry as of half its round trip.
            group.version = current;
            self.totals.reads += 1;
            delay += 2 * ONE_WAY;
        }
        self.push(self.now + delay, Event::Arrive { router, shard });
    }

    fn arrive(&mut self, router: u64, shard: u64) {
        let version = self.versions.entry(shard).or_default();
        let ok = self.groups[&(router, shard)].version == *version;
        *version += u64::from(ok);
        let version = *version;
        self.totals.writes += 1;
        self.totals.conflicts += u64::from(!ok);
        self.push(
            self.now + ONE_WAY,
            Event::Answer {
                router,
                shard,
                version,
                ok,
            },
        );
    }

    fn answer(&mut self, router: u64, shard: u64, version: u64, ok: bool) {
        let now = self.now;
        let group = self.groups.get_mut(&(router, shard)).expect("an answered group exists");
        group.version = version;
        let Some((claims, results)) = group.in_flight.take() else {
            return;
        };
        if !ok {
            self.schedule(router, shard, 0);
            return;
        }
        group.results -= results;
        let won: Vec<u64> = group.claims.drain(..claims).collect();
        for started in won {
            self.totals.delays.push(now - started);
            self.push(now + WORK, Event::Result { router, shard });
        }
        self.schedule(router, shard, self.design.linger);
    }
}

fn run(design: Design, rate: u64) -> Totals {
    let mut simulation = Simulation {
        design,
        now: 0,
        queue: BinaryHeap::new(),
        order: 0,
        versions: BTreeMap::new(),
        groups: BTreeMap::new(),
        totals: Totals::default(),
    };
    let mut random = ChaCha8Rng::seed_from_u64(5);
    for _ in 0..rate * SECONDS {
        let shard = random.random_range(0..design.shards);
        let router = if design.owner {
            shard % ROUTERS
        } else {
            random.random_range(0..ROUTERS)
        };
        let time = random.random_range(0..SECONDS * MICROS);
        simulation.push(time, Event::Call { router, shard });
    }
    while let Some(Reverse((time, _, event))) = simulation.queue.pop() {
        simulation.now = time;
        simulation.step(event);
    }
    simulation.totals.delays.sort_unstable();
    simulation.totals
}

fn record_bytes() -> f64 {
    let body = Body::from_bytes(&[b'x'; 120]);
    let kept = StoredAnswer {
        status: 200,
        content: Some("application/json".into()),
        body,
    };
    let record = Record {
        nonce: Nonce::from(7),
        call: Digest::of(b"call"),
        at: MICROS,
        state: ClaimState::Done(kept),
    };
    record.to_value().len() as f64
}

fn print(design: Design, rate: u64) {
    let totals = run(design, rate);
    let calls = totals.calls as f64;
    let retained = (rate * KEY_RETENTION.as_secs()) as f64;
    let entry = if design.shards == u64::MAX {
        1.0
    } else {
        (retained / design.shards as f64).max(1.0)
    } * record_bytes();
    let writes = totals.writes as f64 / calls;
    let percentile = |share: usize| totals.delays[totals.delays.len() * share / 100] as f64 / 1e3;
    println!(
        "| {rate} | {} | {writes:.2} | {:.2} | {:.2} | {:.0} | {:.0} | {:.0} | {:.1} | {} |",
        design.name,
        totals.conflicts as f64 / calls,
        totals.reads as f64 / calls,
        writes * rate as f64,
        percentile(50),
        percentile(99),
        entry / 1e3,
        if entry <= VALUE_LIMIT { "yes" } else { "no" },
    );
}

fn main() {
    let shared = |name, shards, linger, read| Design {
        name,
        shards,
        linger,
        read,
        owner: false,
    };
    let designs = [
        shared("entry per claim", u64::MAX, 0, false),
        shared("16 entries, no linger", 16, 0, false),
        shared("16 entries, no linger, read", 16, 0, true),
        shared("16 entries, 100 ms", 16, 100_000, true),
        shared("256 entries, 100 ms", 256, 100_000, true),
        shared("4096 entries, 100 ms", 4096, 100_000, true),
        Design {
            owner: true,
            ..shared("14 entries, owner, no linger", 14, 0, false)
        },
        Design {
            owner: true,
            ..shared("14 entries, owner, 20 ms", 14, 20_000, false)
        },
        Design {
            owner: true,
            ..shared("14 entries, owner, 100 ms", 14, 100_000, false)
        },
        Design {
            owner: true,
            ..shared("4096 entries, owner, 100 ms", 4096, 100_000, false)
        },
    ];
    println!(
        "record of a done call: {} bytes; remembered {} h",
        record_bytes(),
        KEY_RETENTION.as_secs() / 3600
    );
    println!(
        "| calls/s | design | writes/call | of these conflicts | reads/call | writes/s | claim p50 ms | p99 ms | entry kB | fits 1 MB |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for rate in [10, 100, 1000] {
        designs.iter().for_each(|design| print(*design, rate));
    }
}
