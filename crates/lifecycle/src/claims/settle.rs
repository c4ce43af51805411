//! Stores the outcome of a claimed call, so that a retry at any router gets the same answer.

use super::acquire::ClaimEvent;
use super::held::HeldClaim;
use super::record::{ClaimState, EntryState, Record, StoredAnswer};
use ids::Version;
use std::time::Duration;

/// How a claimed call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It ran, with this complete answer.
    Done(StoredAnswer),
    /// It may have run.
    Unknown,
    /// It was never sent. The key becomes free again.
    NotSent,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettleStep {
    /// Write this value, or delete the entry, under the lease of [`super::ClaimLease`] if it has the expected version.
    Write {
        /// The entry's new value. Absent to delete the entry.
        value: Option<String>,
        /// Version that the entry must currently have.
        expect: Version,
    },
    /// Read the entry.
    Read,
    /// Wait, then report [`ClaimEvent::Tick`].
    Wait(Duration),
    /// The outcome is stored.
    Settled,
    /// The outcome could not be stored in time, or the claim was removed meanwhile. Retries get "in progress" and later
    /// "unknown", which are both correct.
    GaveUp,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Writing(Version),
    Reading,
    Paused(Option<Version>),
    Ended(bool),
}

/// Stores the outcome of one claim. A shutdown waits for it; the answer to the client need not.
#[derive(Debug, Clone)]
pub struct Settle {
    record: Record,
    target: Option<ClaimState>,
    phase: Phase,
    pause: Duration,
    until: Duration,
}

impl Settle {
    /// Starts to store `outcome`, retrying every `pause` until `until`.
    ///
    /// The claim of a call that may have been sent is never released: in this case [`Outcome::NotSent`] is stored as
    /// unknown.
    pub fn start(held: HeldClaim, outcome: Outcome, pause: Duration, until: Duration) -> (Self, SettleStep) {
        let target = match outcome {
            Outcome::Done(kept) => Some(ClaimState::Done(kept)),
            Outcome::NotSent if !held.send_permitted() => None,
            Outcome::Unknown | Outcome::NotSent => Some(ClaimState::Unknown),
        };
        let version = held.version;
        let mut settle = Self {
            record: held.record,
            target,
            phase: Phase::Reading,
            pause,
            until,
        };
        let step = settle.write(version);
        (settle, step)
    }

    /// Starts to free a key whose claim may have been written, but whose call was never sent.
    pub(super) fn release(record: Record, version: Version, pause: Duration, until: Duration) -> (Self, SettleStep) {
        let mut settle = Self {
            record,
            target: None,
            phase: Phase::Reading,
            pause,
            until,
        };
        let step = settle.write(version);
        (settle, step)
    }

    /// Handles an event and returns what to do next.
    pub fn on(&mut self, event: ClaimEvent<'_>, now: Duration) -> SettleStep {
        match (self.phase, event) {
            (Phase::Ended(true), _) => SettleStep::Settled,
            (Phase::Ended(false), _) => SettleStep::GaveUp,
            (Phase::Writing(_), ClaimEvent::Written(_)) => self.end(true),
            (Phase::Writing(_), ClaimEvent::Conflict(entry)) | (Phase::Reading, ClaimEvent::Read(entry)) => {
                self.evaluate(entry)
            }
            _ if now > self.until => self.end(false),
            (Phase::Writing(_), ClaimEvent::Lost) => self.read(),
            (Phase::Writing(expect), ClaimEvent::Unreachable) => self.pause_before(Some(expect)),
            (Phase::Reading, ClaimEvent::Lost | ClaimEvent::Unreachable) => self.pause_before(None),
            (Phase::Paused(Some(expect)), _) => self.write(expect),
            (Phase::Paused(None), _) => self.read(),
            _ => SettleStep::Wait(self.pause),
        }
    }

    fn evaluate(&mut self, entry: EntryState<'_>) -> SettleStep {
        let Some(value) = entry.value else {
            return self.end(self.target.is_none());
        };
        let Some(found) = Record::from_value(value) else {
            return self.end(false);
        };
        if found.nonce != self.record.nonce {
            return self.end(false);
        }
        if self.target.as_ref() == Some(&found.state) {
            return self.end(true);
        }
        self.write(entry.version)
    }

    fn write(&mut self, expect: Version) -> SettleStep {
        self.phase = Phase::Writing(expect);
        let value = self.target.clone().map(|state| {
            Record {
                state,
                ..self.record.clone()
            }
            .to_value()
        });
        SettleStep::Write { value, expect }
    }

    fn read(&mut self) -> SettleStep {
        self.phase = Phase::Reading;
        SettleStep::Read
    }

    fn pause_before(&mut self, expect: Option<Version>) -> SettleStep {
        self.phase = Phase::Paused(expect);
        SettleStep::Wait(self.pause)
    }

    fn end(&mut self, settled: bool) -> SettleStep {
        self.phase = Phase::Ended(settled);
        if settled {
            SettleStep::Settled
        } else {
            SettleStep::GaveUp
        }
    }
}
