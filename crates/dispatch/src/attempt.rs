//! Retry decisions after failed attempts, attempt timeouts, and the responses for requests that no endpoint answered.
//!
//! A request that may have run must not be sent again unless it is repeatable, and must not be refused as "not run":
//! either would execute a client's order twice. Only three things prove that a request has not run: none of its bytes
//! were sent, the endpoint says so, or the endpoint says that it is not the one that was addressed.

use crate::site::RouteKind;
use lifecycle::request::RequestState;
use std::fmt;
use std::time::Duration;

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No connection, so no bytes were sent.
    NotSent,
    /// The endpoint is at capacity and has not run the request.
    Full,
    /// The endpoint has not run the request for another reason: it is draining, is loading weights, or is not the one
    /// that was addressed.
    Declined,
    /// The endpoint serves other weights than the request names and has not run it.
    OtherWeights,
    /// The response is malformed, truncated, corrupted or belongs to another request: the request may have run.
    Broken,
    /// No response within the attempt timeout: the request may still be running.
    Timeout,
    /// Cancelled after sending because its weights became too old to begin on: the request may still be running.
    Outdated,
    /// The endpoint ran the request and returned an error.
    Error,
    /// The endpoint may have run the request and returned this status, which would tell the client that it has not.
    Withheld(u16),
}

impl Failure {
    /// Whether it is certain that the endpoint has not run the request.
    pub fn not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::Full | Self::Declined | Self::OtherWeights)
    }

    /// Why a request is refused after its last attempt failed.
    pub fn final_cause(self) -> Cause {
        match self {
            Self::NotSent | Self::Declined | Self::OtherWeights => Cause::NoEndpoint,
            Self::Full => Cause::Full,
            Self::Timeout => Cause::Deadline,
            Self::Broken | Self::Outdated | Self::Error | Self::Withheld(_) => Cause::EndpointFailed,
        }
    }

    /// Name in metrics. Logs add the status of a response that was withheld.
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
            Self::Withheld(_) => "withheld",
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())?;
        match self {
            Self::Withheld(status) => write!(f, "_{status}"),
            _ => Ok(()),
        }
    }
}

/// Statuses from which clients conclude that a request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// What happens to the complete response of an endpoint that may have run the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseStep {
    /// Forward it to the client.
    Forward,
    /// Try another endpoint, and forward the response if there is none.
    Retry,
    /// Fail in its place: the client would send a request again that may run only once.
    Withhold,
}

/// Decides what happens to a complete response that does not state by itself that the request has not run.
pub fn response_step(status: u16, repeatable: bool) -> ResponseStep {
    if repeatable && status >= 500 {
        return ResponseStep::Retry;
    }
    if !repeatable && NOT_RUN_STATUSES.contains(&status) {
        return ResponseStep::Withhold;
    }
    ResponseStep::Forward
}

/// A request's attempts so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptHistory {
    /// Endpoints to which bytes of the request were sent.
    pub sent: u32,
    /// Endpoints to which no connection could be opened.
    pub connect_failures: u32,
    /// Times that an endpoint served other weights than this router expected.
    pub weight_mismatches: u32,
    /// Maximum number of endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Time until the request's deadline.
    pub remaining: Duration,
}

/// Next step after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try another endpoint if the retry budget allows it.
    Retry,
    /// Try another endpoint. Nothing was sent, so this uses no retry budget.
    RetryFree,
    /// Send no further attempt.
    GiveUp,
}

/// Maximum number of failed connects per request. A third failure in a row points to the network, not to an endpoint.
const MAX_CONNECT_FAILURES: u32 = 3;
/// Maximum number of weight mismatches per request. The first shows that new weights were loaded, the second that they
/// were loaded between the attempts.
const MAX_WEIGHT_MISMATCHES: u32 = 2;
/// Minimum remaining time for another attempt: one network round trip plus the shortest responses of the services in
/// use. With less, the response would come after the deadline.
const MIN_REMAINING: Duration = Duration::from_millis(20);

/// Decides whether a failed attempt is retried.
pub fn retry_decision(history: &AttemptHistory, failure: Failure) -> RetryDecision {
    if history.remaining < MIN_REMAINING {
        return RetryDecision::GiveUp;
    }
    if failure == Failure::NotSent {
        return if history.connect_failures < MAX_CONNECT_FAILURES {
            RetryDecision::RetryFree
        } else {
            RetryDecision::GiveUp
        };
    }
    if failure == Failure::OtherWeights && history.weight_mismatches > MAX_WEIGHT_MISMATCHES {
        return RetryDecision::GiveUp;
    }
    if history.sent >= history.max_attempts || !(history.repeatable || failure.not_run()) {
        return RetryDecision::GiveUp;
    }
    RetryDecision::Retry
}

/// Share of the remaining time after which a repeatable request is tried on another endpoint. It leaves a slow endpoint
/// time to respond, and the second endpoint still gets more than half of the time.
const TIMEOUT_SHARE: f64 = 0.45;
/// [`TIMEOUT_SHARE`] for streams. It is longer because an engine at capacity responds late, and another one would
/// have to repeat the prefill already done.
const STREAM_TIMEOUT_SHARE: f64 = 0.65;
/// Time without an event after which another endpoint is tried beside the silent one. Clients accept two seconds. An
/// engine that preempts a request needs some hundred milliseconds to repeat its prefill.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Maximum time from sending an attempt to the start of its response. An attempt that can't be retried gets all of the
/// remaining time, since ending it sooner gains nothing.
pub fn attempt_timeout(kind: RouteKind, history: &AttemptHistory) -> Duration {
    if !history.repeatable || history.sent >= history.max_attempts {
        return history.remaining;
    }
    let share = if kind.streams() {
        STREAM_TIMEOUT_SHARE
    } else {
        TIMEOUT_SHARE
    };
    history.remaining.mul_f64(share)
}

/// Interval at which a wait for a first event checks the age of its weights. New target weights may be set, or their
/// age may become known, at any time during the wait. The wait ends some time before the age limit, since the endpoint
/// has to notice the cancellation; the interval is a fifth of that time.
const AGE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// An attempt whose first event has not arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingAttempt {
    /// Whether the first event shows when execution begins, as in a stream from a model's engine. A response that isn't
    /// streamed doesn't show it.
    pub begin_visible: bool,
    /// Whether execution may still begin on the weights that the attempt names.
    pub weights_usable: bool,
    /// Remaining part of the attempt timeout.
    pub remaining: Duration,
}

/// Next step of a wait for a first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wait {
    /// Wait this long, then check again.
    For(Duration),
    /// The attempt timeout has passed.
    TimedOut,
    /// Cancel the attempt: a response on such old weights is of no use to the client.
    Cancel,
}

/// Decides how a wait for a first event continues. Without the age check a request could stay in the queue of an engine
/// at capacity for up to five seconds past the age limit of its weights, and its client would wait for a useless
/// response.
pub fn first_event_wait(attempt: &PendingAttempt) -> Wait {
    if attempt.remaining.is_zero() {
        return Wait::TimedOut;
    }
    if attempt.begin_visible && !attempt.weights_usable {
        return Wait::Cancel;
    }
    let pause = if attempt.begin_visible {
        AGE_CHECK_INTERVAL
    } else {
        attempt.remaining
    };
    Wait::For(pause.min(attempt.remaining))
}

/// Maximum time between two events of a stream. After it, another endpoint is tried for a resumable stream.
pub fn stream_idle_timeout(kind: RouteKind, remaining: Duration) -> Duration {
    if kind.repeatable() {
        remaining.min(STREAM_IDLE_TIMEOUT)
    } else {
        remaining
    }
}

/// Longest wait until an endpoint confirms the end of a response that another endpoint may repeat or continue.
const REPEATABLE_END_TIMEOUT: Duration = Duration::from_millis(250);
/// The same for any other response. Clients wait two seconds for what comes next in a stream, and the response is lost to
/// them without the confirmation.
const END_TIMEOUT: Duration = Duration::from_millis(1_900);

/// How long to wait until an endpoint confirms the end of a response that has ended with its connection.
pub fn end_timeout(kind: RouteKind, remaining: Duration) -> Duration {
    remaining.min(if kind.repeatable() {
        REPEATABLE_END_TIMEOUT
    } else {
        END_TIMEOUT
    })
}

/// Share of the remaining time for which a request waits for silent endpoints that no other endpoint serves. The rest is
/// for the client's next attempt at another router.
const LAST_RESORT_SHARE: f64 = 0.5;

/// How long a request waits for its silent endpoints once no other endpoint can serve it. A client that has received a
/// part of the response could only lose by its end.
pub fn last_resort_wait(began: bool, remaining: Duration) -> Duration {
    if began {
        remaining
    } else {
        remaining.mul_f64(LAST_RESORT_SHARE)
    }
}

/// Next step of a wait for silent endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilentWait {
    /// Wait this long, then check again.
    For(Duration),
    /// No endpoint is left, or the time is over.
    Over,
}

/// Decides how a wait for silent endpoints continues. `begin_visible` is that of [`PendingAttempt`].
pub fn silent_wait(endpoints: usize, begin_visible: bool, left: Duration) -> SilentWait {
    if endpoints == 0 || left.is_zero() {
        return SilentWait::Over;
    }
    SilentWait::For(if begin_visible {
        left.min(AGE_CHECK_INTERVAL)
    } else {
        left
    })
}

/// Longest time for which a silent endpoint may go on beside another one that has accepted the request.
const MAX_OVERLAP: Duration = Duration::from_millis(300);

/// How much longer silent endpoints may go on beside an endpoint that sent the head of its stream this long ago.
pub fn overlap_left(since_head: Duration) -> Duration {
    MAX_OVERLAP.saturating_sub(since_head)
}

/// Longest time after sending in which the end of a reused connection shows that the endpoint closed it before the request
/// arrived.
pub const MAX_TRANSIT: Duration = Duration::from_millis(250);

/// Share of the remaining time that a request may wait for a place at a brittle endpoint. The rest is for its execution, or
/// for the client's next attempt at another router.
const PLACE_WAIT_SHARE: f64 = 0.5;
/// Interval at which a waiting request looks for a place that no request of this router has freed.
pub const PLACE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// What a request does for which this router has no free place at brittle endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlaceWait {
    /// It waits this long at most.
    Wait(Duration),
    /// Its turn would come too late; the client should retry after this time.
    Refuse(Duration),
}

/// Decides whether a request waits for a place. A place becomes free about once per `turn`, and `ahead` requests wait
/// already.
pub fn place_wait(turn: Duration, ahead: u32, remaining: Duration) -> PlaceWait {
    let expected = turn.saturating_mul(ahead.saturating_add(1));
    let longest = remaining.mul_f64(PLACE_WAIT_SHARE);
    if expected > longest || remaining < MIN_REMAINING {
        return PlaceWait::Refuse(expected);
    }
    PlaceWait::Wait(longest)
}

/// An endpoint's stream whose body has ended without an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamEnd {
    /// Whether a length or chunks told where the body ends. Otherwise its connection ended, as after a crash.
    pub framed: bool,
    /// Bytes after the last complete event.
    pub partial: usize,
    /// Whether the client has received an event, from this endpoint or an earlier one.
    pub has_events: bool,
}

impl StreamEnd {
    /// Whether the stream is complete. One that ends inside an event was broken off. One without any event was too,
    /// unless its framing says otherwise.
    pub fn is_complete(&self) -> bool {
        self.partial == 0 && (self.framed || self.has_events)
    }
}

/// Why a request ends without a response from an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// No configuration has been received yet.
    NotReady,
    /// The configuration may be too old to check API keys against.
    Stale,
    /// The head or the framing of the body can't be parsed.
    Malformed,
    /// The head exceeds its size limit.
    HeadTooLarge,
    /// The body exceeds its size limit.
    BodyTooLarge,
    /// Head or body did not arrive in time.
    SlowClient,
    /// The API key is missing or unknown.
    Unauthorized,
    /// No route matches.
    NoRoute,
    /// No endpoint is in service or reachable.
    NoEndpoint,
    /// All endpoints are at capacity.
    Full,
    /// The rate limits of the endpoints are reached. Holds the time after which to retry.
    Limited(Duration),
    /// All places of this router at brittle endpoints are in use. Holds the time after which to retry.
    NoPlace(Duration),
    /// Endpoints have ended under earlier attempts of the request. Holds the time after which to retry.
    Quarantined(Duration),
    /// The request continues a stream, and it is unknown which version of the software began that.
    UnknownOrigin,
    /// The workspace's quota is used up. Holds the time after which to retry.
    OverQuota(Duration),
    /// First events are late, and this request was shed.
    Overloaded,
    /// The same, or a patient request would wait too long for an engine. Holds the time after which to retry.
    Backlog(Duration),
    /// The deadline has passed.
    Deadline,
    /// The router is shutting down and has no time left for the request.
    Stopping,
    /// An attempt failed after bytes were sent.
    EndpointFailed,
}

/// An error response to the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Reason for the error.
    pub cause: Cause,
    /// HTTP status.
    pub status: u16,
    /// Time after which to retry; present only if the request has not run.
    pub retry_after: Option<Duration>,
}

/// `Retry-After` of a router without a fresh configuration: about the duration of a watch call to the store, so that
/// one of the client's next two attempts reaches a router with a fresh one.
const RETRY_NOT_READY: Duration = Duration::from_millis(500);
/// `Retry-After` if all endpoints are at capacity: within about this time a third of the running streams end.
const RETRY_FULL: Duration = Duration::from_millis(300);
/// `Retry-After` of a shed request: a queue of one second drains within this time, since only half as many requests
/// enter it.
const RETRY_OVERLOADED: Duration = Duration::from_millis(1_000);
/// Longest `Retry-After` of a request that found no place. Places are divided anew within this time.
const MAX_RETRY_NO_PLACE: Duration = Duration::from_secs(2);
/// `Retry-After` if no endpoint could be reached: a crash is detected or the endpoint replaced within this time.
const RETRY_NO_ENDPOINT: Duration = Duration::from_millis(250);

/// The error response for a cause; `state` says whether the request may have run.
pub fn refusal(cause: Cause, state: RequestState) -> Refusal {
    let not_run = matches!(
        state,
        RequestState::Queued | RequestState::Claimed | RequestState::Refused
    );
    let status = match cause {
        Cause::Malformed => 400,
        Cause::Unauthorized => 401,
        Cause::NoRoute => 404,
        Cause::SlowClient => 408,
        Cause::BodyTooLarge => 413,
        // Nothing is sent before the quota is checked.
        Cause::OverQuota(_) => 429,
        Cause::HeadTooLarge => 431,
        // Nothing is sent of a request that can't be continued.
        Cause::NotReady | Cause::Stale | Cause::UnknownOrigin => 503,
        Cause::NoEndpoint
        | Cause::Full
        | Cause::Limited(_)
        | Cause::NoPlace(_)
        | Cause::Quarantined(_)
        | Cause::Overloaded
        | Cause::Backlog(_) => {
            if not_run {
                503
            } else {
                502
            }
        }
        Cause::EndpointFailed => 502,
        Cause::Stopping if not_run => 503,
        Cause::Deadline | Cause::Stopping => 504,
    };
    let retry_after = match (status, cause) {
        (429, Cause::OverQuota(after)) => Some(after),
        (503, Cause::Full) => Some(RETRY_FULL),
        (503, Cause::Limited(after)) => Some(after.max(RETRY_NO_ENDPOINT)),
        (503, Cause::Quarantined(after)) => Some(after),
        (503, Cause::NoPlace(after)) => Some(after.clamp(RETRY_NO_ENDPOINT, MAX_RETRY_NO_PLACE)),
        (503, Cause::Overloaded) => Some(RETRY_OVERLOADED),
        (503, Cause::Backlog(after)) => Some(after),
        (503, Cause::NoEndpoint) => Some(RETRY_NO_ENDPOINT),
        // Another router can serve the request at once.
        (503, Cause::Stopping) => Some(Duration::ZERO),
        (503, _) => Some(RETRY_NOT_READY),
        _ => None,
    };
    Refusal {
        cause,
        status,
        retry_after,
    }
}

impl Cause {
    /// Name in logs, metrics and the body of error responses.
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
            Self::NoPlace(_) => "no_place",
            Self::Quarantined(_) => "quarantined",
            Self::UnknownOrigin => "unknown_origin",
            Self::OverQuota(_) => "over_quota",
            Self::Overloaded | Self::Backlog(_) => "overloaded",
            Self::Deadline => "deadline",
            Self::Stopping => "stopping",
            Self::EndpointFailed => "endpoint_failed",
        }
    }
}
