//! Prompts that other routers' requests wait to have read.
//!
//! Load pattern: a dozen routers, each of which sends a long prompt now and then. Endpoints tell their load on answers only, and an
//! endpoint that reads for a second answers nobody: to each router it looks idle, and all send their next request there. So routers
//! tell each other what they wait for. What a router told last holds for [`HOLDS`], since one that is lost takes nothing back.

use super::{Reads, ShortKey};
use ids::{ServiceId, VmId};
use std::collections::HashMap;
use std::time::Duration;

/// How long a router's word holds. It repeats it sooner while it waits.
const HOLDS: Duration = Duration::from_millis(1_200);

/// How long a router's word on what was read counts.
const FORGOTTEN: Duration = Duration::from_secs(10);

/// What a router tells the others.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Backlog {
    /// Endpoints that requests wait for, and how many prompt tokens.
    pub tokens: Vec<(ShortKey, u64)>,
    /// What was read lately of each service.
    pub reads: Vec<(ServiceId, Reads)>,
}

#[derive(Debug)]
struct Told {
    at: Duration,
    tokens: HashMap<ShortKey, u64>,
    reads: Vec<(ServiceId, Reads)>,
}

/// What all other routers told last.
#[derive(Debug, Default)]
pub(super) struct Backlogs(HashMap<VmId, Told>);

impl Backlogs {
    /// A router told all of its backlogs.
    pub(super) fn hear(&mut self, router: &VmId, news: &Backlog, now: Duration) {
        self.0.retain(|_, told| now.saturating_sub(told.at) < FORGOTTEN);
        let told = Told {
            at: now,
            tokens: news.tokens.iter().copied().collect(),
            reads: news.reads.clone(),
        };
        self.0.insert(router.clone(), told);
    }

    /// What other routers' requests have had read lately of a service.
    pub(super) fn reads(&self, service: &ServiceId) -> Reads {
        let mut sum = Reads::default();
        let told = self.0.values().flat_map(|told| &told.reads);
        for (_, reads) in told.filter(|(known, _)| known == service) {
            sum.add(reads);
        }
        sum
    }

    /// Prompt tokens that other routers' requests wait to have read at an endpoint.
    pub(super) fn tokens(&self, endpoint: ShortKey, now: Duration) -> u64 {
        let fresh = self.0.values().filter(|told| now.saturating_sub(told.at) < HOLDS);
        fresh.filter_map(|told| told.tokens.get(&endpoint)).sum()
    }
}
