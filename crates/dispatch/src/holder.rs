//! The order lease: one router of the deployment holds a lease in the store, and only it orders endpoints to load
//! weights.
//!
//! If two routers ordered different weights, or a paused router resumed sending, endpoints that don't check generation
//! numbers would switch back and forth between weights. The lease holder therefore counts its lease from before it
//! requested it, on a clock that advances while its VM is suspended, and stops sending [`HolderTimes::margin`] before
//! the end.
//!
//! Before the holder sends an order, it writes the endpoint to the load list in the store, on condition that the holder
//! key is unchanged. A successor reads there which endpoints its predecessor may have ordered last, and sends them no
//! order until the handover delay has passed; see [`ForeignOrders`].

use ids::{EndpointId, Fence};
use std::collections::BTreeMap;
use std::time::Duration;

/// Timing of the order lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HolderTimes {
    /// Time to live of the lease without renewal.
    pub ttl: Duration,
    /// Time between renewals.
    pub renew_interval: Duration,
    /// Time before the end of the lease from which no orders are sent.
    pub margin: Duration,
    /// Delay before a failed call is repeated.
    pub retry_delay: Duration,
}

/// Timing for deployments in which requests may begin on replaced weights for ten seconds.
pub const TIMES: HolderTimes = HolderTimes {
    // A crashed holder is replaced this long after its last renewal, a seventh of those ten seconds. With two seconds,
    // a pool of nine that loses its holder twice in one rollout would keep old weights for longer than that.
    ttl: Duration::from_millis(1_500),
    // Three renewals may fail before the lease ends. A renewal costs a tenth of a call to the store.
    renew_interval: Duration::from_millis(300),
    // Covers the time from the check to the arrival at the endpoint, and clock drift.
    margin: Duration::from_millis(400),
    retry_delay: Duration::from_millis(500),
};

/// Additional delay before a router that isn't a candidate requests a free key. A router learns within 1.2 s of its
/// start whether it is a candidate, and a candidate's claim reaches the others within another second. With a shorter
/// delay all routers would request the key if they start together.
const STANDBY_DELAY: Duration = Duration::from_millis(2_500);

/// Low bits of a generation number, which hold a revision; the bits above hold the store's era. Endpoints read numbers
/// of up to 53 bits.
const REVISION_BITS: u32 = 40;
/// Largest era that a generation number can hold.
const MAX_ERA: u64 = (1 << (53 - REVISION_BITS)) - 1;

/// The generation number of a key that was created at a revision of an era. It increases even when a new era starts
/// with lower revisions.
pub fn fence(era: u64, created: u64) -> Fence {
    Fence((era.min(MAX_ERA) << REVISION_BITS) | created)
}

/// The revision at which the key with this generation number was created.
pub fn created(fence: Fence) -> u64 {
    fence.0 & ((1 << REVISION_BITS) - 1)
}

/// The contents of the holder key, which names the lease holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderRecord {
    /// The process that holds the key: its VM, a slash and a part that is unique to the process.
    pub name: String,
    /// The generation number, from the key's creation revision. It only increases.
    pub created: Fence,
    /// The lease that the key is attached to.
    pub lease: u64,
}

/// An input of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// Whether this router is one of the few that request the key first. Each request costs calls to the store.
    Candidate(bool),
    /// Whether this router has lost its own paths to the endpoints. Orders don't go through other routers, because an
    /// endpoint can't tell then which router sent them.
    CutOff(bool),
    /// The current holder key in the store; `None` if it is absent.
    KeyObserved(Option<HolderRecord>),
    /// The store granted a lease, and the key is being written.
    Granted {
        /// ID of the lease.
        lease: u64,
        /// Time to live, counted from `requested`.
        ttl: Duration,
        /// When the call was sent.
        requested: Duration,
    },
    /// No lease was granted, or the key could not be written.
    Failed,
    /// The lease was renewed.
    Renewed {
        /// Time to live, counted from `requested`.
        ttl: Duration,
        /// When the call was sent.
        requested: Duration,
    },
    /// The store no longer has this lease.
    LeaseExpired(u64),
    /// This router shuts down.
    Stop,
}

/// An action for the caller of [`Holder::on`] to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Request a lease with this time to live, and write the key if it is absent.
    Acquire(Duration),
    /// Renew the lease.
    Renew(u64),
    /// Revoke the lease.
    Release(u64),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Lease {
    id: u64,
    end: Duration,
    renew_at: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Another router holds the key, or the key has not been read yet.
    Idle,
    /// The key is absent. Candidates request it from this time on.
    Free { next: Duration },
    /// This router has requested the key.
    Requesting { until: Duration },
    /// This router holds the key.
    Holding { fence: Fence },
}

/// State machine of one router for the order lease.
#[derive(Debug, Clone)]
pub struct Holder {
    name: String,
    times: HolderTimes,
    phase: Phase,
    lease: Option<Lease>,
    /// Delay before the key is requested, different for each router, so that they don't all request it at once.
    stagger: Duration,
    candidate: bool,
    /// Whether the key has been read since this process started.
    key_read: bool,
    cut_off: bool,
    stopped: bool,
}

impl Holder {
    /// A router that doesn't hold the key; `name` is unique to this process.
    pub fn new(name: String, times: HolderTimes, stagger: Duration) -> Self {
        Self {
            name,
            times,
            phase: Phase::Idle,
            lease: None,
            stagger,
            candidate: false,
            key_read: false,
            cut_off: false,
            stopped: false,
        }
    }

    /// Handles an event.
    pub fn on(&mut self, event: Event, now: Duration) -> Option<Step> {
        self.expire_lease(now);
        match event {
            Event::Tick => return self.tick(now),
            Event::Candidate(candidate) => self.candidate = candidate,
            Event::CutOff(cut_off) => {
                self.cut_off = cut_off;
                if cut_off && self.fence().is_some() {
                    return self.release();
                }
            }
            Event::KeyObserved(record) => return self.observe_key(record, now),
            // The failure of an earlier request arrived late, so one request too many was made. The key stays attached
            // to its own lease. Renewing this one instead would let orders continue after the key's lease has expired.
            Event::Granted { lease, .. } if self.lease().is_some() => return Some(Step::Release(lease)),
            Event::Granted { lease, ttl, requested } => {
                self.lease = Some(Lease {
                    id: lease,
                    end: requested + ttl,
                    renew_at: requested + self.times.renew_interval,
                });
            }
            Event::Renewed { ttl, requested } => {
                if let Some(lease) = &mut self.lease {
                    lease.end = lease.end.max(requested + ttl);
                }
            }
            Event::Failed => {
                if matches!(self.phase, Phase::Requesting { .. }) {
                    self.phase = Phase::Free {
                        next: now + self.times.retry_delay,
                    };
                }
            }
            // The watch may have reported it first, so the key may already be free or another lease requested.
            Event::LeaseExpired(lease) if self.lease() == Some(lease) => self.reset(),
            Event::LeaseExpired(_) => {}
            Event::Stop => {
                self.stopped = true;
                return self.release();
            }
        }
        None
    }

    /// The generation number, while orders may be sent. To be checked right before each send, since the process can be
    /// paused anywhere.
    pub fn may_order(&self, now: Duration) -> Option<Fence> {
        let fence = self.fence()?;
        let valid = self.lease.is_some_and(|lease| now + self.times.margin < lease.end);
        valid.then_some(fence)
    }

    /// The generation number, while the key is held. Orders may be sent for a shorter time; see [`Self::may_order`].
    pub fn fence(&self) -> Option<Fence> {
        let Phase::Holding { fence } = self.phase else {
            return None;
        };
        Some(fence)
    }

    /// The lease that the key is attached to, while this router holds it.
    pub fn lease(&self) -> Option<u64> {
        let holding = matches!(self.phase, Phase::Holding { .. });
        self.lease.filter(|_| holding).map(|lease| lease.id)
    }

    fn expire_lease(&mut self, now: Duration) {
        let expired = self.lease.is_some_and(|lease| now >= lease.end);
        if !expired {
            return;
        }
        self.lease = None;
        self.phase = match self.phase {
            Phase::Idle | Phase::Holding { .. } => Phase::Idle,
            Phase::Free { next } => Phase::Free { next },
            // The request or its response was lost. If it was the request, the key is still free and the watch won't
            // report a change.
            Phase::Requesting { .. } => Phase::Free { next: now },
        };
    }

    fn tick(&mut self, now: Duration) -> Option<Step> {
        match self.phase {
            Phase::Free { next } if now >= self.request_time(next) && !self.stopped && !self.cut_off => {
                self.phase = Phase::Requesting {
                    until: now + self.times.ttl,
                };
                Some(Step::Acquire(self.times.ttl))
            }
            Phase::Requesting { until } if now >= until => {
                self.phase = Phase::Free { next: now };
                None
            }
            Phase::Holding { .. } => self.renew(now),
            _ => None,
        }
    }

    /// When this router requests a free key that candidates request at the given time.
    fn request_time(&self, next: Duration) -> Duration {
        if self.candidate { next } else { next + STANDBY_DELAY }
    }

    fn renew(&mut self, now: Duration) -> Option<Step> {
        let lease = self.lease.as_mut().filter(|lease| now >= lease.renew_at)?;
        lease.renew_at = now + self.times.renew_interval;
        Some(Step::Renew(lease.id))
    }

    fn observe_key(&mut self, record: Option<HolderRecord>, now: Duration) -> Option<Step> {
        let first = !std::mem::replace(&mut self.key_read, true);
        let Some(record) = record else {
            if !matches!(self.phase, Phase::Requesting { .. } | Phase::Free { .. }) {
                self.reset();
                self.phase = Phase::Free {
                    next: now + self.stagger,
                };
            }
            return None;
        };
        let own = record.name == self.name && self.lease.is_some_and(|lease| lease.id == record.lease);
        if !own {
            let held = self.release();
            // An earlier process of this VM that was killed can't revoke its lease, and no router could order until the
            // lease expires. That process has ended, since this one listens on its address. This is done only for the
            // first key that is read. Otherwise two routers with the same VM name by mistake would keep revoking each
            // other's lease.
            let earlier = first && vm(&record.name) == vm(&self.name);
            return if earlier {
                Some(Step::Release(record.lease))
            } else {
                held
            };
        }
        if !matches!(self.phase, Phase::Holding { .. }) {
            self.phase = Phase::Holding { fence: record.created };
        }
        None
    }

    /// Gives up the key and the lease.
    fn release(&mut self) -> Option<Step> {
        let held = self.lease.map(|lease| Step::Release(lease.id));
        self.reset();
        held
    }

    fn reset(&mut self) {
        self.phase = Phase::Idle;
        self.lease = None;
    }
}

/// The VM part of a process name, without the part that is unique to the process.
fn vm(name: &str) -> &str {
    name.rsplit_once('/').map_or(name, |(vm, _)| vm)
}

/// How long after sending the load list to the store the holder may send orders to the endpoints on it. Without a
/// limit, a retry seconds later could reach an endpoint after a successor's handover delay, which starts when the
/// successor receives the list.
pub const LIST_VALIDITY: Duration = Duration::from_millis(400);
/// Added to the handover delay: covers the age of the load list when an order is sent, and one packet retransmission.
pub const HANDOVER_SLACK: Duration = Duration::from_millis(600);

/// Whether orders may be sent to the endpoints of a load list that was sent to the store at the given time.
pub fn list_is_current(sent: Option<Duration>, now: Duration) -> bool {
    sent.is_some_and(|sent| now.saturating_sub(sent) < LIST_VALIDITY)
}

/// When other lease holders may last have sent orders to each endpoint.
#[derive(Debug, Clone, Default)]
pub struct ForeignOrders {
    ordered: BTreeMap<EndpointId, Duration>,
}

impl ForeignOrders {
    /// Records that another lease holder may have sent orders to this endpoint until the given time.
    pub fn record(&mut self, endpoint: &EndpointId, until: Duration) {
        let last = self.ordered.entry(endpoint.clone()).or_default();
        *last = until.max(*last);
    }

    /// Endpoints that other holders may have ordered within the handover delay, and how long ago. A holder publishes
    /// them with its own load list. Otherwise, if two holders fail within one delay, a third router that started in
    /// between would know only the list of the second.
    pub fn recent(&self, delay: Duration, now: Duration) -> impl Iterator<Item = (&EndpointId, Duration)> {
        let ages = self
            .ordered
            .iter()
            .map(move |(id, last)| (id, now.saturating_sub(*last)));
        ages.filter(move |(_, age)| *age < delay)
    }

    /// Whether the last order of another holder is at least `delay` ago.
    pub fn may_order(&self, endpoint: &EndpointId, delay: Duration, now: Duration) -> bool {
        let last = self.ordered.get(endpoint);
        last.is_none_or(|last| now.saturating_sub(*last) >= delay)
    }
}
