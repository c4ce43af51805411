//! Calls of plain services: retried only where that is safe, claimed if an idempotency key requires it.

use super::attempt::Attempts;
use super::call::{self, Call};
use super::claim::{self, ClaimResult};
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

/// Handles one call of a plain service.
pub async fn service(shared: &Arc<Shared>, mut call: Call) -> Result<Response, Refused> {
    let (service, path) = split(&call.path).ok_or(Refused::not_run(Cause::NoPath))?;
    if !call.auth.spec.services.contains(&service) {
        return Err(Refused::not_run(Cause::Service(service)));
    }
    let view = call.auth.view.clone();
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
    let limit = shared.limits.try_acquire(&call.auth, 0, shared.clock.now())?;
    let entered = pool.enter(job(&call, Tokens::default())).await;
    let permit = entered.map_err(|refusal| before_claim(refusal.into(), guard, attempt))?;
    let attempts = Attempts::new(shared, call, permit, guard.retry_policy());
    let answer = match (guard, key) {
        (Protection::Idempotent | Protection::Endpoint, _) => call_with_retries(attempts).await,
        (Protection::Claim, Some(key)) => call_claimed(attempts, key, attempt).await,
        (Protection::SingleSend | Protection::Claim, _) => call_once(attempts).await,
    }?;
    limit.settle(0);
    let body = answer.body.as_bytes().map(<[u8]>::to_vec).unwrap_or_default();
    let status = http::StatusCode::try_from(answer.status).unwrap_or(http::StatusCode::BadGateway);
    Ok(respond(status, answer.content.as_deref(), body))
}

/// Splits `/services/NAME/PATH` into the name and `/PATH`.
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

/// A refusal before the claim was read: an earlier attempt with this key may have run through another router.
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

async fn call_with_retries(mut attempts: Attempts) -> Result<StoredAnswer, Refused> {
    loop {
        let opened = attempts.open(send_pooled).await?;
        let stored = read(&attempts, opened.reply).await;
        if let Some(stored) = stored {
            attempts.lifecycle.on(RequestEvent::AnswerComplete);
            let after = opened.attempt.first_token(0);
            attempts.permit.served(after, Tokens::default());
            return Ok(stored);
        }
        attempts.lifecycle.on(RequestEvent::AnswerFailed);
        attempts.retry(opened.attempt).await?;
    }
}

/// Sends once without a claim: the client sent no key, so its own retry is a new request.
async fn call_once(attempts: Attempts) -> Result<StoredAnswer, Refused> {
    let (result, _) = send_once(attempts, || true, || ()).await;
    result
}

async fn call_claimed(mut attempts: Attempts, key: IdempotencyKey, attempt: Attempt) -> Result<StoredAnswer, Refused> {
    let shared = attempts.shared.clone();
    let held = match claim::claim(&shared, &attempts.call, &key, attempt).await {
        ClaimResult::Won(held) => held,
        ClaimResult::Answer(stored) => {
            attempts.lifecycle.on(RequestEvent::GiveUp);
            return replay(stored, key);
        }
        ClaimResult::Refused(refused) => {
            attempts.lifecycle.on(RequestEvent::GiveUp);
            return Err(refused);
        }
    };
    attempts.lifecycle.on(RequestEvent::ClaimHeld);
    let workspace = attempts.call.auth.workspace.clone();
    let held = Arc::new(Mutex::new(held));
    let checked = held.clone();
    let clock = shared.clock;
    let may_send = move || lock(&checked).may_send(clock.now()) == MaySend::Now;
    let sent = held.clone();
    let on_refused = move || lock(&sent).endpoint_refused();
    let (result, state) = send_once(attempts, may_send, on_refused).await;
    let outcome = match &result {
        Ok(stored) => Outcome::Done(stored.clone()),
        Err(_) if state == RequestState::Refused => Outcome::NotSent,
        Err(_) => Outcome::Unknown,
    };
    let held = lock(&held).clone();
    claim::settle(&shared, &workspace, &key, held, outcome).await;
    result
}

/// Returns the stored response of an earlier attempt.
fn replay(stored: StoredAnswer, key: IdempotencyKey) -> Result<StoredAnswer, Refused> {
    match stored.body {
        lifecycle::claims::Body::TooLarge(size) => Err(Refused::new(Cause::AnswerNotStored(key, size), Ran::Unknown)),
        _ => Ok(stored),
    }
}

/// Sends at most once, and returns the final state of the request.
async fn send_once(
    mut attempts: Attempts,
    may_send: impl Fn() -> bool + Clone + Send + Sync + 'static,
    on_refused: impl Fn() + Clone + Send + Sync + 'static,
) -> (Result<StoredAnswer, Refused>, RequestState) {
    let opened = attempts
        .open(|shared, request, body, to, timeout| {
            let (may_send, on_refused) = (may_send.clone(), on_refused.clone());
            async move {
                let reply = send_unpooled(&shared, request, &body, to, timeout, may_send).await?;
                if declined(&reply) {
                    // The connection is not shared, so the refusal belongs to this send.
                    on_refused();
                }
                Ok(reply)
            }
        })
        .await;
    let opened = match opened {
        Ok(opened) => opened,
        Err(refused) => return (Err(refused), attempts.lifecycle.state()),
    };
    let Some(stored) = read(&attempts, opened.reply).await else {
        attempts.lifecycle.on(RequestEvent::AnswerFailed);
        let refused = Refused::new(Cause::EndpointFailed, attempts.lifecycle.ran());
        return (Err(refused), attempts.lifecycle.state());
    };
    attempts.lifecycle.on(RequestEvent::AnswerComplete);
    let after = opened.attempt.first_token(0);
    attempts.permit.served(after, Tokens::default());
    (Ok(stored), RequestState::Answered)
}

async fn send_unpooled(
    shared: &Shared,
    request: http::Request,
    body: &[u8],
    to: std::net::SocketAddr,
    timeout: Duration,
    may_send: impl FnOnce() -> bool,
) -> Result<Reply, SendError> {
    shared.client.send_once(to, request, body, timeout, may_send).await
}

/// Reads the complete response; `None` if it is cut off or the deadline passes.
async fn read(attempts: &Attempts, reply: Reply) -> Option<StoredAnswer> {
    let status = u16::from(reply.status());
    let content = reply.header("content-type").map(str::to_owned);
    let remaining = attempts.call.remaining(&attempts.shared)?;
    let limit = attempts.shared.settings.limits.answer_bytes;
    let body = reply.read_body(limit, remaining).await.ok()?;
    Some(StoredAnswer {
        status,
        content,
        body: stored_body(body),
    })
}

fn stored_body(body: Vec<u8>) -> lifecycle::claims::Body {
    match String::from_utf8(body) {
        Ok(text) => lifecycle::claims::Body::Text(text),
        Err(err) => lifecycle::claims::Body::Bytes(err.into_bytes()),
    }
}

fn lock(held: &Mutex<HeldClaim>) -> std::sync::MutexGuard<'_, HeldClaim> {
    held.lock().unwrap_or_else(PoisonError::into_inner)
}
