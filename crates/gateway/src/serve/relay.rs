//! Relays a stream from an endpoint to the client, event by event.

use super::attempts::{AttemptResult, Attempts, RequestOutcome};
use super::in_flight::InFlightAttempt;
use super::silent::SilentAttempt;
use super::wait::{WaitOutcome, WeightsOutdated};
use super::{closes_connection, reply};
use crate::dialect::ResponseInfo;
use async_std::future::timeout;
use async_std::io::WriteExt;
use dispatch::attempt::{self, Cause, Failure, StreamEnd};
use dispatch::fleet::Work;
use http::raw::{Framing, RawBodyError, Response, Source};
use lifecycle::request::RequestEvent;
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
}

/// Result of a write to the client.
#[derive(PartialEq, Eq)]
enum WriteResult {
    Done,
    ClientDisconnected,
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
        }
    }

    /// Relays a stream that was read ahead while it was suspended, as far as its end if `ended`.
    pub(super) async fn resume(mut self, ahead: &[u8], ended: bool) -> AttemptResult<'a> {
        self.stream.pace = Pace::Unknown;
        if self.forward(ahead).await == WriteResult::ClientDisconnected {
            return AttemptResult::Ended(self.attempts.client_disconnected());
        }
        if ended { self.finish().await } else { self.run().await }
    }

    pub(super) async fn run(mut self) -> AttemptResult<'a> {
        let mut until = self.idle_end();
        loop {
            let within = self.next_wait(until);
            let started = self.stream.started;
            let part = self.stream.next_part();
            let waited = if started {
                self.attempts.wait(within, part).await
            } else {
                match self.attempts.wait_for_begin(&self.in_flight.picked, within, part).await {
                    Ok(waited) => waited,
                    Err(WeightsOutdated) => return self.cancelled(),
                }
            };
            match waited {
                WaitOutcome::Done(Ok(Some(part))) => {
                    if self.forward(&part).await == WriteResult::ClientDisconnected {
                        return AttemptResult::Ended(self.attempts.client_disconnected());
                    }
                    until = self.idle_end();
                }
                WaitOutcome::Done(Ok(None)) => return self.finish().await,
                WaitOutcome::Done(Err(_)) => return self.attempts.response_broken(&self.in_flight),
                WaitOutcome::ClientDisconnected => {
                    self.attempts.record_wait(self.in_flight.began);
                    return AttemptResult::Ended(self.attempts.client_disconnected());
                }
                WaitOutcome::Resumed(attempt) => {
                    self.failed();
                    return AttemptResult::Overtaken(attempt);
                }
                WaitOutcome::TimedOut if self.attempts.remaining().is_zero() => {
                    return AttemptResult::GaveUp(Cause::Deadline);
                }
                WaitOutcome::TimedOut if self.now() < until => self.attempts.silent.clear(),
                WaitOutcome::TimedOut => return self.timed_out(),
            }
        }
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

    /// Writes the events that `part` completes to the client.
    async fn forward(&mut self, part: &[u8]) -> WriteResult {
        let whole = self.attempts.events.push(part);
        if whole.count == 0 {
            return WriteResult::Done;
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
        self.write(&whole.bytes, false).await
    }

    fn timed_out(mut self) -> AttemptResult<'a> {
        let events = self.attempts.events.clone();
        self.failed();
        let attempt = SilentAttempt::streaming(self.in_flight, self.stream, events);
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
        if !end.is_complete() {
            return self.attempts.response_broken(&self.in_flight);
        }
        if self.write(&[], true).await == WriteResult::ClientDisconnected {
            return AttemptResult::Ended(self.attempts.client_disconnected());
        }
        self.in_flight.ended();
        if let Pace::Steady { first, last, count } = self.stream.pace {
            self.in_flight
                .record_work(Work::Events(count), last.saturating_sub(first));
        }
        self.attempts.lifecycle.on(RequestEvent::AnswerComplete);
        let OpenStream {
            answer, source, info, ..
        } = self.stream;
        if answer.reusable && answer.head.keeps_alive() {
            let connections = &self.attempts.shared.connections;
            connections.put_back(&self.in_flight.picked.endpoint, source, info.keep_alive);
        }
        AttemptResult::Ended(RequestOutcome::Streamed {
            keep_alive: !self.close && self.chunked,
        })
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

    /// Writes events. The first write includes the response head, the last one the end of the stream.
    async fn write(&mut self, part: &[u8], last: bool) -> WriteResult {
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
        let mut conn = self.attempts.request.incoming.conn.clone();
        let written = timeout(self.attempts.remaining(), conn.write_all(&bytes)).await;
        if matches!(written, Ok(Ok(()))) {
            return WriteResult::Done;
        }
        WriteResult::ClientDisconnected
    }
}
