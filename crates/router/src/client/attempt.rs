//! Attempts to run one request at endpoints, until one returns a response head or no attempt is left.
//!
//! The request's state machine decides which step is allowed next and what a refusal may state. The retry budget
//! decides whether another attempt is worth its cost.

use super::call::Call;
use super::refusal::{Cause, Refused};
use super::transmit::{declined, incarnation, unless_disconnected};
use crate::control::{Event, Observation};
use crate::pool::{EndpointAttempt, Permit, PickContext};
use crate::shared::Shared;
use admission::{Failure, RetryDecision, Sample};
use async_std::task;
use http::{Reply, Request, SendError};
use ids::WeightsVersion;
use lifecycle::request::{Request as RequestLifecycle, RequestEvent, RequestStep, RetryPolicy};
use placement::{EndpointKey, PrefixChain};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use wire::engine::RefusedReason;
use wire::headers;

/// Maximum size of the body of an endpoint's refusal, bytes.
const REFUSAL_BYTES: u64 = 64 * 1024;
/// Longest wait for it once its head has arrived. Without it the refusal counts as one for an unknown reason.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// The attempts of one request.
pub struct Attempts {
    pub(super) shared: Arc<Shared>,
    pub(super) call: Call,
    pub(super) permit: Permit,
    pub(super) lifecycle: RequestLifecycle,
    pub(super) chain: PrefixChain,
    /// Weights that may serve the request, preferred first; empty for plain services.
    pub(super) weights: Vec<WeightsVersion>,
    pub(super) excluded: Vec<EndpointKey>,
    pub(super) count: u32,
}

/// Outcome of one send.
pub enum SendOutcome {
    /// A response head that belongs to this request.
    Head(Box<Reply>),
    /// The attempt failed.
    Failed(Failure),
    /// The client disconnected.
    ClientGone,
}

/// The head of an endpoint's response, with its attempt.
pub struct OpenedReply {
    /// The attempt.
    pub attempt: EndpointAttempt,
    /// The response.
    pub reply: Reply,
}

impl Attempts {
    /// Creates the state of a request that has not been sent.
    pub fn new(shared: &Arc<Shared>, call: Call, permit: Permit, retry_policy: RetryPolicy) -> Self {
        Self {
            shared: shared.clone(),
            call,
            permit,
            lifecycle: RequestLifecycle::new(retry_policy),
            chain: PrefixChain::from_hashes(0, Vec::new(), &[]),
            weights: Vec::new(),
            excluded: Vec::new(),
            count: 0,
        }
    }

    /// Tries endpoints until one returns a head that [`Self::classify_head`] accepts.
    pub async fn open<F, Fut>(&mut self, send: F) -> Result<OpenedReply, Refused>
    where
        F: Fn(Arc<Shared>, Request, Vec<u8>, SocketAddr, Duration) -> Fut,
        Fut: Future<Output = Result<Reply, SendError>>,
    {
        loop {
            let attempt = self.place()?;
            let (attempt, sent) = self.send(attempt, &send).await?;
            let failure = match sent {
                SendOutcome::Head(reply) => return Ok(OpenedReply { attempt, reply: *reply }),
                SendOutcome::Failed(failure) => failure,
                SendOutcome::ClientGone => return Err(self.client_gone()),
            };
            self.record_failure(&attempt, failure);
            self.wait_for_retry(failure).await?;
        }
    }

    fn place(&mut self) -> Result<EndpointAttempt, Refused> {
        let context = PickContext {
            chain: &self.chain,
            weights: &self.weights,
            excluded: &self.excluded,
        };
        let Some(attempt) = self.permit.place(&context) else {
            return Err(self.give_up(Cause::NoEndpoint));
        };
        self.count += 1;
        self.shared
            .metrics
            .placements
            .with_label_values(&[attempt.reason.to_string()])
            .inc();
        Ok(attempt)
    }

    /// Sends to the endpoint of `attempt`, and to a second endpoint if the first is slow. Returns the attempt whose
    /// outcome counts.
    async fn send<F, Fut>(
        &mut self,
        attempt: EndpointAttempt,
        send: &F,
    ) -> Result<(EndpointAttempt, SendOutcome), Refused>
    where
        F: Fn(Arc<Shared>, Request, Vec<u8>, SocketAddr, Duration) -> Fut,
        Fut: Future<Output = Result<Reply, SendError>>,
    {
        let Some(remaining) = self.call.remaining(&self.shared) else {
            return Err(self.give_up(Cause::Deadline));
        };
        let step = self.lifecycle.on(RequestEvent::SendStarts);
        assert_eq!(
            step,
            RequestStep::Send,
            "a request is sent only in a state that allows it"
        );
        let sending = Box::pin(self.transmit(&attempt, remaining, send));
        let (attempt, result) = if self.is_completion() {
            self.race(attempt, sending, send).await
        } else {
            (attempt, unless_disconnected(&self.call.conn, sending).await)
        };
        let Some(result) = result else {
            self.cancel(&attempt);
            return Ok((attempt, SendOutcome::ClientGone));
        };
        let sent = self.classify_result(&attempt, result).await;
        Ok((attempt, sent))
    }

    /// Sends the request to the endpoint of `attempt`.
    pub(super) fn transmit<F, Fut>(&self, attempt: &EndpointAttempt, remaining: Duration, send: &F) -> Fut
    where
        F: Fn(Arc<Shared>, Request, Vec<u8>, SocketAddr, Duration) -> Fut,
    {
        let request = self.request(attempt, remaining);
        let body = self.call.body.clone();
        send(self.shared.clone(), request, body, attempt.address, remaining)
    }

    async fn classify_result(&mut self, attempt: &EndpointAttempt, result: Result<Reply, SendError>) -> SendOutcome {
        match result {
            Ok(reply) => self.classify_head(attempt, reply).await,
            Err(SendError::Timeout(true)) => {
                self.lifecycle.on(RequestEvent::SendFailed);
                self.cancel(attempt);
                SendOutcome::Failed(Failure::Timeout)
            }
            Err(err) if err.not_sent() => {
                self.lifecycle.on(RequestEvent::EndpointRefused);
                SendOutcome::Failed(Failure::NotSent)
            }
            Err(_) => {
                self.lifecycle.on(RequestEvent::SendFailed);
                SendOutcome::Failed(Failure::Unknown)
            }
        }
    }

    /// Decides whether a head belongs to this request. A late response to another request is never forwarded.
    async fn classify_head(&mut self, attempt: &EndpointAttempt, reply: Reply) -> SendOutcome {
        self.report_changes(attempt, &reply);
        let status = u16::from(reply.status());
        let echoed = reply.header(headers::REQUEST_ID);
        // A refusal of another request does not show whether this one ran.
        let mismatched = echoed.is_some_and(|id| id != self.call.id.as_str());
        if status == 409 && self.is_completion() && !mismatched {
            self.lifecycle.on(RequestEvent::EndpointRefused);
            return SendOutcome::Failed(self.classify_refusal(attempt, reply).await);
        }
        if declined(&reply) && !self.is_completion() && !mismatched {
            self.lifecycle.on(RequestEvent::EndpointRefused);
            let incarnation = incarnation(&reply);
            self.report(attempt, Observation::Draining { incarnation });
            reply.close();
            return SendOutcome::Failed(Failure::Declined);
        }
        self.lifecycle.on(RequestEvent::HeadArrived);
        if self.is_usable(&reply) {
            return SendOutcome::Head(Box::new(reply));
        }
        reply.close();
        self.lifecycle.on(RequestEvent::AnswerFailed);
        SendOutcome::Failed(Failure::Unknown)
    }

    /// Whether a reply answers this request.
    pub(super) fn is_usable(&self, reply: &Reply) -> bool {
        let status = u16::from(reply.status());
        let echoed = reply.header(headers::REQUEST_ID);
        // Engines must echo the request id; plain services may omit it.
        let matches = echoed.map_or(!self.is_completion(), |id| id == self.call.id.as_str());
        let is_refused = status == 409 && self.is_completion();
        matches && !is_refused && self.weights_allowed(reply) && status < 500
    }

    /// Classifies an engine's refusal. The engine has not run the request.
    async fn classify_refusal(&self, attempt: &EndpointAttempt, reply: Reply) -> Failure {
        let incarnation = incarnation(&reply);
        let remaining = self.call.remaining(&self.shared).unwrap_or_default();
        let body = reply.read_body(REFUSAL_BYTES, remaining.min(REFUSAL_TIMEOUT)).await;
        let body = body.unwrap_or_default();
        let Ok(refused) = serde_json::from_slice::<wire::engine::Refused>(&body) else {
            return Failure::Declined;
        };
        match refused.reason {
            RefusedReason::Full => Failure::Full,
            RefusedReason::Leaving => {
                self.report(attempt, Observation::Draining { incarnation });
                Failure::Declined
            }
            _ => Failure::Declined,
        }
    }

    /// Whether the weights that served are allowed for this request.
    fn weights_allowed(&self, reply: &Reply) -> bool {
        let served = reply.header(headers::WEIGHTS).unwrap_or_default();
        let allowed = self.weights.iter().any(|weights| weights.as_str() == served);
        allowed || !self.is_completion() || !reply.status().is_success()
    }

    pub(super) fn is_completion(&self) -> bool {
        !self.weights.is_empty()
    }

    /// Reports an incarnation or weights that differ from the published state to the control thread.
    fn report_changes(&self, attempt: &EndpointAttempt, reply: &Reply) {
        let incarnation = incarnation(reply);
        let weights = reply.header(headers::WEIGHTS).map(WeightsVersion::from);
        let known = self.call.auth.view.endpoint_state(&attempt.endpoint);
        let changed = incarnation.is_some_and(|number| number != known.incarnation)
            || (weights.is_some() && weights != known.weights);
        if changed {
            self.report(attempt, Observation::Answered { incarnation, weights });
        }
    }

    fn record_failure(&mut self, attempt: &EndpointAttempt, failure: Failure) {
        let (reason, observation) = match failure {
            Failure::NotSent => ("not_sent", Some(Observation::ConnectFailed)),
            Failure::Declined => ("declined", None),
            Failure::Full => ("full", None),
            Failure::Unknown => ("broken", Some(Observation::ConnectionLost)),
            Failure::Timeout => ("timeout", Some(Observation::Timeout)),
        };
        self.shared.metrics.retries.with_label_values(&[reason]).inc();
        match failure {
            Failure::Full => attempt.observe(Sample::Full),
            Failure::Timeout | Failure::Unknown => attempt.observe(Sample::Timeout),
            Failure::NotSent | Failure::Declined => {}
        }
        if let Some(observation) = observation {
            self.report(attempt, observation);
        }
        self.excluded.push(attempt.key);
    }

    async fn wait_for_retry(&mut self, failure: Failure) -> Result<(), Refused> {
        if self.lifecycle.ended() {
            return Err(Refused::new(cause(failure), self.lifecycle.ran()));
        }
        let repeatable = self.lifecycle.state() == lifecycle::request::RequestState::Queued;
        match self.permit.retry(self.count, repeatable, self.call.deadline, failure) {
            RetryDecision::Retry(pause) if pause.is_zero() => Ok(()),
            RetryDecision::Retry(pause) => {
                task::sleep(pause).await;
                Ok(())
            }
            RetryDecision::GiveUp(_) => Err(self.give_up(cause(failure))),
        }
    }

    /// Ends the state of a request whose client has disconnected. The refusal is not delivered.
    fn client_gone(&mut self) -> Refused {
        self.shared.metrics.clients_gone.inc();
        self.give_up(Cause::EndpointFailed)
    }

    /// Ends the request. Its state determines whether the refusal says that it ran.
    pub fn give_up(&mut self, cause: Cause) -> Refused {
        let ran = self.lifecycle.ran();
        self.lifecycle.on(RequestEvent::GiveUp);
        Refused::new(cause, ran)
    }

    /// The response failed after its head: prepares an attempt at another endpoint if the state and the retry budget
    /// allow it.
    pub async fn retry(&mut self, attempt: EndpointAttempt) -> Result<(), Refused> {
        self.record_failure(&attempt, Failure::Unknown);
        drop(attempt);
        self.wait_for_retry(Failure::Unknown).await
    }

    pub(super) fn report(&self, attempt: &EndpointAttempt, observation: Observation) {
        let event = Event::Endpoint(attempt.endpoint.clone(), observation);
        // Dropped if the event queue is full: a later observation carries the same information.
        let _ = self.shared.events.try_send(event);
    }

    /// Chooses an endpoint for the rest of a stream, preferring one that has not failed.
    pub fn place_resume(&mut self, broken: EndpointKey) -> Option<EndpointAttempt> {
        self.excluded.push(broken);
        let context = PickContext {
            chain: &self.chain,
            weights: &self.weights,
            excluded: &self.excluded,
        };
        self.permit.place(&context).or_else(|| {
            // No other endpoint serves these weights, so the failed one may be used again.
            let context = PickContext {
                excluded: &[],
                ..context
            };
            self.permit.place(&context)
        })
    }
}

fn cause(failure: Failure) -> Cause {
    match failure {
        Failure::Timeout => Cause::Deadline,
        Failure::NotSent | Failure::Declined | Failure::Full => Cause::NoEndpoint,
        Failure::Unknown => Cause::EndpointFailed,
    }
}
