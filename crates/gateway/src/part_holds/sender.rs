//! Sends reports to the routers that count, and decisions to those that are to know.

use super::{PartHolds, Report, message};
use async_std::task;
use clock::Clock;
use control::rendezvous;
use dispatch::fatal_parts::{Changes, EndedProcess};
use dispatch::quarantine::ProcessKey;
use futures::future::join_all;
use ids::{DomainId, VmId};
use peers::{PartsMessage, PeerError, Upstream};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time in which reports are collected into one message: the connections of one process break within this time.
const BATCH_DELAY: Duration = Duration::from_millis(10);
/// Routers of each failure domain that count. One may be unreachable, or have started since.
const COUNTERS: usize = 2;
/// What the routers that count are chosen for. The same ones count all ends, because it takes several to find a cause.
const COUNTING: &str = "ends of endpoints";
/// Longest wait for a router, for its connection and again for its response.
const CALL_TIMEOUT: Duration = Duration::from_millis(100);

/// Another router.
#[derive(Debug, Clone)]
pub struct Neighbor {
    /// Its VM.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its address.
    pub address: SocketAddr,
}

/// A router and the others of the deployment.
#[derive(Debug, Clone)]
pub struct Neighbors {
    /// This router's VM.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// All other routers.
    pub others: Vec<Neighbor>,
}

impl Neighbors {
    /// The routers that count the ends of endpoints, other than this one, and whether this one does.
    fn counters(&self) -> (Vec<&Neighbor>, bool) {
        let mut domains: BTreeSet<&DomainId> = self.others.iter().map(|other| &other.domain).collect();
        domains.insert(&self.domain);
        let mut found = Vec::new();
        let mut is_counter = false;
        for domain in domains {
            let others = self.others.iter().filter(|other| other.domain == *domain);
            let own = (self.domain == *domain).then_some(&self.vm);
            let chosen = rendezvous::choose(COUNTING, others.clone().map(|other| &other.vm).chain(own), COUNTERS);
            is_counter |= chosen.contains(&&self.vm);
            found.extend(others.filter(|other| chosen.contains(&&other.vm)));
        }
        (found, is_counter)
    }

    fn in_domain(&self) -> Vec<&Neighbor> {
        let others = self.others.iter();
        others.filter(|other| other.domain == self.domain).collect()
    }
}

/// What a batch of reports asks to be sent.
#[derive(Default)]
struct Batch {
    ends: HashMap<ProcessKey, EndedProcess>,
    decided: Changes,
    answered: Changes,
}

impl Batch {
    fn add(&mut self, report: Report) -> Option<async_channel::Sender<()>> {
        match report {
            Report::Ended(end, sent) => {
                let known = self.ends.entry(end.process).or_insert_with(|| EndedProcess {
                    suspects: Vec::new(),
                    ..end.clone()
                });
                known.ended = known.ended.min(end.ended);
                known.suspects.extend(end.suspects);
                known.suspects.sort_unstable();
                known.suspects.dedup();
                return Some(sent);
            }
            Report::Decided(changes) => extend(&mut self.decided, changes),
            Report::Answered(changes) => extend(&mut self.answered, changes),
        }
        None
    }
}

fn extend(all: &mut Changes, changes: Changes) {
    all.held.extend(changes.held);
    all.extended.extend(changes.extended);
    all.released.extend(changes.released);
    all.answered.extend(changes.answered);
}

impl PartHolds {
    /// Sends reports until the process exits. `neighbors` reads the current list of routers.
    pub async fn send_reports(self: Arc<Self>, clock: Clock, neighbors: impl Fn() -> Neighbors) {
        while let Ok(first) = self.outbox.1.recv().await {
            task::sleep(BATCH_DELAY).await;
            let mut batch = Batch::default();
            let mut waiting = Vec::from_iter(batch.add(first));
            while let Ok(next) = self.outbox.1.try_recv() {
                waiting.extend(batch.add(next));
            }
            let (holds, neighbors) = (self.clone(), neighbors());
            // A router that doesn't respond must not delay the next batch.
            task::spawn(async move {
                holds.send_batch(&clock, &neighbors, batch).await;
                drop(waiting);
            });
        }
    }

    async fn send_batch(&self, clock: &Clock, neighbors: &Neighbors, batch: Batch) {
        let now = clock.now();
        let told = [
            (batch.decided, neighbors.in_domain()),
            (batch.answered, neighbors.others.iter().collect()),
        ];
        let calls = told
            .iter()
            .filter(|(changes, _)| !changes.is_empty())
            .map(|(changes, routers)| {
                let message = message::message(&[], changes, now);
                join_all(routers.iter().map(move |router| tell(router, message.clone())))
            });
        join_all(calls).await;
        if batch.ends.is_empty() {
            return;
        }
        let ends: Vec<EndedProcess> = batch.ends.into_values().collect();
        let (counters, is_counter) = neighbors.counters();
        if is_counter {
            self.count(&ends, now);
        } else {
            let changes = self.lock().merge_ends(&ends, now);
            self.log(&changes);
        }
        let report = message::message(&ends, &Changes::default(), now);
        let answers = join_all(counters.iter().map(|router| tell(router, report.clone()))).await;
        for answer in answers.into_iter().flatten() {
            self.merge_repeated(&answer.held, clock.now());
        }
    }
}

/// Sends a message to a router. Returns its response, if it was reached.
async fn tell(router: &Neighbor, message: PartsMessage) -> Option<PartsMessage> {
    match send(router.address, message).await {
        Ok(answer) => Some(answer),
        Err(err) => {
            log::info!(router = router.vm.as_str(), why:% = err; "prompt part: cannot tell a router");
            None
        }
    }
}

async fn send(address: SocketAddr, message: PartsMessage) -> Result<PartsMessage, PeerError> {
    let upstream = Upstream::connect(address, CALL_TIMEOUT).await?;
    upstream.parts(message, CALL_TIMEOUT).await
}
