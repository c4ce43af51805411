//! State machine of a request. The state alone determines what may be done next and what the client may be told.
//!
//! A router must not refuse a call as "not run" after sending bytes of it, and must not repeat a call that may run only
//! once: the client would execute a command twice. Therefore the transition to [`RequestState::Sent`] is requested
//! before the first byte is sent, and no later state reports "not run", unless the endpoint itself refused that send.

use derive_more::Display;
use wire::client::Ran;

/// State of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum RequestState {
    /// Waiting for its claim or for an endpoint.
    Queued,
    /// Its idempotency claim is confirmed. Nothing has been sent.
    Claimed,
    /// Bytes may have been sent to an endpoint.
    Sent,
    /// The endpoint has started to answer. The client has received nothing yet.
    FirstByte,
    /// The client has received a part of the answer.
    Streaming,
    /// Ended with the endpoint's complete answer.
    Answered,
    /// Ended: refused without having run.
    Refused,
    /// Ended without a complete answer. The call may have run.
    Unknown,
}

/// How often a call may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RetryPolicy {
    /// Any number of times, because a second execution does no harm: a completion, or a call whose endpoint ignores
    /// repeated keys.
    Idempotent,
    /// At most once by this router, without a claim because the client gave no key.
    Once,
    /// At most once over all routers, after a claim.
    Claimed,
}

/// What happened to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestEvent {
    /// Its claim is confirmed.
    ClaimHeld,
    /// The first byte is about to be sent. Connecting does not count as sending.
    SendStarts,
    /// The connection broke or timed out before the answer started.
    SendFailed,
    /// The endpoint stated that it has not acted on this send.
    EndpointRefused,
    /// The head of this request's answer arrived.
    HeadArrived,
    /// A part of the answer arrived.
    PartArrived,
    /// The answer was interrupted, was shorter than declared or belongs to another request.
    AnswerFailed,
    /// The answer is complete.
    AnswerComplete,
    /// The deadline passed, no endpoint is available, the client disconnected, the claim was refused or the router
    /// shuts down.
    GiveUp,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestStep {
    /// Choose an endpoint, connect and report [`RequestEvent::SendStarts`].
    Choose,
    /// Send now.
    Send,
    /// Read the answer.
    Read,
    /// Forward this part to the client.
    Deliver,
    /// Resume the stream from the first undelivered piece, on an engine with the same weights.
    Resume,
    /// Ended: the client has the complete answer.
    Answer,
    /// Ended: refuse as "not run". A held claim is released.
    RefuseNotRun,
    /// Ended: fail as "unknown". The send is cancelled, and a stream gets an explicit error event.
    FailUnknown,
    /// The request has already ended. Forward nothing.
    Ignore,
    /// The event is not allowed in this state, and its action must not be performed. Indicates a bug in the driving
    /// code.
    Forbidden,
}

/// State of the current send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SendProgress {
    /// No send is in progress.
    Idle,
    /// Bytes may have been sent, and the answer has not started.
    Sent,
    /// The answer's head has arrived.
    HeadReceived,
}

/// One request at one router.
#[derive(Debug, Clone)]
pub struct Request {
    state: RequestState,
    policy: RetryPolicy,
    progress: SendProgress,
    /// Whether an endpoint may have acted on an earlier send.
    may_have_run: bool,
    /// Sends that were started and not refused by their endpoint.
    sends: u32,
}

impl Request {
    /// A newly accepted request.
    pub fn new(policy: RetryPolicy) -> Self {
        Self {
            state: RequestState::Queued,
            policy,
            progress: SendProgress::Idle,
            may_have_run: false,
            sends: 0,
        }
    }

    /// Its state.
    pub fn state(&self) -> RequestState {
        self.state
    }

    /// Whether it has ended.
    pub fn ended(&self) -> bool {
        matches!(
            self.state,
            RequestState::Answered | RequestState::Refused | RequestState::Unknown
        )
    }

    /// What a refusal may state now: "not run" only if no endpoint can have received bytes that it may act on.
    pub fn ran(&self) -> Ran {
        let not_sent = matches!(
            self.state,
            RequestState::Queued | RequestState::Claimed | RequestState::Refused
        );
        if not_sent && !self.may_have_run {
            Ran::NotRun
        } else {
            Ran::Unknown
        }
    }

    /// Handles an event and returns what to do next.
    ///
    /// # Panics
    ///
    /// If a call that may run only once would be sent twice, or a request that may have run would be refused as "not
    /// run".
    pub fn on(&mut self, event: RequestEvent) -> RequestStep {
        if self.ended() {
            return if event == RequestEvent::SendStarts {
                RequestStep::Forbidden
            } else {
                RequestStep::Ignore
            };
        }
        let Some(progress) = self.next_progress(event) else {
            return RequestStep::Forbidden;
        };
        let Some((next, step)) = self.transition(event) else {
            return RequestStep::Forbidden;
        };
        self.progress = progress;
        match event {
            RequestEvent::SendStarts => self.sends += 1,
            RequestEvent::EndpointRefused => self.sends -= 1,
            RequestEvent::SendFailed | RequestEvent::AnswerFailed => self.may_have_run = true,
            _ => {}
        }
        assert!(
            self.policy == RetryPolicy::Idempotent || self.sends <= 1,
            "a call that may run once is sent twice"
        );
        assert!(
            next != RequestState::Refused || !self.may_have_run,
            "a request that may have run is refused as not run"
        );
        self.state = next;
        step
    }

    /// State of the send after the event, or `None` if the event is not valid in the current one.
    fn next_progress(&self, event: RequestEvent) -> Option<SendProgress> {
        use RequestEvent as E;
        match (self.progress, event) {
            (SendProgress::Idle, E::SendStarts) => Some(SendProgress::Sent),
            (SendProgress::Sent, E::HeadArrived) => Some(SendProgress::HeadReceived),
            (SendProgress::Sent, E::SendFailed | E::EndpointRefused) => Some(SendProgress::Idle),
            (SendProgress::HeadReceived, E::PartArrived) => Some(SendProgress::HeadReceived),
            (SendProgress::HeadReceived, E::AnswerFailed | E::AnswerComplete) => Some(SendProgress::Idle),
            (SendProgress::Idle, E::ClaimHeld) | (_, E::GiveUp) => Some(SendProgress::Idle),
            _ => None,
        }
    }

    fn transition(&self, event: RequestEvent) -> Option<(RequestState, RequestStep)> {
        use RequestEvent as E;
        use RequestState as S;
        use RequestStep as T;
        let next = match (self.state, event) {
            (S::Queued, E::ClaimHeld) if self.policy == RetryPolicy::Claimed => (S::Claimed, T::Choose),
            (S::Queued, E::SendStarts) if self.policy != RetryPolicy::Claimed => (S::Sent, T::Send),
            (S::Claimed, E::SendStarts) => (S::Sent, T::Send),
            (S::Queued | S::Claimed, E::GiveUp) if !self.may_have_run => (S::Refused, T::RefuseNotRun),
            (S::Queued | S::Claimed, E::GiveUp) => (S::Unknown, T::FailUnknown),
            (S::Sent, E::HeadArrived) => (S::FirstByte, T::Read),
            (S::Sent, E::EndpointRefused) => (self.state_after_refusal(), T::Choose),
            (S::Sent, E::SendFailed) | (S::FirstByte, E::AnswerFailed) => self.after_failed_send(),
            (S::FirstByte | S::Streaming, E::PartArrived) => (S::Streaming, T::Deliver),
            (S::FirstByte | S::Streaming, E::AnswerComplete) => (S::Answered, T::Answer),
            (S::Streaming, E::AnswerFailed) if self.policy != RetryPolicy::Idempotent => (S::Unknown, T::FailUnknown),
            (S::Streaming, E::AnswerFailed | E::SendFailed | E::EndpointRefused) => (S::Streaming, T::Resume),
            (S::Streaming, E::SendStarts) => (S::Streaming, T::Send),
            (S::Streaming, E::HeadArrived) => (S::Streaming, T::Read),
            (S::Sent | S::FirstByte | S::Streaming, E::GiveUp) => (S::Unknown, T::FailUnknown),
            _ => return None,
        };
        Some(next)
    }

    /// The state to return to after an endpoint refused the send.
    fn state_after_refusal(&self) -> RequestState {
        if self.policy == RetryPolicy::Claimed {
            RequestState::Claimed
        } else {
            RequestState::Queued
        }
    }

    /// Transition after a send that an endpoint may have acted on and of which the client has received nothing.
    fn after_failed_send(&self) -> (RequestState, RequestStep) {
        if self.policy == RetryPolicy::Idempotent {
            return (RequestState::Queued, RequestStep::Choose);
        }
        (RequestState::Unknown, RequestStep::FailUnknown)
    }
}
