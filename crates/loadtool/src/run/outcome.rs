//! The outcomes of calls.

use std::time::Duration;

/// The result of one attempt of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Attempt {
    /// The complete, correct answer.
    Complete,
    /// A refusal that states that nothing ran.
    NotRun(String),
    /// A refusal that states that the call may have run.
    Unknown(String),
    /// Connecting failed; nothing was sent.
    NotSent,
    /// The connection was lost or the answer was truncated.
    Broken,
    /// No answer in time.
    Timeout,
    /// An answer to another call, or an incorrect answer.
    Wrong(String),
}

/// The token usage and latency of a complete completion.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CompletionUsage {
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Time from the arrival to the first piece.
    pub first: Duration,
}

/// One call with all its attempts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// The number of the call.
    pub number: usize,
    /// The idempotency key.
    pub key: Option<String>,
    /// Whether it is a call of the plain service.
    pub service: bool,
    /// Whether it must run at most once.
    pub single: bool,
    /// The attempts in order, each with the request id assigned by the router, if known.
    pub attempts: Vec<(Attempt, Option<String>)>,
    /// The usage of a completion.
    pub usage: Option<CompletionUsage>,
    /// Time from the arrival to the end.
    pub duration: Duration,
}

impl Outcome {
    /// Whether the client received a complete answer.
    pub fn is_complete(&self) -> bool {
        matches!(self.attempts.last(), Some((Attempt::Complete, _)))
    }

    /// Whether every attempt states that nothing ran.
    pub fn says_not_run(&self) -> bool {
        self.attempts
            .iter()
            .all(|(attempt, _)| matches!(attempt, Attempt::NotRun(_) | Attempt::NotSent))
    }
}

impl Attempt {
    /// The name under which the attempt is counted.
    pub fn name(&self) -> String {
        match self {
            Self::Complete => "whole".to_owned(),
            Self::NotRun(code) => format!("{code} (not run)"),
            Self::Unknown(code) => format!("{code} (unknown)"),
            Self::NotSent => "no connection".to_owned(),
            Self::Broken => "broken".to_owned(),
            Self::Timeout => "silent".to_owned(),
            Self::Wrong(what) => format!("wrong: {what}"),
        }
    }
}
