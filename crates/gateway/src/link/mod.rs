//! Connections to endpoints.
//!
//! Each new connection costs an endpoint time and counts against what it accepts from all routers, so connections are
//! kept. A request that may run once goes over a connection of its own: a kept one may be closed by the endpoint at any
//! moment, and whether it has read the request could not be told.

mod call;

pub use call::{Line, ask};

use crate::metrics::Metrics;
use dispatch::site::EndpointEntry;
use futures::FutureExt;
use http::raw::{ExchangeError, Source, connect};
use ids::{EndpointId, Incarnation};
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Idle connections kept for one endpoint: what one router has in flight there at a time, with room for a burst.
const KEPT: usize = 8;
/// Idle time after which a connection is not used again if the endpoint named none.
const IDLE: Duration = Duration::from_secs(4);
/// Share of the named idle time that is used: the endpoint's clock began earlier than this router's.
const IDLE_SHARE: f64 = 0.5;
/// Longest wait for a connection to an endpoint. Within a region one stands after a few milliseconds; a lost packet is
/// repeated after a second, by which time another endpoint has answered.
const CONNECT: Duration = Duration::from_millis(400);

type Life = (EndpointId, Incarnation);

#[derive(Debug)]
struct Idle {
    source: Source,
    until: Instant,
}

/// Connections to endpoints, by the life they were opened to.
#[derive(Debug, Default)]
pub struct Links {
    idle: Mutex<HashMap<Life, Vec<Idle>>>,
}

/// A connection in use.
#[derive(Debug)]
pub struct Link {
    /// The connection.
    pub source: Source,
    /// Whether it has carried a request before.
    pub used: bool,
}

impl Links {
    /// A kept connection, if there is a sound one.
    pub fn kept(&self, endpoint: &EndpointEntry) -> Option<Link> {
        let key = (endpoint.id.clone(), endpoint.incarnation);
        loop {
            let idle = self.lock().get_mut(&key)?.pop()?;
            // Anything to read on an idle connection is its end, or bytes that belong to no request.
            let quiet = idle.source.conn().readable().now_or_never().is_none();
            if quiet && Instant::now() < idle.until {
                return Some(Link {
                    source: idle.source,
                    used: true,
                });
            }
        }
    }

    /// A new connection.
    ///
    /// # Errors
    /// None stood in time; nothing was sent.
    pub async fn open(
        &self,
        endpoint: &EndpointEntry,
        within: Duration,
        metrics: &Metrics,
    ) -> Result<Link, ExchangeError> {
        let opened = connect(endpoint.address, within.min(CONNECT)).await;
        let outcome = if opened.is_ok() { "open" } else { "failed" };
        metrics.connections.with_label_values(&[outcome]).inc();
        let source = opened?;
        Ok(Link { source, used: false })
    }

    /// Gives a connection back whose last answer was read whole.
    pub fn give_back(&self, endpoint: &EndpointEntry, mut source: Source, keep_alive: Option<Duration>) {
        if !source.buffered().is_empty() {
            return;
        }
        source.shrink();
        let keep = keep_alive.map_or(IDLE, |keep| keep.mul_f64(IDLE_SHARE)).min(IDLE);
        let mut idle = self.lock();
        let list = idle.entry((endpoint.id.clone(), endpoint.incarnation)).or_default();
        if list.len() < KEPT {
            list.push(Idle {
                source,
                until: Instant::now() + keep,
            });
        }
    }

    /// Closes what is kept to an endpoint, in all its lives but `but`.
    pub fn forget(&self, id: &EndpointId, but: Option<Incarnation>) {
        self.lock().retain(|life, _| life.0 != *id || Some(life.1) == but);
    }

    /// Closes connections that are too old to be used.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut idle = self.lock();
        for list in idle.values_mut() {
            list.retain(|kept| now < kept.until);
        }
        idle.retain(|_, list| !list.is_empty());
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Life, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
