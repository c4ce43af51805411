//! Serves a completion: queue, prefill, decode, answer.

use super::answer::{AnswerEncoder, ApiKind, DONE, piece, text_seed};
use super::cache::chain;
use super::slots::{EnterOutcome, Permit};
use super::state::Engine;
use crate::http::{Call, Cut, Reply};
use async_channel::{Receiver, Sender};
use async_std::{io, task};
use futures::TryStreamExt;
use http_types::{Body, Response, StatusCode};
use ids::Incarnation;
use std::sync::Arc;
use wire::client::Completion;
use wire::engine::RefusedReason;
use wire::headers;

const BYTES_PER_TOKEN: usize = 4;
const DEFAULT_TOKENS: u32 = 16;
const MAX_TOKENS: u32 = 4096;
const DEFAULT_PRIORITY: u8 = 5;
const BUFFERED_PIECES: usize = 256;

/// Faults injected into one answer.
#[derive(Debug, Clone, Copy, Default)]
struct PlannedFaults {
    break_at: Option<Option<u64>>,
    wrong_id: bool,
    cut: bool,
}

/// A completion that has been accepted.
pub(super) struct Job {
    pub(super) engine: Arc<Engine>,
    pub(super) incarnation: Incarnation,
    request: String,
    pub(super) weights: String,
    pub(super) scope: String,
    seed: u64,
    pub(super) hashes: Vec<u64>,
    prompt_tokens: u64,
    max_tokens: u64,
    resume_from: u64,
    stream: bool,
    encoder: AnswerEncoder,
    faults: PlannedFaults,
    cancel_sender: Sender<()>,
    cancel: Receiver<()>,
}

type Piece = io::Result<Vec<u8>>;

impl Engine {
    /// Serves a completion.
    pub async fn complete(self: &Arc<Self>, call: &Call, api: ApiKind) -> Result<Reply, RefusedReason> {
        let Some(completion) = call.json::<Completion>() else {
            return Ok(Reply::Answer(Response::new(StatusCode::BadRequest)));
        };
        let priority = call
            .header(headers::PRIORITY)
            .and_then(|priority| priority.parse().ok())
            .unwrap_or(DEFAULT_PRIORITY);
        let (job, slots) = self.accept(call, &completion, api)?;
        let permit = match slots.enter(priority, &job.cancel).await {
            EnterOutcome::Running(permit) => permit,
            EnterOutcome::Full => return Err(RefusedReason::Full),
            EnterOutcome::Cancelled => return Ok(Reply::Close),
        };
        if let Some(None) = job.faults.break_at {
            return Ok(Reply::Close);
        }
        job.run(permit).await
    }

    fn accept(
        self: &Arc<Self>,
        call: &Call,
        completion: &Completion,
        api: ApiKind,
    ) -> Result<(Job, Arc<super::slots::Slots>), RefusedReason> {
        let prompt = completion.rendered();
        let scope = call.header(headers::CACHE_SCOPE).unwrap_or_default();
        let resume_from = call
            .header(headers::RESUME_FROM)
            .and_then(|from| from.parse().ok())
            .unwrap_or(0);
        let max_tokens = u64::from(completion.max_tokens.unwrap_or(DEFAULT_TOKENS).min(MAX_TOKENS));
        let mut state = self.lock();
        let weights = state.weights.clone().ok_or(RefusedReason::OtherWeights)?;
        let other = call
            .header(headers::WEIGHTS)
            .is_some_and(|expected| expected != weights.as_str());
        if other || completion.model != state.model.as_str() {
            return Err(RefusedReason::OtherWeights);
        }
        if state.fault.leaving == Some(true) {
            return Err(RefusedReason::Leaving);
        }
        if resume_from > max_tokens {
            return Err(RefusedReason::CannotResume);
        }
        let request = match call.header(headers::REQUEST_ID) {
            Some(id) => id.to_owned(),
            None => format!("anonymous-{}-{}", call.connection, self.now().as_nanos()),
        };
        let (cancel_sender, cancel) = state.register(&request);
        let faults = plan_faults(&mut state.fault, completion.stream);
        let id = if faults.wrong_id {
            format!("{request}-other")
        } else {
            request.clone()
        };
        let seed = [scope, state.model.as_str(), weights.as_str()];
        let prompt_tokens = prompt.len().div_ceil(BYTES_PER_TOKEN) as u64;
        let job = Job {
            engine: self.clone(),
            incarnation: state.incarnation,
            request,
            weights: weights.to_string(),
            scope: scope.to_owned(),
            seed: text_seed(weights.as_str(), &prompt),
            hashes: chain(seed, prompt.as_bytes(), self.args.block_tokens * BYTES_PER_TOKEN),
            prompt_tokens,
            max_tokens,
            resume_from,
            stream: completion.stream,
            encoder: AnswerEncoder {
                api,
                id,
                model: state.model.to_string(),
                tokens: (prompt_tokens, max_tokens, 0),
            },
            faults,
            cancel_sender,
            cancel,
        };
        Ok((job, state.slots.clone()))
    }
}

/// Selects the faults of one answer and decrements their counters.
fn plan_faults(fault: &mut wire::engine::Fault, stream: bool) -> PlannedFaults {
    let wrong_id = consume_one(&mut fault.cross_answers);
    let cut = !stream && consume_one(&mut fault.cut_answers);
    let breaks = stream && consume_one(&mut fault.break_streams);
    PlannedFaults {
        break_at: breaks.then_some(fault.break_at),
        wrong_id,
        cut,
    }
}

fn consume_one(left: &mut Option<u32>) -> bool {
    let Some(count) = left.filter(|count| *count > 0) else {
        return false;
    };
    *left = Some(count - 1);
    true
}

impl Drop for Job {
    fn drop(&mut self) {
        self.engine.lock().unregister(&self.request, &self.cancel_sender);
    }
}

impl Job {
    async fn run(mut self, permit: Permit) -> Result<Reply, RefusedReason> {
        let cached = self.cached_tokens();
        self.encoder.tokens.2 = cached;
        // Tokens generated before the interruption are prefilled like the prompt.
        let uncached = self.prompt_tokens - cached + self.resume_from;
        if !self.prefill(uncached).await {
            return Ok(Reply::Close);
        }
        let mut response = Response::new(StatusCode::Ok);
        response.insert_header(headers::REQUEST_ID, &self.encoder.id);
        response.insert_header(headers::INCARNATION, self.incarnation.to_string());
        response.insert_header(headers::WEIGHTS, &self.weights);
        response.insert_header(headers::CACHED_TOKENS, cached.to_string());
        if self.stream {
            response.insert_header("content-type", "text/event-stream");
            let (sender, receiver) = async_channel::bounded(BUFFERED_PIECES);
            task::spawn(self.stream(permit, sender));
            let reader = Box::pin(receiver).into_async_read();
            response.set_body(Body::from_reader(io::BufReader::new(reader), None));
            return Ok(Reply::Answer(response));
        }
        let cut = self.faults.cut;
        let Some(body) = self.complete_body().await else {
            return Ok(Reply::Close);
        };
        drop(permit);
        response.set_body(Body::from_bytes(body));
        response.insert_header("content-type", "application/json");
        Ok(if cut {
            Reply::Part(response, Cut::InBody)
        } else {
            Reply::Answer(response)
        })
    }

    fn cached_tokens(&self) -> u64 {
        let state = self.engine.lock();
        let blocks = state.cache.matched(&self.scope, &self.hashes);
        (blocks * self.engine.args.block_tokens) as u64
    }

    pub(super) fn is_cancelled(&self) -> bool {
        self.cancel.is_closed() || self.engine.lock().incarnation != self.incarnation
    }

    async fn complete_body(self) -> Option<Vec<u8>> {
        let mut text = String::new();
        for number in 0..self.max_tokens {
            self.decode_pause().await;
            if self.is_cancelled() {
                return None;
            }
            text.push_str(&piece(self.seed, number));
        }
        let body = self.encoder.body(&text);
        let mut state = self.engine.lock();
        state.record_sent(self.request.clone(), body.clone());
        Some(body)
    }

    async fn stream(self, permit: Permit, to: Sender<Piece>) {
        let mut sent = Vec::new();
        for number in self.resume_from..=self.max_tokens {
            let last = number == self.max_tokens;
            if !last {
                self.decode_pause().await;
            }
            if self.is_cancelled() || self.faults.break_at == Some(Some(number)) {
                let _ = to.send(Err(io::ErrorKind::ConnectionAborted.into())).await;
                break;
            }
            let text = if last { String::new() } else { piece(self.seed, number) };
            let mut event = self.encoder.event(number, &text, last);
            if last {
                event.extend_from_slice(DONE);
            }
            sent.extend_from_slice(&event);
            if to.send(Ok(event)).await.is_err() {
                break;
            }
        }
        drop(permit);
        let mut state = self.engine.lock();
        state.record_sent(self.request.clone(), sent);
    }
}
