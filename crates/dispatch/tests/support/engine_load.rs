//! Simulates routers that send long and short prompts to engines, without I/O and in steps of a millisecond.

use super::fleet::{at, context, fleet, model, service, set_target};
use dispatch::fleet::{
    BacklogSource, Choice, Fleet, LoadReport, LoadUpdate, Outcome, PickedEndpoint, Prompt, PromptPart, ShortKey,
};
use dispatch::site::EndpointEntry;
use ids::{DomainId, EndpointId, Incarnation, SoftwareVersion, VmId};
use placement::EndpointKey;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Prompt tokens that an engine reads per millisecond.
const PREFILL_TOKENS_PER_MS: u64 = 43;
/// Time per generated token while no prompt is read.
const DECODE_MS: u64 = 7;
/// Reading prompts without a break for longer than this delays the running answers too much.
const MAX_PAUSE_MS: u64 = 280;
/// Time until an announcement arrives at the peers.
const DELIVERY_MS: u64 = 12;
/// Time between two exchanges of a router with the collector of announcements and load reports.
const EXCHANGE_MS: u64 = 100;
/// Routers that exchange load reports with each other: one in this many.
const DOMAINS: usize = 4;
/// When long prompts surge or caches are emptied, and when the surge ends.
const EVENT_MS: u64 = 8_000;
const SURGE_END_MS: u64 = 15_000;

/// Engines that work in steps. In each step, all running requests get a token and a piece of a prompt is read.
#[derive(Debug, Clone, Copy)]
pub struct Steps {
    pub slots: u32,
    /// Duration of a step, and what each running request adds to it.
    pub base_ms: f64,
    pub running_ms: f64,
    pub prefill_tokens_per_ms: f64,
    /// Largest piece of a prompt that is read in one step.
    pub chunk: u64,
    /// Tokens per event of an answer.
    pub stride: u64,
    /// Time after which first events are late, for long prompts and for long answers.
    pub objectives_ms: [u64; 2],
    /// Longest pause between two events.
    pub pause_ms: u64,
    /// Factor on the rate of long prompts during the surge.
    pub surge: f64,
    /// Whether all caches are emptied once, as by new weights.
    pub empties_caches: bool,
    /// Whether new weights become the target when a third of the engines has them and a fifth loads next.
    pub rollout: bool,
}

/// The simulated traffic and pool.
#[derive(Debug, Clone, Copy)]
pub struct Workload {
    pub routers: usize,
    pub engines: usize,
    /// Requests per second with long prompts, and with long answers.
    pub long_prompts: f64,
    pub long_answers: f64,
    pub seconds: u64,
    /// Whether routers announce their backlogs to each other.
    pub announcements: bool,
    pub seed: u64,
    /// Engines that work in steps; otherwise answers take the same time whatever else runs.
    pub steps: Option<Steps>,
}

/// Results of a simulation.
#[derive(Debug, Clone, Copy, Default)]
pub struct Served {
    pub long_prompts: usize,
    pub late_prompts: usize,
    pub long_answers: usize,
    pub late_answers: usize,
    /// Long answers that were interrupted for longer than [`MAX_PAUSE_MS`].
    pub interrupted_answers: usize,
    /// Tokens of shared parts that an engine read although some engine had read them before.
    pub reread_tokens: u64,
    /// Hash of all choices in order.
    pub choices: u64,
}

#[derive(Debug)]
struct Request {
    router: usize,
    prompt: Prompt,
    picked: PickedEndpoint,
    sent: u64,
    unread_tokens: u64,
    /// When its answer ends; `None` until its prompt has been read.
    ends_at: Option<u64>,
    interrupted: bool,
    generated: u64,
    /// When its last event was sent.
    event_at: u64,
}

#[derive(Debug, Default)]
struct Engine {
    waiting: Vec<Request>,
    running: Vec<Request>,
    cached: BTreeSet<u64>,
    /// Time for which it has read prompts without a break.
    reading_ms: u64,
    /// When the current step of an engine with [`Steps`] ends, in milliseconds.
    step_ends: f64,
}

impl Engine {
    /// Returns the prompt tokens that the engine has to read. The shared parts are cached from now on.
    fn missing_tokens(&mut self, prompt: &Prompt) -> u64 {
        let shared = prompt.shared().iter();
        let cached = shared.take_while(|part| self.cached.contains(&part.id));
        let cached: u64 = cached.map(|part| part.tokens).sum();
        self.cached.extend(prompt.shared().iter().map(|part| part.id));
        prompt.tokens - cached
    }

    /// Reads prompts for a millisecond. Returns the index of a running request whose prompt is now read.
    fn step(&mut self, now: u64) -> Option<usize> {
        let Some(first) = self.waiting.first_mut() else {
            self.reading_ms = 0;
            return None;
        };
        self.reading_ms += 1;
        if self.reading_ms > MAX_PAUSE_MS {
            for request in &mut self.running {
                request.interrupted = true;
            }
        }
        first.unread_tokens = first.unread_tokens.saturating_sub(PREFILL_TOKENS_PER_MS);
        if first.unread_tokens > 0 {
            return None;
        }
        let mut request = self.waiting.remove(0);
        request.ends_at = Some(now + request.prompt.max_output * DECODE_MS);
        self.running.push(request);
        Some(self.running.len() - 1)
    }
}

impl Engine {
    /// Ends a step that is due and begins the next one. Returns the indices of running requests whose first event is
    /// sent.
    fn step_batch(&mut self, steps: &Steps, now: u64) -> Vec<usize> {
        let mut first = Vec::new();
        if self.step_ends > now as f64 {
            return first;
        }
        for (index, request) in self.running.iter_mut().enumerate() {
            if request.unread_tokens > 0 || request.ends_at.is_some() {
                continue;
            }
            request.generated += 1;
            if request.generated == steps.stride {
                first.push(index);
            } else if request.generated % steps.stride == 0 {
                request.interrupted |= now - request.event_at > steps.pause_ms;
            }
            if request.generated % steps.stride == 0 {
                request.event_at = now;
            }
            request.ends_at = (request.generated >= request.prompt.max_output).then_some(now);
        }
        self.begin_step(steps, now);
        first
    }

    fn begin_step(&mut self, steps: &Steps, now: u64) {
        // Engines admit urgent requests first.
        while self.running.iter().filter(|request| request.ends_at.is_none()).count() < steps.slots as usize {
            let urgent = self.waiting.iter().position(|request| request.prompt.is_decode_heavy());
            if self.waiting.is_empty() {
                break;
            }
            self.running.push(self.waiting.remove(urgent.unwrap_or(0)));
        }
        let mut room = steps.chunk;
        let mut order: Vec<&mut Request> = self
            .running
            .iter_mut()
            .filter(|request| request.ends_at.is_none())
            .collect();
        let generating = order.iter().filter(|request| request.unread_tokens == 0).count();
        order.sort_by_key(|request| !request.prompt.is_decode_heavy());
        for request in order {
            let read = request.unread_tokens.min(room);
            request.unread_tokens -= read;
            room -= read;
        }
        let read_ms = (steps.chunk - room) as f64 / steps.prefill_tokens_per_ms;
        let busy = generating > 0 || room < steps.chunk;
        let duration = steps.base_ms + steps.running_ms * generating as f64 + read_ms;
        // The remainder of a millisecond is carried over while the engine is busy.
        let begins = if now as f64 - self.step_ends < 1.0 {
            self.step_ends
        } else {
            now as f64
        };
        self.step_ends = if busy { begins + duration } else { now as f64 };
    }
}

/// Small pseudo-random generator that is the same on every machine.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    fn fraction(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }
}

/// Runs a simulation.
pub fn simulate(workload: &Workload) -> Served {
    Simulation::new(workload).run()
}

struct Simulation<'a> {
    workload: &'a Workload,
    random: Random,
    fleets: Vec<Fleet>,
    engines: BTreeMap<EndpointId, Engine>,
    /// Arrival times of announcements in transit, and the routers that sent them.
    announcements: Vec<(u64, usize)>,
    read_parts: BTreeSet<u64>,
    /// Latest load reports, by failure domain and engine.
    reports: BTreeMap<(usize, EndpointId), LoadUpdate>,
    /// Sums the announcements of many routers.
    collector: Fleet,
    served: Served,
}

impl<'a> Simulation<'a> {
    fn new(workload: &'a Workload) -> Self {
        let entry = |at: usize| EndpointEntry {
            id: EndpointId::from(format!("e{at}").as_str()),
            incarnation: Incarnation(1),
            service: service(),
            address: "127.0.0.1:1".parse().expect("an address"),
            domain: DomainId::from("here"),
            slots: workload.steps.map_or(64, |steps| steps.slots),
            software: SoftwareVersion::from("v1"),
            draining: false,
            weights: vec![(model(), 1)],
        };
        let entries: Vec<EndpointEntry> = (0..workload.engines).map(entry).collect();
        Self {
            workload,
            random: Random(workload.seed | 1),
            fleets: (0..workload.routers).map(|_| fleet(&entries)).collect(),
            engines: entries
                .iter()
                .map(|entry| (entry.id.clone(), Engine::default()))
                .collect(),
            announcements: Vec::new(),
            read_parts: BTreeSet::new(),
            reports: BTreeMap::new(),
            collector: fleet(&entries),
            served: Served::default(),
        }
    }

    fn run(mut self) -> Served {
        let (mut prompt_output, mut answer_output) = (13, 73);
        if self.workload.steps.is_some() {
            (prompt_output, answer_output) = (50, 290);
        }
        for now in 0..self.workload.seconds * 1_000 {
            if self.random.fraction() < self.long_prompts(now) / 1_000.0 {
                let topic = self.random.below(59);
                let own = 500 + self.random.below(4_800);
                self.submit(prompt(topic, 2_520, 3_780, own, prompt_output), now);
            }
            if self.random.fraction() < self.workload.long_answers / 1_000.0 {
                let session = 1_000 + self.random.below(223);
                let own = 200 + self.random.below(850);
                self.submit(prompt(session, 119, 79, own, answer_output), now);
            }
            if now == EVENT_MS && self.workload.steps.is_some_and(|steps| steps.empties_caches) {
                self.empty_caches(now);
            }
            if now == EVENT_MS && self.workload.steps.is_some_and(|steps| steps.rollout) {
                self.begin_rollout(now);
            }
            self.step(now);
            self.announce(now);
            self.exchange(now);
        }
        self.served
    }

    /// Long prompts per second.
    fn long_prompts(&self, now: u64) -> f64 {
        let surge = match self.workload.steps {
            Some(steps) if (EVENT_MS..SURGE_END_MS).contains(&now) => steps.surge,
            _ => 1.0,
        };
        self.workload.long_prompts * surge
    }

    fn empty_caches(&mut self, now: u64) {
        self.read_parts.clear();
        for (id, engine) in &mut self.engines {
            engine.cached.clear();
            for fleet in &mut self.fleets {
                fleet.record_weights(id, &model(), 2, at(now));
            }
        }
    }

    fn begin_rollout(&mut self, now: u64) {
        let ids: Vec<EndpointId> = self.engines.keys().cloned().collect();
        let (newest, rest) = ids.split_at(ids.len() / 3);
        let upcoming: BTreeSet<EndpointId> = rest[..ids.len() / 5].iter().cloned().collect();
        for fleet in &mut self.fleets {
            set_target(fleet, 2, Some(at(now)));
            fleet.set_loading(BTreeSet::new(), upcoming.clone());
            for id in newest {
                fleet.record_weights(id, &model(), 2, at(now));
            }
        }
    }

    fn submit(&mut self, prompt: Prompt, now: u64) {
        let router = self.random.below(self.workload.routers as u64) as usize;
        let draw = self.random.next();
        let service = service();
        let mut context = context(&service, Some(&prompt));
        if let Some(steps) = self.workload.steps {
            context.objective = Some(at(steps.objectives_ms[usize::from(prompt.is_decode_heavy())]));
            context.pause = Some(at(steps.pause_ms));
            (context.rank, context.attempts) = if prompt.is_decode_heavy() { (0, 2) } else { (2, 1) };
            if !prompt.shared().iter().all(|part| self.read_parts.contains(&part.id)) {
                context.unread = &[1, 2];
            }
        }
        let Choice::Endpoint(picked) = self.fleets[router].choose(&context, draw, at(now)) else {
            panic!("no endpoint at {now}");
        };
        let entry = Arc::clone(&picked.endpoint);
        for byte in entry.id.as_str().bytes() {
            self.served.choices = (self.served.choices ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
        }
        self.fleets[router].request_started(&entry.id, entry.incarnation, picked.prefill, at(now));
        self.fleets[router].answer_started(&picked, at(now));
        self.announcements.push((now + DELIVERY_MS, router));
        let engine = self.engines.get_mut(&entry.id).expect("a known engine");
        let unread_tokens = engine.missing_tokens(&prompt);
        let shared: u64 = prompt.shared().iter().map(|part| part.tokens).sum();
        let seen = prompt.shared().iter().all(|part| !self.read_parts.insert(part.id));
        if seen {
            self.served.reread_tokens += unread_tokens.saturating_sub(prompt.tokens - shared);
        }
        engine.waiting.push(Request {
            router,
            prompt,
            picked,
            sent: now,
            unread_tokens,
            ends_at: None,
            interrupted: false,
            generated: 0,
            event_at: now,
        });
    }

    fn step(&mut self, now: u64) {
        let [prompt_ms, answer_ms] = self.workload.steps.map_or([600, 400], |steps| steps.objectives_ms);
        for (id, engine) in &mut self.engines {
            let first = match &self.workload.steps {
                Some(steps) => engine.step_batch(steps, now),
                None => engine.step(now).into_iter().collect(),
            };
            let waiting = engine.waiting.len() as u32;
            let running = engine.running.len() as u32;
            for index in first {
                let request = &mut engine.running[index];
                let waited = now - request.sent;
                request.event_at = now;
                let is_answer = request.prompt.is_decode_heavy();
                self.served.late_answers += usize::from(is_answer && waited > answer_ms);
                self.served.late_prompts += usize::from(!is_answer && waited > prompt_ms);
                let fleet = &mut self.fleets[request.router];
                fleet.prefill_finished(id, Incarnation(1), at(request.sent));
                fleet.record_outcome(id, Outcome::Answered(at(waited)), at(now));
                let report = LoadReport::new(running, waiting);
                fleet.record_load(id, report, at(now));
                self.announcements.push((now + DELIVERY_MS, request.router));
                if self.workload.steps.is_some() {
                    let tokens = request.picked.prefill + request.picked.queued;
                    fleet.record_read(&service(), tokens, at(waited));
                    let update = LoadUpdate {
                        endpoint: ShortKey::from(EndpointKey::from(id)),
                        report,
                        reported_at: at(now),
                    };
                    self.reports.insert((request.router % DOMAINS, id.clone()), update);
                }
            }
            for ended in engine
                .running
                .extract_if(.., |request| request.ends_at.is_some_and(|at| now >= at))
            {
                let is_answer = ended.prompt.is_decode_heavy();
                self.served.long_answers += usize::from(is_answer);
                self.served.long_prompts += usize::from(!is_answer);
                self.served.interrupted_answers += usize::from(is_answer && ended.interrupted);
                let fleet = &mut self.fleets[ended.router];
                fleet.request_finished(&ended.picked.endpoint.id, Incarnation(1));
                fleet.answer_ended(&ended.picked, at(now));
            }
        }
    }

    fn announce(&mut self, now: u64) {
        let due: Vec<usize> = self
            .announcements
            .extract_if(.., |(at, _)| *at <= now)
            .map(|(_, router)| router)
            .collect();
        if !self.workload.announcements || self.workload.steps.is_some() {
            return;
        }
        for from in due {
            let backlog = self.fleets[from].own_backlog(at(now));
            let sender = BacklogSource::Follower(VmId::from(format!("router-{from}").as_str()));
            for (to, fleet) in self.fleets.iter_mut().enumerate() {
                if to != from {
                    fleet.update_backlog(sender.clone(), backlog.clone(), at(now));
                }
            }
        }
    }
}

impl Simulation<'_> {
    /// Each router exchanges backlogs with the collector and load reports within its failure domain. With a message from
    /// each router to each other, a simulation of a hundred routers would take minutes.
    fn exchange(&mut self, now: u64) {
        if !self.workload.announcements || self.workload.steps.is_none() {
            return;
        }
        for (index, fleet) in self.fleets.iter_mut().enumerate() {
            if !(now + index as u64 * 7).is_multiple_of(EXCHANGE_MS) {
                continue;
            }
            let vm = VmId::from(format!("router-{index}").as_str());
            let source = BacklogSource::Follower(vm.clone());
            self.collector
                .update_backlog(source, fleet.own_backlog(at(now)), at(now));
            let others = self.collector.backlog_without(&vm, at(now));
            fleet.update_backlog(BacklogSource::Upstream, others, at(now));
            let reports = self
                .reports
                .iter()
                .filter(|((domain, _), _)| *domain == index % DOMAINS);
            let reports: Vec<LoadUpdate> = reports.map(|(_, update)| *update).collect();
            fleet.merge_loads(&reports, at(now));
        }
    }
}

fn prompt(topic: u64, outer: u64, inner: u64, own: u64, output: u64) -> Prompt {
    let part = |id, tokens| PromptPart { id, tokens };
    Prompt {
        model: model(),
        parts: vec![
            part(1_000_000 + outer * 100 + topic % 4, outer),
            part(topic, inner),
            part(2_000_000, own),
        ],
        tokens: outer + inner + own,
        max_output: output,
    }
}
