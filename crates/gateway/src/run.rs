//! Life cycle of a router process: start, serve, announce the shutdown, drain, exit.

use crate::control::{Control, EVENT_QUEUE, Event, TICK_INTERVAL, send};
use crate::dialect::Dialect;
use crate::follow::members::{Member, Members};
use crate::follow::relay::handlers;
use crate::follow::{follow, follow_prefixes, learn_weight_ages, query_uptime, register};
use crate::front::{serve_clients, serve_page};
use crate::news::exchange_news;
use crate::origins::{archive_origins, send_origins};
use crate::part_holds::{Neighbor, Neighbors};
use crate::settings::Settings;
use crate::shared::Shared;
use async_channel::Receiver;
use async_std::net::TcpListener;
use async_std::task;
use dispatch::shutdown::Shutdown;
use ids::VmId;
use peers::serve_followers;
use quick_error::quick_error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// How often a stopping router checks for requests in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

quick_error! {
    /// Why a router did not shut down cleanly.
    #[derive(Debug)]
    pub enum RunError {
        /// Listening on an address failed.
        Listen(address: SocketAddr, err: std::io::Error) {
            display("cannot listen on {address}: {err}")
        }
        /// Starting the control thread failed.
        Thread(err: std::io::Error) {
            display("cannot start the control thread: {err}")
        }
        /// Requests were cut off at the end of the grace period.
        Cut(requests: usize) {
            display("{requests} requests in flight were cut")
        }
    }
}

/// A signal to the process: stop, or reload the settings.
#[derive(Debug, Clone)]
pub enum Signal {
    /// Shut down gracefully. Further signals change nothing: a supervisor may repeat it, and a restart may overlap it.
    Stop,
    /// Use new settings.
    Reload(Box<Settings>),
}

/// Addresses that a router listens on.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// For clients.
    pub callers: SocketAddr,
    /// For the load balancer's readiness checks.
    pub readiness: SocketAddr,
    /// For other routers.
    pub peers: SocketAddr,
    /// For metrics.
    pub metrics: Option<SocketAddr>,
}

/// Runs a router until it receives a stop signal. Calls `started` with the listening addresses once all of them are
/// open.
///
/// # Errors
/// The router could not start, or requests were cut off when it stopped.
pub async fn run(
    settings: Settings,
    dialect: Dialect,
    started: impl FnOnce(Addresses),
    signals: Receiver<Signal>,
) -> Result<(), RunError> {
    let clients = listen(settings.callers).await?;
    let readiness = listen(settings.readiness).await?;
    let peers = listen(settings.peers).await?;
    let metrics = match settings.metrics {
        Some(address) => Some(listen(address).await?),
        None => None,
    };
    let addresses = Addresses {
        callers: bound_address(&clients, settings.callers),
        readiness: bound_address(&readiness, settings.readiness),
        peers: bound_address(&peers, settings.peers),
        metrics: metrics
            .as_ref()
            .zip(settings.metrics)
            .map(|(listener, configured)| bound_address(listener, configured)),
    };
    log::info!(vm = settings.vm.as_str(), domain = settings.domain.as_str(), store:% = settings.store; "start");
    let (sender, events) = async_channel::bounded(EVENT_QUEUE);
    let shared = Arc::new(Shared::new(settings, dialect, sender));
    start_control(&shared, events)?;
    task::spawn(serve_followers(peers, handlers(&shared)));
    task::spawn(register(shared.clone(), addresses.peers));
    task::spawn(serve_clients(shared.clone(), clients));
    let state = shared.clone();
    task::spawn(serve_page(readiness, move || readiness_page(&state)));
    if let Some(listener) = metrics {
        let state = shared.clone();
        task::spawn(serve_page(listener, move || (200, state.metrics.text())));
    }
    started(addresses);
    wait_for_stop(&shared, &signals).await;
    shut_down(&shared, &signals).await
}

async fn listen(address: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(address)
        .await
        .map_err(|err| RunError::Listen(address, err))
}

fn bound_address(listener: &TcpListener, configured: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(configured)
}

fn readiness_page(shared: &Shared) -> (u16, Vec<u8>) {
    if shared.is_ready() {
        return (200, b"ready\n".to_vec());
    }
    (503, b"not ready\n".to_vec())
}

/// Starts the only thread that changes the control state; it handles one event at a time.
fn start_control(shared: &Arc<Shared>, events: Receiver<Event>) -> Result<(), RunError> {
    let control = Control::new(shared.clone());
    let run = move || task::block_on(control.run(events));
    let builder = thread::Builder::new().name("control".to_owned());
    builder.spawn(run).map_err(RunError::Thread)?;
    task::spawn(follow(shared.clone()));
    task::spawn(follow_prefixes(shared.clone()));
    task::spawn(learn_weight_ages(shared.clone()));
    task::spawn(query_uptime(shared.clone()));
    task::spawn(exchange_news(shared.clone()));
    task::spawn(send_origins(shared.clone()));
    task::spawn(archive_origins(shared.clone()));
    let intake = shared.intake.clone();
    let clock = shared.clock;
    task::spawn(async move { intake.measure(clock).await });
    let holds = shared.part_holds.clone();
    let state = shared.clone();
    task::spawn(holds.send_reports(clock, move || neighbors(&state)));
    let ticking = shared.clone();
    task::spawn(async move {
        loop {
            task::sleep(TICK_INTERVAL).await;
            send(&ticking, Event::Tick).await;
        }
    });
    Ok(())
}

fn neighbors(shared: &Shared) -> Neighbors {
    let settings = shared.settings.load();
    let others = Members::read(shared).others(&settings.vm).into_iter();
    let neighbor = |(vm, member): (VmId, Member)| Neighbor {
        vm,
        domain: member.domain,
        address: member.address,
    };
    Neighbors {
        vm: settings.vm.clone(),
        domain: settings.domain.clone(),
        others: others.map(neighbor).collect(),
    }
}

async fn wait_for_stop(shared: &Shared, signals: &Receiver<Signal>) {
    while let Ok(Signal::Reload(settings)) = signals.recv().await {
        log::info!(store:% = settings.store; "settings reloaded");
        shared.reload(*settings);
    }
}

/// Logs a step of the shutdown with what is still in flight.
fn log_requests(shared: &Shared, level: log::Level, step: &str) {
    let counts = &shared.in_flight;
    log::log!(
        level,
        begun = counts.begun.get(),
        whole = counts.whole.get(),
        sent = counts.sent.get(),
        carried = shared.paths().carried();
        "{step}"
    );
}

/// Takes the signals that arrive during the shutdown.
fn ignore_signals(signals: &Receiver<Signal>) {
    while let Ok(signal) = signals.try_recv() {
        match signal {
            Signal::Stop => log::info!("stopping: the stop signal was repeated"),
            Signal::Reload(_) => log::info!("stopping: changed settings are not used"),
        }
    }
}

/// Shuts down in four steps. First the router reports itself as not ready, so that the load balancer stops sending, and closes
/// each connection with its response. After the notice it accepts no requests. Then it waits for those in flight. At the end
/// of its time it answers them.
async fn shut_down(shared: &Arc<Shared>, signals: &Receiver<Signal>) -> Result<(), RunError> {
    let grace = shared.settings.load().bounds.grace();
    let times = Shutdown::new(shared.clock.now(), grace);
    shared.stop.begin(times);
    log_requests(shared, log::Level::Info, "stopping: not ready, still serving");
    let state = shared.clone();
    // The shutdown must not wait for the control thread, which may have many events before this one.
    task::spawn(async move { send(&state, Event::Stop).await });
    let mut cut = 0;
    loop {
        task::sleep(DRAIN_POLL_INTERVAL).await;
        ignore_signals(signals);
        let now = shared.clock.now();
        // A connection is open until its client has the response or stops reading it. A carried tunnel holds a request of
        // another router.
        let left = shared.callers.load(Ordering::Relaxed) + shared.paths().carried();
        if now >= times.notice_end && shared.stop.close_intake() {
            log_requests(shared, log::Level::Info, "stopping: no new requests");
        }
        let in_flight = shared.in_flight.begun.get() + shared.paths().carried();
        if now >= times.answer_at && in_flight > 0 && shared.stop.end_service() {
            log_requests(shared, log::Level::Error, "stopping: requests in flight are ended");
            cut = in_flight;
        }
        if (left == 0 && times.may_exit(now)) || now >= times.exit_at {
            log_requests(shared, log::Level::Info, "stopped");
            return if cut == 0 { Ok(()) } else { Err(RunError::Cut(cut)) };
        }
    }
}
