//! Connections to endpoints.
//!
//! Opening a connection costs an endpoint time and counts against its limit for all routers, so connections are reused.
//! A request that must not run twice gets a connection of its own: the endpoint may close a reused connection at any
//! moment, and then it is unknown whether the endpoint has read the request.

mod call;
mod open;

pub use call::{CallConnection, call_once, call_over};
pub use open::open;

use dispatch::site::EndpointEntry;
use futures::FutureExt;
use http::raw::Source;
use ids::{EndpointId, Incarnation};
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Idle connections kept per endpoint: the number of requests that one router has in flight at an endpoint, plus room
/// for a burst.
const MAX_IDLE: usize = 8;
/// Idle time after which a connection is not used again if the endpoint announced no keep-alive time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Used part of the announced keep-alive time. The endpoint's timer starts earlier than this router's.
const IDLE_TIMEOUT_SHARE: f64 = 0.5;

type PoolKey = (EndpointId, Incarnation);

#[derive(Debug)]
struct IdleConnection {
    source: Source,
    until: Instant,
}

/// Idle connections to endpoints, by endpoint and incarnation.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<PoolKey, Vec<IdleConnection>>>,
}

/// A connection for one request.
#[derive(Debug)]
pub struct PooledConnection {
    /// The connection.
    pub source: Source,
    /// Whether it has carried an earlier request.
    pub used: bool,
    /// Whether it is a tunnel through another router. Tunnels are not reused, so that they end with the cut.
    pub tunnel: bool,
}

impl ConnectionPool {
    /// Takes an idle connection that is still usable.
    pub fn take_idle(&self, endpoint: &EndpointEntry) -> Option<PooledConnection> {
        let key = (endpoint.id.clone(), endpoint.incarnation);
        loop {
            let idle = self.lock().get_mut(&key)?.pop()?;
            // A readable idle connection was closed, or received bytes that belong to no request.
            let is_silent = idle.source.conn().readable().now_or_never().is_none();
            if is_silent && Instant::now() < idle.until {
                return Some(PooledConnection {
                    source: idle.source,
                    used: true,
                    tunnel: false,
                });
            }
        }
    }

    /// Returns a connection to the pool. Its last response must have been read completely.
    pub fn put_back(&self, endpoint: &EndpointEntry, mut source: Source, keep_alive: Option<Duration>) {
        if !source.buffered().is_empty() {
            return;
        }
        source.shrink();
        let keep = keep_alive
            .map_or(IDLE_TIMEOUT, |keep| keep.mul_f64(IDLE_TIMEOUT_SHARE))
            .min(IDLE_TIMEOUT);
        let mut idle = self.lock();
        let list = idle.entry((endpoint.id.clone(), endpoint.incarnation)).or_default();
        if list.len() < MAX_IDLE {
            list.push(IdleConnection {
                source,
                until: Instant::now() + keep,
            });
        }
    }

    /// Closes the idle connections to an endpoint, except those to one incarnation.
    pub fn remove(&self, id: &EndpointId, except: Option<Incarnation>) {
        self.lock().retain(|key, _| key.0 != *id || Some(key.1) == except);
    }

    /// Closes idle connections that are past their idle timeout.
    pub fn remove_expired(&self) {
        let now = Instant::now();
        let mut idle = self.lock();
        for list in idle.values_mut() {
            list.retain(|kept| now < kept.until);
        }
        idle.retain(|_, list| !list.is_empty());
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<PoolKey, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
