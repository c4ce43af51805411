//! Routers of two failure domains compete for the orders to their runners, over a platform that fails and a clock that
//! goes on while they are paused.

use control::orders::{Assignment, Event, LOAD_SLOTS, ORDER_CALL_TIMEOUT, OrderHolder, Runner, SlotState, Step};
use ids::{EndpointId, Fence, Incarnation, ModelId, WeightsVersion};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::time::Duration;
use wire::engine::{Action, Order};

const STEP: Duration = Duration::from_millis(50);
const DOMAINS: usize = 2;
const ROUTERS: usize = 2;
/// Failure domain of each runner.
const RUNNERS: [usize; 5] = [0, 0, 0, 1, 1];
/// Longest stall between the last check and the write, which nothing can rule out.
const STALL: u64 = 1_500;
/// Faults end here, and the rest of the run must bring every runner to what is wanted.
const CALM: Duration = Duration::from_secs(300);
const END: Duration = Duration::from_secs(420);

#[derive(Clone, Copy, PartialEq)]
enum SlotKey {
    Free,
    Held(u64),
    Gone,
}

struct Platform {
    leases: Vec<(u64, Duration)>,
    next: u64,
    holders: [Option<u64>; DOMAINS],
    slots: [SlotKey; LOAD_SLOTS],
    /// Domains that can't reach the platform.
    cut: [bool; DOMAINS],
}

struct Router {
    domain: usize,
    holder: OrderHolder,
    awake: Duration,
    inbox: VecDeque<(Duration, Event)>,
    /// Orders that are checked once more when they are written.
    sends: Vec<(EndpointId, Order)>,
}

struct Engine {
    domain: usize,
    id: EndpointId,
    life: u64,
    weights: Option<WeightsVersion>,
    checks: bool,
    fence: Fence,
    load: Option<(Duration, Duration, WeightsVersion, Fence)>,
    reported: VecDeque<Runner>,
}

struct Delivery {
    due: Duration,
    router: usize,
    engine: usize,
    order: Order,
}

struct Run {
    random: ChaCha8Rng,
    now: Duration,
    platform: Platform,
    routers: Vec<Router>,
    engines: Vec<Engine>,
    deliveries: Vec<Delivery>,
    /// Newest fence whose order began, for each domain.
    begun: [Fence; DOMAINS],
    orders: usize,
    holders: usize,
    /// Orders for what the runner serves already.
    redundant: usize,
    crashes: bool,
}

fn model() -> ModelId {
    ModelId::from("grain")
}

impl Engine {
    fn runner(&self) -> Runner {
        Runner {
            endpoint: self.id.clone(),
            incarnation: Incarnation(self.life),
            model: model(),
            weights: self.weights.clone(),
            available: true,
        }
    }

    fn loading(&self, now: Duration) -> bool {
        self.load
            .as_ref()
            .is_some_and(|(begin, end, ..)| *begin <= now && now < *end)
    }
}

impl Platform {
    fn expire(&mut self, now: Duration) {
        self.leases.retain(|(_, end)| now < *end);
        let lives = |id: u64| self.leases.iter().any(|(lease, _)| *lease == id);
        for holder in &mut self.holders {
            *holder = holder.filter(|id| lives(*id));
        }
        for slot in &mut self.slots {
            if matches!(slot, SlotKey::Held(id) if !lives(*id)) {
                *slot = SlotKey::Gone;
            }
        }
    }

    fn lives(&self, id: Fence) -> bool {
        self.leases.iter().any(|(lease, _)| *lease == id.0)
    }

    fn call(&mut self, step: &Step, domain: usize, requested: Duration) -> Option<Event> {
        match step {
            Step::ReadHolder => Some(if self.holders[domain].is_some() {
                Event::HeldByOther
            } else {
                Event::HolderAbsent
            }),
            Step::RequestLease(ttl) => {
                self.next += 1;
                self.leases.push((self.next, requested + *ttl));
                Some(Event::Granted {
                    id: Fence(self.next),
                    ttl: *ttl,
                    requested,
                })
            }
            Step::Renew(id) => match self.leases.iter_mut().find(|(lease, _)| *lease == id.0) {
                Some((_, end)) => {
                    *end = requested + control::orders::LEASE_TTL;
                    Some(Event::Granted {
                        id: *id,
                        ttl: control::orders::LEASE_TTL,
                        requested,
                    })
                }
                None => Some(Event::Lapsed(*id)),
            },
            Step::Revoke(id) => {
                self.leases.retain(|(lease, _)| *lease != id.0);
                self.expire(requested);
                None
            }
            Step::Claim(id) if !self.lives(*id) => Some(Event::Lapsed(*id)),
            Step::Claim(id) => {
                let held = *self.holders[domain].get_or_insert(id.0);
                Some(if held == id.0 {
                    Event::Claimed(*id)
                } else {
                    Event::HeldByOther
                })
            }
            Step::ReadSlots(own) => Some(Event::Slots(self.slots.map(|slot| match slot {
                SlotKey::Free => SlotState::Free,
                SlotKey::Gone => SlotState::Lapsed,
                SlotKey::Held(id) if id == own.0 => SlotState::Own,
                SlotKey::Held(_) => SlotState::Held,
            }))),
            Step::TakeSlot { slot, lease } if self.lives(*lease) && !matches!(self.slots[*slot], SlotKey::Held(_)) => {
                self.slots[*slot] = SlotKey::Held(lease.0);
                Some(Event::SlotTaken(*slot))
            }
            Step::TakeSlot { slot, .. } => Some(Event::SlotFailed(*slot)),
            Step::FreeSlot(slot) => {
                if matches!(self.slots[*slot], SlotKey::Held(id) if self.holders[domain] == Some(id)) {
                    self.slots[*slot] = SlotKey::Free;
                }
                Some(Event::SlotFreed(*slot))
            }
            Step::Send { .. } | Step::Abandon | Step::Report(_) => None,
        }
    }
}

impl Run {
    fn new(seed: u64, crashes: bool) -> Self {
        let router = |place: usize| Router {
            domain: place / ROUTERS,
            holder: OrderHolder::new(),
            awake: Duration::ZERO,
            inbox: VecDeque::from([(Duration::ZERO, Event::Candidate(true))]),
            sends: Vec::new(),
        };
        let engine = |place: usize| Engine {
            domain: RUNNERS[place],
            id: EndpointId::from(format!("engine-{place}")),
            life: 1,
            weights: Some(WeightsVersion::from("0")),
            checks: place.is_multiple_of(2),
            fence: Fence(0),
            load: None,
            reported: VecDeque::new(),
        };
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::ZERO,
            platform: Platform {
                leases: Vec::new(),
                next: 0,
                holders: [None; DOMAINS],
                slots: [SlotKey::Free; LOAD_SLOTS],
                cut: [false; DOMAINS],
            },
            routers: (0..DOMAINS * ROUTERS).map(router).collect(),
            engines: (0..RUNNERS.len()).map(engine).collect(),
            deliveries: Vec::new(),
            begun: [Fence(0); DOMAINS],
            orders: 0,
            holders: 0,
            redundant: 0,
            crashes,
        }
    }

    fn millis(&mut self, most: u64) -> Duration {
        Duration::from_millis(self.random.random_range(0..=most))
    }

    /// The version wanted changes every 6 s while faults last.
    fn wanted(&self) -> WeightsVersion {
        WeightsVersion::from(format!("{}", self.now.min(CALM).as_secs() / 6 + 1))
    }

    fn run(&mut self) {
        while self.now < END {
            self.now += STEP;
            self.platform.expire(self.now);
            self.faults();
            self.engines();
            for place in 0..self.routers.len() {
                self.router(place);
            }
            self.deliver();
            let loading = self.engines.iter().filter(|engine| engine.loading(self.now)).count();
            assert!(loading <= LOAD_SLOTS, "{loading} runners load at {:?}", self.now);
        }
        let wanted = Some(self.wanted());
        for engine in &self.engines {
            assert_eq!(engine.weights, wanted, "{} after a calm time", engine.id);
        }
    }

    fn faults(&mut self) {
        if self.now > CALM {
            self.platform.cut = [false; DOMAINS];
            return;
        }
        for domain in 0..DOMAINS {
            if self.random.random_ratio(1, 200) {
                self.platform.cut[domain] = !self.platform.cut[domain];
            }
        }
        for place in 0..self.routers.len() {
            let busy = !self.routers[place].sends.is_empty();
            let (chance, longest) = if busy { (3, 10_000) } else { (600, 30_000) };
            if self.random.random_ratio(1, chance) {
                self.routers[place].awake = self.now + self.millis(longest);
            }
        }
        if self.crashes && self.random.random_ratio(1, 300) {
            let place = self.random.random_range(0..self.engines.len());
            let engine = &mut self.engines[place];
            engine.life += 1;
            (engine.weights, engine.load, engine.fence) = (None, None, Fence(0));
        }
    }

    fn engines(&mut self) {
        for engine in &mut self.engines {
            if let Some((begin, end, weights, _)) = engine.load.clone() {
                if begin <= self.now {
                    engine.weights = None;
                }
                if end <= self.now {
                    engine.weights = Some(weights);
                    engine.load = None;
                }
            }
            engine.reported.push_back(engine.runner());
            if engine.reported.len() > 20 {
                engine.reported.pop_front();
            }
        }
    }

    fn router(&mut self, place: usize) {
        if self.now < self.routers[place].awake {
            return;
        }
        self.write(place);
        let mut events = vec![Event::Tick];
        let domain = self.routers[place].domain;
        let near = self.engines.iter().filter(|engine| engine.domain == domain);
        let wanted = self.wanted();
        let want = |engine: &Engine| Assignment {
            endpoint: engine.id.clone(),
            model: model(),
            weights: wanted.clone(),
        };
        events.push(Event::Assignments(near.clone().map(want).collect()));
        events.push(Event::Runners(near.map(|engine| engine.reported[0].clone()).collect()));
        let router = &mut self.routers[place];
        let (due, later): (VecDeque<_>, VecDeque<_>) = router.inbox.drain(..).partition(|(due, _)| *due <= self.now);
        router.inbox = later;
        events.extend(due.into_iter().map(|(_, event)| event));
        for event in events {
            let claimed = matches!(event, Event::Claimed(_));
            let steps = self.routers[place].holder.on(event, self.now);
            self.holders += usize::from(claimed);
            for step in steps {
                self.carry_out(place, step);
            }
        }
    }

    fn carry_out(&mut self, place: usize, step: Step) {
        if let Step::Send { endpoint, order } = step {
            self.routers[place].sends.push((endpoint, order));
            return;
        }
        if step == Step::Abandon {
            self.routers[place].sends.clear();
        }
        let domain = self.routers[place].domain;
        let lost = self.now < CALM && self.random.random_ratio(1, 10);
        let answer = match (self.platform.cut[domain], lost) {
            (true, _) => Some(Event::PlatformFailed),
            (false, true) => self
                .platform
                .call(&step, domain, self.now)
                .map(|_| Event::PlatformFailed),
            (false, false) => self.platform.call(&step, domain, self.now),
        };
        let due = self.now + self.millis(300);
        self.routers[place].inbox.extend(answer.map(|event| (due, event)));
    }

    /// A pause may lie between the decision and the write, so that the write checks once more.
    fn write(&mut self, place: usize) {
        for (endpoint, order) in std::mem::take(&mut self.routers[place].sends) {
            if !self.routers[place].holder.may_send(&endpoint, self.now) {
                continue;
            }
            let engine = self.engines.iter().position(|engine| engine.id == endpoint).unwrap();
            let slow = self.random.random_ratio(1, 2);
            let delivery = if slow { ORDER_CALL_TIMEOUT } else { self.millis(100) };
            let due = self.now + self.millis(STALL) + delivery;
            self.deliveries.push(Delivery {
                due,
                router: place,
                engine,
                order,
            });
            self.orders += 1;
        }
    }

    fn deliver(&mut self) {
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.deliveries)
            .into_iter()
            .partition(|delivery| delivery.due <= self.now);
        self.deliveries = later;
        for delivery in due {
            let event = self.receive(&delivery);
            self.routers[delivery.router].inbox.push_back(event);
        }
    }

    fn receive(&mut self, delivery: &Delivery) -> (Duration, Event) {
        let wait = self.millis(delivery.order.expires_ms);
        let work = Duration::from_millis(300) + self.millis(500);
        let now = self.now;
        let engine = &mut self.engines[delivery.engine];
        let endpoint = engine.id.clone();
        let old = engine.checks && delivery.order.fence < engine.fence;
        if old || delivery.order.incarnation != Incarnation(engine.life) || engine.load.is_some() {
            return (now, Event::Refused(endpoint));
        }
        engine.fence = delivery.order.fence;
        let Action::Load { weights, .. } = &delivery.order.action else {
            unreachable!()
        };
        let domain = engine.domain;
        assert!(
            self.begun[domain] <= delivery.order.fence,
            "an old holder's order was acted on"
        );
        self.begun[domain] = delivery.order.fence;
        if engine.weights.as_ref() == Some(weights) {
            self.redundant += 1;
            return (now, Event::Done(endpoint));
        }
        let (begin, end) = (now + wait, now + wait + work);
        engine.load = Some((begin, end, weights.clone(), delivery.order.fence));
        let older = |other: &Engine| other.load.as_ref().is_some_and(|load| load.3 < delivery.order.fence);
        let still = self.engines.iter().any(|other| other.domain == domain && older(other));
        assert!(!still, "an old holder's order is still acted on");
        if !self.crashes {
            let other = |other: &&Engine| other.domain == domain && other.id != endpoint && other.load.is_none();
            assert!(
                self.engines.iter().filter(other).any(|other| other.weights.is_some()),
                "the last serving runner"
            );
        }
        let answered = end < now + ORDER_CALL_TIMEOUT;
        if answered {
            (end, Event::Done(endpoint))
        } else {
            (now + ORDER_CALL_TIMEOUT, Event::NoAnswer(endpoint))
        }
    }
}

/// A holder is paused past its lease, or cut from the platform, while another takes over. Some engines ignore fences,
/// so that an order of the old holder would put old weights back, or take the last runner of a model out of service:
/// users would get another version than the one announced, or wait for a load.
#[test]
fn one_holder_orders_at_a_time() {
    let (mut orders, mut holders, mut redundant) = (0, 0, 0);
    for seed in 0..60 {
        let mut run = Run::new(seed, seed % 2 == 1);
        run.run();
        orders += run.orders;
        holders += run.holders;
        redundant += run.redundant;
    }
    assert!(
        orders > 1000 && holders > 200,
        "{orders} orders and {holders} holders are too few to show anything"
    );
    assert!(
        redundant * 20 < orders,
        "{redundant} of {orders} orders were for what the runner served already"
    );
}
