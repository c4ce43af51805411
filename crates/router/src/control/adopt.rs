//! Which configuration is in force: the first after a start, and each newer one.

use super::event::Configured;
use super::state::Control;
use config::{Adopt, Document, EndpointRole};
use control::health;
use control::orders::{self, Assignment};
use control::startup::{Event, NotReady, Offer, Start};
use ids::{EndpointId, VmId};
use std::collections::BTreeMap;
use std::net::SocketAddr;

impl Control {
    /// The platform's configuration; it is the newest there is, but for what a peer heard a moment later.
    pub(super) fn platform_offers(&mut self, configured: Configured) {
        if self.startup.is_none() {
            self.adopt(configured);
            return;
        }
        let offer = offer(&configured);
        self.offered.insert(self.shared.settings.vm.clone(), configured);
        self.start_event(Event::Platform(offer));
    }

    /// A peer's configuration.
    pub(super) fn peer_offers(&mut self, peer: VmId, configured: Configured) {
        if self.startup.is_none() {
            self.adopt(configured);
            return;
        }
        let offer = offer(&configured);
        self.offered.insert(peer.clone(), configured);
        self.start_event(Event::Peer(peer, Some(offer)));
    }

    /// Lets a start go on; without effect once a configuration is in force.
    pub(super) fn start_event(&mut self, event: Event) {
        let now = self.now();
        let Some(startup) = &mut self.startup else { return };
        match startup.on(event, now) {
            Start::NotReady(reason) => self.not_ready(reason),
            Start::With(offer) => {
                let found = self.offered.values().find(|one| one.head.digest() == offer.digest);
                if let Some(configured) = found.cloned() {
                    self.startup = None;
                    self.offered.clear();
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

    /// Puts a configuration in force unless it is older than the one that is.
    fn adopt(&mut self, configured: Configured) {
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
        self.reported.retain(|id, _| document.endpoints.contains_key(id));
        let (wanted, addresses) = (self.wanted(document), addresses(document));
        self.orders.configure(wanted, addresses);
        self.configured = Some(configured);
        let changes = self.health.on(health::Event::Configured(ids), self.now());
        self.note(&changes);
        self.watch_endpoints();
        self.publish();
        self.tell_peers_now();
    }

    /// What the engines of this failure domain are to serve.
    fn wanted(&self, document: &Document) -> Vec<Assignment> {
        let own = document
            .endpoints
            .iter()
            .filter(|(_, spec)| spec.domain == self.shared.settings.domain);
        let wanted = own.filter_map(|(id, spec)| {
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
        wanted.collect()
    }

    /// The engines of this failure domain as last reported.
    pub(super) fn runners(&self) -> Vec<orders::Runner> {
        let Some(configured) = &self.configured else {
            return Vec::new();
        };
        let endpoints = &configured.document.endpoints;
        let near = |id: &EndpointId| {
            endpoints
                .get(id)
                .is_some_and(|spec| spec.domain == self.shared.settings.domain)
        };
        let runners = self
            .reported
            .iter()
            .filter(|(id, _)| near(id))
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

fn offer(configured: &Configured) -> Offer {
    Offer {
        revision: configured.head.revision,
        digest: configured.head.digest(),
    }
}

fn addresses(document: &Document) -> BTreeMap<EndpointId, SocketAddr> {
    let endpoints = document.endpoints.iter();
    endpoints.map(|(id, spec)| (id.clone(), spec.address)).collect()
}
