//! Quotas of workspaces, kept by all routers together.
//!
//! Load pattern: one workspace sends several times its quota through all routers at once and takes the engines from
//! all others. A router sees a hundredth of it, often less than one request a second, so it can't tell from its own
//! requests, and an even split of a quota among hundreds of routers is less than one prompt. So routers spend first and
//! report: followers tell the router that they follow what they spent, these routers tell each other their subtotals,
//! and each follower learns the remaining level. A workspace within its quota is never delayed by this.
//!
//! The level is that of a token bucket that may go into debt. In debt, requests are admitted with a probability that
//! falls to zero within a part of the permitted excess; the rest of the excess covers the delay of the reports.
//!
//! If a workspace also asks for patient requests, these are refused first ([`Class`]): the urgent ones have the whole
//! rate, the patient ones get what is left of it.
//!
//! A router counts only the part of a quota that belongs to the routers it receives reports from ([`Coverage`]), so the
//! parts of a disconnected fleet together stay within the quota. A router without recent news has an even share.

mod account;
mod classes;
mod coverage;

use crate::site::QuotaSpec;
pub use account::Level;
use account::{Account, Refusal};
pub use classes::{Class, Demand};
use coverage::Coverage;
use ids::{VmId, WorkspaceId};
use std::collections::HashMap;
use std::time::Duration;

/// Age of the last news from the followed router after which a follower has only an even share of each quota.
const MAX_NEWS_AGE: Duration = Duration::from_millis(1_000);
/// How long a changed total is repeated to other watchers, which covers a few lost messages.
const REPEAT_PERIOD: Duration = Duration::from_millis(1_000);

/// Service level bounds on the use of a quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// Length of the window in which use is counted.
    pub window: Duration,
    /// Permitted excess, as a fraction of what a quota allows in a window.
    pub excess: f64,
    /// Permitted excess on top of that, in the unit of the quota.
    pub slack: f64,
}

impl QuotaBounds {
    /// Permitted excess of one quota in a window, in the unit of the quota.
    fn permitted_excess(&self, spec: &QuotaSpec) -> f64 {
        self.excess * (spec.rate * self.window.as_secs_f64() + spec.burst) + self.slack
    }
}

/// A workspace's use of its quota, in the unit of the quota.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Usage {
    /// Cost of the admitted requests that may have run.
    pub spent: f64,
    /// Cost of all requests, admitted or not.
    pub asked: f64,
    /// The part of `spent` for patient requests.
    pub patient_spent: f64,
    /// The part of `asked` for patient requests.
    pub patient_asked: f64,
}

impl Usage {
    fn spent(class: Class, cost: f64) -> Self {
        Self {
            spent: cost,
            patient_spent: if class == Class::Patient { cost } else { 0.0 },
            ..Self::default()
        }
    }

    fn asked(class: Class, cost: f64) -> Self {
        Self {
            asked: cost,
            patient_asked: if class == Class::Patient { cost } else { 0.0 },
            ..Self::default()
        }
    }

    fn is_zero(&self) -> bool {
        *self == Self::default()
    }

    fn scale(&mut self, factor: f64) {
        self.spent *= factor;
        self.asked *= factor;
        self.patient_spent *= factor;
        self.patient_asked *= factor;
    }

    fn add(&mut self, other: Self) {
        self.spent += other.spent;
        self.asked += other.asked;
        self.patient_spent += other.patient_spent;
        self.patient_asked += other.patient_asked;
    }

    fn subtract(&mut self, other: Self) {
        self.spent -= other.spent;
        self.asked -= other.asked;
        self.patient_spent -= other.patient_spent;
        self.patient_asked -= other.patient_asked;
    }
}

/// Decision on a request under the quota of its workspace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Admission {
    /// The workspace has no quota.
    Unlimited,
    /// Within the quota. Holds the cost, which was charged.
    Granted(f64),
    /// Above the quota, and not charged. Holds the time after which the client should retry.
    Denied(Duration),
}

/// Use of quotas by the routers that a watcher receives reports from, since its start.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Subtotal {
    /// Number of these routers, including the watcher.
    pub routers: u32,
    /// Totals that changed recently, or all of them.
    pub totals: Vec<(WorkspaceId, Usage)>,
}

/// Why a request was denied, for logs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DenialInfo {
    /// The quota.
    pub spec: QuotaSpec,
    /// Remaining level; negative in debt.
    pub level: f64,
    /// Share of the requests that are admitted at a level of zero, if classes are not distinguished.
    pub share: f64,
    /// Demand by class, if any of it is patient.
    pub demand: Option<Demand>,
    /// Age of the last news from the followed router; zero at a watcher.
    pub news_age: Duration,
    /// Requests denied since the last report.
    pub count: u64,
    /// The patient ones among them.
    pub patient_count: u64,
}

/// Quotas as seen by one router.
#[derive(Debug)]
pub struct Quotas {
    bounds: QuotaBounds,
    accounts: HashMap<WorkspaceId, Account>,
    coverage: Coverage,
    /// Totals of other watchers that have been charged, by watcher.
    received: HashMap<VmId, ReceivedTotals>,
    /// When the followed router last sent levels; none at a watcher.
    news_at: Option<Duration>,
    is_watcher: bool,
}

#[derive(Debug)]
struct ReceivedTotals {
    incarnation: u64,
    totals: HashMap<WorkspaceId, Usage>,
}

impl Quotas {
    /// Creates a view without workspaces.
    pub fn new(bounds: QuotaBounds) -> Self {
        Self {
            bounds,
            accounts: HashMap::new(),
            coverage: Coverage::default(),
            received: HashMap::new(),
            news_at: None,
            is_watcher: false,
        }
    }

    /// Replaces the bounds.
    pub fn reload(&mut self, bounds: QuotaBounds) {
        self.bounds = bounds;
    }

    /// Applies the quotas of a document. A new quota starts with nothing saved up; a changed one keeps its debt.
    pub fn configure<'a>(&mut self, specs: impl IntoIterator<Item = (&'a WorkspaceId, QuotaSpec)>, now: Duration) {
        self.refill_all(now);
        let mut previous = std::mem::take(&mut self.accounts);
        for (id, spec) in specs {
            let account = match previous.remove(id) {
                Some(mut account) => {
                    account.spec = spec;
                    account
                }
                None => Account::new(spec, now),
            };
            self.accounts.insert(id.clone(), account);
        }
        self.refill_all(now);
    }

    /// Sets whether this router watches the store, and so collects reports, and the number of registered routers.
    pub fn set_role(&mut self, is_watcher: bool, routers: u32, now: Duration) {
        self.refill_all(now);
        self.is_watcher = is_watcher;
        self.coverage.set_routers(routers, now);
    }

    /// Decides on a request with `tokens` prompt and output tokens, if its head states them. `draw` is uniform over all
    /// `u64` values.
    pub fn admit(
        &mut self,
        workspace: &WorkspaceId,
        class: Class,
        tokens: Option<u64>,
        draw: u64,
        now: Duration,
    ) -> Admission {
        let (part, cap) = self.refill_limits(now);
        let (bounds, is_stale) = (self.bounds, self.is_stale(now));
        let Some(account) = self.accounts.get_mut(workspace) else {
            return Admission::Unlimited;
        };
        if is_stale {
            account.retain_even_share(part);
        }
        account.refill(&bounds, part, cap, now);
        let cost = account.spec.unit.cost(tokens);
        account.ask(class, cost, now);
        let draw = draw as f64 / u64::MAX as f64;
        let probability = if is_stale {
            account.stale_probability(class, cost)
        } else {
            account.probability(class, &bounds, part, self.is_watcher, now)
        };
        if draw < probability {
            account.spend(class, cost, now);
            return Admission::Granted(cost);
        }
        account.denied += 1;
        account.patient_denied += u64::from(class == Class::Patient);
        let refusal = Refusal {
            cost,
            probability,
            draw,
        };
        let demand = account.demand(part, self.is_watcher, now);
        Admission::Denied(demand.map_or_else(
            || account.retry_after(refusal, part),
            |demand| account.class_retry(class, &demand, &bounds, refusal),
        ))
    }

    /// Charges a further attempt of an admitted request.
    pub fn charge(&mut self, workspace: &WorkspaceId, class: Class, cost: f64, now: Duration) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.spend(class, cost, now);
        }
    }

    /// Returns the cost of a request that has certainly not run.
    pub fn refund(&mut self, workspace: &WorkspaceId, class: Class, cost: f64, now: Duration) {
        self.charge(workspace, class, -cost, now);
    }

    /// Why requests of a workspace are denied, if a denial is due to be logged.
    pub fn denial(&mut self, workspace: &WorkspaceId, now: Duration) -> Option<DenialInfo> {
        let (part, is_watcher) = (self.part(now), self.is_watcher);
        let account = self.accounts.get_mut(workspace)?;
        let (count, patient_count) = account.take_denied(now)?;
        Some(DenialInfo {
            spec: account.spec,
            level: account.level,
            share: account.share(part, is_watcher, now),
            demand: account.demand(part, is_watcher, now),
            news_age: self.news_at.map_or(Duration::ZERO, |at| now.saturating_sub(at)),
            count,
            patient_count,
        })
    }

    /// Whether this router collects reports.
    pub fn is_watcher(&self) -> bool {
        self.is_watcher
    }

    /// What a follower has not reported yet.
    pub fn unreported(&self) -> Vec<(WorkspaceId, Usage)> {
        let unreported = self
            .accounts
            .iter()
            .filter(|(_, account)| !account.unreported.is_zero());
        unreported
            .map(|(id, account)| (id.clone(), account.unreported))
            .collect()
    }

    /// Applies the response of the followed router to a report: the levels of all workspaces near or above their
    /// quotas. The others have a full level.
    pub fn apply_levels(&mut self, reported: &[(WorkspaceId, Usage)], levels: &[(WorkspaceId, Level)], now: Duration) {
        for (id, usage) in reported {
            if let Some(account) = self.accounts.get_mut(id) {
                account.unreported.subtract(*usage);
            }
        }
        self.news_at = Some(now);
        let levels: HashMap<&WorkspaceId, Level> = levels.iter().map(|(id, level)| (id, *level)).collect();
        for (id, account) in &mut self.accounts {
            account.set_level(levels.get(id).copied(), &self.bounds, now);
        }
    }

    /// Applies a follower's report and returns the levels that it needs.
    pub fn receive_report(
        &mut self,
        follower: &VmId,
        reported: &[(WorkspaceId, Usage)],
        now: Duration,
    ) -> Vec<(WorkspaceId, Level)> {
        self.coverage.record_report(follower, now);
        let (part, cap) = self.refill_limits(now);
        for (id, usage) in reported {
            if let Some(account) = self.accounts.get_mut(id) {
                account.refill(&self.bounds, part, cap, now);
                account.count(*usage, now);
                account.totals.add(*usage);
                account.changed_at = now;
            }
        }
        self.refill_all(now);
        let accounts = self.accounts.iter();
        let levels = accounts
            .filter_map(|(id, account)| Some((id.clone(), account.level_for_follower(&self.bounds, part, now)?)));
        levels.collect()
    }

    /// What this watcher tells the other watchers; with `all`, also the totals that have not changed recently.
    pub fn subtotal(&self, all: bool, now: Duration) -> Subtotal {
        let is_due = |account: &Account| all || now.saturating_sub(account.changed_at) < REPEAT_PERIOD;
        let due = self.accounts.iter().filter(|(_, account)| is_due(account));
        Subtotal {
            routers: self.coverage.followers(now) + 1,
            totals: due.map(|(id, account)| (id.clone(), account.totals)).collect(),
        }
    }

    /// Applies another watcher's subtotal. Use from before the first contact, or from a time without contact, is not
    /// charged here, because each side kept to its own part.
    pub fn receive_subtotal(&mut self, watcher: &VmId, incarnation: u64, subtotal: &Subtotal, now: Duration) {
        self.refill_all(now);
        let covered = self.coverage.record_subtotal(watcher, subtotal.routers, now);
        let known = self.received.get_mut(watcher);
        let Some(known) = known.filter(|known| known.incarnation == incarnation) else {
            let totals = subtotal.totals.iter().cloned().collect();
            let received = ReceivedTotals { incarnation, totals };
            self.received.insert(watcher.clone(), received);
            return;
        };
        for (id, total) in &subtotal.totals {
            let mut usage = *total;
            usage.subtract(known.totals.insert(id.clone(), *total).unwrap_or_default());
            usage.scale(covered);
            if let Some(account) = self.accounts.get_mut(id) {
                account.count(usage, now);
            }
        }
    }

    /// The part of each quota that belongs to this router, or to all routers that it receives reports from.
    fn part(&self, now: Duration) -> f64 {
        if self.is_watcher {
            self.coverage.part(now)
        } else {
            self.coverage.even_share()
        }
    }

    /// Whether this router has neither reports nor recent levels.
    fn is_stale(&self, now: Duration) -> bool {
        let is_recent = |at: Duration| now.saturating_sub(at) < MAX_NEWS_AGE;
        !self.is_watcher && !self.news_at.is_some_and(is_recent)
    }

    fn refill_all(&mut self, now: Duration) {
        let (part, cap) = self.refill_limits(now);
        for account in self.accounts.values_mut() {
            account.refill(&self.bounds, part, cap, now);
        }
    }

    /// The part of each quota that refills a level, and the part of its capacity that the level may reach.
    fn refill_limits(&self, now: Duration) -> (f64, f64) {
        let part = self.part(now);
        let is_informed = !self.is_watcher && !self.is_stale(now);
        (part, if is_informed { 1.0 } else { part })
    }
}
