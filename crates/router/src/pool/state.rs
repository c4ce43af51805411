//! The state of a pool, changed under its lock only.

use super::member::Member;
use super::permit::{Permit, Turn};
use super::{Flight, Pool};
use crate::view::{Standing, Target, View};
use admission::{Admission, Next, RetryBudget, Settings, Ticket};
use futures::channel::oneshot;
use ids::{DomainId, WeightsVersion};
use placement::{Candidate, Choice, EndpointKey, LoadView, Pick, Placer, PrefixChain, Report};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Prompt tokens a second that a runner prefills until answers tell: the order of a mid-size model on one card.
const FIRST_RATE: f64 = 20_000.0;
/// Unit of pressures between routers.
const THOUSANDTHS: f64 = 1000.0;
/// Tokens of a cache block.
const BLOCK_TOKENS: u64 = 1024;

/// A pool's members, queue and what was learnt.
#[derive(Debug)]
pub struct State {
    pub(super) admission: Admission,
    pub(super) placer: Placer,
    pub(super) loads: LoadView,
    pub(super) members: Vec<Member>,
    pub(super) waiters: HashMap<Ticket, oneshot::Sender<Turn>>,
    pub(super) budget: RetryBudget,
}

/// A pool as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// Jobs that wait.
    pub waiting: u64,
    /// Jobs that hold a slot.
    pub running: u64,
    /// Endpoints that get work, and all.
    pub endpoints: (usize, usize),
    /// Sum of the endpoints' limits as this router sees them.
    pub capacity: u32,
}

/// What surrounds a pool.
#[derive(Debug, Clone, Copy)]
pub struct Around<'a> {
    /// This router's failure domain.
    pub domain: &'a DomainId,
    /// Live routers, this one among them. Each admits its share of the slots; with the whole at each of 14 routers
    /// nothing was answered in time at twice the load the endpoints can take (experiment of the placement crate).
    pub routers: u32,
}

/// Where a request may go.
#[derive(Debug, Clone, Copy)]
pub struct Wish<'a> {
    /// Its prompt; empty for plain services.
    pub chain: &'a PrefixChain,
    /// Weights that may serve it, the preferred ones first; empty for plain services.
    pub weights: &'a [WeightsVersion],
    /// Endpoints that failed it already.
    pub avoid: &'a [EndpointKey],
}

impl State {
    pub(super) fn new() -> Self {
        Self {
            admission: Admission::new(Settings::default()),
            placer: Placer::builder().build(),
            loads: LoadView::new(FIRST_RATE),
            members: Vec::new(),
            waiters: HashMap::new(),
            budget: RetryBudget::default(),
        }
    }

    /// Takes over members and beliefs of a view.
    pub(super) fn apply(&mut self, view: &View, target: &Target, around: &Around<'_>, now: Duration) {
        let mut old: HashMap<EndpointKey, Member> = self.members.drain(..).map(|member| (member.key, member)).collect();
        for (id, spec) in view.members(target) {
            let known = old.remove(&EndpointKey::from(id));
            let mut member = known.unwrap_or_else(|| Member::new(id, spec));
            if member.update(spec, view.belief(id), around) {
                // A new life is empty: what was believed of the one before would send requests to a cold cache.
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
        self.fit(now);
    }

    pub(super) fn has(&self, key: EndpointKey) -> bool {
        self.position(key).is_some()
    }

    /// An endpoint reported its load.
    pub fn report(&mut self, key: EndpointKey, report: Report) {
        self.loads.record_report(key, report);
    }

    pub(super) fn pressures(&self) -> Vec<(u64, u32)> {
        let pressures = self.loads.pressures();
        pressures
            .map(|(key, pressure)| (key.0, (pressure * THOUSANDTHS) as u32))
            .collect()
    }

    pub(super) fn assume(&mut self, pressures: &[(u64, u32)]) {
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

    /// Keeps admission's capacity at the sum of the endpoints' limits.
    pub(super) fn fit(&mut self, now: Duration) {
        let live = self
            .members
            .iter()
            .filter(|member| member.believed.standing != Standing::Out);
        let capacity = live.map(|member| member.limit.limit()).sum();
        self.admission.set_capacity(capacity, now);
    }

    pub(super) fn expected_blocks(&mut self, chain: &PrefixChain, now: Duration) -> usize {
        let wish = Wish {
            chain,
            weights: &[],
            avoid: &[],
        };
        match self.choose(&wish, now) {
            Some((_, pick)) => pick.cached,
            None => 0,
        }
    }

    /// Chooses an endpoint and counts the request in there.
    pub(super) fn place(&mut self, pool: &Arc<Pool>, wish: &Wish<'_>, now: Duration) -> Option<Flight> {
        let (index, pick) = self.choose(wish, now)?;
        let missing = wish.chain.blocks().len().saturating_sub(pick.cached) as u64 * BLOCK_TOKENS;
        let member = &mut self.members[index];
        // Admission bounds the pool; one endpoint may run more than its limit where its cache is worth it.
        member.start();
        let ticket = self
            .loads
            .record_placement(member.key, member.believed.incarnation, missing, now);
        Some(Flight::new(pool.clone(), member, ticket, pick.reason, now))
    }

    fn choose(&mut self, wish: &Wish<'_>, now: Duration) -> Option<(usize, Pick)> {
        let preferred = Wish {
            weights: wish.weights.get(..1).unwrap_or_default(),
            ..*wish
        };
        let live = self.candidates(&preferred, Standing::Live, now);
        if let Some(choice) = self.choose_with_room(wish, &live, now) {
            return Some(choice);
        }
        for standing in [Standing::Live, Standing::Suspected] {
            let open = self.candidates(wish, standing, now);
            if let Some(choice) = self.choose_with_room(wish, &open, now) {
                return Some(choice);
            }
        }
        None
    }

    fn choose_with_room(
        &mut self,
        wish: &Wish<'_>,
        open: &[(usize, Candidate)],
        now: Duration,
    ) -> Option<(usize, Pick)> {
        let candidates: Vec<Candidate> = open.iter().map(|(_, candidate)| *candidate).collect();
        match self.placer.choose(wish.chain, &candidates, now, rand::random()) {
            Choice::At(pick) => Some((open[pick.index].0, pick)),
            Choice::Full => None,
        }
    }

    fn candidates(&self, wish: &Wish<'_>, standing: Standing, now: Duration) -> Vec<(usize, Candidate)> {
        let members = self.members.iter().enumerate();
        let open = members.filter(|(_, member)| member.believed.standing == standing && member.fits(wish));
        open.map(|(index, member)| (index, self.candidate(member, now)))
            .collect()
    }

    fn candidate(&self, member: &Member, now: Duration) -> Candidate {
        let estimate = self.loads.estimate(member.key, now);
        Candidate {
            endpoint: member.key,
            incarnation: member.believed.incarnation,
            same_domain: member.near,
            in_flight: member.running(),
            limit: member.slots,
            queued: estimate.queued,
            speed: estimate.speed,
            weight: estimate.weight,
        }
    }

    /// Jobs whose turn has come, with the waiters to tell.
    pub(super) fn turns(&mut self, pool: &Arc<Pool>, now: Duration) -> Vec<(oneshot::Sender<Turn>, Turn)> {
        let mut turns = Vec::new();
        loop {
            let (ticket, turn) = match self.admission.next(now) {
                Next::Start(ticket) => (ticket, Turn::Start(Permit::new(pool.clone(), ticket))),
                Next::Expired(ticket, refusal) => (ticket, Turn::Refused(refusal)),
                Next::Wait => return turns,
            };
            let sender = self.waiters.remove(&ticket).expect("each queued ticket has a waiter");
            turns.push((sender, turn));
        }
    }

    pub(super) fn status(&self) -> PoolStatus {
        let counts = self.admission.counts();
        let live = self
            .members
            .iter()
            .filter(|member| member.believed.standing != Standing::Out);
        PoolStatus {
            waiting: counts.waiting,
            running: counts.running,
            endpoints: (live.clone().count(), self.members.len()),
            capacity: live.map(|member| member.limit.limit()).sum(),
        }
    }
}
