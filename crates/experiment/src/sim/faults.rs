//! Load reports, and faults of engines and routers.

use super::{CRASH_DOWNTIME, Event, Fault, HINT_INTERVAL_S, Simulation};
use placement::Report;

impl Simulation<'_> {
    pub(super) fn measure(&mut self) {
        if self.setup.settings.hint && self.now.as_secs().is_multiple_of(HINT_INTERVAL_S) {
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
                prefill: engine.remaining_prefill(),
                measured: self.now,
            };
            self.schedule(
                self.now + self.setup.settings.report_lag,
                Event::Deliver { engine: at, report },
            );
        }
    }

    pub(super) fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Slow(engine, factor) => self.engines[engine].slowdown = factor,
            Fault::Crash(engine) => {
                for request in self.engines[engine].crash() {
                    let delay = self.delay(self.requests[request].router, engine);
                    self.schedule(self.now + delay, Event::Lost { request });
                }
                self.schedule(self.now + CRASH_DOWNTIME, Event::Recovered(engine));
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
