//! Rates that endpoints in need name, kept by all routers together.
//!
//! Load pattern: an endpoint that can't keep up names the requests a second that it takes from all routers together, about half of
//! what it got. An even split of a small rate serves nobody: of 2.5 a second each of 125 routers has one request in 50 s. So a
//! rate is split into shares of about one request a second, rendezvous hashing tells which routers have one, and the others send
//! nothing there but a rare request that shows whether the need is over. Routers tell each other what endpoints named, so that all come
//! back as soon as one was told that the need is over.

use super::ShortKey;
use control::rendezvous;
use ids::VmId;
use std::collections::HashMap;
use std::time::Duration;

/// Part of a rate that is split into shares. Routers may differ for a moment about who the others are.
const SHARED: f64 = 0.8;
/// Part of a rate that routers without a share use together, to find that the need is over when nobody tells them.
const CHECKED: f64 = 0.1;
/// Least size of a share, requests a second.
const SHARE: f64 = 1.0;
/// Most requests that a share saves up.
const SAVED: f64 = 2.0;
/// Time in which one router out of many may send its request without a share.
const SLOT: Duration = Duration::from_secs(2);
/// Routers that are assumed while none are known: more than the larger fleet has.
const UNKNOWN: usize = 200;
/// How long what an endpoint named is told on.
const TOLD_FOR: Duration = Duration::from_secs(2);
/// Longest time until a caller is told to come back.
const LATEST: Duration = Duration::from_secs(2);

/// What an endpoint said of its rate last, as routers tell each other.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateUpdate {
    /// Whose.
    pub endpoint: ShortKey,
    /// Requests a second from all routers together; none if it is no longer in need.
    pub rate: Option<f64>,
    /// When an answer of the endpoint said so.
    pub reported_at: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Named {
    rate: Option<f64>,
    told: Duration,
    /// This router's share, requests a second; none if it has none.
    share: Option<f64>,
    /// Requests that the share has saved up, and when that was counted.
    saved: (f64, Duration),
    /// When the last request left without a share.
    checked: Option<Duration>,
}

/// What endpoints have named.
#[derive(Debug, Default)]
pub(super) struct Rates {
    own: Option<VmId>,
    routers: Vec<VmId>,
    named: HashMap<ShortKey, Named>,
}

impl Rates {
    /// The routers of the deployment, of which `own` is this one.
    pub(super) fn routers(&mut self, own: &VmId, routers: &[VmId]) {
        if self.own.as_ref() == Some(own) && self.routers == routers {
            return;
        }
        self.own = Some(own.clone());
        self.routers = routers.to_vec();
        let keys: Vec<ShortKey> = self.named.keys().copied().collect();
        for key in keys {
            self.split(key);
        }
    }

    /// Takes in what an endpoint said; whether that is new.
    pub(super) fn hear(&mut self, news: RateUpdate, now: Duration) -> bool {
        let known = self.named.get(&news.endpoint);
        if known.is_some_and(|known| known.told >= news.reported_at) || (known.is_none() && news.rate.is_none()) {
            return false;
        }
        let before = known.and_then(|known| known.rate);
        let begins = before.is_none();
        let named = self.named.entry(news.endpoint).or_insert(Named {
            rate: None,
            told: news.reported_at,
            share: None,
            saved: (0.0, now),
            checked: None,
        });
        named.rate = news.rate;
        named.told = news.reported_at;
        if begins {
            // It has just got more than it takes.
            named.saved = (0.0, now);
            named.checked = Some(now);
        }
        if before != news.rate {
            self.split(news.endpoint);
        }
        before != news.rate
    }

    /// Another life of an endpoint begins, or it is gone: what it named holds no more, nor does what others heard before.
    pub(super) fn forget(&mut self, endpoint: ShortKey, now: Duration) {
        if let Some(named) = self.named.get_mut(&endpoint) {
            named.rate = None;
            named.told = now;
        }
    }

    /// Whether an endpoint may get a request now.
    pub(super) fn allow(&self, endpoint: ShortKey, now: Duration) -> bool {
        let Some((named, rate)) = self.limited(endpoint) else {
            return true;
        };
        match named.share {
            Some(share) => saved(named, share, now) >= 1.0,
            None => {
                let since = named.checked.map(|checked| now.saturating_sub(checked));
                since.is_none_or(|since| since >= SLOT) && self.in_slot(endpoint, rate, now)
            }
        }
    }

    /// An endpoint gets a request.
    pub(super) fn take(&mut self, endpoint: ShortKey, now: Duration) {
        let Some(named) = self.named.get_mut(&endpoint) else {
            return;
        };
        match named.share {
            Some(share) => named.saved = (saved(named, share, now) - 1.0, now),
            None => named.checked = Some(now),
        }
    }

    /// When a caller had better come back for an endpoint: when this router's share has a request, or any router may have one.
    pub(super) fn after(&self, endpoint: ShortKey, now: Duration) -> Duration {
        let Some((named, rate)) = self.limited(endpoint) else {
            return Duration::ZERO;
        };
        let seconds = match named.share {
            Some(share) => (1.0 - saved(named, share, now)).max(0.0) / share,
            None => 1.0 / rate,
        };
        let longest = LATEST.as_secs_f64();
        // A rate of nothing has no such time.
        Duration::from_secs_f64(if seconds < longest { seconds } else { longest })
    }

    /// Endpoints that name a rate.
    pub(super) fn count(&self) -> usize {
        self.named.values().filter(|named| named.rate.is_some()).count()
    }

    /// What endpoints said lately, to tell it to other routers.
    pub(super) fn news(&self, now: Duration) -> Vec<RateUpdate> {
        let lately = self
            .named
            .iter()
            .filter(|(_, named)| now.saturating_sub(named.told) < TOLD_FOR);
        let news = lately.map(|(endpoint, named)| RateUpdate {
            endpoint: *endpoint,
            rate: named.rate,
            reported_at: named.told,
        });
        news.collect()
    }

    fn limited(&self, endpoint: ShortKey) -> Option<(&Named, f64)> {
        let named = self.named.get(&endpoint)?;
        Some((named, named.rate?))
    }

    /// Finds out whether this router has a share of an endpoint's rate.
    fn split(&mut self, endpoint: ShortKey) {
        let Some(named) = self.named.get_mut(&endpoint) else {
            return;
        };
        let shares = (named.rate.unwrap_or_default() / SHARE).floor().max(1.0);
        let count = (shares as usize).min(self.routers.len());
        let chosen = rendezvous::choose(&endpoint.0.to_string(), &self.routers, count);
        let has = self.own.as_ref().is_some_and(|own| chosen.contains(&own));
        let rate = named.rate.filter(|rate| has && *rate > 0.0);
        named.share = rate.map(|rate| rate * SHARED / count as f64);
    }

    /// Whether it is this router's turn to send an endpoint a request without a share. Turns come so seldom that all such routers together
    /// use little of the rate.
    fn in_slot(&self, endpoint: ShortKey, rate: f64, now: Duration) -> bool {
        let routers = if self.routers.is_empty() {
            UNKNOWN
        } else {
            self.routers.len()
        };
        let each = (rate * CHECKED * SLOT.as_secs_f64()).max(f64::MIN_POSITIVE);
        let slots = ((routers as f64 / each).ceil() as u64).max(1);
        let turn = self
            .own
            .as_ref()
            .map_or(0, |own| rendezvous::weight(&endpoint.0.to_string(), own));
        let slot = (now.as_millis() / SLOT.as_millis()) as u64;
        slot % slots == turn % slots
    }
}

fn saved(named: &Named, share: f64, now: Duration) -> f64 {
    let (saved, counted) = named.saved;
    (saved + share * now.saturating_sub(counted).as_secs_f64()).min(SAVED)
}
