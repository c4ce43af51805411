//! Sends the origins of this router's streams to the routers that remember them or write them to the store.

use super::{CALL_TIMEOUT, archive, keepers};
use crate::follow::members::Members;
use crate::shared::Shared;
use async_channel::{Receiver, Sender};
use async_std::task;
use dispatch::origins::{Origin, StreamKey};
use ids::VmId;
use peers::{OriginMessage, PeerError, Upstream};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time in which origins are collected into one message. A router that is killed in this time takes them with it.
const BATCH_DELAY: Duration = Duration::from_millis(10);
/// Interval between reads of the list of routers.
const MEMBERS_INTERVAL: Duration = Duration::from_secs(1);
/// How often a message is sent to a router that doesn't respond. One that is busy for a moment would lose all origins in it.
const MAX_TRIES: u32 = 3;
/// Messages that wait for a router.
const MAX_QUEUED: usize = 64;

/// Sends origins until the process exits.
pub async fn send_origins(shared: Arc<Shared>) {
    let mut routers: Vec<(VmId, SocketAddr)> = Vec::new();
    let mut read_at: Option<Duration> = None;
    let mut queues: HashMap<SocketAddr, Sender<Vec<OriginMessage>>> = HashMap::new();
    while let Ok(first) = shared.origin_outbox.1.recv().await {
        task::sleep(BATCH_DELAY).await;
        let now = shared.clock.now();
        if read_at.is_none_or(|at| now.saturating_sub(at) >= MEMBERS_INTERVAL) {
            read_at = Some(now);
            routers = Members::read(&shared).addresses();
            queues.retain(|address, _| routers.iter().any(|(_, listed)| listed == address));
        }
        let mut batch = vec![first];
        while let Ok(next) = shared.origin_outbox.1.try_recv() {
            batch.push(next);
        }
        let own = shared.settings.load().vm.clone();
        for (address, messages) in by_receiver(&shared, &batch, &routers, &own) {
            let queue = queues.entry(address).or_insert_with(|| {
                let (sender, receiver) = async_channel::bounded(MAX_QUEUED);
                task::spawn(send_all(address, receiver));
                sender
            });
            // The queue of a router that doesn't respond fills up. Others keep the same origins.
            let _ = queue.try_send(messages);
        }
    }
}

/// The messages for the routers that remember origins or write them to the store.
fn by_receiver(
    shared: &Shared,
    batch: &[(StreamKey, Origin)],
    routers: &[(VmId, SocketAddr)],
    own: &VmId,
) -> HashMap<SocketAddr, Vec<OriginMessage>> {
    let ids: Vec<VmId> = routers.iter().map(|(vm, _)| vm.clone()).collect();
    let archivists = archive::archivists(&ids);
    let mut messages: HashMap<SocketAddr, Vec<OriginMessage>> = HashMap::new();
    for (stream, origin) in batch {
        let archivist = archive::archivist(*stream, &archivists);
        if archivist.is_none_or(|vm| vm == own) {
            archive::queue(shared, *stream, origin);
        }
        let mut receivers = keepers(*stream, routers);
        let writes = routers.iter().filter(|(vm, _)| Some(vm) == archivist);
        receivers.extend(writes);
        receivers.sort_unstable();
        receivers.dedup();
        for (vm, address) in receivers {
            if vm != own {
                messages
                    .entry(*address)
                    .or_default()
                    .push(OriginMessage(*stream, origin.clone()));
            }
        }
    }
    messages
}

/// Sends all messages to one router.
async fn send_all(address: SocketAddr, messages: Receiver<Vec<OriginMessage>>) {
    let mut connected: Option<Upstream> = None;
    while let Ok(message) = messages.recv().await {
        for tries in 1..=MAX_TRIES {
            match send(address, connected.take(), message.clone()).await {
                Ok(peer) => {
                    connected = Some(peer);
                    break;
                }
                Err(err) => {
                    log::debug!(router:% = address, tries = tries, why:% = err; "stream: cannot send origins");
                }
            }
        }
    }
}

/// Sends a message over this connection or a new one, and returns the connection.
async fn send(
    address: SocketAddr,
    connected: Option<Upstream>,
    message: Vec<OriginMessage>,
) -> Result<Upstream, PeerError> {
    let peer = match connected {
        Some(peer) => peer,
        None => Upstream::connect(address, CALL_TIMEOUT).await?,
    };
    peer.origins(message, CALL_TIMEOUT).await?;
    Ok(peer)
}
