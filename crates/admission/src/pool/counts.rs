//! Jobs counted by what became of them.

/// Jobs counted by what became of them; offered = refused + waiting + running + expired + finished + cancelled.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Offered so far.
    pub offered: u64,
    /// Refused when they were offered.
    pub refused: u64,
    /// In the queue now.
    pub waiting: u64,
    /// Holding a slot now.
    pub running: u64,
    /// Refused after they had waited.
    pub expired: u64,
    /// Finished after they had started.
    pub finished: u64,
    /// Cancelled while they waited or ran.
    pub cancelled: u64,
}

impl Counts {
    /// Every offered job is in exactly one place.
    ///
    /// # Panics
    ///
    /// If a job was lost or counted twice: its caller would get no answer, or two, or its slot would never be free again.
    pub(super) fn check(&self, queued: usize, running: usize) {
        let ended = self.refused + self.expired + self.finished + self.cancelled;
        assert_eq!(
            self.offered,
            self.waiting + self.running + ended,
            "a job was lost or counted twice"
        );
        assert_eq!(self.waiting as usize, queued, "the queue lost a job");
        assert_eq!(self.running as usize, running, "a slot was lost");
    }
}
