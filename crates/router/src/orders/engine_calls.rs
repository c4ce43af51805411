//! Sends orders to engines.

use crate::shared::Shared;
use control::orders::{Event, ORDER_CALL_TIMEOUT};
use http::{Method, Request, SendError, StatusCode, Url};
use ids::EndpointId;
use std::net::SocketAddr;
use wire::engine::Order;

/// Maximum size of an engine's response to an order, bytes.
const ANSWER_BYTES: u64 = 64 * 1024;

/// Sends an order at most once, if `may_send` is still true once the connection is established.
pub async fn send(
    shared: &Shared,
    endpoint: EndpointId,
    to: SocketAddr,
    order: &Order,
    may_send: impl FnOnce() -> bool,
) -> Event {
    let url = Url::parse(&format!("http://{to}/v1/orders")).expect("a socket address makes a URL");
    let mut request = Request::new(Method::Post, url);
    request.insert_header("content-type", "application/json");
    let body = serde_json::to_vec(order).expect("an order serializes to JSON");
    let sent = shared
        .client
        .send_once(to, request, &body, ORDER_CALL_TIMEOUT, may_send)
        .await;
    let reply = match sent {
        Ok(reply) => reply,
        Err(SendError::NotSent(_) | SendError::Cancelled) => return Event::Refused(endpoint),
        Err(_) => return Event::NoAnswer(endpoint),
    };
    let status = reply.status();
    if reply.read_body(ANSWER_BYTES, ORDER_CALL_TIMEOUT).await.is_err() {
        return Event::NoAnswer(endpoint);
    }
    match status {
        StatusCode::Ok => Event::Done(endpoint),
        StatusCode::Conflict => Event::Refused(endpoint),
        _ => Event::NoAnswer(endpoint),
    }
}
