//! Aggregates the outcomes of all calls.

use super::outcome::Outcome;
use crate::workload::{Arrival, Kind};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

const MAX_MICROS: u64 = 120_000_000;
const DIGITS: u8 = 3;
const CURVE: [f64; 12] = [0.01, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.995, 0.999, 1.0];

/// Times of many calls, milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Times {
    /// Number of calls.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub max: f64,
    /// Quantiles and their values.
    pub curve: Vec<(f64, f64)>,
}

/// Arrivals of one second and their outcomes.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// Calls that arrived.
    pub calls: u64,
    /// Calls with a complete answer.
    pub whole: u64,
    /// Longest time to first token, milliseconds.
    pub first_max: f64,
}

/// The record of a run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Scenario.
    pub name: String,
    /// Seed, seconds, calls per second.
    pub drawn: (u64, f64, f64),
    /// Number of fault actions.
    pub faults: u64,
    /// Calls and complete answers by kind.
    pub kinds: BTreeMap<String, (u64, u64)>,
    /// Attempts by result.
    pub attempts: BTreeMap<String, u64>,
    /// Last attempts of calls without a complete answer, by result.
    pub failures: BTreeMap<String, u64>,
    /// Time to first token of complete streams, from the arrival.
    pub first_token: Times,
    /// Time to the end of complete completions, from the arrival.
    pub completion: Times,
    /// Time to the complete answer of service calls.
    pub service: Times,
    /// Prompt tokens of complete completions.
    pub prompt_tokens: u64,
    /// Prompt tokens found in a cache.
    pub cached_tokens: u64,
    /// Prompt tokens computed although an engine had already computed them in this run.
    pub recomputed_tokens: u64,
    /// Results by second of arrival.
    pub seconds: Vec<Second>,
    /// Executions counted by the runners, by key and by request.
    pub executions: (u64, u64),
    /// Maximum number of executions of one key.
    pub most_of_key: u64,
    /// Reads, writes and watches counted by the platform.
    pub platform: (u64, u64, u64),
    /// Errors of the accounting.
    pub problems: Vec<String>,
}

/// Aggregates outcomes.
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
    /// Summarizes a histogram of microseconds.
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

/// Creates an empty histogram of microseconds.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_MICROS, DIGITS).expect("constant bounds")
}

/// Adds a time to a histogram of microseconds.
pub fn add(histogram: &mut Histogram<u64>, time: Duration) {
    let micros = u64::try_from(time.as_micros()).unwrap_or(MAX_MICROS);
    histogram.saturating_record(micros.max(1));
}

impl Tally {
    /// Creates an empty tally; a block has `block_tokens` tokens.
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
        let complete = outcome.is_complete();
        let kind = self
            .record
            .kinds
            .entry(kind_name(&arrival.kind).to_owned())
            .or_default();
        kind.0 += 1;
        kind.1 += u64::from(complete);
        for (attempt, _) in &outcome.attempts {
            *self.record.attempts.entry(attempt.name()).or_default() += 1;
        }
        if let (false, Some((last, _))) = (complete, outcome.attempts.last()) {
            *self.record.failures.entry(last.name()).or_default() += 1;
        }
        let first = outcome.usage.filter(|_| streamed(arrival)).map(|usage| usage.first);
        if let Some(second) = self.record.seconds.get_mut(arrival.at.as_secs() as usize) {
            second.calls += 1;
            second.whole += u64::from(complete);
            second.first_max = second.first_max.max(first.unwrap_or_default().as_secs_f64() * 1000.0);
        }
        if complete && outcome.service {
            add(&mut self.service, outcome.duration);
        }
        if let (true, Some(usage)) = (complete, outcome.usage) {
            if streamed(arrival) {
                add(&mut self.first, usage.first);
            }
            add(&mut self.completion, outcome.duration);
            self.record.prompt_tokens += usage.prompt_tokens;
            self.record.cached_tokens += usage.cached_tokens;
            let computed_before = blocks.iter().take_while(|block| self.computed.contains(block)).count() as u64;
            self.record.recomputed_tokens += (computed_before * self.block_tokens).saturating_sub(usage.cached_tokens);
            self.computed.extend(blocks);
        }
    }

    /// Returns the record.
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
