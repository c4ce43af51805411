//! Endpoints that fall over if they have to reject too many requests.
//!
//! Load pattern: a burst, or the loss of some endpoints, while the endpoints of a service state how many rejections a
//! second each of them stands. A burst fills an endpoint within a tenth of a second, and what it rejects is told too late:
//! in a fleet of a hundred routers the first rejection of each of them is already too much. A fallen endpoint comes back
//! empty, and its work falls on the others.
//!
//! So while an endpoint is brittle, each router sends it no more than its share of what the endpoint can run. What part of
//! that is used depends on the rejections of all routers.

use crate::fleet::ShortKey;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Period in which an endpoint counts its rejections.
const WINDOW: Duration = Duration::from_secs(1);
/// Time after which an allowance that was not stated again no longer holds.
const LIMIT_TTL: Duration = Duration::from_secs(10);
/// Part of the allowance above which less is sent. The rest is for requests in transit.
const USED_SHARE: f64 = 0.3;
/// Interval between changes of the utilization: about the delay of what routers tell each other.
const ADJUST_INTERVAL: Duration = Duration::from_millis(100);
/// Utilization at first. With a handful of slots and random arrivals, an endpoint with more to run rejects a few percent.
const INITIAL_UTILIZATION: f64 = 0.4;
const MIN_UTILIZATION: f64 = 0.05;
/// It exceeds 1 because some routers have few clients and leave most of their share unused.
const MAX_UTILIZATION: f64 = 1.5;
/// Factor in an interval with too many rejections.
const FALL: f64 = 0.8;
/// Increase in an interval without rejections in the last window.
const RISE: f64 = 0.01;
/// Most requests that a router saves up.
const MAX_CREDIT: f64 = 1.0;
/// Number of routers assumed while none are known.
const ASSUMED_ROUTERS: u32 = 200;

/// What an endpoint can run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity {
    /// Requests at once.
    pub slots: u32,
    /// Mean time that a request takes.
    pub run_time: Duration,
}

#[derive(Debug)]
struct Brittle {
    /// Rejections a second that the endpoint stands, and when it said so.
    limit: Option<(f64, Duration)>,
    /// This router's rejections within the window.
    own: VecDeque<Duration>,
    /// Rejections of other routers within a window, and when they were received.
    others: (u32, Duration),
    /// Part of what the endpoint can run that all routers send together.
    utilization: f64,
    adjusted: Duration,
    /// Unused requests of this router's share, and when they were counted.
    credit: (f64, Duration),
}

/// The brittle endpoints as one router knows them.
#[derive(Debug, Default)]
pub struct BrittleEndpoints {
    routers: u32,
    endpoints: HashMap<ShortKey, Brittle>,
}

impl BrittleEndpoints {
    /// Sets the number of routers that share the endpoints; 0 if unknown.
    pub fn set_router_count(&mut self, routers: u32) {
        self.routers = routers;
    }

    /// Records the rejections a second that an endpoint stands according to its last answer, or that it states none.
    /// Returns whether it became brittle or stopped being so.
    pub fn record_limit(&mut self, endpoint: ShortKey, limit: Option<f64>, now: Duration) -> bool {
        let known = self.endpoints.get(&endpoint).is_some_and(|state| state.limit.is_some());
        match limit {
            None => self.endpoints.remove(&endpoint).is_some() && known,
            Some(limit) => {
                let state = self.endpoints.entry(endpoint).or_insert_with(|| Brittle {
                    limit: None,
                    own: VecDeque::new(),
                    others: (0, Duration::ZERO),
                    utilization: INITIAL_UTILIZATION,
                    adjusted: now,
                    credit: (MAX_CREDIT, now),
                });
                state.limit = Some((limit, now));
                !known
            }
        }
    }

    /// Records a request that is sent to the endpoint.
    pub fn record_request(&mut self, endpoint: ShortKey, capacity: Capacity, now: Duration) {
        let routers = self.router_count();
        if let Some(state) = self.endpoints.get_mut(&endpoint) {
            state.credit = (state.current_credit(capacity, routers, now) - 1.0, now);
        }
    }

    /// Records a rejection of this router's request for want of room.
    pub fn record_rejection(&mut self, endpoint: ShortKey, now: Duration) {
        if let Some(state) = self.endpoints.get_mut(&endpoint) {
            state.own.push_back(now);
            state.adjust(now);
        }
    }

    /// Records the rejections within a window that other routers report.
    pub fn merge_rejections(&mut self, endpoint: ShortKey, count: u32, now: Duration) {
        if let Some(state) = self.endpoints.get_mut(&endpoint) {
            state.others = (count, now);
            state.adjust(now);
        }
    }

    /// This router's rejections within a window, by endpoint.
    pub fn own_rejections(&self, now: Duration) -> Vec<(ShortKey, u32)> {
        let counts = self.endpoints.iter().map(|(key, state)| (*key, state.own_count(now)));
        counts.filter(|(_, count)| *count > 0).collect()
    }

    /// Time until a request may be sent to the endpoint; zero if it may be sent now.
    pub fn wait(&self, endpoint: ShortKey, capacity: Capacity, now: Duration) -> Duration {
        let routers = self.router_count();
        let Some(state) = self.endpoints.get(&endpoint) else {
            return Duration::ZERO;
        };
        if state.current_limit(now).is_none() {
            return Duration::ZERO;
        }
        let missing = 1.0 - state.current_credit(capacity, routers, now);
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(missing / state.rate(capacity, routers)).unwrap_or(WINDOW)
    }

    /// Whether any endpoint is brittle.
    pub fn any(&self) -> bool {
        !self.endpoints.is_empty()
    }

    /// Adjusts to the time that has passed.
    pub fn tick(&mut self, now: Duration) {
        self.endpoints.retain(|_, state| state.current_limit(now).is_some());
        for state in self.endpoints.values_mut() {
            state.adjust(now);
        }
    }

    /// Forgets an endpoint that is out of service or has restarted.
    pub fn remove(&mut self, endpoint: ShortKey) {
        self.endpoints.remove(&endpoint);
    }

    fn router_count(&self) -> u32 {
        if self.routers == 0 {
            ASSUMED_ROUTERS
        } else {
            self.routers
        }
    }
}

impl Brittle {
    fn current_limit(&self, now: Duration) -> Option<f64> {
        let (limit, stated) = self.limit?;
        (now < stated + LIMIT_TTL).then_some(limit)
    }

    fn own_count(&self, now: Duration) -> u32 {
        self.own.iter().filter(|at| now < **at + WINDOW).count() as u32
    }

    /// Requests a second that this router may send.
    fn rate(&self, capacity: Capacity, routers: u32) -> f64 {
        let all = f64::from(capacity.slots) / capacity.run_time.as_secs_f64().max(f64::MIN_POSITIVE);
        all * self.utilization / f64::from(routers.max(1))
    }

    fn current_credit(&self, capacity: Capacity, routers: u32, now: Duration) -> f64 {
        let (credit, at) = self.credit;
        let earned = self.rate(capacity, routers) * now.saturating_sub(at).as_secs_f64();
        (credit + earned).min(MAX_CREDIT)
    }

    /// Changes the utilization by the rejections of the last window.
    fn adjust(&mut self, now: Duration) {
        let Some(limit) = self.current_limit(now) else { return };
        if now < self.adjusted + ADJUST_INTERVAL {
            return;
        }
        self.adjusted = now;
        self.own.retain(|at| now < *at + WINDOW);
        let (others, received) = self.others;
        let known = self.own_count(now) + if now < received + WINDOW { others } else { 0 };
        if f64::from(known) > limit * USED_SHARE {
            self.utilization = (self.utilization * FALL).max(MIN_UTILIZATION);
        } else if known == 0 {
            self.utilization = (self.utilization + RISE).min(MAX_UTILIZATION);
        }
    }
}
