//! The answers of a router that collects reports.

use super::message;
use crate::shared::Shared;
use dispatch::fleet::BacklogSource;
use dispatch::quotas::Subtotal;
use peers::{BacklogMessage, ReportMessage, SubtotalMessage, TotalsMessage};

/// Handles a follower's report. Returns none if this router collects no reports; the follower then keeps its report for
/// another router.
pub fn handle_report(shared: &Shared, report: ReportMessage) -> Option<TotalsMessage> {
    let now = shared.clock.now();
    let usage = message::parse_usage(report.usage, report.patient_usage);
    let levels = {
        let mut quotas = shared.quotas();
        if !quotas.is_watcher() {
            return None;
        }
        quotas.receive_report(&report.router, &usage, now)
    };
    let source = BacklogSource::Follower(report.router.clone());
    let has_speeds = report.backlog.speeds.is_some();
    message::apply_backlog(shared, source, report.backlog, now);
    // The other watchers learn of it with the next subtotal.
    shared.news_changed();
    let (levels, demand) = message::levels(&levels);
    let incidents = message::Incidents::repeated(shared);
    let fleet = shared.fleet();
    let backlog = fleet.backlog_without(&report.router, now);
    let speeds = has_speeds.then(|| message::speeds(fleet.speeds_without(&report.router, now)));
    Some(TotalsMessage {
        backlog: BacklogMessage {
            speeds,
            ..message::backlog(backlog, &fleet, incidents, now)
        },
        levels,
        demand,
    })
}

/// Handles the subtotal of another router that collects reports.
pub fn handle_subtotal(shared: &Shared, mut subtotal: SubtotalMessage) {
    let now = shared.clock.now();
    if subtotal.domain != shared.settings.load().domain {
        // What routers of another domain can't reach may be reachable from here.
        subtotal.backlog.unreachable.clear();
    }
    let source = BacklogSource::Watcher(subtotal.router.clone());
    message::apply_backlog(shared, source, subtotal.backlog, now);
    let usage = Subtotal {
        routers: subtotal.routers,
        totals: message::parse_usage(subtotal.usage, subtotal.patient_usage),
    };
    shared
        .quotas()
        .receive_subtotal(&subtotal.router, subtotal.incarnation, &usage, now);
}
