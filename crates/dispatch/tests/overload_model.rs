//! Shedding by all routers of a deployment under a peak of long prompts: each router alone, and by sums of all routers.

use dispatch::fleet::{Backlog, BacklogSource, Fleet, FleetSettings};
use dispatch::overload::{Kind, KindLoad, Offer, add_kind};
use dispatch::retries::RetryLimits;
use ids::{DomainId, ServiceId};
use std::time::Duration;

const STEP_MS: u64 = 10;
/// The urgent and the patient kind: requests per second, tokens of each, and the delay of a first event without a queue.
const KINDS: [(Kind, f64, u64, f64); 2] = [
    (kind(0, 400), 203.0, 1_000, 150.0),
    (kind(2, 1_500), 164.0, 9_000, 400.0),
];
/// Tokens per millisecond that the engines read together: a quarter more than the usual load.
const CAPACITY: f64 = 2_100.0;
/// Peak of patient requests: times and factor of the requirements.
const PEAK: std::ops::Range<u64> = 4_000..11_000;
const PEAK_FACTOR: f64 = 2.5;
const END_MS: u64 = 20_000;
/// Interval between reports, as in `gateway::news`.
const REPORT_MS: u64 = 100;

const fn kind(rank: u8, objective_ms: u64) -> Kind {
    Kind {
        rank,
        objective: Duration::from_millis(objective_ms),
    }
}

/// Pseudo-random numbers (xorshift) with a fixed seed.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }

    fn below(&mut self, bound: u64) -> u64 {
        (self.next() >> 16) % bound
    }

    fn chance(&mut self, probability: f64) -> bool {
        (self.next() as f64 / u64::MAX as f64) < probability
    }
}

/// What happened to the requests of each kind.
#[derive(Debug, Default, Clone, Copy)]
struct Counts {
    offered: f64,
    refused: f64,
    late: f64,
}

#[derive(Debug, Default)]
struct Outcome {
    kinds: [Counts; 2],
    /// Time of the last late first event, and of the last refusal.
    last_late: u64,
    last_refusal: u64,
}

fn router() -> Fleet {
    Fleet::new(FleetSettings {
        domain: DomainId::from("d1"),
        retries: RetryLimits {
            ratio: 0.2,
            extra: 1,
            window: Duration::from_secs(10),
            routers: 1,
        },
        soft_staleness: Duration::from_secs(5),
        hard_staleness: Duration::from_secs(6),
    })
}

/// What each router is told now: the sum of all others.
fn totals(routers: &[Fleet], now: Duration) -> Vec<Vec<KindLoad>> {
    let own: Vec<Vec<KindLoad>> = routers
        .iter()
        .map(|router| {
            router
                .own_backlog(now)
                .kinds
                .into_iter()
                .flat_map(|(_, loads)| loads)
                .collect()
        })
        .collect();
    let mut sum = Vec::new();
    own.iter().flatten().for_each(|load| add_kind(&mut sum, load, 1.0));
    let without = |own: &Vec<KindLoad>| {
        let mut rest = sum.clone();
        own.iter().for_each(|load| add_kind(&mut rest, load, -1.0));
        rest
    };
    own.iter().map(without).collect()
}

fn simulate(count: usize, shares_sums: bool, seed: u64) -> Outcome {
    let service = ServiceId::from("chat");
    let mut random = Random(seed);
    let mut routers: Vec<Fleet> = (0..count).map(|_| router()).collect();
    let mut outcome = Outcome::default();
    let mut queue = 0.0;
    // First events and reports by the step in which they arrive.
    let steps = (END_MS / STEP_MS) as usize + 2_000;
    let mut events: Vec<Vec<(usize, usize, f64)>> = vec![Vec::new(); steps];
    let mut reports: Vec<Vec<(usize, Vec<KindLoad>)>> = vec![Vec::new(); steps];
    for step in 0..(END_MS / STEP_MS) as usize {
        let at = step as u64 * STEP_MS;
        let now = Duration::from_millis(at);
        for (router, index, delay) in std::mem::take(&mut events[step]) {
            let kind = KINDS[index].0;
            routers[router].record_kind_delay(&service, kind, Duration::from_secs_f64(delay / 1_000.0), now);
        }
        for (router, kinds) in std::mem::take(&mut reports[step]) {
            let backlog = Backlog {
                kinds: vec![(service.clone(), kinds)],
                ..Backlog::default()
            };
            routers[router].update_backlog(BacklogSource::Upstream, backlog, now);
        }
        if shares_sums && at.is_multiple_of(REPORT_MS) {
            for (router, kinds) in totals(&routers, now).into_iter().enumerate() {
                let arrives = step + (25 + random.below(175)).div_ceil(STEP_MS) as usize;
                reports[arrives].push((router, kinds));
            }
        }
        for (index, (kind, rate, tokens, base)) in KINDS.into_iter().enumerate() {
            let factor = if index == 1 && PEAK.contains(&at) {
                PEAK_FACTOR
            } else {
                1.0
            };
            // Ten trials a step approximate a Poisson process.
            for _ in 0..10 {
                if !random.chance(rate * factor * STEP_MS as f64 / 10_000.0) {
                    continue;
                }
                let router = random.below(count as u64) as usize;
                let counts = &mut outcome.kinds[index];
                counts.offered += 1.0;
                let offer = Offer {
                    kind,
                    is_patient: index == 1,
                    workspace: None,
                    tokens,
                };
                let admission = routers[router].admit_kind(&service, &offer, now);
                if !admission.admits(random.next()) {
                    counts.refused += 1.0;
                    outcome.last_refusal = at;
                    continue;
                }
                queue += tokens as f64;
                // Urgent prompts are admitted first, but wait for the piece that is being read.
                let wait = queue / CAPACITY * if index == 0 { 0.5 } else { 1.0 };
                let delay = base + wait;
                if delay > kind.objective.as_secs_f64() * 1_000.0 {
                    counts.late += 1.0;
                    outcome.last_late = at + delay as u64;
                }
                let arrives = step + (delay as u64).div_ceil(STEP_MS) as usize;
                if let Some(arriving) = events.get_mut(arrives) {
                    arriving.push((router, index, delay));
                }
            }
        }
        queue = (queue - CAPACITY * STEP_MS as f64).max(0.0);
    }
    outcome
}

/// Guards against routers that don't act on what others see, and against lateness that outlasts the peak. One router of
/// hundreds sees too little to shed, and requests stay late long after the peak. With the
/// sums, the number of routers must make no difference, urgent requests must not be refused, and shedding must end with
/// its cause.
#[test]
fn routers_shed_together_whatever_their_number() {
    let peak_share = (PEAK.end - PEAK.start) as f64 / END_MS as f64;
    for (count, seed) in [13, 136, 380]
        .into_iter()
        .flat_map(|count| [7, 8, 9].map(|seed| (count, seed)))
    {
        let alone = simulate(count, false, seed);
        let sums = simulate(count, true, seed);
        println!("{count} routers, alone: {alone:?}");
        println!("{count} routers, sums: {sums:?}");
        let [urgent, patient] = sums.kinds;
        assert!(
            urgent.late < alone.kinds[0].late,
            "{count}: more urgent requests late than alone"
        );
        assert!(urgent.late / urgent.offered < peak_share, "{count}: {urgent:?}");
        assert!(urgent.refused / urgent.offered < 0.01, "{count}: {urgent:?}");
        assert!(patient.refused / patient.offered < 0.5, "{count}: {patient:?}");
        assert!(sums.last_refusal < sums.last_late + 2_000, "{count}: {sums:?}");
    }
}
