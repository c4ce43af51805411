//! Completions: parsing, admission, placement, and buffered or streamed responses.

use super::attempt::{Attempts, OpenedReply};
use super::auth::AuthContext;
use super::call::{self, Call};
use super::refusal::{Cause, Refused};
use super::stream;
use super::transmit::send_pooled;
use crate::shared::Shared;
use crate::view::{Availability, Target, View};
use admission::{Job, Tokens};
use http::{Response, StatusCode};
use ids::{Incarnation, ModelId, WeightsVersion};
use lifecycle::request::{RequestEvent, RetryPolicy};
use placement::{PrefixChain, Scope};
use serde::Deserialize;
use std::cmp::Reverse;
use std::sync::Arc;
use wire::client::Completion;
use wire::headers;

/// Prompt bytes per cache block: 1,024 tokens of about four bytes.
const BLOCK_BYTES: usize = 4096;
/// Tokens per cache block.
pub const BLOCK_TOKENS: u64 = 1024;
/// Average bytes per token.
const TOKEN_BYTES: u64 = 4;
/// Output tokens estimated for a request without `max_tokens`.
const OUTPUT_TOKENS: u32 = 256;

/// Handles one completion request.
pub async fn completion(shared: &Arc<Shared>, call: Call) -> Result<Response, Refused> {
    let request: Completion<'_> =
        serde_json::from_slice(&call.body).map_err(|err| Refused::not_run(Cause::Json(err)))?;
    if request.prompt.is_none() && request.messages.is_none() {
        return Err(Refused::not_run(Cause::NoPrompt));
    }
    let model = ModelId::from(request.model.as_ref());
    let stream = request.stream;
    let weights = weights(&call.auth, &model)?;
    let chain = chain(&call, &request, &model, &weights[0])?;
    let pool = shared
        .pools
        .get(&Target::Model(model))
        .ok_or(Refused::not_run(Cause::NoEndpoint))?;
    let estimate = estimate(&request, &call, &chain, pool.expected_blocks(&chain));
    let limit = shared
        .limits
        .try_acquire(&call.auth, estimate.uncached + estimate.output, shared.clock.now())?;
    let permit = match pool.enter(job(&call, estimate)).await {
        Ok(permit) => permit,
        Err(refusal) => {
            limit.settle(0);
            return Err(refusal.into());
        }
    };
    let mut attempts = Attempts::new(shared, call, permit, RetryPolicy::Idempotent);
    attempts.chain = chain;
    attempts.weights = weights;
    let opened = attempts.open(send_pooled).await?;
    let info = record_head(&attempts, &opened);
    if stream && opened.reply.status().is_success() {
        return stream::respond(attempts, opened, info, limit).await;
    }
    answer_buffered(attempts, opened, info, limit).await
}

/// Facts from the head of an engine's response.
#[derive(Debug, Clone, Copy)]
pub struct HeadInfo {
    /// Prompt tokens that the engine computed.
    pub uncached: u64,
}

/// Records how much of the prompt was cached. The cached share belongs to the incarnation that responded, which may
/// differ from the published one.
fn record_head(attempts: &Attempts, opened: &OpenedReply) -> HeadInfo {
    let prompt = attempts.chain.blocks().len() as u64 * BLOCK_TOKENS;
    let header = |name| opened.reply.header(name).and_then(|text| text.parse::<u64>().ok());
    let cached = header(headers::CACHED_TOKENS).unwrap_or(0).min(prompt);
    let served = opened.reply.header(headers::WEIGHTS).unwrap_or_default();
    // The hashes of the chain are valid for the preferred weights only.
    let preferred = attempts
        .weights
        .first()
        .is_some_and(|weights| weights.as_str() == served);
    if let Some(incarnation) = header(headers::INCARNATION).filter(|_| preferred) {
        let blocks = (cached / BLOCK_TOKENS) as usize;
        opened.attempt.learn(Incarnation(incarnation), &attempts.chain, blocks);
    }
    attempts.shared.metrics.prompt_tokens.inc_by(prompt);
    attempts.shared.metrics.cached_tokens.inc_by(cached);
    HeadInfo {
        uncached: prompt - cached,
    }
}

/// Responds with a buffered body. If the endpoint's response is cut off, the request is sent again elsewhere: the
/// client has received nothing of it, and a completion may run twice.
async fn answer_buffered(
    mut attempts: Attempts,
    mut opened: OpenedReply,
    mut info: HeadInfo,
    limit: crate::limits::LimitReservation,
) -> Result<Response, Refused> {
    loop {
        let status = opened.reply.status();
        let content = opened.reply.header("content-type").map(str::to_owned);
        let first_token = opened.attempt.first_token(info.uncached);
        if let Some(body) = read(&attempts, opened.reply).await {
            attempts.shared.metrics.first_token.observe(first_token.as_secs_f64());
            attempts.lifecycle.on(RequestEvent::AnswerComplete);
            let tokens = Tokens {
                uncached: info.uncached,
                output: output_tokens(&body),
            };
            attempts.permit.served(first_token, tokens);
            limit.settle(tokens.uncached + tokens.output);
            return Ok(respond(status, content.as_deref(), body));
        }
        attempts.cancel(&opened.attempt);
        attempts.lifecycle.on(RequestEvent::AnswerFailed);
        attempts.retry(opened.attempt).await?;
        opened = attempts.open(send_pooled).await?;
        info = record_head(&attempts, &opened);
    }
}

/// Reads the complete body; `None` if it is cut off or the deadline passes.
async fn read(attempts: &Attempts, reply: http::Reply) -> Option<Vec<u8>> {
    let remaining = attempts.call.remaining(&attempts.shared)?;
    let limit = attempts.shared.settings.limits.answer_bytes;
    reply.read_body(limit, remaining).await.ok()
}

/// Creates a response with this body.
pub fn respond(status: StatusCode, content: Option<&str>, body: Vec<u8>) -> Response {
    let mut response = Response::new(status);
    response.set_body(body);
    response.insert_header("content-type", content.unwrap_or("application/octet-stream"));
    response
}

/// The weights that may serve `model`, at least one: first those that most endpoints serve, and the target weights
/// before others with equally many. While new weights are loaded, traffic moves once most runners have them, and
/// never to a single runner with a cold cache.
fn weights(auth: &AuthContext, model: &ModelId) -> Result<Vec<WeightsVersion>, Refused> {
    let missing = || Refused::not_run(Cause::Model(model.clone()));
    if !auth.spec.models.contains(model) {
        return Err(missing());
    }
    let spec = auth.view.document.models.get(model).ok_or_else(missing)?;
    let mut weights = spec.versions.clone();
    let is_target = |version: &WeightsVersion| *version == spec.wanted;
    weights.sort_by_cached_key(|version| (Reverse(count_serving(&auth.view, model, version)), !is_target(version)));
    Ok(weights)
}

/// How many endpoints serve `version`. Endpoints with unknown weights count too.
fn count_serving(view: &View, model: &ModelId, version: &WeightsVersion) -> usize {
    let target = Target::Model(model.clone());
    let serves = |id| {
        let state = view.endpoint_state(id);
        state.availability != Availability::Unavailable
            && state.weights.as_ref().is_none_or(|weights| weights == version)
    };
    view.members(&target).filter(|(id, _)| serves(id)).count()
}

fn chain(
    call: &Call,
    request: &Completion<'_>,
    model: &ModelId,
    weights: &WeightsVersion,
) -> Result<PrefixChain, Refused> {
    let ends = prefix_levels(call)?;
    let scope = Scope {
        workspace: &call.auth.workspace,
        model,
        weights,
    };
    Ok(PrefixChain::new(
        scope,
        request.rendered().as_bytes(),
        BLOCK_BYTES,
        &ends,
    ))
}

fn prefix_levels(call: &Call) -> Result<Vec<usize>, Refused> {
    let Some(text) = call::text(&call.head, headers::PREFIX_LEVELS) else {
        return Ok(Vec::new());
    };
    let invalid = || Refused::not_run(Cause::Header(headers::PREFIX_LEVELS));
    let ends: Result<Vec<usize>, _> = text.split(',').map(|end| end.trim().parse()).collect();
    let ends = ends.map_err(|_| invalid())?;
    if ends.is_sorted() { Ok(ends) } else { Err(invalid()) }
}

fn estimate(request: &Completion<'_>, call: &Call, chain: &PrefixChain, expected: usize) -> Tokens {
    let prompt = (call.body.len() as u64 / TOKEN_BYTES).max(chain.blocks().len() as u64 * BLOCK_TOKENS);
    Tokens {
        uncached: prompt.saturating_sub(expected as u64 * BLOCK_TOKENS),
        output: u64::from(request.max_tokens.unwrap_or(OUTPUT_TOKENS)),
    }
}

/// The admission job of a request.
pub fn job(call: &Call, tokens: Tokens) -> Job {
    Job {
        workspace: call.auth.workspace.clone(),
        weight: call.auth.spec.weight,
        priority: call.priority,
        tokens,
        deadline: Some(call.deadline),
    }
}

#[derive(Deserialize)]
struct Answer {
    usage: AnswerUsage,
}

#[derive(Deserialize)]
struct AnswerUsage {
    completion_tokens: u64,
}

/// Generated tokens as stated in the response; 0 if it does not say.
fn output_tokens(body: &[u8]) -> u64 {
    serde_json::from_slice(body).map_or(0, |answer: Answer| answer.usage.completion_tokens)
}
