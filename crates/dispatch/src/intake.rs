//! How many new connections a router accepts while it has more work than its processor can do.
//!
//! Load pattern: the balancer hands most new connections of a failure domain to one router. What that router reads waits in
//! it until its client gives up, whereas a client whose connection is closed unread goes to another router at once. So
//! the router takes in only as much as it can serve. Work waits if several timers in a row were late. A single late timer only
//! shows that the process was paused, and a few that others had the processor for a moment.

use std::time::Duration;

/// Lateness of timers from which connections are refused. A request waits several times as long, since it needs several
/// turns, and the objectives of routes begin at a few hundred milliseconds.
const MAX_LATENESS: Duration = Duration::from_millis(100);
/// Lateness of timers in a row, added up, from which connections are refused.
const MAX_TOTAL: Duration = Duration::from_millis(700);
/// Factor of the share of accepted connections for each [`MAX_LATENESS`] by which timers are late.
const DECREASE: f64 = 0.5;
/// Smallest such factor at one timer.
const MIN_FACTOR: f64 = 0.1;
/// Growth of that share at each timer that is not late.
const INCREASE: f64 = 0.04;
/// Smallest share, so that the router notices when it can serve more.
const MIN_SHARE: f64 = 0.02;
/// Longest time without an accepted connection, if any come. A router that is ready must not shut its clients out.
const MAX_CLOSED: Duration = Duration::from_millis(500);

/// How many new connections a router accepts.
#[derive(Debug, Clone)]
pub struct Intake {
    /// Lateness of the last timer.
    last: Duration,
    /// Lateness of the last timers added up, back to one that was in time.
    total: Duration,
    share: f64,
    accepted_at: Duration,
}

impl Default for Intake {
    fn default() -> Self {
        Self {
            last: Duration::ZERO,
            total: Duration::ZERO,
            share: 1.0,
            accepted_at: Duration::ZERO,
        }
    }
}

impl Intake {
    /// Records how late a timer was.
    pub fn record(&mut self, lateness: Duration) {
        let waiting = lateness.min(self.last);
        self.last = lateness;
        self.total = if lateness > MAX_LATENESS {
            self.total + lateness
        } else {
            Duration::ZERO
        };
        if waiting > MAX_LATENESS && self.total > MAX_TOTAL {
            let factor = DECREASE.powf(waiting.as_secs_f64() / MAX_LATENESS.as_secs_f64());
            self.share = (self.share * factor.max(MIN_FACTOR)).max(MIN_SHARE);
        } else {
            self.share = (self.share + INCREASE).min(1.0);
        }
    }

    /// Share of new connections that are accepted, from 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Whether a new connection is accepted; `draw` is uniform from 0 to 1.
    pub fn accepts(&mut self, draw: f64, now: Duration) -> bool {
        let accepts = draw < self.share || now.saturating_sub(self.accepted_at) >= MAX_CLOSED;
        if accepts {
            self.accepted_at = now;
        }
        accepts
    }
}
