//! A router's life: start, serve, notice, drain, end.

use crate::control::{self, Event};
use crate::settings::Settings;
use crate::shared::Shared;
use crate::{caller, operator};
use async_std::future::timeout;
use async_std::net::TcpListener;
use async_std::task;
use futures::future::{Either, select};
use http::{Limits, ServerState, serve};
use quick_error::quick_error;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use store::Platform;

/// Connections of operators open at once.
const OPERATOR_CONNECTIONS: usize = 64;
/// How often the end of what is left is looked for.
const DRAIN_POLL: Duration = Duration::from_millis(10);

quick_error! {
    /// Why a router ended otherwise than by a clean shutdown.
    #[derive(Debug)]
    pub enum RunError {
        /// An address cannot be listened on.
        Listen(address: SocketAddr, err: std::io::Error) {
            display("cannot listen on {address}: {err}")
        }
        /// The control thread cannot be started.
        Thread(err: std::io::Error) {
            display("cannot start the control thread: {err}")
        }
        /// Requests were cut, by a second signal or at the end of the grace period.
        Cut(requests: usize) {
            display("{requests} requests in flight were cut")
        }
    }
}

/// Where a router listens.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other routers.
    pub peers: SocketAddr,
}

/// Runs a router. `started` is told its addresses once it listens. `signal` resolves at each signal to stop: the
/// first begins a graceful shutdown, the second ends it at once.
pub async fn run<F, Fut>(settings: Settings, started: impl FnOnce(Addresses), signal: F) -> Result<(), RunError>
where
    F: Fn() -> Fut,
    Fut: Future<Output = ()>,
{
    let callers = listen(settings.callers).await?;
    let operators = listen(settings.operators).await?;
    let peers = listen(settings.peers).await?;
    let platform = Platform::new(
        settings.platform.addresses.clone(),
        Duration::from_millis(settings.platform.timeout_ms),
    );
    let (events, received) = async_channel::bounded(control::EVENTS);
    let shared = Shared::new(settings, platform, events);
    let peers_address = local(&peers, shared.settings.peers);
    let thread = control::start(&shared, received, peers).map_err(RunError::Thread)?;
    started(Addresses {
        callers: local(&callers, shared.settings.callers),
        operators: local(&operators, shared.settings.operators),
        peers: peers_address,
    });
    serve_callers(&shared, callers);
    serve_operators(&shared, operators);
    signal().await;
    let ended = shut_down(&shared, signal()).await;
    let _ = shared.events.send(Event::Stop).await;
    // The control thread ends at the event; a panic in it was logged when it happened.
    let _ = thread.join();
    ended
}

async fn listen(address: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(address)
        .await
        .map_err(|err| RunError::Listen(address, err))
}

fn local(listener: &TcpListener, wanted: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(wanted)
}

fn serve_callers(shared: &Arc<Shared>, listener: TcpListener) {
    let settings = &shared.settings.limits;
    let limits = Limits {
        connections: settings.connections,
        head: Duration::from_millis(settings.head_ms),
        idle: Duration::from_millis(settings.idle_ms),
    };
    let state = shared.clone();
    let answer = move |request, conn| caller::answer(state.clone(), request, conn);
    task::spawn(serve(listener, limits, shared.serving.clone(), answer));
}

fn serve_operators(shared: &Arc<Shared>, listener: TcpListener) {
    let head = Duration::from_millis(shared.settings.limits.head_ms);
    let limits = Limits {
        connections: OPERATOR_CONNECTIONS,
        head,
        idle: head,
    };
    let state = shared.clone();
    let answer = move |request, conn| operator::answer(state.clone(), request, conn);
    task::spawn(serve(listener, limits, ServerState::default(), answer));
}

/// Unready first, so that the balancer sends nothing new; then no new requests; then the end of those in flight.
async fn shut_down(shared: &Arc<Shared>, second: impl Future<Output = ()>) -> Result<(), RunError> {
    let settings = &shared.settings.shutdown;
    shared.stopping.store(true, Ordering::SeqCst);
    control::send(shared, Event::Leave).await;
    log::info!(notice_ms = settings.notice_ms; "shutting down: not ready, still serving");
    let graceful = async {
        task::sleep(Duration::from_millis(settings.notice_ms)).await;
        shared.serving.drain();
        log::info!(in_flight = shared.serving.in_flight(); "draining");
        let grace = Duration::from_millis(settings.grace_ms);
        timeout(grace, finished(shared)).await.is_ok()
    };
    futures::pin_mut!(graceful, second);
    let whole = matches!(select(graceful, second).await, Either::Left((true, _)));
    let left = shared.serving.in_flight();
    if whole || left == 0 {
        log::info!("stopped");
        return Ok(());
    }
    log::error!(cut = left; "stopped with requests in flight");
    Err(RunError::Cut(left))
}

async fn finished(shared: &Shared) {
    shared.serving.idle().await;
    while shared.settling.load(Ordering::SeqCst) > 0 {
        task::sleep(DRAIN_POLL).await;
    }
}
