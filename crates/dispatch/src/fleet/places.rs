//! Places at brittle endpoints, each of which only one router uses.
//!
//! Load pattern: a burst, or the loss of some endpoints, at a service whose endpoints fall over if they have to reject
//! more than a few requests a second. A burst fills an endpoint within the time that routers need to tell each other of
//! it, and each router would learn of it by a rejection of its own. So while a service is brittle, each request that an
//! endpoint can run at once is a place that belongs to one router, and a router sends only to its free places. Other
//! requests wait in the router. All routers derive the same division from the list of routers; nothing has to be
//! rejected or told for that.
//!
//! The number of slots in an endpoint's entry may be wrong, or its memory may be full before its slots are. So routers use
//! only a little more of the slots than an endpoint of the service has reported to be in use, and less after a rejection.
//!
//! If there are fewer places than routers, or the others have divided this router's places because its registration has
//! expired, it sends one request at a time, rarely enough that such routers together leave most of the places free, and
//! more rarely after rejections.

use super::ShortKey;
use control::rendezvous;
use ids::{EndpointId, ServiceId, VmId};
use std::collections::HashMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time until a place that this router gains may be used. Routers learn of each other's arrivals and departures within
/// this time, and a request of the previous owner ends.
const HANDOVER: Duration = Duration::from_millis(600);
/// Share of the places that routers without places of their own use together.
const SHARED_USE: f64 = 1.0 / 3.0;
/// Factor on the time between two requests of such a router after a rejection, and its largest product.
const BACKOFF_FACTOR: f64 = 4.0;
const MAX_BACKOFF: f64 = 256.0;
/// Factor by which a served request lowers that product.
const BACKOFF_DECAY: f64 = 0.8;
/// Number of routers assumed while none are known: more than the larger fleet has.
const ASSUMED_ROUTERS: usize = 200;
/// Time that a request is assumed to hold a place before any has ended.
const INITIAL_HOLD: Duration = Duration::from_millis(100);
/// Weight of a request in the mean time that requests hold a place.
const HOLD_WEIGHT: f64 = 0.1;

/// An endpoint as far as its places are concerned.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlacedEndpoint<'a> {
    pub(super) id: &'a EndpointId,
    pub(super) key: ShortKey,
    pub(super) slots: u32,
    /// Largest share of its slots that it reported to be in use.
    pub(super) proven: Option<f64>,
}

/// A place that belongs to this router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Place {
    /// Number of the place within its endpoint. An endpoint with room for fewer requests loses its last places.
    index: u32,
    usable_from: Duration,
}

#[derive(Debug)]
enum Rights {
    /// The places of this router.
    Owned(HashMap<ShortKey, Vec<Place>>),
    /// One request at a time, as often as a router's part of the places allows.
    Shared {
        /// Routers per place.
        routers: f64,
        next_at: Duration,
        /// Requests sent so far.
        sent: u64,
        /// Factor on the time between two requests.
        backoff: f64,
    },
}

/// How the places of a service are divided.
#[derive(Debug)]
struct Division {
    rights: Rights,
    /// Mean time that a request holds a place, seconds.
    hold_secs: f64,
    /// Largest share of its slots that an endpoint had in use, also one that is gone; none if no endpoint reports it.
    proven: Option<f64>,
}

/// What this router may send to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Allowance {
    /// The endpoint is not brittle.
    Unlimited,
    /// This many places may be in use.
    Places(u32),
    /// One request at the whole service, if none is in flight.
    Single,
}

/// The divisions of all brittle services.
#[derive(Debug, Default)]
pub(super) struct Places {
    own: Option<VmId>,
    routers: Vec<VmId>,
    divisions: HashMap<ServiceId, Division>,
    outdated: bool,
    /// When the places are divided again at the latest.
    expiry: Option<Duration>,
    /// Until when the other routers know this one; none before it first registers.
    registered_until: Option<Duration>,
    /// Whether this router was registered when the places were divided.
    was_registered: bool,
}

impl Places {
    /// Sets the routers of the deployment; `own` is this router.
    pub(super) fn set_routers(&mut self, own: &VmId, routers: &[VmId]) {
        if self.own.as_ref() == Some(own) && self.routers == routers {
            return;
        }
        self.own = Some(own.clone());
        self.routers = routers.to_vec();
        self.outdated = true;
    }

    /// Makes the next choice divide the places again, because endpoints changed or became brittle.
    pub(super) fn invalidate(&mut self) {
        self.outdated = true;
    }

    pub(super) fn is_outdated(&self, now: Duration) -> bool {
        let is_expired = self.expiry.is_some_and(|expiry| expiry <= now);
        self.outdated || is_expired || self.was_registered != self.is_registered(now)
    }

    /// Sets until when the other routers know this one.
    pub(super) fn set_registered_until(&mut self, until: Duration) {
        self.registered_until = Some(until);
    }

    fn is_registered(&self, now: Duration) -> bool {
        self.registered_until.is_none_or(|until| now < until)
    }

    /// Divides the places of the brittle services. The division holds until `expiry`, or until something changes.
    pub(super) fn divide(
        &mut self,
        services: &HashMap<&ServiceId, Vec<PlacedEndpoint<'_>>>,
        expiry: Option<Duration>,
        now: Duration,
    ) {
        self.expiry = expiry;
        self.outdated = false;
        self.was_registered = self.is_registered(now);
        self.divisions.retain(|service, _| services.contains_key(service));
        for (service, endpoints) in services {
            let before = self.divisions.remove(*service);
            let hold_secs = before.as_ref().map(|before| before.hold_secs);
            let proven = before.as_ref().and_then(|before| before.proven);
            let division = Division {
                hold_secs: hold_secs.unwrap_or(INITIAL_HOLD.as_secs_f64()),
                proven: max_share(endpoints.iter().filter_map(|endpoint| endpoint.proven).chain(proven)),
                rights: self.rights(endpoints, before.as_ref().map(|before| &before.rights), now),
            };
            self.divisions.insert((*service).clone(), division);
        }
    }

    fn rights(&self, endpoints: &[PlacedEndpoint<'_>], before: Option<&Rights>, now: Duration) -> Rights {
        let places: u32 = endpoints.iter().map(|endpoint| endpoint.slots).sum();
        let own = self
            .own
            .as_ref()
            .and_then(|own| self.routers.iter().position(|router| router == own));
        let is_known = self.is_registered(now) && places as usize >= self.routers.len();
        let Some(own) = own.filter(|_| is_known) else {
            let routers = self.routers.len().max(if own.is_some() { 1 } else { ASSUMED_ROUTERS });
            let (next_at, sent, backoff) = match before {
                Some(Rights::Shared {
                    next_at, sent, backoff, ..
                }) => (*next_at, *sent, *backoff),
                _ => (now, 0, 1.0),
            };
            return Rights::Shared {
                routers: routers as f64 / f64::from(places.max(1)),
                next_at,
                sent,
                backoff,
            };
        };
        let mut owned: HashMap<ShortKey, Vec<Place>> = HashMap::new();
        for (key, index) in own_places(endpoints, &self.routers, own) {
            let usable_from = match before {
                // The service has just become brittle, so no router used its places before.
                None => now,
                Some(Rights::Owned(before)) => usable_from(before, key, index).unwrap_or(now + HANDOVER),
                Some(Rights::Shared { .. }) => now + HANDOVER,
            };
            owned.entry(key).or_default().push(Place { index, usable_from });
        }
        Rights::Owned(owned)
    }

    /// What this router may send to an endpoint of a service that can run `room` requests at once.
    pub(super) fn allowance(&self, service: &ServiceId, endpoint: ShortKey, room: u32, now: Duration) -> Allowance {
        let Some(division) = self.divisions.get(service) else {
            return Allowance::Unlimited;
        };
        match &division.rights {
            Rights::Owned(owned) => {
                let places = owned.get(&endpoint).into_iter().flatten();
                let usable = places.filter(|place| place.index < room && place.usable_from <= now);
                Allowance::Places(usable.count() as u32)
            }
            Rights::Shared { next_at, .. } if *next_at <= now => Allowance::Single,
            Rights::Shared { .. } => Allowance::Places(0),
        }
    }

    /// Whether the places of a service are divided, because it is brittle.
    pub(super) fn is_divided(&self, service: &ServiceId) -> bool {
        self.divisions.contains_key(service)
    }

    /// Largest share of its slots that an endpoint of the service had in use, given what the current endpoints reported.
    /// One if none reports it.
    pub(super) fn proven_share(&self, service: &ServiceId, reported: impl Iterator<Item = f64>) -> f64 {
        let before = self.divisions.get(service).and_then(|division| division.proven);
        max_share(reported.chain(before)).unwrap_or(1.0)
    }

    /// The endpoint, among these, for the next request of a router without places of its own. Each router goes through
    /// them in an order of its own.
    pub(super) fn choose_single(&self, service: &ServiceId, endpoints: &[ShortKey]) -> Option<ShortKey> {
        let Rights::Shared { sent, .. } = self.divisions.get(service)?.rights else {
            return None;
        };
        let own = self.own.as_ref().map_or("", VmId::as_str);
        let draw = xxh3_64_with_seed(own.as_bytes(), sent);
        let index = draw.checked_rem(endpoints.len() as u64)?;
        endpoints.get(index as usize).copied()
    }

    /// Records a request that is sent to an endpoint of the service.
    pub(super) fn record_request(&mut self, service: &ServiceId, now: Duration) {
        let Some(division) = self.divisions.get_mut(service) else {
            return;
        };
        if let Rights::Shared {
            routers,
            next_at,
            sent,
            backoff,
        } = &mut division.rights
        {
            *sent += 1;
            let interval = division.hold_secs * *routers / SHARED_USE * *backoff;
            *next_at = now + Duration::from_secs_f64(interval);
        }
    }

    /// Records that an endpoint of the service rejected a request of this router.
    pub(super) fn record_rejection(&mut self, service: &ServiceId) {
        let division = self.divisions.get_mut(service);
        if let Some(Rights::Shared { backoff, .. }) = division.map(|division| &mut division.rights) {
            *backoff = (*backoff * BACKOFF_FACTOR).min(MAX_BACKOFF);
        }
    }

    /// Records how long a request held its place.
    pub(super) fn record_hold(&mut self, service: &ServiceId, held: Duration) {
        if let Some(division) = self.divisions.get_mut(service) {
            division.hold_secs += HOLD_WEIGHT * (held.as_secs_f64() - division.hold_secs);
            if let Rights::Shared { backoff, .. } = &mut division.rights {
                *backoff = (*backoff * BACKOFF_DECAY).max(1.0);
            }
        }
    }

    /// Mean time between two requests that this router may send to the service.
    pub(super) fn turn(&self, service: &ServiceId) -> Duration {
        let Some(division) = self.divisions.get(service) else {
            return Duration::ZERO;
        };
        let places = match &division.rights {
            Rights::Owned(owned) => owned.values().map(Vec::len).sum::<usize>().max(1) as f64,
            Rights::Shared { routers, backoff, .. } => SHARED_USE / (routers * backoff),
        };
        Duration::from_secs_f64(division.hold_secs / places)
    }
}

fn max_share(shares: impl Iterator<Item = f64>) -> Option<f64> {
    shares.reduce(f64::max)
}

fn usable_from(before: &HashMap<ShortKey, Vec<Place>>, key: ShortKey, index: u32) -> Option<Duration> {
    let place = before.get(&key)?.iter().find(|place| place.index == index)?;
    Some(place.usable_from)
}

/// The places of the router with the number `own`. Each router gets the same number of places, give or take one, and
/// few change hands if a router or an endpoint comes or goes.
fn own_places(endpoints: &[PlacedEndpoint<'_>], routers: &[VmId], own: usize) -> Vec<(ShortKey, u32)> {
    let rankings: Vec<Vec<usize>> = endpoints.iter().map(|endpoint| ranking(endpoint.id, routers)).collect();
    let slots = endpoints
        .iter()
        .map(|endpoint| endpoint.slots)
        .max()
        .unwrap_or_default();
    let mut counts = vec![0_usize; routers.len()];
    let mut dealt = 0;
    let mut owned = Vec::new();
    for index in 0..slots {
        for (endpoint, ranking) in endpoints.iter().zip(&rankings) {
            if index >= endpoint.slots {
                continue;
            }
            let level = dealt / routers.len();
            let Some(owner) = ranking.iter().find(|router| counts[**router] <= level) else {
                continue;
            };
            counts[*owner] += 1;
            dealt += 1;
            if *owner == own {
                owned.push((endpoint.key, index));
            }
        }
    }
    owned
}

/// Numbers of the routers, in the order in which they get places at the endpoint.
fn ranking(endpoint: &EndpointId, routers: &[VmId]) -> Vec<usize> {
    let weights: Vec<u64> = routers
        .iter()
        .map(|router| rendezvous::weight(endpoint.as_str(), router))
        .collect();
    let mut ranking: Vec<usize> = (0..routers.len()).collect();
    ranking.sort_by_key(|router| (std::cmp::Reverse(weights[*router]), &routers[*router]));
    ranking
}
