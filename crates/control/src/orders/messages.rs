//! What the holder hears, and what it wants done.

use super::{Assignment, Blocked, LOAD_SLOTS, Runner, SlotState};
use ids::{EndpointId, Fence};
use std::time::Duration;
use wire::engine::Order;

/// What the holder hears.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The platform granted or renewed a lease.
    Granted {
        /// The lease's id.
        id: Fence,
        /// Its time to live.
        ttl: Duration,
        /// When it was asked for: the platform's clock began no earlier.
        requested: Duration,
    },
    /// The platform doesn't have the lease any more.
    Lapsed(Fence),
    /// The holder key is absent.
    HolderAbsent,
    /// The holder key bears this lease now.
    Claimed(Fence),
    /// The holder key bears another lease.
    HeldByOther,
    /// A call to the platform failed or its answer was lost; each claim is read back before it is repeated.
    PlatformFailed,
    /// The load slots as read.
    Slots([SlotState; LOAD_SLOTS]),
    /// A slot bears this holder's lease now.
    SlotTaken(usize),
    /// Someone else was faster, or the answer was lost: read the slots again.
    SlotFailed(usize),
    /// The slot is written as free.
    SlotFreed(usize),
    /// Whether this router is one of the few that try to hold the key.
    Candidate(bool),
    /// This router is going.
    Stop,
    /// What the runners of the domain are to serve.
    Assignments(Vec<Assignment>),
    /// The domain's runners as last reported.
    Runners(Vec<Runner>),
    /// The engine carried out its order.
    Done(EndpointId),
    /// The engine refused its order; nothing was done.
    Refused(EndpointId),
    /// No answer: the engine may or may not carry it out.
    NoAnswer(EndpointId),
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Read the domain's holder key.
    ReadHolder,
    /// Ask the platform for a lease.
    RequestLease(Duration),
    /// Renew it.
    Renew(Fence),
    /// Give it back.
    Revoke(Fence),
    /// Read the domain's holder key: if it bears this lease it is claimed; if it is absent, write it by
    /// compare-and-swap with the lease attached; or else another holds it.
    Claim(Fence),
    /// Read the load slots; one that bears this lease is own.
    ReadSlots(Fence),
    /// Write this slot by compare-and-swap with the lease attached, expecting it as read.
    TakeSlot {
        /// Which.
        slot: usize,
        /// This holder's lease.
        lease: Fence,
    },
    /// Write this slot as free, without a lease, if it bears the own one; repeated until it is freed.
    FreeSlot(usize),
    /// Send an order; cut the call after [`ORDER_CALL_TIMEOUT`](super::ORDER_CALL_TIMEOUT). Ask
    /// [`OrderHolder::may_send`](super::OrderHolder::may_send) once more right before writing.
    Send {
        /// To whom.
        endpoint: EndpointId,
        /// What.
        order: Order,
    },
    /// Cut all order calls: the lease is over.
    Abandon,
    /// A runner stays as it is, for this reason; given when the reason changes.
    Report(Blocked),
}
