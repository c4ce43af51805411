//! Endpoints that fall over if they have to reject too many requests, as they state in their answers.

use super::ShortKey;
use ids::ServiceId;
use std::collections::HashMap;
use std::time::Duration;

/// How long statements and rejections are forwarded to peers.
const FORWARD_PERIOD: Duration = Duration::from_secs(2);
/// How long an endpoint that stated nothing counts as not brittle although others of its service state that they are.
/// Usually it has become brittle too and has not answered since.
const CONTRADICTION_PERIOD: Duration = Duration::from_secs(2);

/// How long a service counts as brittle after its last brittle endpoint has left or ended. All of them may end within a
/// second, and those that return must not be overrun before the first has answered.
const DEPARTED_PERIOD: Duration = Duration::from_secs(10);

/// How long it is remembered that an endpoint has left or restarted, so that older statements are recognized.
const CLEARED_RETENTION: Duration = Duration::from_secs(60);

/// What a statement changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Merged {
    /// Nothing.
    Unchanged,
    /// It is the first one of an endpoint, which is not brittle.
    First,
    /// The endpoint's tolerance.
    Changed,
}

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

/// The latest rejection by a brittle endpoint, as routers exchange it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// The endpoint.
    pub endpoint: ShortKey,
    /// Requests that it was running when it had no room for another one.
    pub running: u32,
    /// When it rejected a request.
    pub rejected_at: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Statement {
    update: BrittleUpdate,
    /// Whether the endpoint has answered since its start.
    known: bool,
    /// When it withdrew an earlier statement that it is brittle. That it still isn't is no news.
    withdrawn_at: Option<Duration>,
}

/// The latest statements of all endpoints.
#[derive(Debug, Default)]
pub(super) struct Statements {
    latest: HashMap<ShortKey, Statement>,
    rejections: HashMap<ShortKey, Rejection>,
    /// When the last brittle endpoint of a service left or ended.
    departed: HashMap<ServiceId, Duration>,
}

impl Statements {
    /// Merges a statement.
    pub(super) fn merge(&mut self, update: BrittleUpdate) -> Merged {
        let previous = self.latest.get(&update.endpoint);
        if previous.is_some_and(|previous| previous.update.reported_at >= update.reported_at) {
            return Merged::Unchanged;
        }
        let is_first = previous.is_none_or(|previous| !previous.known);
        let before = previous.and_then(|previous| previous.update.tolerance);
        let withdrawn_at = match (before, update.tolerance) {
            (Some(_), None) => Some(update.reported_at),
            (_, Some(_)) => None,
            (None, None) => previous.and_then(|previous| previous.withdrawn_at),
        };
        let statement = Statement {
            update,
            known: true,
            withdrawn_at,
        };
        self.latest.insert(update.endpoint, statement);
        if before != update.tolerance {
            Merged::Changed
        } else if is_first {
            Merged::First
        } else {
            Merged::Unchanged
        }
    }

    /// Merges a rejection. Returns whether it is newer than the one known.
    pub(super) fn merge_rejection(&mut self, rejection: Rejection) -> bool {
        let known = self.rejections.get(&rejection.endpoint);
        let is_newer = known.is_none_or(|known| known.rejected_at < rejection.rejected_at);
        if is_newer {
            self.rejections.insert(rejection.endpoint, rejection);
        }
        is_newer
    }

    /// Clears what is known of an endpoint that was removed or restarted, and makes earlier statements outdated.
    pub(super) fn clear(&mut self, service: &ServiceId, endpoint: ShortKey, now: Duration) {
        self.rejections.remove(&endpoint);
        let is_kept = |statement: &Statement| {
            statement.known || now.saturating_sub(statement.update.reported_at) < CLEARED_RETENTION
        };
        self.latest.retain(|_, statement| is_kept(statement));
        if let Some(statement) = self.latest.get_mut(&endpoint) {
            if statement.update.tolerance.is_some() {
                self.departed.insert(service.clone(), now);
            }
            statement.update.tolerance = None;
            statement.update.reported_at = now;
            statement.withdrawn_at = None;
            statement.known = false;
        }
    }

    /// Number of brittle endpoints.
    pub(super) fn count(&self) -> usize {
        let tolerances = self
            .latest
            .values()
            .filter(|statement| statement.update.tolerance.is_some());
        tolerances.count()
    }

    /// When the last brittle endpoint of a service left or ended, if that was a short time ago.
    pub(super) fn departed_at(&self, service: &ServiceId, now: Duration) -> Option<Duration> {
        let departed_at = *self.departed.get(service)?;
        (now < departed_at + DEPARTED_PERIOD).then_some(departed_at)
    }

    /// The services of which brittle endpoints left or ended a short time ago, and until when that counts.
    pub(super) fn departed(&self, now: Duration) -> impl Iterator<Item = (&ServiceId, Duration)> {
        let until = self
            .departed
            .iter()
            .map(|(service, at)| (service, *at + DEPARTED_PERIOD));
        until.filter(move |(_, until)| now < *until)
    }

    /// Whether an endpoint has answered since a time and is not brittle.
    pub(super) fn contradicts(&self, endpoint: ShortKey, since: Duration) -> bool {
        let statement = self.latest.get(&endpoint);
        statement.is_some_and(|statement| {
            statement.known && statement.update.tolerance.is_none() && statement.update.reported_at > since
        })
    }

    /// When an endpoint last stated that it is brittle, unless it has withdrawn that.
    pub(super) fn brittle_since(&self, endpoint: ShortKey) -> Option<Duration> {
        let update = self.latest.get(&endpoint)?.update;
        update.tolerance.map(|_| update.reported_at)
    }

    /// Whether an endpoint counts as brittle, given when an endpoint of its service last stated that it is.
    pub(super) fn is_brittle(&self, endpoint: ShortKey, stated_at: Duration) -> bool {
        let Some(statement) = self.latest.get(&endpoint).filter(|statement| statement.known) else {
            return true;
        };
        statement.update.tolerance.is_some() || statement.update.reported_at + CONTRADICTION_PERIOD < stated_at
    }

    /// Recent statements, for peers.
    pub(super) fn recent(&self, now: Duration) -> Vec<BrittleUpdate> {
        let is_recent = |at: Duration| now.saturating_sub(at) < FORWARD_PERIOD;
        let is_news = |statement: &&Statement| {
            let is_brittle = statement.update.tolerance.is_some();
            is_brittle && is_recent(statement.update.reported_at) || statement.withdrawn_at.is_some_and(is_recent)
        };
        let recent = self.latest.values().filter(is_news);
        recent.map(|statement| statement.update).collect()
    }

    /// Recent rejections, for peers.
    pub(super) fn recent_rejections(&self, now: Duration) -> Vec<Rejection> {
        let is_recent = |rejection: &&Rejection| now.saturating_sub(rejection.rejected_at) < FORWARD_PERIOD;
        self.rejections.values().filter(is_recent).copied().collect()
    }
}
