//! What an engine speaks, as HTTP with JSON bodies.
//!
//! | call | answer |
//! | --- | --- |
//! | `POST /v1/completions`, `POST /v1/chat/completions` | 200 JSON, or server-sent events numbered by their `id` from 0 and ending in `[DONE]`; 409 [`Refused`] |
//! | `POST /v1/cancel?request=ID` | 204, also when it is unknown |
//! | `GET /v1/load` | 200 [`Load`] |
//! | `GET /v1/events?after=N&wait_ms=W` | 200 [`Events`] |
//! | `POST /v1/orders` with [`Order`] | 200 [`OrderDone`]; 409 [`Refused`] |
//! | `GET /v1/blocks?scope=S&hash=H` | 200 [`Block`]; 404 |
//! | `POST /v1/blocks` with [`Block`] | 204 |
//! | `GET /v1/sent?request=ID` | 200 the bytes of the answer as sent (the stand-in only) |
//! | `POST /fault` with [`Fault`] | 204 (the stand-in only) |

use ids::{Fence, Incarnation, ModelId, WeightsVersion};
use serde::{Deserialize, Serialize};

/// An engine's report of its load; it lags.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// This life of the engine.
    pub incarnation: Incarnation,
    /// The model it serves.
    pub model: ModelId,
    /// The weights it serves, absent while it loads.
    pub weights: Option<WeightsVersion>,
    /// Whether it takes new work.
    pub leaving: bool,
    /// Requests running.
    pub running: u32,
    /// Requests waiting inside the engine.
    pub waiting: u32,
    /// Prompt tokens still to be prefilled.
    pub prefill_tokens: u64,
    /// Cached blocks in use and in all.
    pub blocks: (u64, u64),
    /// Number of the newest cache event.
    pub newest_event: u64,
}

/// A cache event: a block was stored or evicted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Grows by one; a gap means that events were lost.
    pub number: u64,
    /// Hash of the block's chain, hexadecimal.
    pub block: String,
    /// Stored, or else evicted.
    pub stored: bool,
}

/// Events after the number that was asked for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Events {
    /// This life of the engine; numbers start again with each.
    pub incarnation: Incarnation,
    /// Ascending, perhaps with gaps.
    pub events: Vec<Event>,
}

/// What an order asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Serve this model with these weights.
    Load {
        /// The model.
        model: ModelId,
        /// Its weights.
        weights: WeightsVersion,
        /// Adapter on top, if any.
        adapter: Option<String>,
    },
    /// Take part in prefill, decode or both.
    Role(EngineRole),
}

/// Which part of the work an engine does.
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

/// An order; it states the wanted end, so that doing it twice does no harm.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the holder who gives it.
    pub fence: Fence,
    /// The engine must not start on it later than this after receipt, milliseconds.
    pub expires_ms: u64,
    /// The incarnation it is meant for.
    pub incarnation: Incarnation,
    /// The wanted end.
    pub action: Action,
}

/// An order was carried out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderDone {
    /// The engine's life that did it.
    pub incarnation: Incarnation,
}

/// Why an engine refused; a refused request or order has not run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// The reason.
    pub reason: RefusedReason,
}

/// Reasons of an engine's refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusedReason {
    /// The engine serves other weights or is loading.
    OtherWeights,
    /// The engine takes no new work.
    Leaving,
    /// The engine's queue is full.
    Full,
    /// The order's fencing number is older than one already seen.
    OldFence,
    /// The order was meant for another life of the engine.
    OtherIncarnation,
    /// The order came too late.
    Expired,
    /// The request to resume cannot be met.
    CannotResume,
}

/// A kept cache block on its way between engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Block {
    /// Cache scope it belongs to; never imported into another.
    pub scope: String,
    /// Weights it was computed with; refused by others.
    pub weights: WeightsVersion,
    /// Hash of the block's chain, hexadecimal.
    pub hash: String,
    /// Tokens it holds.
    pub tokens: u32,
}

/// Fault switch of the stand-in; a field left out keeps its setting.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Comes back empty under a new incarnation, cutting every connection.
    pub crash: Option<bool>,
    /// Takes no new work from now on.
    pub leaving: Option<bool>,
    /// Accepts calls and never answers.
    pub hang: Option<bool>,
    /// Prefill and decode take this many times as long, in percent.
    pub slow_percent: Option<u32>,
    /// The next this many streams break after [`Fault::break_at`] pieces.
    pub break_streams: Option<u32>,
    /// Pieces sent before a stream breaks; absent: before the head.
    pub break_at: Option<u64>,
    /// The next this many answers bear another request's id.
    pub cross_answers: Option<u32>,
    /// The next this many JSON answers are shorter than declared.
    pub cut_answers: Option<u32>,
    /// Of 100 cache events this many are lost.
    pub lose_events_percent: Option<u32>,
}
