//! The process's monotonic clock, as the core wants it: time since the start.

use std::time::{Duration, Instant};

/// Measures from the moment it was made.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// Starts now.
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.0.elapsed()
    }
}
