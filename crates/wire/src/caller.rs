//! What callers speak: the completions interface of this ecosystem, and one JSON form for refusals.

use derive_more::Display;
use ids::{ModelId, RequestId};
use serde::{Deserialize, Serialize};

/// What a router reads of a completion's body; all other fields go on to the engine unread.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Completion {
    /// The model.
    pub model: ModelId,
    /// The prompt of `/v1/completions`.
    #[serde(default)]
    pub prompt: Option<String>,
    /// The messages of `/v1/chat/completions`.
    #[serde(default)]
    pub messages: Option<Vec<Message>>,
    /// Most tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Whether the answer is to come as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

/// One message of a chat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Who speaks.
    pub role: String,
    /// What they say.
    pub content: String,
}

impl Completion {
    /// The prompt as text: a chat is rendered message by message, each as `role`, newline, content, newline.
    pub fn rendered(&self) -> String {
        if let Some(prompt) = &self.prompt {
            return prompt.clone();
        }
        let mut text = String::new();
        for message in self.messages.iter().flatten() {
            text.push_str(&message.role);
            text.push('\n');
            text.push_str(&message.content);
            text.push('\n');
        }
        text
    }
}

/// Tokens of one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
    /// Prompt tokens that were found in the cache.
    pub cached_tokens: u64,
}

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
