//! Attempts of one call at endpoints, until one begins to answer or none is left.
//!
//! The request's state machine says what may be done next and what a refusal may say; the retry budget says
//! whether it is worth it.

use super::call::Call;
use super::refusal::{Cause, Refused};
use super::transmit::{declined, incarnation, unless_gone};
use crate::control::{Event, Sighting};
use crate::pool::{Flight, Permit, Wish};
use crate::shared::Shared;
use admission::{Failure, RetryDecision, Sample};
use async_std::task;
use http::{Reply, Request, SendError};
use ids::WeightsVersion;
use lifecycle::request::{Request as Life, RequestEvent, RequestStep, RetryPolicy};
use placement::{EndpointKey, PrefixChain};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use wire::engine::RefusedReason;
use wire::headers;

/// Longest body of an endpoint's refusal that is read, bytes.
const REFUSAL_BYTES: u64 = 64 * 1024;

/// The attempts of one call.
pub struct Attempts {
    pub(super) shared: Arc<Shared>,
    pub(super) call: Call,
    pub(super) permit: Permit,
    pub(super) life: Life,
    pub(super) chain: PrefixChain,
    /// Weights that may serve it, the preferred ones first; empty for plain services.
    pub(super) weights: Vec<WeightsVersion>,
    pub(super) avoid: Vec<EndpointKey>,
    pub(super) count: u32,
}

/// What came of one send.
pub enum Sent {
    /// A head that is this request's.
    Head(Box<Reply>),
    /// The attempt failed, in this way.
    Failed(Failure),
    /// The caller has gone.
    Gone,
}

/// An endpoint that has begun to answer.
pub struct Opened {
    /// The attempt.
    pub flight: Flight,
    /// Its answer.
    pub reply: Reply,
}

impl Attempts {
    /// No attempt so far.
    pub fn new(shared: &Arc<Shared>, call: Call, permit: Permit, repeat: RetryPolicy) -> Self {
        Self {
            shared: shared.clone(),
            call,
            permit,
            life: Life::new(repeat),
            chain: PrefixChain::from_hashes(0, Vec::new(), &[]),
            weights: Vec::new(),
            avoid: Vec::new(),
            count: 0,
        }
    }

    /// Tries endpoints until one has begun an answer that `judge` accepts.
    pub async fn open<F, Fut>(&mut self, send: F) -> Result<Opened, Refused>
    where
        F: Fn(Arc<Shared>, Request, Vec<u8>, SocketAddr, Duration) -> Fut,
        Fut: Future<Output = Result<Reply, SendError>>,
    {
        loop {
            let flight = self.place()?;
            let (flight, sent) = self.send(flight, &send).await?;
            let failure = match sent {
                Sent::Head(reply) => return Ok(Opened { flight, reply: *reply }),
                Sent::Failed(failure) => failure,
                Sent::Gone => return Err(self.gone()),
            };
            self.failed(&flight, failure);
            self.pause(failure).await?;
        }
    }

    fn place(&mut self) -> Result<Flight, Refused> {
        let wish = Wish {
            chain: &self.chain,
            weights: &self.weights,
            avoid: &self.avoid,
        };
        let Some(flight) = self.permit.place(&wish) else {
            return Err(self.give_up(Cause::NoEndpoint));
        };
        self.count += 1;
        self.shared
            .metrics
            .placements
            .with_label_values(&[flight.reason.to_string()])
            .inc();
        Ok(flight)
    }

    /// Sends to the endpoint of `flight`, and to a second one if that is slow; the attempt that counts comes back.
    async fn send<F, Fut>(&mut self, flight: Flight, send: &F) -> Result<(Flight, Sent), Refused>
    where
        F: Fn(Arc<Shared>, Request, Vec<u8>, SocketAddr, Duration) -> Fut,
        Fut: Future<Output = Result<Reply, SendError>>,
    {
        let Some(left) = self.call.left(&self.shared) else {
            return Err(self.give_up(Cause::Deadline));
        };
        let step = self.life.on(RequestEvent::SendStarts);
        assert_eq!(step, RequestStep::Send, "a call is sent only where its state allows it");
        let sending = Box::pin(self.transmit(&flight, left, send));
        let (flight, result) = if self.is_completion() {
            self.race(flight, sending, send).await
        } else {
            (flight, unless_gone(&self.call.conn, sending).await)
        };
        let Some(result) = result else {
            self.cancel(&flight);
            return Ok((flight, Sent::Gone));
        };
        let sent = self.settle(&flight, result).await;
        Ok((flight, sent))
    }

    /// The request on its way to the endpoint of `flight`.
    pub(super) fn transmit<F, Fut>(&self, flight: &Flight, left: Duration, send: &F) -> Fut
    where
        F: Fn(Arc<Shared>, Request, Vec<u8>, SocketAddr, Duration) -> Fut,
    {
        let request = self.request(flight, left);
        let body = self.call.body.clone();
        send(self.shared.clone(), request, body, flight.address, left)
    }

    async fn settle(&mut self, flight: &Flight, result: Result<Reply, SendError>) -> Sent {
        match result {
            Ok(reply) => self.judge(flight, reply).await,
            Err(SendError::Timeout(true)) => {
                self.life.on(RequestEvent::SendFailed);
                self.cancel(flight);
                Sent::Failed(Failure::Timeout)
            }
            Err(err) if err.not_sent() => {
                self.life.on(RequestEvent::EndpointRefused);
                Sent::Failed(Failure::NotSent)
            }
            Err(_) => {
                self.life.on(RequestEvent::SendFailed);
                Sent::Failed(Failure::Unknown)
            }
        }
    }

    /// Whether a head is the answer to this request. A late answer to another one is never passed on.
    async fn judge(&mut self, flight: &Flight, reply: Reply) -> Sent {
        self.sight(flight, &reply);
        let status = u16::from(reply.status());
        let echoed = reply.header(headers::REQUEST_ID);
        // A refusal of another request says nothing of this one, which may be running.
        let crossed = echoed.is_some_and(|id| id != self.call.id.as_str());
        if status == 409 && self.is_completion() && !crossed {
            self.life.on(RequestEvent::EndpointRefused);
            return Sent::Failed(self.refused(flight, reply).await);
        }
        if declined(&reply) && !self.is_completion() && !crossed {
            self.life.on(RequestEvent::EndpointRefused);
            let incarnation = incarnation(&reply);
            self.tell(flight, Sighting::Leaves { incarnation });
            reply.close();
            return Sent::Failed(Failure::Declined);
        }
        self.life.on(RequestEvent::HeadArrived);
        // A plain service need not know of request ids; an engine does.
        let ours = !crossed && (reply.header(headers::REQUEST_ID).is_some() || !self.is_completion());
        if ours && self.allowed(&reply) && status < 500 {
            return Sent::Head(Box::new(reply));
        }
        reply.close();
        self.life.on(RequestEvent::AnswerFailed);
        Sent::Failed(Failure::Unknown)
    }

    /// An engine's refusal: it has not run the request.
    async fn refused(&self, flight: &Flight, reply: Reply) -> Failure {
        let incarnation = incarnation(&reply);
        let body = reply.read_body(REFUSAL_BYTES).await.unwrap_or_default();
        let Ok(refused) = serde_json::from_slice::<wire::engine::Refused>(&body) else {
            return Failure::Declined;
        };
        match refused.reason {
            RefusedReason::Full => Failure::Full,
            RefusedReason::Leaving => {
                self.tell(flight, Sighting::Leaves { incarnation });
                Failure::Declined
            }
            _ => Failure::Declined,
        }
    }

    /// Whether weights that may serve this request have served it.
    fn allowed(&self, reply: &Reply) -> bool {
        let served = reply.header(headers::WEIGHTS).unwrap_or_default();
        let allowed = self.weights.iter().any(|weights| weights.as_str() == served);
        allowed || !self.is_completion() || !reply.status().is_success()
    }

    pub(super) fn is_completion(&self) -> bool {
        !self.weights.is_empty()
    }

    /// Tells the control thread of a life or weights that differ from what is believed.
    fn sight(&self, flight: &Flight, reply: &Reply) {
        let incarnation = incarnation(reply);
        let weights = reply.header(headers::WEIGHTS).map(WeightsVersion::from);
        let believed = self.call.caller.view.belief(&flight.endpoint);
        let news = incarnation.is_some_and(|life| life != believed.incarnation)
            || (weights.is_some() && weights != believed.weights);
        if news {
            self.tell(flight, Sighting::Answered { incarnation, weights });
        }
    }

    fn failed(&mut self, flight: &Flight, failure: Failure) {
        let (why, sighting) = match failure {
            Failure::NotSent => ("not_sent", Some(Sighting::NotReached)),
            Failure::Declined => ("declined", None),
            Failure::Full => ("full", None),
            Failure::Unknown => ("broken", Some(Sighting::Broke)),
            Failure::Timeout => ("timeout", Some(Sighting::Silent)),
        };
        self.shared.metrics.retries.with_label_values(&[why]).inc();
        match failure {
            Failure::Full => flight.observe(Sample::Full),
            Failure::Timeout | Failure::Unknown => flight.observe(Sample::Timeout),
            Failure::NotSent | Failure::Declined => {}
        }
        if let Some(sighting) = sighting {
            self.tell(flight, sighting);
        }
        self.avoid.push(flight.key);
    }

    async fn pause(&mut self, failure: Failure) -> Result<(), Refused> {
        if self.life.ended() {
            return Err(Refused::with(cause(failure), self.life.ran()));
        }
        let repeatable = self.life.state() == lifecycle::request::RequestState::Queued;
        match self.permit.retry(self.count, repeatable, self.call.deadline, failure) {
            RetryDecision::Retry(pause) if pause.is_zero() => Ok(()),
            RetryDecision::Retry(pause) => {
                task::sleep(pause).await;
                Ok(())
            }
            RetryDecision::GiveUp(_) => Err(self.give_up(cause(failure))),
        }
    }

    /// The caller has gone: nobody reads this refusal, but the state must be ended.
    fn gone(&mut self) -> Refused {
        self.shared.metrics.callers_gone.inc();
        self.give_up(Cause::Endpoint)
    }

    /// Ends the request; what the refusal says follows from its state.
    pub fn give_up(&mut self, cause: Cause) -> Refused {
        let ran = self.life.ran();
        self.life.on(RequestEvent::GiveUp);
        Refused::with(cause, ran)
    }

    /// An answer broke off after its head: tries elsewhere if the state and the budget allow it.
    pub async fn again(&mut self, flight: Flight) -> Result<(), Refused> {
        self.failed(&flight, Failure::Unknown);
        drop(flight);
        self.pause(Failure::Unknown).await
    }

    pub(super) fn tell(&self, flight: &Flight, sighting: Sighting) {
        let event = Event::Endpoint(flight.endpoint.clone(), sighting);
        // The control thread is behind by a whole queue: the next sighting will do as well.
        let _ = self.shared.events.try_send(event);
    }

    /// Another endpoint, for the rest of a stream.
    pub fn place_again(&mut self, broken: EndpointKey) -> Option<Flight> {
        self.avoid.push(broken);
        let wish = Wish {
            chain: &self.chain,
            weights: &self.weights,
            avoid: &self.avoid,
        };
        self.permit.place(&wish).or_else(|| {
            // With no other endpoint of these weights the one that broke is as good as any.
            let wish = Wish { avoid: &[], ..wish };
            self.permit.place(&wish)
        })
    }
}

fn cause(failure: Failure) -> Cause {
    match failure {
        Failure::Timeout => Cause::Deadline,
        Failure::NotSent | Failure::Declined | Failure::Full => Cause::NoEndpoint,
        Failure::Unknown => Cause::Endpoint,
    }
}
