//! Measures the cost of one placement decision: hashing the prompt, choosing an endpoint and learning from the reply.

use crate::workload::mix;
use hdrhistogram::Histogram;
use placement::{Candidate, Choice, EndpointKey, LoadView, Placer, PrefixChain, Report};
use std::fmt::Write;
use std::time::{Duration, Instant};

/// Measured decisions per row.
const DECISIONS: u64 = 20_000;
/// Decisions before the measurement, while buffers and the index grow.
const WARM_UP: u64 = 2_000;
/// Distinct prompts.
const PROMPTS: u64 = 256;
/// Bytes of a block.
const BLOCK_BYTES: usize = 4096;

/// Measurements for one combination of endpoints and blocks.
#[derive(Debug, Clone)]
struct Cost {
    estimate: Histogram<u64>,
    choose: Histogram<u64>,
    learn: Histogram<u64>,
    hash: Histogram<u64>,
    allocations: u64,
}

impl Cost {
    fn new() -> Self {
        let times = Histogram::new(3).expect("three digits are allowed");
        Self {
            estimate: times.clone(),
            choose: times.clone(),
            learn: times.clone(),
            hash: times,
            allocations: 0,
        }
    }
}

/// Measures and formats one table row per combination of endpoints and blocks.
pub fn table() -> String {
    let mut text = String::from(
        "| endpoints | blocks | estimate all µs, median | choose µs, median | p99 | learn µs, median | hash the prompt µs, median | choices that \
         allocated, of 20,000 |\n| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n",
    );
    for endpoints in [12, 50, 100, 200, 400, 800] {
        for blocks in [16, 64, 256] {
            let cost = measure(endpoints, blocks);
            let micros = |times: &Histogram<u64>, quantile| times.value_at_quantile(quantile) as f64 / 1000.0;
            let all = [&cost.estimate, &cost.choose, &cost.learn, &cost.hash];
            let [estimate, choose, learn, hash] = all.map(|times| micros(times, 0.5));
            let slow = micros(&cost.choose, 0.99);
            writeln!(
                text,
                "| {endpoints} | {blocks} | {estimate:.2} | {choose:.2} | {slow:.2} | {learn:.2} | {hash:.2} | {} |",
                cost.allocations
            )
            .expect("writing to a string does not fail");
        }
    }
    text
}

fn measure(endpoints: u64, blocks: u64) -> Cost {
    let mut placer = Placer::builder().build();
    let mut candidates: Vec<Candidate> = (0..endpoints).map(candidate).collect();
    candidates.sort_by_key(|candidate| candidate.endpoint);
    let mut view = LoadView::new(20_000.0);
    for candidate in &candidates {
        let report = Report {
            incarnation: 1.into(),
            requests: 5,
            prefill: 4_000,
            measured: Duration::ZERO,
        };
        view.record_report(candidate.endpoint, report);
        (0..3).for_each(|_| {
            view.record_placement(candidate.endpoint, 1.into(), 2_000, Duration::ZERO);
        });
    }
    let chains: Vec<PrefixChain> = (0..PROMPTS).map(|prompt| chain(prompt, blocks)).collect();
    let text = vec![b'x'; blocks as usize * BLOCK_BYTES];
    let ends = [blocks as usize / 4 * BLOCK_BYTES, blocks as usize / 2 * BLOCK_BYTES];
    let mut cost = Cost::new();
    for number in 0..WARM_UP + DECISIONS {
        if number == WARM_UP {
            cost = Cost::new();
        }
        let chain = &chains[(number % PROMPTS) as usize];
        let now = Duration::from_micros(number * 100);
        timed(&mut cost.estimate, || {
            for candidate in &mut candidates {
                let estimate = view.estimate(candidate.endpoint, now);
                (candidate.speed, candidate.weight) = (estimate.speed, estimate.weight);
            }
        });
        let scratch = placer.scratch_capacity();
        let choice = timed(&mut cost.choose, || placer.choose(chain, &candidates, now, mix(number)));
        cost.allocations += u64::from(placer.scratch_capacity() != scratch);
        timed(&mut cost.hash, || {
            PrefixChain::from_seed(number, &text, BLOCK_BYTES, &ends)
        });
        let Choice::At(pick) = choice else { continue };
        let chosen = candidates[pick.index];
        timed(&mut cost.learn, || {
            placer.learn(chosen.endpoint, chosen.incarnation, chain, pick.cached, now);
        });
    }
    cost
}

fn timed<T>(times: &mut Histogram<u64>, operation: impl FnOnce() -> T) -> T {
    let begin = Instant::now();
    let result = std::hint::black_box(operation());
    times
        .record(begin.elapsed().as_nanos() as u64)
        .expect("the histogram grows");
    result
}

fn candidate(number: u64) -> Candidate {
    Candidate {
        endpoint: EndpointKey(mix(number)),
        incarnation: 1.into(),
        same_domain: number.is_multiple_of(4),
        in_flight: 3,
        limit: 32,
        queued: mix(number) % 10_000,
        speed: 1.0,
        weight: 1.0,
        cold: false,
        late_tokens: f64::INFINITY,
        penalty: 0.0,
    }
}

fn chain(prompt: u64, blocks: u64) -> PrefixChain {
    let shared = [blocks / 4, blocks / 2, blocks * 3 / 4].map(|end| end as usize);
    let hashes = (0..blocks).map(|at| {
        let own = (prompt << 32) | at;
        mix(if (at as usize) < shared[0] { at } else { own })
    });
    PrefixChain::from_hashes(1, hashes.collect(), &shared)
}
