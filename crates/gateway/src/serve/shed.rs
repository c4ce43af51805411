//! Shedding of streaming requests while first events are late, and the records that it is based on.

use super::RoutedRequest;
use super::attempts::Attempts;
use crate::shared::Shared;
use dispatch::attempt::Cause;
use dispatch::overload::{Admission, Kind, Offer, WORST_WAIT_FACTOR, is_always_admitted, retry_after};
use std::time::Duration;

/// Why a request is refused, for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RefusalReason {
    /// Its kind is reduced.
    Late,
    /// It waited for an engine, and can't be in time any more.
    Hopeless,
    /// Too many requests wait for engines.
    QueueFull,
    /// It waited for an engine when the router shut down.
    Stopping,
}

impl RefusalReason {
    fn name(self) -> &'static str {
        match self {
            Self::Late => "late",
            Self::Hopeless => "hopeless",
            Self::QueueFull => "queue_full",
            Self::Stopping => "stopping",
        }
    }
}

fn kind(request: &RoutedRequest<'_>) -> Kind {
    Kind {
        rank: request.route.rank,
        objective: request.route.objective,
    }
}

impl Attempts<'_> {
    /// Why this request is shed at once, if it is, because first events currently miss their objective.
    pub(super) fn shed_cause(&mut self) -> Option<Cause> {
        if !self.request.route.kind.streams() {
            return None;
        }
        if self.request.patient_routes.on_service {
            return self.shed_kind();
        }
        let now = self.shared.clock.now();
        let (service, objective) = (self.request.service, self.request.route.objective);
        let is_shed = self.shared.fleet().should_shed(service, objective, rand::random(), now);
        is_shed.then_some(Cause::Overloaded)
    }

    /// Sheds the least urgent kinds first, on a service with a patient route.
    fn shed_kind(&mut self) -> Option<Cause> {
        let now = self.shared.clock.now();
        let request = self.request;
        let draw = rand::random();
        self.always_admitted = is_always_admitted(draw);
        let offer = Offer {
            kind: kind(request),
            is_patient: request.patient_routes.is_patient,
            workspace: request.workspace,
            tokens: request.info.tokens.unwrap_or_default(),
        };
        let mut fleet = self.shared.fleet();
        let admission = fleet.admit_kind(request.service, &offer, now);
        drop(fleet);
        // The offered load changes the decisions of other routers.
        self.shared.news_changed();
        self.admission = admission;
        if admission.admits(draw) {
            return None;
        }
        log_refusal(self.shared, request, RefusalReason::Late, &admission);
        let wait = offer.kind.objective.mul_f64(admission.pressure.min(WORST_WAIT_FACTOR));
        Some(Cause::Backlog(retry_after(wait, rand::random())))
    }

    /// Records how long the request waited for its first event, or until it stopped waiting.
    pub(super) fn record_wait(&self, began: Duration) {
        if self.head_sent || !self.request.route.kind.streams() {
            return;
        }
        let now = self.shared.clock.now();
        let waited = now.saturating_sub(began);
        let (service, objective) = (self.request.service, self.request.route.objective);
        let mut fleet = self.shared.fleet();
        if self.request.patient_routes.on_service {
            fleet.record_kind_delay(service, kind(self.request), waited, now);
        } else {
            fleet.record_first_event(service, objective, waited, now);
        }
    }
}

/// Counts a refused request and logs it, at most once a second for each service.
pub(super) fn log_refusal(shared: &Shared, request: &RoutedRequest<'_>, why: RefusalReason, admission: &Admission) {
    let now = shared.clock.now();
    let (service, rank) = (request.service.as_str(), request.route.rank);
    let labels = [service, request.route.name.as_str(), why.name()];
    shared.metrics.overload_refused.with_label_values(&labels).inc();
    let mut fleet = shared.fleet();
    let Some(refused) = fleet.record_refusal(request.service, now) else {
        return;
    };
    let news_age = fleet.news_age(now);
    drop(fleet);
    log::info!(
        service = service,
        kind = request.route.name.as_str(),
        rank = rank,
        why = why.name(),
        pressure = admission.pressure,
        share = admission.share,
        // -1: no report was received.
        news_age_ms = news_age.map_or(-1, |age| age.as_millis() as i64),
        refused = refused;
        "overload: requests refused"
    );
}
