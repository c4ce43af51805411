//! Messages between a router and those that follow it, report to it or ask it.

use dispatch::fatal_parts::PartId;
use dispatch::fleet::{LaneTokens, ShortKey, WorkKind};
use dispatch::origins::{Origin, StreamKey};
use dispatch::overload::KindLoad;
use dispatch::prefixes::PartKey;
use dispatch::quarantine::{ContentKey, ProcessKey};
use ids::{DomainId, EndpointId, Incarnation, ModelId, ServiceId, SoftwareVersion, VmId, WorkspaceId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Age of a time, in milliseconds. Messages hold ages, because clocks differ.
pub fn age_ms(at: Duration, now: Duration) -> u64 {
    now.saturating_sub(at).as_millis() as u64
}

/// The time that has an age in milliseconds, or zero if that is later.
pub fn time_of(age_ms: u64, now: Duration) -> Duration {
    now.saturating_sub(Duration::from_millis(age_ms))
}

/// Requests the changes after a revision.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Follow {
    /// Store revision up to which the follower is complete; absent if it has nothing.
    pub after: Option<u64>,
    /// The store's era of that revision; absent from older routers without eras.
    #[serde(default)]
    pub era: Option<u64>,
    /// How long the response may wait for the first change, milliseconds.
    pub wait_ms: u64,
    /// Whether the follower can unpack [packed](crate::pack) values.
    #[serde(default)]
    pub unpacks: bool,
}

/// A store item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayItem {
    /// The key.
    pub key: String,
    /// Its value. Text suffices because all values that routers read are text.
    pub value: String,
    /// Whether `value` is [packed](crate::pack).
    #[serde(default)]
    pub packed: bool,
    /// Store revision of its last change.
    pub revision: u64,
    /// Store revision of its creation.
    pub created: u64,
    /// The lease that the item expires with; 0 for none.
    pub lease: u64,
}

/// An uninterrupted period in which the store responded to a router, as ages at the time of sending.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UptimeMessage {
    /// Age of the first response, milliseconds.
    pub from_ms: u64,
    /// Age of the last response, milliseconds.
    pub until_ms: u64,
}

/// The changes after a revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowResponse {
    /// Store revision up to which this is complete; absent if the upstream has not read the store yet.
    pub revision: Option<u64>,
    /// The store's era of that revision; absent from older routers without eras.
    #[serde(default)]
    pub era: Option<u64>,
    /// Whether `items` holds all items; otherwise it holds only the changed ones.
    pub whole: bool,
    /// All or the changed items, see `whole`.
    pub items: Vec<RelayItem>,
    /// Removed keys.
    pub removed: Vec<String>,
    /// How long before this response the upstream last knew that the store held nothing newer, milliseconds.
    pub age_ms: Option<u64>,
    /// Period in which the store has responded to the upstream; absent if it never did.
    pub answers: Option<UptimeMessage>,
    /// How long the response waited for a change, milliseconds. The ages are measured at the end of this wait.
    pub waited_ms: u64,
}

/// Requests the events of a prefix cache store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixQuery {
    /// The store's address.
    pub store: SocketAddr,
    /// The store's incarnation that `next` belongs to.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Number of the first event that is requested.
    pub next: u64,
}

/// Changes in one prefix cache store, as keys only. Full events, with scopes and identifiers as text, filled a link of
/// 10 Mbit/s and reached followers too late.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixPage {
    /// The store's address.
    pub store: SocketAddr,
    /// The store's incarnation.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Event number to continue from.
    pub next: u64,
    /// Changed prompt parts that the store now holds.
    pub held: Vec<PartKey>,
    /// Changed prompt parts that the store no longer holds.
    pub gone: Vec<PartKey>,
}

/// An endpoint's load report as sent between routers: key, running requests, waiting requests, age in milliseconds, time
/// that work takes in percent of the usual. Older routers accept only four values, so the last one is sent only in
/// response to a request that has [`LoadExchange::work_times`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadMessage(
    pub ShortKey,
    pub u32,
    pub u32,
    pub u64,
    #[serde(default, skip_serializing_if = "Option::is_none")] pub Option<u64>,
);

/// A follower's load reports. The upstream responds with those of other routers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadExchange {
    /// Time since the last exchange, milliseconds. The response holds the reports received since then.
    pub last_ms: u64,
    /// Reports from responses that the follower received itself.
    pub own: Vec<LoadMessage>,
    /// Time that work takes at some endpoints of `own`, in percent of the usual; absent from older routers.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub work_times: Option<Vec<(ShortKey, u64)>>,
}

/// Load that one or more routers put on endpoints. Each message is complete.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BacklogMessage {
    /// Endpoints with requests that wait for prefill, and their prompt tokens.
    #[serde(rename = "b", default, skip_serializing_if = "Vec::is_empty")]
    pub tokens: Vec<(ShortKey, u64)>,
    /// Prompt tokens that were recently prefilled, by service.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub lane_tokens: Vec<(ServiceId, LaneTokens)>,
    /// Endpoints to which connections failed, and the number of routers that report it.
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    pub unreachable: Vec<(ShortKey, u32)>,
    /// Recent first-event delays and offered load by kind of request, of services with a patient route.
    #[serde(rename = "k", default, skip_serializing_if = "Vec::is_empty")]
    pub kinds: Vec<(ServiceId, Vec<KindLoad>)>,
    /// Rate limits that endpoints recently stated.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub rates: Vec<RateMessage>,
    /// Recent statements of endpoints on whether they are brittle.
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    pub tolerances: Vec<ToleranceMessage>,
    /// Recent rejections by brittle endpoints.
    #[serde(rename = "j", default, skip_serializing_if = "Vec::is_empty")]
    pub rejections: Vec<RejectionMessage>,
    /// Ends of endpoints under requests that are in quarantine.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub ends: Vec<EndMessage>,
    /// Parts of prompts that are kept from endpoints.
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    pub held_parts: Vec<HoldMessage>,
    /// Endpoints that have stated on their answers that they leave, although the store does not show it.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<LeavingMessage>,
    /// Samples of the speeds of endpoints. Sent once a second, and absent from older routers. A response has it if the
    /// request does.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub speeds: Option<Vec<SpeedMessage>>,
}

/// Sums of samples of an endpoint's speed, as of the time of the message: key, incarnation, kind of work, and the five
/// values of [`dispatch::fleet::SpeedSum`] in their order.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct SpeedMessage(pub ShortKey, pub Incarnation, pub WorkKind, pub [f32; 5]);

/// An endpoint that leaves: ID, incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingMessage(pub EndpointId, pub Incarnation);

/// Use of a workspace's quota: workspace, cost of admitted requests, cost of all requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UsageMessage(pub WorkspaceId, pub f64, pub f64);

/// Remaining quota of a workspace: workspace, level, share of requests admitted at a level of zero.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LevelMessage(pub WorkspaceId, pub f64, pub f64);

/// Demand on a workspace's quota by class: workspace, refill of the known part of the quota, cost of the urgent and of
/// the patient requests, in units per second.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DemandMessage(pub WorkspaceId, pub f64, pub f64, pub f64);

/// What a follower reports to the router that it follows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReportMessage {
    /// The follower.
    pub router: VmId,
    /// Its backlog.
    pub backlog: BacklogMessage,
    /// Use of quotas since its last report that was answered.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub usage: Vec<UsageMessage>,
    /// The part of `usage` for requests on patient routes; absent from older routers. A field of its own, because older
    /// routers reject a longer [`UsageMessage`].
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub patient_usage: Vec<UsageMessage>,
}

/// Response to a [`ReportMessage`].
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TotalsMessage {
    /// Backlog of all routers except the follower.
    pub backlog: BacklogMessage,
    /// Levels of the workspaces that are near or above their quotas.
    #[serde(rename = "q", default, skip_serializing_if = "Vec::is_empty")]
    pub levels: Vec<LevelMessage>,
    /// Demand by class on those of these workspaces that use patient routes; absent from older routers.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub demand: Vec<DemandMessage>,
}

/// What a router that has followers sends to the others that have followers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SubtotalMessage {
    /// The sender.
    pub router: VmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Number that differs after each start of the sender.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Backlog of the sender and its followers.
    pub backlog: BacklogMessage,
    /// Number of these routers.
    #[serde(rename = "n")]
    pub routers: u32,
    /// Use of quotas since the sender's start, for workspaces for which it changed recently, or for all.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub usage: Vec<UsageMessage>,
    /// The part of `usage` for requests on patient routes; absent from older routers.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub patient_usage: Vec<UsageMessage>,
}

/// An endpoint's rate limit as sent between routers: key, requests per second or `None` if it has withdrawn its limit,
/// age in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RateMessage(pub ShortKey, pub Option<f64>, pub u64);

/// Whether an endpoint is brittle, as sent between routers: key, rejections per second that it tolerates or `None` if it
/// is not brittle, age in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToleranceMessage(pub ShortKey, pub Option<u32>, pub u64);

/// A rejection by a brittle endpoint, as sent between routers: key, requests that it was running, age in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectionMessage(pub ShortKey, pub u32, pub u64);

/// A run of a request during which an endpoint's process ended, as sent between routers: request, process, age in
/// milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndMessage(pub ContentKey, pub ProcessKey, pub u64);

/// Ends of endpoints under requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndsMessage {
    /// The ends.
    pub ends: Vec<EndMessage>,
    /// Whether the receiver tells all routers of the requests that are in quarantine now.
    pub forward: bool,
}

/// A part that ran at a process when that ended: part, position in the prompt, time since the last answer to it began in
/// milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectMessage(pub PartId, pub u16, pub Option<u64>);

/// The end of a process, as sent between routers: process, age in milliseconds, parts that ran there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedProcessMessage(pub ProcessKey, pub u64, pub Vec<SuspectMessage>);

/// A part that is kept from endpoints: part, ages of the first and the last end under it in milliseconds, and ends under
/// requests that were tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldMessage(pub PartId, pub u64, pub u64, pub u32);

/// A part that is no longer kept from endpoints, and how long ago it was released, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseMessage(pub PartId, pub u64);

/// A part that an endpoint answered completely, and how long ago that answer began, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerMessage(pub PartId, pub u64);

/// What a router reports or tells of parts under which endpoints end.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartsMessage {
    /// Ends that the sender noticed.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub ends: Vec<EndedProcessMessage>,
    /// Parts that are held.
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    pub held: Vec<HoldMessage>,
    /// Parts that are released.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub released: Vec<ReleaseMessage>,
    /// Parts of the prompts whose answers released a part; absent from older routers.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    pub answered: Vec<AnswerMessage>,
}

/// A stream and where it began, as sent between routers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginMessage(pub StreamKey, pub Origin);

/// Asks where a stream of a service began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginQuery {
    /// The stream.
    pub stream: StreamKey,
    /// The service.
    pub service: ServiceId,
}

/// Response to an [`OriginQuery`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginResponse {
    /// Where the stream began; absent if the router doesn't know.
    pub origin: Option<Origin>,
    /// Versions of the service's software at which the stream may have begun, as far as the router knows.
    pub versions: BTreeSet<SoftwareVersion>,
    /// Whether no other version can have begun it.
    #[serde(default)]
    pub is_current: bool,
    /// Store revision of the service's record of versions that the router has read.
    #[serde(default)]
    pub record: Option<u64>,
}

/// Bounds on a target age: how long ago a model's target weights were set.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetAgeMessage {
    /// The model.
    pub model: ModelId,
    /// Number of the target weights.
    pub weights: u64,
    /// Lower bound of the age at the time of the response, milliseconds.
    #[serde(rename = "least_ms")]
    pub lower_ms: u64,
    /// Upper bound, milliseconds; absent if the router has none.
    #[serde(rename = "most_ms")]
    pub upper_ms: Option<u64>,
}
