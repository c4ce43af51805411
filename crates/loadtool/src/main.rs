//! `apricotfork-load`: load and experiments against our own stand-ins on loopback.

use argh::FromArgs;
use loadtool::error::ToolError;
use loadtool::run::{Record, RunSpec};
use loadtool::scenario::Scenario;
use loadtool::table::table;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Load and experiments against our own stand-ins on loopback.
#[derive(Debug, FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Run(Run),
}

/// Run deployments with open-loop load and faults; exit code 1 if the accounting finds an error.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "run")]
struct Run {
    /// board, kovacs or both
    #[argh(option, default = "String::from(\"both\")")]
    deployment: String,
    /// a scenario of your own, JSON
    #[argh(option)]
    settings: Option<PathBuf>,
    /// seed of arrivals, prompts and faults
    #[argh(option, default = "1")]
    seed: u64,
    /// seconds during which calls arrive
    #[argh(option, default = "60.0")]
    seconds: f64,
    /// calls a second
    #[argh(option, default = "60.0")]
    rate: f64,
    /// seconds between faults, 0 for none
    #[argh(option, default = "3.0")]
    faults: f64,
    /// folder for the records
    #[argh(option, default = "PathBuf::from(\".\")")]
    out: PathBuf,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let result = match args.command {
        Command::Run(args) => async_std::task::block_on(run(&args)),
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
        let faults = Some(args.faults).filter(|every| *every > 0.0);
        let spec = RunSpec {
            scenario,
            seed: args.seed,
            seconds: args.seconds,
            rate: args.rate,
            faults,
        };
        let record = loadtool::run::run(&spec).await?;
        println!("{}", table(&record));
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
        let text = std::fs::read_to_string(file).map_err(ToolError::io(file.display()))?;
        let scenario = serde_json::from_str(&text).map_err(|err| ToolError::Json(file.display().to_string(), err))?;
        return Ok(vec![scenario]);
    }
    match args.deployment.as_str() {
        "board" => Ok(vec![Scenario::board()]),
        "kovacs" => Ok(vec![Scenario::kovacs()]),
        "both" => Ok(vec![Scenario::board(), Scenario::kovacs()]),
        _ => Err(ToolError::Bound("deployment")),
    }
}

fn write(file: &Path, record: &Record) -> Result<(), ToolError> {
    let text = serde_json::to_vec_pretty(record).map_err(|err| ToolError::Json(file.display().to_string(), err))?;
    std::fs::write(file, text).map_err(ToolError::io(file.display()))
}
