//! Routers that send long and short prompts to engines, simulated without I/O in steps of a millisecond.

use super::fleet::{at, fleet, model, service};
use dispatch::fleet::{Choice, Fleet, LoadReport, Outcome, PickContext, PickedEndpoint, Prompt, PromptPart};
use dispatch::site::EndpointEntry;
use ids::{DomainId, EndpointId, Incarnation, VmId};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Prompt tokens that an engine reads in a millisecond.
const RATE: u64 = 43;
/// Milliseconds of a generated token while nothing is read.
const TOKEN: u64 = 7;
/// Reading without a break for longer than this makes the answers late that are generated meanwhile, ms.
const PAUSE: u64 = 280;
/// Time until another router has the news, ms.
const NEWS: u64 = 12;

/// What the callers ask for.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub routers: usize,
    pub engines: usize,
    /// Long prompts and long answers a second.
    pub verdicts: f64,
    pub chats: f64,
    pub seconds: u64,
    /// Whether routers tell each other what they wait for.
    pub news: bool,
    pub seed: u64,
}

/// What the callers got.
#[derive(Debug, Clone, Copy, Default)]
pub struct Served {
    pub verdicts: usize,
    pub late_verdicts: usize,
    pub chats: usize,
    pub late_chats: usize,
    /// Long answers with a pause that is too long.
    pub paused_chats: usize,
    /// Tokens of shared parts that some engine had read before.
    pub read_again: u64,
}

#[derive(Debug)]
struct Request {
    router: usize,
    prompt: Prompt,
    picked: PickedEndpoint,
    sent: u64,
    left: u64,
    /// When its answer ends, once its prompt is read.
    ends: Option<u64>,
    paused: bool,
}

#[derive(Debug, Default)]
struct Engine {
    waiting: Vec<Request>,
    running: Vec<Request>,
    held: BTreeSet<u64>,
    /// Since when it has read without a break.
    reads: u64,
}

impl Engine {
    /// Prompt tokens that it has to read; the shared parts are held from now on.
    fn lacks(&mut self, prompt: &Prompt) -> u64 {
        let shared = prompt.shared().iter();
        let held = shared.take_while(|part| self.held.contains(&part.id));
        let held: u64 = held.map(|part| part.tokens).sum();
        self.held.extend(prompt.shared().iter().map(|part| part.id));
        prompt.tokens - held
    }

    /// Reads for a millisecond; a request whose prompt is read by now.
    fn step(&mut self, now: u64) -> Option<usize> {
        let Some(first) = self.waiting.first_mut() else {
            self.reads = 0;
            return None;
        };
        self.reads += 1;
        if self.reads > PAUSE {
            for request in &mut self.running {
                request.paused = true;
            }
        }
        first.left = first.left.saturating_sub(RATE);
        if first.left > 0 {
            return None;
        }
        let mut request = self.waiting.remove(0);
        request.ends = Some(now + request.prompt.max_output * TOKEN);
        self.running.push(request);
        Some(self.running.len() - 1)
    }
}

/// A small generator, the same on every machine.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    fn share(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }
}

/// Plays a load.
pub fn play(load: &Load) -> Served {
    Crowd::new(load).run()
}

struct Crowd<'a> {
    load: &'a Load,
    random: Random,
    fleets: Vec<Fleet>,
    engines: BTreeMap<EndpointId, Engine>,
    /// Routers whose news is on its way, and when it is there.
    news: Vec<(u64, usize)>,
    read: BTreeSet<u64>,
    served: Served,
}

impl<'a> Crowd<'a> {
    fn new(load: &'a Load) -> Self {
        let entry = |at: usize| EndpointEntry {
            id: EndpointId::from(format!("e{at}").as_str()),
            incarnation: Incarnation(1),
            service: service(),
            address: "127.0.0.1:1".parse().expect("an address"),
            domain: DomainId::from("here"),
            slots: 64,
            draining: false,
            weights: vec![(model(), 1)],
        };
        let entries: Vec<EndpointEntry> = (0..load.engines).map(entry).collect();
        Self {
            load,
            random: Random(load.seed | 1),
            fleets: (0..load.routers).map(|_| fleet(&entries)).collect(),
            engines: entries
                .iter()
                .map(|entry| (entry.id.clone(), Engine::default()))
                .collect(),
            news: Vec::new(),
            read: BTreeSet::new(),
            served: Served::default(),
        }
    }

    fn run(mut self) -> Served {
        for now in 0..self.load.seconds * 1_000 {
            if self.random.share() < self.load.verdicts / 1_000.0 {
                let subject = self.random.below(59);
                let own = 500 + self.random.below(4_800);
                self.arrive(prompt(subject, 2_520, 3_780, own, 13), now);
            }
            if self.random.share() < self.load.chats / 1_000.0 {
                let session = 1_000 + self.random.below(223);
                let own = 200 + self.random.below(850);
                self.arrive(prompt(session, 119, 79, own, 73), now);
            }
            self.step(now);
            self.tell(now);
        }
        self.served
    }

    fn arrive(&mut self, prompt: Prompt, now: u64) {
        let router = self.random.below(self.load.routers as u64) as usize;
        let draw = self.random.next();
        let service = service();
        let wish = PickContext {
            service: &service,
            avoid: &[],
            prompt: Some(&prompt),
            isolated: None,
        };
        let Choice::Endpoint(picked) = self.fleets[router].choose(&wish, draw, at(now)) else {
            panic!("no endpoint at {now}");
        };
        let entry = Arc::clone(&picked.endpoint);
        self.fleets[router].request_started(&entry.id, entry.incarnation, picked.prefill, at(now));
        self.news.push((now + NEWS, router));
        let engine = self.engines.get_mut(&entry.id).expect("it was listed");
        let left = engine.lacks(&prompt);
        let shared: u64 = prompt.shared().iter().map(|part| part.tokens).sum();
        let known = prompt.shared().iter().all(|part| !self.read.insert(part.id));
        if known {
            self.served.read_again += left.saturating_sub(prompt.tokens - shared);
        }
        engine.waiting.push(Request {
            router,
            prompt,
            picked,
            sent: now,
            left,
            ends: None,
            paused: false,
        });
    }

    fn step(&mut self, now: u64) {
        for (id, engine) in &mut self.engines {
            if let Some(read) = engine.step(now) {
                let waiting = engine.waiting.len() as u32;
                let running = engine.running.len() as u32;
                let request = &engine.running[read];
                let waited = now - request.sent;
                let chat = request.prompt.is_decode_heavy();
                self.served.late_chats += usize::from(chat && waited > 400);
                self.served.late_verdicts += usize::from(!chat && waited > 600);
                let fleet = &mut self.fleets[request.router];
                fleet.prefill_finished(id, Incarnation(1), at(request.sent));
                fleet.record_outcome(id, Outcome::Answered(at(waited)), at(now));
                fleet.record_load(id, LoadReport { running, waiting }, at(now));
                self.news.push((now + NEWS, request.router));
            }
            for ended in engine
                .running
                .extract_if(.., |request| request.ends.is_some_and(|at| now >= at))
            {
                let chat = ended.prompt.is_decode_heavy();
                self.served.chats += usize::from(chat);
                self.served.verdicts += usize::from(!chat);
                self.served.paused_chats += usize::from(chat && ended.paused);
                self.fleets[ended.router].request_finished(&ended.picked.endpoint.id, Incarnation(1));
            }
        }
    }

    fn tell(&mut self, now: u64) {
        let due: Vec<usize> = self
            .news
            .extract_if(.., |(at, _)| *at <= now)
            .map(|(_, router)| router)
            .collect();
        if !self.load.news {
            return;
        }
        for from in due {
            let told = self.fleets[from].own_backlog(at(now));
            let name = VmId::from(format!("router-{from}").as_str());
            for (to, fleet) in self.fleets.iter_mut().enumerate() {
                if to != from {
                    fleet.update_backlog(&name, &told, at(now));
                }
            }
        }
    }
}

fn prompt(subject: u64, outer: u64, inner: u64, own: u64, output: u64) -> Prompt {
    let part = |id, tokens| PromptPart { id, tokens };
    Prompt {
        model: model(),
        parts: vec![
            part(1_000_000 + outer * 100 + subject % 4, outer),
            part(subject, inner),
            part(2_000_000, own),
        ],
        tokens: outer + inner + own,
        max_output: output,
    }
}
