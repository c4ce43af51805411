//! The way of a request: caller, router, engine and back.

use super::gate::{Entry, Turn};
use super::record::FRESH;
use super::{Event, Simulation};
use crate::deployment::CLIENT;
use crate::engine::{Progress, Sequence};
use std::time::Duration;

impl Simulation<'_> {
    pub(super) fn call(&mut self, request: usize) {
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
    pub(super) fn place(&mut self, request: usize) {
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
    pub(super) fn check(&mut self, router: usize) {
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

    pub(super) fn delay(&self, router: usize, engine: usize) -> Duration {
        let domains = self.setup.deployment.domains;
        let near = router % domains == engine % domains;
        if near {
            Duration::from_micros(200)
        } else {
            self.setup.deployment.crossing
        }
    }

    pub(super) fn reach(&mut self, engine: usize, incarnation: u64, request: usize) {
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

    pub(super) fn step(&mut self, engine: usize) {
        let Some(length) = self.engines[engine].start() else {
            return;
        };
        let incarnation = self.engines[engine].incarnation;
        self.at(self.now + length, Event::StepEnd { engine, incarnation });
    }

    pub(super) fn step_end(&mut self, engine: usize, incarnation: u64) {
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

    pub(super) fn progress(&mut self, engine: usize, happened: Progress) {
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

    pub(super) fn head(&mut self, request: usize, cached: usize) {
        let Some(mut sent) = self.sent[request] else { return };
        let call = &self.requests[request];
        self.routers[call.router].head(&mut sent, call, cached, self.now);
        self.sent[request] = Some(sent);
        self.record.first(request, cached, self.now + CLIENT);
    }

    pub(super) fn end(&mut self, request: usize) {
        let Some(sent) = self.sent[request].take() else { return };
        let call = &self.requests[request];
        self.routers[call.router].end(&sent, request, call, self.now);
        self.record.end(request, self.now + CLIENT);
        self.drain(call.router);
    }

    pub(super) fn lost(&mut self, request: usize) {
        let Some(sent) = self.sent[request].take() else { return };
        let router = self.requests[request].router;
        self.routers[router].lost(&sent, self.now);
        self.record.retry(request);
        self.place(request);
    }

    pub(super) fn drain(&mut self, router: usize) {
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
}
