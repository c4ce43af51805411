//! The events that the control thread handles.

use crate::dialect::LoadedWeights;
use dispatch::freshness::Confirmation;
use dispatch::leaving::LeavingEndpoint;
use dispatch::uptime::Span;
use ids::{EndpointId, Fence, Revision};
use std::time::Duration;
use store::items::{Change, Item, Position};

/// Where the statement of an endpoint that it leaves comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeavingSource {
    /// An answer that this router received.
    Answer,
    /// Another router.
    Router,
}

/// An event for the control thread.
#[derive(Debug)]
pub enum Event {
    /// A call to the store failed.
    StoreFailed {
        /// When the response was due.
        due: Duration,
    },
    /// Period in which the store answered another router.
    PeerUptime(Span),
    /// All items in the store.
    Snapshot {
        /// Items in key order.
        items: Vec<Item>,
        /// Position in the store's history that the items are complete up to.
        position: Position,
        /// Evidence that the store held nothing newer.
        confirmed: Option<Confirmation>,
        /// Period in which the store answered this router or the one that it follows.
        uptime: Span,
    },
    /// Changes in the store.
    Changes {
        /// Changes in the order of the store's history.
        changes: Vec<Change>,
        /// Position in the store's history that the changes are complete up to.
        position: Position,
        /// Evidence that the store held nothing newer.
        confirmed: Option<Confirmation>,
        /// Period in which the store answered this router or the one that it follows.
        uptime: Span,
    },
    /// Response of other routers to the question which document is in force there.
    PeerDocument {
        /// Newest revision that any of them has; none if no router answered.
        newest: Option<Revision>,
        /// When the call that read the store was sent.
        sent: Duration,
    },
    /// An event of the order lease.
    Holder(dispatch::holder::Event),
    /// An endpoint has stated on an answer that it leaves.
    Leaving {
        /// The endpoint.
        endpoint: LeavingEndpoint,
        /// Where the statement comes from.
        source: LeavingSource,
    },
    /// A load task ended.
    LoadEnded {
        /// The endpoint.
        endpoint: EndpointId,
        /// The weights that are in place now; none if the load failed.
        loaded: Option<LoadedWeights>,
    },
    /// The load list in the store is too old to send an order and must be written again.
    RefreshLoadList,
    /// The load list must be written now.
    WriteLoadList,
    /// A write of the load list ended.
    LoadListWritten {
        /// Fencing token that the list was written under.
        fence: Fence,
        /// Whether the list is in the store.
        done: bool,
    },
    /// Periodic check.
    Tick,
    /// The process shuts down.
    Stop,
}
