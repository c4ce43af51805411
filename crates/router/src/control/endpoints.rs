//! State of endpoints, derived from the platform's list, load reports and observations of requests.

use super::endpoint_feed;
use super::event::{Observation, ObservedLoad};
use super::state::Control;
use config::EndpointRole;
use control::health::{self, Change, Listing};
use control::rendezvous;
use ids::{EndpointId, WeightsVersion};
use placement::Report;
use std::collections::BTreeMap;
use wire::platform::{VmList, VmState};

/// Largest fleet, in endpoints, in which a router also watches endpoints of other failure domains. In a larger fleet
/// it reads only the load of its own domain, since reading 6,800 reports would exceed the control budget of a node.
const REMOTE_WATCH_LIMIT: usize = 64;

impl Control {
    /// Applies the platform's list, which contains routers and endpoints.
    pub(super) fn vms_listed(&mut self, list: &VmList) {
        let listing = |state| match state {
            VmState::Live => Listing::Live,
            VmState::Leaving => Listing::Draining,
        };
        let entries = list.vms.iter();
        let listed: BTreeMap<EndpointId, Listing> = entries
            .map(|vm| (EndpointId::from(vm.id.as_str()), listing(vm.state)))
            .collect();
        self.update_listed_routers(list);
        self.health_event(health::Event::Listed(listed));
    }

    /// Updates the set of endpoints whose reports this router reads.
    pub(super) fn watch_endpoints(&mut self) {
        let Some(configured) = &self.configured else { return };
        let not_leaving = self.peering.membership.not_leaving();
        let own = &self.shared.settings;
        let all = &configured.document.endpoints;
        let include_remote = all.len() <= REMOTE_WATCH_LIMIT;
        let mine = all.iter().filter(|(id, spec)| {
            let same_domain = spec.domain == own.domain;
            (same_domain || include_remote) && rendezvous::watches(&own.vm, id, &not_leaving)
        });
        let mine = mine.map(|(id, spec)| (id.clone(), spec.clone())).collect();
        self.feeds.follow(&self.shared, &mine);
    }

    pub(super) fn observed(&mut self, id: &EndpointId, observation: Observation) {
        let endpoint = id.clone();
        match observation {
            Observation::Answered { incarnation, weights } => {
                let changed = self.record_weights(id, weights);
                self.health_event(health::Event::Replied { endpoint, incarnation });
                if changed {
                    self.publish();
                }
            }
            Observation::Draining { incarnation } => self.record_draining(id, incarnation),
            Observation::Reported(load) => self.record_report(id, load),
            Observation::ConnectFailed | Observation::ConnectionLost => {
                let failure = health::Failure::Connection;
                self.health_event(health::Event::Failed { endpoint, failure });
            }
            Observation::Timeout => {
                let failure = health::Failure::Timeout;
                self.health_event(health::Event::Failed { endpoint, failure });
            }
        }
    }

    /// A statement of an endpoint that it accepts no new requests is handled as a report without load.
    fn record_draining(&mut self, id: &EndpointId, incarnation: Option<ids::Incarnation>) {
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

    pub(super) fn record_report(&mut self, id: &EndpointId, mut load: ObservedLoad) {
        load.model = load.model.or_else(|| self.configured_model(id));
        let was_loading = self.is_loading(id);
        let changed = self.record_weights(id, load.weights.clone());
        let report = Report {
            incarnation: load.incarnation,
            requests: load.running + load.waiting,
            prefill: load.prefill,
            measured: load.requested,
        };
        let health = health::Report {
            endpoint: id.clone(),
            incarnation: load.incarnation,
            draining: load.draining,
            own: load.own,
            at: load.requested,
        };
        self.reports.insert(id.clone(), load);
        self.health_event(health::Event::Report(health));
        if changed || was_loading != self.is_loading(id) || self.incarnation_changed(id) {
            self.publish();
        }
        self.shared
            .pools
            .with_member(id, |state, key| state.report(key, report));
    }

    /// The configured model of an endpoint; reports of peers do not contain it.
    fn configured_model(&self, id: &EndpointId) -> Option<ids::ModelId> {
        let spec = self.configured.as_ref()?.document.endpoints.get(id)?;
        match &spec.role {
            EndpointRole::Model(model) => Some(model.clone()),
            EndpointRole::Service(_) => None,
        }
    }

    /// Whether the published view has another incarnation. The first known incarnation of an endpoint causes no
    /// health change.
    fn incarnation_changed(&self, id: &EndpointId) -> bool {
        let view = self.shared.view.load();
        let known = view.as_ref().map(|view| view.endpoint_state(id).incarnation);
        known != self.health.incarnation(id)
    }

    /// Whether the engine is loading weights; it serves no requests until it is done.
    pub(super) fn is_loading(&self, id: &EndpointId) -> bool {
        self.reports
            .get(id)
            .is_some_and(|load| load.model.is_some() && load.weights.is_none())
    }

    fn record_weights(&mut self, id: &EndpointId, weights: Option<WeightsVersion>) -> bool {
        let Some(weights) = weights else { return false };
        self.weights.insert(id.clone(), weights.clone()).as_ref() != Some(&weights)
    }

    fn health_event(&mut self, event: health::Event) {
        let changes = self.health.on(event, self.now());
        if changes.is_empty() {
            return;
        }
        self.log_changes(&changes);
        self.publish();
        self.publish_now_to_peers();
    }

    pub(super) fn log_changes(&self, changes: &[Change]) {
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
