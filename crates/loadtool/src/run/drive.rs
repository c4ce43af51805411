//! Starts a deployment, sends calls on schedule, injects faults and collects the results.

use super::accounting::{ExecutionCounts, check};
use super::balancer::Balancer;
use super::client::{ClientContext, call};
use super::outcome::Outcome;
use super::tally::{Record, Tally};
use crate::error::ToolError;
use crate::faults::{Action, Fault, schedule};
use crate::scenario::Scenario;
use crate::site::{self, EndpointAddresses, Launcher, Router, RouterSpec};
use crate::workload::{Arrival, BLOCK_BYTES, Kind, Prompts, arrivals};
use async_std::task;
use standins::engine::chain;
use standins::process::Running;
use std::sync::Arc;
use std::time::{Duration, Instant};
use wire::platform::Calls;
use wire::service::Executions;

/// Upper bounds of the settings.
const MAX_SECONDS: f64 = 600.0;
const MAX_RATE: f64 = 20_000.0;
const MAX_CALLS: usize = 1_000_000;
/// Traffic threads of each router.
const ROUTER_THREADS: usize = 2;
const BLOCK_TOKENS: u64 = 1024;
/// Maximum wait after the last arrival; longer than all attempts of a call take.
const MAX_DRAIN: Duration = Duration::from_secs(70);

/// The settings of a run.
#[derive(Debug, Clone)]
pub struct RunSpec {
    /// The deployment and its load.
    pub scenario: Scenario,
    /// Seed of arrivals, prompts and faults.
    pub seed: u64,
    /// Seconds during which calls arrive.
    pub seconds: f64,
    /// Calls per second.
    pub rate: f64,
    /// Seconds between faults; `None` for no faults.
    pub faults: Option<f64>,
}

/// A running deployment.
struct Deployment {
    scenario: Scenario,
    launcher: Launcher,
    platform: Running,
    engines: Vec<Running>,
    runners: Vec<Running>,
    routers: Vec<(Router, String)>,
}

/// Runs the load and returns its record.
///
/// # Errors
/// If a process doesn't start or a setting is out of bounds. Violated guarantees are listed in the record.
pub async fn run(spec: &RunSpec) -> Result<Record, ToolError> {
    let arrivals = checked_arrivals(spec)?;
    let folder = tempfile::tempdir().map_err(ToolError::io("a folder"))?;
    let mut site = Deployment::start(&spec.scenario, Launcher::new(folder.path().to_owned())?).await?;
    let context = Arc::new(ClientContext {
        scenario: spec.scenario.clone(),
        prompts: Prompts::new(&spec.scenario, spec.seed),
        balancer: Balancer::new(site.routers.iter().map(|(router, _)| router.process.address).collect()),
        run: format!("run-{}", spec.seed),
    });
    let faults = spec.faults.map_or(Vec::new(), |interval| {
        schedule(&spec.scenario, spec.seed, spec.seconds, interval)
    });
    let start = Instant::now();
    let calls = task::spawn(send_all(context.clone(), arrivals.clone(), start));
    for fault in &faults {
        sleep_until(start + fault.at).await;
        site.apply(fault, &context.balancer).await?;
    }
    let outcomes = calls.await;
    let mut record = tally(spec, &context, &arrivals, &outcomes);
    record.faults = faults.len() as u64;
    site.compare_counts(&mut record, &outcomes, arrivals.len()).await?;
    Ok(record)
}

fn checked_arrivals(spec: &RunSpec) -> Result<Vec<Arrival>, ToolError> {
    if !(0.0..=MAX_SECONDS).contains(&spec.seconds) {
        return Err(ToolError::OutOfBounds("seconds"));
    }
    if !(0.001..=MAX_RATE).contains(&spec.rate) || spec.rate * spec.seconds > MAX_CALLS as f64 {
        return Err(ToolError::OutOfBounds("rate"));
    }
    Ok(arrivals(&spec.scenario, spec.seed, spec.seconds, spec.rate))
}

async fn sleep_until(due: Instant) {
    task::sleep(due.saturating_duration_since(Instant::now())).await;
}

/// Sends each call when it is due, independently of the others, and waits for all outcomes.
async fn send_all(context: Arc<ClientContext>, arrivals: Vec<Arrival>, start: Instant) -> Vec<Outcome> {
    let (done, outcomes) = async_channel::unbounded();
    let calls = arrivals.len();
    for arrival in arrivals {
        let due = start + arrival.at;
        sleep_until(due).await;
        let (context, done) = (context.clone(), done.clone());
        task::spawn(async move {
            let outcome = call(context, arrival, due).await;
            let _ = done.send(outcome).await;
        });
    }
    let deadline = Instant::now() + MAX_DRAIN;
    let mut all = Vec::with_capacity(calls);
    while all.len() < calls {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let Ok(Ok(outcome)) = async_std::future::timeout(remaining, outcomes.recv()).await else {
            break;
        };
        all.push(outcome);
    }
    all
}

fn tally(spec: &RunSpec, context: &ClientContext, arrivals: &[Arrival], outcomes: &[Outcome]) -> Record {
    let mut tally = Tally::new(&spec.scenario.name, (spec.seed, spec.seconds, spec.rate), BLOCK_TOKENS);
    for outcome in outcomes {
        let arrival = &arrivals[outcome.number];
        tally.add(arrival, outcome, &blocks(context, arrival));
    }
    tally.finish()
}

fn blocks(context: &ClientContext, arrival: &Arrival) -> Vec<u64> {
    let Kind::Completion { task, chat, .. } = arrival.kind else {
        return Vec::new();
    };
    let prompt = context.prompts.prompt(arrival.workspace, task, arrival.number, chat);
    let scope = site::workspace(arrival.workspace);
    let seed = [scope.as_str(), context.scenario.engines.model.as_str(), site::WEIGHTS];
    chain(seed, prompt.rendered.as_bytes(), BLOCK_BYTES)
}

impl Deployment {
    async fn start(scenario: &Scenario, launcher: Launcher) -> Result<Self, ToolError> {
        let platform = launcher.standin("standin-platform", &[])?;
        let engine = |index: usize| launcher.standin("standin-engine", &engine_args(scenario, index));
        let engines = (0..scenario.engines.count).map(engine).collect::<Result<Vec<_>, _>>()?;
        let work = ["--work-ms".to_owned(), scenario.service.work_ms.to_string()];
        let runner = |_| launcher.standin("standin-service", &work);
        let runners = (0..scenario.service.count).map(runner).collect::<Result<Vec<_>, _>>()?;
        let addresses = EndpointAddresses {
            engines: engines.iter().map(|engine| engine.address).collect(),
            runners: runners.iter().map(|runner| runner.address).collect(),
        };
        site::publish(platform.address, &site::document(scenario, &addresses)).await?;
        let mut site = Self {
            scenario: scenario.clone(),
            launcher,
            platform,
            engines,
            runners,
            routers: Vec::new(),
        };
        for index in 0..scenario.routers {
            let router = site.start_router(index)?;
            site.routers.push(router);
        }
        site::set_vms(site.platform.address, &site.routers).await?;
        for (router, _) in &site.routers {
            site::until_ready(router.operators).await?;
        }
        Ok(site)
    }

    fn start_router(&self, index: usize) -> Result<(Router, String), ToolError> {
        let domain = self.scenario.domains[index % self.scenario.domains.len()].clone();
        let platform = self.platform.address;
        let spec = RouterSpec {
            index,
            domain: domain.clone(),
            platform,
            threads: ROUTER_THREADS,
            seeds: serde_json::Value::Array(Vec::new()),
        };
        Ok((self.launcher.router(&spec)?, domain))
    }

    async fn apply(&mut self, fault: &Fault, balancer: &Balancer) -> Result<(), ToolError> {
        match &fault.what {
            Action::Engine(index, fault) => site::set_fault(self.engines[*index].address, fault).await,
            Action::Runner(index, fault) => site::set_fault(self.runners[*index].address, fault).await,
            Action::Platform(fault) => site::set_fault(self.platform.address, fault).await,
            Action::Router(index) => {
                let router = self.start_router(*index)?;
                balancer.replace(*index, router.0.process.address);
                // Dropping the old process kills it.
                self.routers[*index] = router;
                site::set_vms(self.platform.address, &self.routers).await
            }
        }
    }

    /// Compares the outcomes with the counts of the stand-ins.
    async fn compare_counts(&self, record: &mut Record, outcomes: &[Outcome], calls: usize) -> Result<(), ToolError> {
        let mut counted = ExecutionCounts::default();
        for runner in &self.runners {
            let executions: Executions = site::read(runner.address, "/v1/executions").await?;
            for (key, count) in executions.by_key {
                *counted.by_key.entry(key).or_default() += count;
            }
            for (request, count) in executions.by_request {
                *counted.by_request.entry(request).or_default() += count;
            }
        }
        let calls_made: Calls = site::read(self.platform.address, "/v1/calls").await?;
        record.platform = (calls_made.reads, calls_made.writes, calls_made.watches);
        record.executions = (counted.by_key.values().sum(), counted.by_request.values().sum());
        record.most_of_key = counted.by_key.values().copied().max().unwrap_or(0);
        record.problems = check(outcomes, calls, &counted)
            .iter()
            .map(ToString::to_string)
            .collect();
        Ok(())
    }
}

fn engine_args(scenario: &Scenario, index: usize) -> Vec<String> {
    let engines = &scenario.engines;
    let named = [
        ("--id", format!("e{index}")),
        ("--model", engines.model.clone()),
        ("--weights", site::WEIGHTS.to_owned()),
        ("--blocks", engines.blocks.to_string()),
        ("--slots", engines.slots.to_string()),
        ("--prefill-rate", engines.prefill_rate.to_string()),
        ("--decode-ms", engines.decode_ms.to_string()),
        ("--seed", index.to_string()),
    ];
    let mut args: Vec<String> = named
        .into_iter()
        .flat_map(|(name, value)| [name.to_owned(), value])
        .collect();
    if engines.fenced {
        args.push("--fenced".to_owned());
    }
    args
}
