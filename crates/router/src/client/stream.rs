//! Streams: numbered pieces are forwarded as they arrive, resumed after a connection failure, and ended by `[DONE]`
//! or an error event.

use super::attempt::{Attempts, OpenedReply};
use super::completion::HeadInfo;
use super::refusal::{Cause, Refused};
use super::transmit::send_pooled;
use crate::control::Observation;
use crate::limits::LimitReservation;
use crate::pool::EndpointAttempt;
use admission::Tokens;
use async_channel::Sender;
use async_std::task;
use futures::future::{Either, select};
use futures::{StreamExt, TryStreamExt};
use http::{Body, EventStream, Reply, Response, SseEvent, StatusCode};
use ids::WeightsVersion;
use lifecycle::request::RequestEvent;
use lifecycle::stream::{ConnectionEnd, HeadVerdict, PieceVerdict as Verdict, StreamAssembler};
use std::fmt::Write;
use std::io;
use std::time::Duration;
use wire::headers;

/// Data of the last event.
const DONE: &str = "[DONE]";
/// Pieces buffered for a slow client before reading from the engine pauses.
const PIECE_BUFFER: usize = 64;
/// Pieces between two updates of an engine's pace.
const PROGRESS_INTERVAL: u64 = 16;
/// Maximum time between two pieces: 150 times the target of 32 ms, so that an engine that serves other requests in
/// between is not abandoned.
const STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of times a stream is resumed.
const MAX_RESUMES: u32 = 3;

/// Responds with a stream. A task of its own forwards the pieces after the head.
pub async fn respond(
    mut attempts: Attempts,
    opened: OpenedReply,
    head_info: HeadInfo,
    limit: LimitReservation,
) -> Result<Response, Refused> {
    let mut assembler = StreamAssembler::new(attempts.call.id.clone());
    let head = on_head(&mut assembler, &opened.reply);
    debug_assert_eq!(head, HeadVerdict::Accept, "the attempt has accepted this head");
    // Only the weights that began the stream can continue it.
    attempts.weights = opened
        .reply
        .header(headers::WEIGHTS)
        .map(WeightsVersion::from)
        .into_iter()
        .collect();
    let pieces = opened
        .reply
        .into_events()
        .map_err(|_| Refused::new(Cause::EndpointFailed, attempts.lifecycle.ran()))?;
    let (sender, receiver) = async_channel::bounded(PIECE_BUFFER);
    let relay = Relay {
        attempts,
        assembler,
        sender,
        head_info,
        limit,
        first_token: None,
        resumes: 0,
    };
    task::spawn(relay.run(opened.attempt, pieces));
    let mut response = Response::new(StatusCode::Ok);
    let reader = Box::pin(receiver.map(Ok::<Vec<u8>, io::Error>)).into_async_read();
    response.set_body(Body::from_reader(async_std::io::BufReader::new(reader), None));
    response.insert_header("content-type", "text/event-stream");
    response.insert_header("cache-control", "no-cache");
    Ok(response)
}

fn on_head(assembler: &mut StreamAssembler, reply: &Reply) -> HeadVerdict {
    assembler.on_head(reply.header(headers::REQUEST_ID), reply.header(headers::WEIGHTS))
}

/// Forwards one stream from engines to its client.
struct Relay {
    attempts: Attempts,
    assembler: StreamAssembler,
    sender: Sender<Vec<u8>>,
    head_info: HeadInfo,
    limit: LimitReservation,
    first_token: Option<Duration>,
    resumes: u32,
}

/// Why forwarding from one connection ended.
enum RelayEnd {
    /// `[DONE]` arrived.
    Complete,
    /// The connection failed or the sequence of pieces was wrong.
    Broken,
    /// The client disconnected.
    ClientGone,
    /// The deadline passed.
    DeadlineExceeded,
}

impl Relay {
    async fn run(mut self, mut attempt: EndpointAttempt, mut pieces: EventStream) {
        loop {
            let end = self.forward_pieces(&attempt, &mut pieces).await;
            pieces.close();
            match end {
                RelayEnd::Complete => return self.finish(),
                RelayEnd::ClientGone => return self.client_gone(&attempt),
                RelayEnd::DeadlineExceeded => {
                    self.attempts.cancel(&attempt);
                    return self.fail(Cause::Deadline).await;
                }
                RelayEnd::Broken => {}
            }
            self.attempts.lifecycle.on(RequestEvent::AnswerFailed);
            self.attempts.report(&attempt, Observation::ConnectionLost);
            let Some(next) = self.resume(attempt).await else {
                return self.fail(Cause::EndpointFailed).await;
            };
            (attempt, pieces) = next;
        }
    }

    /// Forwards pieces until the connection ends.
    async fn forward_pieces(&mut self, attempt: &EndpointAttempt, pieces: &mut EventStream) -> RelayEnd {
        loop {
            let piece = match self.next(pieces).await {
                Ok(piece) => piece,
                Err(end) => return end,
            };
            if piece.data == DONE {
                if !self.assembler.on_done() {
                    return RelayEnd::Broken;
                }
                let sent = self.sender.send(format!("data: {DONE}\n\n").into_bytes()).await;
                return if sent.is_ok() {
                    RelayEnd::Complete
                } else {
                    RelayEnd::ClientGone
                };
            }
            let Some(number) = piece.number else {
                return RelayEnd::Broken;
            };
            match self.assembler.on_piece(number) {
                Verdict::Deliver => {}
                Verdict::Duplicate => continue,
                Verdict::Gap | Verdict::Unexpected => return RelayEnd::Broken,
            }
            self.record_first_token(attempt);
            self.attempts.lifecycle.on(RequestEvent::PartArrived);
            if number % PROGRESS_INTERVAL == PROGRESS_INTERVAL - 1 {
                attempt.progress(number + 1);
            }
            if self.sender.send(encode(number, &piece.data)).await.is_err() {
                return RelayEnd::ClientGone;
            }
        }
    }

    /// Returns the next piece, unless the client disconnects, the deadline passes or the connection fails first.
    async fn next(&self, pieces: &mut EventStream) -> Result<SseEvent, RelayEnd> {
        let Some(remaining) = self.attempts.call.remaining(&self.attempts.shared) else {
            return Err(RelayEnd::DeadlineExceeded);
        };
        let wait = remaining.min(self.stall_timeout());
        let next = http::timeout(wait, pieces.next());
        let gone = self.attempts.call.conn.peer_closed();
        futures::pin_mut!(next, gone);
        match select(next, gone).await {
            Either::Left((Ok(Ok(Some(piece))), _)) => Ok(piece),
            Either::Left((Ok(_), _)) => Err(RelayEnd::Broken),
            Either::Left((Err(_), _)) if wait < remaining => Err(RelayEnd::Broken),
            Either::Left((Err(_), _)) => Err(RelayEnd::DeadlineExceeded),
            Either::Right(_) => Err(RelayEnd::ClientGone),
        }
    }

    /// How long an engine may send nothing. Without a bound a stream from a hung engine would wait until the client's
    /// deadline; instead it is resumed elsewhere.
    fn stall_timeout(&self) -> Duration {
        if self.first_token.is_some() {
            return STALL_TIMEOUT;
        }
        self.attempts.hedge_delay().max(STALL_TIMEOUT)
    }

    fn record_first_token(&mut self, attempt: &EndpointAttempt) {
        if self.first_token.is_some() {
            return;
        }
        let after = attempt.first_token(self.head_info.uncached);
        self.attempts.shared.metrics.first_token.observe(after.as_secs_f64());
        self.first_token = Some(after);
    }

    /// Resumes from the first undelivered piece, at another engine with the same weights if there is one.
    async fn resume(&mut self, broken: EndpointAttempt) -> Option<(EndpointAttempt, EventStream)> {
        let mut last = broken.key;
        drop(broken);
        while self.resumes < MAX_RESUMES {
            self.resumes += 1;
            let from = match self.assembler.on_break() {
                ConnectionEnd::Complete => return None,
                ConnectionEnd::Restart => 0,
                ConnectionEnd::Resume { from, .. } => from,
            };
            let remaining = self.attempts.call.remaining(&self.attempts.shared)?;
            let attempt = self.attempts.place_resume(last)?;
            last = attempt.key;
            let request = self.attempts.resume_request(&attempt, from, remaining);
            let shared = self.attempts.shared.clone();
            let body = self.attempts.call.body.clone();
            self.attempts.lifecycle.on(RequestEvent::SendStarts);
            let Ok(reply) = send_pooled(shared, request, body, attempt.address, remaining).await else {
                self.attempts.lifecycle.on(RequestEvent::SendFailed);
                self.attempts.report(&attempt, Observation::ConnectionLost);
                continue;
            };
            if !reply.status().is_success() || on_head(&mut self.assembler, &reply) != HeadVerdict::Accept {
                self.attempts.lifecycle.on(RequestEvent::SendFailed);
                reply.close();
                continue;
            }
            self.attempts.lifecycle.on(RequestEvent::HeadArrived);
            if let Ok(pieces) = reply.into_events() {
                self.attempts.shared.metrics.resumed.inc();
                return Some((attempt, pieces));
            }
            self.attempts.lifecycle.on(RequestEvent::AnswerFailed);
        }
        None
    }

    fn finish(mut self) {
        self.attempts.lifecycle.on(RequestEvent::AnswerComplete);
        let tokens = Tokens {
            uncached: self.head_info.uncached,
            output: self.assembler.resume_from(),
        };
        self.attempts
            .permit
            .served(self.first_token.unwrap_or_default(), tokens);
        self.limit.settle(tokens.uncached + tokens.output);
    }

    fn client_gone(mut self, attempt: &EndpointAttempt) {
        self.attempts.shared.metrics.clients_gone.inc();
        self.attempts.cancel(attempt);
        self.attempts.lifecycle.on(RequestEvent::GiveUp);
    }

    /// Ends the stream with an error event: without one, a truncated stream could be taken for a complete one.
    async fn fail(mut self, cause: Cause) {
        let refused = self.attempts.give_up(cause);
        let code = refused.cause.code().to_string();
        self.attempts
            .shared
            .metrics
            .requests
            .with_label_values(&["stream", code.as_str()])
            .inc();
        let body = refused.body(&self.attempts.call.id);
        let data = serde_json::to_string(&body).expect("a refusal serializes to JSON");
        // Fails if the client has disconnected too.
        let _ = self
            .sender
            .send(format!("event: error\ndata: {data}\n\n").into_bytes())
            .await;
    }
}

fn encode(number: u64, data: &str) -> Vec<u8> {
    let mut text = String::with_capacity(data.len() + 32);
    let _ = writeln!(text, "id: {number}");
    for line in data.split('\n') {
        let _ = writeln!(text, "data: {line}");
    }
    text.push('\n');
    text.into_bytes()
}
