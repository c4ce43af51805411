//! A test bed for measurements: one platform, engines that answer immediately, and routers. Relays count bytes.

use super::process;
use super::relay::{ByteCount, relay};
use super::sockets;
use crate::error::ToolError;
use crate::scenario::Scenario;
use crate::site::{self, EndpointAddresses, Launcher, Publisher, Router, RouterSpec};
use async_std::task;
use standins::process::Running;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use wire::platform::Calls;

/// Engines in one process.
const COPIES: usize = 50;

/// The configuration of a test bed.
#[derive(Debug, Clone)]
pub struct TestBedSpec {
    /// Engines.
    pub engines: usize,
    /// Routers.
    pub routers: usize,
    /// Traffic threads of each router.
    pub threads: usize,
    /// Workspaces in the document.
    pub workspaces: usize,
    /// Whether relays count bytes. Relays add latency.
    pub relays: bool,
    /// Cache size of each engine in blocks.
    pub blocks: usize,
}

/// A test bed. Dropping it ends its processes.
#[derive(Debug)]
pub struct TestBed {
    /// The scenario.
    pub scenario: Scenario,
    /// The platform.
    pub platform: Running,
    /// The addresses of the engines, without relays.
    pub engines: Vec<SocketAddr>,
    /// The routers.
    pub routers: Vec<(Router, String)>,
    publisher: Option<Publisher>,
    /// The cost of starting the routers.
    pub start: StartCost,
    counts: Counts,
    _processes: Vec<Running>,
    _folder: tempfile::TempDir,
}

#[derive(Debug, Default)]
struct Counts {
    platform: ByteCount,
    endpoints: ByteCount,
}

/// The cost of starting all routers simultaneously.
#[derive(Debug, Clone, Copy, Default)]
pub struct StartCost {
    /// Time until the last router was ready.
    pub ready: Duration,
    /// Reads from the platform during this time.
    pub reads: u64,
}

/// Measured rates per second.
#[derive(Debug, Clone, Copy, Default)]
pub struct Rates {
    /// CPU time of the first router in milliseconds.
    pub cpu_ms: f64,
    /// Bytes to and from the platform, average per router.
    pub platform_bytes: f64,
    /// Bytes to and from endpoints, average per router.
    pub endpoint_bytes: f64,
    /// Bytes to and from peers, average per router.
    pub peer_bytes: f64,
    /// Reads from the platform, average per router.
    pub reads: f64,
    /// Writes to the platform by all routers.
    pub writes: f64,
    /// Resident memory of the first router at the end, in kilobytes.
    pub resident: f64,
}

impl TestBedSpec {
    /// A configuration with one router, one thread and twelve engines.
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

impl TestBed {
    /// Starts the test bed and waits until its routers are ready.
    ///
    /// # Errors
    /// If a process doesn't start.
    pub async fn start(spec: &TestBedSpec) -> Result<Self, ToolError> {
        let folder = tempfile::tempdir().map_err(ToolError::io("a folder"))?;
        let launcher = Launcher::new(folder.path().to_owned())?;
        let platform = launcher.standin("standin-platform", &[])?;
        let mut scenario = Scenario::board();
        scenario.workspaces = vec![1.0; spec.workspaces];
        // Uses one failure domain, because no router would monitor endpoints in the others.
        scenario.domains.truncate(1);
        let mut processes = engine_processes(&launcher, spec, &scenario)?;
        let engines: Vec<SocketAddr> = processes.iter().flat_map(Running::addresses).collect();
        let runner = launcher.standin("standin-service", &[])?;
        let counts = Counts::default();
        let platform_address = if spec.relays {
            relay(platform.address, &counts.platform).await?
        } else {
            platform.address
        };
        let mut addresses = EndpointAddresses {
            engines: engines.clone(),
            runners: vec![runner.address],
        };
        processes.push(runner);
        if spec.relays {
            for address in &mut addresses.engines {
                *address = relay(*address, &counts.endpoints).await?;
            }
        }
        let publisher = site::publish(platform.address, &site::document(&scenario, &addresses)).await?;
        let from = Instant::now();
        let mut routers = Vec::new();
        for index in 0..spec.routers {
            let domain = scenario.domains[0].clone();
            let router = RouterSpec {
                index,
                domain: domain.clone(),
                platform: platform_address,
                threads: spec.threads,
                seeds: serde_json::Value::Array(Vec::new()),
            };
            routers.push((launcher.router(&router)?, domain));
        }
        let mut bed = Self {
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
        site::set_vms(bed.platform.address, &bed.routers).await?;
        for (router, _) in &bed.routers {
            site::until_ready(router.operators).await?;
        }
        let calls: Calls = site::read(bed.platform.address, "/v1/calls").await?;
        bed.start = StartCost {
            ready: from.elapsed(),
            reads: calls.reads,
        };
        Ok(bed)
    }

    /// Takes the publisher of configuration changes. Works once.
    ///
    /// # Errors
    /// If it has already been taken.
    pub fn take_publisher(&mut self) -> Result<Publisher, ToolError> {
        self.publisher
            .take()
            .ok_or(ToolError::OutOfBounds("use of the document"))
    }

    /// The client address of the first router.
    pub fn router(&self) -> SocketAddr {
        self.routers[0].0.process.address
    }

    /// The CPU time of the first router so far.
    ///
    /// # Errors
    /// If the process has ended.
    pub fn cpu(&self) -> Result<Duration, ToolError> {
        process::cpu(self.routers[0].0.process.id())
    }

    /// The resident memory of the first router in kilobytes.
    ///
    /// # Errors
    /// If the process has ended.
    pub fn resident(&self) -> Result<u64, ToolError> {
        process::resident(self.routers[0].0.process.id())
    }

    /// Measures for `time`, idle or under a load from elsewhere.
    ///
    /// # Errors
    /// If a process has ended.
    pub async fn measure(&self, time: Duration) -> Result<Rates, ToolError> {
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
            // Each sent byte is also received by another router.
            peer_bytes: 2.0 * each(3) / routers,
            reads: each(4) / routers,
            writes: each(5),
            resident: self.resident()? as f64,
        })
    }

    async fn totals(&self) -> Result<[f64; 6], ToolError> {
        let calls: Calls = site::read(self.platform.address, "/v1/calls").await?;
        let peers: Vec<SocketAddr> = self.routers.iter().map(|(router, _)| router.peers).collect();
        let bytes = |count: &ByteCount| count.load(Ordering::Relaxed) as f64;
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

fn engine_processes(launcher: &Launcher, spec: &TestBedSpec, scenario: &Scenario) -> Result<Vec<Running>, ToolError> {
    let mut remaining = spec.engines;
    let mut processes = Vec::new();
    while remaining > 0 {
        // Small numbers of engines run in separate processes, so that they aren't the bottleneck.
        let copies = if spec.engines <= 12 { 1 } else { remaining.min(COPIES) };
        remaining -= copies;
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
