//! Acquires a claim.

use super::held::HeldClaim;
use super::record::{ClaimState, EntryState, Nonce, Record, StoredAnswer};
use super::settle::{Settle, SettleStep};
use ids::{Digest, Version};
use std::time::Duration;
use wire::client::Ran;

/// What the client states about this attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Attempt {
    /// The client has never used this key before.
    First,
    /// Nothing: an earlier attempt may have run.
    Unstated,
}

/// Time limits of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimLimits {
    /// How long to try to acquire the claim. Must not exceed the time that the client waits.
    pub timeout: Duration,
    /// Longest time from the start of the claim's first write to the send. A router that was paused for longer must not
    /// send: its client has disconnected, and a retry may already have been answered with "unknown".
    pub send_window: Duration,
    /// Age after which a claim without a result counts as abandoned by a failed router. Longer than the send window,
    /// the longest call and the difference between two wall clocks together.
    pub abandoned_after: Duration,
    /// Delay between two tries while the platform does not answer.
    pub retry_delay: Duration,
}

impl Default for ClaimLimits {
    fn default() -> Self {
        Self {
            timeout: Duration::from_secs(2),
            send_window: Duration::from_secs(5),
            abandoned_after: Duration::from_secs(120),
            retry_delay: Duration::from_millis(50),
        }
    }
}

/// The call that requests the key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRequest {
    /// A new random number for each attempt.
    pub nonce: Nonce,
    /// Digest of the call.
    pub call: Digest,
    /// Wall clock, milliseconds since 1970.
    pub wall_ms: u64,
    /// What the client states.
    pub attempt: Attempt,
}

/// Result of a [`ClaimStep`] or [`SettleStep`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimEvent<'a> {
    /// The write took effect. The entry now has this version.
    Written(Version),
    /// The write was refused because the entry has changed to this.
    Conflict(EntryState<'a>),
    /// The entry was read.
    Read(EntryState<'a>),
    /// No answer arrived. A write may have taken effect or may still do so.
    Lost,
    /// Nothing was sent to the platform, because there is no connection.
    Unreachable,
    /// The requested wait has ended.
    Tick,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep {
    /// Write this value under the lease of [`super::ClaimLease`] if the entry has the expected version.
    Write {
        /// The entry's new value.
        value: String,
        /// Version that the entry must currently have.
        expect: Version,
    },
    /// Read the entry.
    Read,
    /// Wait, then report [`ClaimEvent::Tick`].
    Wait(Duration),
    /// The claim is held. Call [`HeldClaim::may_send`] right before the send.
    Won(HeldClaim),
    /// Answer with this stored result. If its body was too large, state that the call ran and its result was not
    /// stored.
    Answer(StoredAnswer),
    /// State that the call is still running and its outcome not known yet.
    InProgress,
    /// State that the outcome is unknown. The call will not be run again.
    Unknown,
    /// State that the key belongs to another call and that this call has not run.
    KeyReused,
    /// State that the claim cannot be acquired.
    Unavailable(Ran),
    /// The claim has already ended.
    Ended,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Writing(Version),
    Reading,
    /// Waiting before the write (with this expected version) or the read is retried.
    Paused(Option<Version>),
    Ended,
}

/// An attempt to acquire one key for one call.
#[derive(Debug, Clone)]
pub struct Claim {
    request: ClaimRequest,
    limits: ClaimLimits,
    phase: Phase,
    started: Duration,
    /// Version expected by the last write that got no answer.
    unconfirmed_write: Option<Version>,
}

impl Claim {
    /// Starts an attempt. The first step is a write that expects no entry, since most keys are new.
    pub fn start(request: ClaimRequest, limits: ClaimLimits, now: Duration) -> (Self, ClaimStep) {
        let mut claim = Self {
            request,
            limits,
            phase: Phase::Ended,
            started: now,
            unconfirmed_write: None,
        };
        let step = claim.write(Version(0));
        (claim, step)
    }

    /// Handles an event and returns what to do next.
    pub fn on(&mut self, event: ClaimEvent<'_>, now: Duration) -> ClaimStep {
        if let (Phase::Writing(expect), ClaimEvent::Lost) = (self.phase, event) {
            self.unconfirmed_write = Some(expect);
        }
        match (self.phase, event) {
            (Phase::Ended, _) => ClaimStep::Ended,
            (Phase::Writing(_), ClaimEvent::Written(version)) => self.won(version),
            (Phase::Writing(_), ClaimEvent::Conflict(entry)) | (Phase::Reading, ClaimEvent::Read(entry)) => {
                self.evaluate(entry, now)
            }
            _ if self.is_timed_out(now) => self.end(ClaimStep::Unavailable(self.ran_without_claim())),
            (Phase::Writing(_), ClaimEvent::Lost) => self.read(),
            (Phase::Writing(expect), ClaimEvent::Unreachable) => self.pause_before(Some(expect)),
            (Phase::Reading, ClaimEvent::Lost | ClaimEvent::Unreachable) => self.pause_before(None),
            (Phase::Paused(Some(expect)), _) => self.write(expect),
            (Phase::Paused(None), _) => self.read(),
            _ => ClaimStep::Wait(self.limits.retry_delay),
        }
    }

    /// Frees the key after [`ClaimStep::Unavailable`] if the claim may have been written although no answer arrived.
    /// Returns `None` after any other end.
    ///
    /// Otherwise the key would be "in progress" and later "unknown" although its call never ran, and a client that
    /// retries after the platform recovers would never get an answer. The key may be freed because the call was not and
    /// will not be sent. The deletion expects the same version as the unanswered write. If that write arrives later,
    /// the version has changed and the write is refused.
    pub fn clear(&self, pause: Duration, until: Duration) -> Option<(Settle, SettleStep)> {
        let version = self.unconfirmed_write.filter(|_| self.phase == Phase::Ended)?;
        Some(Settle::release(self.record(), version, pause, until))
    }

    /// Decides by the entry. The call does not run if the entry cannot be parsed or belongs to another attempt.
    fn evaluate(&mut self, entry: EntryState<'_>, now: Duration) -> ClaimStep {
        let Some(value) = entry.value else {
            if self.is_timed_out(now) {
                return self.end(ClaimStep::Unavailable(self.ran_without_claim()));
            }
            return self.write(entry.version);
        };
        let Some(record) = Record::from_value(value) else {
            return self.end(ClaimStep::Unknown);
        };
        if record.nonce == self.request.nonce && record.state == ClaimState::Claimed {
            return self.won(entry.version);
        }
        let abandoned = self.is_abandoned(record.at, now);
        let reused = record.call != self.request.call;
        self.end(match record.state {
            // Only an outcome is final: a claim may still be released, and then a later attempt of this call may run.
            ClaimState::Done(_) | ClaimState::Unknown if reused => ClaimStep::KeyReused,
            ClaimState::Done(kept) => ClaimStep::Answer(kept),
            ClaimState::Claimed if !abandoned => ClaimStep::InProgress,
            ClaimState::Claimed | ClaimState::Unknown => ClaimStep::Unknown,
        })
    }

    fn is_abandoned(&self, at: u64, now: Duration) -> bool {
        let wall_time = Duration::from_millis(self.request.wall_ms) + now.saturating_sub(self.started);
        wall_time.saturating_sub(Duration::from_millis(at)) > self.limits.abandoned_after
    }

    fn is_timed_out(&self, now: Duration) -> bool {
        now.saturating_sub(self.started) > self.limits.timeout
    }

    /// Without a claim, an earlier attempt may have run, unless the client states that there was none.
    fn ran_without_claim(&self) -> Ran {
        match self.request.attempt {
            Attempt::First => Ran::NotRun,
            Attempt::Unstated => Ran::Unknown,
        }
    }

    fn record(&self) -> Record {
        let ClaimRequest {
            nonce, call, wall_ms, ..
        } = self.request.clone();
        Record {
            nonce,
            call,
            at: wall_ms,
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

    fn pause_before(&mut self, expect: Option<Version>) -> ClaimStep {
        self.phase = Phase::Paused(expect);
        ClaimStep::Wait(self.limits.retry_delay)
    }

    fn won(&mut self, version: Version) -> ClaimStep {
        let held = HeldClaim {
            record: self.record(),
            version,
            send_deadline: self.started + self.limits.send_window,
            send_permitted: false,
        };
        self.end(ClaimStep::Won(held))
    }

    fn end(&mut self, step: ClaimStep) -> ClaimStep {
        self.phase = Phase::Ended;
        if !matches!(step, ClaimStep::Unavailable(_)) {
            // Either this attempt holds the claim, or the entry has a newer version than the one that it wrote.
            self.unconfirmed_write = None;
        }
        step
    }
}
