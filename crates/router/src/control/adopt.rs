//! Selects the configuration in force: at startup, and each newer one after that.

use super::event::AssembledConfig;
use super::state::Control;
use config::{Adopt, Document, EndpointRole};
use control::health;
use control::orders::{self, Assignment};
use control::startup::{Event, NotReady, Offer, Start};
use ids::{EndpointId, VmId};
use std::collections::BTreeMap;
use std::net::SocketAddr;

impl Control {
    /// Handles the platform's configuration. It is the newest unless a peer received a newer one in the meantime.
    pub(super) fn platform_config(&mut self, configured: AssembledConfig) {
        if self.startup.is_none() {
            self.adopt(configured);
            return;
        }
        let offer = offer(&configured);
        self.candidates.insert(self.shared.settings.vm.clone(), configured);
        self.startup_event(Event::Platform(offer));
    }

    /// Handles a peer's configuration.
    pub(super) fn peer_config(&mut self, peer: VmId, configured: AssembledConfig) {
        if self.startup.is_none() {
            self.adopt(configured);
            return;
        }
        let offer = offer(&configured);
        self.candidates.insert(peer.clone(), configured);
        self.startup_event(Event::Peer(peer, Some(offer)));
    }

    /// Advances startup; no effect once a configuration is in force.
    pub(super) fn startup_event(&mut self, event: Event) {
        let now = self.now();
        let Some(startup) = &mut self.startup else { return };
        match startup.on(event, now) {
            Start::NotReady(reason) => self.not_ready(reason),
            Start::With(offer) => {
                let found = self.candidates.values().find(|one| one.head.digest() == offer.digest);
                if let Some(configured) = found.cloned() {
                    self.startup = None;
                    self.candidates.clear();
                    self.adopt(configured);
                }
            }
        }
    }

    fn not_ready(&self, reason: NotReady) {
        let before = self.shared.not_ready.swap(std::sync::Arc::new(reason));
        if *before != reason {
            log::warn!("not ready: {reason}");
        }
    }

    /// Adopts a configuration if it is newer than the current one.
    fn adopt(&mut self, configured: AssembledConfig) {
        let head = &configured.head;
        match self.revisions.offer(head.revision, head.digest()) {
            Adopt::Newer => {}
            Adopt::Same | Adopt::Older => return,
            Adopt::Conflict(conflict) => {
                log::error!(revision = head.revision.0; "{conflict}");
                return;
            }
        }
        let change = head.change.to_string();
        log::info!(revision = head.revision.0, change = change.as_str(); "configuration in force");
        let revision = i64::try_from(head.revision.0).unwrap_or(i64::MAX);
        self.shared.metrics.revision.set(revision);
        let document = &configured.document;
        let ids = document.endpoints.keys().cloned().collect();
        self.weights.retain(|id, _| document.endpoints.contains_key(id));
        self.reports.retain(|id, _| document.endpoints.contains_key(id));
        let (assignments, addresses) = (self.assignments(document), addresses(document));
        self.orders.configure(assignments, addresses);
        self.configured = Some(configured);
        let changes = self.health.on(health::Event::Configured(ids), self.now());
        self.log_changes(&changes);
        self.watch_endpoints();
        self.publish();
        self.publish_now_to_peers();
    }

    /// The weights assigned to the engines of this failure domain.
    fn assignments(&self, document: &Document) -> Vec<Assignment> {
        let own = document
            .endpoints
            .iter()
            .filter(|(_, spec)| spec.domain == self.shared.settings.domain);
        let assignments = own.filter_map(|(id, spec)| {
            let EndpointRole::Model(model) = &spec.role else {
                return None;
            };
            let weights = document.models.get(model)?.wanted.clone();
            Some(Assignment {
                endpoint: id.clone(),
                model: model.clone(),
                weights,
            })
        });
        assignments.collect()
    }

    /// The engines of this failure domain, as last reported.
    pub(super) fn runners(&self) -> Vec<orders::Runner> {
        let Some(configured) = &self.configured else {
            return Vec::new();
        };
        let endpoints = &configured.document.endpoints;
        let same_domain = |id: &EndpointId| {
            endpoints
                .get(id)
                .is_some_and(|spec| spec.domain == self.shared.settings.domain)
        };
        let runners = self
            .reports
            .iter()
            .filter(|(id, _)| same_domain(id))
            .filter_map(|(id, load)| {
                Some(orders::Runner {
                    endpoint: id.clone(),
                    incarnation: load.incarnation,
                    model: load.model.clone()?,
                    weights: load.weights.clone(),
                    available: self.health.state(id) == health::HealthState::Live,
                })
            });
        runners.collect()
    }
}

fn offer(configured: &AssembledConfig) -> Offer {
    Offer {
        revision: configured.head.revision,
        digest: configured.head.digest(),
    }
}

fn addresses(document: &Document) -> BTreeMap<EndpointId, SocketAddr> {
    let endpoints = document.endpoints.iter();
    endpoints.map(|(id, spec)| (id.clone(), spec.address)).collect()
}
