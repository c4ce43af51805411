//! What the control thread hears.

use config::{AssembleError, Document, Head, Section, assemble};
use ids::{EndpointId, Incarnation, ModelId, VmId, WeightsVersion};
use std::collections::BTreeMap;
use std::time::Duration;
use wire::platform::VmList;

/// One event for the control thread.
#[derive(Debug)]
pub enum Event {
    /// A configuration was read from the platform.
    Config(Box<Configured>),
    /// The platform answered that there is no configuration.
    ConfigEmpty,
    /// The platform did not answer when it was asked for the configuration.
    ConfigFailed,
    /// A configuration was read from this peer.
    PeerConfig(VmId, Box<Configured>),
    /// A peer has no configuration, or it could not be read.
    PeerConfigFailed(VmId),
    /// A peer said something.
    Peer(peers::Event),
    /// How crowded endpoints have been, in thousandths, as a peer knows.
    Pressures(Vec<(u64, u32)>),
    /// The platform's list of VMs.
    Vms(VmList),
    /// Traffic or a feed met an endpoint.
    Endpoint(EndpointId, Sighting),
    /// A call of the order holder had this outcome.
    Orders(control::orders::Event),
    /// Time passed.
    Tick,
    /// Shutdown has begun: this router is leaving.
    Leave,
    /// The process ends.
    Stop,
}

/// A configuration with the texts it was made of, which peers may ask for.
#[derive(Debug, Clone)]
pub struct Configured {
    /// The head.
    pub head: Head,
    /// The sections' texts.
    pub texts: BTreeMap<Section, String>,
    /// The document.
    pub document: Document,
}

impl Configured {
    /// Puts a configuration together.
    ///
    /// # Errors
    /// A text is missing, is not the one that the head names, or the whole contradicts itself.
    pub fn assemble(head: Head, texts: BTreeMap<Section, String>) -> Result<Self, AssembleError> {
        let document = assemble(&head, &texts)?;
        Ok(Self { head, texts, document })
    }
}

/// What was seen of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Sighting {
    /// It answered a call.
    Answered {
        /// Its life, if it said so.
        incarnation: Option<Incarnation>,
        /// The weights that served, if it said so.
        weights: Option<WeightsVersion>,
    },
    /// It refused a call since it takes no new work.
    Leaves {
        /// Its life, if it said so.
        incarnation: Option<Incarnation>,
    },
    /// It reported its load.
    Reported(LoadSeen),
    /// No connection could be made.
    NotReached,
    /// The connection broke before a whole answer.
    Broke,
    /// No answer came in time.
    Silent,
}

/// A load report as read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadSeen {
    /// Whether this router read it itself, not a peer.
    pub own: bool,
    /// The life that reported.
    pub incarnation: Incarnation,
    /// The model an engine serves, absent for plain services and in a peer's word.
    pub model: Option<ModelId>,
    /// The weights it serves, absent for plain services and while an engine loads.
    pub weights: Option<WeightsVersion>,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Requests running.
    pub running: u32,
    /// Requests waiting inside.
    pub waiting: u32,
    /// Prompt tokens still to be prefilled.
    pub prefill: u64,
    /// When it was asked for.
    pub asked: Duration,
}
