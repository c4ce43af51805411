//! A stream on its way from an endpoint to the caller, event by event.

use super::attempts::{Attempted, Attempts, Finish};
use super::flight::Flight;
use super::wait::{Outdated, Waited, wait};
use super::{closes, reply};
use crate::dialect::AnswerFacts;
use async_std::future::timeout;
use async_std::io::WriteExt;
use dispatch::attempt::{self, Cause, Failure};
use dispatch::fleet::Outcome;
use http::raw::{Answer, Source};
use lifecycle::request::RequestEvent;

/// Passes one endpoint's part of a stream on.
pub(super) struct Relay<'r, 'a, 'f> {
    attempts: &'r mut Attempts<'a>,
    flight: &'r mut Flight<'f>,
    close: bool,
    chunked: bool,
}

/// What became of a write to the caller.
#[derive(PartialEq, Eq)]
enum Written {
    Done,
    Gone,
}

impl<'r, 'a, 'f> Relay<'r, 'a, 'f> {
    pub(super) fn new(attempts: &'r mut Attempts<'a>, flight: &'r mut Flight<'f>) -> Self {
        let caller = attempts.call.caller;
        let close = closes(attempts.shared, caller);
        let chunked = !caller.head.old;
        Self {
            attempts,
            flight,
            close,
            chunked,
        }
    }

    pub(super) async fn run(mut self, mut answer: Answer, mut source: Source, facts: &AnswerFacts) -> Attempted {
        let conn = self.attempts.call.caller.conn.clone();
        // Whether this endpoint has begun: another one may have sent the events so far.
        let mut begun = false;
        loop {
            let within = attempt::silence(self.attempts.call.route.kind, self.attempts.left());
            let part = answer.body.part(&mut source);
            let waited = if begun {
                wait(&conn, within, part).await
            } else {
                match self.attempts.unbegun(self.flight.picked, within, part).await {
                    Ok(waited) => waited,
                    Err(Outdated) => return self.taken_back(),
                }
            };
            match waited {
                Waited::Done(Ok(Some(part))) => {
                    let whole = self.attempts.events.push(&part);
                    if whole.count == 0 {
                        continue;
                    }
                    begun = true;
                    self.first_event();
                    self.attempts.record.part(self.attempts.shared);
                    if self.write(&answer, &whole.bytes, false).await == Written::Gone {
                        return Attempted::Ended(self.attempts.gone());
                    }
                }
                Waited::Done(Ok(None)) => return self.finish(&answer, source, facts).await,
                Waited::Done(Err(_)) => return self.attempts.broke(self.flight),
                Waited::CallerGone => {
                    self.attempts.waited(self.flight.began);
                    return Attempted::Ended(self.attempts.gone());
                }
                Waited::TimeOver if self.attempts.left().is_zero() => {
                    return Attempted::Ended(self.attempts.give_up(Cause::Deadline));
                }
                Waited::TimeOver => return self.silent(),
            }
        }
    }

    fn silent(self) -> Attempted {
        self.flight.outcome(Outcome::Silent);
        self.attempts.events.discard_partial();
        self.attempts.life.on(RequestEvent::AnswerFailed);
        Attempted::Failed(Failure::Silent)
    }

    fn taken_back(self) -> Attempted {
        self.attempts.events.discard_partial();
        self.attempts.life.on(RequestEvent::AnswerFailed);
        self.attempts.taken_back(self.flight)
    }

    fn first_event(&mut self) {
        if self.attempts.begun {
            return;
        }
        self.attempts.waited(self.flight.began);
        self.flight.prompt_read();
        self.flight.answered();
        self.attempts.record.first_byte(self.attempts.shared);
    }

    /// The endpoint's last byte has come.
    async fn finish(mut self, answer: &Answer, source: Source, facts: &AnswerFacts) -> Attempted {
        let rest = self.attempts.events.finish();
        if self.write(answer, &rest, true).await == Written::Gone {
            return Attempted::Ended(self.attempts.gone());
        }
        self.attempts.life.on(RequestEvent::AnswerComplete);
        if answer.clean && answer.head.keeps() {
            let links = &self.attempts.shared.links;
            links.give_back(&self.flight.picked.endpoint, source, facts.keep_alive);
        }
        Attempted::Ended(Finish::Streamed {
            keeps: !self.close && self.chunked,
        })
    }

    /// Writes events, after the head if they are the first, and the end of the stream after the last.
    async fn write(&mut self, answer: &Answer, part: &[u8], last: bool) -> Written {
        let mut bytes = Vec::with_capacity(part.len() + 64);
        if !self.attempts.begun {
            let headers = (self.attempts.shared.dialect.answer)(&answer.head.headers);
            bytes = reply::stream_head(answer.head.status, &headers, self.close, self.chunked);
            self.attempts.begun = true;
        }
        reply::push_part(&mut bytes, part, self.chunked);
        if last {
            reply::push_end(&mut bytes, self.chunked);
        }
        self.attempts.life.on(RequestEvent::PartArrived);
        let mut conn = self.attempts.call.caller.conn.clone();
        let written = timeout(self.attempts.left(), conn.write_all(&bytes)).await;
        if matches!(written, Ok(Ok(()))) {
            return Written::Done;
        }
        Written::Gone
    }
}
