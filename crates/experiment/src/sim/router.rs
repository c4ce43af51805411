//! One router: its load view, its placer and the requests that wait for room.

use super::Setup;
use crate::deployment::BLOCK_TOKENS;
use crate::engine::Engine;
use crate::policy::{self, Policy};
use crate::workload::Request;
use ids::{EndpointId, Incarnation};
use placement::{Candidate, Choice, EndpointKey, LoadView, Placer, Report, Ticket};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::time::Duration;

/// A request on its way to or at an engine.
#[derive(Debug, Clone, Copy)]
pub struct Sent {
    /// The engine.
    pub engine: usize,
    incarnation: Incarnation,
    key: EndpointKey,
    ticket: Ticket,
}

/// What a router believes of one engine.
#[derive(Debug, Clone, Copy)]
struct Known {
    key: EndpointKey,
    engine: usize,
    incarnation: Incarnation,
    alive: bool,
    near: bool,
}

/// One router.
pub struct Router {
    /// Requests that wait for room.
    pub waiting: VecDeque<usize>,
    known: Vec<Known>,
    view: LoadView,
    placer: Placer,
    rng: ChaCha8Rng,
    turn: usize,
}

impl Router {
    /// A router that has just started.
    pub fn new(setup: &Setup, at: usize, seed: u64) -> Self {
        let domains = setup.deployment.domains;
        let known = |engine: usize| Known {
            key: EndpointKey::from(&EndpointId::from(format!("engine-{engine}"))),
            engine,
            incarnation: Incarnation(1),
            alive: true,
            near: engine % domains == at % domains,
        };
        let mut known: Vec<Known> = (0..setup.deployment.engines).map(known).collect();
        known.sort_by_key(|endpoint| endpoint.key);
        Self {
            waiting: VecDeque::new(),
            known,
            view: setup.settings.view.build(),
            placer: placer(setup),
            rng: ChaCha8Rng::seed_from_u64(seed ^ (at as u64 + 1) << 32),
            turn: at,
        }
    }

    /// Loses what was learnt. What is in flight ends at the old process.
    pub fn restart(&mut self, setup: &Setup) {
        self.view = setup.settings.view.build();
        self.placer = placer(setup);
    }

    /// Chooses an engine for `call`; none if none has room.
    pub fn choose(&mut self, setup: &Setup, engines: &[Engine], call: &Request, now: Duration) -> Option<Sent> {
        let open: Vec<Known> = self.known.iter().copied().filter(|endpoint| endpoint.alive).collect();
        let candidates: Vec<Candidate> = open.iter().map(|known| self.candidate(setup, known, now)).collect();
        let draw = self.rng.next_u64();
        let choice = match setup.policy {
            Policy::RoundRobin => policy::round_robin(&candidates, &mut self.turn),
            Policy::LeastLoaded => policy::least_loaded(&candidates, draw),
            Policy::HashOnly => policy::hash_only(&candidates, &call.chain),
            Policy::LearntOnly | Policy::Ours => self.placer.choose(&call.chain, &candidates, now, draw),
            Policy::Oracle => {
                let truth: Vec<&Engine> = open.iter().map(|known| &engines[known.engine]).collect();
                policy::oracle(&candidates, &truth, &call.chain, setup.settings.oracle_weight)
            }
        };
        let Choice::At(pick) = choice else { return None };
        let known = open[pick.index];
        let missed = call.chain.blocks().len().saturating_sub(pick.cached) as u64;
        let tokens = missed * u64::from(BLOCK_TOKENS) + u64::from(call.tail);
        let ticket = self.view.placed(known.key, known.incarnation, tokens, now);
        Some(Sent {
            engine: known.engine,
            incarnation: known.incarnation,
            key: known.key,
            ticket,
        })
    }

    /// The head of an answer arrived.
    pub fn head(&mut self, sent: &Sent, call: &Request, cached: usize, now: Duration) {
        let missed = (call.chain.blocks().len() - cached) as u64;
        let tokens = missed * u64::from(BLOCK_TOKENS) + u64::from(call.tail);
        self.view.first_token(sent.key, sent.ticket, tokens, now);
        self.placer.learn(sent.key, sent.incarnation, &call.chain, cached, now);
    }

    /// An answer ended.
    pub fn end(&mut self, sent: &Sent) {
        self.view.finished(sent.key, sent.ticket);
    }

    /// The connection to an engine broke: it is left out until it reports a new life.
    pub fn lost(&mut self, sent: &Sent) {
        self.view.finished(sent.key, sent.ticket);
        let Some(known) = self.known.iter_mut().find(|known| known.key == sent.key) else {
            return;
        };
        if known.incarnation == sent.incarnation {
            known.alive = false;
            self.placer.forget(sent.key);
        }
    }

    /// A load report arrived.
    pub fn report(&mut self, engine: usize, report: Report) {
        let Some(known) = self.known.iter_mut().find(|known| known.engine == engine) else {
            return;
        };
        if report.incarnation < known.incarnation {
            return;
        }
        if report.incarnation > known.incarnation {
            known.incarnation = report.incarnation;
            known.alive = true;
            self.placer.forget(known.key);
        }
        self.view.report(known.key, report);
    }

    fn candidate(&self, setup: &Setup, known: &Known, now: Duration) -> Candidate {
        let estimate = self.view.estimate(known.key, now);
        Candidate {
            endpoint: known.key,
            incarnation: known.incarnation,
            near: known.near,
            in_flight: estimate.in_flight,
            limit: setup.limit,
            queued: estimate.queued,
            speed: estimate.speed,
        }
    }
}

fn placer(setup: &Setup) -> Placer {
    let builder = setup.settings.placer.clone().crossing(2 * setup.deployment.crossing);
    if setup.policy == Policy::LearntOnly {
        builder.hashes(false).build()
    } else {
        builder.build()
    }
}
