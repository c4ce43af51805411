//! One endpoint of a pool.

use super::state::{Around, Wish};
use crate::view::Believed;
use admission::EndpointLimit;
use config::EndpointSpec;
use ids::{EndpointId, Incarnation};
use placement::EndpointKey;
use std::net::SocketAddr;

/// One endpoint of a pool, as this router sees it.
#[derive(Debug)]
pub struct Member {
    pub(super) key: EndpointKey,
    pub(super) id: EndpointId,
    pub(super) address: SocketAddr,
    pub(super) near: bool,
    pub(super) believed: Believed,
    /// Adapts below this router's share of the slots; the sum over a pool is its capacity.
    pub(super) limit: EndpointLimit,
    /// What the endpoint runs at most, whoever sends it.
    pub(super) slots: u32,
    beyond: u32,
}

impl Member {
    pub(super) fn new(id: &EndpointId, spec: &EndpointSpec) -> Self {
        Self {
            key: EndpointKey::from(id),
            id: id.clone(),
            address: spec.address,
            near: false,
            believed: Believed::default(),
            limit: EndpointLimit::new(spec.slots),
            slots: spec.slots,
            beyond: 0,
        }
    }

    /// Takes over configuration and belief; true if this is another life than before. The first life that is heard of
    /// is no other one: what answers showed before the first load report holds.
    pub(super) fn update(&mut self, spec: &EndpointSpec, believed: Believed, around: &Around<'_>) -> bool {
        let known = self.believed.incarnation != Incarnation::default();
        let reborn = known && believed.incarnation != self.believed.incarnation;
        self.address = spec.address;
        self.near = spec.domain == *around.domain;
        self.believed = believed;
        self.slots = spec.slots;
        self.limit.set_slots(spec.slots.div_ceil(around.routers.max(1)));
        reborn
    }

    /// Whether a request may go here. An endpoint of unknown weights may: its answer names those that served.
    pub(super) fn fits(&self, wish: &Wish<'_>) -> bool {
        if wish.avoid.contains(&self.key) {
            return false;
        }
        match (wish.weights.is_empty(), &self.believed.weights) {
            (false, Some(served)) => wish.weights.contains(served),
            _ => true,
        }
    }

    /// Requests of this router running here.
    pub(super) fn running(&self) -> u32 {
        self.limit.in_flight() + self.beyond
    }

    pub(super) fn start(&mut self) {
        if !self.limit.start() {
            self.beyond += 1;
        }
    }

    pub(super) fn end(&mut self) {
        if self.beyond > 0 {
            self.beyond -= 1;
            return;
        }
        // An endpoint that left the configuration and came back in between has forgotten its earlier requests.
        if self.limit.in_flight() > 0 {
            self.limit.end();
        }
    }
}
