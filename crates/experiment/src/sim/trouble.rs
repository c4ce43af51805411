//! Load reports, and what befalls engines and routers.

use super::{DOWN, Event, Fault, HINT_EVERY, Simulation};
use placement::Report;

impl Simulation<'_> {
    pub(super) fn measure(&mut self) {
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

    pub(super) fn fault(&mut self, fault: Fault) {
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

    pub(super) fn restart(&mut self, router: usize) {
        self.routers[router].restart(self.setup, &self.hint);
        self.restarted[router] = Some(self.now);
    }
}
