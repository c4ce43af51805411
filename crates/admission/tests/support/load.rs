//! Seeded streams of requests.

use admission::{Job, Tokens};
use ids::{Priority, WorkspaceId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Request of one client.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    pub at: Duration,
    pub workspace: u32,
    pub rank: u8,
    pub tokens: Tokens,
    /// Actual tokens.
    pub actual: Tokens,
    pub slack: Duration,
}

impl Arrival {
    pub fn job(&self) -> Job {
        Job {
            workspace: WorkspaceId::from(format!("w{}", self.workspace)),
            weight: 1,
            priority: Priority(self.rank),
            tokens: self.tokens,
            deadline: Some(self.at + self.slack),
        }
    }
}

/// Requests of one kind with Poisson arrivals.
#[derive(Debug, Clone, Copy)]
pub struct Stream {
    workspace: u32,
    rank: u8,
    rate: f64,
    span: (f64, f64),
    tokens: Tokens,
    /// Ratio of estimated to actual output.
    pub estimate_ratio: f64,
    slack: f64,
}

impl Stream {
    /// Stream of `rate` requests per second for two minutes, of half a second each.
    pub fn of(workspace: u32, rate: f64) -> Self {
        let tokens = Tokens {
            uncached: 1_400,
            output: 40,
        };
        Self {
            workspace,
            rank: 5,
            rate,
            span: (0.0, 120.0),
            tokens,
            estimate_ratio: 1.0,
            slack: 4.0,
        }
    }

    pub fn rank(self, rank: u8) -> Self {
        Self { rank, ..self }
    }

    /// Start and end, seconds.
    pub fn span(self, from: f64, until: f64) -> Self {
        Self {
            span: (from, until),
            ..self
        }
    }

    /// Mean tokens. Each request has between half and one and a half of them.
    pub fn tokens(self, uncached: u64, output: u64) -> Self {
        Self {
            tokens: Tokens { uncached, output },
            ..self
        }
    }

    /// Seconds until the deadline.
    pub fn slack(self, slack: f64) -> Self {
        Self { slack, ..self }
    }
}

/// All requests of the streams, by time.
pub fn arrivals(streams: &[Stream], seed: u64) -> Vec<Arrival> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut all = Vec::new();
    for stream in streams {
        let mut at = stream.span.0;
        loop {
            at -= random.random::<f64>().max(1e-12).ln() / stream.rate;
            if at >= stream.span.1 {
                break;
            }
            let size = 0.5 + random.random::<f64>();
            all.push(arrival(stream, at, size));
        }
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

fn arrival(stream: &Stream, at: f64, size: f64) -> Arrival {
    let scaled = |tokens: u64, factor: f64| (tokens as f64 * factor) as u64;
    let uncached = scaled(stream.tokens.uncached, size);
    Arrival {
        at: seconds(at),
        workspace: stream.workspace,
        rank: stream.rank,
        tokens: Tokens {
            uncached,
            output: scaled(stream.tokens.output, size * stream.estimate_ratio),
        },
        actual: Tokens {
            uncached,
            output: scaled(stream.tokens.output, size),
        },
        slack: seconds(stream.slack),
    }
}

/// Duration of `seconds`.
pub fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}
