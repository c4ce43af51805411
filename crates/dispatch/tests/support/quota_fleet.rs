//! Simulation of many routers that keep the quotas of workspaces together.

use admission::{LimitDecision, Limits, ShareLimiter, ShareView};
use dispatch::quotas::{Admission, Class, QuotaBounds, Quotas};
use dispatch::site::{QuotaSpec, QuotaUnit};
use ids::{VmId, WorkspaceId};
use std::time::Duration;

/// Step of the simulation, milliseconds.
const STEP_MS: u64 = 5;
/// Shortest time between two reports of a router, and the longest one, milliseconds.
const REPORT_MS: u64 = 30;
const IDLE_MS: u64 = 100;
/// Interval of watchers' subtotals, milliseconds.
const SUBTOTAL_MS: u64 = 30;
/// Interval at which routers exchange their demand in the way of shares, milliseconds.
const DEMAND_MS: u64 = 500;
/// Watchers in each failure domain.
const WATCHERS: usize = 2;
/// Tokens of a long prompt and of a call.
const PROMPT_COST: f64 = 9_197.0;
const CALL_COST: f64 = 200.0;

/// How the routers keep the quotas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// Spend first, report, and learn the remaining level from a watcher.
    Reports,
    /// The same share at each router.
    Even,
    /// Shares that follow the demand at each router.
    Demand,
    /// One router keeps the quota and is asked for each request.
    Home,
}

/// What happens during a run. Times in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// All routers lose their state.
    RestartAll { at: u64 },
    /// The last failure domain reaches no router of another one.
    CutDomain { from: u64, until: u64 },
    /// No router reaches another one.
    CutAll { from: u64, until: u64 },
    /// The quota changes to this share of what it was.
    ChangeQuota { at: u64, share: f64 },
}

/// Which routers the requests reach.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Spread {
    /// All, evenly.
    Even,
    /// One.
    One,
    /// One failure domain after the other, for a second each.
    Moving,
}

/// What is asked.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Mix {
    /// Long prompts, short ones, and some very long ones; no route is patient.
    Plain,
    /// Long prompts, as this share of the requests, and short calls; no route is patient.
    OneClass(f64),
    /// The same, but the prompts' route is patient.
    TwoClasses(f64),
}

/// A run.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub routers: usize,
    pub domains: usize,
    /// Tokens per second of the quota; its burst is as large.
    pub rate: f64,
    /// What is asked, as a multiple of the rate, from each time on, milliseconds.
    pub asked: Vec<(u64, f64)>,
    pub spread: Spread,
    pub mix: Mix,
    pub faults: Vec<Fault>,
    pub length_ms: u64,
    pub seed: u64,
}

/// Result of a run.
#[derive(Debug, Clone, Copy, Default)]
pub struct Figures {
    /// Largest use in any window, as a share of what is permitted.
    pub worst_window: f64,
    /// Admitted tokens, as a share of what one bucket for the whole fleet admits.
    pub used: f64,
    /// Smallest use in any window since the demand last changed, as a share of what the rate allows.
    pub least_window: f64,
    /// Share of the requests within the quota that were refused.
    pub refused: f64,
    /// Share of all calls of 200 tokens that were refused.
    pub refused_calls: f64,
    /// Share of all prompts of 9,197 tokens that were refused.
    pub refused_prompts: f64,
    /// Messages of a router per second.
    pub messages: f64,
    /// Hash of all decisions, with the times after which refused clients should retry.
    pub decisions: u64,
}

/// Bounds of a production deployment.
pub fn bounds() -> QuotaBounds {
    QuotaBounds {
        window: Duration::from_secs(8),
        excess: 0.1,
        slack: 110_000.0,
    }
}

/// Requests of one kind.
#[derive(Default)]
struct Tally {
    asked: u64,
    refused: u64,
}

impl Tally {
    fn count(&mut self, is_granted: bool) {
        self.asked += 1;
        self.refused += u64::from(!is_granted);
    }

    fn refused_share(&self) -> f64 {
        self.refused as f64 / self.asked.max(1) as f64
    }
}

struct Router {
    vm: VmId,
    domain: usize,
    is_watcher: bool,
    quotas: Quotas,
    limiter: ShareLimiter,
    view: ShareView,
    /// Tokens asked since the last exchange of demand.
    demand: f64,
    reported_at: u64,
    has_news: bool,
    incarnation: u64,
}

/// A bucket for the whole fleet, as the users count it.
struct Bucket {
    level: f64,
    at: u64,
}

impl Bucket {
    fn try_take(&mut self, spec: &QuotaSpec, cost: f64, now: u64) -> bool {
        let refill = (now - self.at) as f64 / 1000.0 * spec.rate;
        self.at = now;
        self.level = (self.level + refill).min(spec.burst);
        let grants = self.level >= cost.min(spec.burst);
        if grants {
            self.level -= cost;
        }
        grants
    }
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    way: Way,
    spec: QuotaSpec,
    workspace: WorkspaceId,
    routers: Vec<Router>,
    home: Bucket,
    ideal: Bucket,
    random: u64,
    messages: u64,
    decisions: u64,
}

/// Plays a scenario.
pub fn play(scenario: &Scenario, way: Way) -> Figures {
    let spec = spec(scenario.rate);
    let mut simulation = Simulation {
        scenario,
        way,
        spec,
        workspace: WorkspaceId::from("grain"),
        routers: Vec::new(),
        home: Bucket {
            level: spec.burst,
            at: 0,
        },
        ideal: Bucket {
            level: spec.burst,
            at: 0,
        },
        random: scenario.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
        messages: 0,
        decisions: 0,
    };
    simulation.routers = (0..scenario.routers).map(|index| simulation.router(index, 0)).collect();
    simulation.run()
}

fn spec(rate: f64) -> QuotaSpec {
    QuotaSpec {
        rate,
        burst: rate,
        unit: QuotaUnit::Tokens { unstated: 200 },
    }
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

impl Simulation<'_> {
    fn router(&self, index: usize, now: u64) -> Router {
        let domain = index % self.scenario.domains;
        let mut quotas = Quotas::new(bounds());
        quotas.configure([(&self.workspace, self.spec)], at(now));
        let is_watcher = index / self.scenario.domains < WATCHERS;
        quotas.set_role(is_watcher, self.scenario.routers as u32, at(now));
        let view = ShareView::new(self.scenario.routers as u32);
        Router {
            vm: VmId::from(format!("router-{index}")),
            domain,
            is_watcher,
            quotas,
            limiter: ShareLimiter::new(self.limits(), view.even_share(), at(now)),
            view,
            demand: 0.0,
            reported_at: now,
            has_news: false,
            incarnation: now,
        }
    }

    fn limits(&self) -> Limits {
        Limits {
            requests: None,
            tokens: Some(self.spec.rate as u32),
        }
    }

    fn next_random(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }

    fn uniform(&mut self) -> f64 {
        self.next_random() as f64 / u64::MAX as f64
    }

    fn run(mut self) -> Figures {
        // Routers have run for a while when the first requests arrive.
        let start = 5_000;
        let end = start + self.scenario.length_ms;
        let mut granted: Vec<(u64, f64)> = Vec::new();
        let (mut ideal, mut within, mut refused) = (0.0, 0_u64, 0_u64);
        let (mut calls, mut prompts) = (Tally::default(), Tally::default());
        // The largest limit of the last window counts, because a lower one binds a window later.
        let mut limits = vec![(0, self.spec.rate)];
        for now in (0..end).step_by(STEP_MS as usize) {
            if now >= start {
                self.apply_faults(now - start, now, &mut limits);
            }
            self.exchange(now);
            if now < start {
                continue;
            }
            for cost in self.arrivals(now - start) {
                let router = self.draw_router(now - start);
                let is_within = self.ideal.try_take(&self.spec, cost, now);
                let is_granted = self.admit(router, cost, now, start);
                if is_within {
                    ideal += cost;
                    within += 1;
                    refused += u64::from(!is_granted);
                }
                match cost {
                    PROMPT_COST => prompts.count(is_granted),
                    CALL_COST => calls.count(is_granted),
                    _ => {}
                }
                if is_granted {
                    granted.push((now, cost));
                }
            }
        }
        let total: f64 = granted.iter().map(|(_, cost)| cost).sum();
        Figures {
            worst_window: worst_window(&granted, &limits),
            least_window: least_window(&granted, &limits, start + self.last_change(), end),
            used: total / f64::max(ideal, 1.0),
            refused: refused as f64 / within.max(1) as f64,
            refused_calls: calls.refused_share(),
            refused_prompts: prompts.refused_share(),
            messages: self.messages as f64 / self.routers.len() as f64 / (end as f64 / 1000.0),
            decisions: self.decisions,
        }
    }

    /// When the demand last changed.
    fn last_change(&self) -> u64 {
        self.scenario.asked.last().map_or(0, |(from, _)| *from)
    }

    fn apply_faults(&mut self, time: u64, now: u64, limits: &mut Vec<(u64, f64)>) {
        for fault in self.scenario.faults.clone() {
            match fault {
                Fault::RestartAll { at } if at == time => {
                    self.routers = (0..self.routers.len()).map(|index| self.router(index, now)).collect();
                }
                Fault::ChangeQuota { at: changed, share } if changed == time => {
                    self.spec = spec(self.scenario.rate * share);
                    limits.push((now, self.spec.rate));
                    let (workspace, spec, token_limits) = (self.workspace.clone(), self.spec, self.limits());
                    for router in &mut self.routers {
                        router.quotas.configure([(&workspace, spec)], at(now));
                        router.limiter.set_limits(token_limits, at(now));
                    }
                }
                _ => {}
            }
        }
    }

    /// Costs of the requests that arrive in this step: long prompts, short ones, and some very long ones.
    fn arrivals(&mut self, time: u64) -> Vec<f64> {
        let asked = self.scenario.asked.iter().rev().find(|(from, _)| *from <= time);
        let rate = asked.map_or(0.0, |(_, factor)| factor * self.scenario.rate);
        if let Mix::OneClass(prompts) | Mix::TwoClasses(prompts) = self.scenario.mix {
            return self.two_class_arrivals(rate, prompts);
        }
        let mean = 0.45 * 9_197.0 + 0.54 * 862.0 + 0.01 * 39_600.0;
        let mut left = rate / mean * STEP_MS as f64 / 1000.0;
        let mut costs = Vec::new();
        while left > 0.0 {
            if self.uniform() < left.min(1.0) {
                let draw = self.uniform();
                costs.push(if draw < 0.45 {
                    9_197.0
                } else if draw < 0.99 {
                    862.0
                } else {
                    39_600.0
                });
            }
            left -= 1.0;
        }
        costs
    }

    /// Costs of the requests that arrive in this step: long prompts and calls.
    fn two_class_arrivals(&mut self, rate: f64, prompts: f64) -> Vec<f64> {
        let mean = prompts * PROMPT_COST + (1.0 - prompts) * CALL_COST;
        let mut left = rate / mean * STEP_MS as f64 / 1000.0;
        let mut costs = Vec::new();
        while left > 0.0 {
            if self.uniform() < left.min(1.0) {
                let is_prompt = self.uniform() < prompts;
                costs.push(if is_prompt { PROMPT_COST } else { CALL_COST });
            }
            left -= 1.0;
        }
        costs
    }

    fn draw_router(&mut self, time: u64) -> usize {
        let draw = self.next_random() as usize;
        match self.scenario.spread {
            Spread::Even => draw % self.routers.len(),
            Spread::One => self.routers.len() - 1,
            Spread::Moving => {
                let domain = (time / 1000) as usize % self.scenario.domains;
                let members = (0..self.routers.len()).filter(|index| index % self.scenario.domains == domain);
                let members: Vec<usize> = members.collect();
                members[draw % members.len()]
            }
        }
    }

    fn admit(&mut self, index: usize, cost: f64, now: u64, start: u64) -> bool {
        let draw = self.next_random();
        let is_cut = self.is_cut(index, now.saturating_sub(start));
        let router = &mut self.routers[index];
        router.has_news = true;
        match self.way {
            Way::Reports => {
                let is_patient = matches!(self.scenario.mix, Mix::TwoClasses(_)) && cost == PROMPT_COST;
                let class = if is_patient { Class::Patient } else { Class::Urgent };
                let tokens = Some(cost as u64);
                let admission = router.quotas.admit(&self.workspace, class, tokens, draw, at(now));
                let (is_granted, retry) = match admission {
                    Admission::Denied(after) => (false, after.as_nanos() as u64),
                    _ => (true, 0),
                };
                self.decisions = (self.decisions ^ retry)
                    .wrapping_mul(0x0100_0000_01b3)
                    .wrapping_add(now);
                is_granted
            }
            Way::Even | Way::Demand => {
                router.demand += cost;
                router.limiter.try_acquire(cost as u64, at(now)) == LimitDecision::Granted
            }
            Way::Home => {
                self.messages += 2;
                !is_cut && self.home.try_take(&self.spec, cost, now)
            }
        }
    }

    fn is_cut(&self, index: usize, time: u64) -> bool {
        let is_last = self.routers[index].domain == self.scenario.domains - 1;
        let cut = |fault: &Fault| matches!(fault, Fault::CutDomain { from, until } if (*from..*until).contains(&time));
        is_last && self.scenario.faults.iter().any(cut)
    }

    fn exchange(&mut self, now: u64) {
        match self.way {
            Way::Reports => self.exchange_reports(now),
            Way::Demand if now.is_multiple_of(DEMAND_MS) => self.exchange_demand(now),
            _ => {}
        }
    }

    fn exchange_demand(&mut self, now: u64) {
        let total: f64 = self.routers.iter().map(|router| router.demand).sum();
        self.messages += self.routers.len() as u64 * 2;
        for router in &mut self.routers {
            let share = router.view.share(router.demand, total);
            router.demand = 0.0;
            if let Some(share) = share {
                router.limiter.set_share(share, at(now));
            }
        }
    }

    fn exchange_reports(&mut self, now: u64) {
        let time = now.saturating_sub(5_000);
        let cut = |fault: &Fault| matches!(fault, Fault::CutAll { from, until } if (*from..*until).contains(&time));
        if self.scenario.faults.iter().any(cut) {
            return;
        }
        for index in 0..self.routers.len() {
            let router = &self.routers[index];
            let age = now - router.reported_at;
            let is_due = if router.is_watcher {
                age >= SUBTOTAL_MS
            } else {
                age >= IDLE_MS || (router.has_news && age >= REPORT_MS)
            };
            if !is_due {
                continue;
            }
            self.routers[index].reported_at = now;
            self.routers[index].has_news = false;
            if self.routers[index].is_watcher {
                self.send_subtotal(index, now, time);
            } else {
                self.report(index, now);
            }
        }
    }

    fn report(&mut self, index: usize, now: u64) {
        // Half of the followers use the second watcher of their domain.
        let watcher = self.routers[index].domain + (index / self.scenario.domains % WATCHERS) * self.scenario.domains;
        let vm = self.routers[index].vm.clone();
        let usage = self.routers[index].quotas.unreported();
        let levels = self.routers[watcher].quotas.receive_report(&vm, &usage, at(now));
        self.routers[index].quotas.apply_levels(&usage, &levels, at(now));
        self.messages += 2;
    }

    fn send_subtotal(&mut self, index: usize, now: u64, time: u64) {
        let sender = &self.routers[index];
        let (vm, incarnation) = (sender.vm.clone(), sender.incarnation);
        let subtotal = sender.quotas.subtotal(now.is_multiple_of(1_000), at(now));
        for other in 0..self.routers.len() {
            if other == index || !self.routers[other].is_watcher {
                continue;
            }
            if self.routers[other].domain != self.routers[index].domain
                && (self.is_cut(index, time) || self.is_cut(other, time))
            {
                continue;
            }
            let receiver = &mut self.routers[other].quotas;
            receiver.receive_subtotal(&vm, incarnation, &subtotal, at(now));
            self.messages += 1;
        }
    }
}

/// Smallest use in any window between two times, as a share of what the lowest limit allows.
fn least_window(granted: &[(u64, f64)], limits: &[(u64, f64)], from: u64, until: u64) -> f64 {
    let window = bounds().window.as_millis() as u64;
    let rate = limits.iter().map(|(_, rate)| *rate).fold(f64::MAX, f64::min);
    let used = |start: u64| {
        let first = granted.partition_point(|(at, _)| *at < start);
        let within = granted[first..].iter().take_while(|(at, _)| *at < start + window);
        within.map(|(_, cost)| cost).sum::<f64>()
    };
    let starts = (from..=until.saturating_sub(window)).step_by(100);
    starts.map(used).fold(f64::MAX, f64::min) / (rate * window as f64 / 1000.0)
}

/// Largest use in any window, as a share of what is permitted. A lowered limit binds a window after its change.
fn worst_window(granted: &[(u64, f64)], limits: &[(u64, f64)]) -> f64 {
    let window = bounds().window.as_millis() as u64;
    let permitted = |until: u64| {
        let since = until.saturating_sub(2 * window);
        let index = limits.partition_point(|(from, _)| *from <= since).saturating_sub(1);
        let in_force = limits[index..].iter().filter(|(from, _)| *from <= until);
        let rate = in_force.map(|(_, rate)| *rate).fold(0.0, f64::max);
        rate * (window as f64 / 1000.0 + 1.0) * (1.0 + bounds().excess) + bounds().slack
    };
    let mut first = 0;
    let mut sum = 0.0;
    let mut worst: f64 = 0.0;
    for (time, cost) in granted {
        sum += cost;
        while granted[first].0 + window < *time {
            sum -= granted[first].1;
            first += 1;
        }
        worst = worst.max(sum / permitted(*time));
    }
    worst
}
