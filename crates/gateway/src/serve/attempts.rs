//! The attempts of one request, made one after the other.

use super::RoutedRequest;
use super::bounds;
use super::fate;
use super::in_flight::InFlightAttempt;
use super::observe;
use super::origin::Sender;
use super::outbox::Outbox;
use super::quota::QuotaCharge;
use super::record::{PromptRecord, Record};
use super::relay::{OpenStream, StreamRelay};
use super::response::{CompleteResponse, ReadResponse};
use super::silent::{PendingExchange, SilentAttempt};
use super::wait::{WaitOutcome, WeightsOutdated};
use crate::connections::{self, PooledConnection};
use crate::dialect::ResponseInfo;
use crate::shared::Shared;
use dispatch::attempt::{self, AttemptHistory, Cause, Failure, PendingAttempt, ResponseStep, RetryDecision, Wait};
use dispatch::fleet::{Choice, Outcome, PickContext, PickedEndpoint, Staleness};
use dispatch::overload::Admission;
use dispatch::quarantine::ContentKey;
use http::raw::{ExchangeError, exchange_parts};
use ids::{EndpointId, SoftwareVersion};
use lifecycle::events::EventSplitter;
use lifecycle::request::{Request, RequestEvent, RequestState, RequestStep, RetryPolicy};
use std::fmt::Display;
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use wire::client::Ran;

/// How a request ended.
pub enum RequestOutcome {
    /// A complete response of an endpoint.
    Complete(CompleteResponse),
    /// A complete stream, already sent to the client.
    Streamed {
        /// Whether the client's connection can be reused.
        keep_alive: bool,
    },
    /// A stream that broke after the client had received a part of it.
    Interrupted(&'static str),
    /// The client closed the connection.
    ClientDisconnected,
    /// No response. The state tells whether the request may have been executed.
    Refused(Cause, RequestState),
}

/// The result of one attempt.
pub(super) enum AttemptResult<'a> {
    /// A complete response.
    Complete(CompleteResponse),
    /// A complete response with a server error.
    ServerError(CompleteResponse),
    /// The request has ended.
    Ended(RequestOutcome),
    /// The attempt failed.
    Failed(Failure),
    /// No further attempt may be made.
    GaveUp(Cause),
    /// The silent endpoint of an earlier attempt went on first.
    Overtaken(Box<SilentAttempt<'a>>),
}

/// An endpoint for an attempt.
pub(super) enum Chosen {
    /// The endpoint, and since when the attempt counts for its load.
    Endpoint(Arc<PickedEndpoint>, Duration),
    /// All places of this router are in use; one becomes free about every so long.
    Occupied(Duration),
}

/// State of a request's attempts.
pub(super) struct Attempts<'a> {
    pub(super) shared: &'a Arc<Shared>,
    pub(super) request: &'a RoutedRequest<'a>,
    pub(super) content: ContentKey,
    pub(super) charge: QuotaCharge<'a>,
    pub(super) record: &'a mut Record,
    pub(super) lifecycle: Request,
    pub(super) events: EventSplitter,
    /// Events that the client has not taken.
    pub(super) outbox: Outbox,
    /// Whether the head of a stream was sent to the client.
    pub(super) head_sent: bool,
    /// Version of the software that began the stream. No other may continue it.
    pub(super) software: Option<SoftwareVersion>,
    /// The endpoint that last sent an event.
    pub(super) last_sender: Option<Sender>,
    /// Suspended attempts whose endpoints are silent.
    pub(super) silent: Vec<SilentAttempt<'a>>,
    pub(super) excluded: Vec<EndpointId>,
    pub(super) sent: u32,
    unreached: u32,
    /// Number of attempts that were rejected because the endpoint had other weights than expected.
    pub(super) corrected: u32,
    /// The last server error that an endpoint returned.
    pub(super) last_error: Option<CompleteResponse>,
    /// Whether the request is among those that overload never refuses.
    pub(super) always_admitted: bool,
    /// How many requests of its kind were admitted when it arrived.
    pub(super) admission: Admission,
}

impl<'a> Attempts<'a> {
    pub(super) fn new(
        shared: &'a Arc<Shared>,
        request: &'a RoutedRequest<'a>,
        charge: QuotaCharge<'a>,
        record: &'a mut Record,
    ) -> Self {
        let repeat = if request.route.kind.repeatable() {
            RetryPolicy::Idempotent
        } else {
            RetryPolicy::Once
        };
        let taken = request.info.last_event.filter(|_| request.route.kind.resumable());
        Self {
            shared,
            request,
            content: fate::content_key(request),
            charge,
            record,
            lifecycle: Request::new(repeat),
            events: EventSplitter::after(taken),
            outbox: Outbox::new(&request.incoming.conn, &shared.held),
            head_sent: false,
            software: request.software.clone(),
            last_sender: None,
            silent: Vec::new(),
            excluded: Vec::new(),
            sent: 0,
            unreached: 0,
            corrected: 0,
            last_error: None,
            always_admitted: false,
            admission: Admission::ALL,
        }
    }

    pub(super) fn record_attempt(&mut self, picked: &PickedEndpoint, outcome: impl Display) {
        let now = self.shared.clock.now();
        self.record.attempt(&picked.endpoint.id, picked.reason, outcome, now);
    }

    fn record_prompt(&mut self, picked: &PickedEndpoint) {
        if let Some(prompt) = &self.request.info.prompt {
            self.record.prompt = PromptRecord {
                tokens: prompt.tokens,
                read: picked.prefill,
                prefix: prompt.shared().last().map_or(0, |part| part.id),
            };
        }
    }

    /// Time until the deadline.
    pub(super) fn remaining(&self) -> Duration {
        self.request.deadline.saturating_sub(self.shared.clock.now())
    }

    fn repeatable(&self) -> bool {
        self.request.route.kind.repeatable()
    }

    /// What the choice of an endpoint depends on; `unread` is from [`Self::unread`].
    pub(super) fn pick_context<'c>(&'c self, unread: &'c [u64]) -> PickContext<'c> {
        PickContext {
            service: self.request.service,
            avoid: &self.excluded,
            prompt: self.request.info.prompt.as_ref(),
            scope: self.scope_hash(),
            objective: Some(self.request.route.objective),
            pause: self.request.route.pause,
            unread,
            rank: self.request.rank,
            attempts: self.request.route.attempts,
            software: self.software_rule(),
        }
    }

    pub(super) fn choose(&self) -> Result<Chosen, Cause> {
        let unread = self.unread();
        let context = self.pick_context(&unread);
        let now = self.shared.clock.now();
        let mut fleet = self.shared.fleet();
        match fleet.choose(&context, rand::random(), now) {
            Choice::Endpoint(picked) => {
                let entry = &picked.endpoint;
                fleet.request_started(&entry.id, entry.incarnation, picked.prefill, now);
                fleet.answer_started(&picked, now);
                Ok(Chosen::Endpoint(Arc::new(picked), now))
            }
            Choice::Occupied(turn) => Ok(Chosen::Occupied(turn)),
            Choice::Full => Err(Cause::Full),
            Choice::RateLimited(after) => Err(Cause::Limited(after)),
            Choice::Unavailable => Err(Cause::NoEndpoint),
        }
    }

    /// Whether another attempt may be made.
    pub(super) fn may_retry(&mut self, failure: Failure) -> bool {
        if self.lifecycle.ended() || !self.is_origin_certain() {
            return false;
        }
        match attempt::retry_decision(&self.tried(), failure) {
            RetryDecision::RetryFree => true,
            RetryDecision::GiveUp => false,
            RetryDecision::Retry => {
                let now = self.shared.clock.now();
                self.shared.fleet().try_retry(self.request.service, now)
            }
        }
    }

    pub(super) fn give_up(&mut self, cause: Cause) -> RequestOutcome {
        let state = self.lifecycle.state();
        let may_have_run = self.lifecycle.ran() == Ran::Unknown;
        self.lifecycle.on(RequestEvent::GiveUp);
        if self.head_sent {
            return RequestOutcome::Interrupted(cause.name());
        }
        if let Some(error) = self.last_error.take() {
            return RequestOutcome::Complete(error);
        }
        let state = if may_have_run { RequestState::Unknown } else { state };
        RequestOutcome::Refused(cause, state)
    }

    pub(super) async fn attempt(&mut self, picked: &Arc<PickedEndpoint>, began: Duration) -> AttemptResult<'a> {
        let mut in_flight = InFlightAttempt::new(self.shared, picked.clone(), began);
        let connection = match self.connect(picked).await {
            WaitOutcome::Done(Ok(connection)) => connection,
            WaitOutcome::Done(Err(_)) => {
                self.unreached += 1;
                in_flight.outcome(Outcome::ConnectFailed);
                return AttemptResult::Failed(Failure::NotSent);
            }
            WaitOutcome::ClientDisconnected => return AttemptResult::Ended(self.client_disconnected()),
            WaitOutcome::Resumed(attempt) => return AttemptResult::Overtaken(attempt),
            WaitOutcome::TimedOut => return AttemptResult::GaveUp(Cause::Deadline),
        };
        if self.weights_outdated(picked) || !in_flight.may_be_sent() {
            // The endpoint became unusable while connecting. Nothing was sent.
            return AttemptResult::Failed(Failure::NotSent);
        }
        if let Some(cause) = self.refused_before_send() {
            return AttemptResult::GaveUp(cause);
        }
        if self.lifecycle.on(RequestEvent::SendStarts) != RequestStep::Send {
            return AttemptResult::GaveUp(Cause::EndpointFailed);
        }
        self.sent += 1;
        in_flight.sent();
        self.charge.attempt_starts();
        self.record.tunnel = connection.tunnel;
        self.record.weights = self.weights_age(picked);
        self.record_prompt(picked);
        let exchange = self.exchange(picked, connection);
        self.await_head(in_flight, exchange).await
    }

    fn attempt_timeout(&self) -> Duration {
        attempt::attempt_timeout(self.request.route.kind, &self.tried())
    }

    /// Waits for the head of a response and handles it.
    pub(super) async fn await_head(
        &mut self,
        in_flight: InFlightAttempt<'a>,
        mut exchange: PendingExchange<'a>,
    ) -> AttemptResult<'a> {
        let within = self.attempt_timeout();
        let waited = match self.wait_for_begin(&in_flight.picked, within, exchange.as_mut()).await {
            Ok(waited) => waited,
            Err(WeightsOutdated) => {
                self.lifecycle.on(RequestEvent::SendFailed);
                return self.cancelled(&in_flight);
            }
        };
        match waited {
            WaitOutcome::Done(Ok((answer, source))) => {
                let response = ReadResponse::new(self.shared, answer, source);
                // Boxed: the future is large, and a request that waits for a response needs no room for it.
                Box::pin(self.handle_response(in_flight, response)).await
            }
            WaitOutcome::Done(Err(err)) => {
                bounds::record(self.shared, &in_flight.picked.endpoint.id, err.bound());
                in_flight.outcome(Outcome::Broken);
                self.lifecycle.on(RequestEvent::SendFailed);
                AttemptResult::Failed(Failure::Broken)
            }
            WaitOutcome::ClientDisconnected => {
                self.record_wait(in_flight.began);
                AttemptResult::Ended(self.client_disconnected())
            }
            WaitOutcome::Resumed(attempt) => {
                self.lifecycle.on(RequestEvent::SendFailed);
                AttemptResult::Overtaken(attempt)
            }
            WaitOutcome::TimedOut => {
                self.record_wait(in_flight.began);
                if self.remaining().is_zero() {
                    in_flight.outcome(Outcome::Timeout);
                    return AttemptResult::GaveUp(Cause::Deadline);
                }
                self.lifecycle.on(RequestEvent::SendFailed);
                self.suspend(SilentAttempt::sent(in_flight, exchange));
                AttemptResult::Failed(Failure::Timeout)
            }
        }
    }

    /// Waits for what an endpoint sends before its first event. A request must not stay in the queue of an engine whose
    /// weights are outdated, because its response would be useless. Dropping the future closes the connection, and the
    /// engine then drops the request.
    pub(super) async fn wait_for_begin<T>(
        &mut self,
        picked: &PickedEndpoint,
        within: Duration,
        future: impl Future<Output = T>,
    ) -> Result<WaitOutcome<'a, T>, WeightsOutdated> {
        let mut future = pin!(future);
        let until = self.shared.clock.now() + within;
        loop {
            let attempt = PendingAttempt {
                begin_visible: self.begin_is_visible(),
                weights_usable: !self.weights_outdated(picked),
                remaining: until.saturating_sub(self.shared.clock.now()),
            };
            let pause = match attempt::first_event_wait(&attempt) {
                Wait::For(pause) => pause,
                Wait::TimedOut => return Ok(WaitOutcome::TimedOut),
                Wait::Cancel => return Err(WeightsOutdated),
            };
            match self.wait(pause, future.as_mut()).await {
                WaitOutcome::TimedOut => {}
                ended => return Ok(ended),
            }
        }
    }

    /// Whether the first event of a response shows that the request has begun.
    pub(super) fn begin_is_visible(&self) -> bool {
        self.request.route.kind.streams() && self.request.info.prompt.is_some()
    }

    /// Whether the weights that an attempt names are too old to begin with now.
    pub(super) fn weights_outdated(&self, picked: &PickedEndpoint) -> bool {
        let now = self.shared.clock.now();
        let prompt = self.request.info.prompt.as_ref();
        prompt.is_some_and(|prompt| !self.shared.fleet().may_begin(&prompt.model, picked.weights, now))
    }

    /// Handles a request that was cancelled while it waited in an endpoint's queue. The wait counts for the delay of
    /// first events there, but not for the health of the endpoint.
    pub(super) fn cancelled(&self, in_flight: &InFlightAttempt<'_>) -> AttemptResult<'a> {
        self.record_wait(in_flight.began);
        AttemptResult::Failed(Failure::Outdated)
    }

    /// The weights that an attempt names, and how long they have been outdated.
    fn weights_age(&self, picked: &PickedEndpoint) -> Option<(u64, Staleness)> {
        let prompt = self.request.info.prompt.as_ref()?;
        let weights = picked.weights?;
        let now = self.shared.clock.now();
        Some((weights, self.shared.fleet().staleness(&prompt.model, weights, now)))
    }

    fn tried(&self) -> AttemptHistory {
        AttemptHistory {
            sent: self.sent,
            connect_failures: self.unreached,
            weight_mismatches: self.corrected,
            max_attempts: self.request.route.attempts,
            repeatable: self.repeatable(),
            remaining: self.remaining(),
        }
    }

    async fn connect(&mut self, picked: &PickedEndpoint) -> WaitOutcome<'a, Result<PooledConnection, ExchangeError>> {
        if self.repeatable()
            && let Some(connection) = self.shared.connections.take_idle(&picked.endpoint)
        {
            return WaitOutcome::Done(Ok(connection));
        }
        let limit = self.remaining();
        let open = Box::pin(connections::open(self.shared, &picked.endpoint, limit));
        self.wait(limit, open).await
    }

    fn exchange(&self, picked: &Arc<PickedEndpoint>, mut connection: PooledConnection) -> PendingExchange<'a> {
        let encoded = self.encode(picked);
        let remaining = self.remaining();
        // A request that was sent some time ago may be running, and its attempt may be suspended beside another one.
        let resend_until = self.shared.clock.now() + attempt::MAX_TRANSIT.min(self.attempt_timeout());
        let (shared, request, picked) = (self.shared, self.request, picked.clone());
        Box::pin(async move {
            let method = &request.incoming.head.method;
            let parse = shared.dialect.parse_response;
            let id = &request.info.id;
            let ours = |head: &http::raw::ResponseHead| parse(head).id.is_none_or(|echoed| echoed == *id);
            let mut answer = exchange_parts(&mut connection.source, encoded.parts(), method, ours).await;
            let in_time = shared.clock.now() < resend_until;
            if connection.used && in_time && answer.as_ref().is_err_and(ExchangeError::is_closed) {
                // The endpoint closed the reused connection while the request was in transit. Sending it again is safe,
                // because only repeatable requests use such connections.
                connection = connections::open(shared, &picked.endpoint, remaining).await?;
                answer = exchange_parts(&mut connection.source, encoded.parts(), method, ours).await;
            }
            let mut answer = answer?;
            answer.reusable &= !connection.tunnel;
            Ok((answer, connection.source))
        })
    }

    pub(super) async fn handle_response(
        &mut self,
        mut in_flight: InFlightAttempt<'a>,
        response: ReadResponse,
    ) -> AttemptResult<'a> {
        let head = &response.answer.head;
        let info = (self.shared.dialect.parse_response)(head);
        let prompt = self.request.info.prompt.as_ref();
        let status = head.status;
        observe::record_info(self.shared, &in_flight, prompt, status, &info);
        if info.not_run || status == 421 {
            in_flight.ended();
            return self.handle_refusal(&in_flight, status, &info);
        }
        self.lifecycle.on(RequestEvent::HeadArrived);
        let success = (200..300).contains(&status);
        if success && !info.is_authentic() {
            return self.response_broken(&in_flight);
        }
        if success && response.answer.has_body() && self.request.route.kind.streams() {
            let stream = OpenStream::new(response.answer, response.source, info, self.shared.clock.now());
            return StreamRelay::new(self, in_flight, stream).run().await;
        }
        if self.head_sent {
            // Only another stream can continue a stream.
            return self.response_broken(&in_flight);
        }
        self.read_response(in_flight, response, &info).await
    }

    fn handle_refusal(
        &mut self,
        in_flight: &InFlightAttempt<'_>,
        status: u16,
        info: &ResponseInfo,
    ) -> AttemptResult<'a> {
        self.lifecycle.on(RequestEvent::EndpointRefused);
        let intended = &in_flight.picked.endpoint.id;
        if status == 421 && info.endpoint.as_ref().is_some_and(|other| other != intended) {
            // Another endpoint uses this address now.
            in_flight.outcome(Outcome::ConnectFailed);
            self.shared.connections.remove(intended, None);
            return AttemptResult::Failed(Failure::Declined);
        }
        if status == 421
            && let Some(prompt) = &self.request.info.prompt
        {
            self.shared.fleet().correct_weights(intended, &prompt.model);
            return AttemptResult::Failed(Failure::OtherWeights);
        }
        in_flight.outcome(Outcome::Declined);
        let full = matches!(status, 429 | 503);
        AttemptResult::Failed(if full { Failure::Full } else { Failure::Declined })
    }

    pub(super) fn response_broken(&mut self, in_flight: &InFlightAttempt<'_>) -> AttemptResult<'a> {
        in_flight.outcome(Outcome::Broken);
        self.events.discard_partial();
        self.lifecycle.on(RequestEvent::AnswerFailed);
        AttemptResult::Failed(Failure::Broken)
    }

    async fn read_response(
        &mut self,
        mut in_flight: InFlightAttempt<'a>,
        mut response: ReadResponse,
        info: &ResponseInfo,
    ) -> AttemptResult<'a> {
        let (shared, end_timeout) = (self.shared, self.end_timeout());
        let finish = response.finish_confirmed(shared, &in_flight.picked.endpoint, end_timeout);
        match self.wait(self.remaining(), finish).await {
            WaitOutcome::Done(Ok(())) => {}
            WaitOutcome::Done(Err(err)) => return self.read_failed(&in_flight, &err),
            WaitOutcome::ClientDisconnected => return AttemptResult::Ended(self.client_disconnected()),
            WaitOutcome::Resumed(attempt) => {
                self.lifecycle.on(RequestEvent::AnswerFailed);
                return AttemptResult::Overtaken(attempt);
            }
            WaitOutcome::TimedOut => return AttemptResult::GaveUp(Cause::Deadline),
        }
        let reusable = response.answer.reusable && response.answer.head.keeps_alive();
        let headers = (shared.dialect.response_headers)(&response.answer.head.headers);
        let (response, source) = response.complete(headers);
        if reusable {
            let endpoint = &in_flight.picked.endpoint;
            shared.connections.put_back(endpoint, source, info.keep_alive);
        }
        in_flight.ended();
        if response.status >= 500 {
            in_flight.outcome(Outcome::Failed);
        } else {
            in_flight.answered();
            if response.status < 300 {
                in_flight.record_call();
            }
        }
        self.response_complete(response)
    }

    fn response_complete(&mut self, response: CompleteResponse) -> AttemptResult<'a> {
        match attempt::response_step(response.status, self.repeatable()) {
            ResponseStep::Forward => {
                self.lifecycle.on(RequestEvent::AnswerComplete);
                AttemptResult::Complete(response)
            }
            ResponseStep::Retry => {
                self.lifecycle.on(RequestEvent::AnswerFailed);
                AttemptResult::ServerError(response)
            }
            ResponseStep::Withhold => {
                self.lifecycle.on(RequestEvent::AnswerFailed);
                self.record_answer();
                AttemptResult::Failed(Failure::Withheld(response.status))
            }
        }
    }

    /// The client closed the connection. There is nobody to respond to, but the request's state must be ended.
    pub(super) fn client_disconnected(&mut self) -> RequestOutcome {
        self.lifecycle.on(RequestEvent::GiveUp);
        RequestOutcome::ClientDisconnected
    }
}
