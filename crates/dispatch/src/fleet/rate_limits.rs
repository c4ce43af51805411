//! Rate limits of overloaded endpoints, shared by all routers.
//!
//! Load pattern: an endpoint that can't keep up reports how many requests per second it accepts from all routers
//! together, about half of its recent rate. An even split of a small rate serves nobody: of 2.5 requests a second
//! each of 125 routers would get one request in 50 s. So a rate is split into shares of about one request a second,
//! and rendezvous hashing decides which routers have a share. Routers without a share send only rare probe requests,
//! which show whether the limit has been lifted. Routers exchange the limits they receive, so all resume as soon as
//! one learns that a limit was lifted.

use super::ShortKey;
use control::rendezvous;
use ids::VmId;
use std::collections::HashMap;
use std::time::Duration;

/// Fraction of a rate that is split into shares. The rest is a reserve, because routers may briefly disagree on the
/// set of routers.
const SHARED_FRACTION: f64 = 0.8;
/// Fraction of a rate that all routers without a share use together for probes. Probes detect a lifted limit even if
/// no peer reports it.
const PROBE_FRACTION: f64 = 0.1;
/// Smallest share, in requests per second.
const MIN_SHARE_RPS: f64 = 1.0;
/// Largest unused allowance of a share, in requests.
const MAX_CREDIT: f64 = 2.0;
/// Length of a probe slot. In each slot only a few of the routers without a share may send a probe.
const PROBE_SLOT: Duration = Duration::from_secs(2);
/// Number of routers assumed while none are known: more than the larger fleet has.
const ASSUMED_ROUTERS: usize = 200;
/// How long a reported limit is forwarded to peers.
const FORWARD_PERIOD: Duration = Duration::from_secs(2);
/// Longest retry-after time.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// The latest rate limit of an endpoint, as routers exchange it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateUpdate {
    /// The endpoint that reported the limit.
    pub endpoint: ShortKey,
    /// Requests per second from all routers together; `None` if the limit was lifted.
    pub rate: Option<f64>,
    /// When the endpoint sent the answer with the limit.
    pub reported_at: Duration,
}

#[derive(Debug, Clone, Copy)]
struct RateLimit {
    rate: Option<f64>,
    reported_at: Duration,
    /// Requests per second that this router may send; `None` if it has no share.
    share: Option<f64>,
    /// Unused requests of the share, and when they were counted.
    credit: (f64, Duration),
    /// When this router last sent a request without a share.
    last_probe: Option<Duration>,
}

/// The latest limits of all endpoints.
#[derive(Debug, Default)]
pub(super) struct RateLimits {
    own: Option<VmId>,
    routers: Vec<VmId>,
    limits: HashMap<ShortKey, RateLimit>,
}

impl RateLimits {
    /// Sets the routers of the deployment; `own` is this router.
    pub(super) fn set_routers(&mut self, own: &VmId, routers: &[VmId]) {
        if self.own.as_ref() == Some(own) && self.routers == routers {
            return;
        }
        self.own = Some(own.clone());
        self.routers = routers.to_vec();
        let keys: Vec<ShortKey> = self.limits.keys().copied().collect();
        for key in keys {
            self.update_share(key);
        }
    }

    /// Merges a limit that an endpoint reported. Returns whether the rate changed.
    pub(super) fn merge(&mut self, update: RateUpdate, now: Duration) -> bool {
        let previous = self.limits.get(&update.endpoint);
        if previous.is_some_and(|previous| previous.reported_at >= update.reported_at)
            || (previous.is_none() && update.rate.is_none())
        {
            return false;
        }
        let before = previous.and_then(|previous| previous.rate);
        let starts = before.is_none();
        let limit = self.limits.entry(update.endpoint).or_insert(RateLimit {
            rate: None,
            reported_at: update.reported_at,
            share: None,
            credit: (0.0, now),
            last_probe: None,
        });
        limit.rate = update.rate;
        limit.reported_at = update.reported_at;
        if starts {
            // The endpoint was overloaded until now, so neither saved credit nor an immediate probe is allowed.
            limit.credit = (0.0, now);
            limit.last_probe = Some(now);
        }
        if before != update.rate {
            self.update_share(update.endpoint);
        }
        before != update.rate
    }

    /// Clears the limit of an endpoint that was removed or restarted, and makes earlier reports outdated.
    pub(super) fn clear(&mut self, endpoint: ShortKey, now: Duration) {
        if let Some(limit) = self.limits.get_mut(&endpoint) {
            limit.rate = None;
            limit.reported_at = now;
        }
    }

    /// Whether this router may send a request to the endpoint now.
    pub(super) fn allow(&self, endpoint: ShortKey, now: Duration) -> bool {
        let Some((limit, rate)) = self.active(endpoint) else {
            return true;
        };
        match limit.share {
            Some(share) => credit(limit, share, now) >= 1.0,
            None => {
                let since = limit.last_probe.map(|last_probe| now.saturating_sub(last_probe));
                since.is_none_or(|since| since >= PROBE_SLOT) && self.in_probe_slot(endpoint, rate, now)
            }
        }
    }

    /// Records a request sent to the endpoint.
    pub(super) fn record_request(&mut self, endpoint: ShortKey, now: Duration) {
        let Some(limit) = self.limits.get_mut(&endpoint) else {
            return;
        };
        match limit.share {
            Some(share) => limit.credit = (credit(limit, share, now) - 1.0, now),
            None => limit.last_probe = Some(now),
        }
    }

    /// Time after which a client should retry: when this router's share allows a request, or else when the total rate
    /// allows one to some router.
    pub(super) fn retry_after(&self, endpoint: ShortKey, now: Duration) -> Duration {
        let Some((limit, rate)) = self.active(endpoint) else {
            return Duration::ZERO;
        };
        let seconds = match limit.share {
            Some(share) => (1.0 - credit(limit, share, now)).max(0.0) / share,
            None => 1.0 / rate,
        };
        let max_seconds = MAX_RETRY_AFTER.as_secs_f64();
        // A rate of zero gives infinity, which `from_secs_f64` rejects.
        Duration::from_secs_f64(if seconds < max_seconds { seconds } else { max_seconds })
    }

    /// Number of endpoints with a rate limit.
    pub(super) fn count(&self) -> usize {
        self.limits.values().filter(|limit| limit.rate.is_some()).count()
    }

    /// Recently reported limits, for peers.
    pub(super) fn recent(&self, now: Duration) -> Vec<RateUpdate> {
        let recent = self
            .limits
            .iter()
            .filter(|(_, limit)| now.saturating_sub(limit.reported_at) < FORWARD_PERIOD);
        let updates = recent.map(|(endpoint, limit)| RateUpdate {
            endpoint: *endpoint,
            rate: limit.rate,
            reported_at: limit.reported_at,
        });
        updates.collect()
    }

    fn active(&self, endpoint: ShortKey) -> Option<(&RateLimit, f64)> {
        let limit = self.limits.get(&endpoint)?;
        Some((limit, limit.rate?))
    }

    /// Recomputes whether this router has a share of an endpoint's rate, and its size.
    fn update_share(&mut self, endpoint: ShortKey) {
        let Some(limit) = self.limits.get_mut(&endpoint) else {
            return;
        };
        let shares = (limit.rate.unwrap_or_default() / MIN_SHARE_RPS).floor().max(1.0);
        let count = (shares as usize).min(self.routers.len());
        let chosen = rendezvous::choose(&endpoint.0.to_string(), &self.routers, count);
        let has_share = self.own.as_ref().is_some_and(|own| chosen.contains(&own));
        let rate = limit.rate.filter(|rate| has_share && *rate > 0.0);
        limit.share = rate.map(|rate| rate * SHARED_FRACTION / count as f64);
    }

    /// Whether it is this router's slot to probe an endpoint without a share. Slots are so rare that all such routers
    /// together use only a small fraction of the rate.
    fn in_probe_slot(&self, endpoint: ShortKey, rate: f64, now: Duration) -> bool {
        let routers = if self.routers.is_empty() {
            ASSUMED_ROUTERS
        } else {
            self.routers.len()
        };
        let each = (rate * PROBE_FRACTION * PROBE_SLOT.as_secs_f64()).max(f64::MIN_POSITIVE);
        let slots = ((routers as f64 / each).ceil() as u64).max(1);
        let own_slot = self
            .own
            .as_ref()
            .map_or(0, |own| rendezvous::weight(&endpoint.0.to_string(), own));
        let slot = (now.as_millis() / PROBE_SLOT.as_millis()) as u64;
        slot % slots == own_slot % slots
    }
}

fn credit(limit: &RateLimit, share: f64, now: Duration) -> f64 {
    let (credit, updated_at) = limit.credit;
    (credit + share * now.saturating_sub(updated_at).as_secs_f64()).min(MAX_CREDIT)
}
