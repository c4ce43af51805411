//! A simulated router with its load view, placer and limits.

use super::Setup;
use super::queue::RequestQueue;
use crate::deployment::{BLOCK_TOKENS, SLOTS};
use crate::engine::Engine;
use crate::policy::{self, Policy, QueueKind};
use crate::workload::Request;
use admission::{EndpointLimit, Sample, Tokens};
use ids::{EndpointId, Incarnation};
use placement::{Candidate, Choice, EndpointKey, LoadView, Pick, Placer, Reason, Report, Ticket};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// A request that was sent to an engine.
#[derive(Debug, Clone, Copy)]
pub struct Placement {
    /// The engine.
    pub engine: usize,
    incarnation: Incarnation,
    key: EndpointKey,
    ticket: Ticket,
    placed: Duration,
    first: Option<(Duration, u64)>,
}

/// A router's view of one engine.
#[derive(Debug, Clone)]
struct EndpointState {
    key: EndpointKey,
    engine: usize,
    incarnation: Incarnation,
    alive: bool,
    same_domain: bool,
    running: u32,
    limit: EndpointLimit,
}

/// A simulated router.
pub struct Router {
    /// The queue in front of placement.
    pub queue: RequestQueue,
    endpoints: Vec<EndpointState>,
    view: LoadView,
    placer: Placer,
    rng: ChaCha8Rng,
    last_index: usize,
}

impl Router {
    /// Creates a router that has just started.
    pub fn new(setup: &Setup, at: usize, seed: u64) -> Self {
        let domains = setup.deployment.domains;
        let endpoint = |engine: usize| EndpointState {
            key: EndpointKey::from(&EndpointId::from(format!("engine-{engine}"))),
            engine,
            incarnation: Incarnation(1),
            alive: true,
            same_domain: engine % domains == at % domains,
            running: 0,
            limit: EndpointLimit::new(slots(setup)),
        };
        let mut endpoints: Vec<EndpointState> = (0..setup.deployment.engines).map(endpoint).collect();
        endpoints.sort_by_key(|endpoint| endpoint.key);
        let mut router = Self {
            queue: RequestQueue::new(setup.settings.queue_kind, setup.queue),
            endpoints,
            view: setup.settings.view.build(),
            placer: placer(setup),
            rng: ChaCha8Rng::seed_from_u64(seed ^ ((at as u64 + 1) << 32)),
            last_index: at,
        };
        router.update_capacity(Duration::ZERO);
        router
    }

    /// Resets what was learned about endpoints and seeds it from `hint`. Queued and in-flight requests finish at the
    /// old process.
    pub fn restart(&mut self, setup: &Setup, hint: &[(EndpointKey, f64)]) {
        self.view = setup.settings.view.build();
        self.placer = placer(setup);
        for (endpoint, pressure) in hint {
            self.view.seed_pressure(*endpoint, *pressure);
        }
    }

    /// The pressures from which another router can start.
    pub fn hint(&self) -> Vec<(EndpointKey, f64)> {
        self.view.pressures().collect()
    }

    /// Whether any engine has room.
    pub fn has_room(&self, setup: &Setup) -> bool {
        self.endpoints
            .iter()
            .any(|endpoint| endpoint.alive && endpoint.running < max_in_flight(setup, endpoint))
    }

    /// The prompt tokens that are expected to be computed for `call`.
    pub fn expected(&mut self, setup: &Setup, engines: &[Engine], call: &Request, now: Duration) -> u64 {
        let pick = self.pick(setup, engines, call, now).map(|(_, pick)| pick.cached);
        uncached(call, pick.unwrap_or(0))
    }

    /// Chooses an engine for `call`. Returns `None` if no engine is alive, or if none has room and the queue is FIFO.
    pub fn place(&mut self, setup: &Setup, engines: &[Engine], call: &Request, now: Duration) -> Option<Placement> {
        let (at, pick) = self
            .pick(setup, engines, call, now)
            .or_else(|| self.least_busy(setup))?;
        let endpoint = &mut self.endpoints[at];
        endpoint.running += 1;
        let _ = endpoint.limit.start();
        let ticket = self
            .view
            .record_placement(endpoint.key, endpoint.incarnation, uncached(call, pick.cached), now);
        let (engine, key, incarnation) = (endpoint.engine, endpoint.key, endpoint.incarnation);
        Some(Placement {
            engine,
            incarnation,
            key,
            ticket,
            placed: now,
            first: None,
        })
    }

    /// Handles the head of an answer.
    pub fn record_head(&mut self, sent: &mut Placement, call: &Request, cached: usize, now: Duration) {
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

    /// Handles further tokens of an answer.
    pub fn record_progress(&mut self, sent: &Placement, generated: u64, now: Duration) {
        self.view.record_progress(sent.key, sent.ticket, generated, now);
    }

    /// Handles the end of an answer.
    pub fn end(&mut self, sent: &Placement, request: usize, call: &Request, now: Duration) {
        self.release(sent);
        let served = sent.first.map(|(first, computed)| {
            let tokens = Tokens {
                uncached: computed,
                output: u64::from(call.output),
            };
            (first, tokens)
        });
        self.queue.finish(request, served, now);
    }

    /// Handles a lost connection. The engine is excluded until it reports a new incarnation.
    pub fn connection_lost(&mut self, sent: &Placement, now: Duration) {
        self.release(sent);
        let Some(endpoint) = self.endpoints.iter_mut().find(|endpoint| endpoint.key == sent.key) else {
            return;
        };
        if endpoint.incarnation == sent.incarnation {
            endpoint.alive = false;
            self.placer.forget(sent.key);
            self.update_capacity(now);
        }
    }

    /// Handles a load report.
    pub fn report(&mut self, engine: usize, report: Report, now: Duration) {
        let Some(endpoint) = self.endpoints.iter_mut().find(|endpoint| endpoint.engine == engine) else {
            return;
        };
        if report.incarnation < endpoint.incarnation {
            return;
        }
        if report.incarnation > endpoint.incarnation {
            endpoint.incarnation = report.incarnation;
            endpoint.alive = true;
            self.placer.forget(endpoint.key);
        }
        let key = endpoint.key;
        self.view.record_report(key, report);
        self.update_capacity(now);
    }

    fn release(&mut self, sent: &Placement) {
        self.view.record_end(sent.key, sent.ticket);
        let Some(endpoint) = self.endpoints.iter_mut().find(|endpoint| endpoint.key == sent.key) else {
            return;
        };
        endpoint.running -= 1;
        if endpoint.limit.in_flight() > endpoint.running {
            endpoint.limit.end();
        }
    }

    fn observe(&mut self, sent: &Placement, sample: Sample, now: Duration) {
        let Some(endpoint) = self.endpoints.iter_mut().find(|endpoint| endpoint.key == sent.key) else {
            return;
        };
        endpoint.limit.observe(sample, now);
        self.update_capacity(now);
    }

    /// Sets the capacity of admission to the sum of the limits.
    fn update_capacity(&mut self, now: Duration) {
        let alive = self.endpoints.iter().filter(|endpoint| endpoint.alive);
        let capacity = alive.map(|endpoint| endpoint.limit.limit()).sum();
        self.queue.set_capacity(capacity, now);
    }

    fn pick(&mut self, setup: &Setup, engines: &[Engine], call: &Request, now: Duration) -> Option<(usize, Pick)> {
        let available: Vec<usize> = (0..self.endpoints.len())
            .filter(|at| self.endpoints[*at].alive)
            .collect();
        let candidates: Vec<Candidate> = available.iter().map(|at| self.candidate(setup, *at, now)).collect();
        let draw = self.rng.next_u64();
        let choice = match setup.policy {
            Policy::RoundRobin => policy::round_robin(&candidates, &mut self.last_index),
            Policy::LeastLoaded => policy::least_loaded(&candidates, draw),
            Policy::HashOnly => policy::hash_only(&candidates, &call.chain),
            Policy::LearnedOnly | Policy::Placer => self.placer.choose(&call.chain, &candidates, now, draw),
            Policy::Oracle => {
                let truth: Vec<&Engine> = available
                    .iter()
                    .map(|at| &engines[self.endpoints[*at].engine])
                    .collect();
                policy::oracle(&candidates, &truth, &call.chain, setup.settings.oracle_miss_weight)
            }
        };
        let Choice::At(pick) = choice else { return None };
        Some((available[pick.index], pick))
    }

    /// The engine for an admitted request when no engine has room, because a limit shrank after the admission.
    fn least_busy(&self, setup: &Setup) -> Option<(usize, Pick)> {
        if setup.settings.queue_kind == QueueKind::Fifo {
            return None;
        }
        let alive = (0..self.endpoints.len()).filter(|at| self.endpoints[*at].alive);
        let at = alive.min_by_key(|at| self.endpoints[*at].running)?;
        Some((
            at,
            Pick {
                index: at,
                cached: 0,
                cold: false,
                reason: Reason::Drawn,
            },
        ))
    }

    fn candidate(&self, setup: &Setup, at: usize, now: Duration) -> Candidate {
        let endpoint = &self.endpoints[at];
        let estimate = self.view.estimate(endpoint.key, now);
        Candidate {
            endpoint: endpoint.key,
            incarnation: endpoint.incarnation,
            same_domain: endpoint.same_domain,
            in_flight: endpoint.running,
            limit: max_in_flight(setup, endpoint),
            queued: estimate.queued,
            speed: estimate.speed,
            weight: estimate.weight,
            cold: false,
            late_tokens: f64::INFINITY,
            penalty: 0.0,
        }
    }
}

/// This router's share of an engine's slots.
fn slots(setup: &Setup) -> u32 {
    (SLOTS as f64 * setup.settings.overcommit / setup.deployment.routers as f64).ceil() as u32
}

/// The maximum number of requests that a router may have at an engine.
fn max_in_flight(setup: &Setup, _endpoint: &EndpointState) -> u32 {
    setup.limit
}

fn uncached(call: &Request, cached: usize) -> u64 {
    let missed = call.chain.blocks().len().saturating_sub(cached) as u64;
    missed * u64::from(BLOCK_TOKENS) + u64::from(call.tail)
}

fn placer(setup: &Setup) -> Placer {
    let builder = setup
        .settings
        .placer
        .clone()
        .domain_rtt(2 * setup.deployment.domain_delay);
    if setup.policy == Policy::LearnedOnly {
        builder.hashing(false).build()
    } else {
        builder.build()
    }
}
