//! Discrete-event simulation of a pool with its endpoints and clients, which records the result of each client.

mod load;
pub mod scenarios;

pub use load::{Arrival, Stream, arrivals, seconds};

use admission::{Admission, EndpointLimit, Next, Offer, Outcome, Refusal, Sample, Settings, Ticket, Tokens};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

const REQUEST_SECONDS: f64 = 0.03;
const PREFILL_SECONDS: f64 = 5e-5;
const DECODE_SECONDS: f64 = 0.01;
/// Maximum relative deviation of actual from expected times.
const NOISE: f64 = 0.2;

/// Expected slot time of a request on a healthy endpoint, seconds.
pub fn service_seconds(tokens: Tokens) -> f64 {
    first_seconds(tokens) + DECODE_SECONDS * tokens.output as f64
}

fn first_seconds(tokens: Tokens) -> f64 {
    REQUEST_SECONDS + PREFILL_SECONDS * tokens.uncached as f64
}

/// An endpoint that processes `parallel` requests at once and queues further ones.
#[derive(Debug, Clone, Copy)]
pub struct Endpoint {
    pub slots: u32,
    pub parallel: u32,
    /// Factor on times, and start and end of the slowdown, seconds.
    pub slowdown: (f64, f64, f64),
}

impl Endpoint {
    pub fn new(slots: u32, parallel: u32) -> Self {
        Self {
            slots,
            parallel,
            slowdown: (1.0, 0.0, 0.0),
        }
    }
}

/// Configuration of a simulation.
#[derive(Debug, Clone)]
pub struct Setup {
    pub settings: Settings,
    pub endpoints: Vec<Endpoint>,
    /// Routers that share the endpoints. Requests are assigned to them in turn.
    pub routers: usize,
    /// Whether the endpoints' limits are adaptive.
    pub adaptive: bool,
    /// Delay after which refused clients retry once, from their retry-after.
    pub retry_policy: fn(Option<Duration>) -> Option<Duration>,
}

impl Setup {
    pub fn pool(slots: u32, settings: Settings) -> Self {
        Self {
            settings,
            endpoints: vec![Endpoint::new(slots, slots)],
            routers: 1,
            adaptive: false,
            retry_policy: |_| None,
        }
    }
}

/// Result of a client's request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ClientResult {
    Answer { first: Duration },
    Late,
    Refused(Refusal),
}

/// A client's request and its result.
#[derive(Debug, Clone, Copy)]
pub struct Record {
    pub arrival: Arrival,
    pub result: ClientResult,
    /// Time from the request to the end of its answer or refusal.
    pub after: Duration,
    /// Whether this is the retry of a refused request.
    pub is_retry: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    First(usize, usize),
    Finish(usize, usize),
    Check(usize),
}

struct Request {
    arrival: Arrival,
    is_retry: bool,
    start: Duration,
    first: Duration,
}

struct EndpointState {
    config: Endpoint,
    /// Limits and sent requests, by router.
    limits: Vec<EndpointLimit>,
    sent: Vec<u32>,
    busy_slots: u32,
    queue: VecDeque<usize>,
}

struct Driver {
    setup: Setup,
    pools: Vec<Admission>,
    endpoints: Vec<EndpointState>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    requests: Vec<Request>,
    tickets: BTreeMap<(usize, Ticket), usize>,
    running: BTreeMap<usize, Ticket>,
    check_pending: Vec<bool>,
    records: Vec<Record>,
    random: ChaCha8Rng,
}

/// Runs the simulation until all requests have ended.
pub fn run(setup: &Setup, arrivals: &[Arrival]) -> Vec<Record> {
    let mut driver = Driver::new(setup);
    for arrival in arrivals {
        driver.arrive_later(*arrival, false);
    }
    while let Some(Reverse((now, _, event))) = driver.events.pop() {
        driver.handle(event, now);
    }
    assert_eq!(
        driver.records.len(),
        driver.requests.len(),
        "a client got no answer, or two"
    );
    assert!(driver.tickets.is_empty() && driver.running.is_empty());
    driver.records
}

impl Driver {
    fn new(setup: &Setup) -> Self {
        let state = |config: &Endpoint| EndpointState {
            config: *config,
            limits: vec![EndpointLimit::new(config.slots); setup.routers],
            sent: vec![0; setup.routers],
            busy_slots: 0,
            queue: VecDeque::new(),
        };
        Self {
            setup: setup.clone(),
            pools: (0..setup.routers).map(|_| Admission::new(setup.settings)).collect(),
            endpoints: setup.endpoints.iter().map(state).collect(),
            events: BinaryHeap::new(),
            sequence: 0,
            requests: Vec::new(),
            tickets: BTreeMap::new(),
            running: BTreeMap::new(),
            check_pending: vec![false; setup.routers],
            records: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(7),
        }
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn arrive_later(&mut self, arrival: Arrival, is_retry: bool) {
        let request = Request {
            arrival,
            is_retry,
            start: Duration::ZERO,
            first: Duration::ZERO,
        };
        self.requests.push(request);
        self.push(arrival.at, Event::Arrive(self.requests.len() - 1));
    }

    fn handle(&mut self, event: Event, now: Duration) {
        let router = match event {
            Event::Check(router) => router,
            Event::Arrive(index) | Event::First(index, _) | Event::Finish(index, _) => self.router(index),
        };
        self.set_capacity(router, now);
        match event {
            Event::Arrive(index) => self.offer(index, now),
            Event::First(index, endpoint) => self.first(index, endpoint, now),
            Event::Finish(index, endpoint) => self.finish(index, endpoint, now),
            Event::Check(router) => self.check_pending[router] = false,
        }
        self.set_capacity(router, now);
        self.drain(router, now);
    }

    fn router(&self, index: usize) -> usize {
        index % self.pools.len()
    }

    fn set_capacity(&mut self, router: usize, now: Duration) {
        let slots = (0..self.endpoints.len()).map(|index| self.limit(router, index)).sum();
        self.pools[router].set_capacity(slots, now);
    }

    fn limit(&self, router: usize, index: usize) -> u32 {
        let state = &self.endpoints[index];
        if self.setup.adaptive {
            state.limits[router].limit()
        } else {
            state.config.slots
        }
    }

    fn offer(&mut self, index: usize, now: Duration) {
        let router = self.router(index);
        match self.pools[router].offer(&self.requests[index].arrival.job(), now) {
            Offer::Start(ticket) => self.start(ticket, index, now),
            Offer::Wait(ticket) => {
                self.tickets.insert((router, ticket), index);
            }
            Offer::Refuse(refusal) => self.refuse(index, refusal, now),
        }
    }

    fn drain(&mut self, router: usize, now: Duration) {
        loop {
            let (ticket, refusal) = match self.pools[router].next(now) {
                Next::Start(ticket) => (ticket, None),
                Next::Expired(ticket, refusal) => (ticket, Some(refusal)),
                Next::Wait => break,
            };
            let index = self.tickets.remove(&(router, ticket)).expect("a waiting ticket");
            match refusal {
                Some(refusal) => self.refuse(index, refusal, now),
                None => self.start(ticket, index, now),
            }
        }
        if let Some(at) = self.pools[router].next_check()
            && !self.check_pending[router]
        {
            self.check_pending[router] = true;
            self.push(at.max(now + Duration::from_micros(1)), Event::Check(router));
        }
    }

    fn refuse(&mut self, index: usize, refusal: Refusal, now: Duration) {
        let (arrival, is_retry) = (self.requests[index].arrival, self.requests[index].is_retry);
        self.end(index, ClientResult::Refused(refusal), now);
        if let Some(after) = (self.setup.retry_policy)(refusal.retry_after)
            && !is_retry
        {
            self.arrive_later(
                Arrival {
                    at: now + after,
                    ..arrival
                },
                true,
            );
        }
    }

    fn start(&mut self, ticket: Ticket, index: usize, now: Duration) {
        self.running.insert(index, ticket);
        self.requests[index].start = now;
        let router = self.router(index);
        let sent = |endpoint: usize| i64::from(self.endpoints[endpoint].sent[router]);
        let room = |&endpoint: &usize| i64::from(self.limit(router, endpoint)) - sent(endpoint);
        let endpoint = (0..self.endpoints.len()).rev().max_by_key(room).expect("an endpoint");
        let state = &mut self.endpoints[endpoint];
        state.sent[router] += 1;
        state.limits[router].start();
        state.queue.push_back(index);
        self.work(endpoint, now);
    }

    fn work(&mut self, endpoint: usize, now: Duration) {
        let state = &mut self.endpoints[endpoint];
        if state.busy_slots >= state.config.parallel {
            return;
        }
        let Some(index) = state.queue.pop_front() else { return };
        state.busy_slots += 1;
        let (factor, from, until) = state.config.slowdown;
        let slowed = now >= seconds(from) && now < seconds(until);
        let noise = 1.0 + NOISE * (self.random.random::<f64>() * 2.0 - 1.0);
        let factor = noise * if slowed { factor } else { 1.0 };
        let tokens = self.requests[index].arrival.actual;
        let first = now + seconds(first_seconds(tokens) * factor);
        self.requests[index].first = first;
        self.push(first, Event::First(index, endpoint));
        self.push(
            now + seconds(service_seconds(tokens) * factor),
            Event::Finish(index, endpoint),
        );
    }

    fn first(&mut self, index: usize, endpoint: usize, now: Duration) {
        let request = &self.requests[index];
        let sample = Sample::FirstToken {
            after: now - request.start,
            uncached: request.arrival.actual.uncached,
        };
        let router = self.router(index);
        self.endpoints[endpoint].limits[router].observe(sample, now);
    }

    fn finish(&mut self, index: usize, endpoint: usize, now: Duration) {
        let router = self.router(index);
        let state = &mut self.endpoints[endpoint];
        state.busy_slots -= 1;
        state.sent[router] -= 1;
        if state.limits[router].in_flight() > 0 {
            state.limits[router].end();
        }
        let ticket = self.running.remove(&index).expect("a running request");
        let request = &self.requests[index];
        let outcome = Outcome::Served {
            first_token: request.first - request.start,
            tokens: request.arrival.actual,
        };
        self.pools[router]
            .finish(ticket, outcome, now)
            .expect("a running ticket");
        let first = request.first - request.arrival.at;
        let late = now > request.arrival.at + request.arrival.slack;
        self.end(
            index,
            if late {
                ClientResult::Late
            } else {
                ClientResult::Answer { first }
            },
            now,
        );
        self.work(endpoint, now);
    }

    fn end(&mut self, index: usize, result: ClientResult, now: Duration) {
        let Request { arrival, is_retry, .. } = self.requests[index];
        self.records.push(Record {
            arrival,
            result,
            after: now - arrival.at,
            is_retry,
        });
    }
}

/// Share of the requests selected by `of` that were answered in time.
pub fn in_time(records: &[Record], of: impl Fn(&Record) -> bool) -> f64 {
    let (mut all, mut answered) = (0.0, 0.0);
    for one in records.iter().filter(|one| of(one)) {
        all += 1.0;
        answered += f64::from(u8::from(matches!(one.result, ClientResult::Answer { .. })));
    }
    assert!(all > 0.0, "no such requests");
    answered / all
}

/// Goodput: slot time of the answers in time that ended within the span, divided by the available slot time. At most
/// about 1.
pub fn goodput(records: &[Record], slots: u32, span: (f64, f64)) -> f64 {
    let within = |one: &&Record| {
        let end = (one.arrival.at + one.after).as_secs_f64();
        matches!(one.result, ClientResult::Answer { .. }) && end >= span.0 && end < span.1
    };
    let work: f64 = records
        .iter()
        .filter(within)
        .map(|one| service_seconds(one.arrival.actual))
        .sum();
    work / (f64::from(slots) * (span.1 - span.0))
}

/// Quantile of the time to first token of the answered requests, seconds.
pub fn first_quantile(records: &[Record], quantile: f64, of: impl Fn(&Record) -> bool) -> f64 {
    let first = |one: &Record| match one.result {
        ClientResult::Answer { first } => Some(first.as_secs_f64()),
        ClientResult::Late => Some(one.after.as_secs_f64()),
        ClientResult::Refused(_) => None,
    };
    let mut all: Vec<f64> = records.iter().filter(|one| of(one)).filter_map(first).collect();
    assert!(!all.is_empty(), "none answered");
    all.sort_by(f64::total_cmp);
    all[((all.len() - 1) as f64 * quantile) as usize]
}
