//! Logs and metrics of the lanes of large pools.

use crate::metrics::Metrics;
use dispatch::fleet::LaneStatus;
use ids::ServiceId;
use std::collections::HashMap;
use std::time::Duration;

/// Shortest time between two log lines on one service.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The sizes of decode lanes that were logged last, and when.
#[derive(Default)]
pub(crate) struct LaneLog(HashMap<ServiceId, (usize, Duration)>);

impl LaneLog {
    /// Sets the gauges and logs changed sizes.
    pub(crate) fn record(&mut self, statuses: Vec<LaneStatus>, metrics: &Metrics, now: Duration) {
        self.remove_absent(&statuses, metrics);
        for status in statuses {
            let name = [status.service.as_str()];
            metrics
                .decode_lane
                .with_label_values(&name)
                .set(status.decode_lane as i64);
            let answers = status.load.answers.round();
            metrics.answers.with_label_values(&name).set(answers as i64);
            let logged = self.0.get(&status.service);
            if logged.is_some_and(|(size, at)| *size == status.decode_lane || now.saturating_sub(*at) < LOG_INTERVAL) {
                continue;
            }
            log::info!(
                service = name[0],
                decode_lane = status.decode_lane,
                engines = status.engines,
                answers = answers,
                prefill_rate = status.load.prefill_rate.round();
                "lanes: size changed"
            );
            self.0.insert(status.service, (status.decode_lane, now));
        }
    }

    /// Removes the gauges of services that no longer have a large pool.
    fn remove_absent(&mut self, statuses: &[LaneStatus], metrics: &Metrics) {
        self.0.retain(|service, _| {
            let is_present = statuses.iter().any(|status| status.service == *service);
            if !is_present {
                // A label that was never set is not an error here.
                let _ = metrics.decode_lane.remove_label_values(&[service.as_str()]);
                let _ = metrics.answers.remove_label_values(&[service.as_str()]);
            }
            is_present
        });
    }
}
