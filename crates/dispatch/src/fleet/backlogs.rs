//! Prompt tokens that requests of peers wait for.
//!
//! Load pattern: a dozen routers, each of which sends a long prompt now and then. Endpoints report their load only on
//! answers, and an endpoint that reads a prompt for a second answers nobody. It looks idle to each router, and all
//! send their next request there. So routers announce their backlogs to each other. An announcement expires after
//! [`BACKLOG_TTL`], because a router that crashes can't withdraw it.

use super::{LaneTokens, ShortKey};
use ids::{ServiceId, VmId};
use std::collections::HashMap;
use std::time::Duration;

/// How long an announced backlog is valid. Routers with waiting requests repeat it sooner.
const BACKLOG_TTL: Duration = Duration::from_millis(1_200);

/// How long the sums are valid without a new announcement; older announcements expire meanwhile.
const SUMS_TTL: Duration = Duration::from_millis(50);

/// How long the announced lane tokens of a router count.
const ROUTER_TTL: Duration = Duration::from_secs(10);

/// What a router announces to peers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Backlog {
    /// Endpoints with waiting requests, and the prompt tokens not read yet.
    pub tokens: Vec<(ShortKey, u64)>,
    /// Prompt tokens read recently, by service.
    pub lane_tokens: Vec<(ServiceId, LaneTokens)>,
}

#[derive(Debug)]
struct ReceivedBacklog {
    received_at: Duration,
    tokens: Vec<(ShortKey, u64)>,
    lane_tokens: Vec<(ServiceId, LaneTokens)>,
}

/// The latest announcements of all peers.
#[derive(Debug, Default)]
pub(super) struct PeerBacklogs {
    received: HashMap<VmId, ReceivedBacklog>,
    /// Prompt tokens by endpoint, summed over all routers.
    sums: HashMap<ShortKey, u64>,
    summed_at: Option<Duration>,
}

impl PeerBacklogs {
    /// Replaces the announcement of a peer.
    pub(super) fn update(&mut self, router: &VmId, backlog: &Backlog, now: Duration) {
        self.summed_at = None;
        self.received
            .retain(|_, received| now.saturating_sub(received.received_at) < ROUTER_TTL);
        let received = ReceivedBacklog {
            received_at: now,
            tokens: backlog.tokens.clone(),
            lane_tokens: backlog.lane_tokens.clone(),
        };
        self.received.insert(router.clone(), received);
    }

    /// Prompt tokens read recently for the requests of peers to a service.
    pub(super) fn lane_tokens(&self, service: &ServiceId) -> LaneTokens {
        let mut sum = LaneTokens::default();
        let received = self.received.values().flat_map(|received| &received.lane_tokens);
        for (_, lane_tokens) in received.filter(|(name, _)| name == service) {
            sum.add(lane_tokens);
        }
        sum
    }

    /// Recomputes the sums of the valid announcements. The sums are cached because choices are more frequent than
    /// announcements, and each choice needs two lookups per endpoint.
    pub(super) fn refresh_sums(&mut self, now: Duration) {
        if self
            .summed_at
            .is_some_and(|summed_at| now.saturating_sub(summed_at) < SUMS_TTL)
        {
            return;
        }
        self.summed_at = Some(now);
        self.sums.clear();
        let current = self
            .received
            .values()
            .filter(|received| now.saturating_sub(received.received_at) < BACKLOG_TTL);
        for (endpoint, tokens) in current.flat_map(|received| &received.tokens) {
            *self.sums.entry(*endpoint).or_default() += tokens;
        }
    }

    /// Prompt tokens that peers' requests wait for at an endpoint, as of the last [`Self::refresh_sums`].
    pub(super) fn tokens(&self, endpoint: ShortKey) -> u64 {
        self.sums.get(&endpoint).copied().unwrap_or_default()
    }
}
