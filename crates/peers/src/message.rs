//! Messages as they are sent. Field names are short, since heartbeats are the bulk of the traffic between routers.

use ids::{Digest, EndpointId, Incarnation, Revision, WeightsVersion};
use serde::{Deserialize, Serialize};

/// A heartbeat or its answer: what has changed since the last on this connection.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Beat {
    /// The sender's state, if it has changed.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub summary: Option<Summary>,
    /// Endpoints that are new on this connection, or of which more than the load has changed.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    pub about: Vec<About>,
    /// Loads that have changed, by ascending number: number of the endpoint, running, waiting, prefill.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty", with = "crate::packed")]
    pub loads: Vec<(u32, u32, u32, u32)>,
    /// Numbers of endpoints that the sender no longer reports.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub gone: Vec<u32>,
}

/// The sender's state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Whether it is going.
    #[serde(rename = "v")]
    pub leaving: bool,
    /// Live routers of its failure domain.
    #[serde(rename = "n")]
    pub routers: u32,
    /// Digest of its membership.
    #[serde(rename = "m")]
    pub membership: u64,
    /// Its configuration.
    #[serde(rename = "c")]
    pub config: Option<(Revision, Digest)>,
}

/// What changes seldom of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct About {
    /// Its number on this connection.
    #[serde(rename = "n")]
    pub number: u32,
    /// Who.
    #[serde(rename = "e")]
    pub endpoint: EndpointId,
    /// Its life.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// The weights it serves.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub weights: Option<WeightsVersion>,
    /// Whether it takes no new work.
    #[serde(rename = "v", default, skip_serializing_if = "std::ops::Not::not")]
    pub draining: bool,
}
