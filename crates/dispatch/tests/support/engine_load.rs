//! Simulates routers that send long and short prompts to engines, without I/O and in steps of a millisecond.

use super::fleet::{at, context, fleet, model, service};
use dispatch::fleet::{BacklogSource, Choice, Fleet, LoadReport, Outcome, PickedEndpoint, Prompt, PromptPart};
use dispatch::site::EndpointEntry;
use ids::{DomainId, EndpointId, Incarnation, SoftwareVersion, VmId};
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
}

#[derive(Debug, Default)]
struct Engine {
    waiting: Vec<Request>,
    running: Vec<Request>,
    cached: BTreeSet<u64>,
    /// Time for which it has read prompts without a break.
    reading_ms: u64,
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
            slots: 64,
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
            served: Served::default(),
        }
    }

    fn run(mut self) -> Served {
        for now in 0..self.workload.seconds * 1_000 {
            if self.random.fraction() < self.workload.long_prompts / 1_000.0 {
                let topic = self.random.below(59);
                let own = 500 + self.random.below(4_800);
                self.submit(prompt(topic, 2_520, 3_780, own, 13), now);
            }
            if self.random.fraction() < self.workload.long_answers / 1_000.0 {
                let session = 1_000 + self.random.below(223);
                let own = 200 + self.random.below(850);
                self.submit(prompt(session, 119, 79, own, 73), now);
            }
            self.step(now);
            self.announce(now);
        }
        self.served
    }

    fn submit(&mut self, prompt: Prompt, now: u64) {
        let router = self.random.below(self.workload.routers as u64) as usize;
        let draw = self.random.next();
        let service = service();
        let context = context(&service, Some(&prompt));
        let Choice::Endpoint(picked) = self.fleets[router].choose(&context, draw, at(now)) else {
            panic!("no endpoint at {now}");
        };
        let entry = Arc::clone(&picked.endpoint);
        self.fleets[router].request_started(&entry.id, entry.incarnation, picked.prefill, at(now));
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
        });
    }

    fn step(&mut self, now: u64) {
        for (id, engine) in &mut self.engines {
            if let Some(index) = engine.step(now) {
                let waiting = engine.waiting.len() as u32;
                let running = engine.running.len() as u32;
                let request = &engine.running[index];
                let waited = now - request.sent;
                let is_answer = request.prompt.is_decode_heavy();
                self.served.late_answers += usize::from(is_answer && waited > 400);
                self.served.late_prompts += usize::from(!is_answer && waited > 600);
                let fleet = &mut self.fleets[request.router];
                fleet.prefill_finished(id, Incarnation(1), at(request.sent));
                fleet.record_outcome(id, Outcome::Answered(at(waited)), at(now));
                fleet.record_load(id, LoadReport::new(running, waiting), at(now));
                self.announcements.push((now + DELIVERY_MS, request.router));
            }
            for ended in engine
                .running
                .extract_if(.., |request| request.ends_at.is_some_and(|at| now >= at))
            {
                let is_answer = ended.prompt.is_decode_heavy();
                self.served.long_answers += usize::from(is_answer);
                self.served.long_prompts += usize::from(!is_answer);
                self.served.interrupted_answers += usize::from(is_answer && ended.interrupted);
                self.fleets[ended.router].request_finished(&ended.picked.endpoint.id, Incarnation(1));
            }
        }
    }

    fn announce(&mut self, now: u64) {
        let due: Vec<usize> = self
            .announcements
            .extract_if(.., |(at, _)| *at <= now)
            .map(|(_, router)| router)
            .collect();
        if !self.workload.announcements {
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
