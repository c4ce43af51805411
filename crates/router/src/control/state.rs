//! The control thread's state: what there is, which event goes where, and what traffic is told.

use super::endpoint_feed::Feeds;
use super::event::{Configured, Event, LoadSeen};
use super::peering::Peering;
use crate::orders::Orders;
use crate::pool::Around;
use crate::shared::Shared;
use crate::view::{Believed, Standing, View};
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
    /// Configurations read from peers while none is in force.
    pub(super) offered: BTreeMap<VmId, Configured>,
    pub(super) configured: Option<Configured>,
    pub(super) health: EndpointHealth,
    pub(super) weights: HashMap<EndpointId, WeightsVersion>,
    pub(super) reported: HashMap<EndpointId, LoadSeen>,
    pub(super) feeds: Feeds,
    pub(super) shares: ShareView,
    pub(super) orders: Orders,
    pub(super) peering: Peering,
}

impl Control {
    /// Knows nothing yet.
    pub fn new(shared: Arc<Shared>, peering: Peering) -> Self {
        let seeds: Vec<VmId> = shared.settings.seeds.iter().map(|seed| seed.vm.clone()).collect();
        Self {
            orders: Orders::new(shared.clone()),
            startup: Some(Startup::new(&seeds, shared.clock.now())),
            offered: BTreeMap::new(),
            revisions: Revisions::default(),
            configured: None,
            health: EndpointHealth::default(),
            weights: HashMap::new(),
            reported: HashMap::new(),
            feeds: Feeds::default(),
            shares: ShareView::new(1),
            peering,
            shared,
        }
    }

    /// Takes one event; breaks at the end.
    pub fn on(&mut self, event: Event) -> ControlFlow<()> {
        match event {
            Event::Config(configured) => self.platform_offers(*configured),
            Event::ConfigEmpty => self.start_event(control::startup::Event::PlatformEmpty),
            Event::ConfigFailed => self.start_event(control::startup::Event::PlatformFailed),
            Event::PeerConfig(peer, configured) => {
                self.fetched(&peer);
                self.peer_offers(peer, *configured);
            }
            Event::PeerConfigFailed(peer) => {
                self.fetched(&peer);
                self.start_event(control::startup::Event::PeerFailed(peer));
            }
            Event::Peer(event) => self.peer_event(event),
            Event::Pressures(pressures) => self.shared.pools.assume(&pressures),
            Event::Vms(list) => self.listed(&list),
            Event::Endpoint(id, sighting) => self.sighted(&id, sighting),
            Event::Orders(event) => self.orders.on(event),
            Event::Tick => self.tick(),
            Event::Leave => self.leave(),
            Event::Stop => {
                self.feeds.stop();
                self.peering.stop();
                return ControlFlow::Break(());
            }
        }
        ControlFlow::Continue(())
    }

    fn tick(&mut self) {
        self.start_event(control::startup::Event::Tick);
        self.peering_tick();
        self.probe_endpoints();
        self.orders.on(orders::Event::Tick);
        let fence = self.orders.fence();
        if fence.is_some() {
            // Only who gives orders needs to look at all runners.
            let runners = self.runners();
            self.orders.runners(runners);
        }
        let fence = fence.unwrap_or_default();
        self.shared
            .metrics
            .fence
            .set(i64::try_from(fence.0).unwrap_or(i64::MAX));
    }

    /// Gives up what others can take over, while requests in flight go on.
    fn leave(&mut self) {
        self.orders.on(orders::Event::Stop);
        self.peering_leave();
    }

    /// Replaces what traffic reads.
    pub(super) fn publish(&self) {
        let Some(configured) = &self.configured else { return };
        let document = &configured.document;
        let believed = document.endpoints.keys().map(|id| (id.clone(), self.believed(id)));
        let view = View::new(self.revisions.current(), document.clone(), believed.collect());
        let view = Arc::new(view);
        let around = Around {
            domain: &self.shared.settings.domain,
            routers: self.peering.membership.total(),
        };
        self.shared.pools.apply(&view, &around, self.shared.clock);
        self.shared.view.store(Some(view.clone()));
        // Last: whoever reads that an endpoint is out must be able to rely on it.
        self.count(&view);
    }

    fn believed(&self, id: &EndpointId) -> Believed {
        let standing = match self.health.state(id) {
            _ if self.loads_weights(id) => Standing::Out,
            HealthState::Live => Standing::Live,
            HealthState::Suspected => Standing::Suspected,
            HealthState::Leaving | HealthState::Dead => Standing::Out,
        };
        Believed {
            standing,
            incarnation: self.health.incarnation(id).unwrap_or_default(),
            weights: self.weights.get(id).cloned(),
        }
    }

    fn count(&self, view: &View) {
        let standings = [
            ("live", Standing::Live),
            ("suspected", Standing::Suspected),
            ("out", Standing::Out),
        ];
        for (name, standing) in standings {
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

    pub(super) fn now(&self) -> Duration {
        self.shared.clock.now()
    }
}
