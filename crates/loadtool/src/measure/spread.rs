//! Measures how long an accepted configuration change takes to become active on each router, and its calls to the
//! platform.
//!
//! The routers of the last failure domain can be disconnected from the platform. They receive changes only from peers.

use crate::error::ToolError;
use crate::scenario::Scenario;
use crate::site::{
    EndpointAddresses, Launcher, Publisher, Router, RouterSpec, document, publish, set_vms, until_ready,
};
use async_std::task;
use config::Section;
use futures::future::join_all;
use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::{Value, json};
use standins::http::Client;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use wire::platform::Calls;

/// An address without a listener, for routers that are disconnected from the platform.
const UNREACHABLE: &str = "127.0.0.1:1";
/// Interval between status requests to a router.
const POLL: Duration = Duration::from_millis(2);
/// Maximum wait for one change.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Time until all routers know each other through heartbeats.
const WARM_UP: Duration = Duration::from_secs(8);
/// Pause between two changes.
const PAUSE: Duration = Duration::from_millis(500);
const MAX_MICROS: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// The settings of the measurement.
#[derive(Debug, Clone)]
pub struct SpreadSpec {
    /// Failure domains.
    pub domains: usize,
    /// Routers per failure domain.
    pub routers: usize,
    /// Number of sequential changes.
    pub changes: u64,
    /// Whether the last domain is disconnected from the platform.
    pub cut: bool,
}

/// The results of the measurement.
#[derive(Debug, Clone, Serialize)]
pub struct SpreadRecord {
    /// Total number of routers.
    pub routers: usize,
    /// Changes.
    pub changes: u64,
    /// Times of the routers that reach the platform, in milliseconds: median, 99 %, maximum.
    pub reached: (f64, f64, f64),
    /// Times of the disconnected routers.
    pub cut: Option<(f64, f64, f64)>,
    /// Calls to the platform per change, including those of the operator.
    pub calls: f64,
}

/// Runs the measurement.
///
/// # Errors
/// If a process doesn't start, or a change is not active in time.
pub async fn spread(spec: &SpreadSpec) -> Result<SpreadRecord, ToolError> {
    let folder = tempfile::tempdir().map_err(ToolError::io("a folder"))?;
    let launcher = Launcher::new(folder.path().to_owned())?;
    let platform = launcher.standin("standin-platform", &[])?;
    let mut scenario = Scenario::board();
    scenario.domains = (0..spec.domains).map(|number| format!("domain-{number}")).collect();
    let engine = launcher.standin("standin-engine", &["--model".into(), scenario.engines.model.clone()])?;
    let runner = launcher.standin("standin-service", &[])?;
    let addresses = EndpointAddresses {
        engines: vec![engine.address],
        runners: vec![runner.address],
    };
    let mut publisher = publish(platform.address, &document(&scenario, &addresses)).await?;
    let routers = start(spec, &scenario, &launcher, platform.address).await?;
    set_vms(platform.address, &routers).await?;
    task::sleep(WARM_UP).await;
    let before = calls(platform.address).await?;
    let mut times = Times::new();
    for change in 0..spec.changes {
        measure_change(spec, &routers, &mut publisher, change, &mut times).await?;
        task::sleep(PAUSE).await;
    }
    let after = calls(platform.address).await?;
    let made = (after.reads + after.writes) - (before.reads + before.writes);
    Ok(SpreadRecord {
        routers: routers.len(),
        changes: spec.changes,
        reached: summary(&times.reached),
        cut: spec.cut.then(|| summary(&times.cut)),
        calls: made as f64 / spec.changes as f64,
    })
}

async fn start(
    spec: &SpreadSpec,
    scenario: &Scenario,
    launcher: &Launcher,
    platform: SocketAddr,
) -> Result<Vec<(Router, String)>, ToolError> {
    let mut routers: Vec<(Router, String)> = Vec::new();
    for index in 0..spec.domains * spec.routers {
        let domain = &scenario.domains[index / spec.routers];
        let cut = is_cut(spec, index);
        let router = launcher.router(&RouterSpec {
            index,
            domain: domain.clone(),
            platform: if cut {
                UNREACHABLE.parse().unwrap_or(platform)
            } else {
                platform
            },
            threads: 1,
            seeds: seeds(&routers),
        })?;
        until_ready(router.operators).await?;
        routers.push((router, domain.clone()));
    }
    Ok(routers)
}

fn seeds(routers: &[(Router, String)]) -> Value {
    let seed = |(index, (router, domain)): (usize, &(Router, String))| json!({"vm": crate::site::vm(index), "domain": domain, "address": router.peers});
    routers.iter().enumerate().map(seed).collect()
}

fn is_cut(spec: &SpreadSpec, index: usize) -> bool {
    spec.cut && index / spec.routers == spec.domains - 1
}

struct Times {
    reached: Histogram<u64>,
    cut: Histogram<u64>,
}

impl Times {
    fn new() -> Self {
        let empty = || Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS).expect("valid bounds");
        Self {
            reached: empty(),
            cut: empty(),
        }
    }
}

async fn measure_change(
    spec: &SpreadSpec,
    routers: &[(Router, String)],
    publisher: &mut Publisher,
    change: u64,
    times: &mut Times,
) -> Result<(), ToolError> {
    let priorities = json!({"urgent": {"rank": 0}, "batch": {"rank": change % 9 + 1}});
    let priorities = if change % 9 == 8 {
        json!({"urgent": {"rank": 1}})
    } else {
        priorities
    };
    publisher.change(Section::Priorities, priorities.to_string()).await?;
    let (accepted, revision) = (Instant::now(), publisher.revision());
    let waits = routers
        .iter()
        .map(|(router, _)| in_force(router.operators, revision, accepted));
    for (index, taken) in join_all(waits).await.into_iter().enumerate() {
        let micros = taken?.as_micros() as u64;
        let histogram = if is_cut(spec, index) {
            &mut times.cut
        } else {
            &mut times.reached
        };
        histogram.saturating_record(micros);
    }
    Ok(())
}

/// The time until `revision` is active on a router.
async fn in_force(operators: SocketAddr, revision: u64, accepted: Instant) -> Result<Duration, ToolError> {
    let mut client = Client::new(operators);
    while accepted.elapsed() < TIMEOUT {
        let status: Value = client.get("/status").await?.json()?;
        if status["revision"].as_u64() >= Some(revision) {
            return Ok(accepted.elapsed());
        }
        task::sleep(POLL).await;
    }
    Err(ToolError::Timeout("a change"))
}

async fn calls(platform: SocketAddr) -> Result<Calls, ToolError> {
    let calls = Client::new(platform).get("/v1/calls").await?.json()?;
    Ok(calls)
}

/// Median, 99 % and maximum in milliseconds.
fn summary(times: &Histogram<u64>) -> (f64, f64, f64) {
    let ms = |micros: u64| micros as f64 / 1000.0;
    (
        ms(times.value_at_quantile(0.5)),
        ms(times.value_at_quantile(0.99)),
        ms(times.max()),
    )
}
