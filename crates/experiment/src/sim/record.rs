//! What callers received, and what the engines spent on it.

use crate::workload::Request;
use hdrhistogram::Histogram;
use std::time::Duration;

/// How long a router that restarted counts as fresh.
pub const FRESH: Duration = Duration::from_secs(10);

/// What became of one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Outcome {
    /// When the caller sent it.
    pub sent: Duration,
    /// Its workspace.
    pub workspace: usize,
    /// Whole blocks of its prompt.
    pub blocks: usize,
    /// Blocks found in the cache.
    pub cached: usize,
    /// How long the caller waits for the whole answer.
    pub patience: Duration,
    /// Until the caller had the first token.
    pub first: Option<Duration>,
    /// Until the caller had the whole answer.
    pub whole: Option<Duration>,
    /// Until it was refused.
    pub refused: Option<Duration>,
    /// Times it was sent again.
    pub retries: u32,
    /// Whether its router had restarted at most [`FRESH`] before.
    pub fresh: bool,
}

impl Outcome {
    /// Whether the whole answer came while the caller waited.
    pub fn in_time(&self) -> bool {
        self.whole.is_some_and(|time| time <= self.patience)
    }
}

/// Record of one run.
#[derive(Debug, Clone, Default)]
pub struct Record {
    /// One for each request.
    pub outcomes: Vec<Outcome>,
    /// Blocks that engines computed.
    pub computed: u64,
    /// Of them, blocks that some engine had computed before.
    pub recomputed: u64,
    /// Seconds that engines were busy, all together.
    pub busy: f64,
    /// Blocks that engines evicted.
    pub evicted: u64,
    /// Seconds from the last use of evicted blocks to their eviction, all together.
    pub idle: f64,
}

/// Figures of one run or of a part of it.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize)]
pub struct Figures {
    /// Requests.
    pub requests: usize,
    /// Share of prompt blocks found in caches.
    pub hit_rate: f64,
    /// Median time to first token, milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the time to first token, milliseconds.
    pub p99_ms: f64,
    /// Share of requests whose whole answer came in time.
    pub in_time: f64,
    /// Share of requests refused.
    pub refused: f64,
}

impl Record {
    /// An empty record.
    pub fn new(requests: &[Request]) -> Self {
        let outcome = |request: &Request| Outcome {
            sent: request.sent,
            workspace: request.workspace,
            blocks: request.chain.blocks().len(),
            cached: 0,
            patience: request.patience,
            first: None,
            whole: None,
            refused: None,
            retries: 0,
            fresh: false,
        };
        Self {
            outcomes: requests.iter().map(outcome).collect(),
            ..Self::default()
        }
    }

    /// The caller got the first token.
    pub fn first(&mut self, request: usize, cached: usize, now: Duration) {
        let outcome = &mut self.outcomes[request];
        outcome.first = Some(now - outcome.sent);
        outcome.cached = cached;
    }

    /// The caller got the whole answer.
    pub fn end(&mut self, request: usize, now: Duration) {
        let outcome = &mut self.outcomes[request];
        assert!(
            outcome.whole.is_none() && outcome.refused.is_none(),
            "a request ends once"
        );
        outcome.whole = Some(now - outcome.sent);
    }

    /// The caller was refused.
    pub fn refuse(&mut self, request: usize, now: Duration) {
        let outcome = &mut self.outcomes[request];
        assert!(
            outcome.whole.is_none() && outcome.refused.is_none(),
            "a request ends once"
        );
        outcome.refused = Some(now - outcome.sent);
    }

    /// The request has to be sent again.
    pub fn retry(&mut self, request: usize) {
        self.outcomes[request].retries += 1;
    }

    /// Recomputed blocks as a share of all prompt blocks answered.
    pub fn waste(&self) -> f64 {
        let answered = self.outcomes.iter().filter(|outcome| outcome.first.is_some());
        let blocks: usize = answered.map(|outcome| outcome.blocks).sum();
        self.recomputed as f64 / blocks.max(1) as f64
    }

    /// Figures of the requests that `of` selects.
    pub fn figures(&self, of: impl Fn(&Outcome) -> bool) -> Figures {
        let chosen: Vec<&Outcome> = self.outcomes.iter().filter(|outcome| of(outcome)).collect();
        let share = |count: usize| count as f64 / chosen.len().max(1) as f64;
        let answered = || chosen.iter().filter(|outcome| outcome.first.is_some());
        let blocks: usize = answered().map(|outcome| outcome.blocks).sum();
        let cached: usize = answered().map(|outcome| outcome.cached).sum();
        let mut times = Histogram::<u64>::new(3).expect("three digits are allowed");
        for first in answered().filter_map(|outcome| outcome.first) {
            times.record(first.as_micros() as u64).expect("the histogram grows");
        }
        Figures {
            requests: chosen.len(),
            hit_rate: cached as f64 / blocks.max(1) as f64,
            p50_ms: times.value_at_quantile(0.5) as f64 / 1000.0,
            p99_ms: times.value_at_quantile(0.99) as f64 / 1000.0,
            in_time: share(chosen.iter().filter(|outcome| outcome.in_time()).count()),
            refused: share(chosen.iter().filter(|outcome| outcome.refused.is_some()).count()),
        }
    }
}
