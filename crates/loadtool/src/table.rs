//! Prints a record as a table.

use crate::run::{Record, Times};

/// The table of a record.
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
