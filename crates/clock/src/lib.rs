//! A monotonic clock that also advances while the VM is suspended.
//!
//! `std::time::Instant` does not advance while a VM is suspended. After the VM resumes, the ages of leases and of
//! observed states measured with it would be too low, and a lease holder would send orders under an expired lease.

use nix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Measures the time since it was started.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Duration);

impl Clock {
    /// Starts a clock now.
    pub fn start() -> Self {
        Self(since_boot())
    }

    /// Time since the start, including time in which the VM was suspended.
    pub fn now(&self) -> Duration {
        since_boot().saturating_sub(self.0)
    }
}

/// # Panics
///
/// If the kernel has no boot-time clock. Linux has had it since 2.6.39.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the kernel has a boot-time clock");
    Duration::from(time)
}
