//! Which part of the fleet a watcher receives reports from.

use ids::VmId;
use std::collections::HashMap;
use std::time::Duration;

/// Time without a report after which a follower is not covered any more. Idle followers report every 400 ms.
const FOLLOWER_TTL: Duration = Duration::from_millis(1_000);
/// Time without a subtotal after which another watcher and its followers are not covered any more. When a failure domain
/// is cut off, both sides use the whole quota for this long.
const WATCHER_TTL: Duration = Duration::from_millis(400);
/// How long a larger number of routers stays in use. Routers that are cut off from the store lose their entries there
/// and still serve clients.
const COUNT_RETENTION: Duration = Duration::from_secs(15);
/// Number of routers while the real number isn't known: more than the largest deployment is expected to have.
const DEFAULT_ROUTERS: u32 = 400;

#[derive(Debug, Default)]
pub(super) struct Coverage {
    /// Registered routers, and until when that number stays in use although fewer are registered.
    routers: Option<(u32, Duration)>,
    followers: HashMap<VmId, Duration>,
    /// Other watchers: routers that they cover, and when they last reported.
    watchers: HashMap<VmId, (u32, Duration)>,
}

impl Coverage {
    pub(super) fn set_routers(&mut self, count: u32, now: Duration) {
        if count == 0 {
            return;
        }
        match self.routers {
            Some((known, until)) if count < known && now < until => {}
            _ => self.routers = Some((count, now + COUNT_RETENTION)),
        }
        if let Some((known, until)) = &mut self.routers
            && *known == count
        {
            *until = now + COUNT_RETENTION;
        }
    }

    pub(super) fn record_report(&mut self, follower: &VmId, now: Duration) {
        self.followers.insert(follower.clone(), now);
        self.followers.retain(|_, at| is_fresh(*at, FOLLOWER_TTL, now));
    }

    /// Records a subtotal. Returns the part of the time since the previous one in which the watcher was covered.
    pub(super) fn record_subtotal(&mut self, watcher: &VmId, covered: u32, now: Duration) -> f64 {
        let previous = self.watchers.insert(watcher.clone(), (covered, now));
        let gap = previous.map_or(Duration::MAX, |(_, at)| now.saturating_sub(at));
        WATCHER_TTL.as_secs_f64() / gap.max(WATCHER_TTL).as_secs_f64()
    }

    /// Number of followers with a recent report.
    pub(super) fn followers(&self, now: Duration) -> u32 {
        let fresh = self.followers.values().filter(|at| is_fresh(**at, FOLLOWER_TTL, now));
        fresh.count() as u32
    }

    /// Part of all routers that are covered.
    pub(super) fn part(&self, now: Duration) -> f64 {
        let fresh = self.watchers.values().filter(|(_, at)| is_fresh(*at, WATCHER_TTL, now));
        let own = 1 + self.followers(now);
        let covered = fresh.fold(own, |sum, (covered, _)| sum.saturating_add(*covered));
        (f64::from(covered) * self.even_share()).min(1.0)
    }

    /// One router's share.
    pub(super) fn even_share(&self) -> f64 {
        let count = self.routers.map_or(DEFAULT_ROUTERS, |(count, _)| count);
        1.0 / f64::from(count.max(1))
    }
}

fn is_fresh(at: Duration, ttl: Duration, now: Duration) -> bool {
    now.saturating_sub(at) < ttl
}
