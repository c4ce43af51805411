//! `apricotfork-load`: load tests and measurements against the stand-ins on loopback.

use argh::FromArgs;
use async_std::task::block_on;
use loadtool::error::ToolError;
use loadtool::measure::{OverheadSpec, SlopeSpec, SpreadSpec, overhead, slopes, spread};
use loadtool::run::{Record, RunSpec};
use loadtool::scenario::Scenario;
use loadtool::table;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const MAX_REQUESTS: usize = 200_000;
const MAX_SECONDS: f64 = 60.0;
const MAX_CONNECTIONS: usize = 1024;
const MAX_DOMAINS: usize = 8;
const MAX_ROUTERS: usize = 12;
const MAX_CHANGES: u64 = 200;

/// Load tests and measurements against the stand-ins on loopback.
#[derive(Debug, FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Demo(Demo),
    Run(Run),
    Overhead(Overhead),
    Slopes(Slopes),
    Spread(Spread),
    Report(Report),
}

/// Start a complete deployment on loopback, print curl commands and wait for Ctrl-C.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
struct Demo {}

/// Run deployments with open-loop load and faults; exit code 1 if the accounting finds an error.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "run")]
struct Run {
    /// board, kovacs or both
    #[argh(option, default = "String::from(\"both\")")]
    deployment: String,
    /// JSON file with a custom scenario
    #[argh(option)]
    settings: Option<PathBuf>,
    /// seed of arrivals, prompts and faults
    #[argh(option, default = "1")]
    seed: u64,
    /// seconds during which calls arrive
    #[argh(option, default = "60.0")]
    seconds: f64,
    /// calls per second
    #[argh(option, default = "60.0")]
    rate: f64,
    /// seconds between faults, 0 for none
    #[argh(option, default = "3.0")]
    faults: f64,
    /// folder for the records
    #[argh(option, default = "PathBuf::from(\".\")")]
    out: PathBuf,
}

/// Measure the router's overhead per request compared with a direct call to the engine.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "overhead")]
struct Overhead {
    /// sequential requests on each route
    #[argh(option, default = "10000")]
    requests: usize,
    /// seconds of the run at full speed
    #[argh(option, default = "5.0")]
    seconds: f64,
    /// connections of the run at full speed
    #[argh(option, default = "64")]
    connections: usize,
    /// file for the record
    #[argh(option, default = "PathBuf::from(\"overhead.json\")")]
    out: PathBuf,
}

/// Measure how the cost of one router grows with peers, endpoints, blocks, requests, pieces, claims and configuration.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "slopes")]
struct Slopes {
    /// seconds per data point
    #[argh(option, default = "6.0")]
    seconds: f64,
    /// only this sweep; may be given several times
    #[argh(option)]
    only: Vec<String>,
    /// file for the record
    #[argh(option, default = "PathBuf::from(\"slopes.json\")")]
    out: PathBuf,
}

/// Measure how long a configuration change takes to become active on all routers.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "spread")]
struct Spread {
    /// failure domains
    #[argh(option, default = "4")]
    domains: usize,
    /// routers per failure domain
    #[argh(option, default = "4")]
    routers: usize,
    /// number of sequential changes
    #[argh(option, default = "20")]
    changes: u64,
    /// disconnect the last domain from the platform
    #[argh(switch)]
    cut: bool,
}

/// Compare the records of two runs in an HTML page.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "report")]
struct Report {
    /// record of one run
    #[argh(positional)]
    left: PathBuf,
    /// record of the other
    #[argh(positional)]
    right: PathBuf,
    /// file for the page
    #[argh(option, default = "PathBuf::from(\"report.html\")")]
    out: PathBuf,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let result = match args.command {
        Command::Demo(_) => block_on(loadtool::demo::demo()),
        Command::Run(args) => block_on(run(&args)),
        Command::Overhead(args) => block_on(measure_overhead(&args)),
        Command::Slopes(args) => block_on(measure_slopes(&args)),
        Command::Spread(args) => block_on(measure_spread(&args)),
        Command::Report(args) => report(&args),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{err}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: &Run) -> Result<(), ToolError> {
    let mut problems = 0;
    for scenario in scenarios(args)? {
        let faults = Some(args.faults).filter(|interval| *interval > 0.0);
        let spec = RunSpec {
            scenario,
            seed: args.seed,
            seconds: args.seconds,
            rate: args.rate,
            faults,
        };
        let record = loadtool::run::run(&spec).await?;
        println!("{}", table::table(&record));
        write(&args.out.join(format!("run-{}.json", record.name)), &record)?;
        problems += record.problems.len();
    }
    if problems > 0 {
        Err(ToolError::Accounting(problems))
    } else {
        Ok(())
    }
}

fn scenarios(args: &Run) -> Result<Vec<Scenario>, ToolError> {
    if let Some(file) = &args.settings {
        return Ok(vec![read(file)?]);
    }
    match args.deployment.as_str() {
        "board" => Ok(vec![Scenario::board()]),
        "kovacs" => Ok(vec![Scenario::kovacs()]),
        "both" => Ok(vec![Scenario::board(), Scenario::kovacs()]),
        _ => Err(ToolError::OutOfBounds("deployment")),
    }
}

async fn measure_overhead(args: &Overhead) -> Result<(), ToolError> {
    let spec = OverheadSpec {
        requests: args.requests.min(MAX_REQUESTS),
        seconds: args.seconds.min(MAX_SECONDS),
        connections: args.connections.min(MAX_CONNECTIONS),
        threads: vec![1, 4],
    };
    let records = overhead(&spec).await?;
    records
        .iter()
        .for_each(|record| println!("{}", table::overhead(record)));
    write(&args.out, &records)
}

async fn measure_slopes(args: &Slopes) -> Result<(), ToolError> {
    let spec = SlopeSpec {
        seconds: args.seconds.min(MAX_SECONDS),
        only: args.only.clone(),
    };
    let series = slopes(&spec, |series| println!("{}", table::series(series))).await?;
    write(&args.out, &series)
}

async fn measure_spread(args: &Spread) -> Result<(), ToolError> {
    let spec = SpreadSpec {
        domains: args.domains.clamp(1, MAX_DOMAINS),
        routers: args.routers.clamp(1, MAX_ROUTERS),
        changes: args.changes.clamp(1, MAX_CHANGES),
        cut: args.cut,
    };
    println!("{}", table::spread(&spread(&spec).await?));
    Ok(())
}

fn report(args: &Report) -> Result<(), ToolError> {
    let left: Record = read(&args.left)?;
    let right: Record = read(&args.right)?;
    let names = [args.left.display().to_string(), args.right.display().to_string()];
    let page = loadtool::report::page((&names[0], &left), (&names[1], &right))?;
    std::fs::write(&args.out, page).map_err(ToolError::io(args.out.display()))
}

fn read<T: DeserializeOwned>(file: &Path) -> Result<T, ToolError> {
    let text = std::fs::read_to_string(file).map_err(ToolError::io(file.display()))?;
    serde_json::from_str(&text).map_err(|err| ToolError::Json(file.display().to_string(), err))
}

fn write<T: Serialize>(file: &Path, record: &T) -> Result<(), ToolError> {
    let text = serde_json::to_vec_pretty(record).map_err(|err| ToolError::Json(file.display().to_string(), err))?;
    std::fs::write(file, text).map_err(ToolError::io(file.display()))
}
