//! One request with its body, read before it is admitted.

use super::auth::AuthContext;
use super::body_budget::BodyReservation;
use super::refusal::{Cause, Refused};
use crate::shared::Shared;
use http::timeout;
use http::{Conn, Method, ReadError, Request, read_body};
use ids::{Priority, RequestId};
use std::sync::Arc;
use std::time::Duration;
use wire::headers;

/// Retry-after time if the memory for request bodies is exhausted, milliseconds.
const MEMORY_RETRY_MS: u64 = 1_000;
/// Priority of a request that states none.
const DEFAULT_PRIORITY: Priority = Priority(5);

/// A request with its complete body.
#[derive(Debug)]
pub struct Call {
    /// The request id.
    pub id: RequestId,
    /// The client's authentication.
    pub auth: AuthContext,
    /// The connection, used to detect that the client disconnected.
    pub conn: Conn,
    /// Deadline on the router's clock.
    pub deadline: Duration,
    /// Priority.
    pub priority: Priority,
    /// Method.
    pub method: Method,
    /// Path, without the query.
    pub path: String,
    /// Query string, if any.
    pub query: Option<String>,
    /// The request head; its body has been read.
    pub head: Request,
    /// The body.
    pub body: Vec<u8>,
    /// Memory reserved for the body.
    pub _reservation: BodyReservation,
}

/// Reads the headers and body of a request.
pub async fn read(
    shared: &Arc<Shared>,
    auth: &AuthContext,
    mut request: Request,
    conn: Conn,
    id: &RequestId,
) -> Result<Call, Refused> {
    let maximum = shared.settings.limits.request();
    let requested = number(&request, headers::DEADLINE_MS)?.map_or(maximum, Duration::from_millis);
    let deadline = shared.clock.now() + requested.min(maximum);
    let priority = priority(auth, &request)?;
    let reservation = reserve(shared, &request, &conn)?;
    let body = body(shared, &mut request, &conn).await?;
    Ok(Call {
        id: id.clone(),
        auth: auth.clone(),
        conn,
        deadline,
        priority,
        method: request.method(),
        path: request.url().path().to_owned(),
        query: request.url().query().map(str::to_owned),
        head: request,
        body,
        _reservation: reservation,
    })
}

impl Call {
    /// Time until the deadline, `None` once it has passed.
    pub fn remaining(&self, shared: &Shared) -> Option<Duration> {
        let remaining = self.deadline.checked_sub(shared.clock.now())?;
        (!remaining.is_zero()).then_some(remaining)
    }
}

/// Reserves memory for the body. A body of undeclared length counts as the longest allowed.
fn reserve(shared: &Shared, request: &Request, conn: &Conn) -> Result<BodyReservation, Refused> {
    let limits = &shared.settings.limits;
    let declared = request.len().map_or(limits.body_bytes, |length| length as u64);
    let reservation = shared
        .bodies
        .try_reserve(declared.min(limits.body_bytes), limits.held_bytes);
    reservation.ok_or_else(|| {
        conn.disable_reads();
        Refused::not_run(Cause::BodyMemory).retry_after(MEMORY_RETRY_MS)
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
            Err(Refused::not_run(Cause::BodyIncomplete))
        }
    }
}

fn priority(auth: &AuthContext, request: &Request) -> Result<Priority, Refused> {
    let Some(name) = text(request, headers::PRIORITY) else {
        return Ok(DEFAULT_PRIORITY);
    };
    let spec = auth.view.document.priorities.get(name);
    spec.map(|spec| spec.rank)
        .ok_or_else(|| Refused::not_run(Cause::Priority(name.to_owned())))
}

/// The last value of a header.
pub fn text<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.header(name).map(|values| values.last().as_str())
}

/// A header's value as an integer.
pub fn number(request: &Request, name: &'static str) -> Result<Option<u64>, Refused> {
    let Some(text) = text(request, name) else {
        return Ok(None);
    };
    text.trim()
        .parse()
        .map(Some)
        .map_err(|_| Refused::not_run(Cause::Header(name)))
}
