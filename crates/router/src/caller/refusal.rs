//! Refusals: one typed cause each, and one JSON form.

use derive_more::Display;
use http::{Response, StatusCode};
use ids::{IdempotencyKey, ModelId, RequestId, ServiceId};
use std::time::Duration;
use wire::client::{Code, Ran, Refusal, RefusalBody};
use wire::headers;

/// Why a request gets no answer of an endpoint.
#[derive(Debug, Display)]
pub enum Cause {
    /// The body is not the JSON that is needed.
    #[display("the body cannot be read: {_0}")]
    Json(serde_json::Error),
    /// Neither prompt nor messages.
    #[display("the body has neither `prompt` nor `messages`")]
    NoPrompt,
    /// A header's value cannot be read.
    #[display("the header {_0} cannot be read")]
    Header(&'static str),
    /// No priority of that name is configured.
    #[display("there is no priority {_0}")]
    Priority(String),
    /// Body longer than allowed, bytes.
    #[display("the body is longer than {_0} bytes")]
    TooLarge(u64),
    /// The body broke off, came too slowly or was shorter than declared.
    #[display("the body did not arrive whole")]
    BodyBroke,
    /// Missing or unknown key.
    #[display("a bearer key of a workspace is needed")]
    Key,
    /// No such model for this workspace.
    #[display("there is no model {_0} for this workspace")]
    Model(ModelId),
    /// No such service for this workspace.
    #[display("there is no service {_0} for this workspace")]
    Service(ServiceId),
    /// No operation of the service has this path.
    #[display("the service has no operation at this path")]
    Operation,
    /// No such path.
    #[display("there is nothing at this path")]
    NoPath,
    /// The path needs another method.
    #[display("this path needs another method")]
    Method,
    /// The workspace's limit is reached.
    #[display("the workspace's limit is reached")]
    Limit,
    /// The pool decided against it.
    #[display("{_0}")]
    Admission(admission::Reason),
    /// The bodies in flight take all memory that they may.
    #[display("the router holds too many bodies")]
    Memory,
    /// No endpoint can take it.
    #[display("no endpoint can serve this now")]
    NoEndpoint,
    /// The deadline passed.
    #[display("the deadline has passed")]
    Deadline,
    /// The endpoint failed before its answer was whole.
    #[display("the endpoint failed before its answer was whole")]
    Endpoint,
    /// The key stands for another call.
    #[display("the idempotency key {_0} stands for another call")]
    KeyReused(IdempotencyKey),
    /// The key's call is running.
    #[display("a call with the idempotency key {_0} is running")]
    InProgress(IdempotencyKey),
    /// The key's call may have run; nobody will know.
    #[display("the call with the idempotency key {_0} may have run, and will not be run again")]
    Abandoned(IdempotencyKey),
    /// The key's call ran, its answer was too large to keep.
    #[display("the call with the idempotency key {_0} ran; its answer of {_1} bytes was not kept")]
    NotKept(IdempotencyKey, u64),
    /// The claim cannot be made.
    #[display("the idempotency key cannot be claimed while the platform is out of reach")]
    Claim,
    /// Shutdown.
    #[display("this router is shutting down")]
    ShuttingDown,
    /// No configuration yet.
    #[display("this router has no configuration yet")]
    NotReady,
}

impl Cause {
    /// The stable code.
    pub fn code(&self) -> Code {
        use admission::Reason;
        match self {
            Self::Json(_) | Self::NoPrompt | Self::Header(_) | Self::Priority(_) | Self::BodyBroke => {
                Code::InvalidRequest
            }
            Self::TooLarge(_) => Code::BodyTooLarge,
            Self::Key => Code::Unauthorized,
            Self::Model(_) | Self::Service(_) | Self::Operation | Self::NoPath | Self::Method => Code::NotFound,
            Self::Limit => Code::RateLimited,
            Self::Admission(Reason::DeadlineUnreachable | Reason::DeadlineShort) | Self::Deadline => {
                Code::DeadlineExceeded
            }
            Self::Admission(Reason::NoCapacity) | Self::NoEndpoint => Code::NoEndpoint,
            Self::Admission(_) | Self::Memory => Code::Overloaded,
            Self::Endpoint | Self::Abandoned(_) | Self::NotKept(..) => Code::EndpointFailed,
            Self::KeyReused(_) => Code::KeyReused,
            Self::InProgress(_) => Code::InProgress,
            Self::Claim => Code::ClaimUnavailable,
            Self::ShuttingDown => Code::ShuttingDown,
            Self::NotReady => Code::NotReady,
        }
    }

    fn status(&self) -> StatusCode {
        match self {
            Self::Method => StatusCode::MethodNotAllowed,
            Self::BodyBroke => StatusCode::RequestTimeout,
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

/// A refusal on its way to the caller.
#[derive(Debug)]
pub struct Refused {
    /// Why.
    pub cause: Cause,
    /// Whether the request may have run.
    pub ran: Ran,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

impl Refused {
    /// A refusal of a request that has not run.
    pub fn not_run(cause: Cause) -> Self {
        Self {
            cause,
            ran: Ran::NotRun,
            retry_after: None,
        }
    }

    /// A refusal of a request in a state that says whether it ran.
    pub fn with(cause: Cause, ran: Ran) -> Self {
        Self {
            cause,
            ran,
            retry_after: None,
        }
    }

    /// States when to come back, milliseconds.
    pub fn retry_after(mut self, ms: u64) -> Self {
        self.retry_after = Some(Duration::from_millis(ms));
        self
    }

    /// The refusal as callers see it.
    pub fn body(&self, id: &RequestId) -> RefusalBody {
        let error = Refusal {
            code: self.cause.code(),
            message: self.cause.to_string(),
            ran: self.ran,
            retry_after_ms: self.retry_after.map(|after| after.as_millis() as u64),
            request_id: id.clone(),
        };
        RefusalBody { error }
    }

    /// The HTTP answer.
    pub fn into_response(self, id: &RequestId) -> Response {
        let mut response = Response::new(self.cause.status());
        response.insert_header("content-type", "application/json");
        response.insert_header(headers::RAN, self.ran.to_string());
        if let Some(after) = self.retry_after {
            let seconds = after.as_millis().div_ceil(1000).max(1);
            response.insert_header("retry-after", seconds.to_string());
        }
        let body = serde_json::to_vec(&self.body(id)).expect("a refusal is always JSON");
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
