//! Settings of a pool's admission.

use std::time::Duration;

/// Longest expected wait that a job may be admitted to. Applications here show an answer to a person or steer a fan:
/// beyond ten seconds callers have gone or asked again, and their place in the queue only delays others.
const MAX_WAIT: Duration = Duration::from_secs(10);
/// Most jobs in the queue, a bound on memory only (about 200 bytes a job); the expected wait is the bound that counts.
const MAX_QUEUED: usize = 20_000;

/// Mechanisms of a pool, each of which can be switched off to show what it does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mechanisms {
    /// Share by cost between workspaces; otherwise one queue for all.
    pub fair: bool,
    /// Let urgent jobs go ahead within bounds; otherwise ranks are ignored.
    pub priorities: bool,
    /// Let short jobs go ahead of long ones within bounds.
    pub short_first: bool,
    /// Keep slots that long jobs may not take while short jobs are about.
    pub reserve: bool,
    /// Refuse jobs whose deadline is out of reach; otherwise they wait in a queue bounded by its length.
    pub refuse: bool,
    /// Learn how much of the allowed output answers use; otherwise all of it is expected.
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
    /// Starts from the defaults.
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

    /// Most jobs in the queue.
    pub fn max_queued(mut self, jobs: usize) -> Self {
        self.0.max_queued = jobs;
        self
    }

    /// Mechanisms that are on.
    pub fn mechanisms(mut self, on: Mechanisms) -> Self {
        self.0.mechanisms = on;
        self
    }

    /// The settings.
    pub fn build(self) -> Settings {
        self.0
    }
}
