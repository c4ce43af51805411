//! What a plain service speaks: any method below its address, JSON or bytes.
//!
//! | call | answer |
//! | --- | --- |
//! | `POST /ANY/PATH` | 200 [`Done`] |
//! | `GET /v1/load` | 200 [`Load`] |
//! | `GET /v1/executions` | 200 [`Executions`] (the stand-in only) |
//! | `POST /fault` with [`Fault`] | 204 (the stand-in only) |

use ids::Incarnation;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Answer of the stand-in: which call it was, and its how-manieth execution.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    /// The path that was called.
    pub path: String,
    /// Idempotency key, if the call had one.
    pub key: Option<String>,
    /// Request id, if the call had one.
    pub request: Option<String>,
    /// Count of executions in this life.
    pub execution: u64,
    /// The body as received.
    pub echo: String,
}

/// A service's report of its load; it lags.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// This life of the runner.
    pub incarnation: Incarnation,
    /// Whether it takes new work.
    pub leaving: bool,
    /// Calls running.
    pub running: u32,
    /// Calls waiting.
    pub waiting: u32,
}

/// Executions by idempotency key, and by request id for calls without one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Executions {
    /// Executions of each key.
    pub by_key: BTreeMap<String, u64>,
    /// Executions of each request id.
    pub by_request: BTreeMap<String, u64>,
}

/// Fault switch of the stand-in; a field left out keeps its setting.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Takes no new work from now on.
    pub leaving: Option<bool>,
    /// Accepts calls and never answers.
    pub hang: Option<bool>,
    /// Each call takes this long, milliseconds.
    pub work_ms: Option<u64>,
    /// The next this many calls are executed and then cut.
    pub cut: Option<u32>,
    /// Where the cut falls.
    pub cut_at: Option<CutAt>,
    /// The next this many answers bear another request's id.
    pub cross_answers: Option<u32>,
}

/// Where a connection is cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CutAt {
    /// The request is read, not executed, and the connection closed.
    BeforeWork,
    /// Executed, and closed before any byte of the answer.
    BeforeHead,
    /// Inside the answer's head.
    InHead,
    /// After the head, before the body.
    AfterHead,
    /// Inside the body.
    InBody,
}
