//! Interface of engines: HTTP with JSON bodies.
//!
//! | call | response |
//! | --- | --- |
//! | `POST /v1/completions`, `POST /v1/chat/completions` | 200 JSON, or server-sent events numbered by their `id` from 0 and ending in `[DONE]`; 409 [`Refused`] |
//! | `POST /v1/cancel?request=ID` | 204, also if the request is unknown |
//! | `GET /v1/load` | 200 [`Load`] |
//! | `GET /v1/events?after=N&wait_ms=W` | 200 [`Events`] |
//! | `POST /v1/orders` with [`Order`] | 200 [`OrderDone`]; 409 [`Refused`] |
//! | `GET /v1/blocks?scope=S&hash=H` | 200 [`Block`]; 404 |
//! | `POST /v1/blocks` with [`Block`] | 204 |
//! | `GET /v1/sent?request=ID` | 200 with the bytes of the response as sent (stand-in only) |
//! | `POST /fault` with [`Fault`] | 204 (stand-in only) |

use ids::{Fence, Incarnation, ModelId, WeightsVersion};
use serde::{Deserialize, Serialize};

/// An engine's load report, which lags behind its actual load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// The model it serves.
    pub model: ModelId,
    /// The weights it serves, absent while it loads weights.
    pub weights: Option<WeightsVersion>,
    /// Whether it is draining and accepts no new work.
    pub leaving: bool,
    /// Requests running.
    pub running: u32,
    /// Requests waiting in the engine's queue.
    pub waiting: u32,
    /// Prompt tokens still to be prefilled.
    pub prefill_tokens: u64,
    /// Cache blocks: in use, total.
    pub blocks: (u64, u64),
    /// Number of the newest cache event.
    pub newest_event: u64,
}

/// A cache event: a block was stored or evicted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Increases by one per event; a gap means that events were lost.
    pub number: u64,
    /// Hash of the chain of blocks up to this one, hexadecimal.
    pub block: String,
    /// Whether the block was stored; otherwise it was evicted.
    pub stored: bool,
}

/// Events after the requested number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Events {
    /// Incarnation of the engine; event numbers restart with each incarnation.
    pub incarnation: Incarnation,
    /// Events in ascending order, possibly with gaps.
    pub events: Vec<Event>,
}

/// The action that an order requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Serve this model with these weights.
    Load {
        /// The model.
        model: ModelId,
        /// Its weights.
        weights: WeightsVersion,
        /// Adapter to apply, if any.
        adapter: Option<String>,
    },
    /// Take part in prefill, decode or both.
    Role(EngineRole),
}

/// The phases of inference that an engine runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
    /// Both.
    Both,
}

/// An order to an engine. It states the desired end state, which makes it idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token of the lease holder that sends the order.
    pub fence: Fence,
    /// Time after receipt within which the engine must start on the order, milliseconds.
    pub expires_ms: u64,
    /// The engine incarnation that the order is for.
    pub incarnation: Incarnation,
    /// The desired end state.
    pub action: Action,
}

/// Response to an order that was carried out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderDone {
    /// Incarnation of the engine that carried it out.
    pub incarnation: Incarnation,
}

/// An engine's rejection of a request or an order, which has then not run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// The reason.
    pub reason: RefusedReason,
}

/// Reasons for a rejection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusedReason {
    /// The engine serves other weights or is loading.
    OtherWeights,
    /// The engine is draining and accepts no new work.
    Leaving,
    /// The engine's queue is full.
    Full,
    /// The order's fencing token is older than one that the engine has seen.
    OldFence,
    /// The order was for another incarnation of the engine.
    OtherIncarnation,
    /// The order expired before the engine started on it.
    Expired,
    /// The stream cannot be resumed at the requested event.
    CannotResume,
}

/// A cache block, as transferred between engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Block {
    /// Cache scope that the block belongs to. It is never imported into another scope.
    pub scope: String,
    /// Weights that the block was computed with. Engines with other weights reject it.
    pub weights: WeightsVersion,
    /// Hash of the chain of blocks up to this one, hexadecimal.
    pub hash: String,
    /// Number of tokens in the block.
    pub tokens: u32,
}

/// Fault injection in the stand-in. An absent field keeps its setting.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Cuts all connections and restarts with an empty cache and a new incarnation.
    pub crash: Option<bool>,
    /// Starts draining: accepts no new work.
    pub leaving: Option<bool>,
    /// Accepts calls and never responds.
    pub hang: Option<bool>,
    /// Duration of prefill and decode in percent of normal.
    pub slow_percent: Option<u32>,
    /// This many of the next streams break after [`Fault::break_at`] events.
    pub break_streams: Option<u32>,
    /// Events sent before a stream breaks. If absent, it breaks before the response head.
    pub break_at: Option<u64>,
    /// This many of the next responses carry another request's id.
    pub cross_answers: Option<u32>,
    /// This many of the next JSON responses are shorter than their declared length.
    pub cut_answers: Option<u32>,
    /// Percentage of cache events that are lost.
    pub lose_events_percent: Option<u32>,
}
