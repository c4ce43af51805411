//! Refusals of requests: typed causes and their JSON form.

use derive_more::Display;
use http::{Response, StatusCode};
use ids::{IdempotencyKey, ModelId, RequestId, ServiceId};
use std::time::Duration;
use wire::client::{Code, Ran, Refusal, RefusalBody};
use wire::headers;

/// Why a request gets no response from an endpoint.
#[derive(Debug, Display)]
pub enum Cause {
    /// The body is not a valid JSON request.
    #[display("the body cannot be read: {_0}")]
    Json(serde_json::Error),
    /// Both `prompt` and `messages` are missing.
    #[display("the body has neither `prompt` nor `messages`")]
    NoPrompt,
    /// A header has an invalid value.
    #[display("the header {_0} cannot be read")]
    Header(&'static str),
    /// The configuration has no priority of that name.
    #[display("there is no priority {_0}")]
    Priority(String),
    /// The body exceeds the limit, bytes.
    #[display("the body is longer than {_0} bytes")]
    TooLarge(u64),
    /// The body was cut off, arrived too slowly or is shorter than declared.
    #[display("the body did not arrive whole")]
    BodyIncomplete,
    /// The bearer key is missing or unknown.
    #[display("a bearer key of a workspace is needed")]
    Unauthorized,
    /// The workspace has no such model.
    #[display("there is no model {_0} for this workspace")]
    Model(ModelId),
    /// The workspace has no such service.
    #[display("there is no service {_0} for this workspace")]
    Service(ServiceId),
    /// The service has no operation at this path.
    #[display("the service has no operation at this path")]
    Operation,
    /// Unknown path.
    #[display("there is nothing at this path")]
    NoPath,
    /// The path does not support the method.
    #[display("this path needs another method")]
    Method,
    /// The workspace's rate limit is exceeded.
    #[display("the workspace's limit is reached")]
    Limit,
    /// Admission refused the request.
    #[display("{_0}")]
    Admission(admission::Reason),
    /// The bodies of requests in flight use up their memory budget.
    #[display("the router holds too many bodies")]
    BodyMemory,
    /// No endpoint is available.
    #[display("no endpoint can serve this now")]
    NoEndpoint,
    /// The deadline passed.
    #[display("the deadline has passed")]
    Deadline,
    /// The endpoint failed before its response was complete.
    #[display("the endpoint failed before its answer was whole")]
    EndpointFailed,
    /// The idempotency key was used for a different request.
    #[display("the idempotency key {_0} stands for another call")]
    KeyReused(IdempotencyKey),
    /// A request with this idempotency key is in progress.
    #[display("a call with the idempotency key {_0} is running")]
    InProgress(IdempotencyKey),
    /// The request with this idempotency key may have run, and its result cannot be determined.
    #[display("the call with the idempotency key {_0} may have run, and will not be run again")]
    Abandoned(IdempotencyKey),
    /// The request with this idempotency key ran; its response was too large to store. Size in bytes.
    #[display("the call with the idempotency key {_0} ran; its answer of {_1} bytes was not kept")]
    AnswerNotStored(IdempotencyKey, u64),
    /// The idempotency key cannot be claimed.
    #[display("the idempotency key cannot be claimed while the platform is out of reach")]
    ClaimUnavailable,
    /// The router is shutting down.
    #[display("this router is shutting down")]
    ShuttingDown,
    /// The router has no configuration yet.
    #[display("this router has no configuration yet")]
    NotReady,
}

impl Cause {
    /// The stable error code.
    pub fn code(&self) -> Code {
        use admission::Reason;
        match self {
            Self::Json(_) | Self::NoPrompt | Self::Header(_) | Self::Priority(_) | Self::BodyIncomplete => {
                Code::InvalidRequest
            }
            Self::TooLarge(_) => Code::BodyTooLarge,
            Self::Unauthorized => Code::Unauthorized,
            Self::Model(_) | Self::Service(_) | Self::Operation | Self::NoPath | Self::Method => Code::NotFound,
            Self::Limit => Code::RateLimited,
            Self::Admission(Reason::DeadlineUnreachable | Reason::DeadlineShort) | Self::Deadline => {
                Code::DeadlineExceeded
            }
            Self::Admission(Reason::NoCapacity) | Self::NoEndpoint => Code::NoEndpoint,
            Self::Admission(_) | Self::BodyMemory => Code::Overloaded,
            Self::EndpointFailed | Self::Abandoned(_) | Self::AnswerNotStored(..) => Code::EndpointFailed,
            Self::KeyReused(_) => Code::KeyReused,
            Self::InProgress(_) => Code::InProgress,
            Self::ClaimUnavailable => Code::ClaimUnavailable,
            Self::ShuttingDown => Code::ShuttingDown,
            Self::NotReady => Code::NotReady,
        }
    }

    fn status(&self) -> StatusCode {
        match self {
            Self::Method => StatusCode::MethodNotAllowed,
            Self::BodyIncomplete => StatusCode::RequestTimeout,
            _ => status(self.code()),
        }
    }
}

fn status(code: Code) -> StatusCode {
    match code {
        Code::InvalidRequest => StatusCode::BadRequest,
        Code::BodyTooLarge => StatusCode::PayloadTooLarge,
        Code::Unauthorized => StatusCode::Unauthorized,
        Code::NotFound => StatusCode::NotFound,
        Code::RateLimited => StatusCode::TooManyRequests,
        Code::DeadlineExceeded => StatusCode::GatewayTimeout,
        Code::EndpointFailed => StatusCode::BadGateway,
        Code::KeyReused => StatusCode::UnprocessableEntity,
        Code::InProgress => StatusCode::Conflict,
        Code::Overloaded | Code::NoEndpoint | Code::ClaimUnavailable | Code::ShuttingDown | Code::NotReady => {
            StatusCode::ServiceUnavailable
        }
        Code::Internal => StatusCode::InternalServerError,
    }
}

/// A refusal to be sent to the client.
#[derive(Debug)]
pub struct Refused {
    /// The cause.
    pub cause: Cause,
    /// Whether the request may have run.
    pub ran: Ran,
    /// When the client may retry.
    pub retry_after: Option<Duration>,
}

impl Refused {
    /// Creates a refusal of a request that has not run.
    pub fn not_run(cause: Cause) -> Self {
        Self {
            cause,
            ran: Ran::NotRun,
            retry_after: None,
        }
    }

    /// Creates a refusal that states whether the request ran.
    pub fn new(cause: Cause, ran: Ran) -> Self {
        Self {
            cause,
            ran,
            retry_after: None,
        }
    }

    /// Sets the time after which the client may retry, milliseconds.
    pub fn retry_after(mut self, ms: u64) -> Self {
        self.retry_after = Some(Duration::from_millis(ms));
        self
    }

    /// The JSON body sent to clients.
    pub fn body(&self, id: &RequestId) -> RefusalBody {
        let error = Refusal {
            code: self.cause.code(),
            message: self.cause.to_string(),
            ran: self.ran,
            retry_after_ms: self.retry_after.map(|delay| delay.as_millis() as u64),
            request_id: id.clone(),
        };
        RefusalBody { error }
    }

    /// Converts the refusal into an HTTP response.
    pub fn into_response(self, id: &RequestId) -> Response {
        let mut response = Response::new(self.cause.status());
        response.insert_header("content-type", "application/json");
        response.insert_header(headers::RAN, self.ran.to_string());
        if let Some(delay) = self.retry_after {
            let seconds = delay.as_millis().div_ceil(1000).max(1);
            response.insert_header("retry-after", seconds.to_string());
        }
        let body = serde_json::to_vec(&self.body(id)).expect("a refusal serializes to JSON");
        response.set_body(body);
        response.insert_header("content-type", "application/json");
        response
    }
}

impl From<admission::Refusal> for Refused {
    fn from(refusal: admission::Refusal) -> Self {
        let mut refused = Self::not_run(Cause::Admission(refusal.reason));
        refused.retry_after = refusal.retry_after;
        refused
    }
}
