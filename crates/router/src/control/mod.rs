//! The control thread owns the configuration, membership and endpoint health, and handles one event at a time.

mod adopt;
mod config_feed;
mod endpoint_feed;
mod endpoints;
mod event;
mod fetching;
mod peering;
mod publishing;
mod state;
mod vm_feed;

pub use event::{Event, Observation};

use crate::shared::Shared;
use ::control::membership::Member;
use ::peers::Peers;
use async_channel::Receiver;
use async_std::net::TcpListener;
use async_std::task;
use peering::Peering;
use state::Control;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// Capacity of the event queue; request tasks drop observations if it is full.
pub const EVENT_CAPACITY: usize = 4096;
/// Tick of pools with waiting jobs: a job that can no longer meet its deadline is refused at most this late.
const POOL_TICK: Duration = Duration::from_millis(50);
/// Tick of probes, heartbeats and leases; membership needs a tick every half second.
const TICK: Duration = Duration::from_millis(200);

/// Starts the control thread and the tasks that send it events.
pub fn start(shared: &Arc<Shared>, events: Receiver<Event>, peers: TcpListener) -> std::io::Result<JoinHandle<()>> {
    let peering = join(shared, peers)?;
    task::spawn(config_feed::run(shared.clone()));
    task::spawn(vm_feed::run(shared.clone()));
    task::spawn(tick(shared.clone()));
    let shared = shared.clone();
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || task::block_on(run(shared, peering, events)))
}

/// Starts listening for peers.
fn join(shared: &Arc<Shared>, listener: TcpListener) -> std::io::Result<Peering> {
    let own = Member {
        id: shared.settings.vm.clone(),
        address: listener.local_addr()?,
        domain: shared.settings.domain.clone(),
    };
    let (sender, received) = async_channel::bounded(EVENT_CAPACITY);
    let mut peers = Peers::new(own.clone(), sender);
    peers.listen(listener);
    task::spawn(forward_peer_events(shared.clone(), received));
    Ok(Peering::new(own, peers, shared.clock.now()))
}

async fn forward_peer_events(shared: Arc<Shared>, received: Receiver<peers::Event>) {
    while let Ok(event) = received.recv().await {
        send(&shared, Event::Peer(event)).await;
    }
}

/// Sends an event to the control thread; ignored once the thread has ended.
pub async fn send(shared: &Shared, event: Event) {
    let _ = shared.events.send(event).await;
}

async fn run(shared: Arc<Shared>, peering: Peering, events: Receiver<Event>) {
    let mut control = Control::new(shared, peering);
    while let Ok(event) = events.recv().await {
        if control.on(event).is_break() {
            return;
        }
    }
}

async fn tick(shared: Arc<Shared>) {
    let mut last = shared.clock.now();
    loop {
        // A longer sleep without waiting jobs keeps the CPU use of an idle router near zero.
        task::sleep(if shared.pools.waiting() { POOL_TICK } else { TICK }).await;
        shared.pools.tick();
        let now = shared.clock.now();
        if now.saturating_sub(last) < TICK {
            continue;
        }
        last = now;
        if shared.events.send(Event::Tick).await.is_err() {
            return;
        }
    }
}
