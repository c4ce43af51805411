//! First-event delays and shedding: by one router for each kind of request, and for all kinds of a service that has a
//! patient route.

use super::Fleet;
use crate::decay;
use crate::overload::{self, Admission, HALF_LIFE_SECS, Kind, KindLoad, Offer, UNSTATED_TOKENS};
use crate::pressure::Pressure;
use ids::ServiceId;
use std::collections::HashMap;
use std::time::Duration;

/// Shortest interval between two log lines about refused requests of a service.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Delays and refusals of one router.
#[derive(Debug, Default)]
pub(super) struct Overloads {
    pressures: HashMap<(ServiceId, Duration), Pressure>,
    kinds: HashMap<ServiceId, OwnKinds>,
    refusals: HashMap<ServiceId, Refusals>,
}

#[derive(Debug, Default)]
struct OwnKinds {
    loads: Vec<KindLoad>,
    updated_at: Duration,
}

#[derive(Debug, Default)]
struct Refusals {
    count: u64,
    logged_at: Option<Duration>,
}

impl OwnKinds {
    fn current(&self, now: Duration) -> Vec<KindLoad> {
        let factor = decay::remaining(now.saturating_sub(self.updated_at), HALF_LIFE_SECS);
        let mut loads = self.loads.clone();
        loads.iter_mut().for_each(|load| load.decay(factor));
        loads.retain(|load| !load.is_empty());
        loads
    }

    fn kind(&mut self, kind: Kind, now: Duration) -> &mut KindLoad {
        self.loads = self.current(now);
        self.updated_at = now;
        let index = self.loads.iter().position(|load| load.kind() == kind);
        let index = index.unwrap_or_else(|| {
            self.loads.push(KindLoad::new(kind));
            self.loads.len() - 1
        });
        &mut self.loads[index]
    }
}

impl Overloads {
    /// This router's observations, by service.
    pub(super) fn own(&self, now: Duration) -> Vec<(ServiceId, Vec<KindLoad>)> {
        let kinds = self
            .kinds
            .iter()
            .map(|(service, kinds)| (service.clone(), kinds.current(now)));
        kinds.filter(|(_, loads)| !loads.is_empty()).collect()
    }
}

impl Fleet {
    /// Records how long the first event of a streamed answer took, or that it has not arrived after `waited`.
    pub fn record_first_event(&mut self, service: &ServiceId, objective: Duration, waited: Duration, now: Duration) {
        let key = (service.clone(), objective);
        let pressure = self.overloads.pressures.entry(key).or_default();
        pressure.record(waited, objective, now);
    }

    /// Returns whether to shed a request for a streamed answer because answers with this objective are late; `draw`
    /// is uniform over all `u64` values.
    pub fn should_shed(&self, service: &ServiceId, objective: Duration, draw: u64, now: Duration) -> bool {
        let pressure = self.overloads.pressures.get(&(service.clone(), objective));
        pressure.is_some_and(|pressure| pressure.should_shed(draw, now))
    }

    /// Records the delay of a first event, as [`Self::record_first_event`] does, for a service with a patient route.
    pub fn record_kind_delay(&mut self, service: &ServiceId, kind: Kind, waited: Duration, now: Duration) {
        let kinds = self.overloads.kinds.entry(service.clone()).or_default();
        kinds.kind(kind, now).record_delay(waited);
    }

    /// Records a streaming request to a service with a patient route, and returns how many such requests are admitted.
    pub fn admit_kind(&mut self, service: &ServiceId, offer: &Offer<'_>, now: Duration) -> Admission {
        let own = self.overloads.kinds.entry(service.clone()).or_default();
        let tokens = match offer.tokens {
            0 => UNSTATED_TOKENS,
            stated => stated,
        };
        own.kind(offer.kind, now).record_tokens(offer.workspace, tokens as f64);
        let mut kinds = own.loads.clone();
        self.peer_backlogs.add_kinds(service, &mut kinds, now);
        overload::admission(&kinds, offer)
    }

    /// Counts a refused request. Returns the number of refusals since the last log line if it is time for another one.
    pub fn record_refusal(&mut self, service: &ServiceId, now: Duration) -> Option<u64> {
        let refusals = self.overloads.refusals.entry(service.clone()).or_default();
        refusals.count += 1;
        let is_recent = |at| now.saturating_sub(at) < LOG_INTERVAL;
        if refusals.logged_at.is_some_and(is_recent) {
            return None;
        }
        refusals.logged_at = Some(now);
        Some(std::mem::take(&mut refusals.count))
    }

    /// Returns the age of the newest report of other routers.
    pub fn news_age(&self, now: Duration) -> Option<Duration> {
        self.peer_backlogs.newest().map(|at| now.saturating_sub(at))
    }
}
