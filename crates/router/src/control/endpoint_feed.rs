//! Polls the load reports of endpoints.

use super::event::{Event, Observation, ObservedLoad};
use crate::shared::Shared;
use async_std::task::{self, JoinHandle};
use config::{EndpointRole, EndpointSpec};
use http::{Method, Request, SendError, Url};
use ids::EndpointId;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Interval between reads of a report. The placement experiment shows no loss at this interval, and a large loss at
/// four times it.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of reports that a router reads per second: a report has about 370 bytes, and all control traffic
/// has a budget of 7 KB/s. In a domain of 400 engines and 22 routers each router watches 36 endpoints, which are then
/// read less often.
const MAX_READS_PER_SECOND: u32 = 16;
/// Timeout for reading a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a report, bytes.
const REPORT_BYTES: u64 = 64 * 1024;

/// Polling tasks, one for each watched endpoint.
#[derive(Debug, Default)]
pub struct Feeds {
    tasks: HashMap<EndpointId, (SocketAddr, JoinHandle<()>)>,
    /// Interval between reads of the same report.
    period: Duration,
}

impl Feeds {
    /// Watches exactly these endpoints.
    pub fn follow(&mut self, shared: &Arc<Shared>, endpoints: &BTreeMap<EndpointId, EndpointSpec>) {
        let is_current =
            |id: &EndpointId, address: SocketAddr| endpoints.get(id).is_some_and(|spec| spec.address == address);
        let watched = u32::try_from(endpoints.len()).unwrap_or(u32::MAX);
        if read_period(watched) != self.period {
            // Restarts all tasks, spread over the new interval: a task that sleeps through a longer old interval
            // would be late.
            self.stop();
            self.period = read_period(watched);
        }
        let removed: Vec<EndpointId> = self
            .tasks
            .iter()
            .filter(|(id, (address, _))| !is_current(id, *address))
            .map(|(id, _)| id.clone())
            .collect();
        for id in removed {
            self.stop_one(&id);
        }
        for (id, spec) in endpoints {
            if !self.tasks.contains_key(id) {
                let feed = task::spawn(run(shared.clone(), id.clone(), spec.clone(), self.period));
                self.tasks.insert(id.clone(), (spec.address, feed));
            }
        }
    }

    /// Stops all tasks.
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

/// Reads the report of a failed endpoint once.
pub fn probe(shared: &Arc<Shared>, id: &EndpointId, spec: &EndpointSpec) {
    let (shared, id, spec) = (shared.clone(), id.clone(), spec.clone());
    task::spawn(async move {
        let observation = read(&shared, &spec).await;
        let _ = shared.events.send(Event::Endpoint(id, observation)).await;
    });
}

async fn run(shared: Arc<Shared>, id: EndpointId, spec: EndpointSpec, period: Duration) {
    // The random delay spreads the reads of routers that start at the same time.
    task::sleep(period.mul_f64(rand::random())).await;
    loop {
        let observation = read(&shared, &spec).await;
        if shared
            .events
            .send(Event::Endpoint(id.clone(), observation))
            .await
            .is_err()
        {
            return;
        }
        task::sleep(period).await;
    }
}

/// Interval between reads of the same report, given the number of watched endpoints.
fn read_period(watched: u32) -> Duration {
    READ_INTERVAL.max(Duration::from_secs(1) * watched / MAX_READS_PER_SECOND)
}

async fn read(shared: &Shared, spec: &EndpointSpec) -> Observation {
    let requested = shared.clock.now();
    let url = Url::parse(&format!("http://{}/v1/load", spec.address)).expect("a socket address makes a URL");
    let sent = shared
        .client
        .send(spec.address, Request::new(Method::Get, url), &[], REPORT_TIMEOUT)
        .await;
    let reply = match sent {
        Ok(reply) => reply,
        Err(SendError::NotSent(_)) => return Observation::ConnectFailed,
        Err(SendError::Timeout(_) | SendError::Cancelled) => return Observation::Timeout,
        Err(SendError::NoAnswer | SendError::TooLong) => return Observation::ConnectionLost,
    };
    let Ok(body) = reply.read_body(REPORT_BYTES, REPORT_TIMEOUT).await else {
        return Observation::ConnectionLost;
    };
    parse(&spec.role, &body, requested).map_or(Observation::ConnectionLost, Observation::Reported)
}

fn parse(role: &EndpointRole, body: &[u8], requested: Duration) -> Option<ObservedLoad> {
    match role {
        EndpointRole::Model(_) => {
            let load: wire::engine::Load = serde_json::from_slice(body).ok()?;
            Some(ObservedLoad {
                own: true,
                incarnation: load.incarnation,
                model: Some(load.model),
                weights: load.weights,
                draining: load.leaving,
                running: load.running,
                waiting: load.waiting,
                prefill: load.prefill_tokens,
                requested,
            })
        }
        EndpointRole::Service(_) => {
            let load: wire::service::Load = serde_json::from_slice(body).ok()?;
            Some(ObservedLoad {
                own: true,
                incarnation: load.incarnation,
                model: None,
                weights: None,
                draining: load.leaving,
                running: load.running,
                waiting: load.waiting,
                prefill: 0,
                requested,
            })
        }
    }
}
