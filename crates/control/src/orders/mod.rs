//! Sends orders to the engines of one failure domain, from one lease holder at a time.
//!
//! The holder is the router that wrote the domain's holder key under a lease of the platform. Lease ids only increase,
//! and the id is the fencing token of each order. Engines that check it refuse orders from an earlier holder. Engines
//! that do not check it are protected as follows:
//!
//! * The holder measures its lease from the time it requested it. Before each order it checks the lease against the
//!   monotonic clock, with [`LEASE_MARGIN`]. A holder that was paused detects the expiry at its next event.
//! * Each order states the target state and expires, so that a repeated or late order has no effect.
//! * A new holder waits for [`MAX_ORDER_DURATION`] before its first order, until the last one of the old holder has
//!   ended.
//!
//! Loading is slow if more than two runners load at once. Each load therefore needs one of [`LOAD_SLOTS`] slot keys
//! shared by all domains. The last runner that serves a model in the domain is never ordered to load.

mod choose;
mod lease;
mod loads;
mod messages;
mod slots;

pub use choose::{Assignment, Blocked, Runner};
pub use lease::Lease;
pub use messages::{Event, Step};
pub use slots::{SlotState, Slots};

use ids::{EndpointId, Fence};
use loads::Load;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time to live of the lease.
pub const LEASE_TTL: Duration = Duration::from_secs(10);
/// The lease is renewed after this time. Two renewals may fail before it expires.
pub const RENEW_AFTER: Duration = Duration::from_secs(3);
/// No order is sent in this last part of a lease. Covers the time between the check and the write to the socket, and
/// clock drift.
pub const LEASE_MARGIN: Duration = Duration::from_secs(2);
/// An engine must not start an order later than this after receiving it.
pub const ORDER_EXPIRY: Duration = Duration::from_secs(1);
/// Timeout of the call that carries an order.
pub const ORDER_CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time from a holder's last lease check to the end of its order: delivery, expiry and the load itself.
pub const MAX_ORDER_DURATION: Duration = Duration::from_secs(6);
/// Number of runners that may load weights at once, over all failure domains.
pub const LOAD_SLOTS: usize = 2;
/// Maximum lag of a runner's report behind its state.
pub const MAX_REPORT_LAG: Duration = Duration::from_secs(3);
/// Delay before a failed platform call is retried.
pub const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Delay before a candidate checks again whether the holder key is free.
pub const CLAIM_RETRY_DELAY: Duration = Duration::from_secs(3);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Not the holder; the key is read again at this time.
    Idle { next: Duration },
    /// The holder key is being read until this time.
    ReadingHolder { until: Duration },
    /// A lease request or a claim is in flight until this time.
    Claiming { until: Duration },
    /// Holds the key. The last order of the old holder may still run until this time.
    Waiting { until: Duration },
    /// Holds the key and may send orders.
    Holding,
}

/// Competes for the order lease of a failure domain, and issues orders while holding it.
#[derive(Debug, Clone)]
pub struct OrderHolder {
    phase: Phase,
    lease: Option<Lease>,
    slots: Slots,
    loads: BTreeMap<EndpointId, Load>,
    /// Runners whose load has ended, and the time until which their reports may predate that.
    awaiting_report: BTreeMap<EndpointId, Duration>,
    candidate: bool,
    assignments: Vec<Assignment>,
    runners: Vec<Runner>,
    blocked: Vec<Blocked>,
}

impl OrderHolder {
    /// A router that holds no lease and is not a candidate yet.
    pub fn new() -> Self {
        Self {
            phase: Phase::Idle { next: Duration::ZERO },
            lease: None,
            slots: Slots::default(),
            loads: BTreeMap::new(),
            awaiting_report: BTreeMap::new(),
            candidate: false,
            assignments: Vec::new(),
            runners: Vec::new(),
            blocked: Vec::new(),
        }
    }

    /// Handles an event and returns what to do.
    pub fn on(&mut self, event: Event, now: Duration) -> Vec<Step> {
        let mut steps = Vec::new();
        self.check_lease(now, &mut steps);
        match event {
            Event::Tick => {}
            Event::Granted { id, ttl, requested } => self.granted(id, ttl, requested, &mut steps),
            Event::LeaseExpired(id) if self.has_lease(id) => self.step_down(now + RETRY_DELAY, &mut steps),
            Event::LeaseExpired(_) => {}
            Event::Claimed(id) if self.has_lease(id) && !self.is_holder() => {
                self.phase = Phase::Waiting {
                    until: now + MAX_ORDER_DURATION,
                };
            }
            Event::Claimed(_) => {}
            Event::HolderAbsent => self.holder_absent(now, &mut steps),
            Event::HeldByOther => self.release(now, &mut steps),
            Event::PlatformFailed => self.platform_failed(now),
            Event::Slots(states) => self.slots.observe(states, now),
            Event::SlotTaken(slot) => self.slots.mark_own(slot),
            Event::SlotFailed(_) => self.slots.invalidate(),
            Event::SlotFreed(slot) => self.slots.mark_freed(slot),
            Event::Candidate(candidate) => self.candidate = candidate,
            Event::Stop => self.stop(now, &mut steps),
            Event::Assignments(assignments) => self.assignments = assignments,
            Event::Runners(runners) => self.runners = runners,
            Event::Done(endpoint) | Event::Refused(endpoint) => self.load_ended(&endpoint),
            Event::NoAnswer(_) => {}
        }
        self.advance(now, &mut steps);
        steps
    }

    /// Whether the order to `endpoint` may be sent now. Must be called right before the write, because a holder can be
    /// paused at any point. The maximum duration of the order is measured from this call.
    pub fn may_send(&mut self, endpoint: &EndpointId, now: Duration) -> bool {
        let permitted = self.lease.as_ref().is_some_and(|lease| lease.permits_orders(now));
        let Some(load) = self.loads.get_mut(endpoint) else {
            return false;
        };
        if self.phase != Phase::Holding || !permitted || now >= load.until {
            return false;
        }
        load.until = now + MAX_ORDER_DURATION;
        true
    }

    /// The fencing token of the lease, if this router is the holder.
    pub fn fence(&self) -> Option<Fence> {
        if self.is_holder() {
            self.lease.as_ref().map(|lease| lease.id)
        } else {
            None
        }
    }

    fn has_lease(&self, id: Fence) -> bool {
        self.lease.as_ref().is_some_and(|lease| lease.id == id)
    }

    fn is_holder(&self) -> bool {
        matches!(self.phase, Phase::Waiting { .. } | Phase::Holding)
    }

    /// Gives up a lease that expired while this router was paused or the platform was unavailable.
    fn check_lease(&mut self, now: Duration, steps: &mut Vec<Step>) {
        if self.lease.as_ref().is_some_and(|lease| lease.is_expired(now)) {
            self.step_down(now, steps);
        }
    }

    fn holder_absent(&mut self, now: Duration, steps: &mut Vec<Step>) {
        if matches!(self.phase, Phase::ReadingHolder { .. }) {
            self.phase = Phase::Claiming {
                until: now + RETRY_DELAY,
            };
            steps.push(Step::RequestLease(LEASE_TTL));
        }
    }

    fn stop(&mut self, now: Duration, steps: &mut Vec<Step>) {
        self.candidate = false;
        self.release(now, steps);
    }

    fn granted(&mut self, id: Fence, ttl: Duration, requested: Duration, steps: &mut Vec<Step>) {
        if let Some(lease) = self.lease.as_mut().filter(|lease| lease.id == id) {
            lease.extend(ttl, requested);
            return;
        }
        if self.lease.is_some() || !matches!(self.phase, Phase::Claiming { .. }) {
            steps.push(Step::Revoke(id));
            return;
        }
        self.lease = Some(Lease::new(id, ttl, requested));
        steps.push(Step::Claim(id));
    }

    fn release(&mut self, now: Duration, steps: &mut Vec<Step>) {
        let held = self.lease.as_ref().map(|lease| lease.id);
        self.step_down(now + CLAIM_RETRY_DELAY, steps);
        steps.extend(held.map(Step::Revoke));
    }

    fn step_down(&mut self, next: Duration, steps: &mut Vec<Step>) {
        if self.is_holder() {
            steps.push(Step::Abandon);
        }
        self.phase = Phase::Idle { next };
        self.lease = None;
        self.loads.clear();
        self.awaiting_report.clear();
        self.slots = Slots::default();
    }

    fn platform_failed(&mut self, now: Duration) {
        self.slots.invalidate();
        if matches!(self.phase, Phase::Claiming { .. }) {
            self.phase = Phase::Claiming {
                until: now + RETRY_DELAY,
            };
        }
    }

    fn load_ended(&mut self, endpoint: &EndpointId) {
        if let Some(load) = self.loads.get_mut(endpoint) {
            load.ended = true;
        }
    }

    fn advance(&mut self, now: Duration, steps: &mut Vec<Step>) {
        match self.phase {
            Phase::Idle { next } | Phase::ReadingHolder { until: next } => self.read_holder(next, now, steps),
            Phase::Claiming { until } => self.retry_claim(until, now, steps),
            Phase::Waiting { until } if now < until => self.renew(now, steps),
            Phase::Waiting { .. } | Phase::Holding => {
                self.phase = Phase::Holding;
                self.renew(now, steps);
                self.finish_loads(now);
                steps.extend(self.slots.slots_to_free(now).into_iter().map(Step::FreeSlot));
                self.issue_orders(now, steps);
            }
        }
    }

    fn read_holder(&mut self, next: Duration, now: Duration, steps: &mut Vec<Step>) {
        if self.candidate && now >= next {
            self.phase = Phase::ReadingHolder {
                until: now + CLAIM_RETRY_DELAY,
            };
            steps.push(Step::ReadHolder);
        }
    }

    /// Retries a claim or lease request that got no answer.
    fn retry_claim(&mut self, until: Duration, now: Duration, steps: &mut Vec<Step>) {
        if now < until {
            return;
        }
        self.phase = Phase::Claiming {
            until: now + RETRY_DELAY,
        };
        steps.push(match &self.lease {
            Some(lease) => Step::Claim(lease.id),
            None => Step::RequestLease(LEASE_TTL),
        });
    }

    fn renew(&mut self, now: Duration, steps: &mut Vec<Step>) {
        if let Some(id) = self.lease.as_mut().and_then(|lease| lease.due_renewal(now)) {
            steps.push(Step::Renew(id));
        }
    }
}

impl Default for OrderHolder {
    fn default() -> Self {
        Self::new()
    }
}
