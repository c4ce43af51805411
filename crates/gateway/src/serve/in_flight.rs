//! One attempt in flight at one endpoint.

use crate::request_counts::Counted;
use crate::shared::Shared;
use dispatch::fleet::{Outcome, PickedEndpoint, Work};
use ids::ServiceId;
use std::sync::Arc;
use std::time::Duration;

/// An attempt in flight. It counts for the endpoint's load until dropped.
pub(super) struct InFlightAttempt<'a> {
    shared: &'a Shared,
    pub(super) picked: Arc<PickedEndpoint>,
    pub(super) began: Duration,
    prompt_done: bool,
    /// Present while the endpoint may be running the request.
    running: Option<Counted<'a>>,
}

impl<'a> InFlightAttempt<'a> {
    /// An attempt that was counted for the endpoint's load at `began`.
    pub(super) fn new(shared: &'a Shared, picked: Arc<PickedEndpoint>, began: Duration) -> Self {
        if picked.prefill > 0 {
            shared.news_changed();
        }
        Self {
            shared,
            picked,
            began,
            prompt_done: false,
            running: None,
        }
    }

    /// Whether the endpoint has not asked for rest since it was chosen.
    pub(super) fn may_be_sent(&self) -> bool {
        let now = self.shared.clock.now();
        self.shared.fleet().may_send(&self.picked.endpoint, self.began, now)
    }

    /// Records that bytes of the request are sent.
    pub(super) fn sent(&mut self) {
        self.running = Some(self.shared.in_flight.sent.add());
    }

    /// Records that the endpoint does not run the request, or no longer does.
    pub(super) fn ended(&mut self) {
        self.running = None;
    }

    /// Records that the endpoint has read the prompt, or never will.
    pub(super) fn prompt_read(&mut self) {
        if !self.prompt_done {
            self.prompt_done = true;
            let entry = &self.picked.endpoint;
            self.shared
                .fleet()
                .prefill_finished(&entry.id, entry.incarnation, self.began);
            if self.picked.prefill > 0 {
                self.shared.news_changed();
            }
        }
    }

    pub(super) fn outcome(&self, outcome: Outcome) {
        let now = self.shared.clock.now();
        self.shared
            .fleet()
            .record_outcome(&self.picked.endpoint.id, outcome, now);
    }

    /// Records that the endpoint is reachable after all.
    pub(super) fn resumed(&self) {
        let now = self.shared.clock.now();
        let outcome = Outcome::Answered(now.saturating_sub(self.began));
        self.shared.fleet().record_probe(&self.picked.endpoint.id, outcome, now);
    }

    /// Records how long the endpoint took to read the prompt and those before it.
    pub(super) fn record_read(&self, service: &ServiceId) {
        let waited = self.shared.clock.now().saturating_sub(self.began);
        let tokens = self.picked.prefill + self.picked.queued;
        self.shared.fleet().record_read(service, tokens, waited);
        // The cache of a cold engine may hold more of the prompt than expected.
        if self.picked.prefill == self.picked.warm_prefill {
            let (tokens, queued) = (self.picked.prefill, self.picked.queued);
            self.record_work(Work::Prefill { tokens, queued }, waited);
        }
    }

    /// Records how long the endpoint took for a non-streaming call, unless it is for a model: that depends on the
    /// length of the prompt and the answer.
    pub(super) fn record_call(&self) {
        if self.picked.weights.is_none() {
            self.record_work(Work::Call, self.shared.clock.now().saturating_sub(self.began));
        }
    }

    /// Records that the endpoint has done a piece of work, which took this long.
    pub(super) fn record_work(&self, work: Work, took: Duration) {
        let now = self.shared.clock.now();
        let counts = self.shared.fleet().record_work(&self.picked.endpoint, work, took, now);
        if counts {
            let samples = &self.shared.metrics.speed_samples;
            samples.with_label_values(&[work.name()]).inc();
        }
    }

    pub(super) fn answered(&self) {
        let after = self.shared.clock.now().saturating_sub(self.began);
        self.outcome(Outcome::Answered(after));
    }
}

impl Drop for InFlightAttempt<'_> {
    fn drop(&mut self) {
        self.prompt_read();
        let entry = &self.picked.endpoint;
        let now = self.shared.clock.now();
        let mut fleet = self.shared.fleet();
        fleet.request_finished(&entry.id, entry.incarnation);
        fleet.answer_ended(&self.picked, now);
        fleet.release_place(&self.picked, self.began, self.running.is_none(), now);
        drop(fleet);
        if self.picked.holds_place {
            self.shared.place_queues.place_freed(&entry.service);
        }
    }
}
