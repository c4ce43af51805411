//! The subtotals that routers with followers send each other.

use super::{CALL_TIMEOUT, message};
use crate::shared::Shared;
use async_channel::{Receiver, Sender};
use async_std::task;
use ids::VmId;
use peers::{BacklogMessage, PeerError, SubtotalMessage, Upstream};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Interval at which the use of all quotas is sent, not only of those whose use changed recently, and the speeds of
/// endpoints.
const FULL_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// One task for each receiver, so that a silent one does not delay the others.
pub(super) struct SubtotalSenders {
    /// Tells receivers that the totals start at zero again after a restart of this process.
    incarnation: u64,
    queues: HashMap<SocketAddr, Sender<SubtotalMessage>>,
    last_full: Option<Duration>,
}

impl SubtotalSenders {
    pub(super) fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            queues: HashMap::new(),
            last_full: None,
        }
    }

    /// Sends this router's subtotal to the other routers without waiting.
    pub(super) fn send(&mut self, shared: &Shared, others: &[(VmId, SocketAddr)]) {
        self.update_queues(others);
        let now = shared.clock.now();
        let is_full = self.last_full.is_none_or(|at| now.saturating_sub(at) >= FULL_INTERVAL);
        if is_full {
            self.last_full = Some(now);
        }
        let usage = shared.quotas().subtotal(is_full, now);
        let incidents = message::Incidents::repeated(shared);
        let backlog = {
            let fleet = shared.fleet();
            BacklogMessage {
                speeds: is_full.then(|| message::speeds(fleet.speeds_subtotal(now))),
                ..message::backlog(fleet.backlog_subtotal(now), &fleet, incidents, now)
            }
        };
        let (totals, patients) = message::usage(&usage.totals);
        let settings = shared.settings.load();
        let subtotal = SubtotalMessage {
            router: settings.vm.clone(),
            domain: settings.domain.clone(),
            incarnation: self.incarnation,
            backlog,
            routers: usage.routers,
            usage: totals,
            patient_usage: patients,
        };
        for queue in self.queues.values() {
            // Only the newest message matters. A closed queue is replaced the next time.
            let _ = queue.force_send(subtotal.clone());
        }
    }

    fn update_queues(&mut self, others: &[(VmId, SocketAddr)]) {
        let is_listed = |address: &SocketAddr| others.iter().any(|(_, listed)| listed == address);
        self.queues
            .retain(|address, queue| is_listed(address) && !queue.is_closed());
        for (_, address) in others {
            self.queues.entry(*address).or_insert_with(|| {
                let (sender, receiver) = async_channel::bounded(1);
                task::spawn(send_all(*address, receiver));
                sender
            });
        }
    }
}

/// Sends all messages to one router.
async fn send_all(address: SocketAddr, messages: Receiver<SubtotalMessage>) {
    let mut connected = None;
    while let Ok(message) = messages.recv().await {
        match send_once(connected.take(), address, message).await {
            Ok(peer) => connected = Some(peer),
            Err(err) => {
                log::debug!(router:% = address, why:% = err; "news: cannot send a subtotal");
                task::sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn send_once(
    connected: Option<Upstream>,
    address: SocketAddr,
    message: SubtotalMessage,
) -> Result<Upstream, PeerError> {
    let peer = match connected {
        Some(peer) => peer,
        None => Upstream::connect(address, CALL_TIMEOUT).await?,
    };
    peer.subtotal(message, CALL_TIMEOUT).await?;
    Ok(peer)
}
