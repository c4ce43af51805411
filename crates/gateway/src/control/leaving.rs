//! Endpoints that have stated on their answers that they leave.

use super::Control;
use super::event::LeavingSource;
use dispatch::leaving::LeavingEndpoint;
use dispatch::roster::LeavingChange;
use std::sync::Arc;
use std::time::Duration;

impl Control {
    pub(super) fn endpoint_leaves(&mut self, endpoint: LeavingEndpoint, source: LeavingSource, now: Duration) {
        let (id, incarnation) = (endpoint.id.clone(), endpoint.incarnation);
        let change = match self.roster.mark_leaving(endpoint, now) {
            LeavingChange::Known => return,
            LeavingChange::New => None,
            LeavingChange::Draining(change) => Some(change),
        };
        match source {
            LeavingSource::Answer => {
                log::info!(endpoint = id.as_str(), life = incarnation.0; "endpoint: states that it leaves");
            }
            LeavingSource::Router => {
                log::info!(endpoint = id.as_str(), life = incarnation.0; "endpoint: leaves, received from another router");
            }
        }
        self.apply_roster(change.into_iter().collect(), now);
        self.publish_leaving(now);
        self.shared.news_changed();
    }

    /// Publishes what other routers are told.
    pub(super) fn publish_leaving(&self, now: Duration) {
        let told: Vec<LeavingEndpoint> = self.roster.unshown_leaving(now).collect();
        if **self.shared.leaving.load() != told {
            self.shared.leaving.store(Arc::new(told));
        }
    }
}
