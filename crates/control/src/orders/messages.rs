//! Input and output of [`OrderHolder`](super::OrderHolder).

use super::{Assignment, Blocked, LOAD_SLOTS, Runner, SlotState};
use ids::{EndpointId, Fence};
use std::time::Duration;
use wire::engine::Order;

/// Input of [`OrderHolder`](super::OrderHolder).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The platform granted or renewed a lease.
    Granted {
        /// The lease id.
        id: Fence,
        /// Its time to live.
        ttl: Duration,
        /// When it was requested. The platform's time to live starts no earlier.
        requested: Duration,
    },
    /// The platform no longer has the lease.
    LeaseExpired(Fence),
    /// The holder key is absent.
    HolderAbsent,
    /// The holder key now contains this lease.
    Claimed(Fence),
    /// The holder key contains another lease.
    HeldByOther,
    /// A platform call failed or its answer was lost. A claim is read back before it is repeated.
    PlatformFailed,
    /// The load slots as read.
    Slots([SlotState; LOAD_SLOTS]),
    /// The slot now contains this holder's lease.
    SlotTaken(usize),
    /// Another holder took the slot, or the answer was lost. The slots must be read again.
    SlotFailed(usize),
    /// The slot was written as free.
    SlotFreed(usize),
    /// Whether this router is one of the few that compete for the holder key.
    Candidate(bool),
    /// This router is shutting down.
    Stop,
    /// What the runners of the domain should serve.
    Assignments(Vec<Assignment>),
    /// The domain's runners as last reported.
    Runners(Vec<Runner>),
    /// The engine executed its order.
    Done(EndpointId),
    /// The engine refused its order and did nothing.
    Refused(EndpointId),
    /// No answer. The engine may or may not execute the order.
    NoAnswer(EndpointId),
}

/// An action for the caller of [`OrderHolder`](super::OrderHolder).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Read the domain's holder key.
    ReadHolder,
    /// Request a lease with this time to live from the platform.
    RequestLease(Duration),
    /// Renew the lease.
    Renew(Fence),
    /// Revoke the lease.
    Revoke(Fence),
    /// Read the domain's holder key. If it contains this lease, the claim has succeeded. If it is absent, write it by
    /// compare-and-swap with the lease attached. Otherwise another router holds it.
    Claim(Fence),
    /// Read the load slots. A slot that contains this lease is this holder's own.
    ReadSlots(Fence),
    /// Write this slot by compare-and-swap with the lease attached, expecting the version that was read.
    TakeSlot {
        /// Index of the slot.
        slot: usize,
        /// This holder's lease.
        lease: Fence,
    },
    /// Write this slot as free, without a lease, if it contains this holder's lease. Repeated until it is freed.
    FreeSlot(usize),
    /// Send an order with the timeout [`ORDER_CALL_TIMEOUT`](super::ORDER_CALL_TIMEOUT). Call
    /// [`OrderHolder::may_send`](super::OrderHolder::may_send) again right before writing.
    Send {
        /// The engine.
        endpoint: EndpointId,
        /// The order.
        order: Order,
    },
    /// Cancel all order calls, because the lease is no longer held.
    Abandon,
    /// A runner is not ordered to load, for this reason. Returned when the reason changes.
    Report(Blocked),
}
