//! Results of a run: what clients received and what engines computed.

use crate::workload::Request;
use hdrhistogram::Histogram;
use std::time::Duration;

/// How long a router counts as fresh after a restart.
pub const FRESH_PERIOD: Duration = Duration::from_secs(10);

/// The outcome of one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Outcome {
    /// When the client sent it.
    pub sent: Duration,
    /// Its workspace.
    pub workspace: usize,
    /// Full blocks of its prompt.
    pub blocks: usize,
    /// Blocks found in the cache.
    pub cached: usize,
    /// How long the client waits for the complete answer.
    pub timeout: Duration,
    /// Time until the client received the first token.
    pub first: Option<Duration>,
    /// Time until the client received the complete answer.
    pub complete: Option<Duration>,
    /// Time until it was refused.
    pub refused: Option<Duration>,
    /// The number of retries.
    pub retries: u32,
    /// Whether its router had restarted at most [`FRESH_PERIOD`] before.
    pub fresh: bool,
}

impl Outcome {
    /// Whether the complete answer arrived before the timeout.
    pub fn in_time(&self) -> bool {
        self.complete.is_some_and(|time| time <= self.timeout)
    }
}

/// The results of one run.
#[derive(Debug, Clone, Default)]
pub struct Record {
    /// The outcomes, one per request.
    pub outcomes: Vec<Outcome>,
    /// Blocks that engines computed.
    pub computed: u64,
    /// Computed blocks that some engine had already computed before.
    pub recomputed: u64,
    /// Total seconds that engines were busy.
    pub busy: f64,
    /// Blocks that engines evicted.
    pub evicted: u64,
    /// Total seconds from the last use of evicted blocks to their eviction.
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
    /// Share of requests whose complete answer arrived in time.
    pub in_time: f64,
    /// Share of requests refused.
    pub refused: f64,
}

impl Record {
    /// Creates an empty record.
    pub fn new(requests: &[Request]) -> Self {
        let outcome = |request: &Request| Outcome {
            sent: request.sent,
            workspace: request.workspace,
            blocks: request.chain.blocks().len(),
            cached: 0,
            timeout: request.timeout,
            first: None,
            complete: None,
            refused: None,
            retries: 0,
            fresh: false,
        };
        Self {
            outcomes: requests.iter().map(outcome).collect(),
            ..Self::default()
        }
    }

    /// Records the first token.
    pub fn first(&mut self, request: usize, cached: usize, now: Duration) {
        let outcome = &mut self.outcomes[request];
        outcome.first = Some(now - outcome.sent);
        outcome.cached = cached;
    }

    /// Records the complete answer.
    pub fn end(&mut self, request: usize, now: Duration) {
        let outcome = &mut self.outcomes[request];
        assert!(
            outcome.complete.is_none() && outcome.refused.is_none(),
            "a request ends once"
        );
        outcome.complete = Some(now - outcome.sent);
    }

    /// Records a refusal.
    pub fn refuse(&mut self, request: usize, now: Duration) {
        let outcome = &mut self.outcomes[request];
        assert!(
            outcome.complete.is_none() && outcome.refused.is_none(),
            "a request ends once"
        );
        outcome.refused = Some(now - outcome.sent);
    }

    /// Records a retry.
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
        let selected: Vec<&Outcome> = self.outcomes.iter().filter(|outcome| of(outcome)).collect();
        let share = |count: usize| count as f64 / selected.len().max(1) as f64;
        let answered = || selected.iter().filter(|outcome| outcome.first.is_some());
        let blocks: usize = answered().map(|outcome| outcome.blocks).sum();
        let cached: usize = answered().map(|outcome| outcome.cached).sum();
        let mut times = Histogram::<u64>::new(3).expect("three digits are allowed");
        for first in answered().filter_map(|outcome| outcome.first) {
            times.record(first.as_micros() as u64).expect("the histogram grows");
        }
        Figures {
            requests: selected.len(),
            hit_rate: cached as f64 / blocks.max(1) as f64,
            p50_ms: times.value_at_quantile(0.5) as f64 / 1000.0,
            p99_ms: times.value_at_quantile(0.99) as f64 / 1000.0,
            in_time: share(selected.iter().filter(|outcome| outcome.in_time()).count()),
            refused: share(selected.iter().filter(|outcome| outcome.refused.is_some()).count()),
        }
    }
}
