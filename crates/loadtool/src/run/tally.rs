//! Sums up what callers got.

use super::outcome::Outcome;
use crate::workload::{Arrival, Kind};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

const LONGEST_US: u64 = 120_000_000;
const DIGITS: u8 = 3;
const CURVE: [f64; 12] = [0.01, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.995, 0.999, 1.0];

/// Times of many calls, milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Times {
    /// How many.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 95 in 100 are below.
    pub p95: f64,
    /// 99 in 100 are below.
    pub p99: f64,
    /// The longest.
    pub max: f64,
    /// Quantile and value.
    pub curve: Vec<(f64, f64)>,
}

/// Arrivals of one second and what became of them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// Calls that arrived.
    pub calls: u64,
    /// Those with a whole answer.
    pub whole: u64,
    /// Longest time to first token, milliseconds.
    pub first_max: f64,
}

/// The record of a run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Scenario.
    pub name: String,
    /// Seed, seconds, calls a second.
    pub drawn: (u64, f64, f64),
    /// Faults that were switched.
    pub faults: u64,
    /// Calls and whole answers by kind.
    pub kinds: BTreeMap<String, (u64, u64)>,
    /// Attempts by how they ended.
    pub attempts: BTreeMap<String, u64>,
    /// Last attempts of calls without a whole answer.
    pub failures: BTreeMap<String, u64>,
    /// Time to first token of whole streams, from the arrival.
    pub first_token: Times,
    /// Time to the end of whole completions, from the arrival.
    pub completion: Times,
    /// Time to the whole answer of service calls.
    pub service: Times,
    /// Prompt tokens of whole completions.
    pub prompt_tokens: u64,
    /// Of those, found in a cache.
    pub cached_tokens: u64,
    /// Of those, computed although an engine had computed them before in this run.
    pub recomputed_tokens: u64,
    /// By second of arrival.
    pub seconds: Vec<Second>,
    /// Executions the runners counted, of keys and of requests.
    pub executions: (u64, u64),
    /// Most executions of one key.
    pub most_of_key: u64,
    /// The platform's counts: reads, writes, watches.
    pub platform: (u64, u64, u64),
    /// Errors of the accounting.
    pub problems: Vec<String>,
}

/// Sums up outcomes.
#[derive(Debug)]
pub struct Tally {
    record: Record,
    first: Histogram<u64>,
    completion: Histogram<u64>,
    service: Histogram<u64>,
    computed: HashSet<u64>,
    block_tokens: u64,
}

impl Times {
    /// Of a histogram of microseconds.
    pub fn of(histogram: &Histogram<u64>) -> Self {
        let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        Self {
            count: histogram.len(),
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
            max: histogram.max() as f64 / 1000.0,
            curve: CURVE.map(|quantile| (quantile, at(quantile))).to_vec(),
        }
    }
}

/// A histogram of microseconds.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(LONGEST_US, DIGITS).expect("constant bounds")
}

/// Adds a time to a histogram of microseconds.
pub fn add(histogram: &mut Histogram<u64>, time: Duration) {
    let micros = u64::try_from(time.as_micros()).unwrap_or(LONGEST_US);
    histogram.saturating_record(micros.max(1));
}

impl Tally {
    /// Nothing yet; blocks have `block_tokens`.
    pub fn new(name: &str, drawn: (u64, f64, f64), block_tokens: u64) -> Self {
        let seconds = vec![Second::default(); drawn.1.ceil() as usize];
        let record = Record {
            name: name.to_owned(),
            drawn,
            seconds,
            ..Record::default()
        };
        Self {
            record,
            first: histogram(),
            completion: histogram(),
            service: histogram(),
            computed: HashSet::new(),
            block_tokens,
        }
    }

    /// Adds the outcome of `arrival`, whose prompt's blocks have these hashes.
    pub fn add(&mut self, arrival: &Arrival, outcome: &Outcome, blocks: &[u64]) {
        let whole = outcome.is_whole();
        let kind = self
            .record
            .kinds
            .entry(kind_name(&arrival.kind).to_owned())
            .or_default();
        kind.0 += 1;
        kind.1 += u64::from(whole);
        for (attempt, _) in &outcome.attempts {
            *self.record.attempts.entry(attempt.name()).or_default() += 1;
        }
        if let (false, Some((last, _))) = (whole, outcome.attempts.last()) {
            *self.record.failures.entry(last.name()).or_default() += 1;
        }
        let first = outcome.got.filter(|_| streamed(arrival)).map(|got| got.first);
        if let Some(second) = self.record.seconds.get_mut(arrival.at.as_secs() as usize) {
            second.calls += 1;
            second.whole += u64::from(whole);
            second.first_max = second.first_max.max(first.unwrap_or_default().as_secs_f64() * 1000.0);
        }
        if whole && outcome.service {
            add(&mut self.service, outcome.took);
        }
        if let (true, Some(got)) = (whole, outcome.got) {
            if streamed(arrival) {
                add(&mut self.first, got.first);
            }
            add(&mut self.completion, outcome.took);
            self.record.prompt_tokens += got.prompt_tokens;
            self.record.cached_tokens += got.cached_tokens;
            let known = blocks.iter().take_while(|block| self.computed.contains(block)).count() as u64;
            self.record.recomputed_tokens += (known * self.block_tokens).saturating_sub(got.cached_tokens);
            self.computed.extend(blocks);
        }
    }

    /// The record so far.
    pub fn finish(mut self) -> Record {
        self.record.first_token = Times::of(&self.first);
        self.record.completion = Times::of(&self.completion);
        self.record.service = Times::of(&self.service);
        self.record
    }
}

fn streamed(arrival: &Arrival) -> bool {
    matches!(arrival.kind, Kind::Completion { streamed: true, .. })
}

fn kind_name(kind: &Kind) -> &'static str {
    match kind {
        Kind::Completion { streamed: true, .. } => "streamed completion",
        Kind::Completion { .. } => "whole completion",
        Kind::Idempotent => "idempotent call",
        Kind::Single { keyed: true } => "single-run call with key",
        Kind::Single { keyed: false } => "single-run call without key",
    }
}
