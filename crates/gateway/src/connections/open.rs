//! Opens connections to endpoints, through another router if need be.

use super::PooledConnection;
use crate::shared::Shared;
use crate::tunnel;
use async_std::future::timeout;
use dispatch::paths::PathPlan;
use dispatch::site::EndpointEntry;
use futures::future::{Either, select};
use http::raw::{ExchangeError, Source, connect};
use std::future::Future;
use std::pin::pin;
use std::time::Duration;

/// Longest wait for a connection to an endpoint or a tunnel. Within a region, connecting takes a few milliseconds. A lost
/// packet is sent again after a second, and another endpoint responds sooner than that.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// The path on which a connection was established.
enum Opened {
    Direct(Source),
    Tunnel(Source),
}

/// Opens a new connection to an endpoint.
///
/// # Errors
/// No connection was established in time on any path. Nothing was sent.
pub async fn open(
    shared: &Shared,
    endpoint: &EndpointEntry,
    limit: Duration,
) -> Result<PooledConnection, ExchangeError> {
    let limit = limit.min(CONNECT_TIMEOUT);
    let opened = timeout(limit, open_any(shared, endpoint, limit)).await;
    let opened = opened.unwrap_or(Err(ExchangeError::NotSent));
    let outcome = match &opened {
        Ok(Opened::Direct(_)) => "open",
        Ok(Opened::Tunnel(_)) => "tunnel",
        Err(_) => "failed",
    };
    shared.metrics.connections.with_label_values(&[outcome]).inc();
    let (source, tunnel) = match opened? {
        Opened::Direct(source) => (source, false),
        Opened::Tunnel(source) => (source, true),
    };
    record_path(shared, endpoint, tunnel);
    Ok(PooledConnection {
        source,
        used: false,
        tunnel,
    })
}

async fn open_any(shared: &Shared, endpoint: &EndpointEntry, limit: Duration) -> Result<Opened, ExchangeError> {
    let plan = shared.paths().plan(&endpoint.id, shared.clock.now());
    let direct = connect(endpoint.address, limit);
    let tunnel = tunnel::open(shared, endpoint);
    match plan {
        PathPlan::Direct { tunnel_after } => race(direct, tunnel, tunnel_after).await,
        PathPlan::DirectOnly => direct.await.map(Opened::Direct),
        PathPlan::Tunnel => match tunnel.await {
            Ok(source) => Ok(Opened::Tunnel(source)),
            Err(_) => direct.await.map(Opened::Direct),
        },
    }
}

/// The first connection that is established. The tunnel begins once the direct connection has failed or has had its head
/// start.
async fn race(
    direct: impl Future<Output = Result<Source, ExchangeError>>,
    tunnel: impl Future<Output = Result<Source, ExchangeError>>,
    head_start: Duration,
) -> Result<Opened, ExchangeError> {
    let (mut direct, tunnel) = (pin!(direct), pin!(tunnel));
    match timeout(head_start, direct.as_mut()).await {
        Ok(Ok(source)) => return Ok(Opened::Direct(source)),
        Ok(Err(_)) => return tunnel.await.map(Opened::Tunnel),
        Err(_) => {}
    }
    match select(direct, tunnel).await {
        Either::Left((Ok(source), _)) => Ok(Opened::Direct(source)),
        Either::Left((Err(_), tunnel)) => tunnel.await.map(Opened::Tunnel),
        Either::Right((Ok(source), _)) => Ok(Opened::Tunnel(source)),
        Either::Right((Err(_), direct)) => direct.await.map(Opened::Direct),
    }
}

fn record_path(shared: &Shared, endpoint: &EndpointEntry, tunnel: bool) {
    let now = shared.clock.now();
    let mut paths = shared.paths();
    let changed = if tunnel {
        paths.tunnelled(endpoint, now)
    } else {
        paths.connected(endpoint, now)
    };
    let lost = paths.lost();
    drop(paths);
    if !changed {
        return;
    }
    if tunnel {
        // Idle connections on the lost path may be silent.
        shared.connections.remove(&endpoint.id, None);
        log::warn!(endpoint = endpoint.id.as_str(), lost = lost; "path: lost, using a tunnel");
    } else {
        log::info!(endpoint = endpoint.id.as_str(), lost = lost; "path: regained");
    }
}
