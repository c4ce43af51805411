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
use http::raw::{Framing, Response, Source};
use lifecycle::request::RequestEvent;

/// A stream of an endpoint.
pub(super) struct OpenStream {
    answer: Response,
    pub(super) source: Source,
    info: ResponseInfo,
    /// Whether this endpoint has sent an event. Earlier events may have come from another endpoint.
    started: bool,
    /// Bytes of an incomplete event, while the attempt is suspended.
    pub(super) partial: Vec<u8>,
}

impl OpenStream {
    /// A stream of which only the head was read.
    pub(super) fn new(answer: Response, source: Source, info: ResponseInfo) -> Self {
        Self {
            answer,
            source,
            info,
            started: false,
            partial: Vec::new(),
        }
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

    pub(super) async fn run(mut self) -> AttemptResult<'a> {
        loop {
            let within = attempt::stream_idle_timeout(self.attempts.request.route.kind, self.attempts.remaining());
            let part = self.stream.answer.body.next_part(&mut self.stream.source);
            let waited = if self.stream.started {
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
                WaitOutcome::TimedOut => return self.timed_out(),
            }
        }
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
        // This endpoint continues the stream, so those that were silent must not run it any longer.
        self.attempts.silent.clear();
        self.first_event();
        self.attempts.record.part(self.attempts.shared);
        self.write(&whole.bytes, false).await
    }

    fn timed_out(mut self) -> AttemptResult<'a> {
        self.stream.partial = self.attempts.events.take_partial();
        self.attempts.lifecycle.on(RequestEvent::AnswerFailed);
        let attempt = SilentAttempt::streaming(self.in_flight, self.stream);
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
        let started = self.stream.started;
        let end = StreamEnd {
            framed: framing != Framing::UntilClose,
            partial: self.attempts.events.partial_len(),
            // A silent endpoint may have more events than one that ends its stream without any.
            has_events: started || (self.attempts.head_sent && self.attempts.silent.is_empty()),
        };
        if !end.is_complete() {
            return self.attempts.response_broken(&self.in_flight);
        }
        if self.write(&[], true).await == WriteResult::ClientDisconnected {
            return AttemptResult::Ended(self.attempts.client_disconnected());
        }
        self.in_flight.ended();
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
