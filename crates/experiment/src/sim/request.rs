//! The path of a request from client to router to engine and back.

use super::queue::{Dequeued, OfferOutcome};
use super::record::FRESH_PERIOD;
use super::{Event, Simulation};
use crate::deployment::CLIENT_DELAY;
use crate::engine::{Progress, Sequence};
use std::time::Duration;

impl Simulation<'_> {
    pub(super) fn call(&mut self, request: usize) {
        let call = &self.requests[request];
        let restarted = self.restarted[call.router];
        self.record.outcomes[request].fresh = restarted.is_some_and(|time| self.now - time <= FRESH_PERIOD);
        let router = &mut self.routers[call.router];
        let room = router.has_room(self.setup);
        let uncached = router.expected(self.setup, &self.engines, call, self.now);
        match router.queue.offer(request, call, room, uncached, self.now) {
            OfferOutcome::Start => self.place(request),
            OfferOutcome::Wait => self.check(call.router),
            OfferOutcome::Refuse => self.record.refuse(request, self.now),
        }
    }

    /// Sends `request` to an engine, or refuses it if no engine can take it.
    pub(super) fn place(&mut self, request: usize) {
        let call = &self.requests[request];
        let router = &mut self.routers[call.router];
        let Some(sent) = router.place(self.setup, &self.engines, call, self.now) else {
            router.queue.finish(request, None, self.now);
            self.record.refuse(request, self.now);
            return;
        };
        let engine = sent.engine;
        let delay = self.delay(call.router, engine);
        self.sent[request] = Some(sent);
        self.engines[engine].send(Sequence::new(request, call.chain.clone(), call.tail, call.output));
        let incarnation = self.engines[engine].incarnation;
        self.schedule(
            self.now + delay,
            Event::Reach {
                engine,
                incarnation,
                request,
            },
        );
    }

    /// Schedules the next check of the router's queue.
    pub(super) fn check(&mut self, router: usize) {
        let Some(time) = self.routers[router].queue.next_check() else {
            return;
        };
        let time = time.max(self.now + Duration::from_millis(1));
        if self.checks[router] > self.now && self.checks[router] <= time {
            return;
        }
        self.checks[router] = time;
        self.schedule(time, Event::Check(router));
    }

    pub(super) fn delay(&self, router: usize, engine: usize) -> Duration {
        let domains = self.setup.deployment.domains;
        let same_domain = router % domains == engine % domains;
        if same_domain {
            Duration::from_micros(200)
        } else {
            self.setup.deployment.domain_delay
        }
    }

    pub(super) fn reach(&mut self, engine: usize, incarnation: u64, request: usize) {
        if self.engines[engine].incarnation != incarnation {
            return;
        }
        if !self.engines[engine].alive {
            let delay = self.delay(self.requests[request].router, engine);
            self.schedule(self.now + delay, Event::Lost { request });
            return;
        }
        self.engines[engine].arrive(request);
        self.step(engine);
    }

    pub(super) fn step(&mut self, engine: usize) {
        let Some(length) = self.engines[engine].start_step() else {
            return;
        };
        let incarnation = self.engines[engine].incarnation;
        self.schedule(self.now + length, Event::StepEnd { engine, incarnation });
    }

    pub(super) fn step_end(&mut self, engine: usize, incarnation: u64) {
        if self.engines[engine].incarnation != incarnation {
            return;
        }
        let mut progress = Vec::new();
        self.engines[engine].end_step(self.now, &mut progress);
        for item in progress {
            self.progress(engine, item);
        }
        self.step(engine);
    }

    pub(super) fn progress(&mut self, engine: usize, item: Progress) {
        match item {
            Progress::Computed { block } => {
                self.record.computed += 1;
                self.record.recomputed += u64::from(!self.computed.insert(block));
            }
            Progress::First { request, cached } => {
                let delay = self.delay(self.requests[request].router, engine);
                self.schedule(self.now + delay, Event::Head { request, cached });
            }
            Progress::More { request, generated } => {
                let delay = self.delay(self.requests[request].router, engine);
                self.schedule(self.now + delay, Event::More { request, generated });
            }
            Progress::Last { request } => {
                let delay = self.delay(self.requests[request].router, engine);
                self.schedule(self.now + delay, Event::End { request });
            }
        }
    }

    pub(super) fn head(&mut self, request: usize, cached: usize) {
        let Some(mut sent) = self.sent[request] else { return };
        let call = &self.requests[request];
        self.routers[call.router].record_head(&mut sent, call, cached, self.now);
        self.sent[request] = Some(sent);
        self.record.first(request, cached, self.now + CLIENT_DELAY);
    }

    pub(super) fn end(&mut self, request: usize) {
        let Some(sent) = self.sent[request].take() else { return };
        let call = &self.requests[request];
        self.routers[call.router].end(&sent, request, call, self.now);
        self.record.end(request, self.now + CLIENT_DELAY);
        self.drain(call.router);
    }

    pub(super) fn lost(&mut self, request: usize) {
        let Some(sent) = self.sent[request].take() else { return };
        let router = self.requests[request].router;
        self.routers[router].connection_lost(&sent, self.now);
        self.record.retry(request);
        self.place(request);
    }

    pub(super) fn drain(&mut self, router: usize) {
        loop {
            let room = self.routers[router].has_room(self.setup);
            match self.routers[router].queue.next(room, self.now) {
                Some(Dequeued::Start(request)) => self.place(request),
                Some(Dequeued::Refuse(request)) => self.record.refuse(request, self.now),
                None => break,
            }
        }
        self.check(router);
    }
}
