//! State of a pool, changed only under the pool's lock.

use super::member::Member;
use super::permit::{Permit, QueueOutcome};
use super::{EndpointAttempt, Pool};
use crate::view::{Availability, Target, View};
use admission::{Admission, Next, RetryBudget, Settings, Ticket};
use futures::channel::oneshot;
use ids::{DomainId, WeightsVersion};
use placement::{Candidate, Choice, EndpointKey, LoadView, Pick, Placer, PrefixChain, Report};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Prefill rate assumed until it is measured, tokens per second: typical of a mid-size model on one card.
const INITIAL_PREFILL_RATE: f64 = 20_000.0;
/// Scale of pressures sent between routers.
const THOUSANDTHS: f64 = 1000.0;
/// Tokens per cache block.
const BLOCK_TOKENS: u64 = 1024;

/// Members, queue, load and cache state of a pool.
#[derive(Debug)]
pub struct State {
    pub(super) admission: Admission,
    pub(super) placer: Placer,
    pub(super) loads: LoadView,
    pub(super) members: Vec<Member>,
    pub(super) waiters: HashMap<Ticket, oneshot::Sender<QueueOutcome>>,
    pub(super) budget: RetryBudget,
}

/// Status of a pool for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// Waiting jobs.
    pub waiting: u64,
    /// Jobs that hold a slot.
    pub running: u64,
    /// Available endpoints, and all endpoints.
    pub endpoints: (usize, usize),
    /// Sum of the endpoints' limits at this router.
    pub capacity: u32,
}

/// This router's failure domain and the number of routers.
#[derive(Debug, Clone, Copy)]
pub struct RouterContext<'a> {
    /// This router's failure domain.
    pub domain: &'a DomainId,
    /// Live routers, including this one. Each admits its share of the slots: when each of 14 routers admitted to all
    /// slots, no request was answered in time at twice the load that the endpoints can serve (experiment of the
    /// placement crate).
    pub routers: u32,
}

/// Constraints on the choice of an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct PickContext<'a> {
    /// Prefix chain of the prompt; empty for plain services.
    pub chain: &'a PrefixChain,
    /// Weights that may serve the request, preferred first; empty for plain services.
    pub weights: &'a [WeightsVersion],
    /// Endpoints that already failed the request.
    pub excluded: &'a [EndpointKey],
}

impl State {
    pub(super) fn new() -> Self {
        Self {
            admission: Admission::new(Settings::default()),
            placer: Placer::builder().build(),
            loads: LoadView::new(INITIAL_PREFILL_RATE),
            members: Vec::new(),
            waiters: HashMap::new(),
            budget: RetryBudget::default(),
        }
    }

    /// Applies the members and endpoint states of a view.
    pub(super) fn apply(&mut self, view: &View, target: &Target, router: &RouterContext<'_>, now: Duration) {
        let mut old: HashMap<EndpointKey, Member> = self.members.drain(..).map(|member| (member.key, member)).collect();
        for (id, spec) in view.members(target) {
            let known = old.remove(&EndpointKey::from(id));
            let mut member = known.unwrap_or_else(|| Member::new(id, spec));
            if member.update(spec, view.endpoint_state(id), router) {
                // The cache of a new incarnation is empty: the old entries would send requests to a cold cache.
                self.placer.forget(member.key);
                self.loads.forget(member.key);
            }
            self.members.push(member);
        }
        for key in old.into_keys() {
            self.placer.forget(key);
            self.loads.forget(key);
        }
        self.members.sort_by_key(|member| member.key);
        self.update_capacity(now);
    }

    pub(super) fn has(&self, key: EndpointKey) -> bool {
        self.position(key).is_some()
    }

    /// Records a load report.
    pub fn report(&mut self, key: EndpointKey, report: Report) {
        self.loads.record_report(key, report);
    }

    pub(super) fn pressures(&self) -> Vec<(u64, u32)> {
        let pressures = self.loads.pressures();
        pressures
            .map(|(key, pressure)| (key.0, (pressure * THOUSANDTHS) as u32))
            .collect()
    }

    pub(super) fn seed_pressures(&mut self, pressures: &[(u64, u32)]) {
        for (key, pressure) in pressures {
            let key = EndpointKey(*key);
            if self.has(key) {
                self.loads.seed_pressure(key, f64::from(*pressure) / THOUSANDTHS);
            }
        }
    }

    pub(super) fn position(&self, key: EndpointKey) -> Option<usize> {
        self.members.binary_search_by_key(&key, |member| member.key).ok()
    }

    /// Sets admission's capacity to the sum of the endpoints' limits.
    pub(super) fn update_capacity(&mut self, now: Duration) {
        let live = self
            .members
            .iter()
            .filter(|member| member.state.availability != Availability::Unavailable);
        let capacity = live.map(|member| member.limit.limit()).sum();
        self.admission.set_capacity(capacity, now);
    }

    pub(super) fn expected_blocks(&mut self, chain: &PrefixChain, now: Duration) -> usize {
        let context = PickContext {
            chain,
            weights: &[],
            excluded: &[],
        };
        match self.choose(&context, now) {
            Some((_, pick)) => pick.cached,
            None => 0,
        }
    }

    /// Chooses an endpoint and counts the request as in flight there.
    pub(super) fn place(
        &mut self,
        pool: &Arc<Pool>,
        context: &PickContext<'_>,
        now: Duration,
    ) -> Option<EndpointAttempt> {
        let (index, pick) = self.choose(context, now)?;
        let uncached = context.chain.blocks().len().saturating_sub(pick.cached) as u64 * BLOCK_TOKENS;
        let member = &mut self.members[index];
        // Admission limits the pool as a whole; one endpoint may exceed its limit if its cache makes that worthwhile.
        member.start();
        let ticket = self
            .loads
            .record_placement(member.key, member.state.incarnation, uncached, now);
        Some(EndpointAttempt::new(pool.clone(), member, ticket, pick.reason, now))
    }

    fn choose(&mut self, context: &PickContext<'_>, now: Duration) -> Option<(usize, Pick)> {
        let preferred = PickContext {
            weights: context.weights.get(..1).unwrap_or_default(),
            ..*context
        };
        let live = self.candidates(&preferred, Availability::Live, now);
        if let Some(choice) = self.choose_with_room(context, &live, now) {
            return Some(choice);
        }
        for availability in [Availability::Live, Availability::Suspected] {
            let available = self.candidates(context, availability, now);
            if let Some(choice) = self.choose_with_room(context, &available, now) {
                return Some(choice);
            }
        }
        None
    }

    fn choose_with_room(
        &mut self,
        context: &PickContext<'_>,
        available: &[(usize, Candidate)],
        now: Duration,
    ) -> Option<(usize, Pick)> {
        let candidates: Vec<Candidate> = available.iter().map(|(_, candidate)| *candidate).collect();
        match self.placer.choose(context.chain, &candidates, now, rand::random()) {
            Choice::At(pick) => Some((available[pick.index].0, pick)),
            Choice::Full => None,
        }
    }

    fn candidates(
        &self,
        context: &PickContext<'_>,
        availability: Availability,
        now: Duration,
    ) -> Vec<(usize, Candidate)> {
        let members = self.members.iter().enumerate();
        let available =
            members.filter(|(_, member)| member.state.availability == availability && member.accepts(context));
        available
            .map(|(index, member)| (index, self.candidate(member, now)))
            .collect()
    }

    fn candidate(&self, member: &Member, now: Duration) -> Candidate {
        let estimate = self.loads.estimate(member.key, now);
        Candidate {
            endpoint: member.key,
            incarnation: member.state.incarnation,
            same_domain: member.same_domain,
            in_flight: member.running(),
            limit: member.slots,
            queued: estimate.queued,
            speed: estimate.speed,
            weight: estimate.weight,
            cold: false,
            late_tokens: f64::INFINITY,
            penalty: 0.0,
        }
    }

    /// Dequeues jobs that can start or have expired, with the channels to their waiting tasks.
    pub(super) fn advance_queue(
        &mut self,
        pool: &Arc<Pool>,
        now: Duration,
    ) -> Vec<(oneshot::Sender<QueueOutcome>, QueueOutcome)> {
        let mut outcomes = Vec::new();
        loop {
            let (ticket, outcome) = match self.admission.next(now) {
                Next::Start(ticket) => (ticket, QueueOutcome::Start(Permit::new(pool.clone(), ticket))),
                Next::Expired(ticket, refusal) => (ticket, QueueOutcome::Refused(refusal)),
                Next::Wait => return outcomes,
            };
            let sender = self.waiters.remove(&ticket).expect("each queued ticket has a waiter");
            outcomes.push((sender, outcome));
        }
    }

    pub(super) fn status(&self) -> PoolStatus {
        let counts = self.admission.counts();
        let live = self
            .members
            .iter()
            .filter(|member| member.state.availability != Availability::Unavailable);
        PoolStatus {
            waiting: counts.waiting,
            running: counts.running,
            endpoints: (live.clone().count(), self.members.len()),
            capacity: live.map(|member| member.limit.limit()).sum(),
        }
    }
}
