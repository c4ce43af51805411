//! What peers report about endpoints: prompt tokens that their requests wait for, and failed connections.
//!
//! Load pattern: a dozen routers, each of which sends a long prompt now and then. Endpoints report their load only on
//! answers, and an endpoint that reads a prompt for a second answers nobody. It looks idle to each router, and all
//! send their next request there. So routers report their backlogs. With a message from each router to each other, the
//! reports would take most of a router's processor time. Instead, each follower reports to the router that it follows,
//! these routers send each other the sums of their followers, and each follower receives the sum over all others in the
//! response to its report. A report expires after [`BACKLOG_TTL`], because a router that crashes can't withdraw it.
//!
//! A second load pattern: a failure domain is cut off, or a quarter of the endpoints lose power. Each router loses a
//! request's time at each of these endpoints before it avoids them; in a fleet of hundreds, that is half of all requests
//! for seconds. An endpoint that two other routers of the failure domain can't reach is avoided without a try. Reports of
//! one router don't suffice, since its own link may be at fault, nor do those of other domains.

use super::{Fleet, LaneTokens, ShortKey};
use crate::decay;
use crate::overload::{self, HALF_LIFE_SECS, KindLoad};
use ids::{ServiceId, VmId};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// How long a reported backlog is valid. Routers with waiting requests repeat it sooner.
const BACKLOG_TTL: Duration = Duration::from_millis(1_200);

/// How long the sums are valid without a new report; older reports expire meanwhile.
const SUMS_TTL: Duration = Duration::from_millis(50);

/// How long the reported lane tokens of a router count.
const ROUTER_TTL: Duration = Duration::from_secs(10);

/// Routers that must report an endpoint as unreachable until others avoid it.
const MIN_REPORTERS: u32 = 2;

/// Most prompt tokens that a report may name for an endpoint.
const MAX_TOKENS: u64 = 1 << 40;
/// Most routers that a report may stand for.
const MAX_REPORTERS: u32 = 1 << 16;

/// What a router reports about endpoints, or the sum of what several routers reported.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Backlog {
    /// Endpoints with waiting requests, and the prompt tokens not read yet.
    pub tokens: Vec<(ShortKey, u64)>,
    /// Prompt tokens read recently, by service.
    pub lane_tokens: Vec<(ServiceId, LaneTokens)>,
    /// Endpoints to which connections failed, and the number of routers that report it.
    pub unreachable: Vec<(ShortKey, u32)>,
    /// First-event delays and offered load by kind, of services with a patient route.
    pub kinds: Vec<(ServiceId, Vec<KindLoad>)>,
}

impl Backlog {
    /// Limits the numbers to what routers can have observed, so that no sum of them overflows.
    fn limit(&mut self) {
        for (_, tokens) in &mut self.tokens {
            *tokens = (*tokens).min(MAX_TOKENS);
        }
        for (_, reporters) in &mut self.unreachable {
            *reporters = (*reporters).min(MAX_REPORTERS);
        }
    }
}

#[derive(Debug)]
struct ReceivedBacklog {
    received_at: Duration,
    backlog: Backlog,
}

/// Where a backlog was received from.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum BacklogSource {
    /// The followed router: the sum over all other routers.
    Upstream,
    /// A follower: its own backlog.
    Follower(VmId),
    /// Another router that has followers: the sum over itself and them.
    Watcher(VmId),
}

impl BacklogSource {
    pub(super) fn is_follower(&self) -> bool {
        matches!(self, Self::Follower(_))
    }

    /// Whether a follower may be told what was received from this source.
    pub(super) fn is_for(&self, follower: &VmId) -> bool {
        match self {
            Self::Upstream => false,
            Self::Follower(vm) => vm != follower,
            Self::Watcher(_) => true,
        }
    }
}

/// The latest reports of other routers.
#[derive(Debug, Default)]
pub(super) struct PeerBacklogs {
    received: HashMap<BacklogSource, ReceivedBacklog>,
    /// Prompt tokens by endpoint, summed over all routers.
    sums: HashMap<ShortKey, u64>,
    /// Routers that report an endpoint as unreachable.
    reporters: HashMap<ShortKey, u32>,
    summed_at: Option<Duration>,
}

impl PeerBacklogs {
    /// Replaces the report from a source.
    pub(super) fn update(&mut self, source: BacklogSource, mut backlog: Backlog, now: Duration) {
        self.summed_at = None;
        self.received
            .retain(|_, received| now.saturating_sub(received.received_at) < ROUTER_TTL);
        backlog.limit();
        let received = ReceivedBacklog {
            received_at: now,
            backlog,
        };
        self.received.insert(source, received);
    }

    /// Drops the report from a source.
    pub(super) fn remove(&mut self, source: &BacklogSource) {
        self.received.remove(source);
        self.summed_at = None;
    }

    /// Sum of `own` and the valid reports from the sources for which `is_included` holds.
    fn sum(&self, own: Backlog, is_included: impl Fn(&BacklogSource) -> bool, now: Duration) -> Backlog {
        let mut tokens: BTreeMap<ShortKey, u64> = own.tokens.into_iter().collect();
        let mut lanes: BTreeMap<ServiceId, LaneTokens> = own.lane_tokens.into_iter().collect();
        let mut unreachable: BTreeMap<ShortKey, u32> = own.unreachable.into_iter().collect();
        let mut kinds: BTreeMap<ServiceId, Vec<KindLoad>> = own.kinds.into_iter().collect();
        for (_, received) in self.received.iter().filter(|(source, _)| is_included(source)) {
            let age = now.saturating_sub(received.received_at);
            if age < BACKLOG_TTL {
                for (endpoint, count) in &received.backlog.tokens {
                    *tokens.entry(*endpoint).or_default() += count;
                }
                for (endpoint, reporters) in &received.backlog.unreachable {
                    *unreachable.entry(*endpoint).or_default() += reporters;
                }
                for (service, loads) in &received.backlog.kinds {
                    add_decayed(kinds.entry(service.clone()).or_default(), loads, age);
                }
            }
            if age < ROUTER_TTL {
                for (service, lane_tokens) in &received.backlog.lane_tokens {
                    lanes.entry(service.clone()).or_default().add(lane_tokens);
                }
            }
        }
        Backlog {
            tokens: tokens.into_iter().collect(),
            lane_tokens: lanes.into_iter().collect(),
            unreachable: unreachable.into_iter().collect(),
            kinds: kinds.into_iter().collect(),
        }
    }

    /// Sum over this router and its followers.
    pub(super) fn subtotal(&self, own: Backlog, now: Duration) -> Backlog {
        self.sum(own, BacklogSource::is_follower, now)
    }

    /// Sum over all routers except a follower.
    pub(super) fn total_without(&self, follower: &VmId, own: Backlog, now: Duration) -> Backlog {
        self.sum(own, |source| source.is_for(follower), now)
    }

    /// Prompt tokens read recently for the requests of peers to a service.
    pub(super) fn lane_tokens(&self, service: &ServiceId) -> LaneTokens {
        let mut sum = LaneTokens::default();
        let received = self
            .received
            .values()
            .flat_map(|received| &received.backlog.lane_tokens);
        for (_, lane_tokens) in received.filter(|(name, _)| name == service) {
            sum.add(lane_tokens);
        }
        sum
    }

    /// Load of the requests of peers to a service, without reports that have expired.
    pub(super) fn recent_lane_tokens(&self, service: &ServiceId, now: Duration) -> LaneTokens {
        let mut sum = LaneTokens::default();
        for received in self.received.values() {
            if now.saturating_sub(received.received_at) >= ROUTER_TTL {
                continue;
            }
            let lane_tokens = received.backlog.lane_tokens.iter();
            for (_, lane_tokens) in lane_tokens.filter(|(name, _)| name == service) {
                sum.add(lane_tokens);
            }
        }
        sum
    }

    /// Adds the first-event delays and offered load that peers reported for a service.
    pub(super) fn add_kinds(&self, service: &ServiceId, kinds: &mut Vec<KindLoad>, now: Duration) {
        for received in self.received.values() {
            let age = now.saturating_sub(received.received_at);
            if age >= BACKLOG_TTL {
                continue;
            }
            let reported = received.backlog.kinds.iter().filter(|(name, _)| name == service);
            reported.for_each(|(_, loads)| add_decayed(kinds, loads, age));
        }
    }

    /// When the newest report was received.
    pub(super) fn newest(&self) -> Option<Duration> {
        self.received.values().map(|received| received.received_at).max()
    }

    /// Recomputes the sums of the valid reports. The sums are cached because choices are more frequent than reports,
    /// and each choice needs two lookups per endpoint.
    pub(super) fn refresh_sums(&mut self, now: Duration) {
        if self
            .summed_at
            .is_some_and(|summed_at| now.saturating_sub(summed_at) < SUMS_TTL)
        {
            return;
        }
        self.summed_at = Some(now);
        self.sums.clear();
        self.reporters.clear();
        let current = self
            .received
            .values()
            .filter(|received| now.saturating_sub(received.received_at) < BACKLOG_TTL);
        for received in current {
            for (endpoint, tokens) in &received.backlog.tokens {
                *self.sums.entry(*endpoint).or_default() += tokens;
            }
            for (endpoint, count) in &received.backlog.unreachable {
                *self.reporters.entry(*endpoint).or_default() += count;
            }
        }
    }

    /// Whether enough peers can't reach an endpoint, as of the last [`Self::refresh_sums`].
    pub(super) fn is_unreachable(&self, endpoint: ShortKey) -> bool {
        let reporters = self.reporters.get(&endpoint);
        reporters.is_some_and(|count| *count >= MIN_REPORTERS)
    }

    /// Prompt tokens that peers' requests wait for at an endpoint, as of the last [`Self::refresh_sums`].
    pub(super) fn tokens(&self, endpoint: ShortKey) -> u64 {
        self.sums.get(&endpoint).copied().unwrap_or_default()
    }
}

/// Adds the kinds of a report that is `age` old.
fn add_decayed(kinds: &mut Vec<KindLoad>, reported: &[KindLoad], age: Duration) {
    let factor = decay::remaining(age, HALF_LIFE_SECS);
    reported.iter().for_each(|load| overload::add_kind(kinds, load, factor));
}

impl Fleet {
    /// Returns the backlog that this router reports.
    pub fn own_backlog(&self, now: Duration) -> Backlog {
        let pending = self.endpoints.values().filter(|state| state.pending_tokens() > 0);
        let lane_loads = self.lane_loads.iter();
        Backlog {
            tokens: pending
                .map(|state| (ShortKey::from(state.key), state.pending_tokens()))
                .collect(),
            lane_tokens: lane_loads
                .map(|(service, lanes)| (service.clone(), lanes.current(now)))
                .collect(),
            unreachable: self.own_unreachable(),
            kinds: self.overloads.own(now),
        }
    }

    fn own_unreachable(&self) -> Vec<(ShortKey, u32)> {
        let states = self.health.unreachable().filter_map(|id| self.endpoints.get(id));
        states.map(|state| (ShortKey::from(state.key), 1)).collect()
    }

    /// Returns the backlog of this router and its followers, for other routers that have followers.
    pub fn backlog_subtotal(&self, now: Duration) -> Backlog {
        self.peer_backlogs.subtotal(self.own_backlog(now), now)
    }

    /// Returns the backlog of all routers except one follower, for that follower.
    pub fn backlog_without(&self, follower: &VmId, now: Duration) -> Backlog {
        self.peer_backlogs.total_without(follower, self.own_backlog(now), now)
    }

    /// Replaces the backlog received from a source.
    pub fn update_backlog(&mut self, source: BacklogSource, backlog: Backlog, now: Duration) {
        self.peer_backlogs.update(source, backlog, now);
    }

    /// Drops the backlog received from a source, which would otherwise be counted twice until it expires.
    pub fn remove_backlog(&mut self, source: &BacklogSource) {
        self.peer_backlogs.remove(source);
        self.speeds.remove(source);
    }
}
