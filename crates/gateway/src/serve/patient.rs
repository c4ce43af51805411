//! Patient requests that wait in the router while the engine chosen for them has a queue.

use super::attempt_loop::Next;
use super::attempts::Attempts;
use super::shed::{self, RefusalReason};
use super::wait::WaitOutcome;
use crate::patient_queues::PatientTicket;
use dispatch::attempt::Cause;
use dispatch::fleet::PickedEndpoint;
use dispatch::overload::{Entry, PatientStep, QueueWait, is_unsent, may_seek, patient_step, retry_after, seek_pause};
use futures::future::pending;
use std::sync::Arc;
use std::time::Duration;

/// What a patient request does after a look at the engines.
enum Step {
    /// It is sent.
    Send,
    /// It waits. Holds the expected wait.
    Wait(Duration),
    /// It is refused. Holds the expected wait.
    Refuse(RefusalReason, Duration),
}

impl<'a> Attempts<'a> {
    /// Chooses an endpoint. A patient request that was not sent yet waits before that while the engine chosen for it has
    /// a queue.
    pub(super) async fn choose_in_turn(&mut self) -> Result<(Arc<PickedEndpoint>, Duration), Next<'a>> {
        let mut ticket = None;
        loop {
            if ticket.is_some() && self.remaining().is_zero() {
                self.count_wait("refused");
                return Err(Next::GiveUp(Cause::Deadline));
            }
            if ticket.is_some() && self.is_too_late() {
                self.count_wait("refused");
                return Err(Next::GiveUp(Cause::Stopping));
            }
            let step = self.patient_step(ticket.as_ref());
            let step = match step {
                Step::Wait(wait) if ticket.is_none() => {
                    ticket = self.join();
                    if ticket.is_some() {
                        Step::Wait(wait)
                    } else {
                        self.refuse_or_send(RefusalReason::QueueFull, wait)
                    }
                }
                step => step,
            };
            match step {
                Step::Send => {
                    if ticket.is_some() {
                        self.count_wait("sent");
                    }
                    drop(ticket);
                    return self.choose_or_wait().await;
                }
                Step::Refuse(why, wait) => {
                    if ticket.is_some() {
                        self.count_wait("refused");
                    }
                    return Err(Next::GiveUp(self.refuse(why, wait)));
                }
                Step::Wait(_) => {}
            }
            let pause = seek_pause(rand::random()).min(self.remaining());
            match self.wait(pause, pending::<()>()).await {
                WaitOutcome::Done(()) | WaitOutcome::TimedOut => {}
                WaitOutcome::ClientDisconnected => {
                    self.count_wait("disconnected");
                    return Err(Next::End(self.client_disconnected()));
                }
                WaitOutcome::Resumed(attempt) => return Err(Next::Resume(attempt)),
            }
        }
    }

    fn patient_step(&self, ticket: Option<&PatientTicket>) -> Step {
        if !self.may_wait() {
            return Step::Send;
        }
        let queues = &self.shared.patient_queues;
        let ahead = ticket.map_or_else(|| queues.waiting(self.request.service), PatientTicket::ahead);
        let queue = if may_seek(ahead) {
            self.patient_queue()
        } else {
            Some(QueueWait::NOT_ITS_TURN)
        };
        let Some(queue) = queue else { return Step::Send };
        let now = self.shared.clock.now();
        let since_arrival = now.saturating_sub(self.request.incoming.arrived);
        match patient_step(&queue, since_arrival, self.request.route.objective) {
            PatientStep::Send => Step::Send,
            PatientStep::Refuse(wait) => self.refuse_or_send(RefusalReason::Hopeless, wait),
            // The load balancer gives the client another router.
            PatientStep::Wait(_) if self.shared.stop.has_begun() => {
                Step::Refuse(RefusalReason::Stopping, Duration::ZERO)
            }
            PatientStep::Wait(wait) => Step::Wait(wait),
        }
    }

    /// Whether the request is patient, also in the document in force, and has not been sent.
    fn may_wait(&self) -> bool {
        let site = self.shared.site.load();
        let service = self.request.service;
        self.request.patient_routes.is_patient
            && is_unsent(self.sent, self.corrected)
            && !self.head_sent
            && self.request.info.resumes.is_none()
            && site.as_ref().is_some_and(|site| site.has_patient(service))
    }

    fn patient_queue(&self) -> Option<QueueWait> {
        let unread = self.unread();
        let now = self.shared.clock.now();
        let context = self.pick_context(&unread);
        self.shared.fleet().patient_queue(&context, rand::random(), now)
    }

    fn join(&self) -> Option<PatientTicket> {
        let entry = Entry {
            workspace: self.request.workspace.cloned(),
            due: self.request.incoming.arrived + self.request.route.objective,
            bytes: self.request.incoming.body.len(),
        };
        self.shared.patient_queues.join(self.request.service, entry)
    }

    /// A part of the requests is never refused, so that a false estimate can't keep all of them from the engines.
    fn refuse_or_send(&self, why: RefusalReason, wait: Duration) -> Step {
        if self.always_admitted {
            Step::Send
        } else {
            Step::Refuse(why, wait)
        }
    }

    fn refuse(&self, why: RefusalReason, wait: Duration) -> Cause {
        shed::log_refusal(self.shared, self.request, why, &self.admission);
        Cause::Backlog(retry_after(wait, rand::random()))
    }

    fn count_wait(&self, end: &str) {
        let labels = [self.request.service.as_str(), end];
        self.shared.metrics.patient_waits.with_label_values(&labels).inc();
    }
}
