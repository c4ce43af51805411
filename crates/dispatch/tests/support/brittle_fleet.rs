//! Simulates brittle endpoints behind many routers: requests wait in a router while it has no endpoint for them.

use super::fleet::{at, entry};
use dispatch::fleet::{
    BrittleUpdate, Choice, Fleet, LoadReport, LoadUpdate, Outcome, PickContext, PickedEndpoint, Rejection,
};
use ids::{EndpointId, Incarnation, VmId};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Time until an endpoint answers a request that runs at once, besides two trips over the network.
pub const RUN_MS: u64 = 60;
/// One trip over the network.
const TRIP_MS: u64 = 1;
/// Interval at which routers tell each other what endpoints state, and the delay of such news.
const NEWS_INTERVAL_MS: u64 = 25;
const NEWS_DELAY_MS: u64 = 125;
/// Time until a fallen endpoint is back under a new id.
const DOWN_MS: u64 = 3_000;
/// Time until a crashed endpoint's entry expires.
const EXPIRY_MS: u64 = 2_000;
/// Interval at which routers look for an endpoint even if none of their requests has ended.
const LOOK_INTERVAL_MS: u64 = 20;
/// Longest wait in a router.
const MAX_WAIT_MS: u64 = 500;
/// Time from the first statement until falls count.
pub const GRACE_MS: u64 = 3_000;
/// End of a simulation.
pub const END_MS: u64 = 15_000;
/// Failed connections per request after which a router gives up.
const MAX_CONNECT_FAILURES: u32 = 3;

/// Parameters of a simulation.
#[derive(Debug, Clone, Copy)]
pub struct Case {
    pub name: &'static str,
    pub routers: usize,
    pub endpoints: usize,
    /// Slots in an endpoint's entry, and requests that it can really run at once.
    pub slots: usize,
    pub room: usize,
    /// Requests that wait in an endpoint.
    pub queue: usize,
    /// Rejections per second above which an endpoint falls over.
    pub tolerance: u32,
    /// Requests as a share of what all endpoints can run, before and after the burst begins.
    pub calm: f64,
    pub burst: f64,
    /// Exponent of the routers' shares of the requests.
    pub skew: f64,
    /// Routers that are killed at 6 s and start again at 7 s.
    pub killed: usize,
    /// Routers whose registration has expired for the others at 6 s, while they still reach the endpoints.
    pub cut_off: usize,
    /// Endpoints that crash at 6 s.
    pub crashed: usize,
    /// Smallest acceptable number of requests that are served during the burst, as a share of what the endpoints can run.
    pub min_served: f64,
}

#[derive(Debug, Default)]
struct Endpoint {
    id: String,
    generation: u64,
    /// Running and waiting requests, in order of arrival.
    held: VecDeque<Held>,
    rejected: VecDeque<u64>,
    down_until: u64,
}

#[derive(Debug, Clone, Copy)]
struct Held {
    request: usize,
    ends_at: Option<u64>,
}

#[derive(Debug, Clone)]
struct Request {
    router: usize,
    arrived: u64,
    sent: u32,
    unreached: u32,
    avoid: Vec<EndpointId>,
    /// Start of the router that sent it; a killed router's requests are lost.
    start: u32,
    /// Where it was sent last, and when.
    sent_to: Option<(PickedEndpoint, Duration)>,
}

struct Router {
    fleet: Fleet,
    waiting: VecDeque<usize>,
    /// Whether a place may have become free since the last look.
    changed: bool,
    down_until: u64,
    start: u32,
}

enum Event {
    Arrive {
        request: usize,
        endpoint: usize,
        generation: u64,
    },
    Answer {
        request: usize,
        endpoint: usize,
        id: EndpointId,
        answer: Answer,
    },
    News {
        updates: Vec<BrittleUpdate>,
        rejections: Vec<Rejection>,
        loads: Vec<LoadUpdate>,
    },
    Delist {
        id: EndpointId,
    },
    List {
        endpoint: usize,
    },
}

#[derive(Clone, Copy)]
enum Answer {
    Whole(LoadReport),
    Rejected(LoadReport),
    NoConnection,
    Broken,
}

/// Results of a simulation.
#[derive(Debug, Default)]
pub struct Results {
    /// Falls from `GRACE_MS` on.
    pub falls: usize,
    /// Requests served during the burst.
    pub served: usize,
    /// Rejections by endpoints during the burst.
    pub rejected: usize,
    /// Requests that a router refused or that failed during the burst.
    pub refused: usize,
}

pub struct Simulation {
    case: Case,
    seed: u64,
    now: u64,
    routers: Vec<Router>,
    vms: Vec<VmId>,
    endpoints: Vec<Endpoint>,
    requests: Vec<Request>,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    pub results: Results,
}

impl Simulation {
    pub fn new(case: &Case, seed: u64) -> Self {
        let endpoints = (0..case.endpoints).map(|number| Endpoint {
            id: format!("e{number}"),
            ..Endpoint::default()
        });
        let vms: Vec<VmId> = (0..case.routers)
            .map(|number| VmId::from(format!("vm-{number}")))
            .collect();
        let mut simulation = Self {
            case: *case,
            seed,
            now: 0,
            routers: Vec::new(),
            vms,
            endpoints: endpoints.collect(),
            requests: Vec::new(),
            events: BTreeMap::new(),
            next_event: 0,
            results: Results::default(),
        };
        simulation.routers = (0..case.routers)
            .map(|number| simulation.start_router(number, 0))
            .collect();
        simulation
    }

    fn start_router(&self, number: usize, start: u32) -> Router {
        let mut fleet = super::fleet::fleet(&[]);
        fleet.set_routers(&self.vms[number], &self.vms);
        fleet.set_router_count(self.vms.len() as u32);
        for endpoint in self.endpoints.iter().filter(|endpoint| endpoint.down_until <= self.now) {
            fleet.upsert_endpoint(&Arc::new(self.entry(endpoint)), at(self.now));
        }
        Router {
            fleet,
            waiting: VecDeque::new(),
            changed: false,
            down_until: 0,
            start,
        }
    }

    fn entry(&self, endpoint: &Endpoint) -> dispatch::site::EndpointEntry {
        let mut entry = entry(&endpoint.id, 1);
        entry.incarnation = Incarnation(endpoint.generation);
        entry.slots = self.case.slots as u32;
        entry
    }

    fn draw(&mut self) -> u64 {
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.seed ^ (self.seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn draw_share(&mut self) -> f64 {
        (self.draw() >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn later(&mut self, after: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((self.now + after, self.next_event), event);
    }

    /// Plays the whole simulation.
    pub fn run(mut self) -> Results {
        let weights: Vec<f64> = (1..=self.case.routers)
            .map(|rank| (rank as f64).powf(-self.case.skew))
            .collect();
        let capacity = (self.case.endpoints * self.case.room) as f64 / RUN_MS as f64;
        while self.now < END_MS {
            self.faults();
            while let Some(first) = self.events.first_entry().filter(|first| first.key().0 <= self.now) {
                let event = first.remove();
                self.handle(event);
            }
            let share = if self.now < GRACE_MS {
                self.case.calm
            } else {
                self.case.burst
            };
            let mut expected = capacity * share;
            while expected > 0.0 {
                if self.draw_share() < expected {
                    self.arrive(&weights);
                }
                expected -= 1.0;
            }
            if self.now.is_multiple_of(NEWS_INTERVAL_MS) {
                self.send_news();
            }
            self.end_runs();
            self.serve_waiting();
            self.now += 1;
        }
        self.results
    }

    fn in_burst(&self) -> bool {
        self.now >= GRACE_MS
    }

    fn faults(&mut self) {
        let case = self.case;
        if self.now == 6_000 {
            let listed = &self.vms[case.cut_off..];
            for (number, router) in self.routers.iter_mut().enumerate() {
                if number < case.cut_off {
                    router.fleet.set_registered_until(at(self.now));
                } else {
                    router.fleet.set_routers(&self.vms[number], listed);
                }
            }
            for number in 0..case.killed {
                self.routers[number].down_until = 7_000;
                self.routers[number].waiting.clear();
                let start = self.routers[number].start;
                // Endpoints drop what a closed connection had sent.
                let requests = &self.requests;
                let is_lost =
                    |held: &Held| requests[held.request].router == number && requests[held.request].start == start;
                for endpoint in &mut self.endpoints {
                    endpoint.held.retain(|held| !is_lost(held));
                }
            }
            for endpoint in 0..case.crashed {
                self.fall(endpoint);
            }
        }
        if self.now == 7_000 {
            for number in 0..case.killed {
                let start = self.routers[number].start + 1;
                self.routers[number] = self.start_router(number, start);
            }
        }
    }

    fn arrive(&mut self, weights: &[f64]) {
        let total: f64 = weights.iter().sum();
        let mut point = self.draw_share() * total;
        let router = weights.iter().position(|weight| {
            point -= weight;
            point < 0.0
        });
        let router = router.unwrap_or(0);
        if self.routers[router].down_until > self.now {
            return;
        }
        self.requests.push(Request {
            router,
            arrived: self.now,
            sent: 0,
            unreached: 0,
            avoid: Vec::new(),
            start: self.routers[router].start,
            sent_to: None,
        });
        let router = &mut self.routers[router];
        router.waiting.push_back(self.requests.len() - 1);
        router.changed |= router.waiting.len() == 1;
    }

    /// Sends the requests that wait in routers, in order, as long as there is an endpoint for them.
    fn serve_waiting(&mut self) {
        let look = self.now.is_multiple_of(LOOK_INTERVAL_MS);
        for router in 0..self.routers.len() {
            if !std::mem::take(&mut self.routers[router].changed) && !look {
                continue;
            }
            while let Some(request) = self.routers[router].waiting.front().copied() {
                if self.now > self.requests[request].arrived + MAX_WAIT_MS {
                    self.refuse(router);
                } else if !self.send(request) {
                    break;
                } else {
                    self.routers[router].waiting.pop_front();
                }
            }
        }
    }

    fn refuse(&mut self, router: usize) {
        self.routers[router].waiting.pop_front();
        self.results.refused += usize::from(self.in_burst());
    }

    fn send(&mut self, request: usize) -> bool {
        let (service, draw, now) = (super::fleet::service(), self.draw(), at(self.now));
        let Request { router, avoid, .. } = self.requests[request].clone();
        let context = PickContext {
            avoid: &avoid,
            ..super::fleet::context(&service, None)
        };
        let fleet = &mut self.routers[router].fleet;
        let Choice::Endpoint(picked) = fleet.choose(&context, draw, now) else {
            return false;
        };
        let entry = picked.endpoint.clone();
        fleet.request_started(&entry.id, entry.incarnation, 0, now);
        self.requests[request].sent_to = Some((picked, now));
        let endpoint = self
            .endpoints
            .iter()
            .position(|endpoint| endpoint.id == entry.id.as_str());
        match endpoint {
            Some(endpoint) => {
                let generation = entry.incarnation.0;
                self.later(
                    TRIP_MS,
                    Event::Arrive {
                        request,
                        endpoint,
                        generation,
                    },
                );
            }
            None => {
                let answer = Answer::NoConnection;
                self.later(
                    2 * TRIP_MS,
                    Event::Answer {
                        request,
                        endpoint: 0,
                        id: entry.id.clone(),
                        answer,
                    },
                );
            }
        }
        true
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive {
                request,
                endpoint,
                generation,
            } => self.offer(request, endpoint, generation),
            Event::Answer {
                request,
                endpoint,
                id,
                answer,
            } => self.answer(request, endpoint, &id, answer),
            Event::News {
                updates,
                rejections,
                loads,
            } => {
                for router in &mut self.routers {
                    router.fleet.merge_tolerances(&updates);
                    router.fleet.merge_rejections(&rejections);
                    router.fleet.merge_loads(&loads, at(self.now));
                }
            }
            Event::Delist { id } => {
                for router in &mut self.routers {
                    router.fleet.remove_endpoint(&id, at(self.now));
                }
            }
            Event::List { endpoint } => {
                let entry = Arc::new(self.entry(&self.endpoints[endpoint]));
                for router in &mut self.routers {
                    router.fleet.upsert_endpoint(&entry, at(self.now));
                }
            }
        }
    }

    fn offer(&mut self, request: usize, endpoint: usize, generation: u64) {
        let id = EndpointId::from(self.endpoints[endpoint].id.as_str());
        let now = self.now;
        let case = self.case;
        let held = &mut self.endpoints[endpoint];
        if held.down_until > now || held.generation != generation {
            let answer = Answer::NoConnection;
            return self.later(
                TRIP_MS,
                Event::Answer {
                    request,
                    endpoint,
                    id,
                    answer,
                },
            );
        }
        if held.held.len() < case.room + case.queue {
            let ends_at = (held.held.len() < case.room).then_some(now + RUN_MS);
            held.held.push_back(Held { request, ends_at });
            return;
        }
        held.rejected.push_back(now);
        held.rejected.retain(|at| at + 1_000 > now);
        let falls = held.rejected.len() > case.tolerance as usize;
        let answer = Answer::Rejected(self.load(endpoint));
        self.results.rejected += usize::from(self.in_burst());
        self.later(
            TRIP_MS,
            Event::Answer {
                request,
                endpoint,
                id,
                answer,
            },
        );
        if falls {
            self.results.falls += usize::from(self.in_burst());
            self.fall(endpoint);
        }
    }

    fn load(&self, endpoint: usize) -> LoadReport {
        let held = self.endpoints[endpoint].held.len();
        let running = held.min(self.case.room);
        LoadReport::new(running as u32, (held - running) as u32)
    }

    fn fall(&mut self, endpoint: usize) {
        let old = EndpointId::from(self.endpoints[endpoint].id.as_str());
        let lost: Vec<Held> = self.endpoints[endpoint].held.drain(..).collect();
        for held in lost {
            let (request, id) = (held.request, old.clone());
            self.later(
                TRIP_MS,
                Event::Answer {
                    request,
                    endpoint,
                    id,
                    answer: Answer::Broken,
                },
            );
        }
        let generation = self.endpoints[endpoint].generation + 1;
        self.endpoints[endpoint] = Endpoint {
            id: format!("e{endpoint}-{generation}"),
            generation,
            down_until: self.now + DOWN_MS,
            ..Endpoint::default()
        };
        self.later(EXPIRY_MS, Event::Delist { id: old });
        self.later(DOWN_MS, Event::List { endpoint });
    }

    fn end_runs(&mut self) {
        for endpoint in 0..self.endpoints.len() {
            let now = self.now;
            let held = &mut self.endpoints[endpoint].held;
            let ended: Vec<usize> = held
                .iter()
                .filter(|held| held.ends_at.is_some_and(|ends_at| ends_at <= now))
                .map(|held| held.request)
                .collect();
            held.retain(|held| held.ends_at.is_none_or(|ends_at| ends_at > now));
            for held in held.iter_mut().take(self.case.room) {
                held.ends_at.get_or_insert(now + RUN_MS);
            }
            let id = EndpointId::from(self.endpoints[endpoint].id.as_str());
            for request in ended {
                let answer = Answer::Whole(self.load(endpoint));
                self.later(
                    TRIP_MS,
                    Event::Answer {
                        request,
                        endpoint,
                        id: id.clone(),
                        answer,
                    },
                );
            }
        }
    }

    fn answer(&mut self, request: usize, endpoint: usize, id: &EndpointId, answer: Answer) {
        let Request {
            router, start, arrived, ..
        } = self.requests[request].clone();
        if self.routers[router].start != start || self.routers[router].down_until > self.now {
            return;
        }
        let (now, tolerance, in_burst) = (at(self.now), self.case.tolerance, self.in_burst());
        let took = Duration::from_millis(self.now - arrived);
        self.routers[router].changed = true;
        let fleet = &mut self.routers[router].fleet;
        if let Some((picked, began)) = self.requests[request].sent_to.take() {
            fleet.request_finished(id, picked.endpoint.incarnation);
            let answered = matches!(answer, Answer::Whole(_) | Answer::Rejected(_));
            fleet.release_place(&picked, began, answered, now);
        }
        let (outcome, load) = match answer {
            Answer::Whole(load) => (Outcome::Answered(took.min(at(RUN_MS + 2 * TRIP_MS))), Some(load)),
            Answer::Rejected(load) => (Outcome::Declined, Some(load)),
            Answer::NoConnection => (Outcome::ConnectFailed, None),
            Answer::Broken => (Outcome::Broken, None),
        };
        if let Some(load) = load {
            fleet.record_load(id, load, now);
            fleet.record_tolerance(id, Some(tolerance), now);
        }
        fleet.record_outcome(id, outcome, now);
        let _ = endpoint;
        let state = &mut self.requests[request];
        state.avoid.push(id.clone());
        let again = match answer {
            Answer::Whole(_) => {
                self.results.served += usize::from(in_burst);
                return;
            }
            Answer::NoConnection => {
                state.unreached += 1;
                state.unreached < MAX_CONNECT_FAILURES
            }
            Answer::Rejected(_) | Answer::Broken => {
                state.sent += 1;
                state.sent < 2 && fleet.try_retry(&super::fleet::service(), now)
            }
        };
        if again {
            self.routers[router].waiting.push_front(request);
        } else {
            self.results.refused += usize::from(in_burst);
        }
    }

    fn send_news(&mut self) {
        let now = at(self.now);
        let fleets = self.routers.iter().map(|router| &router.fleet);
        let updates = fleets.clone().flat_map(|fleet| fleet.recent_tolerances(now));
        let updates = newest(updates, |update| (update.endpoint.0, update.reported_at));
        let rejections = fleets.clone().flat_map(|fleet| fleet.recent_rejections(now));
        let rejections = newest(rejections, |rejection| (rejection.endpoint.0, rejection.rejected_at));
        let since = now.saturating_sub(at(NEWS_INTERVAL_MS));
        let loads = fleets.flat_map(|fleet| fleet.loads_since(since, true));
        let loads = newest(loads, |load| (load.endpoint.0, load.reported_at));
        self.later(
            NEWS_DELAY_MS,
            Event::News {
                updates,
                rejections,
                loads,
            },
        );
    }
}

/// The newest item of each endpoint; `key` returns the endpoint and the time of an item.
fn newest<T: Copy>(items: impl Iterator<Item = T>, key: impl Fn(&T) -> (u32, Duration)) -> Vec<T> {
    let mut found: BTreeMap<u32, T> = BTreeMap::new();
    for item in items {
        let (endpoint, at) = key(&item);
        let known = found.entry(endpoint).or_insert(item);
        if key(known).1 < at {
            *known = item;
        }
    }
    found.into_values().collect()
}
