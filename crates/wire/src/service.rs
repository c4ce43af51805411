//! Interface of plain services: any method and path, JSON or bytes.
//!
//! | call | response |
//! | --- | --- |
//! | `POST /ANY/PATH` | 200 [`Done`] |
//! | `GET /v1/load` | 200 [`Load`] |
//! | `GET /v1/executions` | 200 [`Executions`] (stand-in only) |
//! | `POST /fault` with [`Fault`] | 204 (stand-in only) |

use ids::Incarnation;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Response of the stand-in: the call and the number of its execution.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    /// The path that was called.
    pub path: String,
    /// Idempotency key, if the call had one.
    pub key: Option<String>,
    /// Request id, if the call had one.
    pub request: Option<String>,
    /// Number of executions in this incarnation so far.
    pub execution: u64,
    /// The body as received.
    pub echo: String,
}

/// A service's load report, which lags behind its actual load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Incarnation of the runner.
    pub incarnation: Incarnation,
    /// Whether it is draining and accepts no new work.
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

/// Fault injection in the stand-in. An absent field keeps its setting.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Starts draining: accepts no new work.
    pub leaving: Option<bool>,
    /// Accepts calls and never responds.
    pub hang: Option<bool>,
    /// Each call takes this long, milliseconds.
    pub work_ms: Option<u64>,
    /// The connections of this many of the next calls are cut, see [`Fault::cut_at`].
    pub cut: Option<u32>,
    /// The point at which they are cut.
    pub cut_at: Option<CutAt>,
    /// This many of the next responses carry another request's id.
    pub cross_answers: Option<u32>,
    /// Executed calls are answered with this status.
    pub status: Option<u16>,
}

/// Where a connection is cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CutAt {
    /// After the request was read, before execution.
    BeforeWork,
    /// After execution, before any byte of the response.
    BeforeHead,
    /// Inside the response head.
    InHead,
    /// After the response head, before the body.
    AfterHead,
    /// Inside the response body.
    InBody,
}
