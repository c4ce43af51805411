//! Numbers of jobs by state.

/// Numbers of jobs by state, where offered = refused + waiting + running + expired + finished + cancelled.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Offered so far.
    pub offered: u64,
    /// Refused when offered.
    pub refused: u64,
    /// Currently queued.
    pub waiting: u64,
    /// Currently holding a slot.
    pub running: u64,
    /// Refused after waiting.
    pub expired: u64,
    /// Started and finished.
    pub finished: u64,
    /// Cancelled while waiting or running.
    pub cancelled: u64,
}

impl Counts {
    /// Checks that every offered job is counted in exactly one state.
    ///
    /// # Panics
    ///
    /// If a job was lost or counted twice. Its client would get no answer or two, or its slot would never be freed.
    pub(super) fn check(&self, queued: usize, running: usize) {
        let ended = self.refused + self.expired + self.finished + self.cancelled;
        assert_eq!(
            self.offered,
            self.waiting + self.running + ended,
            "a job was lost or counted twice"
        );
        assert_eq!(self.waiting as usize, queued, "waiting count differs from the queue");
        assert_eq!(
            self.running as usize, running,
            "running count differs from the jobs that hold a slot"
        );
    }
}
