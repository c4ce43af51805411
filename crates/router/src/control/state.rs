//! State of the control thread, event dispatch, and the views it publishes to request tasks.

use super::endpoint_feed::Feeds;
use super::event::{AssembledConfig, Event, ObservedLoad};
use super::peering::Peering;
use crate::orders::Orders;
use crate::pool::RouterContext;
use crate::shared::Shared;
use crate::view::{Availability, EndpointState, View};
use admission::ShareView;
use config::Revisions;
use control::health::{EndpointHealth, HealthState};
use control::orders;
use control::startup::Startup;
use ids::{EndpointId, VmId, WeightsVersion};
use std::collections::{BTreeMap, HashMap};
use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::Duration;

/// All state of the control thread.
pub struct Control {
    pub(super) shared: Arc<Shared>,
    pub(super) revisions: Revisions,
    pub(super) startup: Option<Startup>,
    /// Configurations offered during startup, by the router that provided them.
    pub(super) candidates: BTreeMap<VmId, AssembledConfig>,
    pub(super) configured: Option<AssembledConfig>,
    pub(super) health: EndpointHealth,
    pub(super) weights: HashMap<EndpointId, WeightsVersion>,
    pub(super) reports: HashMap<EndpointId, ObservedLoad>,
    pub(super) feeds: Feeds,
    pub(super) shares: ShareView,
    pub(super) orders: Orders,
    pub(super) peering: Peering,
}

impl Control {
    /// Creates the state without a configuration.
    pub fn new(shared: Arc<Shared>, peering: Peering) -> Self {
        let seeds: Vec<VmId> = shared.settings.seeds.iter().map(|seed| seed.vm.clone()).collect();
        Self {
            orders: Orders::new(shared.clone()),
            startup: Some(Startup::new(&seeds, shared.clock.now())),
            candidates: BTreeMap::new(),
            revisions: Revisions::default(),
            configured: None,
            health: EndpointHealth::default(),
            weights: HashMap::new(),
            reports: HashMap::new(),
            feeds: Feeds::default(),
            shares: ShareView::new(1),
            peering,
            shared,
        }
    }

    /// Handles one event; breaks on [`Event::Stop`].
    pub fn on(&mut self, event: Event) -> ControlFlow<()> {
        match event {
            Event::Config(configured) => self.platform_config(*configured),
            Event::ConfigEmpty => self.startup_event(control::startup::Event::PlatformEmpty),
            Event::ConfigFailed => self.startup_event(control::startup::Event::PlatformFailed),
            Event::PeerConfig(peer, configured) => {
                self.fetch_ended(&peer);
                self.peer_config(peer, *configured);
            }
            Event::PeerConfigFailed(peer) => {
                self.fetch_ended(&peer);
                self.startup_event(control::startup::Event::PeerFailed(peer));
            }
            Event::Peer(event) => self.peer_event(event),
            Event::Pressures(pressures) => self.shared.pools.seed_pressures(&pressures),
            Event::Vms(list) => self.vms_listed(&list),
            Event::Endpoint(id, observation) => self.observed(&id, observation),
            Event::Orders(event) => self.orders.on(event),
            Event::Tick => self.tick(),
            Event::Leave => self.start_leaving(),
            Event::Stop => {
                self.feeds.stop();
                self.peering.stop();
                return ControlFlow::Break(());
            }
        }
        ControlFlow::Continue(())
    }

    fn tick(&mut self) {
        self.startup_event(control::startup::Event::Tick);
        self.peering_tick();
        self.probe_endpoints();
        self.orders.on(orders::Event::Tick);
        let fence = self.orders.fence();
        if fence.is_some() {
            // Only the lease holder needs the state of all runners.
            let runners = self.runners();
            self.orders.set_runners(runners);
        }
        let fence = fence.unwrap_or_default();
        self.shared
            .metrics
            .fence
            .set(i64::try_from(fence.0).unwrap_or(i64::MAX));
    }

    /// Starts shutdown: gives up the order lease and announces to peers that this router is leaving. Requests in
    /// flight continue.
    fn start_leaving(&mut self) {
        self.orders.on(orders::Event::Stop);
        self.peering_leave();
    }

    /// Publishes a new view to request tasks.
    pub(super) fn publish(&self) {
        let Some(configured) = &self.configured else { return };
        let document = &configured.document;
        let states = document
            .endpoints
            .keys()
            .map(|id| (id.clone(), self.endpoint_state(id)));
        let view = View::new(self.revisions.current(), document.clone(), states.collect());
        let view = Arc::new(view);
        let router = RouterContext {
            domain: &self.shared.settings.domain,
            routers: self.peering.membership.total(),
        };
        self.shared.pools.apply(&view, &router, self.shared.clock);
        self.shared.view.store(Some(view.clone()));
        // Metrics are updated last: once they show an endpoint as unavailable, it gets no new requests.
        self.count_endpoints(&view);
    }

    fn endpoint_state(&self, id: &EndpointId) -> EndpointState {
        let availability = match self.health.state(id) {
            _ if self.is_loading(id) => Availability::Unavailable,
            HealthState::Live => Availability::Live,
            HealthState::Suspected => Availability::Suspected,
            HealthState::Leaving | HealthState::Dead => Availability::Unavailable,
        };
        EndpointState {
            availability,
            incarnation: self.health.incarnation(id).unwrap_or_default(),
            weights: self.weights.get(id).cloned(),
        }
    }

    fn count_endpoints(&self, view: &View) {
        let availabilities = [
            ("live", Availability::Live),
            ("suspected", Availability::Suspected),
            ("out", Availability::Unavailable),
        ];
        for (name, availability) in availabilities {
            let count = view
                .endpoint_states
                .values()
                .filter(|state| state.availability == availability)
                .count();
            self.shared
                .metrics
                .endpoints
                .with_label_values(&[name])
                .set(count as i64);
        }
    }

    pub(super) fn now(&self) -> Duration {
        self.shared.clock.now()
    }
}
