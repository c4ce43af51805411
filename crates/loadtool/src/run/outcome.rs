//! What a caller got. Pure data.

use std::time::Duration;

/// How one attempt of a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Attempt {
    /// The whole, true answer.
    Whole,
    /// A refusal that says that nothing ran.
    NotRun(String),
    /// A refusal that says that it may have run.
    Unknown(String),
    /// No connection; nothing was sent.
    NotSent,
    /// The connection broke or the answer was cut.
    Broken,
    /// Nothing in time.
    Silent,
    /// An answer that is not this call's, or not true.
    Wrong(String),
}

/// What a whole answer of a completion says.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Got {
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Of those, found in the cache.
    pub cached_tokens: u64,
    /// From the arrival to the first piece.
    pub first: Duration,
}

/// One call with all its attempts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// Its number.
    pub number: usize,
    /// Its idempotency key.
    pub key: Option<String>,
    /// Whether it is a call of the plain service.
    pub service: bool,
    /// Whether it may run only once.
    pub single: bool,
    /// Attempts in order, each with the id the router gave it, if known.
    pub attempts: Vec<(Attempt, Option<String>)>,
    /// What the answer says, for completions.
    pub got: Option<Got>,
    /// From the arrival to the end.
    pub took: Duration,
}

impl Outcome {
    /// Whether the caller has its answer.
    pub fn is_whole(&self) -> bool {
        matches!(self.attempts.last(), Some((Attempt::Whole, _)))
    }

    /// Whether every attempt says that nothing ran.
    pub fn says_not_run(&self) -> bool {
        self.attempts
            .iter()
            .all(|(attempt, _)| matches!(attempt, Attempt::NotRun(_) | Attempt::NotSent))
    }
}

impl Attempt {
    /// A name for counting.
    pub fn name(&self) -> String {
        match self {
            Self::Whole => "whole".to_owned(),
            Self::NotRun(code) => format!("{code} (not run)"),
            Self::Unknown(code) => format!("{code} (unknown)"),
            Self::NotSent => "no connection".to_owned(),
            Self::Broken => "broken".to_owned(),
            Self::Silent => "silent".to_owned(),
            Self::Wrong(what) => format!("wrong: {what}"),
        }
    }
}
