//! Calls of plain services: repeated only where that does no harm, claimed where a key asks for it.

use super::attempt::Attempts;
use super::call::{self, Call};
use super::claim::{self, Claimed};
use super::completion::{job, respond};
use super::refusal::{Cause, Refused};
use super::transmit::{declined, send_pooled};
use crate::shared::Shared;
use crate::view::Target;
use admission::Tokens;
use http::{Reply, Response, SendError};
use ids::{IdempotencyKey, ServiceId};
use lifecycle::claims::{Attempt, HeldClaim, MaySend, Outcome, Protection, StoredAnswer, protection};
use lifecycle::request::{RequestEvent, RequestState};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use wire::client::Ran;
use wire::headers;

/// Answers one call of a plain service.
pub async fn service(shared: &Arc<Shared>, mut call: Call) -> Result<Response, Refused> {
    let (service, path) = split(&call.path).ok_or(Refused::not_run(Cause::NoPath))?;
    if !call.caller.spec.services.contains(&service) {
        return Err(Refused::not_run(Cause::Service(service)));
    }
    let view = call.caller.view.clone();
    let operation = view
        .operation(&service, &path)
        .ok_or(Refused::not_run(Cause::Operation))?;
    call.path = path;
    let key = call::text(&call.head, headers::IDEMPOTENCY_KEY).map(IdempotencyKey::from);
    let guard = protection(operation.idempotent, operation.deduplicates, key.is_some());
    let attempt = attempt(&call)?;
    let pool = shared
        .pools
        .get(&Target::Service(service))
        .ok_or(Refused::not_run(Cause::NoEndpoint))?;
    let limit = shared.limits.take(&call.caller, 0, shared.clock.now())?;
    let entered = pool.enter(job(&call, Tokens::default())).await;
    let permit = entered.map_err(|refusal| before_claim(refusal.into(), guard, attempt))?;
    let attempts = Attempts::new(shared, call, permit, guard.retry_policy());
    let answer = match (guard, key) {
        (Protection::Idempotent | Protection::Endpoint, _) => repeatable(attempts).await,
        (Protection::Claim, Some(key)) => claimed(attempts, key, attempt).await,
        (Protection::SingleSend | Protection::Claim, _) => single(attempts).await,
    }?;
    limit.settle(0);
    let body = answer.body.as_bytes().map(<[u8]>::to_vec).unwrap_or_default();
    let status = http::StatusCode::try_from(answer.status).unwrap_or(http::StatusCode::BadGateway);
    Ok(respond(status, answer.content.as_deref(), body))
}

/// `/services/NAME/PATH` as name and `/PATH`.
fn split(path: &str) -> Option<(ServiceId, String)> {
    let rest = path.strip_prefix(super::SERVICES)?;
    let (name, path) = rest.split_once('/')?;
    Some((ServiceId::from(name), format!("/{path}")))
}

fn attempt(call: &Call) -> Result<Attempt, Refused> {
    match call::text(&call.head, headers::ATTEMPT) {
        None => Ok(Attempt::Unstated),
        Some("first") => Ok(Attempt::First),
        Some(_) => Err(Refused::not_run(Cause::Header(headers::ATTEMPT))),
    }
}

/// A refusal before the claim was looked up: an earlier attempt of this key may have run at another router.
fn before_claim(refused: Refused, guard: Protection, attempt: Attempt) -> Refused {
    let keyed = matches!(guard, Protection::Claim | Protection::Endpoint);
    if keyed && attempt == Attempt::Unstated {
        return Refused {
            ran: Ran::Unknown,
            ..refused
        };
    }
    refused
}

async fn repeatable(mut attempts: Attempts) -> Result<StoredAnswer, Refused> {
    loop {
        let opened = attempts.open(send_pooled).await?;
        let kept = read(&attempts, opened.reply).await;
        if let Some(kept) = kept {
            attempts.life.on(RequestEvent::AnswerComplete);
            let after = opened.flight.first_token(0);
            attempts.permit.served(after, Tokens::default());
            return Ok(kept);
        }
        attempts.life.on(RequestEvent::AnswerFailed);
        attempts.again(opened.flight).await?;
    }
}

/// Sends once, without a claim: the caller gave no key, so its own retry would be another call.
async fn single(attempts: Attempts) -> Result<StoredAnswer, Refused> {
    let (result, _) = send_once(attempts, || true, || ()).await;
    result
}

async fn claimed(mut attempts: Attempts, key: IdempotencyKey, attempt: Attempt) -> Result<StoredAnswer, Refused> {
    let shared = attempts.shared.clone();
    let held = match claim::claim(&shared, &attempts.call, &key, attempt).await {
        Claimed::Won(held) => held,
        Claimed::Answer(kept) => {
            attempts.life.on(RequestEvent::GiveUp);
            return replay(kept, key);
        }
        Claimed::Refused(refused) => {
            attempts.life.on(RequestEvent::GiveUp);
            return Err(refused);
        }
    };
    attempts.life.on(RequestEvent::ClaimHeld);
    let workspace = attempts.call.caller.workspace.clone();
    let held = Arc::new(Mutex::new(held));
    let asked = held.clone();
    let clock = shared.clock;
    let may_send = move || lock(&asked).may_send(clock.now()) == MaySend::Now;
    let sent = held.clone();
    let refused = move || lock(&sent).endpoint_refused();
    let (result, state) = send_once(attempts, may_send, refused).await;
    let outcome = match &result {
        Ok(kept) => Outcome::Done(kept.clone()),
        Err(_) if state == RequestState::Refused => Outcome::NotSent,
        Err(_) => Outcome::Unknown,
    };
    let held = lock(&held).clone();
    claim::settle(&shared, &workspace, &key, held, outcome).await;
    result
}

/// The kept answer of an earlier attempt.
fn replay(kept: StoredAnswer, key: IdempotencyKey) -> Result<StoredAnswer, Refused> {
    match kept.body {
        lifecycle::claims::Body::TooLarge(size) => Err(Refused::with(Cause::NotKept(key, size), Ran::Unknown)),
        _ => Ok(kept),
    }
}

/// Sends at most once, and tells in which state the request ended.
async fn send_once(
    mut attempts: Attempts,
    may_send: impl Fn() -> bool + Clone + Send + Sync + 'static,
    refused: impl Fn() + Clone + Send + Sync + 'static,
) -> (Result<StoredAnswer, Refused>, RequestState) {
    let opened = attempts
        .open(|shared, request, body, to, within| {
            let (may_send, refused) = (may_send.clone(), refused.clone());
            async move {
                let reply = once(&shared, request, &body, to, within, may_send).await?;
                if declined(&reply) {
                    // Over a connection of its own, so that the refusal is of this very send.
                    refused();
                }
                Ok(reply)
            }
        })
        .await;
    let opened = match opened {
        Ok(opened) => opened,
        Err(refused) => return (Err(refused), attempts.life.state()),
    };
    let Some(kept) = read(&attempts, opened.reply).await else {
        attempts.life.on(RequestEvent::AnswerFailed);
        let refused = Refused::with(Cause::Endpoint, attempts.life.ran());
        return (Err(refused), attempts.life.state());
    };
    attempts.life.on(RequestEvent::AnswerComplete);
    let after = opened.flight.first_token(0);
    attempts.permit.served(after, Tokens::default());
    (Ok(kept), RequestState::Answered)
}

async fn once(
    shared: &Shared,
    request: http::Request,
    body: &[u8],
    to: std::net::SocketAddr,
    within: Duration,
    may_send: impl FnOnce() -> bool,
) -> Result<Reply, SendError> {
    shared.client.send_once(to, request, body, within, may_send).await
}

/// The whole answer, none if it is not whole.
async fn read(attempts: &Attempts, reply: Reply) -> Option<StoredAnswer> {
    let status = u16::from(reply.status());
    let content = reply.header("content-type").map(str::to_owned);
    let left = attempts.call.left(&attempts.shared)?;
    let limit = attempts.shared.settings.limits.answer_bytes;
    let body = http::timeout(left, reply.whole(limit)).await.ok()?.ok()?;
    Some(StoredAnswer {
        status,
        content,
        body: whole_body(body),
    })
}

fn whole_body(body: Vec<u8>) -> lifecycle::claims::Body {
    match String::from_utf8(body) {
        Ok(text) => lifecycle::claims::Body::Text(text),
        Err(err) => lifecycle::claims::Body::Bytes(err.into_bytes()),
    }
}

fn lock(held: &Mutex<HeldClaim>) -> std::sync::MutexGuard<'_, HeldClaim> {
    held.lock().unwrap_or_else(PoisonError::into_inner)
}
