//! The operator API, on its own address: metrics, health, readiness, status.

use crate::pool::PoolStatus;
use crate::shared::Shared;
use control::membership::DomainCount;
use http::{Conn, Method, Request, Response, StatusCode};
use ids::{DomainId, Revision, VmId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Status of a running router.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Its VM.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Whether clients should be sent here.
    pub ready: bool,
    /// Whether it refuses new requests.
    pub draining: bool,
    /// Configuration revision in force, absent before the first.
    pub revision: Option<Revision>,
    /// Seconds since it started.
    pub uptime: u64,
    /// Requests in flight.
    pub in_flight: usize,
    /// Pools by target.
    pub pools: Vec<NamedPool>,
    /// Other routers, as last received.
    pub peers: Vec<PeerStatus>,
    /// Other failure domains, as last received.
    pub domains: Vec<DomainCount>,
}

/// Status of another router, as last received.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Its VM.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// The revision it had in force.
    pub revision: Option<Revision>,
    /// Seconds since its last heartbeat.
    pub age: u64,
}

/// A pool with its name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NamedPool {
    /// Its target.
    pub target: String,
    /// Its state.
    pub state: PoolStatus,
}

/// Handles one request of an operator.
pub async fn handle(shared: Arc<Shared>, request: Request, _: Conn) -> Response {
    if request.method() != Method::Get {
        return Response::new(StatusCode::MethodNotAllowed);
    }
    match request.url().path() {
        "/healthz" => text(StatusCode::Ok, "text/plain", b"ok\n".to_vec()),
        "/readyz" => ready(&shared),
        "/metrics" => text(StatusCode::Ok, "text/plain; version=0.0.4", shared.metrics.render()),
        "/status" => {
            let body = serde_json::to_vec(&status(&shared)).expect("a status serializes to JSON");
            text(StatusCode::Ok, "application/json", body)
        }
        _ => Response::new(StatusCode::NotFound),
    }
}

fn ready(shared: &Shared) -> Response {
    if shared.ready() {
        return text(StatusCode::Ok, "text/plain", b"ready\n".to_vec());
    }
    let reason = match shared.view.load().is_some() {
        true => "shutting down\n".to_owned(),
        false => format!("no configuration yet: {}\n", shared.not_ready.load()),
    };
    text(StatusCode::ServiceUnavailable, "text/plain", reason.into_bytes())
}

fn status(shared: &Shared) -> Status {
    let pools = shared.pools.status().into_iter();
    let recent = shared.recent_peers.load();
    let peers = recent.iter().map(|peer| PeerStatus {
        vm: peer.member.id.clone(),
        domain: peer.member.domain.clone(),
        revision: peer.revision,
        age: peer.age.as_secs(),
    });
    Status {
        peers: peers.collect(),
        domains: shared.domains.load().to_vec(),
        vm: shared.settings.vm.clone(),
        domain: shared.settings.domain.clone(),
        ready: shared.ready(),
        draining: shared.serving.draining(),
        revision: shared.view.load().as_ref().map(|view| view.revision),
        uptime: shared.clock.now().as_secs(),
        in_flight: shared.serving.in_flight(),
        pools: pools
            .map(|(target, state)| NamedPool {
                target: target.to_string(),
                state,
            })
            .collect(),
    }
}

fn text(status: StatusCode, content: &str, body: Vec<u8>) -> Response {
    let mut response = Response::new(status);
    response.set_body(body);
    response.insert_header("content-type", content);
    response
}
