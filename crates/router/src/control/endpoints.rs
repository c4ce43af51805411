//! What is believed of endpoints, from the platform's list, their reports, and what traffic met.

use super::endpoint_feed;
use super::event::{LoadSeen, Sighting};
use super::state::Control;
use config::EndpointRole;
use control::health::{self, Change, Listing};
use control::rendezvous;
use ids::{EndpointId, WeightsVersion};
use placement::Report;
use std::collections::BTreeMap;
use wire::platform::{VmList, VmState};

/// Endpoints that a router watches at most beyond those of its own failure domain. At today's sizes a router knows the
/// load of all endpoints; in a large fleet only that of its own domain, since reading 6,800 reports would cost more
/// than the control budget of a node.
const FAR_WATCHED: usize = 64;

impl Control {
    /// The platform's list names routers and endpoints alike.
    pub(super) fn listed(&mut self, list: &VmList) {
        let listing = |state| match state {
            VmState::Live => Listing::Live,
            VmState::Leaving => Listing::Draining,
        };
        let entries = list.vms.iter();
        let listed: BTreeMap<EndpointId, Listing> = entries
            .map(|vm| (EndpointId::from(vm.id.as_str()), listing(vm.state)))
            .collect();
        self.routers_listed(list);
        self.health_event(health::Event::Listed(listed));
    }

    /// Reads the reports of the endpoints that are this router's to watch.
    pub(super) fn watch_endpoints(&mut self) {
        let Some(configured) = &self.configured else { return };
        let lasting = self.peering.membership.not_leaving();
        let own = &self.shared.settings;
        let all = &configured.document.endpoints;
        let far_too = all.len() <= FAR_WATCHED;
        let mine = all.iter().filter(|(id, spec)| {
            let near = spec.domain == own.domain;
            (near || far_too) && rendezvous::watches(&own.vm, id, &lasting)
        });
        let mine = mine.map(|(id, spec)| (id.clone(), spec.clone())).collect();
        self.feeds.follow(&self.shared, &mine);
    }

    pub(super) fn sighted(&mut self, id: &EndpointId, sighting: Sighting) {
        let endpoint = id.clone();
        match sighting {
            Sighting::Answered { incarnation, weights } => {
                let changed = self.learn_weights(id, weights);
                self.health_event(health::Event::Replied { endpoint, incarnation });
                if changed {
                    self.publish();
                }
            }
            Sighting::Leaves { incarnation } => self.leaves(id, incarnation),
            Sighting::Reported(load) => self.reported(id, load),
            Sighting::NotReached | Sighting::Broke => {
                let failure = health::Failure::Connection;
                self.health_event(health::Event::Failed { endpoint, failure });
            }
            Sighting::Silent => {
                let failure = health::Failure::Timeout;
                self.health_event(health::Event::Failed { endpoint, failure });
            }
        }
    }

    /// An endpoint's own word that it takes no new work is a report without a load.
    fn leaves(&mut self, id: &EndpointId, incarnation: Option<ids::Incarnation>) {
        let Some(incarnation) = incarnation.or(self.health.incarnation(id)) else {
            return;
        };
        self.health_event(health::Event::Report(health::Report {
            endpoint: id.clone(),
            incarnation,
            draining: true,
            own: true,
            at: self.now(),
        }));
    }

    pub(super) fn reported(&mut self, id: &EndpointId, mut load: LoadSeen) {
        load.model = load.model.or_else(|| self.configured_model(id));
        let loaded = self.loads_weights(id);
        let changed = self.learn_weights(id, load.weights.clone());
        let report = Report {
            incarnation: load.incarnation,
            requests: load.running + load.waiting,
            prefill: load.prefill,
            measured: load.asked,
        };
        let health = health::Report {
            endpoint: id.clone(),
            incarnation: load.incarnation,
            draining: load.leaving,
            own: load.own,
            at: load.asked,
        };
        self.reported.insert(id.clone(), load);
        self.health_event(health::Event::Report(health));
        if changed || loaded != self.loads_weights(id) || self.incarnation_is_new(id) {
            self.publish();
        }
        self.shared
            .pools
            .with_member(id, |state, key| state.report(key, report));
    }

    /// Peers' reports leave out the model that the configuration names.
    fn configured_model(&self, id: &EndpointId) -> Option<ids::ModelId> {
        let spec = self.configured.as_ref()?.document.endpoints.get(id)?;
        match &spec.role {
            EndpointRole::Model(model) => Some(model.clone()),
            EndpointRole::Service(_) => None,
        }
    }

    /// Whether traffic does not know the endpoint's life yet; the first life of an endpoint is no change of health.
    fn incarnation_is_new(&self, id: &EndpointId) -> bool {
        let view = self.shared.view.load();
        let known = view.as_ref().map(|view| view.belief(id).incarnation);
        known != self.health.incarnation(id)
    }

    /// An engine that loads weights serves nothing until it is done.
    pub(super) fn loads_weights(&self, id: &EndpointId) -> bool {
        self.reported
            .get(id)
            .is_some_and(|load| load.model.is_some() && load.weights.is_none())
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
        self.tell_peers_now();
    }

    pub(super) fn note(&self, changes: &[Change]) {
        for change in changes {
            match change {
                Change::State { endpoint, state } => {
                    let state = format!("{state:?}").to_lowercase();
                    log::info!(endpoint = endpoint.as_str(), belief = state.as_str(); "endpoint health changed");
                }
                Change::Restarted { endpoint, incarnation } => {
                    log::info!(endpoint = endpoint.as_str(), incarnation = incarnation.0; "endpoint restarted");
                }
            }
        }
    }

    pub(super) fn probe_endpoints(&mut self) {
        for id in self.health.due_probes(self.now()) {
            let spec = self
                .configured
                .as_ref()
                .and_then(|configured| configured.document.endpoints.get(&id));
            if let Some(spec) = spec {
                endpoint_feed::probe(&self.shared, &id, spec);
            }
        }
    }
}
