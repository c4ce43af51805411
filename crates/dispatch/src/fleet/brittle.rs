//! Endpoints that fall over if they have to reject too many requests, as they state in their answers.

use super::ShortKey;
use std::collections::HashMap;
use std::time::Duration;

/// How long a statement is forwarded to peers.
const FORWARD_PERIOD: Duration = Duration::from_secs(2);

/// The latest statement of an endpoint on whether it is brittle, as routers exchange it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BrittleUpdate {
    /// The endpoint.
    pub endpoint: ShortKey,
    /// Rejections per second, over all routers, above which the endpoint falls over; `None` if it is not brittle.
    pub tolerance: Option<u32>,
    /// When the endpoint sent the statement.
    pub reported_at: Duration,
}

/// The latest statements of all endpoints. Endpoints that were never brittle have none.
#[derive(Debug, Default)]
pub(super) struct Statements {
    latest: HashMap<ShortKey, BrittleUpdate>,
}

impl Statements {
    /// Merges a statement. Returns whether the endpoint's tolerance changed.
    pub(super) fn merge(&mut self, update: BrittleUpdate) -> bool {
        let previous = self.latest.get(&update.endpoint);
        if previous.is_some_and(|previous| previous.reported_at >= update.reported_at) {
            return false;
        }
        let before = previous.and_then(|previous| previous.tolerance);
        if previous.is_some() || update.tolerance.is_some() {
            self.latest.insert(update.endpoint, update);
        }
        before != update.tolerance
    }

    /// Clears the statement of an endpoint that was removed or restarted, and makes earlier ones outdated.
    pub(super) fn clear(&mut self, endpoint: ShortKey, now: Duration) {
        if let Some(statement) = self.latest.get_mut(&endpoint) {
            statement.tolerance = None;
            statement.reported_at = now;
        }
    }

    /// Number of brittle endpoints.
    pub(super) fn count(&self) -> usize {
        self.latest
            .values()
            .filter(|statement| statement.tolerance.is_some())
            .count()
    }

    /// Recent statements, for peers.
    pub(super) fn recent(&self, now: Duration) -> Vec<BrittleUpdate> {
        let statements = self.latest.values();
        let recent = statements.filter(|statement| now.saturating_sub(statement.reported_at) < FORWARD_PERIOD);
        recent.copied().collect()
    }
}
