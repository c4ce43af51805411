//! Simulation of two failure domains whose routers compete for the order lease, with platform failures and pauses of
//! routers during which the clock advances.

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
/// Longest delay between the last check and the write, milliseconds. The code cannot prevent such a delay.
const MAX_STALL_MS: u64 = 1_500;
/// Faults end at this time. Afterwards every runner must reach its assigned weights.
const FAULTS_END: Duration = Duration::from_secs(300);
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
    /// Domains that cannot reach the platform.
    disconnected: [bool; DOMAINS],
}

struct Router {
    domain: usize,
    holder: OrderHolder,
    resumes_at: Duration,
    inbox: VecDeque<(Duration, Event)>,
    /// Orders that are checked again when they are written.
    pending_orders: Vec<(EndpointId, Order)>,
}

struct Engine {
    domain: usize,
    id: EndpointId,
    incarnation: u64,
    weights: Option<WeightsVersion>,
    checks_fence: bool,
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
    /// Newest fencing token of a started order, for each domain.
    started: [Fence; DOMAINS],
    orders: usize,
    holders: usize,
    /// Orders to load weights that the runner already serves.
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
            incarnation: Incarnation(self.incarnation),
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
        let lease_exists = |id: u64| self.leases.iter().any(|(lease, _)| *lease == id);
        for holder in &mut self.holders {
            *holder = holder.filter(|id| lease_exists(*id));
        }
        for slot in &mut self.slots {
            if matches!(slot, SlotKey::Held(id) if !lease_exists(*id)) {
                *slot = SlotKey::Gone;
            }
        }
    }

    fn lease_exists(&self, id: Fence) -> bool {
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
                None => Some(Event::LeaseExpired(*id)),
            },
            Step::Revoke(id) => {
                self.leases.retain(|(lease, _)| *lease != id.0);
                self.expire(requested);
                None
            }
            Step::Claim(id) if !self.lease_exists(*id) => Some(Event::LeaseExpired(*id)),
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
                SlotKey::Gone => SlotState::Expired,
                SlotKey::Held(id) if id == own.0 => SlotState::Own,
                SlotKey::Held(_) => SlotState::Held,
            }))),
            Step::TakeSlot { slot, lease }
                if self.lease_exists(*lease) && !matches!(self.slots[*slot], SlotKey::Held(_)) =>
            {
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
        let router = |index: usize| Router {
            domain: index / ROUTERS,
            holder: OrderHolder::new(),
            resumes_at: Duration::ZERO,
            inbox: VecDeque::from([(Duration::ZERO, Event::Candidate(true))]),
            pending_orders: Vec::new(),
        };
        let engine = |index: usize| Engine {
            domain: RUNNERS[index],
            id: EndpointId::from(format!("engine-{index}")),
            incarnation: 1,
            weights: Some(WeightsVersion::from("0")),
            checks_fence: index.is_multiple_of(2),
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
                disconnected: [false; DOMAINS],
            },
            routers: (0..DOMAINS * ROUTERS).map(router).collect(),
            engines: (0..RUNNERS.len()).map(engine).collect(),
            deliveries: Vec::new(),
            started: [Fence(0); DOMAINS],
            orders: 0,
            holders: 0,
            redundant: 0,
            crashes,
        }
    }

    fn millis(&mut self, max: u64) -> Duration {
        Duration::from_millis(self.random.random_range(0..=max))
    }

    /// The assigned version. It changes every 6 s until the faults end.
    fn assigned_weights(&self) -> WeightsVersion {
        WeightsVersion::from(format!("{}", self.now.min(FAULTS_END).as_secs() / 6 + 1))
    }

    fn run(&mut self) {
        while self.now < END {
            self.now += STEP;
            self.platform.expire(self.now);
            self.inject_faults();
            self.step_engines();
            for index in 0..self.routers.len() {
                self.step_router(index);
            }
            self.deliver();
            let loading = self.engines.iter().filter(|engine| engine.loading(self.now)).count();
            assert!(loading <= LOAD_SLOTS, "{loading} runners load at {:?}", self.now);
        }
        let assigned_weights = Some(self.assigned_weights());
        for engine in &self.engines {
            assert_eq!(engine.weights, assigned_weights, "{} after the last fault", engine.id);
        }
    }

    fn inject_faults(&mut self) {
        if self.now > FAULTS_END {
            self.platform.disconnected = [false; DOMAINS];
            return;
        }
        for domain in 0..DOMAINS {
            if self.random.random_ratio(1, 200) {
                self.platform.disconnected[domain] = !self.platform.disconnected[domain];
            }
        }
        for index in 0..self.routers.len() {
            let busy = !self.routers[index].pending_orders.is_empty();
            let (chance, longest) = if busy { (3, 10_000) } else { (600, 30_000) };
            if self.random.random_ratio(1, chance) {
                self.routers[index].resumes_at = self.now + self.millis(longest);
            }
        }
        if self.crashes && self.random.random_ratio(1, 300) {
            let index = self.random.random_range(0..self.engines.len());
            let engine = &mut self.engines[index];
            engine.incarnation += 1;
            (engine.weights, engine.load, engine.fence) = (None, None, Fence(0));
        }
    }

    fn step_engines(&mut self) {
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

    fn step_router(&mut self, index: usize) {
        if self.now < self.routers[index].resumes_at {
            return;
        }
        self.write_orders(index);
        let mut events = vec![Event::Tick];
        let domain = self.routers[index].domain;
        let local = self.engines.iter().filter(|engine| engine.domain == domain);
        let assigned_weights = self.assigned_weights();
        let assignment = |engine: &Engine| Assignment {
            endpoint: engine.id.clone(),
            model: model(),
            weights: assigned_weights.clone(),
        };
        events.push(Event::Assignments(local.clone().map(assignment).collect()));
        events.push(Event::Runners(local.map(|engine| engine.reported[0].clone()).collect()));
        let router = &mut self.routers[index];
        let (due, later): (VecDeque<_>, VecDeque<_>) = router.inbox.drain(..).partition(|(due, _)| *due <= self.now);
        router.inbox = later;
        events.extend(due.into_iter().map(|(_, event)| event));
        for event in events {
            let claimed = matches!(event, Event::Claimed(_));
            let steps = self.routers[index].holder.on(event, self.now);
            self.holders += usize::from(claimed);
            for step in steps {
                self.execute(index, step);
            }
        }
    }

    fn execute(&mut self, index: usize, step: Step) {
        if let Step::Send { endpoint, order } = step {
            self.routers[index].pending_orders.push((endpoint, order));
            return;
        }
        if step == Step::Abandon {
            self.routers[index].pending_orders.clear();
        }
        let domain = self.routers[index].domain;
        let lost = self.now < FAULTS_END && self.random.random_ratio(1, 10);
        let answer = match (self.platform.disconnected[domain], lost) {
            (true, _) => Some(Event::PlatformFailed),
            (false, true) => self
                .platform
                .call(&step, domain, self.now)
                .map(|_| Event::PlatformFailed),
            (false, false) => self.platform.call(&step, domain, self.now),
        };
        let due = self.now + self.millis(300);
        self.routers[index].inbox.extend(answer.map(|event| (due, event)));
    }

    /// Writes the pending orders. The router may have been paused since it issued them, so each is checked again.
    fn write_orders(&mut self, index: usize) {
        for (endpoint, order) in std::mem::take(&mut self.routers[index].pending_orders) {
            if !self.routers[index].holder.may_send(&endpoint, self.now) {
                continue;
            }
            let engine = self.engines.iter().position(|engine| engine.id == endpoint).unwrap();
            let slow = self.random.random_ratio(1, 2);
            let delivery = if slow { ORDER_CALL_TIMEOUT } else { self.millis(100) };
            let due = self.now + self.millis(MAX_STALL_MS) + delivery;
            self.deliveries.push(Delivery {
                due,
                router: index,
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
        let is_stale = engine.checks_fence && delivery.order.fence < engine.fence;
        if is_stale || delivery.order.incarnation != Incarnation(engine.incarnation) || engine.load.is_some() {
            return (now, Event::Refused(endpoint));
        }
        engine.fence = delivery.order.fence;
        let Action::Load { weights, .. } = &delivery.order.action else {
            unreachable!()
        };
        let domain = engine.domain;
        assert!(
            self.started[domain] <= delivery.order.fence,
            "an order of an old holder was executed"
        );
        self.started[domain] = delivery.order.fence;
        if engine.weights.as_ref() == Some(weights) {
            self.redundant += 1;
            return (now, Event::Done(endpoint));
        }
        let (begin, end) = (now + wait, now + wait + work);
        engine.load = Some((begin, end, weights.clone(), delivery.order.fence));
        let is_older = |other: &Engine| other.load.as_ref().is_some_and(|load| load.3 < delivery.order.fence);
        let still_running = self
            .engines
            .iter()
            .any(|other| other.domain == domain && is_older(other));
        assert!(!still_running, "an order of an old holder has not ended");
        if !self.crashes {
            let other = |other: &&Engine| other.domain == domain && other.id != endpoint && other.load.is_none();
            assert!(
                self.engines.iter().filter(other).any(|other| other.weights.is_some()),
                "the last serving runner was ordered to load"
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

/// A holder is paused beyond its lease, or disconnected from the platform, while another takes over. Some engines
/// ignore fencing tokens. On them, an order of the old holder could restore old weights or take the last runner of a
/// model out of service.
#[test]
fn only_one_holder_at_a_time_issues_orders() {
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
        "too few cases tested: {orders} orders, {holders} holders"
    );
    assert!(
        redundant * 20 < orders,
        "{redundant} of {orders} orders were for weights that the runner already served"
    );
}
