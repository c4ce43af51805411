//! What the control thread hears.

use config::{Document, Head};
use ids::{EndpointId, Incarnation, ModelId, WeightsVersion};
use std::time::Duration;
use wire::platform::VmList;

/// One event for the control thread.
#[derive(Debug)]
pub enum Event {
    /// A configuration was read, from the platform or a peer.
    Config(Box<Head>, Box<Document>),
    /// The platform's list of VMs.
    Vms(VmList),
    /// Traffic or a feed met an endpoint.
    Endpoint(EndpointId, Sighting),
    /// A call of the order holder had this outcome.
    Orders(control::orders::Event),
    /// Time passed.
    Tick,
    /// The process ends.
    Stop,
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
    /// The life that reported.
    pub incarnation: Incarnation,
    /// The model an engine serves, absent for plain services.
    pub model: Option<ModelId>,
    /// The weights it serves, absent for plain services and while an engine loads.
    pub weights: Option<WeightsVersion>,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Requests running or waiting inside.
    pub requests: u32,
    /// Prompt tokens still to be prefilled.
    pub prefill: u64,
    /// When it was asked for.
    pub asked: Duration,
}
