//! Runs a router from start to shutdown.

use crate::control::{self, Event};
use crate::settings::Settings;
use crate::shared::Shared;
use crate::{client, operator};
use async_std::future::timeout;
use async_std::net::TcpListener;
use async_std::task;
use http::{Limits, ServerState, serve};
use quick_error::quick_error;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use store::Platform;

/// Maximum number of open operator connections.
const OPERATOR_CONNECTIONS: usize = 64;
/// Interval at which the shutdown checks for results that are still being stored.
const DRAIN_POLL: Duration = Duration::from_millis(10);

quick_error! {
    /// Why a router did not shut down cleanly.
    #[derive(Debug)]
    pub enum RunError {
        /// Listening on an address failed.
        Listen(address: SocketAddr, err: std::io::Error) {
            display("cannot listen on {address}: {err}")
        }
        /// The control thread could not be started.
        Thread(err: std::io::Error) {
            display("cannot start the control thread: {err}")
        }
        /// Requests in flight were aborted at the end of the grace period.
        Cut(requests: usize) {
            display("{requests} requests in flight were cut")
        }
    }
}

/// Addresses on which a router listens.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// For clients.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other routers.
    pub peers: SocketAddr,
}

/// Runs a router until `signal` resolves, then shuts it down gracefully. Calls `started` with its addresses once it listens.
pub async fn run(
    settings: Settings,
    started: impl FnOnce(Addresses),
    signal: impl Future<Output = ()>,
) -> Result<(), RunError> {
    let clients = listen(settings.callers).await?;
    let operators = listen(settings.operators).await?;
    let peers = listen(settings.peers).await?;
    let platform = Platform::new(
        settings.platform.addresses.clone(),
        Duration::from_millis(settings.platform.timeout_ms),
    );
    let (events, received) = async_channel::bounded(control::EVENT_CAPACITY);
    let shared = Shared::new(settings, platform, events);
    let peers_address = local(&peers, shared.settings.peers);
    let thread = control::start(&shared, received, peers).map_err(RunError::Thread)?;
    started(Addresses {
        callers: local(&clients, shared.settings.callers),
        operators: local(&operators, shared.settings.operators),
        peers: peers_address,
    });
    serve_clients(&shared, clients);
    serve_operators(&shared, operators);
    signal.await;
    let result = shut_down(&shared).await;
    let _ = shared.events.send(Event::Stop).await;
    // The control thread ends at this event; a panic in it has been logged already.
    let _ = thread.join();
    result
}

async fn listen(address: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(address)
        .await
        .map_err(|err| RunError::Listen(address, err))
}

fn local(listener: &TcpListener, configured: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(configured)
}

fn serve_clients(shared: &Arc<Shared>, listener: TcpListener) {
    let settings = &shared.settings.limits;
    let limits = Limits {
        connections: settings.connections,
        head: Duration::from_millis(settings.head_ms),
        idle: Duration::from_millis(settings.idle_ms),
    };
    let state = shared.clone();
    let handler = move |request, conn| client::handle(state.clone(), request, conn);
    task::spawn(serve(listener, limits, shared.serving.clone(), handler));
}

fn serve_operators(shared: &Arc<Shared>, listener: TcpListener) {
    let head = Duration::from_millis(shared.settings.limits.head_ms);
    let limits = Limits {
        connections: OPERATOR_CONNECTIONS,
        head,
        idle: head,
    };
    let state = shared.clone();
    let handler = move |request, conn| operator::handle(state.clone(), request, conn);
    task::spawn(serve(listener, limits, ServerState::default(), handler));
}

/// Shuts down in three phases: reports that it is not ready, so that the balancer sends no new requests; refuses new
/// requests; waits for those in flight.
async fn shut_down(shared: &Arc<Shared>) -> Result<(), RunError> {
    let settings = &shared.settings.shutdown;
    shared.stopping.store(true, Ordering::SeqCst);
    control::send(shared, Event::Leave).await;
    log::info!(notice_ms = settings.notice_ms; "shutting down: not ready, still serving");
    task::sleep(Duration::from_millis(settings.notice_ms)).await;
    shared.serving.drain();
    log::info!(in_flight = shared.serving.in_flight(); "draining");
    let grace = Duration::from_millis(settings.grace_ms);
    let completed = timeout(grace, drained(shared)).await.is_ok();
    let remaining = shared.serving.in_flight();
    if completed || remaining == 0 {
        log::info!("stopped");
        return Ok(());
    }
    log::error!(cut = remaining; "stopped with requests in flight");
    Err(RunError::Cut(remaining))
}

async fn drained(shared: &Shared) {
    shared.serving.idle().await;
    while shared.settling.load(Ordering::SeqCst) > 0 {
        task::sleep(DRAIN_POLL).await;
    }
}
