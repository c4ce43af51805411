//! The event queue that drives engines, routers and clients through one run.

mod faults;
mod queue;
mod record;
mod request;
mod router;

pub use record::{FRESH_PERIOD, Figures, Outcome, Record};

use self::router::{Placement, Router};
use crate::deployment::{CLIENT_DELAY, Deployment};
use crate::engine::Engine;
use crate::policy::{Policy, Settings};
use crate::workload::Request;
use placement::{EndpointKey, Report};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::time::Duration;

/// A fault injected during a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Slows down the steps of an engine by this factor.
    Slow(usize, f64),
    /// Crashes an engine; it restarts empty after [`CRASH_DOWNTIME`].
    Crash(usize),
    /// Restarts all routers, which lose what they learned.
    RestartAll,
    /// Restarts one router, which loses what it learned.
    Restart(usize),
}

/// Interval at which a router stores its pressures.
const HINT_INTERVAL_S: u64 = 10;

/// How long a crashed engine is down.
pub const CRASH_DOWNTIME: Duration = Duration::from_secs(5);

/// The configuration of one run.
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
    Recovered(usize),
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
    sent: Vec<Option<Placement>>,
    checks: Vec<Duration>,
    restarted: Vec<Option<Duration>>,
    hint: Vec<(EndpointKey, f64)>,
    computed: HashSet<u64>,
    record: Record,
}

/// Simulates `requests` until all have ended.
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
            self.schedule(request.sent + CLIENT_DELAY, Event::Call(number));
        }
        for (time, fault) in &self.setup.faults {
            self.schedule(*time, Event::Fault(*fault));
        }
        let length = self.requests.last().map_or(Duration::ZERO, |request| request.sent);
        let mut time = self.setup.settings.report_interval;
        while time < length + Duration::from_secs(60) {
            self.schedule(time, Event::Measure);
            time += self.setup.settings.report_interval;
        }
    }

    fn schedule(&mut self, time: Duration, event: Event) {
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
                    self.routers[self.requests[request].router].record_progress(&sent, generated, self.now);
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
            Event::Recovered(engine) => self.engines[engine].alive = true,
            Event::Check(router) => self.drain(router),
        }
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
