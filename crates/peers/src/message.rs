//! Wire format of heartbeats. Field names are short because heartbeats are most of the traffic between routers.

use ids::{Digest, EndpointId, Incarnation, Revision, WeightsVersion};
use serde::{Deserialize, Serialize};

/// A heartbeat or its response: what has changed since the previous one on this connection.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Beat {
    /// The sender's state, if it has changed.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub summary: Option<Summary>,
    /// Endpoints that are new on this connection, or for which more than the load has changed.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    pub endpoints: Vec<EndpointInfo>,
    /// Changed loads by ascending endpoint number: number, running requests, waiting requests, prefill.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty", with = "crate::packed")]
    pub loads: Vec<(u32, u32, u32, u32)>,
    /// Numbers of endpoints that the sender no longer reports.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<u32>,
}

/// The sender's state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Whether the sender is shutting down.
    #[serde(rename = "v")]
    pub leaving: bool,
    /// Number of live routers in its failure domain.
    #[serde(rename = "n")]
    pub routers: u32,
    /// Digest of its membership list.
    #[serde(rename = "m")]
    pub membership: u64,
    /// Revision and digest of its active configuration.
    #[serde(rename = "c")]
    pub config: Option<(Revision, Digest)>,
}

/// The rarely changing part of an endpoint's report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointInfo {
    /// The endpoint's number on this connection.
    #[serde(rename = "n")]
    pub number: u32,
    /// The endpoint.
    #[serde(rename = "e")]
    pub endpoint: EndpointId,
    /// Its incarnation.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// The weights it serves.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub weights: Option<WeightsVersion>,
    /// Whether it accepts no new work.
    #[serde(rename = "v", default, skip_serializing_if = "std::ops::Not::not")]
    pub draining: bool,
}
