//! A request's life: what may be done next and what may be said to the caller follow from the state alone.
//!
//! What goes wrong without it: a router refuses a call as "not run" although its bytes had left, or repeats a
//! call that may run once. Callers notice a doubled command. Here the step into [`RequestState::Sent`] is asked
//! for before the first byte can leave, and no later state says "not run" again, unless the endpoint itself
//! refused that very send.

use derive_more::Display;
use wire::client::Ran;

/// Where a request is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum RequestState {
    /// Waits for its claim or for an endpoint.
    Queued,
    /// Its idempotency claim is confirmed; nothing has been sent.
    Claimed,
    /// Bytes may have left for an endpoint.
    Sent,
    /// The endpoint has begun to answer; the caller has seen nothing yet.
    FirstByte,
    /// The caller has seen a part of the answer.
    Streaming,
    /// Ended: the endpoint's whole answer.
    Answered,
    /// Ended: refused, and it has not run.
    Refused,
    /// Ended: it may have run, and there is no whole answer.
    Unknown,
}

/// How often a call may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Repeat {
    /// A second execution does no harm: a completion, or a call whose endpoint drops repeated keys.
    Idempotent,
    /// At most once by this router; no claim, as the caller gave no key.
    Once,
    /// At most once over all routers: a claim comes first.
    Claimed,
}

/// What happened to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestEvent {
    /// Its claim is confirmed.
    ClaimHeld,
    /// Asked right before the first byte leaves; connecting does not count as sending.
    SendStarts,
    /// The connection broke or timed out before the answer began.
    SendFailed,
    /// The endpoint's own word that it has not acted on this send.
    EndpointRefused,
    /// The answer's head arrived, and is this request's.
    HeadArrived,
    /// A part of the answer is there for the caller.
    PartArrived,
    /// The answer broke off, was shorter than declared or another request's.
    AnswerBroke,
    /// The answer is whole.
    AnswerWhole,
    /// Deadline passed, no endpoint, caller gone, claim refused or shutdown.
    GiveUp,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestStep {
    /// Choose an endpoint, connect, and ask with [`RequestEvent::SendStarts`].
    Choose,
    /// Send now.
    Send,
    /// Read the answer.
    Read,
    /// Pass this part on to the caller.
    Deliver,
    /// Resume the stream from the first piece that was not delivered, at an engine of the same weights.
    Resume,
    /// The caller has the whole answer: the end.
    Answer,
    /// Refuse as "not run": the end. A claim that is held is released.
    RefuseNotRun,
    /// Fail as "unknown": the end. The send is cancelled; a stream gets an explicit error event.
    FailUnknown,
    /// Too late, the request has ended; pass nothing on.
    Ignore,
    /// Not allowed from this state; do not do it. A fault of the code that drives the machine.
    Forbidden,
}

/// How far the current send has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Link {
    /// No send is open.
    Idle,
    /// Bytes may have left, and the answer has not begun.
    Sent,
    /// The answer's head has arrived.
    Head,
}

/// The life of one request at one router.
#[derive(Debug, Clone)]
pub struct Request {
    state: RequestState,
    repeat: Repeat,
    link: Link,
    /// Bytes of an earlier send may have been acted on.
    exposed: bool,
    /// Sends that were started and not refused by their endpoint.
    sends: u32,
}

impl Request {
    /// A request that has just been accepted.
    pub fn new(repeat: Repeat) -> Self {
        Self {
            state: RequestState::Queued,
            repeat,
            link: Link::Idle,
            exposed: false,
            sends: 0,
        }
    }

    /// Where it is.
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

    /// What a refusal may say now: "not run" only while no byte can have reached an endpoint that may act on it.
    pub fn ran(&self) -> Ran {
        let untouched = matches!(
            self.state,
            RequestState::Queued | RequestState::Claimed | RequestState::Refused
        );
        if untouched && !self.exposed {
            Ran::NotRun
        } else {
            Ran::Unknown
        }
    }

    /// Takes an event and says what to do next.
    ///
    /// # Panics
    ///
    /// If a call that may run once would be sent twice, or an ended request would go on.
    pub fn on(&mut self, event: RequestEvent) -> RequestStep {
        if self.ended() {
            return if event == RequestEvent::SendStarts {
                RequestStep::Forbidden
            } else {
                RequestStep::Ignore
            };
        }
        let Some(link) = self.linked(event) else {
            return RequestStep::Forbidden;
        };
        let Some((next, step)) = self.transition(event) else {
            return RequestStep::Forbidden;
        };
        self.link = link;
        match event {
            RequestEvent::SendStarts => self.sends += 1,
            RequestEvent::EndpointRefused => self.sends -= 1,
            RequestEvent::SendFailed | RequestEvent::AnswerBroke => self.exposed = true,
            _ => {}
        }
        assert!(
            self.repeat == Repeat::Idempotent || self.sends <= 1,
            "a call that may run once is sent twice"
        );
        assert!(
            next != RequestState::Refused || !self.exposed,
            "a request that may have run is refused as not run"
        );
        self.state = next;
        step
    }

    /// How far the send has come after the event; none if the event does not fit the send.
    fn linked(&self, event: RequestEvent) -> Option<Link> {
        use RequestEvent as E;
        match (self.link, event) {
            (Link::Idle, E::SendStarts) => Some(Link::Sent),
            (Link::Sent, E::HeadArrived) => Some(Link::Head),
            (Link::Sent, E::SendFailed | E::EndpointRefused) => Some(Link::Idle),
            (Link::Head, E::PartArrived) => Some(Link::Head),
            (Link::Head, E::AnswerBroke | E::AnswerWhole) => Some(Link::Idle),
            (Link::Idle, E::ClaimHeld) | (_, E::GiveUp) => Some(Link::Idle),
            _ => None,
        }
    }

    fn transition(&self, event: RequestEvent) -> Option<(RequestState, RequestStep)> {
        use RequestEvent as E;
        use RequestState as S;
        use RequestStep as T;
        let next = match (self.state, event) {
            (S::Queued, E::ClaimHeld) if self.repeat == Repeat::Claimed => (S::Claimed, T::Choose),
            (S::Queued, E::SendStarts) if self.repeat != Repeat::Claimed => (S::Sent, T::Send),
            (S::Claimed, E::SendStarts) => (S::Sent, T::Send),
            (S::Queued | S::Claimed, E::GiveUp) if !self.exposed => (S::Refused, T::RefuseNotRun),
            (S::Queued | S::Claimed, E::GiveUp) => (S::Unknown, T::FailUnknown),
            (S::Sent, E::HeadArrived) => (S::FirstByte, T::Read),
            (S::Sent, E::EndpointRefused) => (self.waiting(), T::Choose),
            (S::Sent, E::SendFailed) | (S::FirstByte, E::AnswerBroke) => self.again(),
            (S::FirstByte | S::Streaming, E::PartArrived) => (S::Streaming, T::Deliver),
            (S::FirstByte | S::Streaming, E::AnswerWhole) => (S::Answered, T::Answer),
            (S::Streaming, E::AnswerBroke) if self.repeat != Repeat::Idempotent => (S::Unknown, T::FailUnknown),
            (S::Streaming, E::AnswerBroke | E::SendFailed | E::EndpointRefused) => (S::Streaming, T::Resume),
            (S::Streaming, E::SendStarts) => (S::Streaming, T::Send),
            (S::Streaming, E::HeadArrived) => (S::Streaming, T::Read),
            (S::Sent | S::FirstByte | S::Streaming, E::GiveUp) => (S::Unknown, T::FailUnknown),
            _ => return None,
        };
        Some(next)
    }

    /// The state to go back to after an endpoint refused the send.
    fn waiting(&self) -> RequestState {
        if self.repeat == Repeat::Claimed {
            RequestState::Claimed
        } else {
            RequestState::Queued
        }
    }

    /// After a send that may have been acted on and of which the caller has seen nothing.
    fn again(&self) -> (RequestState, RequestStep) {
        if self.repeat == Repeat::Idempotent {
            return (RequestState::Queued, RequestStep::Choose);
        }
        (RequestState::Unknown, RequestStep::FailUnknown)
    }
}
