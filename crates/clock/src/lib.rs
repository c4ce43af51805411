//! Time since the start of the process, suspended time included.
//!
//! `std::time::Instant` stands still while a VM is suspended. A lease, or the age of a belief, measured with it seems
//! younger than it is once the VM goes on, and a holder would give orders under a lease that has long lapsed.

use nix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Measures from the moment it was made.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Duration);

impl Clock {
    /// Starts now.
    pub fn start() -> Self {
        Self(since_boot())
    }

    /// Time since the start; it goes on while the VM is suspended.
    pub fn now(&self) -> Duration {
        since_boot().saturating_sub(self.0)
    }
}

/// # Panics
///
/// If the kernel has no such clock, which Linux has had since 2.6.39.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the kernel has a boot clock");
    Duration::from(time)
}
