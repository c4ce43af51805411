//! Notices when this router has more work than its processor can do, and refuses new connections then.
//!
//! Nothing here refers to the rest of the router: callers pass the clock.

use async_std::task;
use clock::Clock;
use prometheus::IntCounter;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Interval of the timers whose lateness is measured.
const TIMER_INTERVAL: Duration = Duration::from_millis(50);

/// Decides on new connections.
pub struct Intake {
    state: Mutex<dispatch::intake::Intake>,
    refused: IntCounter,
}

impl Intake {
    /// Accepts all connections. `refused` counts those that are refused later.
    pub fn new(refused: IntCounter) -> Self {
        Self {
            state: Mutex::default(),
            refused,
        }
    }

    /// Whether a new connection is accepted.
    pub fn accepts(&self, now: Duration) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let accepts = state.accepts(rand::random(), now);
        if !accepts {
            self.refused.inc();
        }
        accepts
    }

    /// Measures how late timers are until the process exits.
    pub async fn measure(&self, clock: Clock) {
        loop {
            let due = clock.now() + TIMER_INTERVAL;
            task::sleep(TIMER_INTERVAL).await;
            self.record(clock.now().saturating_sub(due));
        }
    }

    fn record(&self, lateness: Duration) {
        let (before, now) = {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            let before = state.share();
            state.record(lateness);
            (before, state.share())
        };
        if before >= 1.0 && now < 1.0 {
            log::warn!(late_ms = lateness.as_millis() as u64; "clients: too much work, refusing new connections");
        } else if before < 1.0 && now >= 1.0 {
            log::info!("clients: accepting all connections again");
        }
    }
}
