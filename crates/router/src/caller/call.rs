//! What every call has: who, until when, how urgent, and its whole body.

use super::auth::Caller;
use super::held::Held;
use super::refusal::{Cause, Refused};
use crate::shared::Shared;
use http::timeout;
use http::{Conn, Method, ReadError, Request, read_body};
use ids::{Priority, RequestId};
use std::sync::Arc;
use std::time::Duration;
use wire::headers;

/// When to come back if the bodies in flight take all memory that they may.
const MEMORY_MS: u64 = 1_000;
/// Rank of a request that states no priority.
const ORDINARY: Priority = Priority(5);

/// One call, read whole.
#[derive(Debug)]
pub struct Call {
    /// Its id.
    pub id: RequestId,
    /// Who calls.
    pub caller: Caller,
    /// The connection, to notice that the caller has gone.
    pub conn: Conn,
    /// Until when an answer is wanted, on the router's clock.
    pub deadline: Duration,
    /// Urgency.
    pub priority: Priority,
    /// Method.
    pub method: Method,
    /// Path, without the query.
    pub path: String,
    /// Query, if any.
    pub query: Option<String>,
    /// The head, its body taken.
    pub head: Request,
    /// The body.
    pub body: Vec<u8>,
    /// Its part of the memory for bodies.
    pub _held: Held,
}

/// Reads a call's headers and body.
pub async fn read(
    shared: &Arc<Shared>,
    caller: &Caller,
    mut request: Request,
    conn: Conn,
    id: &RequestId,
) -> Result<Call, Refused> {
    let longest = shared.settings.limits.request();
    let wanted = number(&request, headers::DEADLINE_MS)?.map_or(longest, Duration::from_millis);
    let deadline = shared.clock.now() + wanted.min(longest);
    let priority = priority(caller, &request)?;
    let held = hold(shared, &request, &conn)?;
    let body = body(shared, &mut request, &conn).await?;
    Ok(Call {
        id: id.clone(),
        caller: caller.clone(),
        conn,
        deadline,
        priority,
        method: request.method(),
        path: request.url().path().to_owned(),
        query: request.url().query().map(str::to_owned),
        head: request,
        body,
        _held: held,
    })
}

impl Call {
    /// Time left until the deadline, refused if there is none.
    pub fn left(&self, shared: &Shared) -> Option<Duration> {
        let left = self.deadline.checked_sub(shared.clock.now())?;
        (!left.is_zero()).then_some(left)
    }
}

/// A body of undeclared length counts with the most it may have.
fn hold(shared: &Shared, request: &Request, conn: &Conn) -> Result<Held, Refused> {
    let limits = &shared.settings.limits;
    let declared = request.len().map_or(limits.body_bytes, |length| length as u64);
    let held = shared.bodies.take(declared.min(limits.body_bytes), limits.held_bytes);
    held.ok_or_else(|| {
        conn.disable_reads();
        Refused::not_run(Cause::Memory).retry_after(MEMORY_MS)
    })
}

async fn body(shared: &Shared, request: &mut Request, conn: &Conn) -> Result<Vec<u8>, Refused> {
    let limits = &shared.settings.limits;
    let reading = read_body(request, conn, limits.body_bytes);
    let read = timeout(Duration::from_millis(limits.body_ms), reading).await;
    match read {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(ReadError::TooLarge(limit))) => Err(Refused::not_run(Cause::TooLarge(limit))),
        Ok(Err(ReadError::Io(_) | ReadError::Short)) | Err(_) => {
            conn.disable_reads();
            Err(Refused::not_run(Cause::BodyBroke))
        }
    }
}

fn priority(caller: &Caller, request: &Request) -> Result<Priority, Refused> {
    let Some(name) = text(request, headers::PRIORITY) else {
        return Ok(ORDINARY);
    };
    let spec = caller.view.document.priorities.get(name);
    spec.map(|spec| spec.rank)
        .ok_or_else(|| Refused::not_run(Cause::Priority(name.to_owned())))
}

/// A header's text.
pub fn text<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.header(name).map(|values| values.last().as_str())
}

/// A header's value as a whole number.
pub fn number(request: &Request, name: &'static str) -> Result<Option<u64>, Refused> {
    let Some(text) = text(request, name) else {
        return Ok(None);
    };
    text.trim()
        .parse()
        .map(Some)
        .map_err(|_| Refused::not_run(Cause::Header(name)))
}
