//! Attempts of one request, one after the other.

use super::Call;
use super::flight::Flight;
use super::record::{PromptNote, Record};
use super::relay::Relay;
use super::wait::{Outdated, Waited, wait};
use crate::dialect::AnswerFacts;
use crate::link::Link;
use crate::shared::Shared;
use dispatch::attempt::{self, Cause, Failure, Next, Tried, Unbegun, Wait};
use dispatch::fleet::{Behind, Choice, Outcome, Picked, Wish};
use http::raw::{Answer, ExchangeError, Headers, Source, exchange};
use ids::EndpointId;
use lifecycle::events::EventSplitter;
use lifecycle::request::{Request, RequestEvent, RequestState, RequestStep, RetryPolicy};
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use wire::caller::Ran;

/// Longest answer that is not streamed, bytes.
const ANSWER_BYTES: u64 = 8 << 20;

/// How a request ended.
pub enum Finish {
    /// With an endpoint's whole answer.
    Whole(WholeAnswer),
    /// With a whole stream, which the caller has.
    Streamed {
        /// Whether the caller's connection may be kept.
        keeps: bool,
    },
    /// Within a stream that the caller has a part of.
    Cut(&'static str),
    /// The caller has gone.
    Gone,
    /// Without an answer; the state tells whether it may have run.
    Refused(Cause, RequestState),
}

/// An endpoint's answer with its body.
pub struct WholeAnswer {
    /// Status.
    pub status: u16,
    /// Header lines for the caller.
    pub headers: Headers,
    /// Body.
    pub body: Vec<u8>,
}

/// What one attempt came to.
pub(super) enum Attempted {
    /// A whole answer.
    Whole(WholeAnswer),
    /// The endpoint's own error, whole.
    Error(WholeAnswer),
    /// The request has ended.
    Ended(Finish),
    /// It failed.
    Failed(Failure),
}

/// The attempts of one request.
pub(super) struct Attempts<'a> {
    pub(super) shared: &'a Arc<Shared>,
    pub(super) call: &'a Call<'a>,
    pub(super) record: &'a mut Record,
    pub(super) life: Request,
    pub(super) events: EventSplitter,
    /// Whether the caller has the head of a stream.
    pub(super) begun: bool,
    avoid: Vec<EndpointId>,
    sent: u32,
    unreached: u32,
    /// Endpoints that served other weights than they were believed to.
    corrected: u32,
    /// The last error that an endpoint answered with.
    error: Option<WholeAnswer>,
}

impl<'a> Attempts<'a> {
    pub(super) fn new(shared: &'a Arc<Shared>, call: &'a Call<'a>, record: &'a mut Record) -> Self {
        let repeat = if call.route.kind.repeatable() {
            RetryPolicy::Idempotent
        } else {
            RetryPolicy::Once
        };
        Self {
            shared,
            call,
            record,
            life: Request::new(repeat),
            events: EventSplitter::default(),
            begun: false,
            avoid: Vec::new(),
            sent: 0,
            unreached: 0,
            corrected: 0,
            error: None,
        }
    }

    /// Tries until the request has ended.
    pub(super) async fn run(&mut self) -> Finish {
        if self.too_many() {
            return self.give_up(Cause::Overloaded);
        }
        loop {
            let picked = match self.choose() {
                Ok(picked) => picked,
                Err(cause) => return self.give_up(cause),
            };
            let failure = match self.attempt(&picked).await {
                Attempted::Whole(answer) => {
                    self.note(&picked, "whole");
                    return Finish::Whole(answer);
                }
                Attempted::Ended(finish) => {
                    self.note(&picked, "ended");
                    return finish;
                }
                Attempted::Error(answer) => {
                    self.error = Some(answer);
                    Failure::Error
                }
                Attempted::Failed(failure) => failure,
            };
            self.note(&picked, failure.name());
            let failed = &self.shared.metrics.attempts;
            failed.with_label_values(&[failure.name()]).inc();
            if failure == Failure::OtherWeights {
                self.corrected += 1;
                self.sent -= 1;
            } else {
                self.avoid.push(picked.endpoint.id.clone());
            }
            if !self.again(failure) {
                return self.give_up(cause(failure));
            }
        }
    }

    /// Whether this request is one of those that are too many for first events to be in time.
    fn too_many(&self) -> bool {
        let now = self.shared.clock.now();
        let (kind, objective) = (self.call.route.kind, self.call.route.objective);
        let fleet = self.shared.fleet();
        kind.streams() && fleet.refuses(self.call.service, objective, rand::random(), now)
    }

    /// The first event has come, or the wait for it has ended.
    pub(super) fn waited(&self, began: Duration) {
        if self.begun || !self.call.route.kind.streams() {
            return;
        }
        let now = self.shared.clock.now();
        let waited = now.saturating_sub(began);
        let objective = self.call.route.objective;
        self.shared.fleet().waited(self.call.service, objective, waited, now);
    }

    fn note(&mut self, picked: &Picked, outcome: &str) {
        let now = self.shared.clock.now();
        self.record.tried(&picked.endpoint.id, picked.reason, outcome, now);
    }

    fn note_prompt(&mut self, picked: &Picked) {
        if let Some(prompt) = &self.call.wish.prompt {
            self.record.prompt = PromptNote {
                tokens: prompt.tokens,
                read: picked.prefill,
                prefix: prompt.shared().last().map_or(0, |part| part.id),
            };
        }
    }

    /// Time until the deadline.
    pub(super) fn left(&self) -> Duration {
        self.call.deadline.saturating_sub(self.shared.clock.now())
    }

    fn repeatable(&self) -> bool {
        self.call.route.kind.repeatable()
    }

    fn choose(&self) -> Result<Picked, Cause> {
        let wish = Wish {
            service: self.call.service,
            avoid: &self.avoid,
            prompt: self.call.wish.prompt.as_ref(),
            isolated: self.call.isolated,
        };
        let now = self.shared.clock.now();
        match self.shared.fleet().choose(&wish, rand::random(), now) {
            Choice::At(picked) => Ok(picked),
            Choice::Full => Err(Cause::Full),
            Choice::Limited(after) => Err(Cause::Limited(after)),
            Choice::Nowhere => Err(Cause::NoEndpoint),
        }
    }

    /// Whether another endpoint is to be tried.
    fn again(&mut self, failure: Failure) -> bool {
        if self.life.ended() {
            return false;
        }
        match attempt::next(&self.tried(), failure) {
            Next::AgainFree => true,
            Next::Stop => false,
            Next::Again => {
                let now = self.shared.clock.now();
                self.shared.fleet().another_attempt(self.call.service, now)
            }
        }
    }

    pub(super) fn give_up(&mut self, cause: Cause) -> Finish {
        let state = self.life.state();
        let exposed = self.life.ran() == Ran::Unknown;
        self.life.on(RequestEvent::GiveUp);
        if self.begun {
            return Finish::Cut(cause.name());
        }
        if let Some(error) = self.error.take() {
            return Finish::Whole(error);
        }
        let state = if exposed { RequestState::Unknown } else { state };
        Finish::Refused(cause, state)
    }

    async fn attempt(&mut self, picked: &Picked) -> Attempted {
        let mut flight = Flight::new(self.shared, picked);
        let link = match self.link(picked).await {
            Waited::Done(Ok(link)) => link,
            Waited::Done(Err(_)) => {
                self.unreached += 1;
                flight.outcome(Outcome::Unreached);
                return Attempted::Failed(Failure::NotSent);
            }
            Waited::CallerGone => return Attempted::Ended(self.gone()),
            Waited::TimeOver => return Attempted::Ended(self.give_up(Cause::Deadline)),
        };
        if self.outdated(picked) {
            // Connecting took longer than its weights are good for, and nothing was sent.
            return Attempted::Failed(Failure::NotSent);
        }
        if self.life.on(RequestEvent::SendStarts) != RequestStep::Send {
            return Attempted::Ended(self.give_up(Cause::EndpointFailed));
        }
        self.sent += 1;
        self.record.weights = self.behind(picked);
        self.note_prompt(picked);
        let within = attempt::patience(self.call.route.kind, &self.tried());
        let waited = match self.unbegun(picked, within, self.exchange(picked, link)).await {
            Ok(waited) => waited,
            Err(Outdated) => {
                self.life.on(RequestEvent::SendFailed);
                return self.taken_back(&flight);
            }
        };
        match waited {
            Waited::Done(Ok((answer, source))) => self.judge(&mut flight, answer, source).await,
            Waited::Done(Err(_)) => {
                flight.outcome(Outcome::Broken);
                self.life.on(RequestEvent::SendFailed);
                Attempted::Failed(Failure::Broken)
            }
            Waited::CallerGone => {
                self.waited(flight.began);
                Attempted::Ended(self.gone())
            }
            Waited::TimeOver => {
                self.waited(flight.began);
                flight.outcome(Outcome::Silent);
                self.silent()
            }
        }
    }

    /// Waits for what an endpoint sends before its first event. A request must not stay in the queue of an engine whose weights have
    /// become too old: the caller would wait for an answer that is worth nothing. Dropping the wait closes the connection, on which the engine
    /// drops the request.
    pub(super) async fn unbegun<T>(
        &self,
        picked: &Picked,
        within: Duration,
        future: impl Future<Output = T>,
    ) -> Result<Waited<T>, Outdated> {
        let conn = self.call.caller.conn.clone();
        let mut future = pin!(future);
        let until = self.shared.clock.now() + within;
        loop {
            let attempt = Unbegun {
                shows: self.shows_begin(),
                may_begin: !self.outdated(picked),
                left: until.saturating_sub(self.shared.clock.now()),
            };
            let pause = match attempt::unbegun(&attempt) {
                Wait::For(pause) => pause,
                Wait::Over => return Ok(Waited::TimeOver),
                Wait::TakeBack => return Err(Outdated),
            };
            match wait(&conn, pause, future.as_mut()).await {
                Waited::TimeOver => {}
                ended => return Ok(ended),
            }
        }
    }

    /// Whether the first event of an answer tells that the request has begun.
    fn shows_begin(&self) -> bool {
        self.call.route.kind.streams() && self.call.wish.prompt.is_some()
    }

    /// Whether the weights that an attempt names are too old to begin on by now.
    fn outdated(&self, picked: &Picked) -> bool {
        let now = self.shared.clock.now();
        let prompt = self.call.wish.prompt.as_ref();
        prompt.is_some_and(|prompt| !self.shared.fleet().may_begin(&prompt.model, picked.weights, now))
    }

    /// The request was taken back from a queue. That tells of its endpoint that first events are late there, and nothing of its health.
    pub(super) fn taken_back(&self, flight: &Flight<'_>) -> Attempted {
        self.waited(flight.began);
        Attempted::Failed(Failure::Outdated)
    }

    /// Weights that an attempt names, and how far they are behind.
    fn behind(&self, picked: &Picked) -> Option<(u64, Behind)> {
        let prompt = self.call.wish.prompt.as_ref()?;
        let weights = picked.weights?;
        let now = self.shared.clock.now();
        Some((weights, self.shared.fleet().behind(&prompt.model, weights, now)))
    }

    /// The endpoint has not answered in the time for this attempt.
    fn silent(&mut self) -> Attempted {
        if self.left().is_zero() {
            return Attempted::Ended(self.give_up(Cause::Deadline));
        }
        self.life.on(RequestEvent::SendFailed);
        Attempted::Failed(Failure::Silent)
    }

    fn tried(&self) -> Tried {
        Tried {
            sent: self.sent,
            unreached: self.unreached,
            corrected: self.corrected,
            attempts: self.call.route.attempts,
            repeatable: self.repeatable(),
            left: self.left(),
        }
    }

    async fn link(&self, picked: &Picked) -> Waited<Result<Link, ExchangeError>> {
        if self.repeatable()
            && let Some(link) = self.shared.links.kept(&picked.endpoint)
        {
            return Waited::Done(Ok(link));
        }
        let left = self.left();
        let open = self.shared.links.open(&picked.endpoint, left, &self.shared.metrics);
        wait(&self.call.caller.conn, left, open).await
    }

    async fn exchange(&self, picked: &Picked, link: Link) -> Result<(Answer, Source), ExchangeError> {
        let request = self.bytes(picked);
        let method = &self.call.caller.head.method;
        let facts = self.shared.dialect.facts;
        let id = &self.call.wish.id;
        let ours = |head: &http::raw::ResponseHead| facts(head).id.is_none_or(|echoed| echoed == *id);
        let mut source = link.source;
        match exchange(&mut source, &request, method, ours).await {
            Ok(answer) => Ok((answer, source)),
            // The endpoint closed the kept connection while the request was on its way, and may run twice.
            Err(err) if link.used && err.closed() => {
                let left = self.left();
                let fresh = self.shared.links.open(&picked.endpoint, left, &self.shared.metrics);
                source = fresh.await?.source;
                let answer = exchange(&mut source, &request, method, ours).await?;
                Ok((answer, source))
            }
            Err(err) => Err(err),
        }
    }

    async fn judge(&mut self, flight: &mut Flight<'_>, answer: Answer, source: Source) -> Attempted {
        let facts = (self.shared.dialect.facts)(&answer.head);
        self.learn(flight.picked, &facts);
        let status = answer.head.status;
        if facts.not_run || status == 421 {
            return self.refused(flight, status, &facts);
        }
        self.life.on(RequestEvent::HeadArrived);
        let success = (200..300).contains(&status);
        let own = facts.sealed && !facts.encoded && facts.id.is_some();
        if success && !own {
            return self.broke(flight);
        }
        if success && self.call.route.kind.streams() {
            return Relay::new(self, flight).run(answer, source, &facts).await;
        }
        if self.begun {
            // A stream goes on with a stream or not at all.
            return self.broke(flight);
        }
        self.whole(flight, answer, source, &facts).await
    }

    fn learn(&self, picked: &Picked, facts: &AnswerFacts) {
        let id = &picked.endpoint.id;
        let now = self.shared.clock.now();
        let mut fleet = self.shared.fleet();
        if let Some(load) = facts.load {
            fleet.reported(id, load, now);
        }
        if let (Some(prompt), Some(weights)) = (&self.call.wish.prompt, facts.weights) {
            fleet.serves_weights(id, &prompt.model, weights);
        }
        // A refusal without a rate says nothing of the need.
        let tells = facts.rate.is_some() || !facts.not_run;
        if tells && fleet.named_rate(id, facts.rate, now) {
            let rated = fleet.rated();
            drop(fleet);
            self.shared.metrics.rated.set(rated as i64);
            log::info!(
                endpoint = id.as_str(),
                // -1: it names none any more.
                rate = facts.rate.unwrap_or(-1.0),
                rated = rated;
                "endpoint: names a rate"
            );
            self.shared.waits_changed();
        }
    }

    fn refused(&mut self, flight: &Flight<'_>, status: u16, facts: &AnswerFacts) -> Attempted {
        self.life.on(RequestEvent::EndpointRefused);
        let meant = &flight.picked.endpoint.id;
        if status == 421 && facts.endpoint.as_ref().is_some_and(|other| other != meant) {
            // Another endpoint has the address now.
            flight.outcome(Outcome::Unreached);
            self.shared.links.forget(meant, None);
            return Attempted::Failed(Failure::Declined);
        }
        if status == 421
            && let Some(prompt) = &self.call.wish.prompt
        {
            self.shared.fleet().other_weights(meant, &prompt.model);
            return Attempted::Failed(Failure::OtherWeights);
        }
        flight.outcome(Outcome::Declined);
        let full = matches!(status, 429 | 503);
        Attempted::Failed(if full { Failure::Full } else { Failure::Declined })
    }

    pub(super) fn broke(&mut self, flight: &Flight<'_>) -> Attempted {
        flight.outcome(Outcome::Broken);
        self.events.discard_partial();
        self.life.on(RequestEvent::AnswerFailed);
        Attempted::Failed(Failure::Broken)
    }

    async fn whole(
        &mut self,
        flight: &mut Flight<'_>,
        mut answer: Answer,
        mut source: Source,
        facts: &AnswerFacts,
    ) -> Attempted {
        let conn = self.call.caller.conn.clone();
        let reading = answer.body.whole(&mut source, ANSWER_BYTES);
        let body = match wait(&conn, self.left(), reading).await {
            Waited::Done(Ok(body)) => body,
            Waited::Done(Err(_)) => return self.broke(flight),
            Waited::CallerGone => return Attempted::Ended(self.gone()),
            Waited::TimeOver => return Attempted::Ended(self.give_up(Cause::Deadline)),
        };
        let status = answer.head.status;
        let headers = (self.shared.dialect.answer)(&answer.head.headers);
        if answer.clean && answer.head.keeps() {
            self.shared
                .links
                .give_back(&flight.picked.endpoint, source, facts.keep_alive);
        }
        let whole = WholeAnswer { status, headers, body };
        if status >= 500 && self.repeatable() {
            flight.outcome(Outcome::Failed);
            self.life.on(RequestEvent::AnswerFailed);
            return Attempted::Error(whole);
        }
        if status >= 500 {
            flight.outcome(Outcome::Failed);
        } else {
            flight.answered();
        }
        self.life.on(RequestEvent::AnswerComplete);
        Attempted::Whole(whole)
    }

    /// The caller has gone: nobody reads an answer, but the state must be ended.
    pub(super) fn gone(&mut self) -> Finish {
        self.life.on(RequestEvent::GiveUp);
        Finish::Gone
    }
}

/// Why a request ends after its last attempt failed.
fn cause(failure: Failure) -> Cause {
    match failure {
        Failure::NotSent | Failure::Declined | Failure::OtherWeights => Cause::NoEndpoint,
        Failure::Full => Cause::Full,
        Failure::Silent => Cause::Deadline,
        Failure::Broken | Failure::Outdated | Failure::Error => Cause::EndpointFailed,
    }
}
