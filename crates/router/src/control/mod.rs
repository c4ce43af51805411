//! The control thread: all state that is agreed or believed changes here, one event at a time.

mod adopt;
mod config_feed;
mod endpoint_feed;
mod endpoints;
mod event;
mod fetching;
mod peering;
mod state;
mod telling;
mod vm_feed;

pub use event::{Event, Sighting};

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

/// Events that may wait for the control thread; traffic drops its sightings beyond that.
pub const EVENTS: usize = 4096;
/// How often waiting jobs are looked after: one that cannot be in time any more is answered at most that late.
const JOBS_TICK: Duration = Duration::from_millis(50);
/// How often probes, heartbeats and leases are looked after; membership needs a look every half second.
const TICK: Duration = Duration::from_millis(200);

/// Starts the control thread and the tasks that feed it.
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

/// Takes a place among the peers.
fn join(shared: &Arc<Shared>, listener: TcpListener) -> std::io::Result<Peering> {
    let own = Member {
        id: shared.settings.vm.clone(),
        address: listener.local_addr()?,
        domain: shared.settings.domain.clone(),
    };
    let (sender, heard) = async_channel::bounded(EVENTS);
    let mut peers = Peers::new(own.clone(), sender);
    peers.listen(listener);
    task::spawn(hear(shared.clone(), heard));
    Ok(Peering::new(own, peers, shared.clock.now()))
}

async fn hear(shared: Arc<Shared>, heard: Receiver<peers::Event>) {
    while let Ok(event) = heard.recv().await {
        send(&shared, Event::Peer(event)).await;
    }
}

/// Hands an event to the control thread; after its end nobody needs it.
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
        // An idle router wakes up seldom: its control must cost next to nothing.
        task::sleep(if shared.pools.waiting() { JOBS_TICK } else { TICK }).await;
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
