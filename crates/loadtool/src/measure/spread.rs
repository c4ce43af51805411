//! How long an accepted change takes until it is in force in each router, and what it costs the platform.
//!
//! The routers of the last failure domain may be cut from the platform: they hear of a change by their peers only.

use crate::error::ToolError;
use crate::scenario::Scenario;
use crate::site::{Launcher, Places, Publisher, Router, RouterSpec, document, publish, set_vms, until_ready};
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

/// An address where nobody listens: what a router that is cut off finds.
const NOBODY: &str = "127.0.0.1:1";
/// Between two looks at a router.
const POLL: Duration = Duration::from_millis(2);
/// Longest wait for one change.
const PATIENCE: Duration = Duration::from_secs(30);
/// Until heartbeats have made all routers known to each other.
const WARM_UP: Duration = Duration::from_secs(8);
/// Between two changes.
const PAUSE: Duration = Duration::from_millis(500);
const LONGEST_MICROS: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// What to measure.
#[derive(Debug, Clone)]
pub struct SpreadSpec {
    /// Failure domains.
    pub domains: usize,
    /// Routers of each.
    pub routers: usize,
    /// Changes, one after the other.
    pub changes: u64,
    /// Whether the last domain is cut from the platform.
    pub cut: bool,
}

/// What was measured.
#[derive(Debug, Clone, Serialize)]
pub struct SpreadRecord {
    /// Routers in all.
    pub routers: usize,
    /// Changes.
    pub changes: u64,
    /// Of the routers that reach the platform, milliseconds: median, 99 %, last.
    pub reached: (f64, f64, f64),
    /// Of those that do not.
    pub cut: Option<(f64, f64, f64)>,
    /// Calls that the platform counted for each change, those of the operator among them.
    pub calls: f64,
}

/// Measures.
///
/// # Errors
/// If a process doesn't start, or a change isn't in force in time.
pub async fn spread(spec: &SpreadSpec) -> Result<SpreadRecord, ToolError> {
    let folder = tempfile::tempdir().map_err(ToolError::io("a folder"))?;
    let launcher = Launcher::new(folder.path().to_owned())?;
    let platform = launcher.standin("standin-platform", &[])?;
    let mut scenario = Scenario::board();
    scenario.domains = (0..spec.domains).map(|number| format!("domain-{number}")).collect();
    let engine = launcher.standin("standin-engine", &["--model".into(), scenario.engines.model.clone()])?;
    let runner = launcher.standin("standin-service", &[])?;
    let places = Places {
        engines: vec![engine.address],
        runners: vec![runner.address],
    };
    let mut publisher = publish(platform.address, &document(&scenario, &places)).await?;
    let routers = start(spec, &scenario, &launcher, platform.address).await?;
    set_vms(platform.address, &routers).await?;
    task::sleep(WARM_UP).await;
    let before = calls(platform.address).await?;
    let mut times = Times::new();
    for change in 0..spec.changes {
        one(spec, &routers, &mut publisher, change, &mut times).await?;
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
                NOBODY.parse().unwrap_or(platform)
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
        let empty = || Histogram::new_with_bounds(1, LONGEST_MICROS, SIGNIFICANT_DIGITS).expect("valid bounds");
        Self {
            reached: empty(),
            cut: empty(),
        }
    }
}

async fn one(
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

/// Time until a router has `revision` in force.
async fn in_force(operators: SocketAddr, revision: u64, accepted: Instant) -> Result<Duration, ToolError> {
    let mut client = Client::new(operators);
    while accepted.elapsed() < PATIENCE {
        let status: Value = client.get("/status").await?.json()?;
        if status["revision"].as_u64() >= Some(revision) {
            return Ok(accepted.elapsed());
        }
        task::sleep(POLL).await;
    }
    Err(ToolError::Late("a change"))
}

async fn calls(platform: SocketAddr) -> Result<Calls, ToolError> {
    let calls = Client::new(platform).get("/v1/calls").await?.json()?;
    Ok(calls)
}

/// Median, 99 % and last, milliseconds.
fn summary(times: &Histogram<u64>) -> (f64, f64, f64) {
    let ms = |micros: u64| micros as f64 / 1000.0;
    (
        ms(times.value_at_quantile(0.5)),
        ms(times.value_at_quantile(0.99)),
        ms(times.max()),
    )
}
