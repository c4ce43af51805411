//! Prompts that other routers' requests wait to have read.
//!
//! Load pattern: a dozen routers, each of which sends a long prompt now and then. Endpoints tell their load on answers only, and an
//! endpoint that reads for a second answers nobody: to each router it looks idle, and all send their next request there. So routers
//! tell each other what they wait for. What a router told last holds for [`HOLDS`], since one that is lost takes nothing back.

use super::ShortKey;
use ids::VmId;
use std::collections::HashMap;
use std::time::Duration;

/// How long a router's word holds. It repeats it sooner while it waits.
const HOLDS: Duration = Duration::from_millis(1_200);

/// What a router tells the others.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Backlog {
    /// Endpoints that requests wait for, and how many prompt tokens.
    pub tokens: Vec<(ShortKey, u64)>,
}

#[derive(Debug)]
struct Told {
    at: Duration,
    tokens: HashMap<ShortKey, u64>,
}

/// What all other routers told last.
#[derive(Debug, Default)]
pub(super) struct Backlogs(HashMap<VmId, Told>);

impl Backlogs {
    /// A router told all of its backlogs.
    pub(super) fn hear(&mut self, router: &VmId, news: &Backlog, now: Duration) {
        self.0.retain(|_, told| now.saturating_sub(told.at) < HOLDS);
        let told = Told {
            at: now,
            tokens: news.tokens.iter().copied().collect(),
        };
        self.0.insert(router.clone(), told);
    }

    /// Prompt tokens that other routers' requests wait to have read at an endpoint.
    pub(super) fn tokens(&self, endpoint: ShortKey, now: Duration) -> u64 {
        let fresh = self.0.values().filter(|told| now.saturating_sub(told.at) < HOLDS);
        fresh.filter_map(|told| told.tokens.get(&endpoint)).sum()
    }
}
