//! What the product says and hears, and the functions that bring it to a site's wire.
//!
//! A dialect only translates. It never decides: its functions see one message and know nothing of any state.

use dispatch::fleet::{LoadReport, Prompt};
use dispatch::prefixes::{PrefixEvents, Transfers};
use dispatch::rollout::Report;
use dispatch::site::{EndpointEntry, SiteParts};
use http::raw::{Headers, RequestHead, ResponseHead};
use ids::{EndpointId, Fence, Incarnation, ModelId, WorkspaceId};
use quick_error::quick_error;
use std::time::Duration;
use store::items::{Call, Codec, Unreadable};

quick_error! {
    /// Why a caller's head is refused.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum InvalidHead {
        /// A header that must stand once is missing or stands more than once.
        Header(name: &'static str) {
            display("header {name} must stand exactly once")
        }
        /// A header's value cannot be read.
        Value(name: &'static str) {
            display("header {name} cannot be read")
        }
    }
}

/// What a caller asks for.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestInfo {
    /// The caller's id of this attempt.
    pub id: String,
    /// Host it addressed.
    pub host: String,
    /// Key that names its workspace.
    pub key: Option<String>,
    /// How long it will wait.
    pub timeout: Option<Duration>,
    /// The prompt, if it is for a model.
    pub prompt: Option<Prompt>,
}

/// What the router adds to a request for one endpoint.
#[derive(Debug, Clone, Copy)]
pub struct ForwardContext<'a> {
    /// The endpoint that is meant; any other one refuses it.
    pub endpoint: &'a EndpointId,
    /// Time until the caller stops waiting.
    pub remaining: Duration,
    /// The caller's workspace.
    pub workspace: Option<&'a WorkspaceId>,
    /// Scope of cached prefixes.
    pub salt: Option<&'a str>,
    /// Weights that the endpoint must serve the model with; with any other it refuses the request.
    pub weights: Option<u64>,
    /// Exchange with the store of cached prefixes.
    pub transfers: Transfers,
    /// Urgency within the endpoint, 0 the most urgent.
    pub rank: Option<u8>,
    /// Last event of the stream that the caller has.
    pub last_event: Option<u64>,
}

/// What an answer's head tells.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseInfo {
    /// The request's id, as the endpoint echoes it.
    pub id: Option<String>,
    /// The endpoint that answers, where it says so.
    pub endpoint: Option<EndpointId>,
    /// The endpoint's word that it has not run the request.
    pub not_run: bool,
    /// Whether it bears the endpoint's proof that the answer is its own.
    pub sealed: bool,
    /// Whether the body is encoded, which nobody asked for.
    pub encoded: bool,
    /// Load of the endpoint.
    pub load: Option<LoadReport>,
    /// Number of the weights that answer.
    pub weights: Option<u64>,
    /// How long the endpoint keeps the connection without a request.
    pub keep_alive: Option<Duration>,
    /// Requests a second that the endpoint takes from all routers together; absent while it is not in need.
    pub rate: Option<f64>,
}

/// Weights that a model is to be served with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WantedWeights {
    /// The model.
    pub model: ModelId,
    /// Their number; it only grows.
    pub weights: u64,
}

/// An order to load weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightsOrder<'a> {
    /// The endpoint that is meant.
    pub endpoint: &'a EndpointId,
    /// The model.
    pub model: &'a ModelId,
    /// Number of the weights.
    pub weights: u64,
    /// Orders that the endpoint must have accepted so far.
    pub expected: u64,
    /// Who orders.
    pub holder: &'a str,
    /// Generation number.
    pub fence: Fence,
}

/// An endpoint's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResponse {
    /// It is being carried out.
    Accepted,
    /// What it asks for already holds.
    AlreadyApplied,
    /// Another order is in progress or came first.
    Conflict,
    /// Refused for good.
    Refused,
}

/// Keys of the site in the store.
#[derive(Debug, Clone, Copy)]
pub struct StoreKeys {
    /// The operators' document.
    pub document: &'static str,
    /// Prefix of wanted weights.
    pub weights: &'static str,
    /// Prefix of endpoints' entries.
    pub endpoints: &'static str,
}

/// A site's wire.
#[derive(Debug, Clone, Copy)]
pub struct Dialect {
    /// Keys in the store.
    pub keys: StoreKeys,
    /// Calls to the store.
    pub store: Codec,
    /// The operators' document.
    pub parse_document: fn(&[u8]) -> Result<SiteParts, Unreadable>,
    /// Wanted weights.
    pub parse_weights: fn(&[u8]) -> Result<WantedWeights, Unreadable>,
    /// An endpoint's entry, under its id.
    pub parse_entry: fn(EndpointId, &[u8]) -> Result<EndpointEntry, Unreadable>,
    /// A caller's head.
    pub parse_request: fn(&RequestHead) -> Result<RequestInfo, InvalidHead>,
    /// Header lines for an endpoint: the caller's, without what concerns one connection or is the router's to set.
    pub request_headers: fn(&Headers, &ForwardContext<'_>) -> Headers,
    /// An answer's head.
    pub parse_response: fn(&ResponseHead) -> ResponseInfo,
    /// Header lines of an answer for the caller.
    pub response_headers: fn(&Headers) -> Headers,
    /// Asks an endpoint for a report. Any answer shows that it is reached, without a slot, for which its health path would wait.
    pub report_call: fn() -> Call,
    /// An engine's report on a model.
    pub parse_report: fn(&[u8], &ModelId) -> Result<Report, Unreadable>,
    /// An order.
    pub order_call: fn(&WeightsOrder<'_>) -> (Call, Headers),
    /// Status of an order's answer.
    pub order_response: fn(u16) -> OrderResponse,
    /// Asks the store of cached prefixes for events from a number on, and how long it may wait for the first one.
    pub events_call: fn(u64, Duration) -> (Call, Headers),
    /// Its answer.
    pub parse_events: fn(&[u8]) -> Result<PrefixEvents, Unreadable>,
}

/// What the holder tells all routers, as it lies in the store under the product's own key. It outlives the holder: its
/// successor must know which endpoints were ordered last.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Holding {
    /// Generation number of the holder.
    pub fence: Fence,
    /// Endpoints that load weights now or are about to. No order leaves for any other one.
    pub loading: Vec<EndpointId>,
    /// Endpoints that load next: they get no long answers.
    #[serde(default)]
    pub coming: Vec<EndpointId>,
    /// Endpoints whose load has ended lately.
    pub recent: Vec<EndpointId>,
    /// Endpoints that earlier holders ordered lately, and how many milliseconds ago.
    #[serde(default)]
    pub before: Vec<(EndpointId, u64)>,
    /// Endpoints that have loaded.
    pub loaded: Vec<Loaded>,
}

/// Weights that an endpoint has loaded.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Loaded {
    /// Where.
    pub endpoint: EndpointId,
    /// In which of its lives: the next one begins with the weights that it had before.
    pub life: Incarnation,
    /// The model.
    pub model: ModelId,
    /// Number of the weights.
    pub weights: u64,
}
