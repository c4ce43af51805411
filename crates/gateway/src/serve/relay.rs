//! Relays a stream from an endpoint to the client, event by event.

use super::attempts::{AttemptResult, Attempts, RequestOutcome};
use super::fate;
use super::in_flight::InFlightAttempt;
use super::outbox::{Outbox, Step};
use super::silent::SilentAttempt;
use super::wait::{WaitOutcome, WeightsOutdated};
use super::{bounds, closes_connection, reply};
use crate::dialect::ResponseInfo;
use async_std::future::timeout;
use dispatch::attempt::{self, Cause, Failure, StreamEnd};
use dispatch::fleet::Work;
use futures::future::{Either, pending, select};
use http::raw::{Bound, Framing, RawBodyError, Response, Source};
use lifecycle::events::{CompleteEvents, EventTooLong};
use lifecycle::request::RequestEvent;
use std::pin::pin;
use std::time::Duration;

/// A stream of an endpoint.
pub(super) struct OpenStream {
    answer: Response,
    source: Source,
    pub(super) info: ResponseInfo,
    /// When its head arrived.
    head_at: Duration,
    /// Whether this endpoint has sent an event. Earlier events may have come from another endpoint.
    pub(super) started: bool,
    pace: Pace,
}

/// How fast the events of an endpoint arrive.
#[derive(Debug, Clone, Copy)]
enum Pace {
    NoEvent,
    /// Times of the first and the last event, and the number of events after the first part.
    Steady {
        first: Duration,
        last: Duration,
        count: u32,
    },
    /// Events were read while the stream was suspended, at unknown times.
    Unknown,
}

impl Pace {
    fn events(&mut self, arrived: u32, now: Duration) {
        match self {
            Self::NoEvent => {
                *self = Self::Steady {
                    first: now,
                    last: now,
                    count: 0,
                };
            }
            Self::Steady { last, count, .. } => {
                *last = now;
                *count = count.saturating_add(arrived);
            }
            Self::Unknown => {}
        }
    }
}

impl OpenStream {
    /// A stream of which only the head was read.
    pub(super) fn new(answer: Response, source: Source, info: ResponseInfo, now: Duration) -> Self {
        Self {
            answer,
            source,
            info,
            head_at: now,
            started: false,
            pace: Pace::NoEvent,
        }
    }

    /// Status code.
    pub(super) fn status(&self) -> u16 {
        self.answer.head.status
    }

    /// The next bytes of the body; `None` once it is complete.
    ///
    /// # Errors
    /// The body is incomplete and its rest cannot be read.
    pub(super) async fn next_part(&mut self) -> Result<Option<Vec<u8>>, RawBodyError> {
        self.answer.body.next_part(&mut self.source).await
    }
}

/// Relays the part of a stream that one endpoint sends.
pub(super) struct StreamRelay<'r, 'a> {
    attempts: &'r mut Attempts<'a>,
    in_flight: InFlightAttempt<'a>,
    stream: OpenStream,
    close: bool,
    chunked: bool,
    /// Numbers of the first and the last event that arrived.
    numbers: Option<(u64, u64)>,
    /// Whether an event whose number does not follow was recorded.
    disordered: bool,
}

/// How relaying ended.
enum RelayEnd<'a> {
    /// The endpoint ended its stream.
    Ended,
    /// The client closed the connection or did not read until the deadline.
    ClientDisconnected,
    /// The body broke off, or its events exceed a bound.
    Broken(BodyBreak),
    /// The bytes are needed for others.
    NoRoom,
    /// The weights are too old to begin on.
    Outdated,
    /// The endpoint is silent.
    Silent,
    /// The silent endpoint of an earlier attempt went on first.
    Overtaken(Box<SilentAttempt<'a>>),
    Deadline,
}

/// Why a body broke off.
struct BodyBreak {
    /// The bound that it exceeds, if it does.
    bound: Option<Bound>,
    /// Name in logs.
    name: &'static str,
}

impl From<RawBodyError> for BodyBreak {
    fn from(err: RawBodyError) -> Self {
        Self {
            bound: err.bound(),
            name: err.name(),
        }
    }
}

impl From<EventTooLong> for BodyBreak {
    fn from(EventTooLong: EventTooLong) -> Self {
        Self {
            bound: Some(Bound::Event),
            name: "too_long",
        }
    }
}

impl<'r, 'a> StreamRelay<'r, 'a> {
    pub(super) fn new(attempts: &'r mut Attempts<'a>, in_flight: InFlightAttempt<'a>, stream: OpenStream) -> Self {
        let incoming = attempts.request.incoming;
        let close = closes_connection(attempts.shared, incoming);
        let chunked = !incoming.head.http10;
        Self {
            attempts,
            in_flight,
            stream,
            close,
            chunked,
            numbers: None,
            disordered: false,
        }
    }

    /// Relays a stream that was read ahead while it was suspended, as far as its end if `ended`.
    pub(super) async fn resume(mut self, ahead: &[u8], ended: bool) -> AttemptResult<'a> {
        self.stream.pace = Pace::Unknown;
        let end = match self.forward(ahead) {
            Err(err) => RelayEnd::Broken(err.into()),
            Ok(()) if ended => RelayEnd::Ended,
            Ok(()) => self.relay().await,
        };
        self.end(end).await
    }

    pub(super) async fn run(mut self) -> AttemptResult<'a> {
        let end = self.relay().await;
        self.end(end).await
    }

    async fn end(mut self, end: RelayEnd<'a>) -> AttemptResult<'a> {
        let endpoint = &self.in_flight.picked.endpoint.id;
        let name = self.end_name(&end);
        self.attempts.record.events(endpoint, self.numbers, name);
        match end {
            RelayEnd::Ended => self.finish().await,
            RelayEnd::ClientDisconnected => AttemptResult::Ended(self.attempts.client_disconnected()),
            RelayEnd::Broken(broken) => self.broken(broken.bound),
            RelayEnd::NoRoom => self.attempts.closed_for_room(),
            RelayEnd::Outdated => self.cancelled(),
            RelayEnd::Silent => self.timed_out(),
            RelayEnd::Overtaken(attempt) => {
                self.failed();
                AttemptResult::Overtaken(attempt)
            }
            RelayEnd::Deadline => AttemptResult::GaveUp(Cause::Deadline),
        }
    }

    async fn relay(&mut self) -> RelayEnd<'a> {
        let mut until = self.idle_end();
        loop {
            let waited = match self.wait_for_step(until).await {
                Ok(waited) => waited,
                Err(WeightsOutdated) => return RelayEnd::Outdated,
            };
            match waited {
                WaitOutcome::Done(Step::Part(Ok(Some(part)))) => {
                    if let Err(err) = self.forward(&part) {
                        return RelayEnd::Broken(err.into());
                    }
                    until = self.idle_end();
                }
                WaitOutcome::Done(Step::Part(Ok(None))) => return RelayEnd::Ended,
                WaitOutcome::Done(Step::Part(Err(err))) => return RelayEnd::Broken(err.into()),
                WaitOutcome::Done(Step::Written | Step::Paused) => {}
                WaitOutcome::Done(Step::NoRoom) => return RelayEnd::NoRoom,
                WaitOutcome::Done(Step::ClientDisconnected) => return RelayEnd::ClientDisconnected,
                WaitOutcome::ClientDisconnected => {
                    self.attempts.record_wait(self.in_flight.began);
                    return RelayEnd::ClientDisconnected;
                }
                WaitOutcome::Resumed(attempt) => return RelayEnd::Overtaken(attempt),
                WaitOutcome::TimedOut if self.attempts.remaining().is_zero() => {
                    return if self.attempts.outbox.is_empty() {
                        RelayEnd::Deadline
                    } else {
                        RelayEnd::ClientDisconnected
                    };
                }
                WaitOutcome::TimedOut if self.now() < until => self.attempts.silent.clear(),
                WaitOutcome::TimedOut if self.attempts.outbox.reads() => return RelayEnd::Silent,
                WaitOutcome::TimedOut => {}
            }
            if !self.attempts.outbox.reads() {
                // The endpoint can't show that it goes on.
                until = self.idle_end();
            }
        }
    }

    /// Waits for the endpoint's next bytes, or until the client has taken some.
    async fn wait_for_step(&mut self, until: Duration) -> Result<WaitOutcome<'a, Step>, WeightsOutdated> {
        let within = self.next_wait(until);
        let unused = Outbox::new(&self.attempts.request.incoming.conn, &self.attempts.shared.held);
        let mut outbox = std::mem::replace(&mut self.attempts.outbox, unused);
        let started = self.stream.started;
        let step = outbox.step(&mut self.stream);
        let waited = if started {
            Ok(self.attempts.wait(within, step).await)
        } else {
            self.attempts.wait_for_begin(&self.in_flight.picked, within, step).await
        };
        self.attempts.outbox = outbox;
        waited
    }

    fn now(&self) -> Duration {
        self.attempts.shared.clock.now()
    }

    /// When this endpoint counts as silent unless it sends something before.
    fn idle_end(&self) -> Duration {
        let kind = self.attempts.request.route.kind;
        self.now() + attempt::stream_idle_timeout(kind, self.attempts.remaining())
    }

    /// How long to wait for the next part. This endpoint may be running the request, so those that were silent may go on
    /// beside it for a short time only.
    fn next_wait(&self, until: Duration) -> Duration {
        let now = self.now();
        let left = until.saturating_sub(now);
        if self.attempts.silent.is_empty() {
            return left;
        }
        left.min(attempt::overlap_left(now.saturating_sub(self.stream.head_at)))
    }

    /// Passes the events that `part` completes to the client.
    ///
    /// # Errors
    /// An event is too long.
    fn forward(&mut self, part: &[u8]) -> Result<(), EventTooLong> {
        let whole = self.attempts.events.push(part);
        self.record_numbers(&whole);
        self.attempts.events.check()?;
        if whole.count == 0 {
            self.push(&[]);
            return Ok(());
        }
        if !self.stream.started {
            self.attempts.stream_began(&self.in_flight.picked);
        }
        self.stream.started = true;
        let now = self.now();
        self.stream
            .pace
            .events(u32::try_from(whole.count).unwrap_or(u32::MAX), now);
        // This endpoint continues the stream, so those that were silent must not run it any longer.
        self.attempts.silent.clear();
        self.first_event();
        self.attempts.record.part(self.attempts.shared);
        let bytes = self.encode(&whole.bytes, false);
        self.push(&bytes);
        Ok(())
    }

    fn record_numbers(&mut self, whole: &CompleteEvents) {
        let Some((first, last)) = whole.numbers else { return };
        self.numbers = Some((self.numbers.map_or(first, |(first, _)| first), last));
        let Some(disorder) = whole.disorder.filter(|_| !self.disordered) else {
            return;
        };
        self.disordered = true;
        let (kind, place) = (disorder.kind(), disorder.place.name());
        let disorders = &self.attempts.shared.metrics.disorders;
        disorders.with_label_values(&[kind, place]).inc();
        log::warn!(
            id = self.attempts.request.info.id.as_str(),
            endpoint = self.in_flight.picked.endpoint.id.as_str(),
            kind = kind,
            place = place,
            last = disorder.last,
            number = disorder.number;
            "stream: event out of order"
        );
    }

    fn push(&mut self, bytes: &[u8]) {
        let partial = self.attempts.events.partial_len();
        self.attempts.outbox.push(bytes, partial);
    }

    fn broken(self, bound: Option<Bound>) -> AttemptResult<'a> {
        bounds::record(self.attempts.shared, &self.in_flight.picked.endpoint.id, bound);
        self.attempts.response_broken(&self.in_flight)
    }

    fn timed_out(mut self) -> AttemptResult<'a> {
        let events = self.attempts.events.clone();
        self.failed();
        let attempt = SilentAttempt::streaming(self.attempts.shared, self.in_flight, self.stream, events);
        self.attempts.suspend(attempt);
        AttemptResult::Failed(Failure::Timeout)
    }

    fn cancelled(mut self) -> AttemptResult<'a> {
        self.failed();
        self.attempts.cancelled(&self.in_flight)
    }

    fn failed(&mut self) {
        self.attempts.events.discard_partial();
        self.attempts.lifecycle.on(RequestEvent::AnswerFailed);
    }

    fn first_event(&mut self) {
        if self.attempts.head_sent {
            return;
        }
        self.attempts.record_wait(self.in_flight.began);
        self.in_flight.prompt_read();
        self.in_flight.answered();
        self.in_flight.record_read(self.attempts.request.service);
        self.attempts.record.first_byte(self.attempts.shared);
    }

    /// Handles the end of the endpoint's response.
    async fn finish(mut self) -> AttemptResult<'a> {
        let framing = self.stream.answer.body.framing();
        self.record_end(framing);
        let end = StreamEnd {
            framed: framing != Framing::UntilClose,
            partial: self.attempts.events.partial_len(),
            // A silent endpoint may have more events than one that ends its stream without any.
            has_events: self.stream.started || (self.attempts.head_sent && self.attempts.silent.is_empty()),
        };
        if !end.is_complete() || !self.is_end_confirmed(framing).await {
            return self.attempts.response_broken(&self.in_flight);
        }
        let bytes = self.encode(&[], true);
        self.push(&bytes);
        self.in_flight.ended();
        if let Pace::Steady { first, last, count } = self.stream.pace {
            self.in_flight
                .record_work(Work::Events(count), last.saturating_sub(first));
        }
        let OpenStream {
            answer, source, info, ..
        } = self.stream;
        if answer.reusable && answer.head.keeps_alive() {
            let connections = &self.attempts.shared.connections;
            connections.put_back(&self.in_flight.picked.endpoint, source, info.keep_alive);
        }
        // The endpoint is free while the client reads the rest.
        drop(self.in_flight);
        let remaining = self.attempts.remaining();
        if !matches!(
            timeout(remaining, self.attempts.outbox.flush()).await,
            Ok(Step::Written)
        ) {
            return AttemptResult::Ended(self.attempts.client_disconnected());
        }
        self.attempts.lifecycle.on(RequestEvent::AnswerComplete);
        AttemptResult::Ended(RequestOutcome::Streamed {
            keep_alive: !self.close && self.chunked,
        })
    }

    /// How the endpoint's body ended, for logs.
    fn end_name(&self, end: &RelayEnd<'_>) -> &'static str {
        match end {
            RelayEnd::Ended if self.attempts.events.partial_len() > 0 => "inside_event",
            RelayEnd::Ended => self.stream.answer.body.framing().name(),
            RelayEnd::Broken(broken) => broken.name,
            RelayEnd::ClientDisconnected => "client_gone",
            RelayEnd::NoRoom => "no_room",
            RelayEnd::Outdated => "outdated",
            RelayEnd::Silent => "silent",
            RelayEnd::Overtaken(_) => "overtaken",
            RelayEnd::Deadline => "deadline",
        }
    }

    /// Whether the end of the endpoint's response is that of the stream. Meanwhile the client gets its last events.
    async fn is_end_confirmed(&mut self, framing: Framing) -> bool {
        if framing != Framing::UntilClose {
            return true;
        }
        let (shared, within) = (self.attempts.shared, self.attempts.end_timeout());
        let endpoint = &self.in_flight.picked.endpoint;
        let confirmed = pin!(fate::confirms_end(shared, endpoint, framing, within));
        let flushed = async {
            // If it fails, the next write fails too.
            let _ = self.attempts.outbox.flush().await;
            pending::<()>().await;
        };
        match select(confirmed, pin!(flushed)).await {
            Either::Left((confirmed, _)) => confirmed,
            Either::Right(((), _)) => false,
        }
    }

    /// Records how the endpoint's stream ended, unless it is plain that the stream is complete.
    fn record_end(&self, framing: Framing) {
        let partial = self.attempts.events.partial_len();
        let at = if partial > 0 { "inside_event" } else { "after_event" };
        let ends = &self.attempts.shared.metrics.stream_ends;
        ends.with_label_values(&[framing.name(), at]).inc();
        if framing == Framing::UntilClose || partial > 0 {
            log::info!(
                id = self.attempts.request.info.id.as_str(),
                endpoint = self.in_flight.picked.endpoint.id.as_str(),
                framing = framing.name(),
                partial = partial;
                "stream: ended"
            );
        }
    }

    /// Encodes events for the client. The first of them follow the response head, the last ones end the stream.
    fn encode(&mut self, part: &[u8], last: bool) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(part.len() + 64);
        if !self.attempts.head_sent {
            let answer = &self.stream.answer;
            let headers = (self.attempts.shared.dialect.response_headers)(&answer.head.headers);
            bytes = reply::stream_head(answer.head.status, &headers, self.close, self.chunked);
            self.attempts.head_sent = true;
        }
        reply::push_chunk(&mut bytes, part, self.chunked);
        if last {
            reply::push_end(&mut bytes, self.chunked);
        }
        self.attempts.lifecycle.on(RequestEvent::PartArrived);
        bytes
    }
}
