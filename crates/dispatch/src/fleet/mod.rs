//! Which endpoint a request goes to.
//!
//! Load pattern: many routers, none of which sees more than a small part of the traffic, before endpoints that are
//! unequal, fail, fill up and change their weights. Each router weighs what endpoints report on their answers, what it
//! has in flight itself, and how its own attempts went; endpoints of one prompt's prefix are found by hashing, so that
//! routers agree without talking.

mod backlogs;
mod begin;
mod candidates;
mod engines;
mod known;
pub(crate) mod lanes;
mod names;
mod plain;
mod rates;

pub use backlogs::Backlog;
pub use engines::{Prompt, PromptPart};
pub use known::{LoadReport, LoadUpdate, Outcome, ShortKey};
pub use lanes::LaneTokens;
pub use names::{Staleness, TargetAge};
pub use rates::RateUpdate;

use crate::pressure::Pressure;
use crate::retries::{RetryLimits, RetryMeter};
use crate::site::EndpointEntry;
use backlogs::Backlogs;
use candidates::Standing;
use control::health::{self, EndpointHealth};
use ids::{EndpointId, Incarnation, ModelId, ServiceId, VmId};
use known::{Heard, Known};
use lanes::Fading;
use names::Names;
use placement::Placer;
use rates::Rates;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Settings of the choice.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// This router's failure domain.
    pub domain: ids::DomainId,
    /// Budget of attempts beyond the first.
    pub retries: RetryLimits,
    /// How long requests may begin on older weights after newer ones were named.
    pub soft_staleness: Duration,
    /// How long any request may: from then on an answer on them is worth nothing.
    pub hard_staleness: Duration,
}

/// What a request asks of its endpoint.
#[derive(Debug, Clone, Copy)]
pub struct PickContext<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// Endpoints that were tried before.
    pub avoid: &'a [EndpointId],
    /// Its prompt, if it is for a model.
    pub prompt: Option<&'a Prompt>,
    /// Its workspace, if that shares no cached prefix.
    pub isolated: Option<&'a ids::WorkspaceId>,
}

/// The outcome of a choice.
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    /// Send it there.
    Endpoint(PickedEndpoint),
    /// All endpoints that could serve it are full.
    Full,
    /// Endpoints that could serve it take no more for now; the caller had better come back after this time.
    RateLimited(Duration),
    /// No endpoint that could serve it is in service.
    Unavailable,
}

/// A chosen endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct PickedEndpoint {
    /// The endpoint.
    pub endpoint: Arc<EndpointEntry>,
    /// Number of the weights it is believed to serve the request's model with.
    pub weights: Option<u64>,
    /// Prompt tokens it is expected to read.
    pub prefill: u64,
    /// Why it was chosen, for logs.
    pub reason: &'static str,
}

/// What one router believes of all endpoints.
pub struct Fleet {
    settings: FleetSettings,
    known: BTreeMap<EndpointId, Known>,
    health: EndpointHealth,
    placers: HashMap<ServiceId, Placer>,
    meters: HashMap<ServiceId, RetryMeter>,
    loading: BTreeSet<EndpointId>,
    coming: BTreeSet<EndpointId>,
    wanted: HashMap<ModelId, Names>,
    pressures: HashMap<(ServiceId, Duration), Pressure>,
    others: Backlogs,
    lanes: HashMap<ServiceId, Fading>,
    rates: Rates,
}

impl Fleet {
    /// A fleet without endpoints.
    pub fn new(settings: FleetSettings) -> Self {
        Self {
            settings,
            known: BTreeMap::new(),
            health: EndpointHealth::default(),
            placers: HashMap::new(),
            meters: HashMap::new(),
            loading: BTreeSet::new(),
            coming: BTreeSet::new(),
            wanted: HashMap::new(),
            pressures: HashMap::new(),
            others: Backlogs::default(),
            lanes: HashMap::new(),
            rates: Rates::default(),
        }
    }

    /// Other settings are in force; how many routers share the retry budget stays as it is known.
    pub fn reload(&mut self, settings: FleetSettings) {
        let routers = self.settings.retries.routers;
        self.settings = settings;
        self.settings.retries.routers = routers;
    }

    /// An endpoint serves, newly or with other properties.
    pub fn upsert_endpoint(&mut self, entry: &Arc<EndpointEntry>, now: Duration) {
        let known = self.known.get_mut(&entry.id);
        match known {
            Some(known) if known.entry.incarnation == entry.incarnation => known.update(entry.clone()),
            _ => {
                let known = Known::new(entry.clone());
                self.rates.forget(ShortKey::from(known.key), now);
                self.known.insert(entry.id.clone(), known);
            }
        }
        self.configure(now);
    }

    /// An endpoint is gone.
    pub fn remove_endpoint(&mut self, id: &EndpointId, now: Duration) {
        if let Some(known) = self.known.remove(id) {
            self.rates.forget(ShortKey::from(known.key), now);
        }
        self.configure(now);
    }

    /// Weights that a model is to be served with, which were named so long ago.
    pub fn set_target(&mut self, model: &ModelId, weights: u64, age: TargetAge, now: Duration) {
        self.wanted.entry(model.clone()).or_default().name(weights, age, now);
    }

    /// Another router tells how long ago weights were named; whether that made clear what was vague. Newer ones than the store
    /// told this router are left out.
    pub fn merge_target_age(&mut self, model: &ModelId, weights: u64, age: TargetAge, now: Duration) -> bool {
        let names = self.wanted.get_mut(model);
        names.is_some_and(|names| names.told(weights, age, now))
    }

    /// How long ago weights were named.
    pub fn target_ages(&self, now: Duration) -> Vec<(ModelId, u64, TargetAge)> {
        let names = self.wanted.iter().flat_map(|(model, names)| {
            let ages = names.all().iter().map(move |named| (named.weights, named.age(now)));
            ages.map(|(weights, age)| (model.clone(), weights, age))
        });
        names.collect()
    }

    /// Whether an endpoint has old weights, and another router's word could tell much better for how long it may serve.
    pub fn has_uncertain_age(&self, now: Duration) -> bool {
        let bound = self.settings.hard_staleness;
        self.wanted.iter().any(|(model, names)| {
            let mut served = self.known.values().filter_map(|known| known.weights(model));
            served.any(|weights| names.vague_after(weights, bound, now))
        })
    }

    /// Weights wanted of each model.
    pub fn targets(&self) -> impl Iterator<Item = (&ModelId, u64)> {
        self.wanted
            .iter()
            .filter_map(|(model, names)| Some((model, names.newest()?.weights)))
    }

    /// Endpoints that load weights now or are about to, which get no requests, and those that come next, which get no long
    /// answers.
    pub fn set_loading(&mut self, loading: BTreeSet<EndpointId>, coming: BTreeSet<EndpointId>) {
        self.loading = loading;
        self.coming = coming;
    }

    /// An answer or the order holder named the weights an endpoint serves a model with.
    pub fn record_weights(&mut self, id: &EndpointId, model: &ModelId, weights: u64) {
        if let Some(known) = self.known.get_mut(id) {
            known.learn_weights(model, weights);
        }
    }

    /// An endpoint refused a request since it serves other weights than it was believed to. It has the newest by now, or
    /// what its entry says; if that is wrong too, the next request is refused and says so.
    pub fn correct_weights(&mut self, id: &EndpointId, model: &ModelId) {
        let newest = self.wanted.get(model).and_then(Names::newest);
        let newest = newest.map(|named| named.weights);
        if let Some(known) = self.known.get_mut(id) {
            known.correct_weights(model, newest);
        }
    }

    /// Weights an endpoint is believed to serve a model with.
    pub fn weights(&self, id: &EndpointId, model: &ModelId) -> Option<u64> {
        self.known.get(id)?.weights(model)
    }

    /// Routers that share the retry budget; 0 if that isn't known.
    pub fn set_router_count(&mut self, count: u32) {
        self.settings.retries.routers = count;
    }

    /// The routers that share the rates of endpoints, of which `own` is this one.
    pub fn set_routers(&mut self, own: &VmId, routers: &[VmId]) {
        self.rates.routers(own, routers);
    }

    /// Endpoints to probe now.
    pub fn due_probes(&mut self, now: Duration) -> Vec<Arc<EndpointEntry>> {
        let due = self.health.due_probes(now);
        due.iter()
            .filter_map(|id| self.known.get(id).map(|known| known.entry.clone()))
            .collect()
    }

    /// Chooses an endpoint; `draw` is uniform over all numbers.
    pub fn choose(&mut self, wish: &PickContext<'_>, draw: u64, now: Duration) -> Choice {
        self.others.add_up(now);
        let choice = self.choose_any(wish, draw, now);
        if let Choice::Endpoint(picked) = &choice
            && let Some(known) = self.known.get(&picked.endpoint.id)
        {
            self.rates.take(ShortKey::from(known.key), now);
        }
        choice
    }

    fn choose_any(&mut self, wish: &PickContext<'_>, draw: u64, now: Duration) -> Choice {
        if wish.prompt.is_none() {
            return self.choose_from(wish, now, |open| self.choose_plain(&open, draw, now));
        }
        // Taken out, since the choice borrows what is known of endpoints.
        let mut placer = self.placers.remove(wish.service).unwrap_or_else(engines::placer);
        let choice = self.choose_from(wish, now, |open| self.choose_engine(&mut placer, wish, open, draw, now));
        self.placers.insert(wish.service.clone(), placer);
        if let (Choice::Endpoint(picked), Some(prompt)) = (&choice, wish.prompt) {
            let lanes = self.lanes.entry(wish.service.clone()).or_default();
            lanes.count(prompt, picked.prefill, now);
        }
        choice
    }

    fn choose_from<'a>(
        &'a self,
        wish: &PickContext<'_>,
        now: Duration,
        choose: impl FnOnce(Vec<&'a Known>) -> Choice,
    ) -> Choice {
        match self.candidates(wish, now) {
            Standing::Some(open) => choose(open),
            Standing::Full => Choice::Full,
            Standing::Limited(after) => Choice::RateLimited(after),
            Standing::None => Choice::Unavailable,
        }
    }

    /// A request was sent to an endpoint, which has this many prompt tokens of it to read.
    pub fn request_started(&mut self, id: &EndpointId, incarnation: Incarnation, prefill: u64, now: Duration) {
        if let Some(known) = self.life(id, incarnation) {
            known.begin(prefill, now);
        }
    }

    /// The endpoint has read the prompt of a request that was sent at `began`, or will never read it.
    pub fn prefill_finished(&mut self, id: &EndpointId, incarnation: Incarnation, began: Duration) {
        if let Some(known) = self.life(id, incarnation) {
            known.prefilled(began);
        }
    }

    /// A request has left an endpoint.
    pub fn request_finished(&mut self, id: &EndpointId, incarnation: Incarnation) {
        if let Some(known) = self.life(id, incarnation) {
            known.end();
        }
    }

    /// What this router tells the others of its requests.
    pub fn own_backlog(&self, now: Duration) -> Backlog {
        let known = self.known.values().filter(|known| known.prefill() > 0);
        let reads = self.lanes.iter();
        Backlog {
            tokens: known
                .map(|known| (ShortKey::from(known.key), known.prefill()))
                .collect(),
            lane_tokens: reads
                .map(|(service, lanes)| (service.clone(), lanes.reads(now)))
                .collect(),
        }
    }

    /// Another router told all of its backlogs.
    pub fn update_backlog(&mut self, router: &VmId, told: &Backlog, now: Duration) {
        self.others.hear(router, told, now);
    }

    /// An endpoint told its load.
    pub fn record_load(&mut self, id: &EndpointId, report: LoadReport, now: Duration) {
        if let Some(known) = self.known.get_mut(id) {
            known.reported(Heard {
                report,
                told: now,
                heard: now,
                own: true,
            });
        }
    }

    /// An answer of an endpoint named the requests a second that it takes from all routers together, or none; whether that is new.
    pub fn record_rate(&mut self, id: &EndpointId, rate: Option<f64>, now: Duration) -> bool {
        let Some(known) = self.known.get(id) else {
            return false;
        };
        let news = RateUpdate {
            endpoint: ShortKey::from(known.key),
            rate,
            reported_at: now,
        };
        self.rates.hear(news, now)
    }

    /// Other routers were told this by endpoints; whether any of it is new.
    pub fn merge_rates(&mut self, news: &[RateUpdate], now: Duration) -> bool {
        let mut new = false;
        for news in news {
            new |= self.rates.hear(*news, now);
        }
        new
    }

    /// What endpoints told lately of their rates, for other routers.
    pub fn recent_rates(&self, now: Duration) -> Vec<RateUpdate> {
        self.rates.news(now)
    }

    /// Endpoints that name a rate.
    pub fn rate_limited_count(&self) -> usize {
        self.rates.count()
    }

    /// Reports that this router has received after `since`; only those of its own answers, or all.
    pub fn loads_since(&self, since: Duration, own: bool) -> Vec<LoadUpdate> {
        let news = self
            .known
            .values()
            .filter_map(|known| Some((known.key, known.report()?)));
        let news = news.filter(|(_, heard)| heard.heard > since && (heard.own || !own));
        let news = news.map(|(key, heard)| LoadUpdate {
            endpoint: ShortKey::from(key),
            report: heard.report,
            reported_at: heard.told,
        });
        news.collect()
    }

    /// Another router told what it heard. A router meets an endpoint of a large pool once in ten seconds; its neighbours
    /// together meet it several times a second.
    pub fn merge_loads(&mut self, news: &[LoadUpdate], now: Duration) {
        let news: HashMap<ShortKey, &LoadUpdate> = news.iter().map(|news| (news.endpoint, news)).collect();
        for known in self.known.values_mut() {
            if let Some(news) = news.get(&ShortKey::from(known.key)) {
                known.reported(Heard {
                    report: news.report,
                    told: news.reported_at,
                    heard: now,
                    own: false,
                });
            }
        }
    }

    /// What came of an attempt.
    pub fn record_outcome(&mut self, id: &EndpointId, outcome: Outcome, now: Duration) {
        if let Some(known) = self.known.get_mut(id) {
            known.outcome(outcome, now);
        }
        let event = evidence(id, outcome);
        self.health.on(event, now);
    }

    /// What came of a probe: it shows whether the endpoint is reached, not how it serves.
    pub fn record_probe(&mut self, id: &EndpointId, outcome: Outcome, now: Duration) {
        let event = evidence(id, outcome);
        self.health.on(event, now);
    }

    /// The first event of a streamed answer came this long after its request was sent, or has not come by then.
    pub fn record_first_event(&mut self, service: &ServiceId, objective: Duration, waited: Duration, now: Duration) {
        let pressure = self.pressures.entry((service.clone(), objective)).or_default();
        pressure.record(waited, objective, now);
    }

    /// Whether a request for a streamed answer is refused at once, since answers of its kind are late; `draw` is uniform over all
    /// numbers.
    pub fn should_shed(&self, service: &ServiceId, objective: Duration, draw: u64, now: Duration) -> bool {
        let pressure = self.pressures.get(&(service.clone(), objective));
        pressure.is_some_and(|pressure| pressure.should_shed(draw, now))
    }

    /// A request's first attempt at a service.
    pub fn record_first_attempt(&mut self, service: &ServiceId, now: Duration) {
        let window = self.settings.retries.window;
        self.meters
            .entry(service.clone())
            .or_default()
            .record_request(window, now);
    }

    /// Whether one more attempt may be made at a service; it is counted if so.
    pub fn try_retry(&mut self, service: &ServiceId, now: Duration) -> bool {
        let limits = self.settings.retries;
        self.meters.entry(service.clone()).or_default().try_retry(&limits, now)
    }

    /// How far weights of a model are behind the newest, for logs.
    pub fn staleness(&self, model: &ModelId, weights: u64, now: Duration) -> Staleness {
        let names = self.wanted.get(model);
        names.map_or(Staleness::Current, |names| names.behind(weights, now))
    }

    fn life(&mut self, id: &EndpointId, incarnation: Incarnation) -> Option<&mut Known> {
        let known = self.known.get_mut(id)?;
        (known.entry.incarnation == incarnation).then_some(known)
    }

    fn configure(&mut self, now: Duration) {
        let ids = self.known.keys().cloned().collect();
        self.health.on(health::Event::Configured(ids), now);
    }
}

/// What an outcome tells of an endpoint's health.
fn evidence(id: &EndpointId, outcome: Outcome) -> health::Event {
    let endpoint = id.clone();
    match outcome {
        Outcome::Answered(_) | Outcome::Failed | Outcome::Declined => health::Event::Replied {
            endpoint,
            incarnation: None,
        },
        Outcome::Broken | Outcome::ConnectFailed => health::Event::Failed {
            endpoint,
            failure: health::Failure::Connection,
        },
        Outcome::Timeout => health::Event::Failed {
            endpoint,
            failure: health::Failure::Timeout,
        },
    }
}
