//! What a router tells its peers, and what it hears from them.

use control::membership::{Member, Roster};
use ids::{Digest, EndpointId, Incarnation, Revision, VmId, WeightsVersion};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The load of one endpoint, as its watcher last read it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadReport {
    /// Who.
    pub endpoint: EndpointId,
    /// Its life.
    pub incarnation: Incarnation,
    /// The weights it serves.
    pub weights: Option<WeightsVersion>,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Requests running.
    pub running: u32,
    /// Requests waiting inside.
    pub waiting: u32,
    /// Prompt tokens still to be prefilled, in thousands, rounded up: finer differences decide nothing.
    pub prefill: u32,
}

/// The configuration in force, for peers that are cut from the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OfferedConfig {
    /// Its revision.
    pub revision: Revision,
    /// Digest of the head.
    pub digest: Digest,
    /// The head's text.
    pub head: String,
    /// The sections' texts by digest.
    pub sections: BTreeMap<Digest, String>,
}

/// All that a router tells its peers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PublishedState {
    /// Whether it is going.
    pub leaving: bool,
    /// Live routers of its failure domain.
    pub routers: u32,
    /// Digest of its membership.
    pub membership: u64,
    /// Its membership, told to peers whose digest differs.
    pub roster: Roster,
    /// The configuration in force.
    pub config: Option<Arc<OfferedConfig>>,
    /// The loads of the endpoints whose reports it passes on.
    pub loads: Vec<LoadReport>,
    /// How crowded each endpoint has been, in thousandths, by its key in hashes; asked for once by a router that starts.
    pub pressures: Vec<(u64, u32)>,
}

/// What a router hears from its peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A heartbeat or the answer to one.
    Heartbeat {
        /// From whom.
        from: Member,
        /// Whether it is going.
        leaving: bool,
        /// Live routers of its failure domain.
        routers: u32,
    },
    /// A peer's membership.
    Roster(Roster),
    /// A peer has another configuration than this router, not an older one; told at each heartbeat until this router
    /// has it as well.
    Offer {
        /// Who.
        from: Member,
        /// Its revision.
        revision: Revision,
        /// Digest of its head.
        digest: Digest,
    },
    /// Loads that have changed.
    Loads {
        /// Who watches them.
        from: VmId,
        /// As last read.
        reports: Vec<LoadReport>,
    },
    /// Endpoints that this peer no longer watches.
    Unwatched {
        /// Who.
        from: VmId,
        /// Which.
        endpoints: Vec<EndpointId>,
    },
    /// A peer did not answer; its connection is begun anew.
    LinkFailed(VmId),
}
