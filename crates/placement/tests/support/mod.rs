//! Helpers shared by the test files.
#![allow(dead_code)]

use ids::Incarnation;
use placement::{Candidate, EndpointKey, PrefixChain, Report};
use std::time::Duration;

/// An idle candidate.
pub fn candidate(key: u64) -> Candidate {
    Candidate {
        endpoint: EndpointKey(key),
        incarnation: Incarnation(1),
        same_domain: true,
        in_flight: 0,
        limit: 8,
        queued: 0,
        speed: 1.0,
        weight: 1.0,
        cold: false,
        late_tokens: f64::INFINITY,
        penalty: 0.0,
    }
}

/// Idle candidates with distributed keys, sorted.
pub fn candidates(count: u64) -> Vec<Candidate> {
    let mut all: Vec<Candidate> = (1..=count).map(|number| candidate(spread(number))).collect();
    all.sort_by_key(|candidate| candidate.endpoint);
    all
}

/// A chain of a base, a tenant's prefix, a task's prefix and one block of its own, four blocks each except the last.
pub fn chain(scope: u64, tenant: u64, task: u64, own: u64) -> PrefixChain {
    let mut last = spread(scope);
    let content = |at: u64| match at {
        0..4 => 0,
        4..8 => tenant + 1,
        8..12 => task + 1,
        _ => own,
    };
    let blocks = (0..13).map(|at| {
        last = spread(last ^ spread(content(at) ^ (at << 40)));
        last
    });
    PrefixChain::from_hashes(spread(scope), blocks.collect(), &[4, 8, 12])
}

/// A report of `prefill` queued tokens and `requests` requests.
pub fn report(prefill: u64, requests: u32, measured: Duration) -> Report {
    Report {
        incarnation: Incarnation(1),
        requests,
        prefill,
        measured,
    }
}

/// Maps small numbers to values distributed over all of `u64`.
pub fn spread(number: u64) -> u64 {
    placement::score(number, EndpointKey(0x5eed))
}

/// Seconds.
pub fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}
