//! A stand for measurements: one platform, engines that answer at once, some routers; bytes counted by relays.

use super::process;
use super::relay::{Count, relay};
use super::sockets;
use crate::error::ToolError;
use crate::scenario::Scenario;
use crate::site::{self, Launcher, Places, Publisher, Router, RouterSpec};
use async_std::task;
use standins::process::Running;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use wire::platform::Calls;

/// Engines in one process.
const COPIES: usize = 50;

/// What the stand consists of.
#[derive(Debug, Clone)]
pub struct StandSpec {
    /// Engines.
    pub engines: usize,
    /// Routers.
    pub routers: usize,
    /// Threads for traffic of each router.
    pub threads: usize,
    /// Workspaces in the document.
    pub workspaces: usize,
    /// Whether bytes are counted; the relays cost time.
    pub relays: bool,
    /// Blocks of cache of each engine.
    pub blocks: usize,
}

/// The stand; its processes end with it.
#[derive(Debug)]
pub struct Stand {
    /// What it consists of.
    pub scenario: Scenario,
    /// The platform.
    pub platform: Running,
    /// Addresses of the engines themselves.
    pub engines: Vec<SocketAddr>,
    /// The routers.
    pub routers: Vec<(Router, String)>,
    publisher: Option<Publisher>,
    /// What the start of the routers cost.
    pub start: StartCost,
    counts: Counts,
    _processes: Vec<Running>,
    _folder: tempfile::TempDir,
}

#[derive(Debug, Default)]
struct Counts {
    platform: Count,
    endpoints: Count,
}

/// What it cost to start all routers at once.
#[derive(Debug, Clone, Copy, Default)]
pub struct StartCost {
    /// Until the last was ready.
    pub ready: Duration,
    /// Reads at the platform meanwhile.
    pub reads: u64,
}

/// What the first router did over some time, each a second.
#[derive(Debug, Clone, Copy, Default)]
pub struct Rates {
    /// Milliseconds of processor time.
    pub cpu_ms: f64,
    /// Bytes to and from the platform, of one router on average.
    pub platform_bytes: f64,
    /// Bytes to and from endpoints, of one router on average.
    pub endpoint_bytes: f64,
    /// Bytes to and from peers, of one router on average.
    pub peer_bytes: f64,
    /// Reads at the platform, of one router on average.
    pub reads: f64,
    /// Writes at the platform, of all routers.
    pub writes: f64,
    /// Resident memory of the first router at the end, kilobytes.
    pub resident: f64,
}

impl StandSpec {
    /// One router with one thread and twelve engines.
    pub fn small() -> Self {
        Self {
            engines: 12,
            routers: 1,
            threads: 1,
            workspaces: 8,
            relays: false,
            blocks: 256,
        }
    }
}

impl Stand {
    /// Starts it and waits until its routers are ready.
    ///
    /// # Errors
    /// If something doesn't start.
    pub async fn start(spec: &StandSpec) -> Result<Self, ToolError> {
        let folder = tempfile::tempdir().map_err(ToolError::io("a folder"))?;
        let launcher = Launcher::new(folder.path().to_owned())?;
        let platform = launcher.standin("standin-platform", &[])?;
        let mut scenario = Scenario::board();
        scenario.workspaces = vec![1.0; spec.workspaces];
        let mut processes = engine_processes(&launcher, spec, &scenario)?;
        let engines: Vec<SocketAddr> = processes.iter().flat_map(Running::addresses).collect();
        let runner = launcher.standin("standin-service", &[])?;
        let counts = Counts::default();
        let seen = if spec.relays {
            relay(platform.address, &counts.platform).await?
        } else {
            platform.address
        };
        let mut places = Places {
            engines: engines.clone(),
            runners: vec![runner.address],
        };
        processes.push(runner);
        if spec.relays {
            for address in &mut places.engines {
                *address = relay(*address, &counts.endpoints).await?;
            }
        }
        let publisher = site::publish(platform.address, &site::document(&scenario, &places)).await?;
        let from = Instant::now();
        let mut routers = Vec::new();
        for index in 0..spec.routers {
            // Slopes concern the peers of one failure domain.
            let domain = scenario.domains[0].clone();
            let router = RouterSpec {
                index,
                domain: domain.clone(),
                platform: seen,
                threads: spec.threads,
                seeds: serde_json::Value::Array(Vec::new()),
            };
            routers.push((launcher.router(&router)?, domain));
        }
        let mut stand = Self {
            scenario,
            platform,
            engines,
            routers,
            publisher: Some(publisher),
            start: StartCost::default(),
            counts,
            _processes: processes,
            _folder: folder,
        };
        site::set_vms(stand.platform.address, &stand.routers).await?;
        for (router, _) in &stand.routers {
            site::until_ready(router.operators).await?;
        }
        let calls: Calls = site::read(stand.platform.address, "/v1/calls").await?;
        stand.start = StartCost {
            ready: from.elapsed(),
            reads: calls.reads,
        };
        Ok(stand)
    }

    /// What changes the document, once.
    ///
    /// # Errors
    /// If it was taken before.
    pub fn take_publisher(&mut self) -> Result<Publisher, ToolError> {
        self.publisher.take().ok_or(ToolError::Bound("use of the document"))
    }

    /// The first router's address for callers.
    pub fn router(&self) -> SocketAddr {
        self.routers[0].0.process.address
    }

    /// Processor time of the first router so far.
    ///
    /// # Errors
    /// If it has gone.
    pub fn cpu(&self) -> Result<Duration, ToolError> {
        process::cpu(self.routers[0].0.process.id())
    }

    /// Resident memory of the first router, kilobytes.
    ///
    /// # Errors
    /// If it has gone.
    pub fn resident(&self) -> Result<u64, ToolError> {
        process::resident(self.routers[0].0.process.id())
    }

    /// Measures for `time` while something else loads the stand or nothing does.
    ///
    /// # Errors
    /// If a process has gone.
    pub async fn watch(&self, time: Duration) -> Result<Rates, ToolError> {
        let before = self.totals().await?;
        let from = Instant::now();
        task::sleep(time).await;
        let after = self.totals().await?;
        let seconds = from.elapsed().as_secs_f64();
        let routers = self.routers.len() as f64;
        let each = |index: usize| (after[index] - before[index]) / seconds;
        Ok(Rates {
            cpu_ms: each(0),
            platform_bytes: each(1) / routers,
            endpoint_bytes: each(2) / routers,
            // What one sends another receives.
            peer_bytes: 2.0 * each(3) / routers,
            reads: each(4) / routers,
            writes: each(5),
            resident: self.resident()? as f64,
        })
    }

    async fn totals(&self) -> Result<[f64; 6], ToolError> {
        let calls: Calls = site::read(self.platform.address, "/v1/calls").await?;
        let peers: Vec<SocketAddr> = self.routers.iter().map(|(router, _)| router.peers).collect();
        let bytes = |count: &Count| count.load(Ordering::Relaxed) as f64;
        Ok([
            self.cpu()?.as_secs_f64() * 1000.0,
            bytes(&self.counts.platform),
            bytes(&self.counts.endpoints),
            sockets::bytes(&peers) as f64,
            calls.reads as f64,
            calls.writes as f64,
        ])
    }
}

fn engine_processes(launcher: &Launcher, spec: &StandSpec, scenario: &Scenario) -> Result<Vec<Running>, ToolError> {
    let mut left = spec.engines;
    let mut processes = Vec::new();
    while left > 0 {
        // A few engines get a process each, so that they aren't the bottleneck.
        let copies = if spec.engines <= 12 { 1 } else { left.min(COPIES) };
        left -= copies;
        let named = [
            ("--model", scenario.engines.model.clone()),
            ("--copies", copies.to_string()),
            ("--blocks", spec.blocks.to_string()),
            ("--slots", "256".to_owned()),
        ];
        let args: Vec<String> = named
            .into_iter()
            .flat_map(|(name, value)| [name.to_owned(), value])
            .collect();
        processes.push(launcher.standin("standin-engine", &args)?);
    }
    Ok(processes)
}
