//! Who gives orders to endpoints: one router of the whole deployment, under a lease of the store.
//!
//! What goes wrong without it: two routers order different weights, or one that was paused goes on where it stopped;
//! endpoints that don't check generation numbers then change back and forth. So the holder counts its lease from before
//! it asked for it, on a clock that goes on while its VM is suspended, and stops [`HolderTimes::margin`] before the end.
//! Before an order leaves, its endpoint stands in a list in the store that is written on condition that the holder key is
//! unchanged. So a successor knows which endpoints its predecessor may have ordered last, and leaves [`ForeignOrders`] to those.

use ids::{EndpointId, Fence};
use std::collections::BTreeMap;
use std::time::Duration;

/// Times of the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HolderTimes {
    /// Time to live without renewal.
    pub ttl: Duration,
    /// Time between renewals.
    pub renew_interval: Duration,
    /// Last part of the lease in which no order leaves.
    pub margin: Duration,
    /// Wait before a failed call is repeated.
    pub retry_delay: Duration,
}

/// Times for sites that let requests begin on old weights for ten seconds.
pub const TIMES: HolderTimes = HolderTimes {
    // A holder that dies is replaced this long after its last renewal, a seventh of that bound: with two seconds, a pool of nine
    // whose holder is lost twice in a rollout has old weights past it.
    ttl: Duration::from_millis(1_500),
    // Three renewals may fail before the lease ends. One counts as a tenth of a call.
    renew_interval: Duration::from_millis(300),
    // Covers the time from the check to the endpoint, and clocks of unequal speed.
    margin: Duration::from_millis(400),
    retry_delay: Duration::from_millis(500),
};

/// How much later than candidates the others ask for a free key. A router that has just started knows after 1.2 s whether it is a
/// candidate, and a candidate's claim reaches the others within a second more; were this shorter, all routers of a deployment
/// would ask when they start together.
const SPARE: Duration = Duration::from_millis(2_500);

/// Bits of a generation number that hold a revision; the store's era stands above them. Endpoints read numbers of up to 53 bits.
const REVISION_BITS: u32 = 40;
/// The last era that a number can hold.
const LAST_ERA: u64 = (1 << (53 - REVISION_BITS)) - 1;

/// The generation number of a key that was created at a revision of an era. It rises though revisions go back in the next era.
pub fn fence(era: u64, created: u64) -> Fence {
    Fence((era.min(LAST_ERA) << REVISION_BITS) | created)
}

/// The revision at which the key of a generation number was created.
pub fn created(fence: Fence) -> u64 {
    fence.0 & ((1 << REVISION_BITS) - 1)
}

/// The holder key's contents as last seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderRecord {
    /// The process that holds it: its VM, a slash and a part of its own, another one after each start.
    pub name: String,
    /// The generation number, by when the key was created: it only grows.
    pub created: Fence,
    /// The lease it hangs on.
    pub lease: u64,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// Whether this router is one of the few that try to hold the key first: each try costs calls to the store.
    Candidate(bool),
    /// The holder key as the store has it now.
    KeyObserved(Option<HolderRecord>),
    /// The store granted a lease, asked for at the given time; the key is being written.
    Granted {
        /// Its id.
        lease: u64,
        /// Its time to live.
        ttl: Duration,
        /// When it was asked for.
        requested: Duration,
    },
    /// No lease was granted, or the key could not be written.
    Failed,
    /// The lease was renewed by a call that left at the given time.
    Renewed {
        /// Time to live from then.
        ttl: Duration,
        /// When the call left.
        requested: Duration,
    },
    /// The store doesn't have this lease any more.
    Lapsed(u64),
    /// This router is going.
    Stop,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Ask for a lease, and write the key if it is absent.
    Acquire(Duration),
    /// Renew the lease.
    Renew(u64),
    /// Give it back.
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
    /// Another holds the key, or nothing is known of it.
    Idle,
    /// The key is absent; asked for from this time on.
    Free { next: Duration },
    /// The call is under way.
    Asking { until: Duration },
    /// The key is held.
    Holding { fence: Fence },
}

/// The part of one router in holding the key.
#[derive(Debug, Clone)]
pub struct Holder {
    name: String,
    times: HolderTimes,
    phase: Phase,
    lease: Option<Lease>,
    /// Wait before the key is asked for, other for each router, so that they don't all ask at once.
    stagger: Duration,
    candidate: bool,
    /// Whether the key was seen since this process started.
    seen: bool,
    stopped: bool,
}

impl Holder {
    /// A router that holds nothing; `name` is unique to this process.
    pub fn new(name: String, times: HolderTimes, stagger: Duration) -> Self {
        Self {
            name,
            times,
            phase: Phase::Idle,
            lease: None,
            stagger,
            candidate: false,
            seen: false,
            stopped: false,
        }
    }

    /// Takes an event.
    pub fn on(&mut self, event: Event, now: Duration) -> Option<Step> {
        self.check(now);
        match event {
            Event::Tick => return self.tick(now),
            Event::Candidate(candidate) => self.candidate = candidate,
            Event::KeyObserved(occupant) => return self.seen(occupant, now),
            // The failure of an earlier claim was heard late, so that one too many was made. The key hangs on the lease it was seen
            // under; were this one renewed in its place, orders would go on after the key's has lapsed.
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
                if matches!(self.phase, Phase::Asking { .. }) {
                    self.phase = Phase::Free {
                        next: now + self.times.retry_delay,
                    };
                }
            }
            // The watch may have told it before, and the key may be free or another lease asked for by now.
            Event::Lapsed(lease) if self.lease() == Some(lease) => self.let_go(),
            Event::Lapsed(_) => {}
            Event::Stop => {
                self.stopped = true;
                let held = self.lease.map(|lease| Step::Release(lease.id));
                self.let_go();
                return held;
            }
        }
        None
    }

    /// The generation number, while orders may leave. Belongs right before each send: a process can be paused anywhere.
    pub fn may_order(&self, now: Duration) -> Option<Fence> {
        let fence = self.fence()?;
        let lasts = self.lease.is_some_and(|lease| now + self.times.margin < lease.end);
        lasts.then_some(fence)
    }

    /// The generation number, while the key is held; orders may leave for a shorter time.
    pub fn fence(&self) -> Option<Fence> {
        let Phase::Holding { fence } = self.phase else {
            return None;
        };
        Some(fence)
    }

    /// The lease that the key hangs on, while it is held.
    pub fn lease(&self) -> Option<u64> {
        let holds = matches!(self.phase, Phase::Holding { .. });
        self.lease.filter(|_| holds).map(|lease| lease.id)
    }

    fn check(&mut self, now: Duration) {
        let over = self.lease.is_some_and(|lease| now >= lease.end);
        if !over {
            return;
        }
        self.lease = None;
        self.phase = match self.phase {
            Phase::Idle | Phase::Holding { .. } => Phase::Idle,
            Phase::Free { next } => Phase::Free { next },
            // The claim's answer was lost, or the claim: then the key is still free, and no word of it will come.
            Phase::Asking { .. } => Phase::Free { next: now },
        };
    }

    fn tick(&mut self, now: Duration) -> Option<Step> {
        match self.phase {
            Phase::Free { next } if now >= self.turn(next) && !self.stopped => {
                self.phase = Phase::Asking {
                    until: now + self.times.ttl,
                };
                Some(Step::Acquire(self.times.ttl))
            }
            Phase::Asking { until } if now >= until => {
                self.phase = Phase::Free { next: now };
                None
            }
            Phase::Holding { .. } => self.renew(now),
            _ => None,
        }
    }

    /// When a free key is asked for that candidates ask for at the given time.
    fn turn(&self, next: Duration) -> Duration {
        if self.candidate { next } else { next + SPARE }
    }

    fn renew(&mut self, now: Duration) -> Option<Step> {
        let lease = self.lease.as_mut().filter(|lease| now >= lease.renew_at)?;
        lease.renew_at = now + self.times.renew_interval;
        Some(Step::Renew(lease.id))
    }

    fn seen(&mut self, occupant: Option<HolderRecord>, now: Duration) -> Option<Step> {
        let first = !std::mem::replace(&mut self.seen, true);
        let Some(occupant) = occupant else {
            if !matches!(self.phase, Phase::Asking { .. } | Phase::Free { .. }) {
                self.let_go();
                self.phase = Phase::Free {
                    next: now + self.stagger,
                };
            }
            return None;
        };
        let own = occupant.name == self.name && self.lease.is_some_and(|lease| lease.id == occupant.lease);
        if !own {
            let held = self.lease.map(|lease| Step::Release(lease.id));
            self.let_go();
            // An earlier life of this VM that was killed can't give its lease back, and nobody would order until it lapses. That
            // life is over: it listened where this process does. Only the first look tells of it: two routers that were given one
            // name by mistake would take the key from each other for ever.
            let earlier = first && vm(&occupant.name) == vm(&self.name);
            return if earlier {
                Some(Step::Release(occupant.lease))
            } else {
                held
            };
        }
        if !matches!(self.phase, Phase::Holding { .. }) {
            self.phase = Phase::Holding {
                fence: occupant.created,
            };
        }
        None
    }

    fn let_go(&mut self) {
        self.phase = Phase::Idle;
        self.lease = None;
    }
}

/// The VM of a process's name, which ends in a part of its own.
fn vm(name: &str) -> &str {
    name.rsplit_once('/').map_or(name, |(vm, _)| vm)
}

/// How long after its list was sent to the store the holder may order what stands there. Without a bound, an order that is repeated
/// seconds later would reach an endpoint that a successor takes for free: it counts its turn from when it heard of the list.
pub const LIST_VALIDITY: Duration = Duration::from_millis(400);
/// Added to a turn: the age of the list when an order leaves, and a packet that is sent once more.
pub const HANDOVER_SLACK: Duration = Duration::from_millis(600);

/// Whether an endpoint may be ordered that stands in the list which was sent to the store at the given time.
pub fn list_is_current(sent: Option<Duration>, now: Duration) -> bool {
    sent.is_some_and(|sent| now.saturating_sub(sent) < LIST_VALIDITY)
}

/// When endpoints were last known to get orders of another holder.
#[derive(Debug, Clone, Default)]
pub struct ForeignOrders {
    ordered: BTreeMap<EndpointId, Duration>,
}

impl ForeignOrders {
    /// Another holder may have given orders to this endpoint until then.
    pub fn record(&mut self, endpoint: &EndpointId, until: Duration) {
        let last = self.ordered.entry(endpoint.clone()).or_default();
        *last = until.max(*last);
    }

    /// Endpoints that other holders may have ordered within the last turn, and how long ago. A holder tells them with its own: two
    /// that are lost within a turn would otherwise be followed by one that started in between and knows the second one's list only.
    pub fn recent(&self, turn: Duration, now: Duration) -> impl Iterator<Item = (&EndpointId, Duration)> {
        let ages = self
            .ordered
            .iter()
            .map(move |(id, last)| (id, now.saturating_sub(*last)));
        ages.filter(move |(_, age)| *age < turn)
    }

    /// Whether the last order of another holder is at least `turn` ago.
    pub fn may_order(&self, endpoint: &EndpointId, turn: Duration, now: Duration) -> bool {
        let last = self.ordered.get(endpoint);
        last.is_none_or(|last| now.saturating_sub(*last) >= turn)
    }
}
