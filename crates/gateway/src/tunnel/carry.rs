//! Carries tunnels for other routers.

use super::{INCARNATION, MAX_HEAD_BYTES, OPENED, REFUSED, ROUTER, UNREACHABLE};
use crate::serve::rests;
use crate::shared::Shared;
use async_std::future::timeout;
use async_std::io::WriteExt;
use async_std::net::TcpStream;
use async_std::task::sleep;
use dispatch::site::EndpointEntry;
use futures::FutureExt;
use futures::future::{Either, select};
use http::Conn;
use http::raw::{RequestHead, Source, connect};
use ids::{EndpointId, Incarnation, VmId};
use std::net::IpAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for the request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for a connection to the endpoint. It is shorter than for this router's own requests, so that the
/// requesting router can still ask another one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);
/// Longest life of a tunnel.
const MAX_LIFETIME: Duration = Duration::from_secs(600);
/// How long a tunnel is drained after the endpoint has closed it. Closing it with unread bytes would reset it, and the
/// other router could lose the response.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// How one direction of a tunnel ended.
enum End {
    /// The sender closed regularly.
    Closed,
    /// The sender's connection was reset, or the receiver's failed.
    Broken,
}

/// Serves a connection on which another router requests a tunnel.
pub async fn serve(shared: Arc<Shared>, stream: TcpStream) {
    let Ok(peer) = stream.peer_addr() else { return };
    let conn = Conn::watched(stream);
    let mut source = Source::new(conn.clone());
    let Ok(Ok(head)) = timeout(REQUEST_TIMEOUT, source.request_head(MAX_HEAD_BYTES)).await else {
        return;
    };
    let Some(endpoint) = requested_endpoint(&shared, &head, peer.ip()) else {
        return respond(&shared, conn, REFUSED, "rejected").await;
    };
    // The endpoint takes this router for the sender.
    let is_resting = shared.fleet().is_resting(&endpoint, shared.clock.now());
    if is_resting || shared.stop.has_begun() || !shared.paths().carry(&endpoint.id) {
        return respond(&shared, conn, REFUSED, "refused").await;
    }
    let _carried = Carried::new(&shared);
    let Ok(far) = connect(endpoint.address, CONNECT_TIMEOUT).await else {
        return respond(&shared, conn, UNREACHABLE, "unreachable").await;
    };
    respond(&shared, conn, OPENED, "opened").await;
    let began = shared.clock.now();
    let on_answer = |bytes: &[u8]| {
        let asked = rests::asked_in(bytes, shared.dialect.parse_response);
        rests::record(&mut shared.fleet(), &endpoint, asked, began, shared.clock.now());
    };
    // A tunnel that lives longer belongs to a router that has disappeared.
    let _ = timeout(MAX_LIFETIME, splice(source, far, on_answer)).await;
}

/// Counts a carried tunnel until dropped.
struct Carried<'a>(&'a Shared);

impl<'a> Carried<'a> {
    fn new(shared: &'a Shared) -> Self {
        shared.metrics.tunnels_carried.inc();
        Self(shared)
    }
}

impl Drop for Carried<'_> {
    fn drop(&mut self) {
        self.0.paths().carried_ended();
        self.0.metrics.tunnels_carried.dec();
    }
}

/// The endpoint that a request names. None unless the request comes from a registered router and names an endpoint in
/// service: nobody else may reach endpoints, and endpoints only, through this router.
fn requested_endpoint(shared: &Shared, head: &RequestHead, from: IpAddr) -> Option<Arc<EndpointEntry>> {
    if head.method != "CONNECT" {
        return None;
    }
    let router = VmId::from(head.headers.one(ROUTER)?);
    let incarnation = Incarnation(head.headers.one(INCARNATION)?.parse().ok()?);
    if shared.peers.address(shared, &router)?.ip() != from {
        log::warn!(router = router.as_str(), from:% = from; "tunnel: rejected, the address is not that of the router");
        return None;
    }
    let endpoint = shared.fleet().endpoint(&EndpointId::from(head.target.as_str()))?;
    (endpoint.incarnation == incarnation && !endpoint.draining).then_some(endpoint)
}

async fn respond(shared: &Shared, mut conn: Conn, status: u16, outcome: &str) {
    shared.metrics.tunnels.with_label_values(&["carried", outcome]).inc();
    let text = format!("HTTP/1.1 {status} {outcome}\r\n\r\n");
    // If the router has left, the next read shows it.
    let _ = conn.write_all(text.as_bytes()).await;
}

/// Carries bytes in both directions until either end closes. `on_answer` gets the first bytes of the endpoint.
async fn splice(near: Source, far: Source, on_answer: impl FnOnce(&[u8])) {
    let (near_conn, far_conn) = (near.conn().clone(), far.conn().clone());
    // Only a regular end is carried over as one. A response without a length would look complete if this process or the
    // other end of the tunnel failed and the connection was closed.
    near_conn.reset_on_drop(true);
    far_conn.reset_on_drop(true);
    let begin = near_conn.received() - near.buffered().len() as u64;
    let up = pin!(copy(near, far_conn.clone(), |_| ()));
    let down = pin!(copy(far, near_conn.clone(), on_answer));
    match select(up, down).await {
        Either::Left((End::Closed, _)) => far_conn.reset_on_drop(false),
        Either::Right((End::Closed, _)) if !is_delivered(&near_conn, &far_conn, begin) => {
            // A response that tells its length can still be read before the reset.
            sleep(LINGER_TIME).await;
        }
        Either::Right((End::Closed, up)) => {
            near_conn.reset_on_drop(false);
            near_conn.shutdown_write();
            // The router closes its end once it has read the response.
            let _ = timeout(LINGER_TIME, up).await;
        }
        Either::Left((End::Broken, _)) | Either::Right((End::Broken, _)) => {}
    }
}

/// Whether the endpoint has received everything that the other router has sent after the first `begin` bytes.
fn is_delivered(near: &Conn, far: &Conn, begin: u64) -> bool {
    let is_forwarded = near.received() - begin == far.written();
    let is_read = near.readable().now_or_never().is_none();
    is_forwarded && is_read && far.is_delivered()
}

async fn copy(mut from: Source, mut to: Conn, on_first: impl FnOnce(&[u8])) -> End {
    let mut on_first = Some(on_first);
    loop {
        if !from.buffered().is_empty() {
            if let Some(on_first) = on_first.take() {
                on_first(from.buffered());
            }
            if to.write_all(from.buffered()).await.is_err() {
                return End::Broken;
            }
            from.discard();
        }
        match from.fill().await {
            Ok(0) => return End::Closed,
            Ok(_) => {}
            Err(_) => return End::Broken,
        }
    }
}
