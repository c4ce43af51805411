//! Attempts whose endpoint is silent.
//!
//! A silent endpoint may only be pausing. Its attempt is suspended while another endpoint is tried, and the first one to
//! send an event or a whole response continues. If no other endpoint can, the request waits for the silent one.

use super::attempts::{AttemptResult, Attempts};
use super::bounds;
use super::fate;
use super::in_flight::InFlightAttempt;
use super::observe;
use super::relay::{OpenStream, StreamRelay};
use super::response::{ReadError, ReadResponse};
use super::wait::{self, WaitOutcome};
use crate::dialect::ResponseInfo;
use crate::held::{HeldKind, Hold, NoRoom};
use crate::shared::Shared;
use dispatch::attempt::{self, Cause, SilentWait, StreamEnd};
use dispatch::fleet::{Outcome, Prompt};
use dispatch::site::EndpointEntry;
use futures::FutureExt;
use futures::future::{BoxFuture, select_all};
use http::raw::{Bound, ExchangeError, Framing, Response, Source};
use lifecycle::events::{EventSplitter, MAX_EVENT_BYTES};
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
    /// The head of a response without events has arrived.
    Reading(Box<ReadResponse>),
    /// The next event of the stream has not arrived.
    Streaming(Box<SilentStream>),
}

/// A stream that was read ahead of what was forwarded.
struct SilentStream {
    stream: OpenStream,
    /// Tells when the next event is complete.
    events: EventSplitter,
    /// Bytes that were read while the attempt was suspended.
    ahead: Vec<u8>,
    /// Counts these bytes and those of the partial event.
    hold: Hold,
    /// Whether the end of the stream was read.
    ended: bool,
}

/// What a silent endpoint did.
enum Sign {
    /// It sent an event, or the whole of a response or stream.
    GoesOn,
    /// It sent a response that can't continue the request.
    Useless(Box<Response>),
    /// Its connection broke, or was closed because of this bound.
    Broke(Option<Bound>),
    /// Its connection is closed for room. The endpoint may be sound.
    NoRoom,
}

/// Properties of a request that decide whether a response continues it.
#[derive(Clone, Copy)]
struct Needs<'a> {
    shared: &'a Shared,
    prompt: Option<&'a Prompt>,
    /// Whether the response is a stream.
    streams: bool,
    /// Whether the client has received a part of a stream.
    began: bool,
    /// What the client has received.
    events: &'a EventSplitter,
    /// Whether there is another attempt, so that only a success may take its place.
    contested: bool,
    /// How long to wait until an endpoint confirms the end of its response.
    end_timeout: Duration,
}

/// What a request does that can't be sent to another endpoint.
pub(super) enum LastResort<'a> {
    /// It goes on with a silent endpoint.
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

    /// An attempt in the middle of a stream, of which `events` has received a part.
    pub(super) fn streaming(
        shared: &Shared,
        in_flight: InFlightAttempt<'a>,
        stream: OpenStream,
        events: EventSplitter,
    ) -> Self {
        let silent = SilentStream {
            stream,
            ahead: events.partial().to_vec(),
            hold: Hold::new(&shared.held, HeldKind::Stream),
            events,
            ended: false,
        };
        Self {
            in_flight,
            progress: Progress::Streaming(Box::new(silent)),
        }
    }

    /// Whether the endpoint has begun to run the request, as far as events show it.
    fn has_begun(&self) -> bool {
        matches!(&self.progress, Progress::Streaming(silent) if silent.stream.started)
    }

    /// Waits until the endpoint goes on or fails.
    async fn sign(&mut self, needs: Needs<'_>) -> Sign {
        loop {
            match &mut self.progress {
                Progress::Sent(exchange) => {
                    let (answer, source) = match exchange.await {
                        Ok(answered) => answered,
                        Err(err) => return Sign::Broke(err.bound()),
                    };
                    let info = (needs.shared.dialect.parse_response)(&answer.head);
                    if needs.contested && !needs.is_met_by(&answer, &info) {
                        return Sign::Useless(Box::new(answer));
                    }
                    self.progress = Progress::of(answer, source, info, needs);
                }
                Progress::Reading(response) => {
                    let endpoint = &self.in_flight.picked.endpoint;
                    let finish = response.finish_confirmed(needs.shared, endpoint, needs.end_timeout);
                    return match finish.await {
                        Ok(()) => Sign::GoesOn,
                        Err(ReadError::NoRoom(_)) => Sign::NoRoom,
                        Err(err) => Sign::Broke(err.bound()),
                    };
                }
                Progress::Streaming(silent) => {
                    return match silent.sign().await {
                        Sign::GoesOn if silent.ended => silent.end(&self.in_flight.picked.endpoint, needs).await,
                        sign => sign,
                    };
                }
            }
        }
    }
}

impl Needs<'_> {
    fn is_met_by(self, answer: &Response, info: &ResponseInfo) -> bool {
        let success = (200..300).contains(&answer.head.status);
        if success {
            return info.is_authentic() && (answer.has_body() || !self.began);
        }
        // A client that has a part of a stream needs its rest. Another endpoint may do better than an error.
        !self.began && !info.not_run && answer.head.status < 500 && answer.head.status != 421
    }
}

impl Progress<'_> {
    fn of(answer: Response, source: Source, info: ResponseInfo, needs: Needs<'_>) -> Self {
        let success = (200..300).contains(&answer.head.status);
        if success && answer.has_body() && needs.streams && info.is_authentic() {
            return Self::Streaming(Box::new(SilentStream {
                stream: OpenStream::new(answer, source, info, needs.shared.clock.now()),
                events: needs.events.without_partial(),
                ahead: Vec::new(),
                hold: Hold::new(&needs.shared.held, HeldKind::Stream),
                ended: false,
            }));
        }
        Self::Reading(Box::new(ReadResponse::new(needs.shared, answer, source)))
    }
}

impl SilentStream {
    async fn sign(&mut self) -> Sign {
        while !self.ended {
            if self.hold.room().await.is_err() {
                return Sign::NoRoom;
            }
            match self.hold.unless_closed(self.stream.next_part()).await {
                Ok(Ok(Some(part))) => {
                    if self.push(&part) > 0 {
                        return Sign::GoesOn;
                    }
                    if self.events.check().is_err() {
                        return Sign::Broke(Some(Bound::Event));
                    }
                }
                Ok(Ok(None)) => self.ended = true,
                Ok(Err(err)) => return Sign::Broke(err.bound()),
                Err(NoRoom) => return Sign::NoRoom,
            }
        }
        Sign::GoesOn
    }

    /// What the end of the stream means. One that may have been broken off must not displace another attempt.
    async fn end(&self, endpoint: &EndpointEntry, needs: Needs<'_>) -> Sign {
        let framing = self.stream.framing();
        let end = StreamEnd {
            framed: framing != Framing::UntilClose,
            partial: self.events.partial_len(),
            has_events: self.stream.started || needs.began,
        };
        if end.is_complete() && fate::confirms_end(needs.shared, endpoint, framing, needs.end_timeout).await {
            Sign::GoesOn
        } else {
            Sign::Broke(None)
        }
    }

    /// Adds bytes of the stream. Returns the number of events for the client that they complete.
    fn push(&mut self, part: &[u8]) -> usize {
        self.ahead.extend_from_slice(part);
        let count = self.events.push(part).count;
        if count == 0 && self.ahead.len() > MAX_EVENT_BYTES {
            // The client has the events before the partial one.
            self.ahead = self.events.partial().to_vec();
        }
        self.hold.set(self.ahead.len() + self.events.partial_len());
        count
    }
}

/// Removes and returns the first attempt whose endpoint goes on. Drops those that fail; none is left if it returns `None`.
async fn first_resumed<'a>(silent: &mut Vec<SilentAttempt<'a>>, needs: Needs<'_>) -> Option<SilentAttempt<'a>> {
    while !silent.is_empty() {
        let signs = silent.iter_mut().map(|attempt| attempt.sign(needs).boxed());
        let (sign, index, rest) = select_all(signs).await;
        drop(rest);
        let mut attempt = silent.remove(index);
        match sign {
            Sign::GoesOn => return Some(attempt),
            Sign::Useless(answer) => {
                let info = (needs.shared.dialect.parse_response)(&answer.head);
                observe::record_info(
                    needs.shared,
                    &attempt.in_flight,
                    needs.prompt,
                    answer.head.status,
                    &info,
                );
                let outcome = if info.not_run {
                    Outcome::Declined
                } else {
                    Outcome::Failed
                };
                attempt.in_flight.outcome(outcome);
                attempt.in_flight.ended();
            }
            Sign::Broke(bound) => {
                bounds::record(needs.shared, &attempt.in_flight.picked.endpoint.id, bound);
                attempt.in_flight.outcome(Outcome::Broken);
            }
            Sign::NoRoom => {}
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
        self.cancel_outdated();
        let conn = &self.request.incoming.conn;
        if self.silent.is_empty() {
            return wait::wait(conn, within, future).await;
        }
        let (silent, needs) = self.silent_and_needs(true);
        wait::wait_or_resume(conn, within, future, first_resumed(silent, needs)).await
    }

    /// Waits for the silent endpoints of a request that no other endpoint serves. A client that has received a part of the
    /// response can only lose by its end. Any other is told soon, so that it can try another router.
    pub(super) async fn last_resort(&mut self, cause: Cause) -> LastResort<'a> {
        let until = self.shared.clock.now() + attempt::last_resort_wait(self.head_sent, self.remaining());
        loop {
            self.cancel_outdated();
            let left = until.saturating_sub(self.shared.clock.now());
            let within = match attempt::silent_wait(self.silent.len(), self.begin_is_visible(), left) {
                SilentWait::For(within) => within,
                SilentWait::Over if self.remaining().is_zero() => return LastResort::GiveUp(Cause::Deadline),
                SilentWait::Over => return LastResort::GiveUp(cause),
            };
            let conn = &self.request.incoming.conn;
            let (silent, needs) = self.silent_and_needs(false);
            match wait::wait(conn, within, first_resumed(silent, needs)).await {
                WaitOutcome::Done(Some(attempt)) => return LastResort::Resume(Box::new(attempt)),
                WaitOutcome::Resumed(attempt) => return LastResort::Resume(attempt),
                WaitOutcome::ClientDisconnected => return LastResort::ClientDisconnected,
                WaitOutcome::Done(None) | WaitOutcome::TimedOut => {}
            }
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
            Progress::Reading(response) => self.handle_response(in_flight, *response).await,
            Progress::Streaming(silent) => {
                let SilentStream {
                    stream, ahead, ended, ..
                } = *silent;
                if !stream.started {
                    observe::record_info(
                        self.shared,
                        &in_flight,
                        self.request.info.prompt.as_ref(),
                        stream.status(),
                        &stream.info,
                    );
                }
                self.lifecycle.on(RequestEvent::HeadArrived);
                self.events.discard_partial();
                StreamRelay::new(self, in_flight, stream).resume(&ahead, ended).await
            }
        }
    }

    /// Drops suspended attempts that have not begun and whose weights are too old to begin with now.
    fn cancel_outdated(&mut self) {
        if self.silent.is_empty() || !self.begin_is_visible() {
            return;
        }
        let mut silent = std::mem::take(&mut self.silent);
        silent.retain(|attempt| attempt.has_begun() || !self.weights_outdated(&attempt.in_flight.picked));
        self.silent = silent;
    }

    fn silent_and_needs(&mut self, contested: bool) -> (&mut Vec<SilentAttempt<'a>>, Needs<'_>) {
        let needs = Needs {
            end_timeout: self.end_timeout(),
            shared: self.shared,
            prompt: self.request.info.prompt.as_ref(),
            streams: self.request.route.kind.streams(),
            began: self.head_sent,
            events: &self.events,
            contested,
        };
        (&mut self.silent, needs)
    }
}
