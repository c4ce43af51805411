//! Completions: read, admitted, placed, answered whole or as a stream.

use super::attempt::{Attempts, Opened};
use super::auth::Caller;
use super::call::{self, Call};
use super::refusal::{Cause, Refused};
use super::stream;
use super::transmit::send_pooled;
use crate::shared::Shared;
use crate::view::{Standing, Target, View};
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

/// Bytes of a prompt that make one cache block: 1,024 tokens of about four bytes.
const BLOCK_BYTES: usize = 4096;
/// Tokens of a cache block.
pub const BLOCK_TOKENS: u64 = 1024;
/// Bytes of a token, on average.
const TOKEN_BYTES: u64 = 4;
/// Output expected of a request that states no bound.
const OUTPUT_TOKENS: u32 = 256;

/// Answers one completion.
pub async fn completion(shared: &Arc<Shared>, call: Call) -> Result<Response, Refused> {
    let wanted: Completion<'_> =
        serde_json::from_slice(&call.body).map_err(|err| Refused::not_run(Cause::Json(err)))?;
    if wanted.prompt.is_none() && wanted.messages.is_none() {
        return Err(Refused::not_run(Cause::NoPrompt));
    }
    let model = ModelId::from(wanted.model.as_ref());
    let stream = wanted.stream;
    let weights = weights(&call.caller, &model)?;
    let chain = chain(&call, &wanted, &model, &weights[0])?;
    let pool = shared
        .pools
        .get(&Target::Model(model))
        .ok_or(Refused::not_run(Cause::NoEndpoint))?;
    let estimate = estimate(&wanted, &call, &chain, pool.expected_blocks(&chain));
    let limit = shared
        .limits
        .take(&call.caller, estimate.uncached + estimate.output, shared.clock.now())?;
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
    let seen = seen(&attempts, &opened);
    if stream && opened.reply.status().is_success() {
        return stream::answer(attempts, opened, seen, limit).await;
    }
    whole(attempts, opened, seen, limit).await
}

/// What the head of an engine's answer showed.
#[derive(Debug, Clone, Copy)]
pub struct Seen {
    /// Prompt tokens the engine computed.
    pub uncached: u64,
}

/// Takes in what the head shows of the cache; an answer by another life than believed says nothing of this one.
fn seen(attempts: &Attempts, opened: &Opened) -> Seen {
    let prompt = attempts.chain.blocks().len() as u64 * BLOCK_TOKENS;
    let header = |name| opened.reply.header(name).and_then(|text| text.parse::<u64>().ok());
    let cached = header(headers::CACHED_TOKENS).unwrap_or(0).min(prompt);
    let served = opened.reply.header(headers::WEIGHTS).unwrap_or_default();
    // The chain's hashes stand for the preferred weights only.
    let chained = attempts
        .weights
        .first()
        .is_some_and(|weights| weights.as_str() == served);
    if let Some(incarnation) = header(headers::INCARNATION).filter(|_| chained) {
        let blocks = (cached / BLOCK_TOKENS) as usize;
        opened.flight.learn(Incarnation(incarnation), &attempts.chain, blocks);
    }
    attempts.shared.metrics.prompt_tokens.inc_by(prompt);
    attempts.shared.metrics.cached_tokens.inc_by(cached);
    Seen {
        uncached: prompt - cached,
    }
}

/// Answers with a whole body. One that is cut short is asked for again elsewhere: the caller has seen nothing of it,
/// and a completion may run twice.
async fn whole(
    mut attempts: Attempts,
    mut opened: Opened,
    mut shown: Seen,
    limit: crate::limits::Taken,
) -> Result<Response, Refused> {
    loop {
        let status = opened.reply.status();
        let content = opened.reply.header("content-type").map(str::to_owned);
        let first_token = opened.flight.first_token(shown.uncached);
        if let Some(body) = read(&attempts, opened.reply).await {
            attempts.shared.metrics.first_token.observe(first_token.as_secs_f64());
            attempts.life.on(RequestEvent::AnswerComplete);
            let tokens = Tokens {
                uncached: shown.uncached,
                output: output(&body),
            };
            attempts.permit.served(first_token, tokens);
            limit.settle(tokens.uncached + tokens.output);
            return Ok(respond(status, content.as_deref(), body));
        }
        attempts.cancel(&opened.flight);
        attempts.life.on(RequestEvent::AnswerFailed);
        attempts.again(opened.flight).await?;
        opened = attempts.open(send_pooled).await?;
        shown = seen(&attempts, &opened);
    }
}

/// The whole body, none if it broke off or the deadline passed.
async fn read(attempts: &Attempts, reply: http::Reply) -> Option<Vec<u8>> {
    let left = attempts.call.left(&attempts.shared)?;
    let limit = attempts.shared.settings.limits.answer_bytes;
    http::timeout(left, reply.whole(limit)).await.ok()?.ok()
}

/// An answer with this body.
pub fn respond(status: StatusCode, content: Option<&str>, body: Vec<u8>) -> Response {
    let mut response = Response::new(status);
    response.set_body(body);
    response.insert_header("content-type", content.unwrap_or("application/octet-stream"));
    response
}

/// The weights that may serve `model`, those that most endpoints serve first and the wanted ones before equals: while
/// new weights are loaded, traffic moves once most runners have them, and never to one warming runner alone. There
/// is at least one.
fn weights(caller: &Caller, model: &ModelId) -> Result<Vec<WeightsVersion>, Refused> {
    let missing = || Refused::not_run(Cause::Model(model.clone()));
    if !caller.spec.models.contains(model) {
        return Err(missing());
    }
    let spec = caller.view.document.models.get(model).ok_or_else(missing)?;
    let mut weights = spec.versions.clone();
    let wanted = |version: &WeightsVersion| *version == spec.wanted;
    weights.sort_by_cached_key(|version| (Reverse(serving(&caller.view, model, version)), !wanted(version)));
    Ok(weights)
}

/// How many endpoints serve `version`, or may, since nothing is known of theirs.
fn serving(view: &View, model: &ModelId, version: &WeightsVersion) -> usize {
    let target = Target::Model(model.clone());
    let serves = |id| {
        let believed = view.belief(id);
        believed.standing != Standing::Out && believed.weights.as_ref().is_none_or(|weights| weights == version)
    };
    view.members(&target).filter(|(id, _)| serves(id)).count()
}

fn chain(
    call: &Call,
    wanted: &Completion<'_>,
    model: &ModelId,
    weights: &WeightsVersion,
) -> Result<PrefixChain, Refused> {
    let ends = levels(call)?;
    let scope = Scope {
        workspace: &call.caller.workspace,
        model,
        weights,
    };
    Ok(PrefixChain::new(
        scope,
        wanted.rendered().as_bytes(),
        BLOCK_BYTES,
        &ends,
    ))
}

fn levels(call: &Call) -> Result<Vec<usize>, Refused> {
    let Some(text) = call::text(&call.head, headers::PREFIX_LEVELS) else {
        return Ok(Vec::new());
    };
    let wrong = || Refused::not_run(Cause::Header(headers::PREFIX_LEVELS));
    let ends: Result<Vec<usize>, _> = text.split(',').map(|end| end.trim().parse()).collect();
    let ends = ends.map_err(|_| wrong())?;
    if ends.is_sorted() { Ok(ends) } else { Err(wrong()) }
}

fn estimate(wanted: &Completion<'_>, call: &Call, chain: &PrefixChain, expected: usize) -> Tokens {
    let prompt = (call.body.len() as u64 / TOKEN_BYTES).max(chain.blocks().len() as u64 * BLOCK_TOKENS);
    Tokens {
        uncached: prompt.saturating_sub(expected as u64 * BLOCK_TOKENS),
        output: u64::from(wanted.max_tokens.unwrap_or(OUTPUT_TOKENS)),
    }
}

/// The job of a call.
pub fn job(call: &Call, tokens: Tokens) -> Job {
    Job {
        workspace: call.caller.workspace.clone(),
        weight: call.caller.spec.weight,
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

/// Tokens generated, as the answer says; none if it does not.
fn output(body: &[u8]) -> u64 {
    serde_json::from_slice(body).map_or(0, |answer: Answer| answer.usage.completion_tokens)
}
