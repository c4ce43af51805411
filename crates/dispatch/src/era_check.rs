//! Whether the document in a store that may have been restored from a backup is the newest one.
//!
//! A restored store lacks the documents written after the backup until the operator writes the newest one again. No
//! router knows what is missing: even one that was connected until the store failed may not have received the last
//! write. A read in a new era therefore confirms nothing until the document is written in that era, or the operator has
//! had [`REWRITE_TIME`] to write it.
//!
//! A router that has just started cannot tell from the era whether the store was restored a moment ago. So the lease
//! holder records in the store which era is verified. A backup contains the record of an earlier era, or no record if
//! none was written before it. So a missing record alone doesn't show that the deployment starts for the first time.

use std::time::Duration;

/// Time after the return of a restored store within which operators have written the newest document again. Endpoints
/// have two seconds to register again; the rest covers the delay of the write.
pub const REWRITE_TIME: Duration = Duration::from_millis(2_500);

/// Time after the first start of a deployment in which its store holds everything that was written.
pub const FIRST_START_TIME: Duration = Duration::from_secs(2);

/// What a read of the store shows about its era.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EraView {
    /// Era of the store; 0 if it has none.
    pub era: u64,
    /// Revision of the last write of the document; none if there is no document.
    pub document: Option<u64>,
    /// The era that a lease holder recorded as verified.
    pub recorded: Option<u64>,
}

/// First read in an era that is not verified yet.
#[derive(Debug, Clone, Copy)]
struct FirstRead {
    era: u64,
    document: Option<u64>,
    at: Duration,
}

/// The eras that this router has read in.
#[derive(Debug, Clone, Copy, Default)]
pub struct EraCheck {
    verified: Option<u64>,
    first_read: Option<FirstRead>,
    first_start: Option<Duration>,
}

impl EraCheck {
    /// Creates the check of a router that started at `now` together with the whole deployment, for the first time.
    pub fn first_start(now: Duration) -> Self {
        Self {
            first_start: Some(now),
            ..Self::default()
        }
    }

    /// Newest era in which reads of the store are known to show the newest document.
    pub fn verified(&self) -> Option<u64> {
        self.verified
    }

    /// Records that another router has verified an era.
    pub fn verify(&mut self, era: u64) {
        self.verified = self.verified.max(Some(era));
    }

    /// Whether the response to a call sent at `sent`, which arrived at `now`, shows every document acknowledged before
    /// `sent`.
    pub fn is_verified(&mut self, view: EraView, sent: Duration, now: Duration) -> bool {
        if self.verified < Some(view.era) && self.proves_newest(view, sent, now) {
            self.verified = Some(view.era);
        }
        self.verified == Some(view.era)
    }

    fn proves_newest(&mut self, view: EraView, sent: Duration, now: Duration) -> bool {
        let is_new = self.verified.is_none() && self.first_read.is_none() && view.recorded.is_none();
        let is_first_start = is_new && self.first_start.is_some_and(|start| now < start + FIRST_START_TIME);
        let never_restored = is_new && view.era == 0;
        if is_first_start || never_restored || view.recorded == Some(view.era) {
            return true;
        }
        let Some(first) = self.first_read.filter(|first| first.era == view.era) else {
            self.first_read = Some(FirstRead {
                era: view.era,
                document: view.document,
                at: now,
            });
            return false;
        };
        let is_rewritten = view.document.is_some() && view.document != first.document;
        is_rewritten || sent >= first.at + REWRITE_TIME
    }
}
