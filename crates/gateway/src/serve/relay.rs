//! Relays a stream from an endpoint to the client, event by event.

use super::attempts::{AttemptResult, Attempts, RequestOutcome};
use super::in_flight::InFlightAttempt;
use super::wait::{WaitOutcome, WeightsOutdated, wait};
use super::{closes_connection, reply};
use crate::dialect::ResponseInfo;
use async_std::future::timeout;
use async_std::io::WriteExt;
use dispatch::attempt::{self, Cause, Failure, StreamEnd};
use dispatch::fleet::Outcome;
use http::raw::{Framing, Response, Source};
use lifecycle::request::RequestEvent;

/// Relays the part of a stream that one endpoint sends.
pub(super) struct StreamRelay<'r, 'a, 'f> {
    attempts: &'r mut Attempts<'a>,
    in_flight: &'r mut InFlightAttempt<'f>,
    close: bool,
    chunked: bool,
}

/// Result of a write to the client.
#[derive(PartialEq, Eq)]
enum WriteResult {
    Done,
    ClientDisconnected,
}

impl<'r, 'a, 'f> StreamRelay<'r, 'a, 'f> {
    pub(super) fn new(attempts: &'r mut Attempts<'a>, in_flight: &'r mut InFlightAttempt<'f>) -> Self {
        let incoming = attempts.request.incoming;
        let close = closes_connection(attempts.shared, incoming);
        let chunked = !incoming.head.http10;
        Self {
            attempts,
            in_flight,
            close,
            chunked,
        }
    }

    pub(super) async fn run(mut self, mut answer: Response, mut source: Source, info: &ResponseInfo) -> AttemptResult {
        let conn = self.attempts.request.incoming.conn.clone();
        // Whether this endpoint has sent an event. Earlier events may have come from another endpoint.
        let mut started = false;
        loop {
            let within = attempt::stream_idle_timeout(self.attempts.request.route.kind, self.attempts.remaining());
            let part = answer.body.next_part(&mut source);
            let waited = if started {
                wait(&conn, within, part).await
            } else {
                match self.attempts.wait_for_begin(self.in_flight.picked, within, part).await {
                    Ok(waited) => waited,
                    Err(WeightsOutdated) => return self.cancelled(),
                }
            };
            match waited {
                WaitOutcome::Done(Ok(Some(part))) => {
                    let whole = self.attempts.events.push(&part);
                    if whole.count == 0 {
                        continue;
                    }
                    if !started {
                        self.attempts.stream_began(self.in_flight.picked);
                    }
                    started = true;
                    self.first_event();
                    self.attempts.record.part(self.attempts.shared);
                    if self.write(&answer, &whole.bytes, false).await == WriteResult::ClientDisconnected {
                        return AttemptResult::Ended(self.attempts.client_disconnected());
                    }
                }
                WaitOutcome::Done(Ok(None)) => return self.finish(&answer, source, info).await,
                WaitOutcome::Done(Err(_)) => return self.attempts.response_broken(self.in_flight),
                WaitOutcome::ClientDisconnected => {
                    self.attempts.record_wait(self.in_flight.began);
                    return AttemptResult::Ended(self.attempts.client_disconnected());
                }
                WaitOutcome::TimedOut if self.attempts.remaining().is_zero() => {
                    return AttemptResult::Ended(self.attempts.give_up(Cause::Deadline));
                }
                WaitOutcome::TimedOut => return self.timed_out(),
            }
        }
    }

    fn timed_out(self) -> AttemptResult {
        self.in_flight.outcome(Outcome::Timeout);
        self.attempts.events.discard_partial();
        self.attempts.lifecycle.on(RequestEvent::AnswerFailed);
        AttemptResult::Failed(Failure::Timeout)
    }

    fn cancelled(self) -> AttemptResult {
        self.attempts.events.discard_partial();
        self.attempts.lifecycle.on(RequestEvent::AnswerFailed);
        self.attempts.cancelled(self.in_flight)
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
    async fn finish(mut self, answer: &Response, source: Source, info: &ResponseInfo) -> AttemptResult {
        let framing = answer.body.framing();
        self.record_end(framing);
        let end = StreamEnd {
            framed: framing != Framing::UntilClose,
            partial: self.attempts.events.partial_len(),
            has_events: self.attempts.head_sent,
        };
        if !end.is_complete() {
            return self.attempts.response_broken(self.in_flight);
        }
        if self.write(answer, &[], true).await == WriteResult::ClientDisconnected {
            return AttemptResult::Ended(self.attempts.client_disconnected());
        }
        self.in_flight.ended();
        self.attempts.lifecycle.on(RequestEvent::AnswerComplete);
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
    async fn write(&mut self, answer: &Response, part: &[u8], last: bool) -> WriteResult {
        let mut bytes = Vec::with_capacity(part.len() + 64);
        if !self.attempts.head_sent {
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
