//! What this router tells its peers.

use super::state::Control;
use control::rendezvous;
use ids::Digest;
use peers::{LoadReport, OfferedConfig, PublishedState};
use std::sync::Arc;

/// Thousands of prompt tokens, the unit of a load report between routers.
pub(super) const PREFILL_UNIT: u64 = 1_000;

impl Control {
    /// Tells peers at once what cannot wait for the next heartbeat.
    pub(super) fn tell_peers_now(&mut self) {
        let state = self.state_for_peers();
        self.peering.peers.publish_now(state);
    }

    pub(super) fn state_for_peers(&mut self) -> PublishedState {
        self.renew_offer();
        let peering = &self.peering;
        let membership = &peering.membership;
        PublishedState {
            leaving: peering.leaving,
            routers: u32::try_from(membership.live().len()).unwrap_or(u32::MAX),
            membership: membership.digest(),
            roster: membership.roster(self.now()),
            config: peering.offered.clone(),
            loads: self.loads_for_peers(),
            pressures: self.shared.pools.pressures(),
        }
    }

    fn renew_offer(&mut self) {
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

    /// Loads of the endpoints that this router reads first, for the others.
    fn loads_for_peers(&self) -> Vec<LoadReport> {
        let own = &self.shared.settings.vm;
        let lasting = self.peering.membership.not_leaving();
        let read = self.reported.iter().filter(|(_, load)| load.own);
        let mine = read.filter(|(id, _)| rendezvous::forwards_load(own, id, &lasting));
        let reports = mine.map(|(id, load)| LoadReport {
            endpoint: id.clone(),
            incarnation: load.incarnation,
            weights: load.weights.clone(),
            draining: load.leaving,
            running: load.running,
            waiting: load.waiting,
            prefill: u32::try_from(load.prefill.div_ceil(PREFILL_UNIT)).unwrap_or(u32::MAX),
        });
        reports.collect()
    }
}
