//! What one decision costs.

use crate::workload::mix;
use placement::{Candidate, Choice, EndpointKey, Placer, PrefixChain};
use std::fmt::Write;
use std::time::{Duration, Instant};

/// Decisions timed for each row.
const DECISIONS: u64 = 20_000;
/// Distinct prompts.
const PROMPTS: u64 = 256;

/// One table row for each number of endpoints and blocks.
pub fn table() -> String {
    let mut text = String::from("| endpoints | blocks | decision µs |\n| ---: | ---: | ---: |\n");
    for endpoints in [12, 50, 100, 200, 400, 800] {
        for blocks in [16, 64, 256] {
            let micros = measure(endpoints, blocks);
            writeln!(text, "| {endpoints} | {blocks} | {micros:.2} |").expect("writing to a string does not fail");
        }
    }
    text
}

fn measure(endpoints: u64, blocks: u64) -> f64 {
    let mut placer = Placer::builder().build();
    let mut candidates: Vec<Candidate> = (0..endpoints).map(candidate).collect();
    candidates.sort_by_key(|candidate| candidate.endpoint);
    let chains: Vec<PrefixChain> = (0..PROMPTS).map(|prompt| chain(prompt, blocks)).collect();
    let mut spent = Duration::ZERO;
    for number in 0..DECISIONS {
        let chain = &chains[(number % PROMPTS) as usize];
        let now = Duration::from_micros(number * 100);
        let begin = Instant::now();
        let choice = placer.choose(chain, &candidates, now, mix(number));
        spent += begin.elapsed();
        let Choice::At(pick) = choice else { continue };
        let chosen = candidates[pick.index];
        placer.learn(chosen.endpoint, chosen.incarnation, chain, pick.cached, now);
    }
    spent.as_secs_f64() * 1e6 / DECISIONS as f64
}

fn candidate(number: u64) -> Candidate {
    Candidate {
        endpoint: EndpointKey(mix(number)),
        incarnation: 1.into(),
        near: number.is_multiple_of(4),
        in_flight: 3,
        limit: 32,
        queued: mix(number) % 10_000,
        speed: 1.0,
        weight: 1.0,
    }
}

fn chain(prompt: u64, blocks: u64) -> PrefixChain {
    let shared = [blocks / 4, blocks / 2, blocks * 3 / 4].map(|end| end as usize);
    let hashes = (0..blocks).map(|at| {
        if (at as usize) < shared[0] {
            mix(at)
        } else {
            mix(prompt << 32 | at)
        }
    });
    PrefixChain::from_hashes(1, hashes.collect(), &shared)
}
