//! Requests on their way to endpoints: headers, connections, cancelling.

use super::attempt::Attempts;
use crate::pool::Flight;
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

/// Longest wait for an engine to take notice of a cancelled request.
const CANCEL_WAIT: Duration = Duration::from_secs(2);
/// Longest answer to that, bytes.
const CANCEL_BYTES: u64 = 1024;

impl Attempts {
    /// Tells an engine that nobody waits for this request any more.
    pub fn cancel(&self, flight: &Flight) {
        if !self.is_completion() {
            return;
        }
        let client = self.shared.client.clone();
        let (to, id) = (flight.address, self.call.id.clone());
        task::spawn(async move {
            let url = engine_url(to, "/v1/cancel", Some(&format!("request={id}")));
            // An engine that cannot be reached has nothing left to cancel.
            if let Ok(reply) = client.send(to, Request::new(Method::Post, url), &[], CANCEL_WAIT).await {
                let _ = reply.whole(CANCEL_BYTES).await;
            }
        });
    }

    pub(super) fn request(&self, flight: &Flight, left: Duration) -> Request {
        let call = &self.call;
        let url = engine_url(flight.address, &call.path, call.query.as_deref());
        let mut request = Request::new(call.method, url);
        request.insert_header(headers::REQUEST_ID, call.id.as_str());
        request.insert_header(headers::DEADLINE_MS, left.as_millis().to_string());
        request.insert_header(headers::PRIORITY, call.priority.to_string());
        for name in ["content-type", headers::IDEMPOTENCY_KEY] {
            if let Some(value) = super::call::text(&call.head, name) {
                request.insert_header(name, value);
            }
        }
        if self.is_completion() {
            request.insert_header(headers::CACHE_SCOPE, call.caller.workspace.as_str());
        }
        request
    }

    /// The request that asks for the rest of a stream.
    pub fn resume_request(&self, flight: &Flight, from: u64, left: Duration) -> Request {
        let mut request = self.request(flight, left);
        request.insert_header(headers::RESUME_FROM, from.to_string());
        // Other weights would go on with another text.
        if let Some(weights) = self.weights.first() {
            request.insert_header(headers::WEIGHTS, weights.as_str());
        }
        request
    }
}

/// Whether a plain service refuses the call with its own word that it has not run, as a runner does that leaves.
pub fn declined(reply: &Reply) -> bool {
    let word = Ran::NotRun.to_string();
    reply.status() == StatusCode::ServiceUnavailable && reply.header(headers::RAN) == Some(word.as_str())
}

/// The result of `work`, none if the caller goes first.
pub async fn unless_gone<T>(conn: &Conn, work: impl Future<Output = T>) -> Option<T> {
    let gone = conn.peer_gone();
    futures::pin_mut!(work, gone);
    match select(work, gone).await {
        Either::Left((result, _)) => Some(result),
        Either::Right(_) => None,
    }
}

/// Sends over the pool of connections.
pub async fn send_pooled(
    shared: Arc<Shared>,
    request: Request,
    body: Vec<u8>,
    to: SocketAddr,
    within: Duration,
) -> Result<Reply, SendError> {
    let client: &Client = &shared.client;
    client.send(to, request, &body, within).await
}

/// The life of an endpoint, if its answer says so.
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
