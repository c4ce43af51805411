//! The charges of one request to the quota of its workspace.

use crate::shared::Shared;
use dispatch::quotas::Admission;
use ids::WorkspaceId;
use std::time::Duration;

/// Charges of an admitted request. Those of attempts that have certainly not run are returned at the end.
pub(super) struct QuotaCharge<'a> {
    shared: &'a Shared,
    workspace: Option<&'a WorkspaceId>,
    cost: f64,
    charged: u32,
    /// Attempts that may have run.
    ran: u32,
}

impl<'a> QuotaCharge<'a> {
    /// Charges the first attempt of a request with `tokens`, if its head states them. If the quota is used up, returns
    /// the time after which the client should retry.
    pub(super) fn admit(
        shared: &'a Shared,
        workspace: Option<&'a WorkspaceId>,
        tokens: Option<u64>,
    ) -> Result<Self, Duration> {
        let free = Self {
            shared,
            workspace: None,
            cost: 0.0,
            charged: 0,
            ran: 0,
        };
        let Some(id) = workspace else { return Ok(free) };
        let now = shared.clock.now();
        let admission = shared.quotas().admit(id, tokens, rand::random(), now);
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
                log_denial(shared, id, now);
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
            self.shared.quotas().charge(id, self.cost, now);
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
            self.shared.quotas().refund(id, cost, now);
        }
    }
}

fn log_denial(shared: &Shared, workspace: &WorkspaceId, now: Duration) {
    let name = workspace.as_str();
    shared.metrics.over_quota.with_label_values(&[name]).inc();
    let Some(denial) = shared.quotas().denial(workspace, now) else {
        return;
    };
    log::info!(
        workspace = name,
        rate = denial.spec.rate,
        burst = denial.spec.burst,
        level = denial.level,
        share = denial.share,
        news_age_ms = denial.news_age.as_millis() as u64,
        denied = denial.count;
        "quota: requests refused"
    );
}
