//! Streams: numbered pieces passed on as they come, resumed after a break, ended by `[DONE]` or by an error event.

use super::attempt::{Attempts, Opened};
use super::completion::Seen;
use super::refusal::{Cause, Refused};
use super::transmit::send_pooled;
use crate::control::Sighting;
use crate::limits::Taken;
use crate::pool::Flight;
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

/// The data of the last event.
const DONE: &str = "[DONE]";
/// Pieces that may wait for a slow caller before the engine is held up.
const PIECES_AHEAD: usize = 64;
/// Pieces between two looks at an engine's pace.
const PACE_EVERY: u64 = 16;
/// Longest silence between two pieces: a hundred and fifty times the 32 ms that are aimed at, so that an engine that
/// merely serves others in between is not left.
const STALL: Duration = Duration::from_secs(5);
/// Times that one stream is resumed.
const RESUMES: u32 = 3;

/// Answers with a stream; what follows the head runs in a task of its own.
pub async fn answer(mut attempts: Attempts, opened: Opened, seen: Seen, limit: Taken) -> Result<Response, Refused> {
    let mut assembler = StreamAssembler::new(attempts.call.id.clone());
    let head = on_head(&mut assembler, &opened.reply);
    debug_assert_eq!(head, HeadVerdict::Accept, "the attempt has judged this head already");
    // From here on only the weights that began the stream can go on with it.
    attempts.weights = opened
        .reply
        .header(headers::WEIGHTS)
        .map(WeightsVersion::from)
        .into_iter()
        .collect();
    let pieces = opened
        .reply
        .into_events()
        .map_err(|_| Refused::with(Cause::Endpoint, attempts.life.ran()))?;
    let (sender, receiver) = async_channel::bounded(PIECES_AHEAD);
    let relay = Relay {
        attempts,
        assembler,
        sender,
        seen,
        limit,
        first_token: None,
        resumes: 0,
    };
    task::spawn(relay.run(opened.flight, pieces));
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

/// One stream on its way from engines to its caller.
struct Relay {
    attempts: Attempts,
    assembler: StreamAssembler,
    sender: Sender<Vec<u8>>,
    seen: Seen,
    limit: Taken,
    first_token: Option<Duration>,
    resumes: u32,
}

/// Why pieces of one connection ended.
enum End {
    /// The end mark came.
    Whole,
    /// The connection or the order of pieces broke.
    Broken,
    /// The caller has gone.
    Gone,
    /// The deadline passed.
    Late,
}

impl Relay {
    async fn run(mut self, mut flight: Flight, mut pieces: EventStream) {
        loop {
            let end = self.pass_on(&flight, &mut pieces).await;
            pieces.close();
            match end {
                End::Whole => return self.served(),
                End::Gone => return self.gone(&flight),
                End::Late => {
                    self.attempts.cancel(&flight);
                    return self.fail(Cause::Deadline).await;
                }
                End::Broken => {}
            }
            self.attempts.life.on(RequestEvent::AnswerFailed);
            self.attempts.tell(&flight, Sighting::Broke);
            let Some(next) = self.resume(flight).await else {
                return self.fail(Cause::Endpoint).await;
            };
            (flight, pieces) = next;
        }
    }

    /// Passes pieces on until this connection gives no more.
    async fn pass_on(&mut self, flight: &Flight, pieces: &mut EventStream) -> End {
        loop {
            let piece = match self.next(pieces).await {
                Ok(piece) => piece,
                Err(end) => return end,
            };
            if piece.data == DONE {
                if !self.assembler.on_done() {
                    return End::Broken;
                }
                let sent = self.sender.send(format!("data: {DONE}\n\n").into_bytes()).await;
                return if sent.is_ok() { End::Whole } else { End::Gone };
            }
            let Some(number) = piece.number else { return End::Broken };
            match self.assembler.on_piece(number) {
                Verdict::Deliver => {}
                Verdict::Duplicate => continue,
                Verdict::Gap | Verdict::Unexpected => return End::Broken,
            }
            self.note_first(flight);
            self.attempts.life.on(RequestEvent::PartArrived);
            if number % PACE_EVERY == PACE_EVERY - 1 {
                flight.progress(number + 1);
            }
            if self.sender.send(encode(number, &piece.data)).await.is_err() {
                return End::Gone;
            }
        }
    }

    /// The next piece, unless the caller goes, the deadline passes or the stream breaks first.
    async fn next(&self, pieces: &mut EventStream) -> Result<SseEvent, End> {
        let Some(left) = self.attempts.call.left(&self.attempts.shared) else {
            return Err(End::Late);
        };
        let wait = left.min(self.patience());
        let next = http::timeout(wait, pieces.next());
        let gone = self.attempts.call.conn.peer_closed();
        futures::pin_mut!(next, gone);
        match select(next, gone).await {
            Either::Left((Ok(Ok(Some(piece))), _)) => Ok(piece),
            Either::Left((Ok(_), _)) => Err(End::Broken),
            Either::Left((Err(_), _)) if wait < left => Err(End::Broken),
            Either::Left((Err(_), _)) => Err(End::Late),
            Either::Right(_) => Err(End::Gone),
        }
    }

    /// How long an engine may be silent. Without a bound a stream from an engine that hangs would stay with it until
    /// the caller's deadline; it is resumed elsewhere instead.
    fn patience(&self) -> Duration {
        if self.first_token.is_some() {
            return STALL;
        }
        self.attempts.slow().max(STALL)
    }

    fn note_first(&mut self, flight: &Flight) {
        if self.first_token.is_some() {
            return;
        }
        let after = flight.first_token(self.seen.uncached);
        self.attempts.shared.metrics.first_token.observe(after.as_secs_f64());
        self.first_token = Some(after);
    }

    /// Goes on from the first piece that was not delivered, at another engine of the same weights if there is one.
    async fn resume(&mut self, broken: Flight) -> Option<(Flight, EventStream)> {
        let mut last = broken.key;
        drop(broken);
        while self.resumes < RESUMES {
            self.resumes += 1;
            let from = match self.assembler.on_break() {
                ConnectionEnd::Complete => return None,
                ConnectionEnd::Restart => 0,
                ConnectionEnd::Resume { from, .. } => from,
            };
            let left = self.attempts.call.left(&self.attempts.shared)?;
            let flight = self.attempts.place_again(last)?;
            last = flight.key;
            let request = self.attempts.resume_request(&flight, from, left);
            let shared = self.attempts.shared.clone();
            let body = self.attempts.call.body.clone();
            self.attempts.life.on(RequestEvent::SendStarts);
            let Ok(reply) = send_pooled(shared, request, body, flight.address, left).await else {
                self.attempts.life.on(RequestEvent::SendFailed);
                self.attempts.tell(&flight, Sighting::Broke);
                continue;
            };
            if !reply.status().is_success() || on_head(&mut self.assembler, &reply) != HeadVerdict::Accept {
                self.attempts.life.on(RequestEvent::SendFailed);
                reply.close();
                continue;
            }
            self.attempts.life.on(RequestEvent::HeadArrived);
            if let Ok(pieces) = reply.into_events() {
                self.attempts.shared.metrics.resumed.inc();
                return Some((flight, pieces));
            }
            self.attempts.life.on(RequestEvent::AnswerFailed);
        }
        None
    }

    fn served(mut self) {
        self.attempts.life.on(RequestEvent::AnswerComplete);
        let tokens = Tokens {
            uncached: self.seen.uncached,
            output: self.assembler.resume_from(),
        };
        self.attempts
            .permit
            .served(self.first_token.unwrap_or_default(), tokens);
        self.limit.settle(tokens.uncached + tokens.output);
    }

    fn gone(mut self, flight: &Flight) {
        self.attempts.shared.metrics.callers_gone.inc();
        self.attempts.cancel(flight);
        self.attempts.life.on(RequestEvent::GiveUp);
    }

    /// Ends the stream with an explicit error event: without one a cut could be taken for the end.
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
        let data = serde_json::to_string(&body).expect("a refusal is always JSON");
        // The caller may have gone as well.
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
