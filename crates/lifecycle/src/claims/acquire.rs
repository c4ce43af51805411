//! Winning a claim.

use super::held::Held;
use super::record::{ClaimState, Kept, Nonce, Record, Seen};
use super::settle::{Settle, SettleStep};
use ids::{Digest, Version};
use std::time::Duration;
use wire::client::Ran;

/// What the caller states of this attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Attempt {
    /// The caller has never used this key before.
    First,
    /// Nothing stated: an earlier attempt may have run.
    Unstated,
}

/// Times of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimLimits {
    /// How long to try to win the claim; never longer than the caller waits.
    pub patience: Duration,
    /// Longest time from the beginning of the claim's first write to the send. A holder that was paused for
    /// longer must not send: its caller has gone, and others may already be told that the outcome is unknown.
    pub margin: Duration,
    /// Age after which a claim without a result counts as left by a dead router. Longer than the margin, the
    /// longest call and the difference of two wall clocks together.
    pub lapse: Duration,
    /// Pause between two tries while the platform does not answer.
    pub pause: Duration,
}

impl Default for ClaimLimits {
    fn default() -> Self {
        Self {
            patience: Duration::from_secs(2),
            margin: Duration::from_secs(5),
            lapse: Duration::from_secs(120),
            pause: Duration::from_millis(50),
        }
    }
}

/// Which call wants the key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Drawn anew for each attempt.
    pub nonce: Nonce,
    /// Digest of the call.
    pub call: Digest,
    /// Wall clock, milliseconds since 1970.
    pub wall: u64,
    /// What the caller states.
    pub attempt: Attempt,
}

/// What came of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimEvent<'a> {
    /// The write took effect and gave this version.
    Written(Version),
    /// The write was refused, as the entry is this now.
    Conflict(Seen<'a>),
    /// A read's answer.
    Read(Seen<'a>),
    /// No answer came: a write may have taken effect, or may still do so.
    Lost,
    /// Nothing was sent to the platform (no connection).
    Unreachable,
    /// The pause is over.
    Tick,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep {
    /// Write this value, expecting this version, under the lease of [`super::ClaimLease`].
    Write {
        /// The entry's new value.
        value: String,
        /// Version the entry must have now.
        expect: Version,
    },
    /// Read the entry.
    Read,
    /// Wait, then give [`ClaimEvent::Tick`].
    Wait(Duration),
    /// The claim is won; ask [`Held::may_send`] right before the send.
    Won(Held),
    /// Answer with this kept result; if its body was too large, say that the call ran and its result was not kept.
    Answer(Kept),
    /// Say that the call is still running, unknown for now.
    InProgress,
    /// Say that the outcome is unknown; nobody will run it again.
    Unknown,
    /// Say that the key stands for another call; this one has not run.
    KeyReused,
    /// Say that the claim cannot be made.
    Unavailable(Ran),
    /// Too late: this machine has ended.
    Ended,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Writing(Version),
    Reading,
    /// A pause before the write or the read is tried again.
    Paused(Option<Version>),
    Ended,
}

/// The attempt to win one key for one call.
#[derive(Debug, Clone)]
pub struct Claim {
    request: ClaimRequest,
    limits: ClaimLimits,
    phase: Phase,
    begun: Duration,
    /// Version that the last write without an answer expected.
    lost: Option<Version>,
}

impl Claim {
    /// An attempt that begins `now`, with its first step: a write that expects no entry, as most keys are new.
    pub fn start(request: ClaimRequest, limits: ClaimLimits, now: Duration) -> (Self, ClaimStep) {
        let mut claim = Self {
            request,
            limits,
            phase: Phase::Ended,
            begun: now,
            lost: None,
        };
        let step = claim.write(Version(0));
        (claim, step)
    }

    /// Takes an event and says what to do next.
    pub fn on(&mut self, event: ClaimEvent<'_>, now: Duration) -> ClaimStep {
        if let (Phase::Writing(expect), ClaimEvent::Lost) = (self.phase, event) {
            self.lost = Some(expect);
        }
        match (self.phase, event) {
            (Phase::Ended, _) => ClaimStep::Ended,
            (Phase::Writing(_), ClaimEvent::Written(version)) => self.won(version),
            (Phase::Writing(_), ClaimEvent::Conflict(seen)) | (Phase::Reading, ClaimEvent::Read(seen)) => {
                self.judge(seen, now)
            }
            _ if self.late(now) => self.end(ClaimStep::Unavailable(self.unclaimed())),
            (Phase::Writing(_), ClaimEvent::Lost) => self.read(),
            (Phase::Writing(expect), ClaimEvent::Unreachable) => self.pause(Some(expect)),
            (Phase::Reading, ClaimEvent::Lost | ClaimEvent::Unreachable) => self.pause(None),
            (Phase::Paused(Some(expect)), _) => self.write(expect),
            (Phase::Paused(None), _) => self.read(),
            _ => ClaimStep::Wait(self.limits.pause),
        }
    }

    /// After [`ClaimStep::Unavailable`], and nothing after any other end: frees the key of a claim that may have been written although no answer came.
    ///
    /// Left there, the key would be in progress and then unknown although its call has never run, and a caller that
    /// retries it once the platform is back would wait in vain. Nothing was sent and nothing will be, so that the
    /// key may be freed. The deletion expects the version that the lost write expected: should that write arrive
    /// later, the version has moved on and it is refused.
    pub fn clear(&self, pause: Duration, until: Duration) -> Option<(Settle, SettleStep)> {
        let version = self.lost.filter(|_| self.phase == Phase::Ended)?;
        Some(Settle::release(self.record(), version, pause, until))
    }

    /// What the entry says. Whatever cannot be read or is not ours is never run.
    fn judge(&mut self, seen: Seen<'_>, now: Duration) -> ClaimStep {
        let Some(value) = seen.value else {
            if self.late(now) {
                return self.end(ClaimStep::Unavailable(self.unclaimed()));
            }
            return self.write(seen.version);
        };
        let Some(record) = Record::from_value(value) else {
            return self.end(ClaimStep::Unknown);
        };
        if record.nonce == self.request.nonce && record.state == ClaimState::Claimed {
            return self.won(seen.version);
        }
        let lapsed = self.lapsed(record.at, now);
        let reused = record.call != self.request.call;
        self.end(match record.state {
            // Only an outcome is for good: a claim may still be released, and then an attempt of this call may run.
            ClaimState::Done(_) | ClaimState::Unknown if reused => ClaimStep::KeyReused,
            ClaimState::Done(kept) => ClaimStep::Answer(kept),
            ClaimState::Claimed if !lapsed => ClaimStep::InProgress,
            ClaimState::Claimed | ClaimState::Unknown => ClaimStep::Unknown,
        })
    }

    fn lapsed(&self, at: u64, now: Duration) -> bool {
        let wall = Duration::from_millis(self.request.wall) + now.saturating_sub(self.begun);
        wall.saturating_sub(Duration::from_millis(at)) > self.limits.lapse
    }

    fn late(&self, now: Duration) -> bool {
        now.saturating_sub(self.begun) > self.limits.patience
    }

    /// Without a claim, an earlier attempt may have run, unless the caller states that there was none.
    fn unclaimed(&self) -> Ran {
        match self.request.attempt {
            Attempt::First => Ran::NotRun,
            Attempt::Unstated => Ran::Unknown,
        }
    }

    fn record(&self) -> Record {
        let ClaimRequest { nonce, call, wall, .. } = self.request.clone();
        Record {
            nonce,
            call,
            at: wall,
            state: ClaimState::Claimed,
        }
    }

    fn write(&mut self, expect: Version) -> ClaimStep {
        self.phase = Phase::Writing(expect);
        ClaimStep::Write {
            value: self.record().to_value(),
            expect,
        }
    }

    fn read(&mut self) -> ClaimStep {
        self.phase = Phase::Reading;
        ClaimStep::Read
    }

    fn pause(&mut self, expect: Option<Version>) -> ClaimStep {
        self.phase = Phase::Paused(expect);
        ClaimStep::Wait(self.limits.pause)
    }

    fn won(&mut self, version: Version) -> ClaimStep {
        let held = Held {
            record: self.record(),
            version,
            until: self.begun + self.limits.margin,
            used: false,
        };
        self.end(ClaimStep::Won(held))
    }

    fn end(&mut self, step: ClaimStep) -> ClaimStep {
        self.phase = Phase::Ended;
        if !matches!(step, ClaimStep::Unavailable(_)) {
            // The claim is this attempt's own, or the entry has moved on past what it wrote.
            self.lost = None;
        }
        step
    }
}
