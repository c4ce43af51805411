//! Selection among model engines: requests go where the prefix of their prompt is cached.
//!
//! Load pattern: prompts that share long nested prefixes, and engines whose memory holds only a part of them. The
//! placer ranks engines by hashes of the nested prefixes and weighs the tokens to be read again against the queue of
//! each engine.

use super::candidates::Candidates;
use super::endpoint_state::EndpointState;
use super::pool_costs::PoolCosts;
use super::{Choice, Fleet, PickContext, PickedEndpoint, ShortKey};
use crate::overload::QueueWait;
use ids::{Incarnation, ModelId, ServiceId};
use placement::{Candidate, Placer, PrefixChain};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Size of a placer block in tokens. Small enough for parts of a hundred tokens, which make up most of a short
/// prompt, and large enough to keep the number of hashes per prompt low.
const BLOCK_TOKENS: u64 = 32;
/// Assumed prompt tokens of each request queued inside an engine: the mean in production.
const WAITING_REQUEST_TOKENS: f64 = 1_500.0;
/// Cost of one running request for a new one, in prompt tokens: each running request lengthens every step of the
/// batch.
const RUNNING_REQUEST_TOKENS: f64 = 60.0;
/// Prompt tokens that a production engine reads in the time of one generated token in a full batch. A step takes some
/// 5 ms for 12 to 24 tokens, and an engine reads 82 prompt tokens per millisecond.
const PREFILL_TOKENS_PER_OUTPUT: u64 = 20;
/// Requests per slot that this router may have in flight at an engine; further ones would only queue there.
const REQUESTS_PER_SLOT: u32 = 2;
/// Lowest speed that the placer assumes for a failing engine.
const MIN_SPEED: f64 = 0.1;
/// Low bits of the placer's incarnation number that hold the weights version, because an engine drops its cache when
/// it loads new weights.
const WEIGHTS_BITS: u32 = 16;

/// Additional cost of endpoints outside the prompt's lane, in seconds.
const OFF_LANE_SECS: f64 = 0.19;
/// Cost of interrupting a running answer for too long, in seconds.
const INTERRUPT_SECS: f64 = 0.3;
/// Running answers that are counted. With more, an endpoint is avoided anyway.
const MAX_INTERRUPTED: f64 = 6.0;
/// Time to read a prompt, as a share of the longest pause allowed, from which answers are interrupted for too long now
/// and then, and the further share until nearly all of them are.
const INTERRUPT_BEGIN: f64 = 0.35;
const INTERRUPT_RANGE: f64 = 0.35;
/// Relative share of prefix homes that endpoints outside the prompt's lane get.
const OFF_LANE_WEIGHT: f64 = 0.001;

/// Share of the objective within which the prompts must be read. The rest covers the round trip, prompts that are not
/// known here, and parts that turn out not to be cached.
const READ_SHARE: f64 = 0.7;

/// Age up to which a load report proves a queue.
const FRESH_REPORT: Duration = Duration::from_millis(300);

/// Hash seed of [`Prompt::prefix_draw`].
const DRAW_SEED: u64 = 0xd4a3;

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the text of the part.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// A prompt for a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// The model that the prompt is for.
    pub model: ModelId,
    /// Parts in order; the last one belongs to this request only.
    pub parts: Vec<PromptPart>,
    /// Total number of prompt tokens.
    pub tokens: u64,
    /// Maximum number of generated tokens.
    pub max_output: u64,
}

impl Prompt {
    /// Parts that other requests may share: all but the last.
    pub fn shared(&self) -> &[PromptPart] {
        let last = self.parts.len().saturating_sub(1);
        &self.parts[..last]
    }

    /// Whether an engine spends more time on generating the answer than on reading the prompt.
    pub fn is_decode_heavy(&self) -> bool {
        self.max_output * PREFILL_TOKENS_PER_OUTPUT > self.tokens
    }

    /// Pseudo-random number from 0 to 1 derived from the innermost shared prefix. It is the same at every router, so
    /// requests with one prefix stay together.
    pub(super) fn prefix_draw(&self) -> f64 {
        let last = self.shared().last().or(self.parts.last());
        let hash = last.map_or(0, |part| xxh3_64_with_seed(&part.id.to_le_bytes(), DRAW_SEED));
        hash as f64 / u64::MAX as f64
    }

    fn chain(&self, seed: u64) -> PrefixChain {
        let mut blocks = Vec::new();
        let mut levels = Vec::new();
        let mut last = seed;
        let mut tokens = 0;
        for part in self.shared() {
            last = xxh3_64_with_seed(&part.id.to_le_bytes(), last);
            tokens += part.tokens;
            while (blocks.len() as u64) < tokens / BLOCK_TOKENS {
                last = xxh3_64_with_seed(b"block", last);
                blocks.push(last);
            }
            levels.push(blocks.len());
        }
        PrefixChain::from_hashes(seed, blocks, &levels)
    }
}

impl Fleet {
    pub(super) fn choose_engine(
        &self,
        placer: &mut Placer,
        context: &PickContext<'_>,
        eligible: Vec<&EndpointState>,
        draw: u64,
        now: Duration,
    ) -> Choice {
        let Some(prompt) = context.prompt else {
            return Choice::Unavailable;
        };
        let Some(pick) = self.pick_engine(placer, context, eligible, draw, now) else {
            return Choice::Full;
        };
        let (endpoint, incarnation) = (pick.candidate.endpoint, pick.candidate.incarnation);
        let warm_prefill = pick.warm_prefill(prompt);
        let picked = PickedEndpoint {
            endpoint: pick.state.entry.clone(),
            weights: pick.state.weights(&prompt.model),
            prefill: pick.prefill(prompt),
            warm_prefill,
            queued: pick.candidate.queued,
            long_answer: prompt.is_decode_heavy(),
            reason: reason(pick.reason),
            holds_place: false,
        };
        let cached = pick.cached.min(pick.chain.blocks().len());
        placer.learn(endpoint, incarnation, &pick.chain, cached, now);
        Choice::Endpoint(picked)
    }

    /// The engine that a prompt would be sent to. Does not affect later choices.
    fn pick_engine<'a>(
        &self,
        placer: &mut Placer,
        context: &PickContext<'_>,
        mut eligible: Vec<&'a EndpointState>,
        draw: u64,
        now: Duration,
    ) -> Option<EnginePick<'a>> {
        let prompt = context.prompt?;
        let chain = prompt.chain(context.scope);
        eligible.sort_by_key(|state| state.key);
        let off_lane = self.off_lane(context, prompt, now);
        let costs = self.pool_costs(context, prompt, now);
        let demand = Demand::new(context, prompt, self.read_rate(context.service), costs);
        let candidate = |state: &&EndpointState| self.candidate(state, &demand, off_lane(state), now);
        let candidates: Vec<Candidate> = eligible.iter().map(candidate).collect();
        let placement::Choice::At(pick) = placer.choose(&chain, &candidates, now, draw) else {
            return None;
        };
        Some(EnginePick {
            chain,
            state: eligible[pick.index],
            candidate: candidates[pick.index],
            cached: pick.cached,
            cold: pick.cold,
            reason: pick.reason,
        })
    }

    /// Returns the queue at the engine that a patient request would be sent to now. None if it is not for an engine, or
    /// if something else decides when it is sent.
    pub fn patient_queue(&mut self, context: &PickContext<'_>, draw: u64, now: Duration) -> Option<QueueWait> {
        self.peer_backlogs.refresh_sums(now);
        self.refresh_speeds(now);
        self.update_lane_needs(context.service, now);
        let mut placer = self.take_placer(context.service);
        let queue = self.queue_of_pick(&mut placer, context, draw, now);
        self.placers.insert(context.service.clone(), placer);
        queue
    }

    /// Removes the placer of a service, to be inserted again after the choice, and sets its prefill rate.
    pub(super) fn take_placer(&mut self, service: &ServiceId) -> Placer {
        let mut placer = self.placers.remove(service).unwrap_or_else(placer);
        placer.set_prefill_rate(self.read_rate(service));
        placer
    }

    fn queue_of_pick(
        &self,
        placer: &mut Placer,
        context: &PickContext<'_>,
        draw: u64,
        now: Duration,
    ) -> Option<QueueWait> {
        let prompt = context.prompt?;
        let Candidates::Available(eligible) = self.candidates(context, now) else {
            return None;
        };
        let pick = self.pick_engine(placer, context, eligible, draw, now)?;
        let rate = self.read_rate(context.service) * self.speed(pick.state, now);
        Some(self.queue_wait(pick.state, rate, pick.prefill(prompt), now))
    }

    /// Queue at an endpoint that reads `rate` tokens a second, for a request with `prefill` tokens to read. Running
    /// requests are left out, because they don't keep the prompt from being read.
    fn queue_wait(&self, state: &EndpointState, rate: f64, prefill: u64, now: Duration) -> QueueWait {
        let seconds = |tokens: f64| Duration::from_secs_f64(tokens / rate);
        let announced = seconds(self.peer_backlogs.tokens(ShortKey::from(state.key)) as f64);
        let report = state.report();
        let age = report.map_or(Duration::MAX, |received| now.saturating_sub(received.reported_at));
        // The engine has read a part of the reported prompts since.
        let reported = report.map_or(Duration::ZERO, |received| {
            seconds(f64::from(received.report.waiting) * WAITING_REQUEST_TOKENS).saturating_sub(age)
        });
        let others = announced.max(reported).max(state.excess_wait(rate, now));
        QueueWait {
            expected: others + seconds(state.pending_tokens() as f64),
            certain: if age <= FRESH_REPORT { reported } else { Duration::ZERO },
            read: seconds(prefill as f64),
        }
    }

    /// Estimated work queued ahead of a new request at an endpoint that reads `rate` tokens a second, in prompt tokens.
    pub(super) fn queued_tokens(&self, state: &EndpointState, rate: f64, now: Duration) -> u64 {
        let stalled = state.excess_wait(rate, now).as_secs_f64() * rate;
        let announced = self.peer_backlogs.tokens(ShortKey::from(state.key)) as f64;
        let reported = state.waiting(now) * WAITING_REQUEST_TOKENS;
        let other_tokens = announced.max(reported).max(stalled) + state.running(now) * RUNNING_REQUEST_TOKENS;
        state.pending_tokens() + other_tokens as u64
    }

    fn candidate(&self, state: &EndpointState, demand: &Demand<'_>, off_lane: bool, now: Duration) -> Candidate {
        let prompt = demand.prompt;
        let speed = self.speed(state, now);
        let rate = demand.rate * speed;
        let weights = state.weights(&prompt.model).unwrap_or_default();
        let cold = state.is_new(now) && demand.unread.contains(&weights);
        let interrupt_chance = demand.interrupt_chance(if cold { prompt.tokens } else { demand.own }, rate);
        let interrupted = state.running(now).min(MAX_INTERRUPTED);
        let lane_cost = if off_lane {
            OFF_LANE_SECS * demand.costs.off_lane_factor()
        } else {
            0.0
        };
        let lane_weight = if off_lane { OFF_LANE_WEIGHT } else { 1.0 };
        let pool_cost = demand.costs.cost(state, weights, now);
        Candidate {
            endpoint: state.key,
            incarnation: Incarnation((state.entry.incarnation.0 << WEIGHTS_BITS) | (weights & 0xffff)),
            same_domain: state.entry.domain == self.settings.domain,
            in_flight: state.in_flight(),
            limit: state.entry.slots.max(1) * REQUESTS_PER_SLOT,
            queued: self.queued_tokens(state, rate, now),
            speed: (1.0 - state.failure_share(now)).max(MIN_SPEED) * speed,
            weight: lane_weight * demand.costs.home_share(weights) * self.home_share(state),
            cold,
            late_tokens: demand.late_tokens(rate),
            penalty: lane_cost
                + self.stale_cost(state, prompt, now)
                + INTERRUPT_SECS * interrupted * interrupt_chance
                + pool_cost,
        }
    }
}

/// An engine that a prompt would be sent to.
struct EnginePick<'a> {
    chain: PrefixChain,
    state: &'a EndpointState,
    candidate: Candidate,
    /// Blocks of the prompt that the engine is assumed to have cached.
    cached: usize,
    cold: bool,
    reason: placement::Reason,
}

impl EnginePick<'_> {
    fn warm_prefill(&self, prompt: &Prompt) -> u64 {
        prompt.tokens.saturating_sub(self.cached as u64 * BLOCK_TOKENS)
    }

    /// Prompt tokens that the engine is expected to read.
    fn prefill(&self, prompt: &Prompt) -> u64 {
        if self.cold {
            prompt.tokens
        } else {
            self.warm_prefill(prompt)
        }
    }
}

/// What a request demands of each engine, the same for all candidates.
struct Demand<'a> {
    prompt: &'a Prompt,
    unread: &'a [u64],
    /// Prompt tokens that an engine of speed 1 reads per second.
    rate: f64,
    /// Tokens of the unshared part of the prompt.
    own: u64,
    /// Objective and longest pause, unless the request is decode-heavy. Engines admit prompts of decode-heavy requests
    /// first, so those don't wait for the queue.
    objective: Option<Duration>,
    pause: Option<Duration>,
    costs: PoolCosts,
}

impl<'a> Demand<'a> {
    fn new(context: &PickContext<'a>, prompt: &'a Prompt, rate: f64, costs: PoolCosts) -> Self {
        let shared: u64 = prompt.shared().iter().map(|part| part.tokens).sum();
        let (objective, pause) = if prompt.is_decode_heavy() {
            (None, None)
        } else {
            (context.objective, context.pause)
        };
        Self {
            prompt,
            unread: context.unread,
            rate,
            own: prompt.tokens.saturating_sub(shared),
            objective,
            pause,
            costs,
        }
    }

    /// Tokens, besides the unshared part of the prompt, that an engine can read at `rate` until the answer is late.
    fn late_tokens(&self, rate: f64) -> f64 {
        let tokens = |objective: Duration| (objective.as_secs_f64() * READ_SHARE * rate - self.own as f64).max(0.0);
        self.objective.map_or(f64::INFINITY, tokens)
    }

    /// Chance that a running answer pauses for too long while an engine reads `tokens` at `rate`. An engine reads a piece
    /// of a prompt between two steps of its answers.
    fn interrupt_chance(&self, tokens: u64, rate: f64) -> f64 {
        self.pause.map_or(0.0, |pause| interrupt_chance(tokens, rate, pause))
    }
}

/// Chance that reading `tokens` at `rate` interrupts a running answer for longer than `pause`.
fn interrupt_chance(tokens: u64, rate: f64, pause: Duration) -> f64 {
    let share = tokens as f64 / rate / pause.as_secs_f64().max(f64::MIN_POSITIVE);
    ((share - INTERRUPT_BEGIN) / INTERRUPT_RANGE).clamp(0.0, 1.0)
}

fn placer() -> Placer {
    Placer::builder().block_tokens(BLOCK_TOKENS as u32).build()
}

fn reason(reason: placement::Reason) -> &'static str {
    match reason {
        placement::Reason::Home => "home",
        placement::Reason::Spill => "spill",
        placement::Reason::Learnt => "learnt",
        placement::Reason::Drawn => "drawn",
    }
}
