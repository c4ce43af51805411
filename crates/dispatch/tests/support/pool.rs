//! A pool of engines whose weights a holder renews, simulated without I/O in steps of 10 ms.

use dispatch::holder::{ForeignOrders, HANDOVER_SLACK, list_is_current};
use dispatch::loading::{Loading, Next, ORDER_TIMEOUT, OrderOutcome};
use dispatch::rollout::{LoadCandidate, Report, SentOrder, plan_loads};
use ids::EndpointId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long after new weights were named requests may begin on older ones, ms.
pub const BOUND: u64 = 10_000;
const STEP: u64 = 10;
/// A load by itself, and how many run at full speed.
const LOAD: u64 = 760;
/// How old a report is.
const REPORT_AGE: u64 = 300;
/// From the decision that an endpoint takes part to the first look at it: the list is written, and the other routers hear of it.
const NOTICE: u64 = 270;
/// Within this time two holders may not order one engine, ms.
const TURN_BOUND: u64 = 3_000;
/// How long it takes to write the list once more.
const WRITE: u64 = 50;
/// How long a successor leaves those alone that its predecessor may have ordered.
const TURN: Duration = Duration::from_millis(TURN_BOUND).saturating_add(HANDOVER_SLACK);

/// What comes over the pool.
#[derive(Debug, Clone, Default)]
pub struct Trouble {
    /// Engines.
    pub engines: usize,
    /// When weights 2, 3, … are named, ms.
    pub named: Vec<u64>,
    /// Longest answer that runs when an engine begins to run empty, ms; engines differ.
    pub answers: u64,
    /// When the holder is lost, ms.
    pub lost: Vec<u64>,
    /// How long nobody has the right to order then, ms.
    pub vacant: u64,
    /// Every so many orders one gets no answer, and is carried out this much later, ms. 0: none.
    pub late: (u64, u64),
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Order {
    weights: u64,
    expected: u64,
}

#[derive(Debug, Clone, Default)]
struct Engine {
    weights: u64,
    orders: u64,
    /// Weights to load, and what is left of the load in tenths of ms.
    load: Option<(u64, u64)>,
    /// When its last answer ends, once it gets no requests.
    empty: u64,
    late: Vec<(u64, Order)>,
    /// Its reports, one a step.
    reports: Vec<Report>,
    /// Who ordered last, and when.
    last: Option<(u64, u64)>,
}

impl Engine {
    fn take(&mut self, order: Order) -> OrderOutcome {
        if self.load.is_some() || order.expected != self.orders {
            return OrderOutcome::Conflict;
        }
        self.orders += 1;
        self.load = Some((order.weights, LOAD * 10));
        OrderOutcome::Accepted
    }

    fn loads(&self, now: u64) -> bool {
        self.load.is_some() && now >= self.empty
    }

    fn step(&mut self, now: u64, speed: u64) {
        let due: Vec<Order> = self
            .late
            .extract_if(.., |(at, _)| *at <= now)
            .map(|late| late.1)
            .collect();
        for order in due {
            self.take(order);
        }
        if self.loads(now) {
            self.load = self.load.map(|(weights, left)| (weights, left.saturating_sub(speed)));
        }
        if let Some((weights, 0)) = self.load {
            self.weights = weights;
            self.load = None;
        }
        self.reports.push(Report {
            weights: Some(self.weights),
            busy: self.load.is_some(),
            orders: self.orders,
        });
    }

    fn report(&self, now: u64) -> Report {
        let at = now.saturating_sub(REPORT_AGE) / STEP;
        self.reports[(at as usize).min(self.reports.len() - 1)]
    }
}

/// One endpoint that takes part.
#[derive(Debug, Clone, Copy)]
struct Part {
    loading: Loading,
    /// When it is looked at next.
    look: u64,
    /// When an order that gets no answer is given up.
    waits: Option<(u64, SentOrder)>,
}

/// A simulated rollout.
pub struct Pool {
    trouble: Trouble,
    engines: BTreeMap<EndpointId, Engine>,
    parts: BTreeMap<EndpointId, Part>,
    /// What the routers know of the holder's list.
    turns: ForeignOrders,
    ended: BTreeMap<EndpointId, u64>,
    /// The list, and when it was told.
    listed: Vec<EndpointId>,
    told: u64,
    /// Who holds the right, and from when on.
    holder: u64,
    vacant: u64,
    /// Orders that were sent.
    pub orders: u64,
    /// Orders that two holders gave to one engine within a turn.
    pub crossed: u64,
    /// Most engines whose weights were past the bound at one time: callers aren't sent there.
    pub past: usize,
}

impl Pool {
    pub fn new(trouble: Trouble) -> Self {
        let engine = |at| {
            let engine = Engine {
                weights: 1,
                ..Engine::default()
            };
            (EndpointId::from(format!("e{at:03}").as_str()), engine)
        };
        Self {
            engines: (0..trouble.engines).map(engine).collect(),
            trouble,
            parts: BTreeMap::new(),
            turns: ForeignOrders::default(),
            ended: BTreeMap::new(),
            listed: Vec::new(),
            told: 0,
            holder: 0,
            vacant: 0,
            orders: 0,
            crossed: 0,
            past: 0,
        }
    }

    /// How long after some weights were named the last engine got them or newer ones, for all of them, ms.
    pub fn run(&mut self) -> u64 {
        let mut slowest = 0;
        let end = self.trouble.named.last().unwrap_or(&0) + 60_000;
        for now in (0..end).step_by(STEP as usize) {
            self.step(now);
            self.past = self.past.max(self.count_past(now));
            let oldest = self.engines.values().map(|engine| engine.weights).min().unwrap_or(0);
            let named = self.trouble.named.clone();
            let missing = (2..).zip(named).find(|(weights, _)| *weights > oldest);
            let Some((_, at)) = missing else { return slowest };
            slowest = slowest.max(now.saturating_sub(at));
        }
        slowest
    }

    fn count_past(&self, now: u64) -> usize {
        let named = &self.trouble.named;
        let past = |engine: &&Engine| {
            named
                .get(engine.weights as usize - 1)
                .is_some_and(|at| now > at + BOUND)
        };
        self.engines.values().filter(past).count()
    }

    fn step(&mut self, now: u64) {
        let loads = self.engines.values().filter(|engine| engine.loads(now)).count() as u64;
        let full = most_full(self.engines.len()) as u64;
        let speed = (STEP * 10 * full / loads.max(1)).min(STEP * 10);
        for engine in self.engines.values_mut() {
            engine.step(now, speed);
        }
        if self.trouble.lost.contains(&now) {
            self.vacant = now + self.trouble.vacant;
            self.holder += 1;
            for id in std::mem::take(&mut self.listed) {
                self.turns.record(&id, Duration::from_millis(self.told));
            }
            self.parts.clear();
            self.ended.clear();
        }
        let named = self.trouble.named.iter().filter(|at| **at <= now).count() as u64;
        if named == 0 || now < self.vacant {
            return;
        }
        let wanted = named + 1;
        self.begin(wanted, now);
        let parts: Vec<EndpointId> = self.parts.keys().cloned().collect();
        for id in parts {
            self.look(&id, wanted, now);
        }
    }

    fn begin(&mut self, wanted: u64, now: u64) {
        let at = Duration::from_millis(now);
        let free = |id: &&EndpointId| self.turns.may_order(id, TURN, at);
        let runner = |id: &EndpointId| LoadCandidate {
            endpoint: id.clone(),
            weights: self.engines[id].weights,
            draining: false,
        };
        let runners: Vec<LoadCandidate> = self.engines.keys().filter(free).map(runner).collect();
        let loading: BTreeSet<EndpointId> = self.parts.keys().cloned().collect();
        let begin = plan_loads(&runners, wanted, &loading).begin;
        let changed = !begin.is_empty();
        for id in begin {
            let part = Part {
                loading: Loading::default(),
                look: now + NOTICE,
                waits: None,
            };
            let engine = self.engines.get_mut(&id).expect("it was listed");
            // The longest answer of each engine ends at another moment.
            let share = xxhash_rust::xxh3::xxh3_64(id.as_str().as_bytes()) % 8;
            engine.empty = now + self.trouble.answers * (share + 1) / 8;
            self.parts.insert(id, part);
        }
        if changed {
            self.tell(now);
        }
    }

    /// The holder's list reaches the other routers.
    fn tell(&mut self, now: u64) {
        self.ended.retain(|_, at| now < *at + TURN.as_millis() as u64);
        self.listed = self.parts.keys().chain(self.ended.keys()).cloned().collect();
        self.told = now;
    }

    fn look(&mut self, id: &EndpointId, wanted: u64, now: u64) {
        let sent = Duration::from_millis(self.told);
        let fresh = list_is_current(Some(sent), Duration::from_millis(now));
        let part = self.parts.get_mut(id).expect("it takes part");
        let engine = self.engines.get_mut(id).expect("it was listed");
        let at = Duration::from_millis(now);
        if now < part.look {
            return;
        }
        let mut next = match part.waits.take() {
            Some((_, sent)) => part.loading.on_outcome(sent, OrderOutcome::Unanswered),
            None => part.loading.on_report(Some(engine.report(now)), wanted, at),
        };
        if let Next::Order { expected } = next {
            if !fresh {
                part.look = now + WRITE;
                return self.tell(now);
            }
            self.orders += 1;
            let crossed = |(holder, at): (u64, u64)| holder != self.holder && now < at + TURN_BOUND;
            self.crossed += u64::from(engine.last.is_some_and(crossed));
            engine.last = Some((self.holder, now));
            let sent = SentOrder {
                expected,
                weights: wanted,
                at,
            };
            let order = Order {
                weights: wanted,
                expected,
            };
            let (every, later) = self.trouble.late;
            if every > 0 && self.orders.is_multiple_of(every) {
                engine.late.push((now + later, order));
                part.look = now + ORDER_TIMEOUT.as_millis() as u64;
                part.waits = Some((now, sent));
                return;
            }
            next = part.loading.on_outcome(sent, engine.take(order));
        }
        match next {
            Next::Poll(pause) => part.look = now + pause.as_millis() as u64,
            Next::Done(_) | Next::Stop => {
                self.parts.remove(id);
                self.ended.insert(id.clone(), now);
                self.tell(now);
            }
            Next::Order { .. } => {}
        }
    }
}

/// How many load at full speed.
fn most_full(engines: usize) -> usize {
    (engines / 5).max(2)
}
