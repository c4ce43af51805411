//! Gives orders to the engines of one failure domain, one holder at a time.
//!
//! The holder is whoever wrote the domain's holder key with a lease of the platform; the lease's id only grows and is
//! the fence of each order. Engines that check it refuse orders of an earlier holder. For engines that don't:
//!
//! * the holder counts its lease from the moment it asked for it, and checks it by the monotonic clock, with
//!   [`LEASE_MARGIN`], before each order; a holder that was paused notices at its next event that its time is over;
//! * each order states the wanted end and expires, so that one that arrives twice or late does no harm;
//! * a successor waits [`LONGEST_ORDER`] before its first order, until the last one of the old holder has ended.
//!
//! Loading is slow when more than two runners load at once, so that each load takes one of [`LOAD_SLOTS`] keys shared
//! by all domains. A model's last serving runner in the domain is never made to load.

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
/// The lease is renewed when this much of it has passed; two renewals may fail before it ends.
pub const RENEW_AFTER: Duration = Duration::from_secs(3);
/// No order is given in the last part of a lease: covers the time from the check to the socket, and clocks that run
/// at different speeds.
pub const LEASE_MARGIN: Duration = Duration::from_secs(2);
/// An engine must not begin an order later than this after its receipt.
pub const ORDER_EXPIRES: Duration = Duration::from_secs(1);
/// The call that carries an order is cut after this.
pub const ORDER_CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time from the last check of an old holder's lease to the end of its order: delivery, expiry and the load.
pub const LONGEST_ORDER: Duration = Duration::from_secs(6);
/// Runners that may load weights at once, over all failure domains.
pub const LOAD_SLOTS: usize = 2;
/// How far a runner's report may lag behind its state.
pub const REPORT_LAG: Duration = Duration::from_secs(3);
/// Wait before a failed call to the platform is repeated.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Wait before a candidate looks again whether the holder key has become free.
pub const CLAIM_AGAIN: Duration = Duration::from_secs(3);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Without the key; asks again at this time.
    Idle { next: Duration },
    /// The holder key is being read until this time.
    Looking { until: Duration },
    /// A lease is asked for or a claim is under way until this time.
    Asking { until: Duration },
    /// The key is held; the old holder's last order may still run until this time.
    Waiting { until: Duration },
    /// Orders may be given.
    Holding,
}

/// Takes part in the choice of a failure domain's holder, and gives orders while it is the holder.
#[derive(Debug, Clone)]
pub struct OrderHolder {
    phase: Phase,
    lease: Option<Lease>,
    slots: Slots,
    loads: BTreeMap<EndpointId, Load>,
    /// Runners whose load ended, until their reports can't be from before any more.
    settling: BTreeMap<EndpointId, Duration>,
    candidate: bool,
    wanted: Vec<Assignment>,
    runners: Vec<Runner>,
    blocked: Vec<Blocked>,
}

impl OrderHolder {
    /// A router that holds nothing and is no candidate yet.
    pub fn new() -> Self {
        Self {
            phase: Phase::Idle { next: Duration::ZERO },
            lease: None,
            slots: Slots::default(),
            loads: BTreeMap::new(),
            settling: BTreeMap::new(),
            candidate: false,
            wanted: Vec::new(),
            runners: Vec::new(),
            blocked: Vec::new(),
        }
    }

    /// Takes an event.
    pub fn on(&mut self, event: Event, now: Duration) -> Vec<Step> {
        let mut steps = Vec::new();
        self.check_lease(now, &mut steps);
        match event {
            Event::Tick => {}
            Event::Granted { id, ttl, requested } => self.granted(id, ttl, requested, &mut steps),
            Event::Lapsed(id) if self.bears(id) => self.give_up(now + RETRY_AFTER, &mut steps),
            Event::Lapsed(_) => {}
            Event::Claimed(id) if self.bears(id) && !self.holds() => {
                self.phase = Phase::Waiting {
                    until: now + LONGEST_ORDER,
                };
            }
            Event::Claimed(_) => {}
            Event::HolderAbsent => self.absent(now, &mut steps),
            Event::HeldByOther => self.give_way(now, &mut steps),
            Event::PlatformFailed => self.platform_failed(now),
            Event::Slots(seen) => self.slots.seen(seen, now),
            Event::SlotTaken(slot) => self.slots.taken(slot),
            Event::SlotFailed(_) => self.slots.forget(),
            Event::SlotFreed(slot) => self.slots.freed(slot),
            Event::Candidate(candidate) => self.candidate = candidate,
            Event::Stop => self.stop(now, &mut steps),
            Event::Assignments(wanted) => self.wanted = wanted,
            Event::Runners(runners) => self.runners = runners,
            Event::Done(endpoint) | Event::Refused(endpoint) => self.ended(&endpoint),
            Event::NoAnswer(_) => {}
        }
        self.proceed(now, &mut steps);
        steps
    }

    /// Whether the order to `endpoint` may leave now. The check belongs right before the write, since a holder can be
    /// paused anywhere; the time that the order may take is counted from here.
    pub fn may_send(&mut self, endpoint: &EndpointId, now: Duration) -> bool {
        let lasts = self.lease.as_ref().is_some_and(|lease| lease.lasts(now));
        let Some(load) = self.loads.get_mut(endpoint) else {
            return false;
        };
        if self.phase != Phase::Holding || !lasts || now >= load.until {
            return false;
        }
        load.until = now + LONGEST_ORDER;
        true
    }

    /// The lease that is held, for the fleet's status.
    pub fn fence(&self) -> Option<Fence> {
        if self.holds() {
            self.lease.as_ref().map(|lease| lease.id)
        } else {
            None
        }
    }

    fn bears(&self, id: Fence) -> bool {
        self.lease.as_ref().is_some_and(|lease| lease.id == id)
    }

    fn holds(&self) -> bool {
        matches!(self.phase, Phase::Waiting { .. } | Phase::Holding)
    }

    /// A lease that ended while this router was paused or the platform was out.
    fn check_lease(&mut self, now: Duration, steps: &mut Vec<Step>) {
        if self.lease.as_ref().is_some_and(|lease| lease.over(now)) {
            self.give_up(now, steps);
        }
    }

    fn absent(&mut self, now: Duration, steps: &mut Vec<Step>) {
        if matches!(self.phase, Phase::Looking { .. }) {
            self.phase = Phase::Asking {
                until: now + RETRY_AFTER,
            };
            steps.push(Step::RequestLease(LEASE_TTL));
        }
    }

    fn stop(&mut self, now: Duration, steps: &mut Vec<Step>) {
        self.candidate = false;
        self.give_way(now, steps);
    }

    fn granted(&mut self, id: Fence, ttl: Duration, requested: Duration, steps: &mut Vec<Step>) {
        if let Some(lease) = self.lease.as_mut().filter(|lease| lease.id == id) {
            lease.renewed(ttl, requested);
            return;
        }
        if self.lease.is_some() || !matches!(self.phase, Phase::Asking { .. }) {
            steps.push(Step::Revoke(id));
            return;
        }
        self.lease = Some(Lease::new(id, ttl, requested));
        steps.push(Step::Claim(id));
    }

    fn give_way(&mut self, now: Duration, steps: &mut Vec<Step>) {
        let held = self.lease.as_ref().map(|lease| lease.id);
        self.give_up(now + CLAIM_AGAIN, steps);
        steps.extend(held.map(Step::Revoke));
    }

    fn give_up(&mut self, next: Duration, steps: &mut Vec<Step>) {
        if self.holds() {
            steps.push(Step::Abandon);
        }
        self.phase = Phase::Idle { next };
        self.lease = None;
        self.loads.clear();
        self.settling.clear();
        self.slots = Slots::default();
    }

    fn platform_failed(&mut self, now: Duration) {
        self.slots.forget();
        if matches!(self.phase, Phase::Asking { .. }) {
            self.phase = Phase::Asking {
                until: now + RETRY_AFTER,
            };
        }
    }

    fn ended(&mut self, endpoint: &EndpointId) {
        if let Some(load) = self.loads.get_mut(endpoint) {
            load.ended = true;
        }
    }

    fn proceed(&mut self, now: Duration, steps: &mut Vec<Step>) {
        match self.phase {
            Phase::Idle { next } | Phase::Looking { until: next } => self.look(next, now, steps),
            Phase::Asking { until } => self.ask_again(until, now, steps),
            Phase::Waiting { until } if now < until => self.renew(now, steps),
            Phase::Waiting { .. } | Phase::Holding => {
                self.phase = Phase::Holding;
                self.renew(now, steps);
                self.finish_loads(now);
                steps.extend(self.slots.due_frees(now).into_iter().map(Step::FreeSlot));
                self.give_orders(now, steps);
            }
        }
    }

    fn look(&mut self, next: Duration, now: Duration, steps: &mut Vec<Step>) {
        if self.candidate && now >= next {
            self.phase = Phase::Looking {
                until: now + CLAIM_AGAIN,
            };
            steps.push(Step::ReadHolder);
        }
    }

    /// The claim or the request for a lease got no answer.
    fn ask_again(&mut self, until: Duration, now: Duration, steps: &mut Vec<Step>) {
        if now < until {
            return;
        }
        self.phase = Phase::Asking {
            until: now + RETRY_AFTER,
        };
        steps.push(match &self.lease {
            Some(lease) => Step::Claim(lease.id),
            None => Step::RequestLease(LEASE_TTL),
        });
    }

    fn renew(&mut self, now: Duration, steps: &mut Vec<Step>) {
        if let Some(id) = self.lease.as_mut().and_then(|lease| lease.due(now)) {
            steps.push(Step::Renew(id));
        }
    }
}

impl Default for OrderHolder {
    fn default() -> Self {
        Self::new()
    }
}
