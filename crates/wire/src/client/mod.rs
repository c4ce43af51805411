//! The client interface: the common completions API of inference servers, and one JSON format for errors.

mod completion;

pub use completion::{Completion, Message};

use derive_more::Display;
use ids::RequestId;
use serde::{Deserialize, Serialize};

/// Whether a rejected or failed request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Ran {
    /// Nothing was executed.
    NotRun,
    /// It may have been executed, completely or in part.
    Unknown,
}

/// Stable error codes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Code {
    /// The request is malformed.
    InvalidRequest,
    /// The body is too large.
    BodyTooLarge,
    /// No key, or an unknown one.
    Unauthorized,
    /// No such path, model or service for this workspace.
    NotFound,
    /// The workspace's limit is reached.
    RateLimited,
    /// The system has no free capacity.
    Overloaded,
    /// The deadline cannot be met or has passed.
    DeadlineExceeded,
    /// No endpoint can serve it now.
    NoEndpoint,
    /// The endpoint failed before its response was complete.
    EndpointFailed,
    /// The idempotency key was used for a different call.
    KeyReused,
    /// A call with this idempotency key is still running.
    InProgress,
    /// The idempotency key cannot be claimed because the platform is unreachable.
    ClaimUnavailable,
    /// The router is shutting down.
    ShuttingDown,
    /// The router has no configuration yet.
    NotReady,
    /// An internal error of the router.
    Internal,
}

/// An error as clients receive it, under the JSON key `error`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// Stable code.
    pub code: Code,
    /// Human-readable; may change.
    pub message: String,
    /// Whether the request may have run.
    pub ran: Ran,
    /// Time to wait before a retry, milliseconds; also in `Retry-After`, rounded up to seconds.
    pub retry_after_ms: Option<u64>,
    /// The request's id.
    pub request_id: RequestId,
}

/// The JSON body of an error response.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// The error.
    pub error: Refusal,
}
