//! Runs the experiment and prints its tables.

use argh::FromArgs;
use experiment::deployment::{BOARD, KOVACS};
use experiment::policy::{Policy, Settings};
use experiment::table::{self, Comparison, Variant};
use experiment::{cost, scenario};
use std::process::ExitCode;

/// Deterministic simulation of placement and admission.
#[derive(FromArgs)]
struct Options {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Compare(Compare),
    DecisionCost(DecisionCost),
}

/// Compares the policies in all scenarios.
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
struct Compare {
    /// print JSON in place of markdown
    #[argh(switch)]
    json: bool,
    /// only scenarios whose name contains this
    #[argh(option, default = "String::new()")]
    only: String,
    /// only this policy, by its name in the table
    #[argh(option, default = "String::new()")]
    policy: String,
    /// only this deployment
    #[argh(option, default = "String::new()")]
    deployment: String,
    /// number of seeds to average over
    #[argh(option, default = "3")]
    seeds: u64,
    /// concurrent runs
    #[argh(option, default = "4")]
    jobs: usize,
    /// add a row for policy "ours" with these mechanisms off or values changed, separated by commas: hash, learn,
    /// spill, reports, own, speed, or name=figure; may be repeated
    #[argh(option)]
    change: Vec<String>,
    /// blocks an engine can cache
    #[argh(option)]
    cache: Option<usize>,
    /// requests per second at a load of 1; searched if omitted
    #[argh(option)]
    capacity: Option<f64>,
}

/// Measures the cost of one placement decision.
#[derive(FromArgs)]
#[argh(subcommand, name = "decision-cost")]
struct DecisionCost {}

fn main() -> ExitCode {
    let options: Options = argh::from_env();
    match options.command {
        Command::Compare(options) => compare(&options),
        Command::DecisionCost(_) => println!("{}", cost::table()),
    }
    ExitCode::SUCCESS
}

fn compare(options: &Compare) {
    let selected = Policy::ALL
        .into_iter()
        .filter(|policy| policy.name().contains(&options.policy));
    let plain = |policy: Policy| Variant {
        policy,
        settings: Settings::default(),
        name: policy.name().to_owned(),
    };
    let changed = options.change.iter().map(|change| changed(change));
    let variants: Vec<Variant> = selected.map(plain).chain(changed).collect();
    let mut rows = Vec::new();
    let mut loads = String::new();
    for mut deployment in [BOARD, KOVACS]
        .into_iter()
        .filter(|it| it.name.contains(&options.deployment))
    {
        deployment.cache = options.cache.unwrap_or(deployment.cache);
        let comparison = Comparison {
            deployment,
            capacity: options
                .capacity
                .unwrap_or_else(|| scenario::capacity(deployment, CAPACITY_SEED)),
            variants: variants.clone(),
            scenarios: scenario::all()
                .into_iter()
                .filter(|it| it.name.contains(&options.only))
                .collect(),
            seeds: (1..=options.seeds).collect(),
        };
        let load = format!(
            "{}: a load of 1 is {:.1} requests a second. ",
            deployment.name, comparison.capacity
        );
        loads.push_str(&load);
        rows.extend(table::rows(&comparison, options.jobs));
    }
    if options.json {
        println!("{}", serde_json::to_string_pretty(&rows).expect("rows are plain data"));
        return;
    }
    println!("{}\n\n{}", loads.trim_end(), table::markdown(&rows));
}

/// Returns the placer or the oracle with the named changes. Exits on an unknown name, since its row would show no
/// change.
fn changed(names: &str) -> Variant {
    let apply = |settings: Option<Settings>, name: &str| settings.and_then(|settings| settings.changed(name));
    let Some(settings) = names.split(',').fold(Some(Settings::default()), apply) else {
        eprintln!("unknown change: {names}");
        std::process::exit(2);
    };
    let oracle = names.starts_with("oracle");
    let policy = if oracle { Policy::Oracle } else { Policy::Placer };
    Variant {
        policy,
        settings,
        name: format!("{}: {names}", policy.name()),
    }
}

/// Seed of the runs that search the capacity.
const CAPACITY_SEED: u64 = 99;
