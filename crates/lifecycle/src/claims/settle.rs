//! Writing down how a claimed call ended, so that a retry at any router is told the same.

use super::acquire::ClaimEvent;
use super::held::HeldClaim;
use super::record::{ClaimState, EntryState, Record, StoredAnswer};
use ids::Version;
use std::time::Duration;

/// How a claimed call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint's whole answer.
    Done(StoredAnswer),
    /// It may have run.
    Unknown,
    /// It was never sent: the key becomes free again.
    NotSent,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettleStep {
    /// Write this value (absent: delete), expecting this version, under the lease of [`super::ClaimLease`].
    Write {
        /// The entry's new value.
        value: Option<String>,
        /// Version the entry must have now.
        expect: Version,
    },
    /// Read the entry.
    Read,
    /// Wait, then give [`ClaimEvent::Tick`].
    Wait(Duration),
    /// It is written down.
    Settled,
    /// It could not be written in time, or the claim has ended meanwhile: retries are told "in progress", then
    /// "unknown". Both are true.
    GaveUp,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Writing(Version),
    Reading,
    Paused(Option<Version>),
    Ended(bool),
}

/// The end of one claim. The caller's answer does not wait for it, but a shutdown does.
#[derive(Debug, Clone)]
pub struct Settle {
    record: Record,
    wanted: Option<ClaimState>,
    phase: Phase,
    pause: Duration,
    until: Duration,
}

impl Settle {
    /// Begins to write `outcome` down, and goes on trying for as long as `patience`.
    ///
    /// A claim that may have been sent is never released: [`Outcome::NotSent`] becomes unknown then.
    pub fn start(held: HeldClaim, outcome: Outcome, pause: Duration, until: Duration) -> (Self, SettleStep) {
        let wanted = match outcome {
            Outcome::Done(kept) => Some(ClaimState::Done(kept)),
            Outcome::NotSent if !held.used() => None,
            Outcome::Unknown | Outcome::NotSent => Some(ClaimState::Unknown),
        };
        let version = held.version;
        let mut settle = Self {
            record: held.record,
            wanted,
            phase: Phase::Reading,
            pause,
            until,
        };
        let step = settle.write(version);
        (settle, step)
    }

    /// Begins to free a key whose claim was perhaps written, and never sent.
    pub(super) fn release(record: Record, version: Version, pause: Duration, until: Duration) -> (Self, SettleStep) {
        let mut settle = Self {
            record,
            wanted: None,
            phase: Phase::Reading,
            pause,
            until,
        };
        let step = settle.write(version);
        (settle, step)
    }

    /// Takes an event and says what to do next.
    pub fn on(&mut self, event: ClaimEvent<'_>, now: Duration) -> SettleStep {
        match (self.phase, event) {
            (Phase::Ended(true), _) => SettleStep::Settled,
            (Phase::Ended(false), _) => SettleStep::GaveUp,
            (Phase::Writing(_), ClaimEvent::Written(_)) => self.end(true),
            (Phase::Writing(_), ClaimEvent::Conflict(seen)) | (Phase::Reading, ClaimEvent::Read(seen)) => {
                self.judge(seen)
            }
            _ if now > self.until => self.end(false),
            (Phase::Writing(_), ClaimEvent::Lost) => self.read(),
            (Phase::Writing(expect), ClaimEvent::Unreachable) => self.wait(Some(expect)),
            (Phase::Reading, ClaimEvent::Lost | ClaimEvent::Unreachable) => self.wait(None),
            (Phase::Paused(Some(expect)), _) => self.write(expect),
            (Phase::Paused(None), _) => self.read(),
            _ => SettleStep::Wait(self.pause),
        }
    }

    fn judge(&mut self, seen: EntryState<'_>) -> SettleStep {
        let Some(value) = seen.value else {
            return self.end(self.wanted.is_none());
        };
        let Some(found) = Record::from_value(value) else {
            return self.end(false);
        };
        if found.nonce != self.record.nonce {
            return self.end(false);
        }
        if self.wanted.as_ref() == Some(&found.state) {
            return self.end(true);
        }
        self.write(seen.version)
    }

    fn write(&mut self, expect: Version) -> SettleStep {
        self.phase = Phase::Writing(expect);
        let value = self.wanted.clone().map(|state| {
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

    fn wait(&mut self, expect: Option<Version>) -> SettleStep {
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
