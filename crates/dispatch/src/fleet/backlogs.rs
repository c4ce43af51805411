//! Prompts that other routers' requests wait to have read.
//!
//! Load pattern: a dozen routers, each of which sends a long prompt now and then. Endpoints tell their load on answers only, and an
//! endpoint that reads for a second answers nobody: to each router it looks idle, and all send their next request there. So routers
//! tell each other what they wait for. What a router told last holds for [`HOLDS`], since one that is lost takes nothing back.

use super::{LaneTokens, ShortKey};
use ids::{ServiceId, VmId};
use std::collections::HashMap;
use std::time::Duration;

/// How long a router's word holds. It repeats it sooner while it waits.
const HOLDS: Duration = Duration::from_millis(1_200);

/// How long sums are good while nothing is told: words run out meanwhile.
const ADDED_FOR: Duration = Duration::from_millis(50);

/// How long a router's word on what was read counts.
const FORGOTTEN: Duration = Duration::from_secs(10);

/// What a router tells the others.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Backlog {
    /// Endpoints that requests wait for, and how many prompt tokens.
    pub tokens: Vec<(ShortKey, u64)>,
    /// What was read lately of each service.
    pub lane_tokens: Vec<(ServiceId, LaneTokens)>,
}

#[derive(Debug)]
struct Told {
    at: Duration,
    tokens: Vec<(ShortKey, u64)>,
    reads: Vec<(ServiceId, LaneTokens)>,
}

/// What all other routers told last.
#[derive(Debug, Default)]
pub(super) struct Backlogs {
    told: HashMap<VmId, Told>,
    /// Prompt tokens by endpoint, of all routers together, and when they were added up.
    sums: HashMap<ShortKey, u64>,
    added: Option<Duration>,
}

impl Backlogs {
    /// A router told all of its backlogs.
    pub(super) fn hear(&mut self, router: &VmId, news: &Backlog, now: Duration) {
        self.added = None;
        self.told.retain(|_, told| now.saturating_sub(told.at) < FORGOTTEN);
        let told = Told {
            at: now,
            tokens: news.tokens.clone(),
            reads: news.lane_tokens.clone(),
        };
        self.told.insert(router.clone(), told);
    }

    /// What other routers' requests have had read lately of a service.
    pub(super) fn reads(&self, service: &ServiceId) -> LaneTokens {
        let mut sum = LaneTokens::default();
        let told = self.told.values().flat_map(|told| &told.reads);
        for (_, reads) in told.filter(|(known, _)| known == service) {
            sum.add(reads);
        }
        sum
    }

    /// Adds up what holds now. Choices come faster than news, and each asks twice for every endpoint.
    pub(super) fn add_up(&mut self, now: Duration) {
        if self.added.is_some_and(|added| now.saturating_sub(added) < ADDED_FOR) {
            return;
        }
        self.added = Some(now);
        self.sums.clear();
        let fresh = self.told.values().filter(|told| now.saturating_sub(told.at) < HOLDS);
        for (endpoint, tokens) in fresh.flat_map(|told| &told.tokens) {
            *self.sums.entry(*endpoint).or_default() += tokens;
        }
    }

    /// Prompt tokens that other routers' requests wait to have read at an endpoint, as they were added up last.
    pub(super) fn tokens(&self, endpoint: ShortKey) -> u64 {
        self.sums.get(&endpoint).copied().unwrap_or_default()
    }
}
