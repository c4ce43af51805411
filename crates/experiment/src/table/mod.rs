//! Result tables with one row per scenario and policy.

use crate::deployment::Deployment;
use crate::policy::{Policy, Settings};
use crate::scenario::{self, RunConfig, Scenario, WARM_UP};
use crate::sim::Figures;
use serde::Serialize;
use std::fmt::Write;
use std::sync::atomic::{AtomicUsize, Ordering};

/// One row.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// The deployment.
    pub deployment: &'static str,
    /// The scenario.
    pub scenario: &'static str,
    /// The policy.
    pub policy: String,
    /// Figures over all requests after the warm-up.
    pub figures: Figures,
    /// Share of prompt blocks found in caches, over requests at routers that restarted shortly before; 0 without any.
    pub fresh: f64,
    /// Mean seconds from the last use of a block to its eviction.
    pub idle: f64,
    /// Recomputed blocks as a share of all prompt blocks.
    pub waste: f64,
    /// Share answered in time over all workspaces except the smallest, which is the hot client.
    pub others_in_time: f64,
    /// Requests answered in time, per second.
    pub goodput: f64,
}

/// A policy with its settings, and its name in the table.
#[derive(Debug, Clone)]
pub struct Variant {
    /// The policy.
    pub policy: Policy,
    /// Settings of every router.
    pub settings: Settings,
    /// Name in the table.
    pub name: String,
}

/// The runs that a table compares.
#[derive(Debug, Clone)]
pub struct Comparison {
    /// The deployment.
    pub deployment: Deployment,
    /// Requests per second at a load of 1.
    pub capacity: f64,
    /// The policies.
    pub variants: Vec<Variant>,
    /// The scenarios.
    pub scenarios: Vec<Scenario>,
    /// The seeds over which figures are averaged.
    pub seeds: Vec<u64>,
}

/// Runs every policy through every scenario, with `jobs` concurrent runs.
pub fn rows(comparison: &Comparison, jobs: usize) -> Vec<Row> {
    let runs = comparison.variants.len();
    let cells = comparison.scenarios.len() * runs;
    let cell = |at: usize| {
        let (scenario, variant) = (&comparison.scenarios[at / runs], &comparison.variants[at % runs]);
        let row = |seed: &u64| row(comparison, variant, scenario, *seed);
        mean(&comparison.seeds.iter().map(row).collect::<Vec<Row>>())
    };
    let next = AtomicUsize::new(0);
    let work = || {
        let mine = std::iter::from_fn(|| Some(next.fetch_add(1, Ordering::Relaxed)).filter(|at| *at < cells));
        mine.map(|at| (at, cell(at))).collect::<Vec<(usize, Row)>>()
    };
    let mut rows: Vec<(usize, Row)> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..jobs.max(1)).map(|_| scope.spawn(work)).collect();
        threads
            .into_iter()
            .flat_map(|thread| thread.join().expect("a run does not panic"))
            .collect()
    });
    rows.sort_by_key(|(at, _)| *at);
    rows.into_iter().map(|(_, row)| row).collect()
}

fn row(comparison: &Comparison, variant: &Variant, scenario: &Scenario, seed: u64) -> Row {
    let config = RunConfig {
        deployment: comparison.deployment,
        policy: variant.policy,
        settings: variant.settings.clone(),
        capacity: comparison.capacity,
        seed,
    };
    let record = scenario::run_scenario(&config, scenario);
    let figures = record.figures(|outcome| outcome.sent >= WARM_UP);
    let smallest = config.deployment.workspaces - 1;
    let others = record.figures(|outcome| outcome.sent >= WARM_UP && outcome.workspace != smallest);
    let length = (scenario::LENGTH - WARM_UP).as_secs_f64();
    Row {
        deployment: config.deployment.name,
        scenario: scenario.name,
        policy: variant.name.clone(),
        fresh: record
            .figures(|outcome| outcome.sent >= WARM_UP && outcome.fresh)
            .hit_rate,
        idle: record.idle / record.evicted.max(1) as f64,
        waste: record.waste(),
        others_in_time: others.in_time,
        goodput: figures.in_time * figures.requests as f64 / length,
        figures,
    }
}

fn mean(rows: &[Row]) -> Row {
    let over = |of: fn(&Row) -> f64| rows.iter().map(of).sum::<f64>() / rows.len() as f64;
    let figures = Figures {
        requests: rows.iter().map(|row| row.figures.requests).sum(),
        hit_rate: over(|row| row.figures.hit_rate),
        p50_ms: over(|row| row.figures.p50_ms),
        p99_ms: over(|row| row.figures.p99_ms),
        in_time: over(|row| row.figures.in_time),
        refused: over(|row| row.figures.refused),
    };
    Row {
        figures,
        fresh: over(|row| row.fresh),
        idle: over(|row| row.idle),
        waste: over(|row| row.waste),
        others_in_time: over(|row| row.others_in_time),
        goodput: over(|row| row.goodput),
        ..rows[0].clone()
    }
}

/// Formats the rows as a markdown table.
pub fn markdown(rows: &[Row]) -> String {
    let mut text = String::from(
        "| deployment | scenario | policy | requests | hit rate | of fresh routers | recomputed | TTFT p50 ms | p99 ms | in time | refused | others in time | goodput/s | evicted after s |\n\
         | --- | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n",
    );
    for row in rows {
        let figures = &row.figures;
        writeln!(
            text,
            "| {} | {} | {} | {} | {:.3} | {:.3} | {:.3} | {:.0} | {:.0} | {:.3} | {:.3} | {:.3} | {:.1} | {:.1} |",
            row.deployment,
            row.scenario,
            row.policy,
            figures.requests,
            figures.hit_rate,
            row.fresh,
            row.waste,
            figures.p50_ms,
            figures.p99_ms,
            figures.in_time,
            figures.refused,
            row.others_in_time,
            row.goodput,
            row.idle,
        )
        .expect("writing to a string does not fail");
    }
    text
}
