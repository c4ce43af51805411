//! What follows a failed attempt, and what the caller is told in the end.
//!
//! What goes wrong without these rules: a call that may have run is sent again, or refused as "not run"; a caller
//! notices a doubled order. Only three things prove that a call has not run: no byte of it was sent, the endpoint says
//! so, or it is another endpoint than the one that was meant and says that.

use crate::site::RouteKind;
use lifecycle::request::RequestState;
use std::time::Duration;

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No byte was sent: no connection.
    NotSent,
    /// The endpoint is full, and has not run it.
    Full,
    /// The endpoint has not run it for another reason: it leaves, loads weights, or is not the one that was meant.
    Declined,
    /// The endpoint serves other weights than the request names, and has not run it.
    OtherWeights,
    /// Sent, and the answer is broken, cut, spoilt or another request's: it may have run.
    Broken,
    /// Sent, and no answer in the time for this attempt: it may run still.
    Timeout,
    /// Sent, and taken back since its weights became too old to begin on: it may run still.
    Outdated,
    /// The endpoint ran it and answered with an error of its own.
    Error,
}

impl Failure {
    /// Whether the endpoint has certainly not run the request.
    pub fn not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::Full | Self::Declined | Self::OtherWeights)
    }

    /// Name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::Full => "full",
            Self::Declined => "declined",
            Self::OtherWeights => "other_weights",
            Self::Broken => "broken",
            Self::Timeout => "silent",
            Self::Outdated => "outdated",
            Self::Error => "error",
        }
    }
}

/// What is known of a request after an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptHistory {
    /// Endpoints that bytes of it were sent to.
    pub sent: u32,
    /// Endpoints that could not be connected to.
    pub connect_failures: u32,
    /// Times that an endpoint served other weights than it was believed to.
    pub weight_mismatches: u32,
    /// Endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Time that is left until its deadline.
    pub remaining: Duration,
}

/// What follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try another endpoint, if the retry budget allows it.
    Retry,
    /// Try another endpoint; nothing was sent, so it costs no budget.
    RetryFree,
    /// Give up.
    GiveUp,
}

/// Endpoints that a request tries in vain to connect to: a third failure in a row is the network's, not an endpoint's.
const MAX_UNREACHED: u32 = 3;
/// Beliefs about weights that one request corrects: the first shows that new ones were loaded, the second that they were
/// loaded in between.
const MAX_CORRECTED: u32 = 2;
/// With less time than this left, another attempt only makes work for nobody: it is about the time of one network
/// round trip and the shortest answers of the sites' services.
const LEAST_LEFT: Duration = Duration::from_millis(20);

/// What follows a failed attempt.
pub fn retry_decision(tried: &AttemptHistory, failure: Failure) -> RetryDecision {
    if tried.remaining < LEAST_LEFT {
        return RetryDecision::GiveUp;
    }
    if failure == Failure::NotSent {
        return if tried.connect_failures < MAX_UNREACHED {
            RetryDecision::RetryFree
        } else {
            RetryDecision::GiveUp
        };
    }
    if failure == Failure::OtherWeights && tried.weight_mismatches > MAX_CORRECTED {
        return RetryDecision::GiveUp;
    }
    if tried.sent >= tried.max_attempts || !(tried.repeatable || failure.not_run()) {
        return RetryDecision::GiveUp;
    }
    RetryDecision::Retry
}

/// Share of the time that is left after which a request that may run twice is tried elsewhere: enough for an answer that is
/// merely slow, and the second endpoint still has more than half of the time.
const PATIENCE: f64 = 0.45;
/// The same for streams: an engine that is full answers late, and what it has read of the prompt by then would be read
/// again elsewhere.
const STREAM_PATIENCE: f64 = 0.65;
/// Silence within a stream after which another endpoint goes on with it. Callers of the sites wait two seconds; an engine
/// that preempts a request needs some hundred milliseconds to read it in again.
const SILENCE: Duration = Duration::from_millis(1_200);

/// How long an attempt that was just sent may take until its answer begins. One that can't be followed by another has all
/// the time that is left: silence is no reason to end it sooner.
pub fn attempt_timeout(kind: RouteKind, tried: &AttemptHistory) -> Duration {
    if !tried.repeatable || tried.sent >= tried.max_attempts {
        return tried.remaining;
    }
    let share = if kind.streams() { STREAM_PATIENCE } else { PATIENCE };
    tried.remaining.mul_f64(share)
}

/// Pause after which a wait for a first event looks again whether its weights are too old by now. Newer ones may be named, or a router may hear
/// how old they are, at any moment of it. It is a fifth of the time between the end of the wait and the bound itself, in which the endpoint
/// has to notice that it was left.
const LOOK: Duration = Duration::from_millis(100);

/// An attempt whose first event has not come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingAttempt {
    /// Whether its first event shows that it begins, which must not be too late: that of a stream from a model's engine. Of an answer
    /// that isn't streamed nobody can tell when it began.
    pub begin_visible: bool,
    /// Whether its weights are new enough to begin on now.
    pub weights_usable: bool,
    /// What is left of the time for this attempt.
    pub remaining: Duration,
}

/// How the wait for a first event goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wait {
    /// This long, then ask again.
    For(Duration),
    /// The time for this attempt is over.
    TimedOut,
    /// Take the request back: what it begins with now is worth nothing to the caller.
    Cancel,
}

/// How the wait for a first event goes on. Without it a request waits in a full engine's queue past the bound on its weights, for up to
/// five seconds, and its caller waits for an answer that is worth nothing.
pub fn first_event_wait(attempt: &PendingAttempt) -> Wait {
    if attempt.remaining.is_zero() {
        return Wait::TimedOut;
    }
    if attempt.begin_visible && !attempt.weights_usable {
        return Wait::Cancel;
    }
    let pause = if attempt.begin_visible { LOOK } else { attempt.remaining };
    Wait::For(pause.min(attempt.remaining))
}

/// How long a stream that has begun may be silent before another endpoint goes on with it, where that may be.
pub fn stream_idle_timeout(kind: RouteKind, left: Duration) -> Duration {
    if kind.repeatable() { left.min(SILENCE) } else { left }
}

/// Why a request ends without an endpoint's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// No configuration is known yet.
    NotReady,
    /// The configuration may be too old to say whose key is good.
    Stale,
    /// The head or the framing of the body cannot be read.
    Malformed,
    /// The head is too long.
    HeadTooLarge,
    /// The body is too long.
    BodyTooLarge,
    /// Head or body did not arrive in time.
    SlowClient,
    /// No key, or an unknown one.
    Unauthorized,
    /// No such route.
    NoRoute,
    /// No endpoint is in service or can be reached.
    NoEndpoint,
    /// The endpoints are full.
    Full,
    /// Endpoints take no more for now; when to come back.
    Limited(Duration),
    /// First events are late, and this request is one of those that are too many.
    Overloaded,
    /// The deadline has passed.
    Deadline,
    /// An attempt failed after its bytes had left.
    EndpointFailed,
}

/// A refusal or failure as the caller gets it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub cause: Cause,
    /// HTTP status.
    pub status: u16,
    /// When to come back; present only if the request has not run.
    pub retry_after: Option<Duration>,
}

/// When callers come back who met a router without a fresh configuration: about as long as a watch of the store waits,
/// so that one of their next two attempts meets a router that knows.
const RETRY_UNREADY: Duration = Duration::from_millis(500);
/// When callers come back to full endpoints: about the time in which a third of the running streams of either site end.
const RETRY_FULL: Duration = Duration::from_millis(300);
/// When callers come back whose request was one too many: queues of a second are worked off by then, since half as many come in.
const RETRY_OVERLOADED: Duration = Duration::from_millis(1_000);
/// When callers come back where no endpoint could be reached: a crashed one is replaced or noticed within this time.
const RETRY_UNREACHED: Duration = Duration::from_millis(250);

/// The refusal for a cause; `state` tells whether the request may have run.
pub fn refusal(cause: Cause, state: RequestState) -> Refusal {
    let untouched = matches!(
        state,
        RequestState::Queued | RequestState::Claimed | RequestState::Refused
    );
    let status = match cause {
        Cause::Malformed => 400,
        Cause::Unauthorized => 401,
        Cause::NoRoute => 404,
        Cause::SlowClient => 408,
        Cause::BodyTooLarge => 413,
        Cause::HeadTooLarge => 431,
        Cause::NotReady | Cause::Stale => 503,
        Cause::NoEndpoint | Cause::Full | Cause::Limited(_) | Cause::Overloaded if untouched => 503,
        Cause::NoEndpoint | Cause::Full | Cause::Limited(_) | Cause::Overloaded | Cause::EndpointFailed => 502,
        Cause::Deadline => 504,
    };
    let retry_after = match (status, cause) {
        (503, Cause::Full) => Some(RETRY_FULL),
        (503, Cause::Limited(after)) => Some(after.max(RETRY_UNREACHED)),
        (503, Cause::Overloaded) => Some(RETRY_OVERLOADED),
        (503, Cause::NoEndpoint) => Some(RETRY_UNREACHED),
        (503, _) => Some(RETRY_UNREADY),
        _ => None,
    };
    Refusal {
        cause,
        status,
        retry_after,
    }
}

impl Cause {
    /// Name in logs, counters and the body of refusals.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotReady => "not_ready",
            Self::Stale => "stale_configuration",
            Self::Malformed => "malformed",
            Self::HeadTooLarge => "head_too_large",
            Self::BodyTooLarge => "body_too_large",
            Self::SlowClient => "slow_caller",
            Self::Unauthorized => "unauthorized",
            Self::NoRoute => "no_route",
            Self::NoEndpoint => "no_endpoint",
            Self::Full => "full",
            Self::Limited(_) => "limited",
            Self::Overloaded => "overloaded",
            Self::Deadline => "deadline",
            Self::EndpointFailed => "endpoint_failed",
        }
    }
}
