//! Load reports of endpoints, received from the endpoints or from other routers.

use super::endpoint_state::ReceivedReport;
use super::{Fleet, LoadReport, LoadUpdate, ShortKey};
use ids::EndpointId;
use std::collections::HashMap;
use std::time::Duration;

impl Fleet {
    /// Records the load that an endpoint reported to this router.
    pub fn record_load(&mut self, id: &EndpointId, report: LoadReport, now: Duration) {
        if let Some(state) = self.endpoints.get_mut(id) {
            if report.work_time.is_some() {
                self.speeds.enable(&state.entry.service);
            }
            state.record_report(ReceivedReport {
                report,
                reported_at: now,
                received_at: now,
                direct: true,
            });
        }
    }

    /// Returns the reports received after `since`; with `own`, only those that endpoints sent to this router.
    pub fn loads_since(&self, since: Duration, own: bool) -> Vec<LoadUpdate> {
        let updates = self
            .endpoints
            .values()
            .filter_map(|state| Some((state.key, state.report()?)));
        let updates = updates.filter(|(_, received)| received.received_at > since && (received.direct || !own));
        let updates = updates.map(|(key, received)| LoadUpdate {
            endpoint: ShortKey::from(key),
            report: received.report,
            reported_at: received.reported_at,
        });
        updates.collect()
    }

    /// Merges load reports that a peer received. In a large pool a router reaches an endpoint only once in
    /// ten seconds, but its neighbours together reach it several times a second.
    pub fn merge_loads(&mut self, updates: &[LoadUpdate], now: Duration) {
        let updates: HashMap<ShortKey, &LoadUpdate> = updates.iter().map(|update| (update.endpoint, update)).collect();
        for state in self.endpoints.values_mut() {
            if let Some(update) = updates.get(&ShortKey::from(state.key)) {
                if update.report.work_time.is_some() {
                    self.speeds.enable(&state.entry.service);
                }
                state.record_report(ReceivedReport {
                    report: update.report,
                    reported_at: update.reported_at,
                    received_at: now,
                    direct: false,
                });
            }
        }
    }
}
