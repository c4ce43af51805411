//! Events of the control thread.

use config::{AssembleError, Document, Head, Section, assemble};
use ids::{EndpointId, Incarnation, ModelId, VmId, WeightsVersion};
use std::collections::BTreeMap;
use std::time::Duration;
use wire::platform::VmList;

/// An event for the control thread.
#[derive(Debug)]
pub enum Event {
    /// A configuration was read from the platform.
    Config(Box<AssembledConfig>),
    /// The platform has no configuration.
    ConfigEmpty,
    /// The configuration could not be read from the platform.
    ConfigFailed,
    /// A configuration was read from this peer.
    PeerConfig(VmId, Box<AssembledConfig>),
    /// A peer has no configuration, or it could not be read.
    PeerConfigFailed(VmId),
    /// An event of a peer connection.
    Peer(peers::Event),
    /// Endpoint pressures from a peer: smoothed load relative to the mean of the pool, in thousandths.
    Pressures(Vec<(u64, u32)>),
    /// The platform's list of VMs.
    Vms(VmList),
    /// A request or a polling task observed an endpoint.
    Endpoint(EndpointId, Observation),
    /// A step of the order holder finished.
    Orders(control::orders::Event),
    /// Periodic tick.
    Tick,
    /// Shutdown has begun.
    Leave,
    /// The process exits.
    Stop,
}

/// A configuration with its source texts, which peers may request.
#[derive(Debug, Clone)]
pub struct AssembledConfig {
    /// The head.
    pub head: Head,
    /// The sections' texts.
    pub texts: BTreeMap<Section, String>,
    /// The assembled document.
    pub document: Document,
}

impl AssembledConfig {
    /// Assembles a configuration.
    ///
    /// # Errors
    /// A text is missing, does not match the digest in the head, or the document is inconsistent.
    pub fn assemble(head: Head, texts: BTreeMap<Section, String>) -> Result<Self, AssembleError> {
        let document = assemble(&head, &texts)?;
        Ok(Self { head, texts, document })
    }
}

/// An observation of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Observation {
    /// It responded to a request.
    Answered {
        /// Its incarnation, if stated.
        incarnation: Option<Incarnation>,
        /// The weights that served, if stated.
        weights: Option<WeightsVersion>,
    },
    /// It refused a request because it is draining.
    Draining {
        /// Its incarnation, if stated.
        incarnation: Option<Incarnation>,
    },
    /// It reported its load.
    Reported(ObservedLoad),
    /// The connection could not be established.
    ConnectFailed,
    /// The connection failed before the response was complete.
    ConnectionLost,
    /// No response arrived in time.
    Timeout,
}

/// A load report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObservedLoad {
    /// Whether this router read it directly rather than received it from a peer.
    pub own: bool,
    /// The incarnation that reported.
    pub incarnation: Incarnation,
    /// The model that an engine serves; absent for plain services and in reports of peers.
    pub model: Option<ModelId>,
    /// The weights it serves; absent for plain services and while an engine loads weights.
    pub weights: Option<WeightsVersion>,
    /// Whether it is draining.
    pub draining: bool,
    /// Requests running.
    pub running: u32,
    /// Requests queued in the endpoint.
    pub waiting: u32,
    /// Prompt tokens waiting for prefill.
    pub prefill: u64,
    /// When the report was requested.
    pub requested: Duration,
}
