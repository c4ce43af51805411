//! Endpoints that fall over if they have to reject too many requests.
//!
//! Load pattern: a burst, or the loss of some endpoints, while the endpoints of a service state how many rejections a
//! second each of them stands. Rejections are shared by all routers: each router learns of a full endpoint by a rejection
//! of its own, so in a fleet of a hundred routers the first lesson of each of them is already too much. A fallen
//! endpoint comes back empty, and its work falls on the others.
//!
//! So routers tell each other their rejections, and all lower their rate to an endpoint while it rejects more than a part of
//! its allowance. The signal is the same for all routers, so how fast they react does not depend on their number.

use crate::fleet::ShortKey;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Period in which an endpoint counts its rejections.
const WINDOW: Duration = Duration::from_secs(1);
/// Part of the allowance above which rates fall. The rest is for requests in transit.
const USED_SHARE: f64 = 0.25;
/// Interval between changes of a rate: about the delay of what routers tell each other.
const ADJUST_INTERVAL: Duration = Duration::from_millis(100);
/// Time without requests after the first rejections, in which running requests make room.
const PAUSE: Duration = Duration::from_millis(100);
/// Factor by which a rate falls in an interval with too many rejections.
const FALL: f64 = 0.7;
/// Factor by which a rate rises in an interval without rejections in the last window.
const RISE: f64 = 1.02;
/// Unused requests that a rate saves up.
const MAX_CREDIT: f64 = 1.0;
/// Weight of a second in the mean rate of requests sent.
const MEAN_SECS: f64 = 0.5;
/// Time after which an allowance that was not stated again no longer holds.
const LIMIT_TTL: Duration = Duration::from_secs(10);

#[derive(Debug, Default)]
struct Brittle {
    /// Rejections a second that the endpoint stands, and when it said so.
    limit: Option<(f64, Duration)>,
    /// This router's rejections within the window.
    own: VecDeque<Duration>,
    /// Rejections of other routers within a window, and when they were received.
    others: (u32, Duration),
    /// Mean of the requests a second that this router sends, and when it was computed.
    sent: (f64, Duration),
    /// Requests a second that this router may send; none while the endpoint rejects nothing.
    rate: Option<f64>,
    /// Unused requests of the rate, and when they were counted.
    credit: (f64, Duration),
    adjusted: Duration,
    paused_until: Duration,
}

/// The brittle endpoints as one router knows them.
#[derive(Debug, Default)]
pub struct BrittleEndpoints {
    endpoints: HashMap<ShortKey, Brittle>,
}

impl BrittleEndpoints {
    /// Records the rejections a second that an endpoint stands according to its last answer, or that it states none.
    /// Returns whether it became brittle or stopped being so.
    pub fn record_limit(&mut self, endpoint: ShortKey, limit: Option<f64>, now: Duration) -> bool {
        if limit.is_none() && !self.endpoints.contains_key(&endpoint) {
            return false;
        }
        let state = self.endpoints.entry(endpoint).or_default();
        let before = state.limit.is_some();
        state.limit = limit.map(|limit| (limit, now));
        before != limit.is_some()
    }

    /// Records a request that is sent to the endpoint.
    pub fn record_request(&mut self, endpoint: ShortKey, now: Duration) {
        if let Some(state) = self.endpoints.get_mut(&endpoint) {
            state.sent = (state.mean_sent(now) + 1.0 / MEAN_SECS, now);
            state.credit = (state.current_credit(now) - 1.0, now);
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
    pub fn own_rejections(&mut self, now: Duration) -> Vec<(ShortKey, u32)> {
        let counts = self
            .endpoints
            .iter_mut()
            .map(|(key, state)| (*key, state.own_count(now)));
        counts.filter(|(_, count)| *count > 0).collect()
    }

    /// Whether a request may be sent to the endpoint.
    pub fn allow(&self, endpoint: ShortKey, now: Duration) -> bool {
        self.wait(endpoint, now).is_zero()
    }

    /// Time until a request may be sent to the endpoint.
    pub fn wait(&self, endpoint: ShortKey, now: Duration) -> Duration {
        let Some(state) = self.endpoints.get(&endpoint) else {
            return Duration::ZERO;
        };
        if state.current_limit(now).is_none() {
            return Duration::ZERO;
        }
        let pause = state.paused_until.saturating_sub(now);
        let Some(rate) = state.rate else { return pause };
        let missing = (1.0 - state.current_credit(now)).max(0.0);
        let wait = Duration::try_from_secs_f64(missing / rate).unwrap_or(WINDOW);
        pause.max(wait)
    }

    /// Whether any endpoint is brittle.
    pub fn any(&self, now: Duration) -> bool {
        self.endpoints.values().any(|state| state.current_limit(now).is_some())
    }

    /// Forgets an endpoint that is out of service or has restarted.
    pub fn remove(&mut self, endpoint: ShortKey) {
        self.endpoints.remove(&endpoint);
    }
}

impl Brittle {
    fn current_limit(&self, now: Duration) -> Option<f64> {
        let (limit, stated) = self.limit?;
        (now < stated + LIMIT_TTL).then_some(limit)
    }

    fn own_count(&mut self, now: Duration) -> u32 {
        while self.own.front().is_some_and(|at| *at + WINDOW <= now) {
            self.own.pop_front();
        }
        self.own.len() as u32
    }

    /// Rejections within the window that this router knows of.
    fn known(&self, now: Duration) -> u32 {
        let own = self.own.iter().filter(|at| now < **at + WINDOW).count() as u32;
        let (others, received) = self.others;
        own + if now < received + WINDOW { others } else { 0 }
    }

    fn mean_sent(&self, now: Duration) -> f64 {
        let (mean, at) = self.sent;
        mean * (-now.saturating_sub(at).as_secs_f64() / MEAN_SECS).exp()
    }

    fn current_credit(&self, now: Duration) -> f64 {
        let (credit, at) = self.credit;
        let rate = self.rate.unwrap_or(f64::INFINITY);
        let earned = now.saturating_sub(at).as_secs_f64() * rate;
        (credit + if earned.is_nan() { 0.0 } else { earned }).min(MAX_CREDIT)
    }

    /// Changes the rate by the rejections of the last window.
    fn adjust(&mut self, now: Duration) {
        let Some(limit) = self.current_limit(now) else {
            self.rate = None;
            return;
        };
        if now < self.adjusted + ADJUST_INTERVAL {
            return;
        }
        self.adjusted = now;
        let (known, sent) = (self.known(now), self.mean_sent(now));
        if f64::from(known) > limit * USED_SHARE {
            self.credit = (self.current_credit(now), now);
            self.rate = Some(self.rate.unwrap_or(sent).min(sent.max(f64::MIN_POSITIVE)) * FALL);
            self.paused_until = now + PAUSE;
        } else if known == 0
            && let Some(rate) = self.rate
        {
            self.credit = (self.current_credit(now), now);
            self.rate = Some(rate * RISE);
        }
    }
}
