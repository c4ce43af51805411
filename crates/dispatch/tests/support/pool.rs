//! Simulates a pool of engines that a lease holder orders to load new weights, without I/O and in steps of 10 ms.

use dispatch::holder::{ForeignOrders, HANDOVER_SLACK, list_is_current};
use dispatch::loading::{Loading, Next, ORDER_TIMEOUT, OrderOutcome};
use dispatch::rollout::{LoadCandidate, Report, SentOrder, plan_loads};
use ids::EndpointId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long requests may begin on older weights after new ones became the target.
pub const STALENESS_LIMIT_MS: u64 = 10_000;
const STEP_MS: u64 = 10;
/// Duration of a load at full speed. Only [`max_full_speed`] loads run at full speed at once.
const LOAD_MS: u64 = 760;
/// Age of a report.
const REPORT_AGE_MS: u64 = 300;
/// Time from the start of a load to its first poll: the load list is written, and the peers read it.
const LIST_DELAY_MS: u64 = 270;
/// Within this time two holders may not order the same engine.
const HANDOVER_MS: u64 = 3_000;
/// Duration of a further write of the load list.
const WRITE_MS: u64 = 50;
/// How long a new holder leaves alone the engines that its predecessor may have ordered.
const HANDOVER_DELAY: Duration = Duration::from_millis(HANDOVER_MS).saturating_add(HANDOVER_SLACK);

/// Size of the pool, its timing and its faults.
#[derive(Debug, Clone, Default)]
pub struct Scenario {
    /// Number of engines.
    pub engines: usize,
    /// When weights 2, 3, … become the target, ms.
    pub set_at: Vec<u64>,
    /// Duration of the longest answer that runs when an engine stops getting requests; it differs by engine.
    pub answer_ms: u64,
    /// When the holder is lost, ms.
    pub lost_at: Vec<u64>,
    /// Time after that in which nobody holds the order lease.
    pub vacant_ms: u64,
    /// `(every, delay)`: one in `every` orders gets no answer and is carried out `delay` ms later. 0 for none.
    pub late_orders: (u64, u64),
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
    /// Weights being loaded, and the rest of the load in tenths of ms.
    load: Option<(u64, u64)>,
    /// When its last answer ends after it stopped getting requests.
    idle_at: u64,
    late_orders: Vec<(u64, Order)>,
    /// Its reports, one per step.
    reports: Vec<Report>,
    /// Holder that sent the last order, and when.
    last_order: Option<(u64, u64)>,
}

impl Engine {
    fn accept(&mut self, order: Order) -> OrderOutcome {
        if self.load.is_some() || order.expected != self.orders {
            return OrderOutcome::Conflict;
        }
        self.orders += 1;
        self.load = Some((order.weights, LOAD_MS * 10));
        OrderOutcome::Accepted
    }

    fn is_loading(&self, now: u64) -> bool {
        self.load.is_some() && now >= self.idle_at
    }

    fn step(&mut self, now: u64, speed: u64) {
        let due: Vec<Order> = self
            .late_orders
            .extract_if(.., |(at, _)| *at <= now)
            .map(|late| late.1)
            .collect();
        for order in due {
            self.accept(order);
        }
        if self.is_loading(now) {
            self.load = self
                .load
                .map(|(weights, remaining)| (weights, remaining.saturating_sub(speed)));
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
        let at = now.saturating_sub(REPORT_AGE_MS) / STEP_MS;
        self.reports[(at as usize).min(self.reports.len() - 1)]
    }
}

/// An engine that is to load.
#[derive(Debug, Clone, Copy)]
struct ActiveLoad {
    loading: Loading,
    /// When it is polled next.
    poll_at: u64,
    /// When an unanswered order was sent, and the order.
    pending: Option<(u64, SentOrder)>,
}

/// A simulated rollout.
pub struct Pool {
    scenario: Scenario,
    engines: BTreeMap<EndpointId, Engine>,
    active: BTreeMap<EndpointId, ActiveLoad>,
    /// What the routers know of the holder's load list.
    foreign_orders: ForeignOrders,
    finished: BTreeMap<EndpointId, u64>,
    /// The load list, and when it was written.
    load_list: Vec<EndpointId>,
    list_sent: u64,
    /// Current holder, and from when on it holds the order lease.
    holder: u64,
    vacant_until: u64,
    /// Orders sent.
    pub orders: u64,
    /// Orders that two holders sent to one engine within [`HANDOVER_MS`].
    pub conflicting: u64,
    /// Largest number of engines with weights past the limit at one time; they get no requests.
    pub max_expired: usize,
}

impl Pool {
    pub fn new(scenario: Scenario) -> Self {
        let engine = |at| {
            let engine = Engine {
                weights: 1,
                ..Engine::default()
            };
            (EndpointId::from(format!("e{at:03}").as_str()), engine)
        };
        Self {
            engines: (0..scenario.engines).map(engine).collect(),
            scenario,
            active: BTreeMap::new(),
            foreign_orders: ForeignOrders::default(),
            finished: BTreeMap::new(),
            load_list: Vec::new(),
            list_sent: 0,
            holder: 0,
            vacant_until: 0,
            orders: 0,
            conflicting: 0,
            max_expired: 0,
        }
    }

    /// Runs the simulation. Returns the longest time from setting a target until all engines had it or a newer one,
    /// in ms.
    pub fn run(&mut self) -> u64 {
        let mut slowest = 0;
        let end = self.scenario.set_at.last().unwrap_or(&0) + 60_000;
        for now in (0..end).step_by(STEP_MS as usize) {
            self.step(now);
            self.max_expired = self.max_expired.max(self.count_expired(now));
            let oldest = self.engines.values().map(|engine| engine.weights).min().unwrap_or(0);
            let set_at = self.scenario.set_at.clone();
            let missing = (2..).zip(set_at).find(|(weights, _)| *weights > oldest);
            let Some((_, at)) = missing else { return slowest };
            slowest = slowest.max(now.saturating_sub(at));
        }
        slowest
    }

    fn count_expired(&self, now: u64) -> usize {
        let set_at = &self.scenario.set_at;
        let expired = |engine: &&Engine| {
            set_at
                .get(engine.weights as usize - 1)
                .is_some_and(|at| now > at + STALENESS_LIMIT_MS)
        };
        self.engines.values().filter(expired).count()
    }

    fn step(&mut self, now: u64) {
        let loading = self.engines.values().filter(|engine| engine.is_loading(now)).count() as u64;
        let full = max_full_speed(self.engines.len()) as u64;
        let speed = (STEP_MS * 10 * full / loading.max(1)).min(STEP_MS * 10);
        for engine in self.engines.values_mut() {
            engine.step(now, speed);
        }
        if self.scenario.lost_at.contains(&now) {
            self.vacant_until = now + self.scenario.vacant_ms;
            self.holder += 1;
            for id in std::mem::take(&mut self.load_list) {
                self.foreign_orders.record(&id, Duration::from_millis(self.list_sent));
            }
            self.active.clear();
            self.finished.clear();
        }
        let count = self.scenario.set_at.iter().filter(|at| **at <= now).count() as u64;
        if count == 0 || now < self.vacant_until {
            return;
        }
        let target = count + 1;
        self.begin(target, now);
        let active: Vec<EndpointId> = self.active.keys().cloned().collect();
        for id in active {
            self.poll(&id, target, now);
        }
    }

    fn begin(&mut self, target: u64, now: u64) {
        let at = Duration::from_millis(now);
        let free = |id: &&EndpointId| self.foreign_orders.may_order(id, HANDOVER_DELAY, at);
        let runner = |id: &EndpointId| LoadCandidate {
            endpoint: id.clone(),
            weights: self.engines[id].weights,
            draining: false,
        };
        let runners: Vec<LoadCandidate> = self.engines.keys().filter(free).map(runner).collect();
        let loading: BTreeSet<EndpointId> = self.active.keys().cloned().collect();
        let begin = plan_loads(&runners, target, &loading).begin;
        let changed = !begin.is_empty();
        for id in begin {
            let active_load = ActiveLoad {
                loading: Loading::default(),
                poll_at: now + LIST_DELAY_MS,
                pending: None,
            };
            let engine = self.engines.get_mut(&id).expect("a known engine");
            // The longest answer ends at a different time on each engine.
            let share = xxhash_rust::xxh3::xxh3_64(id.as_str().as_bytes()) % 8;
            engine.idle_at = now + self.scenario.answer_ms * (share + 1) / 8;
            self.active.insert(id, active_load);
        }
        if changed {
            self.write_list(now);
        }
    }

    /// Writes the load list, from which the peers learn of it.
    fn write_list(&mut self, now: u64) {
        self.finished
            .retain(|_, at| now < *at + HANDOVER_DELAY.as_millis() as u64);
        self.load_list = self.active.keys().chain(self.finished.keys()).cloned().collect();
        self.list_sent = now;
    }

    fn poll(&mut self, id: &EndpointId, target: u64, now: u64) {
        let sent = Duration::from_millis(self.list_sent);
        let fresh = list_is_current(Some(sent), Duration::from_millis(now));
        let active_load = self.active.get_mut(id).expect("an active load");
        let engine = self.engines.get_mut(id).expect("a known engine");
        let at = Duration::from_millis(now);
        if now < active_load.poll_at {
            return;
        }
        let mut next = match active_load.pending.take() {
            Some((_, sent)) => active_load.loading.on_outcome(sent, OrderOutcome::Unanswered),
            None => active_load.loading.on_report(Some(engine.report(now)), target, at),
        };
        if let Next::Order { expected } = next {
            if !fresh {
                active_load.poll_at = now + WRITE_MS;
                return self.write_list(now);
            }
            self.orders += 1;
            let conflicting = |(holder, at): (u64, u64)| holder != self.holder && now < at + HANDOVER_MS;
            self.conflicting += u64::from(engine.last_order.is_some_and(conflicting));
            engine.last_order = Some((self.holder, now));
            let sent = SentOrder {
                expected,
                weights: target,
                at,
            };
            let order = Order {
                weights: target,
                expected,
            };
            let (every, delay) = self.scenario.late_orders;
            if every > 0 && self.orders.is_multiple_of(every) {
                engine.late_orders.push((now + delay, order));
                active_load.poll_at = now + ORDER_TIMEOUT.as_millis() as u64;
                active_load.pending = Some((now, sent));
                return;
            }
            next = active_load.loading.on_outcome(sent, engine.accept(order));
        }
        match next {
            Next::Poll(pause) => active_load.poll_at = now + pause.as_millis() as u64,
            Next::Done(_) | Next::Stop => {
                self.active.remove(id);
                self.finished.insert(id.clone(), now);
                self.write_list(now);
            }
            Next::Order { .. } => {}
        }
    }
}

/// Number of loads that run at full speed at once.
fn max_full_speed(engines: usize) -> usize {
    (engines / 5).max(2)
}
