//! What callers speak: the completions interface of this ecosystem, and one JSON form for refusals.

mod completion;

pub use completion::{Completion, Message};

use derive_more::Display;
use ids::RequestId;
use serde::{Deserialize, Serialize};

/// Whether a refused or failed request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Ran {
    /// Nothing was executed.
    NotRun,
    /// It may have been executed, wholly or in part.
    Unknown,
}

/// Stable codes of refusals.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Code {
    /// The request cannot be understood.
    InvalidRequest,
    /// The body is too large.
    BodyTooLarge,
    /// No key, or an unknown one.
    Unauthorized,
    /// No such path, model or service for this workspace.
    NotFound,
    /// The workspace's limit is reached.
    RateLimited,
    /// The system is full.
    Overloaded,
    /// The deadline cannot be met or has passed.
    DeadlineExceeded,
    /// No endpoint can serve it now.
    NoEndpoint,
    /// The endpoint failed before its answer was whole.
    EndpointFailed,
    /// The key was used for another call.
    KeyReused,
    /// A call of this key is still running.
    InProgress,
    /// The key's claim cannot be made while the platform is out of reach.
    ClaimUnavailable,
    /// The router is shutting down.
    ShuttingDown,
    /// The router has no configuration yet.
    NotReady,
    /// A fault of the router.
    Internal,
}

/// A refusal as callers see it, under the key `error`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// Stable code.
    pub code: Code,
    /// For people; may change.
    pub message: String,
    /// Whether the request may have run.
    pub ran: Ran,
    /// When to come back, milliseconds; also in `Retry-After`, rounded up to seconds.
    pub retry_after_ms: Option<u64>,
    /// The request's id.
    pub request_id: RequestId,
}

/// The JSON body of a refusal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// The refusal.
    pub error: Refusal,
}
