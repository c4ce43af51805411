//! One router: its load view, its placer and its limits.

use super::Setup;
use super::gate::Gate;
use crate::deployment::{BLOCK_TOKENS, SLOTS};
use crate::engine::Engine;
use crate::policy::{self, Front, Policy};
use crate::workload::Request;
use admission::{EndpointLimit, Sample, Tokens};
use ids::{EndpointId, Incarnation};
use placement::{Candidate, Choice, EndpointKey, LoadView, Pick, Placer, Reason, Report, Ticket};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// A request on its way to or at an engine.
#[derive(Debug, Clone, Copy)]
pub struct Sent {
    /// The engine.
    pub engine: usize,
    incarnation: Incarnation,
    key: EndpointKey,
    ticket: Ticket,
    placed: Duration,
    first: Option<(Duration, u64)>,
}

/// What a router believes of one engine.
#[derive(Debug, Clone)]
struct Known {
    key: EndpointKey,
    engine: usize,
    incarnation: Incarnation,
    alive: bool,
    near: bool,
    running: u32,
    limit: EndpointLimit,
}

/// One router.
pub struct Router {
    /// What stands before placement.
    pub gate: Gate,
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
            running: 0,
            limit: EndpointLimit::new(slots(setup)),
        };
        let mut known: Vec<Known> = (0..setup.deployment.engines).map(known).collect();
        known.sort_by_key(|endpoint| endpoint.key);
        let mut router = Self {
            gate: Gate::new(setup.settings.front, setup.queue),
            known,
            view: setup.settings.view.build(),
            placer: placer(setup),
            rng: ChaCha8Rng::seed_from_u64(seed ^ ((at as u64 + 1) << 32)),
            turn: at,
        };
        router.fit(Duration::ZERO);
        router
    }

    /// Loses what was learnt of endpoints, and starts from a `hint`. What is queued or in flight ends at the old process.
    pub fn restart(&mut self, setup: &Setup, hint: &[(EndpointKey, f64)]) {
        self.view = setup.settings.view.build();
        self.placer = placer(setup);
        for (endpoint, pressure) in hint {
            self.view.seed_pressure(*endpoint, *pressure);
        }
    }

    /// What another router may start from.
    pub fn hint(&self) -> Vec<(EndpointKey, f64)> {
        self.view.pressures().collect()
    }

    /// Whether some engine has room.
    pub fn has_room(&self, setup: &Setup) -> bool {
        self.known
            .iter()
            .any(|known| known.alive && known.running < most(setup, known))
    }

    /// Prompt tokens that `call` is expected to have computed.
    pub fn expected(&mut self, setup: &Setup, engines: &[Engine], call: &Request, now: Duration) -> u64 {
        let pick = self.pick(setup, engines, call, now).map(|(_, pick)| pick.cached);
        uncached(call, pick.unwrap_or(0))
    }

    /// Sends `call` to an engine; none if none is alive, or none has room and nothing admitted it.
    pub fn place(&mut self, setup: &Setup, engines: &[Engine], call: &Request, now: Duration) -> Option<Sent> {
        let (at, pick) = self.pick(setup, engines, call, now).or_else(|| self.emptiest(setup))?;
        let known = &mut self.known[at];
        known.running += 1;
        let _ = known.limit.start();
        let ticket = self
            .view
            .record_placement(known.key, known.incarnation, uncached(call, pick.cached), now);
        let (engine, key, incarnation) = (known.engine, known.key, known.incarnation);
        Some(Sent {
            engine,
            incarnation,
            key,
            ticket,
            placed: now,
            first: None,
        })
    }

    /// The head of an answer arrived.
    pub fn head(&mut self, sent: &mut Sent, call: &Request, cached: usize, now: Duration) {
        let computed = uncached(call, cached);
        sent.first = Some((now, computed));
        self.view.record_first_token(sent.key, sent.ticket, now);
        self.placer.learn(sent.key, sent.incarnation, &call.chain, cached, now);
        let after = now.saturating_sub(sent.placed);
        self.observe(
            sent,
            Sample::FirstToken {
                after,
                uncached: computed,
            },
            now,
        );
    }

    /// More of an answer arrived.
    pub fn more(&mut self, sent: &Sent, generated: u64, now: Duration) {
        self.view.record_progress(sent.key, sent.ticket, generated, now);
    }

    /// An answer ended.
    pub fn end(&mut self, sent: &Sent, request: usize, call: &Request, now: Duration) {
        self.release(sent);
        let served = sent.first.map(|(first, computed)| {
            let tokens = Tokens {
                uncached: computed,
                output: u64::from(call.output),
            };
            (first, tokens)
        });
        self.gate.finish(request, served, now);
    }

    /// The connection to an engine broke: it is left out until it reports a new life.
    pub fn lost(&mut self, sent: &Sent, now: Duration) {
        self.release(sent);
        let Some(known) = self.known.iter_mut().find(|known| known.key == sent.key) else {
            return;
        };
        if known.incarnation == sent.incarnation {
            known.alive = false;
            self.placer.forget(sent.key);
            self.fit(now);
        }
    }

    /// A load report arrived.
    pub fn report(&mut self, engine: usize, report: Report, now: Duration) {
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
        let key = known.key;
        self.view.record_report(key, report);
        self.fit(now);
    }

    fn release(&mut self, sent: &Sent) {
        self.view.record_end(sent.key, sent.ticket);
        let Some(known) = self.known.iter_mut().find(|known| known.key == sent.key) else {
            return;
        };
        known.running -= 1;
        if known.limit.in_flight() > known.running {
            known.limit.end();
        }
    }

    fn observe(&mut self, sent: &Sent, sample: Sample, now: Duration) {
        let Some(known) = self.known.iter_mut().find(|known| known.key == sent.key) else {
            return;
        };
        known.limit.observe(sample, now);
        self.fit(now);
    }

    /// Keeps admission's capacity at the sum of the limits.
    fn fit(&mut self, now: Duration) {
        let alive = self.known.iter().filter(|known| known.alive);
        let capacity = alive.map(|known| known.limit.limit()).sum();
        self.gate.set_capacity(capacity, now);
    }

    fn pick(&mut self, setup: &Setup, engines: &[Engine], call: &Request, now: Duration) -> Option<(usize, Pick)> {
        let open: Vec<usize> = (0..self.known.len()).filter(|at| self.known[*at].alive).collect();
        let candidates: Vec<Candidate> = open.iter().map(|at| self.candidate(setup, *at, now)).collect();
        let draw = self.rng.next_u64();
        let choice = match setup.policy {
            Policy::RoundRobin => policy::round_robin(&candidates, &mut self.turn),
            Policy::LeastLoaded => policy::least_loaded(&candidates, draw),
            Policy::HashOnly => policy::hash_only(&candidates, &call.chain),
            Policy::LearntOnly | Policy::Ours => self.placer.choose(&call.chain, &candidates, now, draw),
            Policy::Oracle => {
                let truth: Vec<&Engine> = open.iter().map(|at| &engines[self.known[*at].engine]).collect();
                policy::oracle(&candidates, &truth, &call.chain, setup.settings.oracle)
            }
        };
        let Choice::At(pick) = choice else { return None };
        Some((open[pick.index], pick))
    }

    /// Where an admitted request goes that finds no room, since a limit shrank after it was admitted.
    fn emptiest(&self, setup: &Setup) -> Option<(usize, Pick)> {
        if setup.settings.front == Front::Fifo {
            return None;
        }
        let alive = (0..self.known.len()).filter(|at| self.known[*at].alive);
        let at = alive.min_by_key(|at| self.known[*at].running)?;
        Some((
            at,
            Pick {
                index: at,
                cached: 0,
                reason: Reason::Drawn,
            },
        ))
    }

    fn candidate(&self, setup: &Setup, at: usize, now: Duration) -> Candidate {
        let known = &self.known[at];
        let estimate = self.view.estimate(known.key, now);
        Candidate {
            endpoint: known.key,
            incarnation: known.incarnation,
            same_domain: known.near,
            in_flight: known.running,
            limit: most(setup, known),
            queued: estimate.queued,
            speed: estimate.speed,
            weight: estimate.weight,
        }
    }
}

/// This router's share of an engine's slots.
fn slots(setup: &Setup) -> u32 {
    (SLOTS as f64 * setup.settings.overcommit / setup.deployment.routers as f64).ceil() as u32
}

/// Most requests that a router may have at an engine.
fn most(setup: &Setup, _known: &Known) -> u32 {
    setup.limit
}

fn uncached(call: &Request, cached: usize) -> u64 {
    let missed = call.chain.blocks().len().saturating_sub(cached) as u64;
    missed * u64::from(BLOCK_TOKENS) + u64::from(call.tail)
}

fn placer(setup: &Setup) -> Placer {
    let builder = setup.settings.placer.clone().domain_rtt(2 * setup.deployment.crossing);
    if setup.policy == Policy::LearntOnly {
        builder.hashing(false).build()
    } else {
        builder.build()
    }
}
