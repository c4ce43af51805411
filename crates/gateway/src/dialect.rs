//! The messages that a router exchanges with its site, and the functions that convert them to and from the site's
//! protocol.
//!
//! A dialect only converts. Its functions see one message each, hold no state and make no decisions.

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
    /// Why a request head is rejected.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum InvalidHead {
        /// A required header is missing, or a header that must be unique is repeated.
        Header(name: &'static str) {
            display("header {name} must occur exactly once")
        }
        /// The value of a header cannot be parsed.
        Value(name: &'static str) {
            display("cannot parse header {name}")
        }
    }
}

/// Information parsed from the head of a client's request.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestInfo {
    /// Id that the client gave this attempt.
    pub id: String,
    /// The requested host.
    pub host: String,
    /// API key that identifies the workspace.
    pub key: Option<String>,
    /// How long the client waits for the response.
    pub timeout: Option<Duration>,
    /// Prompt tokens and maximum output tokens together, if the client states them.
    pub tokens: Option<u64>,
    /// The prompt, if the request is for a model.
    pub prompt: Option<Prompt>,
    /// Id of the client's attempt that brought the first event of the stream that this request continues.
    pub resumes: Option<String>,
    /// Number of the last event of that stream that the client has; none if the request begins a stream.
    pub last_event: Option<u64>,
}

/// Data that the router adds to a request for one endpoint.
#[derive(Debug, Clone, Copy)]
pub struct ForwardContext<'a> {
    /// The intended endpoint. Any other endpoint rejects the request.
    pub endpoint: &'a EndpointId,
    /// Time until the client stops waiting.
    pub remaining: Duration,
    /// Workspace of the client.
    pub workspace: Option<&'a WorkspaceId>,
    /// Scope of cached prefixes.
    pub salt: Option<&'a str>,
    /// Number of the weights that the endpoint must use. It rejects the request if it has others.
    pub weights: Option<u64>,
    /// Prefix transfers between the endpoint and the prefix cache stores.
    pub transfers: Transfers,
    /// Priority within the endpoint; 0 is the highest.
    pub rank: Option<u8>,
    /// Number of the last stream event that the client has received.
    pub last_event: Option<u64>,
}

/// Information parsed from the head of an endpoint's response.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseInfo {
    /// The request's id, as echoed by the endpoint.
    pub id: Option<String>,
    /// The responding endpoint, if it names itself.
    pub endpoint: Option<EndpointId>,
    /// Whether the endpoint states that it has not executed the request.
    pub not_run: bool,
    /// Whether the response carries the seal that proves that it comes from the endpoint.
    pub sealed: bool,
    /// Whether the body has a content encoding, although none was requested.
    pub encoded: bool,
    /// Current load of the endpoint.
    pub load: Option<LoadReport>,
    /// Number of the weights that the endpoint used.
    pub weights: Option<u64>,
    /// How long the endpoint keeps an idle connection open.
    pub keep_alive: Option<Duration>,
    /// How long the endpoint wants nothing from this router if it turns the request away with status 503.
    pub retry_after: Option<Duration>,
    /// Requests per second that the endpoint accepts from all routers together; absent while it is not overloaded.
    pub rate: Option<f64>,
    /// Rejections per second, over all routers, above which the endpoint falls over; absent unless it is brittle.
    pub tolerance: Option<u32>,
    /// Whether the endpoint states that it leaves.
    pub leaving: bool,
}

impl ResponseInfo {
    /// Whether the response is the endpoint's own, unchanged, to the request that it was sent.
    pub fn is_authentic(&self) -> bool {
        self.sealed && !self.encoded && self.id.is_some()
    }
}

/// The weights that a model should be served with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetWeights {
    /// The model.
    pub model: ModelId,
    /// Number of the weights; it only increases.
    pub weights: u64,
}

/// An order to load weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightsOrder<'a> {
    /// The endpoint that should load them.
    pub endpoint: &'a EndpointId,
    /// The model.
    pub model: &'a ModelId,
    /// Number of the weights.
    pub weights: u64,
    /// Number of orders that the endpoint must have accepted before this one.
    pub expected: u64,
    /// Name of the lease holder.
    pub holder: &'a str,
    /// Fencing token of the lease holder.
    pub fence: Fence,
}

/// An endpoint's response to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResponse {
    /// The endpoint executes the order.
    Accepted,
    /// The requested state is already in place.
    AlreadyApplied,
    /// Another order is in progress or was accepted first.
    Conflict,
    /// The endpoint will never accept the order.
    Refused,
}

/// Keys of the site's data in the store.
#[derive(Debug, Clone, Copy)]
pub struct StoreKeys {
    /// The configuration document.
    pub document: &'static str,
    /// Key prefix of the target weights.
    pub weights: &'static str,
    /// Key prefix of the endpoints' entries.
    pub endpoints: &'static str,
}

/// Conversions to and from the protocol of a site.
#[derive(Debug, Clone, Copy)]
pub struct Dialect {
    /// Keys in the store.
    pub keys: StoreKeys,
    /// Encoding of calls to the store.
    pub store: Codec,
    /// Parses the configuration document.
    pub parse_document: fn(&[u8]) -> Result<SiteParts, Unreadable>,
    /// Parses target weights.
    pub parse_weights: fn(&[u8]) -> Result<TargetWeights, Unreadable>,
    /// Parses the entry of the endpoint with this id.
    pub parse_entry: fn(EndpointId, &[u8]) -> Result<EndpointEntry, Unreadable>,
    /// Parses the head of a client's request.
    pub parse_request: fn(&RequestHead) -> Result<RequestInfo, InvalidHead>,
    /// Headers for an endpoint: those of the client, without hop-by-hop headers and headers that only the router sets,
    /// plus the context.
    pub request_headers: fn(&Headers, &ForwardContext<'_>) -> Headers,
    /// Parses the head of an endpoint's response.
    pub parse_response: fn(&ResponseHead) -> ResponseInfo,
    /// Headers of a response for the client.
    pub response_headers: fn(&Headers) -> Headers,
    /// The call that requests a report from an endpoint. Any response proves that the endpoint is reachable. Unlike its
    /// health check, the call needs no slot.
    pub report_call: fn() -> Call,
    /// The call that requests a report from one endpoint. Another endpoint at its address responds with status 421.
    pub identity_call: fn(&EndpointId) -> (Call, Headers),
    /// Parses the incarnation from a report; none if the report names none.
    pub parse_incarnation: fn(&[u8]) -> Result<Option<Incarnation>, Unreadable>,
    /// Parses an engine's report for one model.
    pub parse_report: fn(&[u8], &ModelId) -> Result<Report, Unreadable>,
    /// The call that sends an order.
    pub order_call: fn(&WeightsOrder<'_>) -> (Call, Headers),
    /// Interprets the status of the response to an order.
    pub order_response: fn(u16) -> OrderResponse,
    /// The call that reads events of a prefix cache store, starting at an event number, with the longest wait for the
    /// first event.
    pub events_call: fn(u64, Duration) -> (Call, Headers),
    /// Parses the response to that call.
    pub parse_events: fn(&[u8]) -> Result<PrefixEvents, Unreadable>,
}

/// The load list: what the lease holder publishes to all routers under a key of its own in the store. It remains in the
/// store when the lease ends, because the next holder must know which endpoints received orders recently.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LoadList {
    /// Fencing token of the lease holder.
    pub fence: Fence,
    /// Endpoints that load weights or are about to. No other endpoint receives an order.
    pub loading: Vec<EndpointId>,
    /// Endpoints that load next. They receive no requests with long responses.
    #[serde(default)]
    #[serde(rename = "coming")]
    pub upcoming: Vec<EndpointId>,
    /// Endpoints that finished loading recently.
    pub recent: Vec<EndpointId>,
    /// Endpoints that earlier lease holders ordered recently, each with the time since then in milliseconds.
    #[serde(default)]
    #[serde(rename = "before")]
    pub foreign: Vec<(EndpointId, u64)>,
    /// Endpoints that have finished loading.
    pub loaded: Vec<LoadedWeights>,
}

/// Weights that an endpoint has loaded.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LoadedWeights {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its incarnation. After a restart, an endpoint starts with the weights that it had before the load.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// The model.
    pub model: ModelId,
    /// Number of the weights.
    pub weights: u64,
}
