//! State that this router publishes to its peers.

use super::state::Control;
use control::rendezvous;
use ids::Digest;
use peers::{LoadReport, OfferedConfig, PublishedState};
use std::sync::Arc;

/// Unit of prompt tokens in a load report between routers.
pub(super) const PREFILL_UNIT: u64 = 1_000;

impl Control {
    /// Sends state to peers that must not wait for the next heartbeat.
    pub(super) fn publish_now_to_peers(&mut self) {
        let state = self.peer_state();
        self.peering.peers.publish_now(state);
    }

    pub(super) fn peer_state(&mut self) -> PublishedState {
        self.update_offer();
        let peering = &self.peering;
        let membership = &peering.membership;
        PublishedState {
            leaving: peering.leaving,
            routers: u32::try_from(membership.live().len()).unwrap_or(u32::MAX),
            membership: membership.digest(),
            roster: membership.roster(self.now()),
            config: peering.offered.clone(),
            loads: self.own_loads(),
            pressures: self.shared.pools.pressures(),
        }
    }

    fn update_offer(&mut self) {
        let Some(configured) = &self.configured else { return };
        let digest = configured.head.digest();
        if self
            .peering
            .offered
            .as_ref()
            .is_some_and(|known| known.digest == digest)
        {
            return;
        }
        let texts = configured.texts.values();
        let sections = texts.map(|text| (Digest::of(text.as_bytes()), text.clone()));
        self.peering.offered = Some(Arc::new(OfferedConfig {
            revision: configured.head.revision,
            digest,
            head: configured.head.text(),
            sections: sections.collect(),
        }));
    }

    /// Load reports that this router has to forward to its peers: those of the endpoints that it is responsible for
    /// reading.
    fn own_loads(&self) -> Vec<LoadReport> {
        let own = &self.shared.settings.vm;
        let not_leaving = self.peering.membership.not_leaving();
        let read = self.reports.iter().filter(|(_, load)| load.own);
        let mine = read.filter(|(id, _)| rendezvous::forwards_load(own, id, &not_leaving));
        let reports = mine.map(|(id, load)| LoadReport {
            endpoint: id.clone(),
            incarnation: load.incarnation,
            weights: load.weights.clone(),
            draining: load.draining,
            running: load.running,
            waiting: load.waiting,
            prefill: u32::try_from(load.prefill.div_ceil(PREFILL_UNIT)).unwrap_or(u32::MAX),
        });
        reports.collect()
    }
}
