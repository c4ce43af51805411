//! The state that a router publishes to its peers, and the events that it receives from them.

use control::membership::{Member, Roster};
use ids::{Digest, EndpointId, Incarnation, Revision, VmId, WeightsVersion};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The load of one endpoint, as the router that watches it last read it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadReport {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The weights it serves.
    pub weights: Option<WeightsVersion>,
    /// Whether it accepts no new work.
    pub draining: bool,
    /// Requests running.
    pub running: u32,
    /// Requests waiting in its queue.
    pub waiting: u32,
    /// Prompt tokens still to be prefilled, in thousands, rounded up. Finer differences affect no decision.
    pub prefill: u32,
}

/// The active configuration, for peers that cannot reach the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OfferedConfig {
    /// Its revision.
    pub revision: Revision,
    /// Digest of the configuration head.
    pub digest: Digest,
    /// The head's text.
    pub head: String,
    /// The sections' texts by digest.
    pub sections: BTreeMap<Digest, String>,
}

/// Everything that a router publishes to its peers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PublishedState {
    /// Whether the router is shutting down.
    pub leaving: bool,
    /// Number of live routers in its failure domain.
    pub routers: u32,
    /// Digest of its membership list.
    pub membership: u64,
    /// Its membership list, sent to peers whose digest differs.
    pub roster: Roster,
    /// The active configuration.
    pub config: Option<Arc<OfferedConfig>>,
    /// The loads of the endpoints whose reports it forwards.
    pub loads: Vec<LoadReport>,
    /// Recent pressure on each endpoint, in thousandths, by the endpoint's hash key. A starting router reads it once.
    pub pressures: Vec<(u64, u32)>,
}

/// What a router receives from its peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A heartbeat or the response to one.
    Heartbeat {
        /// The sender.
        from: Member,
        /// Whether it is shutting down.
        leaving: bool,
        /// Number of live routers in its failure domain.
        routers: u32,
    },
    /// A peer's membership list.
    Roster(Roster),
    /// A peer has a different configuration that is not older than this router's. Repeated at each heartbeat until
    /// this router has it too.
    Offer {
        /// The peer.
        from: Member,
        /// Its revision.
        revision: Revision,
        /// Digest of its configuration head.
        digest: Digest,
    },
    /// Loads that have changed.
    Loads {
        /// The router that watches the endpoints.
        from: VmId,
        /// The reports, as last read.
        reports: Vec<LoadReport>,
    },
    /// Endpoints that this peer no longer watches.
    Unwatched {
        /// The peer.
        from: VmId,
        /// The endpoints.
        endpoints: Vec<EndpointId>,
    },
    /// A peer did not respond, or the connection to it failed. A new connection is opened.
    LinkFailed(VmId),
}
