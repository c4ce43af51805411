//! Attempts whose endpoint is silent.
//!
//! A silent endpoint may only be pausing. Its attempt is suspended while another endpoint is tried, and the first one to
//! send something continues the response. If nothing else can, the request waits for the silent endpoint.

use super::attempts::{AttemptResult, Attempts};
use super::in_flight::InFlightAttempt;
use super::observe;
use super::relay::{OpenStream, StreamRelay};
use super::wait::{self, WaitOutcome};
use crate::dialect::ResponseInfo;
use crate::shared::Shared;
use dispatch::attempt::{self, Cause};
use dispatch::fleet::{Outcome, Prompt};
use futures::FutureExt;
use futures::future::{BoxFuture, select_all};
use http::raw::{ExchangeError, Response, ResponseHead, Source};
use lifecycle::request::RequestEvent;
use std::future::Future;
use std::time::Duration;

/// An exchange with an endpoint up to the head of its response.
pub(super) type PendingExchange<'a> = BoxFuture<'a, Result<(Response, Source), ExchangeError>>;

/// A suspended attempt.
pub(super) struct SilentAttempt<'a> {
    pub(super) in_flight: InFlightAttempt<'a>,
    progress: Progress<'a>,
}

/// How far a suspended attempt has come.
enum Progress<'a> {
    /// The head of the response has not arrived.
    Sent(PendingExchange<'a>),
    /// The head arrived while the attempt was suspended.
    Answered(Box<(Response, Source)>),
    /// The next event of the stream has not arrived.
    Streaming(Box<OpenStream>),
}

/// What a silent endpoint did.
enum Sign {
    /// It sent something that continues the response.
    GoesOn,
    /// It sent a response that another endpoint may improve on: a rejection or an error.
    Failed(Box<Response>),
    /// Its connection broke or ended.
    Ended,
}

/// What a request does that can't be sent to another endpoint.
pub(super) enum LastResort<'a> {
    /// It goes on with a silent endpoint that sent something.
    Resume(Box<SilentAttempt<'a>>),
    /// Its client has left.
    ClientDisconnected,
    /// It ends.
    GiveUp(Cause),
}

impl<'a> SilentAttempt<'a> {
    /// An attempt without the head of a response.
    pub(super) fn sent(in_flight: InFlightAttempt<'a>, exchange: PendingExchange<'a>) -> Self {
        Self {
            in_flight,
            progress: Progress::Sent(exchange),
        }
    }

    /// An attempt in the middle of a stream.
    pub(super) fn streaming(in_flight: InFlightAttempt<'a>, stream: OpenStream) -> Self {
        Self {
            in_flight,
            progress: Progress::Streaming(Box::new(stream)),
        }
    }

    /// Waits until the endpoint sends something or its connection ends.
    async fn sign(&mut self, parse: fn(&ResponseHead) -> ResponseInfo) -> Sign {
        match &mut self.progress {
            Progress::Sent(exchange) => match exchange.await {
                Ok((answer, _)) if is_failure(&answer.head, &parse(&answer.head)) => Sign::Failed(Box::new(answer)),
                Ok(answer) => {
                    self.progress = Progress::Answered(Box::new(answer));
                    Sign::GoesOn
                }
                Err(_) => Sign::Ended,
            },
            Progress::Answered(_) => Sign::GoesOn,
            Progress::Streaming(stream) => match stream.source.fill().await {
                Ok(count) if count > 0 => Sign::GoesOn,
                _ => Sign::Ended,
            },
        }
    }
}

fn is_failure(head: &ResponseHead, info: &ResponseInfo) -> bool {
    info.not_run || head.status == 421 || head.status >= 500
}

/// Removes and returns the first attempt whose endpoint goes on. Drops those that fail; none is left if it returns `None`.
async fn first_resumed<'a>(
    shared: &Shared,
    prompt: Option<&Prompt>,
    silent: &mut Vec<SilentAttempt<'a>>,
) -> Option<SilentAttempt<'a>> {
    let parse = shared.dialect.parse_response;
    while !silent.is_empty() {
        let signs = silent.iter_mut().map(|attempt| attempt.sign(parse).boxed());
        let (sign, index, rest) = select_all(signs).await;
        drop(rest);
        let mut attempt = silent.remove(index);
        match sign {
            Sign::GoesOn => return Some(attempt),
            Sign::Failed(answer) => {
                let info = parse(&answer.head);
                observe::record_info(shared, &attempt.in_flight, prompt, answer.head.status, &info);
                let outcome = if info.not_run {
                    Outcome::Declined
                } else {
                    Outcome::Failed
                };
                attempt.in_flight.outcome(outcome);
                attempt.in_flight.ended();
            }
            Sign::Ended => attempt.in_flight.outcome(Outcome::Broken),
        }
    }
    None
}

impl<'a> Attempts<'a> {
    /// Keeps an attempt whose endpoint is silent.
    pub(super) fn suspend(&mut self, attempt: SilentAttempt<'a>) {
        attempt.in_flight.outcome(Outcome::Timeout);
        self.silent.push(attempt);
    }

    /// Waits like [`wait::wait`]. Ends early if a silent endpoint goes on.
    pub(super) async fn wait<T>(&mut self, within: Duration, future: impl Future<Output = T>) -> WaitOutcome<'a, T> {
        let conn = &self.request.incoming.conn;
        if self.silent.is_empty() {
            return wait::wait(conn, within, future).await;
        }
        let prompt = self.request.info.prompt.as_ref();
        let resumed = first_resumed(self.shared, prompt, &mut self.silent);
        wait::wait_or_resume(conn, within, future, resumed).await
    }

    /// Waits for the silent endpoints of a request that no other endpoint serves. A client that has received a part of the
    /// response can only lose by its end. Any other is told soon, so that it can try another router.
    pub(super) async fn last_resort(&mut self, cause: Cause) -> LastResort<'a> {
        if self.silent.is_empty() {
            return LastResort::GiveUp(cause);
        }
        let within = attempt::last_resort_wait(self.head_sent, self.remaining());
        let request = self.request;
        let resumed = first_resumed(self.shared, request.info.prompt.as_ref(), &mut self.silent);
        match wait::wait(&request.incoming.conn, within, resumed).await {
            WaitOutcome::Done(Some(attempt)) => LastResort::Resume(Box::new(attempt)),
            WaitOutcome::Resumed(attempt) => LastResort::Resume(attempt),
            WaitOutcome::ClientDisconnected => LastResort::ClientDisconnected,
            WaitOutcome::TimedOut if self.remaining().is_zero() => LastResort::GiveUp(Cause::Deadline),
            WaitOutcome::Done(None) | WaitOutcome::TimedOut => LastResort::GiveUp(cause),
        }
    }

    /// Goes on with an attempt whose endpoint was silent.
    pub(super) async fn resume(&mut self, attempt: SilentAttempt<'a>) -> AttemptResult<'a> {
        // For the request's state this is a further send, since the attempt was recorded as failed.
        self.lifecycle.on(RequestEvent::SendStarts);
        let in_flight = attempt.in_flight;
        in_flight.resumed();
        match attempt.progress {
            Progress::Sent(exchange) => self.await_head(in_flight, exchange).await,
            Progress::Answered(answer) => {
                let (answer, source) = *answer;
                self.handle_response(in_flight, answer, source).await
            }
            Progress::Streaming(mut stream) => {
                self.lifecycle.on(RequestEvent::HeadArrived);
                self.events.restore_partial(std::mem::take(&mut stream.partial));
                StreamRelay::new(self, in_flight, *stream).run().await
            }
        }
    }
}
