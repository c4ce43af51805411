//! Requests tunnels from other routers.

use super::{INCARNATION, MAX_HEAD_BYTES, OPENED, ROUTER, UNREACHABLE};
use crate::follow::Members;
use crate::shared::Shared;
use async_std::future::timeout;
use async_std::io::WriteExt;
use dispatch::paths::{Helper, HelperReply};
use dispatch::site::EndpointEntry;
use http::raw::{ExchangeError, Source, connect};
use ids::VmId;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Longest wait for one router's response: what it waits for the endpoint, and the way there and back.
const REPLY_TIMEOUT: Duration = Duration::from_millis(200);
/// How long the list of other routers is used. Parsing it for each tunnel would cost more than the tunnel.
const MAX_LIST_AGE: Duration = Duration::from_millis(500);
/// Routers that may fail to reach the endpoint before it is taken for unreachable.
const MAX_UNREACHABLE: usize = 2;

/// The other routers.
#[derive(Debug, Default)]
struct Peers {
    helpers: Vec<Helper>,
    addresses: HashMap<VmId, SocketAddr>,
}

/// The other routers as last read, and when.
#[derive(Debug, Default)]
pub struct PeerCache(Mutex<Option<(Duration, Arc<Peers>)>>);

impl PeerCache {
    /// Address of another router for followers.
    pub fn address(&self, shared: &Shared, vm: &VmId) -> Option<SocketAddr> {
        self.peers(shared).addresses.get(vm).copied()
    }

    fn peers(&self, shared: &Shared) -> Arc<Peers> {
        let now = shared.clock.now();
        let mut cached = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((read, peers)) = cached.as_ref()
            && now < *read + MAX_LIST_AGE
        {
            return peers.clone();
        }
        let peers = Arc::new(read_peers(shared));
        *cached = Some((now, peers.clone()));
        peers
    }
}

fn read_peers(shared: &Shared) -> Peers {
    let mut peers = Peers::default();
    for (vm, member) in Members::read(shared).others(&shared.settings.load().vm) {
        peers.addresses.insert(vm.clone(), member.address);
        let domain = member.domain;
        peers.helpers.push(Helper { vm, domain });
    }
    peers
}

/// Opens a tunnel to an endpoint.
///
/// # Errors
/// No router opened one. Nothing was sent to the endpoint.
pub async fn open(shared: &Shared, endpoint: &EndpointEntry) -> Result<Source, ExchangeError> {
    let peers = shared.peers.peers(shared);
    let own = shared.settings.load().domain.clone();
    let ends = [&own, &endpoint.domain];
    let now = shared.clock.now();
    let helpers = shared.paths().helpers(&peers.helpers, ends, rand::random(), now);
    let mut unreachable = 0;
    for vm in helpers {
        let Some(address) = peers.addresses.get(&vm) else {
            continue;
        };
        let (reply, source) = ask(shared, endpoint, *address).await;
        let now = shared.clock.now();
        shared.paths().helper_replied(&vm, reply, now);
        let tunnels = &shared.metrics.tunnels;
        tunnels.with_label_values(&["requested", reply_label(reply)]).inc();
        if let Some(source) = source {
            return Ok(source);
        }
        unreachable += usize::from(reply == HelperReply::Unreachable);
        if unreachable >= MAX_UNREACHABLE {
            shared.paths().unreachable_from_others(&endpoint.id, now);
            break;
        }
    }
    Err(ExchangeError::NotSent)
}

async fn ask(shared: &Shared, endpoint: &EndpointEntry, helper: SocketAddr) -> (HelperReply, Option<Source>) {
    match timeout(REPLY_TIMEOUT, request(shared, endpoint, helper)).await {
        Ok(Ok((OPENED, source))) => (HelperReply::Opened, Some(source)),
        Ok(Ok((UNREACHABLE, _))) => (HelperReply::Unreachable, None),
        _ => (HelperReply::Refused, None),
    }
}

/// Status of a router's response, and the connection to it.
async fn request(
    shared: &Shared,
    endpoint: &EndpointEntry,
    helper: SocketAddr,
) -> Result<(u16, Source), ExchangeError> {
    let mut source = connect(helper, REPLY_TIMEOUT).await?;
    let (vm, id) = (shared.settings.load().vm.clone(), &endpoint.id);
    let incarnation = endpoint.incarnation.0;
    let text = format!("CONNECT {id} HTTP/1.1\r\n{ROUTER}: {vm}\r\n{INCARNATION}: {incarnation}\r\n\r\n");
    let mut conn = source.conn().clone();
    conn.write_all(text.as_bytes())
        .await
        .map_err(|_| ExchangeError::NotSent)?;
    let head = source.response_head(MAX_HEAD_BYTES).await?;
    Ok((head.status, source))
}

fn reply_label(reply: HelperReply) -> &'static str {
    match reply {
        HelperReply::Opened => "opened",
        HelperReply::Unreachable => "unreachable",
        HelperReply::Refused => "refused",
    }
}
