//! Starts a deployment, sends the calls when they are due, turns the fault switches, and counts.

use super::accounting::{Counted, check};
use super::balancer::Balancer;
use super::caller::{Callers, call};
use super::outcome::Outcome;
use super::tally::{Record, Tally};
use crate::error::ToolError;
use crate::faults::{Fault, What, schedule};
use crate::scenario::Scenario;
use crate::site::{self, Launcher, Places, Router, RouterSpec};
use crate::workload::{Arrival, BLOCK_BYTES, Kind, Prompts, arrivals};
use async_std::task;
use standins::engine::chain;
use standins::process::Running;
use std::sync::Arc;
use std::time::{Duration, Instant};
use wire::platform::Calls;
use wire::service::Executions;

/// Bounds of the tool.
const MOST_SECONDS: f64 = 600.0;
const MOST_RATE: f64 = 20_000.0;
const MOST_CALLS: usize = 1_000_000;
/// Routers of a run have this many threads for traffic.
const ROUTER_THREADS: usize = 2;
const BLOCK_TOKENS: u64 = 1024;
/// Between the last arrival and the counting: longer than all attempts of a call take.
const LONGEST_END: Duration = Duration::from_secs(70);

/// What to run.
#[derive(Debug, Clone)]
pub struct RunSpec {
    /// The deployment and its load.
    pub scenario: Scenario,
    /// Seed of arrivals, prompts and faults.
    pub seed: u64,
    /// How long calls arrive.
    pub seconds: f64,
    /// Calls a second.
    pub rate: f64,
    /// Seconds between faults; none without.
    pub faults: Option<f64>,
}

/// A deployment that runs.
struct Site {
    scenario: Scenario,
    launcher: Launcher,
    platform: Running,
    engines: Vec<Running>,
    runners: Vec<Running>,
    routers: Vec<(Router, String)>,
}

/// Runs and counts.
///
/// # Errors
/// If a process doesn't start or a bound is passed; broken promises stand in the record.
pub async fn run(spec: &RunSpec) -> Result<Record, ToolError> {
    let arrivals = bounded(spec)?;
    let folder = tempfile::tempdir().map_err(ToolError::io("a folder"))?;
    let mut site = Site::start(&spec.scenario, Launcher::new(folder.path().to_owned())?).await?;
    let callers = Arc::new(Callers {
        scenario: spec.scenario.clone(),
        prompts: Prompts::new(&spec.scenario, spec.seed),
        balancer: Balancer::new(site.routers.iter().map(|(router, _)| router.process.address).collect()),
        run: format!("run-{}", spec.seed),
    });
    let faults = spec.faults.map_or(Vec::new(), |every| {
        schedule(&spec.scenario, spec.seed, spec.seconds, every)
    });
    let start = Instant::now();
    let calls = task::spawn(send_all(callers.clone(), arrivals.clone(), start));
    for fault in &faults {
        sleep_until(start + fault.at).await;
        site.apply(fault, &callers.balancer).await?;
    }
    let outcomes = calls.await;
    let mut record = tally(spec, &callers, &arrivals, &outcomes);
    record.faults = faults.len() as u64;
    site.count(&mut record, &outcomes, arrivals.len()).await?;
    Ok(record)
}

fn bounded(spec: &RunSpec) -> Result<Vec<Arrival>, ToolError> {
    if !(0.0..=MOST_SECONDS).contains(&spec.seconds) {
        return Err(ToolError::Bound("seconds"));
    }
    if !(0.001..=MOST_RATE).contains(&spec.rate) || spec.rate * spec.seconds > MOST_CALLS as f64 {
        return Err(ToolError::Bound("rate"));
    }
    Ok(arrivals(&spec.scenario, spec.seed, spec.seconds, spec.rate))
}

async fn sleep_until(due: Instant) {
    task::sleep(due.saturating_duration_since(Instant::now())).await;
}

/// Sends each call when it is due, however the others fare, and waits for all.
async fn send_all(callers: Arc<Callers>, arrivals: Vec<Arrival>, start: Instant) -> Vec<Outcome> {
    let (done, outcomes) = async_channel::unbounded();
    let calls = arrivals.len();
    for arrival in arrivals {
        let due = start + arrival.at;
        sleep_until(due).await;
        let (callers, done) = (callers.clone(), done.clone());
        task::spawn(async move {
            let outcome = call(callers, arrival, due).await;
            let _ = done.send(outcome).await;
        });
    }
    let ends = Instant::now() + LONGEST_END;
    let mut all = Vec::with_capacity(calls);
    while all.len() < calls {
        let left = ends.saturating_duration_since(Instant::now());
        let Ok(Ok(outcome)) = async_std::future::timeout(left, outcomes.recv()).await else {
            break;
        };
        all.push(outcome);
    }
    all
}

fn tally(spec: &RunSpec, callers: &Callers, arrivals: &[Arrival], outcomes: &[Outcome]) -> Record {
    let mut tally = Tally::new(&spec.scenario.name, (spec.seed, spec.seconds, spec.rate), BLOCK_TOKENS);
    for outcome in outcomes {
        let arrival = &arrivals[outcome.number];
        tally.add(arrival, outcome, &blocks(callers, arrival));
    }
    tally.finish()
}

fn blocks(callers: &Callers, arrival: &Arrival) -> Vec<u64> {
    let Kind::Completion { task, chat, .. } = arrival.kind else {
        return Vec::new();
    };
    let prompt = callers.prompts.prompt(arrival.workspace, task, arrival.number, chat);
    let scope = site::workspace(arrival.workspace);
    let seed = [scope.as_str(), callers.scenario.engines.model.as_str(), site::WEIGHTS];
    chain(seed, prompt.rendered.as_bytes(), BLOCK_BYTES)
}

impl Site {
    async fn start(scenario: &Scenario, launcher: Launcher) -> Result<Self, ToolError> {
        let platform = launcher.standin("standin-platform", &[])?;
        let engine = |index: usize| launcher.standin("standin-engine", &engine_args(scenario, index));
        let engines = (0..scenario.engines.count).map(engine).collect::<Result<Vec<_>, _>>()?;
        let work = ["--work-ms".to_owned(), scenario.service.work_ms.to_string()];
        let runner = |_| launcher.standin("standin-service", &work);
        let runners = (0..scenario.service.count).map(runner).collect::<Result<Vec<_>, _>>()?;
        let places = Places {
            engines: engines.iter().map(|engine| engine.address).collect(),
            runners: runners.iter().map(|runner| runner.address).collect(),
        };
        site::publish(platform.address, &site::document(scenario, &places)).await?;
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
            What::Engine(index, fault) => site::set_fault(self.engines[*index].address, fault).await,
            What::Runner(index, fault) => site::set_fault(self.runners[*index].address, fault).await,
            What::Platform(fault) => site::set_fault(self.platform.address, fault).await,
            What::Router(index) => {
                let router = self.start_router(*index)?;
                balancer.replace(*index, router.0.process.address);
                // The old process is killed as it is dropped here.
                self.routers[*index] = router;
                site::set_vms(self.platform.address, &self.routers).await
            }
        }
    }

    /// Compares with what the stand-ins counted.
    async fn count(&self, record: &mut Record, outcomes: &[Outcome], calls: usize) -> Result<(), ToolError> {
        let mut counted = Counted::default();
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
