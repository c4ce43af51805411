//! Formats records as text tables.

use crate::measure::{OverheadRecord, Series, SpreadRecord};
use crate::run::{Record, Times};

/// Formats the record of a run.
pub fn table(record: &Record) -> String {
    let (seed, seconds, rate) = record.drawn;
    let mut lines = vec![
        format!(
            "{}: seed {seed}, {seconds} s at {rate} calls/s, {} fault switches",
            record.name, record.faults
        ),
        format!("  {:<34}{:>10}{:>10}{:>10}", "calls", "made", "whole", "%"),
    ];
    for (kind, (calls, whole)) in &record.kinds {
        lines.push(format!(
            "  {kind:<34}{calls:>10}{whole:>10}{:>10.2}",
            percent(*whole, *calls)
        ));
    }
    lines.push(format!(
        "  {:<34}{:>10}{:>10}{:>10}{:>10}",
        "milliseconds", "p50", "p95", "p99", "max"
    ));
    lines.push(times("time to first token", &record.first_token));
    lines.push(times("whole completion", &record.completion));
    lines.push(times("service call", &record.service));
    let hit = percent(record.cached_tokens, record.prompt_tokens);
    let recomputed = percent(record.recomputed_tokens, record.prompt_tokens);
    lines.push(format!(
        "  prompt tokens found in a cache {hit:.1} %, computed again {recomputed:.1} %"
    ));
    for (what, counts) in [
        ("attempts", &record.attempts),
        ("calls without whole answer", &record.failures),
    ] {
        let counted: Vec<String> = counts.iter().map(|(name, count)| format!("{name} {count}")).collect();
        lines.push(format!("  {what}: {}", counted.join(", ")));
    }
    let (keys, requests) = record.executions;
    lines.push(format!(
        "  executions: {keys} of keys (most of one: {}), {requests} of requests",
        record.most_of_key
    ));
    let (reads, writes, watches) = record.platform;
    lines.push(format!(
        "  platform: {reads} reads ({watches} watches), {writes} writes"
    ));
    lines.push(format!("  accounting: {} errors", record.problems.len()));
    lines.extend(record.problems.iter().take(20).map(|problem| format!("    {problem}")));
    lines.join("\n")
}

fn times(name: &str, times: &Times) -> String {
    format!(
        "  {name:<34}{:>10.1}{:>10.1}{:>10.1}{:>10.1}",
        times.p50, times.p95, times.p99, times.max
    )
}

fn percent(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        0.0
    } else {
        100.0 * part as f64 / whole as f64
    }
}

/// Formats one measurement of the router's overhead.
pub fn overhead(record: &OverheadRecord) -> String {
    let micros = |times: &Times| format!("p50 {:.0} µs, p99 {:.0} µs", times.p50 * 1000.0, times.p99 * 1000.0);
    let added = |at: fn(&Times) -> f64| (at(&record.routed) - at(&record.direct)) * 1000.0;
    let full = |(rate, times): &(f64, Times)| format!("{rate:.0} requests/s, {}", micros(times));
    let lines = [
        format!(
            "router with {} threads, answers not whole: {:?}",
            record.threads, record.failed
        ),
        format!("  one at a time, direct: {}", micros(&record.direct)),
        format!("  one at a time, routed: {}", micros(&record.routed)),
        format!(
            "  added: {:.0} µs at the median, {:.0} µs at p99",
            added(|times| times.p50),
            added(|times| times.p99)
        ),
        format!("  full speed, direct: {}", full(&record.direct_full)),
        format!("  full speed, routed: {}", full(&record.routed_full)),
        format!(
            "  router at full speed: {:.1} µs of processor an answer, {:.2} cores; load of the machine {:.1}",
            record.cpu_us, record.cores, record.machine
        ),
    ];
    lines.join("\n")
}

/// Formats one series with its points, fitted line and residuals.
pub fn series(series: &Series) -> String {
    let mut lines = vec![format!("{}: {} over {}", series.sweep, series.y, series.x)];
    match &series.fit {
        Some(fit) => {
            lines.push(format!("  = {:.4} + {:.6} x", fit.intercept, fit.slope));
            for ((x, y), residual) in series.points.iter().zip(&fit.residuals) {
                lines.push(format!("  {x:>12.1}{y:>16.3}{residual:>14.3}"));
            }
        }
        None => lines.push("  no line".to_owned()),
    }
    lines.join("\n")
}

/// Formats the measurement of configuration changes.
pub fn spread(record: &SpreadRecord) -> String {
    let line = |name: &str, (median, most, last): (f64, f64, f64)| {
        format!("  {name}: median {median:.1} ms, 99 % {most:.1} ms, last {last:.1} ms")
    };
    let mut lines = vec![
        format!("{} changes, {} routers", record.changes, record.routers),
        line("in force, platform in reach", record.reached),
    ];
    lines.extend(record.cut.map(|cut| line("in force, cut from the platform", cut)));
    lines.push(format!(
        "  calls to the platform a change, pauses and the operator's included: {:.1}",
        record.calls
    ));
    lines.join("\n")
}
