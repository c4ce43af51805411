//! One endpoint of a pool.

use super::state::{PickContext, RouterContext};
use crate::view::EndpointState;
use admission::EndpointLimit;
use config::EndpointSpec;
use ids::{EndpointId, Incarnation};
use placement::EndpointKey;
use std::net::SocketAddr;

/// An endpoint of a pool with its load from this router.
#[derive(Debug)]
pub struct Member {
    pub(super) key: EndpointKey,
    pub(super) id: EndpointId,
    pub(super) address: SocketAddr,
    pub(super) same_domain: bool,
    pub(super) state: EndpointState,
    /// Adaptive limit, at most this router's share of the slots; the sum over a pool is its capacity.
    pub(super) limit: EndpointLimit,
    /// Maximum number of requests the endpoint runs, over all routers.
    pub(super) slots: u32,
    over_limit: u32,
}

impl Member {
    pub(super) fn new(id: &EndpointId, spec: &EndpointSpec) -> Self {
        Self {
            key: EndpointKey::from(id),
            id: id.clone(),
            address: spec.address,
            same_domain: false,
            state: EndpointState::default(),
            limit: EndpointLimit::new(spec.slots),
            slots: spec.slots,
            over_limit: 0,
        }
    }

    /// Applies configuration and state. Returns whether the endpoint restarted. The first known incarnation is no
    /// restart, so state learned from responses before the first load report is kept.
    pub(super) fn update(&mut self, spec: &EndpointSpec, state: EndpointState, router: &RouterContext<'_>) -> bool {
        let known = self.state.incarnation != Incarnation::default();
        let restarted = known && state.incarnation != self.state.incarnation;
        self.address = spec.address;
        self.same_domain = spec.domain == *router.domain;
        self.state = state;
        self.slots = spec.slots;
        self.limit.set_slots(spec.slots.div_ceil(router.routers.max(1)));
        restarted
    }

    /// Whether the request may be placed here. An endpoint with unknown weights is accepted: its response names the
    /// weights that served.
    pub(super) fn accepts(&self, context: &PickContext<'_>) -> bool {
        if context.excluded.contains(&self.key) {
            return false;
        }
        match (context.weights.is_empty(), &self.state.weights) {
            (false, Some(served)) => context.weights.contains(served),
            _ => true,
        }
    }

    /// Requests of this router in flight here.
    pub(super) fn running(&self) -> u32 {
        self.limit.in_flight() + self.over_limit
    }

    pub(super) fn start(&mut self) {
        if !self.limit.start() {
            self.over_limit += 1;
        }
    }

    pub(super) fn end(&mut self) {
        if self.over_limit > 0 {
            self.over_limit -= 1;
            return;
        }
        // An endpoint that was removed from the configuration and added again does not count its earlier requests.
        if self.limit.in_flight() > 0 {
            self.limit.end();
        }
    }
}
