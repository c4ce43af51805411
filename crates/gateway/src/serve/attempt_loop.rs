//! Makes the attempts of a request until it has ended.

use super::attempts::{AttemptResult, Attempts, RequestOutcome};
use super::outbox::Step;
use super::silent::{LastResort, SilentAttempt};
use super::wait::{self, WaitOutcome};
use dispatch::attempt::{Cause, Failure};
use dispatch::fleet::PickedEndpoint;
use std::sync::Arc;
use std::time::Duration;
use wire::client::Ran;

/// What a request does next.
pub(super) enum Next<'a> {
    /// It is sent to an endpoint.
    Choose,
    /// It goes on with an endpoint that was silent.
    Resume(Box<SilentAttempt<'a>>),
    /// It can't be sent to any other endpoint.
    GiveUp(Cause),
    /// It has ended.
    End(RequestOutcome),
}

impl<'a> Attempts<'a> {
    /// Makes attempts until the request has ended, or the router ends it because its grace period is over.
    pub(super) async fn run_until_stop(mut self) -> RequestOutcome {
        let shared = self.shared;
        let ended = shared.stop.unless_ended(self.run()).await;
        ended.unwrap_or_else(|| self.give_up(Cause::Stopping))
    }

    /// Makes attempts until the request has ended.
    async fn run(&mut self) -> RequestOutcome {
        if let Some(cause) = self.refused_before_send() {
            return self.give_up(cause);
        }
        if let Some(cause) = self.shed_cause() {
            return self.give_up(cause);
        }
        let mut next = Next::Choose;
        loop {
            next = match next {
                Next::Choose => self.try_another().await,
                Next::Resume(attempt) => Box::pin(self.try_resumed(*attempt)).await,
                Next::GiveUp(cause) => match Box::pin(self.last_resort(cause)).await {
                    LastResort::Resume(attempt) => Next::Resume(attempt),
                    LastResort::ClientDisconnected => Next::End(self.client_disconnected()),
                    LastResort::GiveUp(cause) => Next::End(self.give_up_after_writing(cause).await),
                },
                Next::End(outcome) => return outcome,
            };
        }
    }

    /// Gives up once the client has taken the complete events that it has not read, or the request's time is over. The stream
    /// stays without its end.
    async fn give_up_after_writing(&mut self, cause: Cause) -> RequestOutcome {
        if self.head_sent && !self.outbox.is_empty() {
            let within = self.remaining();
            let conn = &self.request.incoming.conn;
            match wait::wait(conn, within, self.outbox.flush()).await {
                WaitOutcome::ClientDisconnected | WaitOutcome::Done(Step::ClientDisconnected) => {
                    return self.client_disconnected();
                }
                WaitOutcome::Done(_) | WaitOutcome::Resumed(_) | WaitOutcome::TimedOut => {}
            }
        }
        self.give_up(cause)
    }

    /// Whether the request can still be refused as not run, and the stopping router may not have the time to finish it.
    pub(super) fn is_too_late(&self) -> bool {
        let now = self.shared.clock.now();
        self.lifecycle.ran() == Ran::NotRun && !self.shared.stop.may_send(now, self.request.deadline)
    }

    /// Why the request must not be sent now, whatever endpoint there is.
    pub(super) fn refused_before_send(&self) -> Option<Cause> {
        if self.is_too_late() {
            return Some(Cause::Stopping);
        }
        self.held_for().map(Cause::Quarantined)
    }

    async fn try_another(&mut self) -> Next<'a> {
        let (picked, began) = match Box::pin(self.choose_in_turn()).await {
            Ok(chosen) => chosen,
            Err(next) => return next,
        };
        let sent = self.sent;
        let result = self.attempt(&picked, began).await;
        let is_refused = matches!(&result, AttemptResult::Failed(failure) if failure.not_run());
        if self.sent > sent && !is_refused {
            self.charge.attempt_ran();
        }
        self.after_attempt(&picked, began, result).await
    }

    async fn try_resumed(&mut self, attempt: SilentAttempt<'a>) -> Next<'a> {
        let (picked, began) = (attempt.in_flight.picked.clone(), attempt.in_flight.began);
        let result = self.resume(attempt).await;
        self.after_attempt(&picked, began, result).await
    }

    async fn after_attempt(
        &mut self,
        picked: &Arc<PickedEndpoint>,
        began: Duration,
        result: AttemptResult<'a>,
    ) -> Next<'a> {
        let failure = match result {
            AttemptResult::Complete(response) => {
                self.record_answer();
                self.record_parts(response.status, began);
                self.record_attempt(picked, "whole");
                return Next::End(RequestOutcome::Complete(response));
            }
            AttemptResult::Ended(outcome) => {
                if matches!(outcome, RequestOutcome::Streamed { .. }) {
                    self.record_answer();
                    self.record_parts(200, began);
                }
                self.record_attempt(picked, "ended");
                return Next::End(outcome);
            }
            AttemptResult::GaveUp(cause) => {
                self.record_attempt(picked, "ended");
                return Next::GiveUp(cause);
            }
            AttemptResult::Overtaken(attempt) => {
                self.record_attempt(picked, "overtaken");
                return Next::Resume(attempt);
            }
            AttemptResult::ServerError(response) => {
                self.record_answer();
                self.last_error = Some(response);
                Failure::Error
            }
            AttemptResult::Failed(failure) => failure,
        };
        self.record_attempt(picked, failure);
        let failed = &self.shared.metrics.attempts;
        failed.with_label_values(&[failure.name()]).inc();
        if failure == Failure::OtherWeights {
            self.corrected += 1;
            self.sent -= 1;
        } else {
            self.excluded.push(picked.endpoint.id.clone());
        }
        if self.may_go_on(picked, failure).await {
            Next::Choose
        } else {
            Next::GiveUp(failure.final_cause())
        }
    }
}
