//! Settings of a pool's admission.

use std::time::Duration;

/// Longest expected wait that a job may be admitted to. Applications show an answer to a person or control a fan: after
/// ten seconds clients have given up or retried, and their place in the queue only delays others.
const MAX_WAIT: Duration = Duration::from_secs(10);
/// Maximum number of queued jobs. This bounds memory only (about 200 bytes a job); the effective limit is the expected
/// wait.
const MAX_QUEUED: usize = 20_000;

/// Mechanisms of a pool. Each can be switched off to measure its effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mechanisms {
    /// Share slots by cost between workspaces; otherwise one queue for all.
    pub fair: bool,
    /// Let urgent jobs start earlier, within bounds; otherwise ranks are ignored.
    pub priorities: bool,
    /// Let short jobs start before long ones, within bounds.
    pub short_first: bool,
    /// Reserve slots for short jobs while short jobs are offered.
    pub reserve: bool,
    /// Refuse jobs that cannot meet their deadline; otherwise they wait in a queue bounded by its length.
    pub refuse: bool,
    /// Learn what share of the allowed output answers use; otherwise all of it is expected.
    pub learn: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self {
            fair: true,
            priorities: true,
            short_first: true,
            reserve: true,
            refuse: true,
            learn: true,
        }
    }
}

/// Settings of a pool's admission.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    pub(crate) max_wait: Duration,
    pub(crate) max_queued: usize,
    pub(crate) mechanisms: Mechanisms,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_wait: MAX_WAIT,
            max_queued: MAX_QUEUED,
            mechanisms: Mechanisms::default(),
        }
    }
}

impl Settings {
    /// Returns a builder with the defaults.
    pub fn builder() -> SettingsBuilder {
        SettingsBuilder::default()
    }
}

/// Builds [`Settings`].
#[derive(Debug, Clone, Copy, Default)]
pub struct SettingsBuilder(Settings);

impl SettingsBuilder {
    /// Longest expected wait that a job may be admitted to.
    pub fn max_wait(mut self, wait: Duration) -> Self {
        self.0.max_wait = wait;
        self
    }

    /// Maximum number of queued jobs.
    pub fn max_queued(mut self, jobs: usize) -> Self {
        self.0.max_queued = jobs;
        self
    }

    /// Enabled mechanisms.
    pub fn mechanisms(mut self, on: Mechanisms) -> Self {
        self.0.mechanisms = on;
        self
    }

    /// Builds the settings.
    pub fn build(self) -> Settings {
        self.0
    }
}
