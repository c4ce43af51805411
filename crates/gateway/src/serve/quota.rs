//! The charges of one request to the quota of its workspace.

use super::RoutedRequest;
use crate::shared::Shared;
use dispatch::quotas::{Admission, Class};
use dispatch::site::{Route, Site};
use ids::WorkspaceId;
use std::time::Duration;

/// Charges of an admitted request. Those of attempts that have certainly not run are returned at the end.
pub(super) struct QuotaCharge<'a> {
    shared: &'a Shared,
    workspace: Option<&'a WorkspaceId>,
    class: Class,
    cost: f64,
    charged: u32,
    /// Attempts that may have run.
    ran: u32,
}

impl<'a> QuotaCharge<'a> {
    /// Charges the first attempt of a request. If the quota is used up, returns the time after which the client should
    /// retry.
    pub(super) fn admit(shared: &'a Shared, request: &RoutedRequest<'a>) -> Result<Self, Duration> {
        let (workspace, class) = (request.workspace, request.class);
        let free = Self {
            shared,
            workspace: None,
            class,
            cost: 0.0,
            charged: 0,
            ran: 0,
        };
        let Some(id) = workspace else { return Ok(free) };
        let now = shared.clock.now();
        let admission = shared
            .quotas()
            .admit(id, class, request.info.tokens, rand::random(), now);
        match admission {
            Admission::Unlimited => Ok(free),
            Admission::Granted(cost) => {
                shared.news_changed();
                Ok(Self {
                    workspace,
                    cost,
                    charged: 1,
                    ..free
                })
            }
            Admission::Denied(after) => {
                shared.news_changed();
                log_denial(shared, id, class, now);
                Err(after)
            }
        }
    }

    /// An attempt is about to be sent. Each one that may run counts.
    pub(super) fn attempt_starts(&mut self) {
        let Some(id) = self.workspace else { return };
        if self.ran >= self.charged {
            self.charged += 1;
            let now = self.shared.clock.now();
            self.shared.quotas().charge(id, self.class, self.cost, now);
        }
    }

    /// The attempt that was sent may have run.
    pub(super) fn attempt_ran(&mut self) {
        self.ran += 1;
    }
}

impl Drop for QuotaCharge<'_> {
    fn drop(&mut self) {
        let Some(id) = self.workspace else { return };
        let unused = self.charged.saturating_sub(self.ran);
        if unused > 0 {
            let now = self.shared.clock.now();
            let cost = self.cost * f64::from(unused);
            self.shared.quotas().refund(id, self.class, cost, now);
        }
    }
}

/// Class of a request on a route.
pub(super) fn class(site: &Site, route: &Route) -> Class {
    if site.is_patient(route) {
        Class::Patient
    } else {
        Class::Urgent
    }
}

fn log_denial(shared: &Shared, workspace: &WorkspaceId, class: Class, now: Duration) {
    let name = workspace.as_str();
    shared.metrics.over_quota.with_label_values(&[name]).inc();
    if class == Class::Patient {
        shared.metrics.over_quota_patient.with_label_values(&[name]).inc();
    }
    let Some(denial) = shared.quotas().denial(workspace, now) else {
        return;
    };
    let share = |class| denial.demand.map_or(denial.share, |demand| demand.share(class));
    log::info!(
        workspace = name,
        rate = denial.spec.rate,
        burst = denial.spec.burst,
        level = denial.level,
        share = denial.share,
        urgent_share = share(Class::Urgent),
        patient_share = share(Class::Patient),
        news_age_ms = denial.news_age.as_millis() as u64,
        denied = denial.count,
        patient_denied = denial.patient_count;
        "quota: requests refused"
    );
}
