//! A pool, its endpoints and its callers, driven by a list of events; judges what the callers receive.

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
/// True times differ from the expected ones by up to this share.
const NOISE: f64 = 0.2;

/// Expected slot time of a request on a sound endpoint, seconds.
pub fn service_seconds(tokens: Tokens) -> f64 {
    first_seconds(tokens) + DECODE_SECONDS * tokens.output as f64
}

fn first_seconds(tokens: Tokens) -> f64 {
    REQUEST_SECONDS + PREFILL_SECONDS * tokens.uncached as f64
}

/// An endpoint: it works on `parallel` requests at once and queues what it is sent beyond that.
#[derive(Debug, Clone, Copy)]
pub struct Endpoint {
    pub slots: u32,
    pub parallel: u32,
    /// Times are multiplied by this between the two moments, seconds.
    pub slow: (f64, f64, f64),
}

impl Endpoint {
    pub fn new(slots: u32, parallel: u32) -> Self {
        Self {
            slots,
            parallel,
            slow: (1.0, 0.0, 0.0),
        }
    }
}

/// What is driven.
#[derive(Debug, Clone)]
pub struct Setup {
    pub settings: Settings,
    pub endpoints: Vec<Endpoint>,
    /// Whether the endpoints' limits adapt.
    pub adaptive: bool,
    /// When refused callers come back, once, from what they are told.
    pub come_back: fn(Option<Duration>) -> Option<Duration>,
}

impl Setup {
    pub fn pool(slots: u32, settings: Settings) -> Self {
        Self {
            settings,
            endpoints: vec![Endpoint::new(slots, slots)],
            adaptive: false,
            come_back: |_| None,
        }
    }
}

/// What a caller got.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Got {
    Answer { first: Duration },
    Late,
    Refused(Refusal),
}

/// One caller's request and what became of it.
#[derive(Debug, Clone, Copy)]
pub struct Served {
    pub arrival: Arrival,
    pub got: Got,
    /// From the request to the end of its answer or refusal.
    pub after: Duration,
    /// Whether the caller had been refused before and came back.
    pub second: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    First(usize, usize),
    Finish(usize, usize),
    Check,
}

struct Request {
    arrival: Arrival,
    second: bool,
    start: Duration,
    first: Duration,
}

struct EndpointState {
    config: Endpoint,
    limit: EndpointLimit,
    sent: u32,
    working: u32,
    queue: VecDeque<usize>,
}

struct Driver {
    setup: Setup,
    pool: Admission,
    endpoints: Vec<EndpointState>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    requests: Vec<Request>,
    tickets: BTreeMap<Ticket, usize>,
    running: BTreeMap<usize, Ticket>,
    check_at: Option<Duration>,
    served: Vec<Served>,
    random: ChaCha8Rng,
}

/// Runs all arrivals to their end.
pub fn run(setup: &Setup, arrivals: &[Arrival]) -> Vec<Served> {
    let mut driver = Driver::new(setup);
    for arrival in arrivals {
        driver.arrive_later(*arrival, false);
    }
    while let Some(Reverse((now, _, event))) = driver.events.pop() {
        driver.handle(event, now);
    }
    assert_eq!(
        driver.served.len(),
        driver.requests.len(),
        "a caller got no answer, or two"
    );
    assert!(driver.tickets.is_empty() && driver.running.is_empty());
    driver.served
}

impl Driver {
    fn new(setup: &Setup) -> Self {
        let state = |config: &Endpoint| EndpointState {
            config: *config,
            limit: EndpointLimit::new(config.slots),
            sent: 0,
            working: 0,
            queue: VecDeque::new(),
        };
        Self {
            setup: setup.clone(),
            pool: Admission::new(setup.settings),
            endpoints: setup.endpoints.iter().map(state).collect(),
            events: BinaryHeap::new(),
            sequence: 0,
            requests: Vec::new(),
            tickets: BTreeMap::new(),
            running: BTreeMap::new(),
            check_at: None,
            served: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(7),
        }
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn arrive_later(&mut self, arrival: Arrival, second: bool) {
        let request = Request {
            arrival,
            second,
            start: Duration::ZERO,
            first: Duration::ZERO,
        };
        self.requests.push(request);
        self.push(arrival.at, Event::Arrive(self.requests.len() - 1));
    }

    fn handle(&mut self, event: Event, now: Duration) {
        self.set_capacity(now);
        match event {
            Event::Arrive(index) => self.offer(index, now),
            Event::First(index, endpoint) => self.first(index, endpoint, now),
            Event::Finish(index, endpoint) => self.finish(index, endpoint, now),
            Event::Check => self.check_at = None,
        }
        self.set_capacity(now);
        self.drain(now);
    }

    fn set_capacity(&mut self, now: Duration) {
        let slots = (0..self.endpoints.len()).map(|index| self.limit(index)).sum();
        self.pool.set_capacity(slots, now);
    }

    fn limit(&self, index: usize) -> u32 {
        let state = &self.endpoints[index];
        if self.setup.adaptive {
            state.limit.limit()
        } else {
            state.config.slots
        }
    }

    fn offer(&mut self, index: usize, now: Duration) {
        match self.pool.offer(&self.requests[index].arrival.job(), now) {
            Offer::Start(ticket) => self.start(ticket, index, now),
            Offer::Wait(ticket) => {
                self.tickets.insert(ticket, index);
            }
            Offer::Refuse(refusal) => self.refuse(index, refusal, now),
        }
    }

    fn drain(&mut self, now: Duration) {
        loop {
            match self.pool.next(now) {
                Next::Start(ticket) => {
                    let index = self.tickets.remove(&ticket).expect("a waiting ticket");
                    self.start(ticket, index, now);
                }
                Next::Expired(ticket, refusal) => {
                    let index = self.tickets.remove(&ticket).expect("a waiting ticket");
                    self.refuse(index, refusal, now);
                }
                Next::Wait => break,
            }
        }
        if let Some(at) = self.pool.next_check()
            && self.check_at.is_none()
        {
            self.check_at = Some(at);
            self.push(at.max(now + Duration::from_micros(1)), Event::Check);
        }
    }

    fn refuse(&mut self, index: usize, refusal: Refusal, now: Duration) {
        let (arrival, second) = (self.requests[index].arrival, self.requests[index].second);
        self.end(index, Got::Refused(refusal), now);
        if let Some(after) = (self.setup.come_back)(refusal.retry_after)
            && !second
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
        let room = |&endpoint: &usize| i64::from(self.limit(endpoint)) - i64::from(self.endpoints[endpoint].sent);
        let endpoint = (0..self.endpoints.len()).rev().max_by_key(room).expect("an endpoint");
        let state = &mut self.endpoints[endpoint];
        state.sent += 1;
        state.limit.start();
        state.queue.push_back(index);
        self.work(endpoint, now);
    }

    fn work(&mut self, endpoint: usize, now: Duration) {
        let state = &mut self.endpoints[endpoint];
        if state.working >= state.config.parallel {
            return;
        }
        let Some(index) = state.queue.pop_front() else { return };
        state.working += 1;
        let (factor, from, until) = state.config.slow;
        let slow = now >= seconds(from) && now < seconds(until);
        let noise = 1.0 + NOISE * (self.random.random::<f64>() * 2.0 - 1.0);
        let factor = noise * if slow { factor } else { 1.0 };
        let tokens = self.requests[index].arrival.truth;
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
            uncached: request.arrival.truth.uncached,
        };
        self.endpoints[endpoint].limit.observe(sample, now);
    }

    fn finish(&mut self, index: usize, endpoint: usize, now: Duration) {
        let state = &mut self.endpoints[endpoint];
        state.working -= 1;
        state.sent -= 1;
        if state.limit.in_flight() > 0 {
            state.limit.end();
        }
        let ticket = self.running.remove(&index).expect("a running request");
        let request = &self.requests[index];
        let outcome = Outcome::Served {
            first_token: request.first - request.start,
            tokens: request.arrival.truth,
        };
        self.pool.finish(ticket, outcome, now).expect("a running ticket");
        let first = request.first - request.arrival.at;
        let late = now > request.arrival.at + request.arrival.slack;
        self.end(index, if late { Got::Late } else { Got::Answer { first } }, now);
        self.work(endpoint, now);
    }

    fn end(&mut self, index: usize, got: Got, now: Duration) {
        let Request { arrival, second, .. } = self.requests[index];
        self.served.push(Served {
            arrival,
            got,
            after: now - arrival.at,
            second,
        });
    }
}

/// Share of the requests that `of` names which got their answer in time.
pub fn in_time(served: &[Served], of: impl Fn(&Served) -> bool) -> f64 {
    let (mut all, mut good) = (0.0, 0.0);
    for one in served.iter().filter(|one| of(one)) {
        all += 1.0;
        good += f64::from(u8::from(matches!(one.got, Got::Answer { .. })));
    }
    assert!(all > 0.0, "no such requests");
    good / all
}

/// Slot time of the answers that came in time and ended within the span, by the slot time there was: at most about 1.
pub fn goodput(served: &[Served], slots: u32, span: (f64, f64)) -> f64 {
    let within = |one: &&Served| {
        let end = (one.arrival.at + one.after).as_secs_f64();
        matches!(one.got, Got::Answer { .. }) && end >= span.0 && end < span.1
    };
    let work: f64 = served
        .iter()
        .filter(within)
        .map(|one| service_seconds(one.arrival.truth))
        .sum();
    work / (f64::from(slots) * (span.1 - span.0))
}

/// Time to first token that a share of the answered requests stays below, seconds.
pub fn first_quantile(served: &[Served], quantile: f64, of: impl Fn(&Served) -> bool) -> f64 {
    let first = |one: &Served| match one.got {
        Got::Answer { first } => Some(first.as_secs_f64()),
        Got::Late => Some(one.after.as_secs_f64()),
        Got::Refused(_) => None,
    };
    let mut all: Vec<f64> = served.iter().filter(|one| of(one)).filter_map(first).collect();
    assert!(!all.is_empty(), "none answered");
    all.sort_by(f64::total_cmp);
    all[((all.len() - 1) as f64 * quantile) as usize]
}
