//! A follower's reports to the router that it follows.

use super::{CALL_TIMEOUT, message};
use crate::shared::Shared;
use dispatch::fleet::BacklogSource;
use ids::VmId;
use peers::{BacklogMessage, PeerError, ReportMessage, TotalsMessage, Upstream};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a router that did not answer is not tried again.
const BACKOFF: Duration = Duration::from_secs(2);

/// Interval between exchanges of the speeds of endpoints, which change only over tens of seconds.
const SPEEDS_INTERVAL: Duration = Duration::from_secs(1);

/// The connection to the router that collects this router's reports.
#[derive(Default)]
pub(super) struct Reporter {
    connected: Option<(VmId, Upstream)>,
    /// Routers that did not answer, and when each may be tried again.
    backoff: HashMap<VmId, Duration>,
    /// When the speeds of endpoints were last exchanged.
    speeds_at: Option<Duration>,
}

impl Reporter {
    /// Reports to the first collector that answers and applies its response.
    pub(super) async fn report(&mut self, shared: &Shared, collectors: &[(VmId, SocketAddr)]) {
        let now = shared.clock.now();
        self.backoff.retain(|_, until| now < *until);
        let Some((vm, address)) = collectors.iter().find(|(vm, _)| !self.backoff.contains_key(vm)) else {
            return;
        };
        let speeds_due = self
            .speeds_at
            .is_none_or(|at| now.saturating_sub(at) >= SPEEDS_INTERVAL);
        let usage = shared.quotas().unreported();
        let incidents = message::Incidents::repeated(shared);
        let (own, patients) = message::usage(&usage);
        let report = {
            let fleet = shared.fleet();
            ReportMessage {
                router: shared.settings.load().vm.clone(),
                backlog: BacklogMessage {
                    speeds: speeds_due.then(|| message::speeds(fleet.own_speeds(now))),
                    ..message::backlog(fleet.own_backlog(now), &fleet, incidents, now)
                },
                usage: own,
                patient_usage: patients,
            }
        };
        let totals = match self.call(vm, *address, report).await {
            Ok(Some(totals)) => totals,
            Ok(None) => return self.drop_collector(shared, vm, "it collects no reports"),
            Err(err) => return self.drop_collector(shared, vm, &err.to_string()),
        };
        let now = shared.clock.now();
        if speeds_due {
            self.speeds_at = Some(now);
        }
        shared.metrics.news.with_label_values(&["report", "ok"]).inc();
        let levels = message::parse_levels(totals.levels, totals.demand);
        shared.quotas().apply_levels(&usage, &levels, now);
        message::apply_backlog(shared, BacklogSource::Upstream, totals.backlog, now);
    }

    async fn call(
        &mut self,
        vm: &VmId,
        address: SocketAddr,
        report: ReportMessage,
    ) -> Result<Option<TotalsMessage>, PeerError> {
        let upstream = match self.connected.take().filter(|(known, _)| known == vm) {
            Some((_, upstream)) => upstream,
            None => {
                let upstream = Upstream::connect(address, CALL_TIMEOUT).await?;
                log::info!(router = vm.as_str(); "news: reporting to another router");
                upstream
            }
        };
        let totals = upstream.report(report, CALL_TIMEOUT).await?;
        self.connected = Some((vm.clone(), upstream));
        Ok(totals)
    }

    fn drop_collector(&mut self, shared: &Shared, vm: &VmId, why: &str) {
        log::info!(router = vm.as_str(), why = why; "news: stopped reporting to a router");
        shared.metrics.news.with_label_values(&["report", "failed"]).inc();
        self.connected = None;
        self.backoff.insert(vm.clone(), shared.clock.now() + BACKOFF);
    }
}
