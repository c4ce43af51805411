//! Reads load reports of endpoints.

use super::event::{Event, LoadSeen, Sighting};
use crate::shared::Shared;
use async_std::task::{self, JoinHandle};
use config::{EndpointRole, EndpointSpec};
use http::{Method, Request, SendError, Url};
use ids::EndpointId;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How often a report is read. The placement experiment loses nothing at this period, and much at four times it.
const EVERY: Duration = Duration::from_millis(500);
/// Reports that a router reads a second at most: one is some 370 bytes, and control has 7 KB/s in all. A domain of 400
/// engines and 22 routers has 36 for each of them, which are read more seldom then.
const READS_A_SECOND: u32 = 16;
/// Longest wait for a report.
const WAIT: Duration = Duration::from_secs(2);
/// Longest report, bytes.
const REPORT_BYTES: u64 = 64 * 1024;

/// One task for each endpoint that this router watches.
#[derive(Debug, Default)]
pub struct Feeds {
    tasks: HashMap<EndpointId, (SocketAddr, JoinHandle<()>)>,
    /// Time between two reads of one report.
    period: Duration,
}

impl Feeds {
    /// Watches these endpoints, and no others.
    pub fn follow(&mut self, shared: &Arc<Shared>, endpoints: &BTreeMap<EndpointId, EndpointSpec>) {
        let wanted =
            |id: &EndpointId, address: SocketAddr| endpoints.get(id).is_some_and(|spec| spec.address == address);
        let watched = u32::try_from(endpoints.len()).unwrap_or(u32::MAX);
        if every(watched) != self.period {
            // All begin again, spread over the new period: those that sleep through an old, longer one would be late.
            self.stop();
            self.period = every(watched);
        }
        let gone: Vec<EndpointId> = self
            .tasks
            .iter()
            .filter(|(id, (address, _))| !wanted(id, *address))
            .map(|(id, _)| id.clone())
            .collect();
        for id in gone {
            self.stop_one(&id);
        }
        for (id, spec) in endpoints {
            if !self.tasks.contains_key(id) {
                let feed = task::spawn(run(shared.clone(), id.clone(), spec.clone(), self.period));
                self.tasks.insert(id.clone(), (spec.address, feed));
            }
        }
    }

    /// Watches none any more.
    pub fn stop(&mut self) {
        for id in self.tasks.keys().cloned().collect::<Vec<_>>() {
            self.stop_one(&id);
        }
    }

    fn stop_one(&mut self, id: &EndpointId) {
        if let Some((_, feed)) = self.tasks.remove(id) {
            task::spawn(feed.cancel());
        }
    }
}

/// Reads one report of an endpoint that failed.
pub fn probe(shared: &Arc<Shared>, id: &EndpointId, spec: &EndpointSpec) {
    let (shared, id, spec) = (shared.clone(), id.clone(), spec.clone());
    task::spawn(async move {
        let sighting = read(&shared, &spec).await;
        let _ = shared.events.send(Event::Endpoint(id, sighting)).await;
    });
}

async fn run(shared: Arc<Shared>, id: EndpointId, spec: EndpointSpec, period: Duration) {
    // Many routers start at once; without a draw they would all ask at the same moments.
    task::sleep(period.mul_f64(rand::random())).await;
    loop {
        let sighting = read(&shared, &spec).await;
        if shared.events.send(Event::Endpoint(id.clone(), sighting)).await.is_err() {
            return;
        }
        task::sleep(period).await;
    }
}

/// Time between two reads of one report while so many are watched.
fn every(watched: u32) -> Duration {
    EVERY.max(Duration::from_secs(1) * watched / READS_A_SECOND)
}

async fn read(shared: &Shared, spec: &EndpointSpec) -> Sighting {
    let asked = shared.clock.now();
    let url = Url::parse(&format!("http://{}/v1/load", spec.address)).expect("a socket address makes a URL");
    let sent = shared
        .client
        .send(spec.address, Request::new(Method::Get, url), &[], WAIT)
        .await;
    let reply = match sent {
        Ok(reply) => reply,
        Err(SendError::NotSent(_)) => return Sighting::NotReached,
        Err(SendError::Timeout(_) | SendError::Cancelled) => return Sighting::Silent,
        Err(SendError::NoAnswer) => return Sighting::Broke,
    };
    let Ok(Ok(body)) = http::timeout(WAIT, reply.read_body(REPORT_BYTES)).await else {
        return Sighting::Broke;
    };
    parse(&spec.role, &body, asked).map_or(Sighting::Broke, Sighting::Reported)
}

fn parse(role: &EndpointRole, body: &[u8], asked: Duration) -> Option<LoadSeen> {
    match role {
        EndpointRole::Model(_) => {
            let load: wire::engine::Load = serde_json::from_slice(body).ok()?;
            Some(LoadSeen {
                own: true,
                incarnation: load.incarnation,
                model: Some(load.model),
                weights: load.weights,
                leaving: load.leaving,
                running: load.running,
                waiting: load.waiting,
                prefill: load.prefill_tokens,
                asked,
            })
        }
        EndpointRole::Service(_) => {
            let load: wire::service::Load = serde_json::from_slice(body).ok()?;
            Some(LoadSeen {
                own: true,
                incarnation: load.incarnation,
                model: None,
                weights: None,
                leaving: load.leaving,
                running: load.running,
                waiting: load.waiting,
                prefill: 0,
                asked,
            })
        }
    }
}
