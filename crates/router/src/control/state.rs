//! The control thread's state and its changes.

use super::endpoint_feed::{self, Feeds};
use super::event::{Event, LoadSeen, Sighting};
use crate::orders::Orders;
use crate::shared::Shared;
use crate::view::{Believed, Standing, View};
use admission::ShareView;
use config::{Adopt, Document, EndpointRole, Head, Revisions};
use control::health::{self, Belief, Change, EndpointHealth, Listing};
use control::orders::{self, Runner, Wanted};
use ids::{EndpointId, WeightsVersion};
use placement::Report;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::Duration;
use wire::platform::{VmList, VmState};

/// All state of the control thread.
pub struct Control {
    shared: Arc<Shared>,
    revisions: Revisions,
    document: Option<Document>,
    health: EndpointHealth,
    weights: HashMap<EndpointId, WeightsVersion>,
    feeds: Feeds,
    shares: ShareView,
    orders: Orders,
    reported: HashMap<EndpointId, LoadSeen>,
}

impl Control {
    /// Knows nothing yet.
    pub fn new(shared: Arc<Shared>) -> Self {
        let mut orders = Orders::new(shared.clone());
        orders.on(orders::Event::Candidate(true));
        Self {
            shared,
            orders,
            reported: HashMap::new(),
            revisions: Revisions::default(),
            document: None,
            health: EndpointHealth::default(),
            weights: HashMap::new(),
            feeds: Feeds::default(),
            shares: ShareView::new(1),
        }
    }

    /// Takes one event; breaks at the end.
    pub fn on(&mut self, event: Event) -> ControlFlow<()> {
        match event {
            Event::Config(head, document) => self.config(&head, *document),
            Event::Vms(list) => self.listed(&list),
            Event::Endpoint(id, sighting) => self.sighted(&id, sighting),
            Event::Orders(event) => self.orders.on(event),
            Event::Tick => self.tick(),
            Event::Stop => {
                self.orders.on(orders::Event::Stop);
                self.feeds.stop();
                return ControlFlow::Break(());
            }
        }
        ControlFlow::Continue(())
    }

    /// Puts a configuration in force unless it is older than the one that is.
    fn config(&mut self, head: &Head, document: Document) {
        match self.revisions.offer(head.revision, head.digest()) {
            Adopt::Newer => {}
            Adopt::Same | Adopt::Older => return,
            Adopt::Conflict(conflict) => {
                log::error!(revision = head.revision.0; "{conflict}");
                return;
            }
        }
        log::info!(revision = head.revision.0, change = head.change.to_string().as_str(); "configuration in force");
        self.shared
            .metrics
            .revision
            .set(i64::try_from(head.revision.0).unwrap_or(i64::MAX));
        let ids = document.endpoints.keys().cloned().collect();
        self.feeds.follow(&self.shared, &document);
        self.weights.retain(|id, _| document.endpoints.contains_key(id));
        self.orders.configure(self.wanted(&document), self.addresses(&document));
        self.reported.retain(|id, _| document.endpoints.contains_key(id));
        self.document = Some(document);
        let changes = self.health.on(health::Event::Configured(ids), self.now());
        self.note(&changes);
        self.publish();
    }

    fn listed(&mut self, list: &VmList) {
        let listing = |state| match state {
            VmState::Live => Listing::Live,
            VmState::Leaving => Listing::Leaving,
        };
        let listed: BTreeMap<EndpointId, Listing> = list
            .vms
            .iter()
            .map(|vm| (EndpointId::from(vm.id.as_str()), listing(vm.state)))
            .collect();
        self.share(&listed);
        self.health_event(health::Event::Listed(listed));
    }

    /// Splits the limits of workspaces between the routers that the list names.
    fn share(&mut self, listed: &BTreeMap<EndpointId, Listing>) {
        let Some(document) = &self.document else { return };
        let live = listed.iter().filter(|(_, listing)| **listing == Listing::Live);
        let routers = live
            .filter(|(id, _)| !document.endpoints.contains_key(*id))
            .count()
            .max(1);
        let routers = u32::try_from(routers).unwrap_or(u32::MAX);
        let now = self.now();
        self.shares.observe(routers, Some(routers), now);
        // Routers do not tell each other yet where a workspace's requests arrive: the balancer spreads them evenly.
        if let Some(share) = self.shares.share(0.0, 0.0) {
            self.shared.limits.set_share(share, now);
        }
    }

    fn sighted(&mut self, id: &EndpointId, sighting: Sighting) {
        let endpoint = id.clone();
        match sighting {
            Sighting::Answered { incarnation, weights } => {
                let changed = self.learn_weights(id, weights);
                self.health_event(health::Event::Replied { endpoint, incarnation });
                if changed {
                    self.publish();
                }
            }
            Sighting::Reported(load) => self.reported(id, &load),
            Sighting::NotReached | Sighting::Broke => {
                self.health_event(health::Event::Failed {
                    endpoint,
                    failure: health::Failure::Broken,
                });
            }
            Sighting::Silent => {
                self.health_event(health::Event::Failed {
                    endpoint,
                    failure: health::Failure::Timeout,
                });
            }
        }
    }

    fn reported(&mut self, id: &EndpointId, load: &LoadSeen) {
        let report = Report {
            incarnation: load.incarnation,
            requests: load.requests,
            prefill: load.prefill,
            measured: load.asked,
        };
        let loaded = self.loads_weights(id);
        self.reported.insert(id.clone(), load.clone());
        let changed = self.learn_weights(id, load.weights.clone()) || loaded != self.loads_weights(id);
        self.health_event(health::Event::Report(health::Report {
            endpoint: id.clone(),
            incarnation: load.incarnation,
            leaving: load.leaving,
            own: true,
            at: load.asked,
        }));
        if changed || self.incarnation_is_new(id) {
            self.publish();
        }
        self.shared
            .pools
            .with_member(id, |state, key| state.report(key, report));
    }

    /// Whether traffic does not know the endpoint's life yet; the first life of an endpoint is no change of health.
    fn incarnation_is_new(&self, id: &EndpointId) -> bool {
        let view = self.shared.view.load();
        let known = view.as_ref().map(|view| view.belief(id).incarnation);
        known != self.health.incarnation(id)
    }

    fn learn_weights(&mut self, id: &EndpointId, weights: Option<WeightsVersion>) -> bool {
        let Some(weights) = weights else { return false };
        self.weights.insert(id.clone(), weights.clone()).as_ref() != Some(&weights)
    }

    fn health_event(&mut self, event: health::Event) {
        let changes = self.health.on(event, self.now());
        if changes.is_empty() {
            return;
        }
        self.note(&changes);
        self.publish();
    }

    fn note(&self, changes: &[Change]) {
        for change in changes {
            match change {
                Change::Belief { endpoint, belief } => {
                    let belief = format!("{belief:?}").to_lowercase();
                    log::info!(endpoint = endpoint.as_str(), belief = belief.as_str(); "endpoint health changed");
                }
                Change::NewLife { endpoint, incarnation } => {
                    log::info!(endpoint = endpoint.as_str(), incarnation = incarnation.0; "endpoint restarted");
                }
            }
        }
    }

    fn tick(&mut self) {
        let runners = self.runners();
        self.orders.runners(runners);
        let fence = self.orders.fence().unwrap_or_default();
        self.shared
            .metrics
            .fence
            .set(i64::try_from(fence.0).unwrap_or(i64::MAX));
        for id in self.health.due_probes(self.now()) {
            if let Some(spec) = self.document.as_ref().and_then(|document| document.endpoints.get(&id)) {
                endpoint_feed::probe(&self.shared, &id, spec);
            }
        }
    }

    /// What the engines of this failure domain are to serve.
    fn wanted(&self, document: &Document) -> Vec<Wanted> {
        let own = document
            .endpoints
            .iter()
            .filter(|(_, spec)| spec.domain == self.shared.settings.domain);
        let wanted = own.filter_map(|(id, spec)| {
            let EndpointRole::Model(model) = &spec.role else {
                return None;
            };
            let weights = document.models.get(model)?.wanted.clone();
            Some(Wanted {
                endpoint: id.clone(),
                model: model.clone(),
                weights,
            })
        });
        wanted.collect()
    }

    fn addresses(&self, document: &Document) -> BTreeMap<EndpointId, SocketAddr> {
        document
            .endpoints
            .iter()
            .map(|(id, spec)| (id.clone(), spec.address))
            .collect()
    }

    /// The engines of this failure domain as last reported.
    fn runners(&self) -> Vec<Runner> {
        let Some(document) = &self.document else {
            return Vec::new();
        };
        let own = self.reported.iter().filter(|(id, _)| {
            document
                .endpoints
                .get(*id)
                .is_some_and(|spec| spec.domain == self.shared.settings.domain)
        });
        let runners = own.filter_map(|(id, load)| {
            Some(Runner {
                endpoint: id.clone(),
                incarnation: load.incarnation,
                model: load.model.clone()?,
                weights: load.weights.clone(),
                available: self.health.belief(id) == Belief::Live,
            })
        });
        runners.collect()
    }

    /// Replaces what traffic reads.
    fn publish(&self) {
        let Some(document) = &self.document else { return };
        let believed = document
            .endpoints
            .keys()
            .map(|id| (id.clone(), self.believed(id)))
            .collect();
        let view = Arc::new(View::new(self.revisions.current(), document.clone(), believed));
        self.count(&view);
        self.shared
            .pools
            .apply(&view, &self.shared.settings.domain, self.shared.clock);
        self.shared.view.store(Some(view));
    }

    fn believed(&self, id: &EndpointId) -> Believed {
        let standing = match self.health.belief(id) {
            _ if self.loads_weights(id) => Standing::Out,
            Belief::Live => Standing::Live,
            Belief::Suspected => Standing::Suspected,
            Belief::Leaving | Belief::Dead => Standing::Out,
        };
        Believed {
            standing,
            incarnation: self.health.incarnation(id).unwrap_or_default(),
            weights: self.weights.get(id).cloned(),
        }
    }

    /// An engine that loads weights serves nothing until it is done.
    fn loads_weights(&self, id: &EndpointId) -> bool {
        self.reported
            .get(id)
            .is_some_and(|load| load.model.is_some() && load.weights.is_none())
    }

    fn count(&self, view: &View) {
        for (name, standing) in [
            ("live", Standing::Live),
            ("suspected", Standing::Suspected),
            ("out", Standing::Out),
        ] {
            let count = view
                .believed
                .values()
                .filter(|believed| believed.standing == standing)
                .count();
            self.shared
                .metrics
                .endpoints
                .with_label_values(&[name])
                .set(count as i64);
        }
    }

    fn now(&self) -> Duration {
        self.shared.clock.now()
    }
}
