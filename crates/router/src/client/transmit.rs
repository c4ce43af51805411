//! Sends requests to endpoints: headers, connections, cancellation.

use super::attempt::Attempts;
use crate::pool::EndpointAttempt;
use crate::shared::Shared;
use async_std::task;
use futures::future::{Either, select};
use http::{Client, Conn, Method, Reply, Request, SendError, StatusCode, Url};
use ids::Incarnation;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use wire::client::Ran;
use wire::headers;

/// Timeout of a cancel request.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of the response to a cancel request, bytes.
const CANCEL_BYTES: u64 = 1024;

impl Attempts {
    /// Cancels the request at the engine, in the background. No effect for plain services.
    pub fn cancel(&self, attempt: &EndpointAttempt) {
        if !self.is_completion() {
            return;
        }
        let client = self.shared.client.clone();
        let (to, id) = (attempt.address, self.call.id.clone());
        task::spawn(async move {
            let url = engine_url(to, "/v1/cancel", Some(&format!("request={id}")));
            // An engine that cannot be reached has nothing to cancel.
            if let Ok(reply) = client
                .send(to, Request::new(Method::Post, url), &[], CANCEL_TIMEOUT)
                .await
            {
                let _ = reply.read_body(CANCEL_BYTES, CANCEL_TIMEOUT).await;
            }
        });
    }

    pub(super) fn request(&self, attempt: &EndpointAttempt, remaining: Duration) -> Request {
        let call = &self.call;
        let url = engine_url(attempt.address, &call.path, call.query.as_deref());
        let mut request = Request::new(call.method, url);
        request.insert_header(headers::REQUEST_ID, call.id.as_str());
        request.insert_header(headers::DEADLINE_MS, remaining.as_millis().to_string());
        request.insert_header(headers::PRIORITY, call.priority.to_string());
        for name in ["content-type", headers::IDEMPOTENCY_KEY] {
            if let Some(value) = super::call::text(&call.head, name) {
                request.insert_header(name, value);
            }
        }
        if self.is_completion() {
            request.insert_header(headers::CACHE_SCOPE, call.auth.workspace.as_str());
        }
        request
    }

    /// Creates the request for the rest of a stream, from piece `from` on.
    pub fn resume_request(&self, attempt: &EndpointAttempt, from: u64, remaining: Duration) -> Request {
        let mut request = self.request(attempt, remaining);
        request.insert_header(headers::RESUME_FROM, from.to_string());
        // Other weights would continue with a different text.
        if let Some(weights) = self.weights.first() {
            request.insert_header(headers::WEIGHTS, weights.as_str());
        }
        request
    }
}

/// Whether a plain service refused the request and stated that it has not run, as a draining runner does.
pub fn declined(reply: &Reply) -> bool {
    let not_run = Ran::NotRun.to_string();
    reply.status() == StatusCode::ServiceUnavailable && reply.header(headers::RAN) == Some(not_run.as_str())
}

/// Returns the result of `work`, or `None` if the client disconnects first.
pub async fn unless_disconnected<T>(conn: &Conn, work: impl Future<Output = T>) -> Option<T> {
    let gone = conn.peer_closed();
    futures::pin_mut!(work, gone);
    match select(work, gone).await {
        Either::Left((result, _)) => Some(result),
        Either::Right(_) => None,
    }
}

/// Sends over a pooled connection.
pub async fn send_pooled(
    shared: Arc<Shared>,
    request: Request,
    body: Vec<u8>,
    to: SocketAddr,
    timeout: Duration,
) -> Result<Reply, SendError> {
    let client: &Client = &shared.client;
    client.send(to, request, &body, timeout).await
}

/// The endpoint's incarnation, if the response states it.
pub fn incarnation(reply: &Reply) -> Option<Incarnation> {
    let text = reply.header(headers::INCARNATION)?;
    text.parse().ok().map(Incarnation)
}

fn engine_url(to: SocketAddr, path: &str, query: Option<&str>) -> Url {
    let mut url = Url::parse(&format!("http://{to}")).expect("a socket address makes a URL");
    url.set_path(path);
    url.set_query(query);
    url
}
