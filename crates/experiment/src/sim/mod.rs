//! The event queue that drives engines, routers and callers through one run.

mod gate;
mod record;
mod router;

pub use record::{FRESH, Figures, Outcome, Record};

use self::gate::{Entry, Turn};
use self::router::{Router, Sent};
use crate::deployment::{CLIENT, Deployment};
use crate::engine::{Engine, Progress, Sequence};
use crate::policy::{Policy, Settings};
use crate::workload::Request;
use placement::{EndpointKey, Report};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::time::Duration;

/// What befalls the deployment during a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// An engine's steps take this many times as long from now on.
    Slow(usize, f64),
    /// An engine crashes and comes back empty after [`DOWN`].
    Crash(usize),
    /// All routers lose what they learnt.
    RestartAll,
    /// One router loses what it learnt.
    Restart(usize),
}

/// Seconds between two times that a router stores its pressures.
const HINT_EVERY: u64 = 10;

/// How long a crashed engine is away.
pub const DOWN: Duration = Duration::from_secs(5);

/// One run.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The deployment.
    pub deployment: Deployment,
    /// The policy of all routers.
    pub policy: Policy,
    /// Settings of every router.
    pub settings: Settings,
    /// Faults by time.
    pub faults: Vec<(Duration, Fault)>,
    /// Requests that one router may have in flight at one engine.
    pub limit: u32,
    /// Requests that may wait at one router.
    pub queue: usize,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Call(usize),
    Reach {
        engine: usize,
        incarnation: u64,
        request: usize,
    },
    StepEnd {
        engine: usize,
        incarnation: u64,
    },
    Head {
        request: usize,
        cached: usize,
    },
    More {
        request: usize,
        generated: u64,
    },
    End {
        request: usize,
    },
    Lost {
        request: usize,
    },
    Measure,
    Deliver {
        engine: usize,
        report: Report,
    },
    Fault(Fault),
    Back(usize),
    Check(usize),
}

struct Simulation<'a> {
    setup: &'a Setup,
    requests: &'a [Request],
    now: Duration,
    number: u64,
    events: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    details: Vec<Event>,
    engines: Vec<Engine>,
    routers: Vec<Router>,
    sent: Vec<Option<Sent>>,
    checks: Vec<Duration>,
    restarted: Vec<Option<Duration>>,
    hint: Vec<(EndpointKey, f64)>,
    computed: HashSet<u64>,
    record: Record,
}

/// Runs `requests` to their end.
pub fn run(setup: &Setup, requests: &[Request], seed: u64) -> Record {
    let deployment = &setup.deployment;
    let mut simulation = Simulation {
        setup,
        requests,
        now: Duration::ZERO,
        number: 0,
        events: BinaryHeap::new(),
        details: Vec::new(),
        engines: vec![Engine::new(deployment.cache); deployment.engines],
        routers: (0..deployment.routers).map(|at| Router::new(setup, at, seed)).collect(),
        sent: vec![None; requests.len()],
        checks: vec![Duration::ZERO; deployment.routers],
        restarted: vec![None; deployment.routers],
        hint: Vec::new(),
        computed: HashSet::new(),
        record: Record::new(requests),
    };
    simulation.begin();
    while let Some(Reverse((at, _, detail))) = simulation.events.pop() {
        simulation.now = at;
        let event = simulation.details[detail];
        simulation.handle(event);
    }
    simulation.finish()
}

impl Simulation<'_> {
    fn begin(&mut self) {
        for (number, request) in self.requests.iter().enumerate() {
            self.at(request.sent + CLIENT, Event::Call(number));
        }
        for (time, fault) in &self.setup.faults {
            self.at(*time, Event::Fault(*fault));
        }
        let length = self.requests.last().map_or(Duration::ZERO, |request| request.sent);
        let mut time = self.setup.settings.every;
        while time < length + Duration::from_secs(60) {
            self.at(time, Event::Measure);
            time += self.setup.settings.every;
        }
    }

    fn at(&mut self, time: Duration, event: Event) {
        self.number += 1;
        self.events.push(Reverse((time, self.number, self.details.len())));
        self.details.push(event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Call(request) => self.call(request),
            Event::Reach {
                engine,
                incarnation,
                request,
            } => self.reach(engine, incarnation, request),
            Event::StepEnd { engine, incarnation } => self.step_end(engine, incarnation),
            Event::Head { request, cached } => self.head(request, cached),
            Event::More { request, generated } => {
                if let Some(sent) = self.sent[request] {
                    self.routers[self.requests[request].router].more(&sent, generated, self.now);
                }
            }
            Event::End { request } => self.end(request),
            Event::Lost { request } => self.lost(request),
            Event::Measure => self.measure(),
            Event::Deliver { engine, report } => {
                for router in &mut self.routers {
                    router.report(engine, report, self.now);
                }
            }
            Event::Fault(fault) => self.fault(fault),
            Event::Back(engine) => self.engines[engine].alive = true,
            Event::Check(router) => self.drain(router),
        }
    }

    fn call(&mut self, request: usize) {
        let call = &self.requests[request];
        let restarted = self.restarted[call.router];
        self.record.outcomes[request].fresh = restarted.is_some_and(|time| self.now - time <= FRESH);
        let router = &mut self.routers[call.router];
        let room = router.has_room(self.setup);
        let uncached = router.expected(self.setup, &self.engines, call, self.now);
        match router.gate.offer(request, call, room, uncached, self.now) {
            Entry::Start => self.place(request),
            Entry::Wait => self.check(call.router),
            Entry::Refuse => self.record.refuse(request, self.now),
        }
    }

    /// Sends `request` to an engine; it is refused if none is alive.
    fn place(&mut self, request: usize) {
        let call = &self.requests[request];
        let router = &mut self.routers[call.router];
        let Some(sent) = router.place(self.setup, &self.engines, call, self.now) else {
            router.gate.finish(request, None, self.now);
            self.record.refuse(request, self.now);
            return;
        };
        let engine = sent.engine;
        let delay = self.delay(call.router, engine);
        self.sent[request] = Some(sent);
        self.engines[engine].send(Sequence::new(request, call.chain.clone(), call.tail, call.output));
        let incarnation = self.engines[engine].incarnation;
        self.at(
            self.now + delay,
            Event::Reach {
                engine,
                incarnation,
                request,
            },
        );
    }

    /// Wakes the router's gate when it wants to be.
    fn check(&mut self, router: usize) {
        let Some(time) = self.routers[router].gate.next_check() else {
            return;
        };
        let time = time.max(self.now + Duration::from_millis(1));
        if self.checks[router] > self.now && self.checks[router] <= time {
            return;
        }
        self.checks[router] = time;
        self.at(time, Event::Check(router));
    }

    fn delay(&self, router: usize, engine: usize) -> Duration {
        let domains = self.setup.deployment.domains;
        let near = router % domains == engine % domains;
        if near {
            Duration::from_micros(200)
        } else {
            self.setup.deployment.crossing
        }
    }

    fn reach(&mut self, engine: usize, incarnation: u64, request: usize) {
        if self.engines[engine].incarnation != incarnation {
            return;
        }
        if !self.engines[engine].alive {
            let delay = self.delay(self.requests[request].router, engine);
            self.at(self.now + delay, Event::Lost { request });
            return;
        }
        self.engines[engine].arrive(request);
        self.step(engine);
    }

    fn step(&mut self, engine: usize) {
        let Some(length) = self.engines[engine].start() else {
            return;
        };
        let incarnation = self.engines[engine].incarnation;
        self.at(self.now + length, Event::StepEnd { engine, incarnation });
    }

    fn step_end(&mut self, engine: usize, incarnation: u64) {
        if self.engines[engine].incarnation != incarnation {
            return;
        }
        let mut progress = Vec::new();
        self.engines[engine].end(self.now, &mut progress);
        for happened in progress {
            self.progress(engine, happened);
        }
        self.step(engine);
    }

    fn progress(&mut self, engine: usize, happened: Progress) {
        match happened {
            Progress::Computed { block } => {
                self.record.computed += 1;
                self.record.recomputed += u64::from(!self.computed.insert(block));
            }
            Progress::First { request, cached } => {
                let delay = self.delay(self.requests[request].router, engine);
                self.at(self.now + delay, Event::Head { request, cached });
            }
            Progress::More { request, generated } => {
                let delay = self.delay(self.requests[request].router, engine);
                self.at(self.now + delay, Event::More { request, generated });
            }
            Progress::Last { request } => {
                let delay = self.delay(self.requests[request].router, engine);
                self.at(self.now + delay, Event::End { request });
            }
        }
    }

    fn head(&mut self, request: usize, cached: usize) {
        let Some(mut sent) = self.sent[request] else { return };
        let call = &self.requests[request];
        self.routers[call.router].head(&mut sent, call, cached, self.now);
        self.sent[request] = Some(sent);
        self.record.first(request, cached, self.now + CLIENT);
    }

    fn end(&mut self, request: usize) {
        let Some(sent) = self.sent[request].take() else { return };
        let call = &self.requests[request];
        self.routers[call.router].end(&sent, request, call, self.now);
        self.record.end(request, self.now + CLIENT);
        self.drain(call.router);
    }

    fn lost(&mut self, request: usize) {
        let Some(sent) = self.sent[request].take() else { return };
        let router = self.requests[request].router;
        self.routers[router].lost(&sent, self.now);
        self.record.retry(request);
        self.place(request);
    }

    fn drain(&mut self, router: usize) {
        loop {
            let room = self.routers[router].has_room(self.setup);
            match self.routers[router].gate.next(room, self.now) {
                Some(Turn::Start(request)) => self.place(request),
                Some(Turn::Refuse(request)) => self.record.refuse(request, self.now),
                None => break,
            }
        }
        self.check(router);
    }

    fn measure(&mut self) {
        if self.setup.settings.hint && self.now.as_secs().is_multiple_of(HINT_EVERY) {
            self.hint = self.routers[0].hint();
        }
        for at in 0..self.engines.len() {
            let engine = &self.engines[at];
            if !engine.alive {
                continue;
            }
            let report = Report {
                incarnation: engine.incarnation.into(),
                requests: engine.requests() as u32,
                prefill: engine.prefill_left(),
                measured: self.now,
            };
            self.at(
                self.now + self.setup.settings.lag,
                Event::Deliver { engine: at, report },
            );
        }
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Slow(engine, factor) => self.engines[engine].slowness = factor,
            Fault::Crash(engine) => {
                for request in self.engines[engine].crash() {
                    let delay = self.delay(self.requests[request].router, engine);
                    self.at(self.now + delay, Event::Lost { request });
                }
                self.at(self.now + DOWN, Event::Back(engine));
            }
            Fault::RestartAll => (0..self.routers.len()).for_each(|router| self.restart(router)),
            Fault::Restart(router) => self.restart(router),
        }
    }

    fn restart(&mut self, router: usize) {
        self.routers[router].restart(self.setup, &self.hint);
        self.restarted[router] = Some(self.now);
    }

    fn finish(mut self) -> Record {
        self.record.busy = self.engines.iter().map(|engine| engine.busy().as_secs_f64()).sum();
        for engine in &self.engines {
            let (count, idle) = engine.evictions();
            self.record.evicted += count;
            self.record.idle += idle;
        }
        self.record
    }
}
