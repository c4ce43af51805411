//! An HTML page that compares two runs: a table, and plots of latency and of answers over time.

mod plot;

use crate::error::ToolError;
use crate::run::Record;
use plot::{Curve, draw};

/// Renders the page for two records.
///
/// # Errors
/// If a plot can't be drawn.
pub fn page(left: (&str, &Record), right: (&str, &Record)) -> Result<String, ToolError> {
    let both = [left, right];
    let first = both.map(|(name, record)| Curve {
        name,
        points: latency(record),
    });
    let complete = both.map(|(name, record)| Curve {
        name,
        points: answered(record),
    });
    let worst = both.map(|(name, record)| Curve {
        name,
        points: slowest(record),
    });
    let plots = [
        draw("Time to first token by share of streams", "% of streams", "ms", &first)?,
        draw("Whole answers by second of arrival", "s", "% of calls", &complete)?,
        draw("Longest time to first token by second of arrival", "s", "ms", &worst)?,
    ];
    let head = "<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Two runs</title><style>\
                body{font-family:sans-serif;max-width:60em;margin:2em auto}td,th{padding:.2em 1em;text-align:right}\
                td:first-child{text-align:left}</style></head><body><h1>Two runs</h1>";
    Ok(format!(
        "{head}{}{}</body></html>\n",
        table(left, right),
        plots.concat()
    ))
}

/// The name of a row and the function that formats its cell.
type Row = (&'static str, fn(&Record) -> String);

fn latency(record: &Record) -> Vec<(f64, f64)> {
    record
        .first_token
        .curve
        .iter()
        .map(|(quantile, ms)| (quantile * 100.0, *ms))
        .collect()
}

fn answered(record: &Record) -> Vec<(f64, f64)> {
    let seconds = record.seconds.iter().enumerate().filter(|(_, second)| second.calls > 0);
    seconds
        .map(|(at, second)| (at as f64, 100.0 * second.whole as f64 / second.calls as f64))
        .collect()
}

fn slowest(record: &Record) -> Vec<(f64, f64)> {
    record
        .seconds
        .iter()
        .enumerate()
        .map(|(at, second)| (at as f64, second.first_max))
        .collect()
}

fn table(left: (&str, &Record), right: (&str, &Record)) -> String {
    let rows: [Row; 11] = [
        ("scenario", |record| record.name.clone()),
        ("seed", |record| record.drawn.0.to_string()),
        ("calls/s", |record| record.drawn.2.to_string()),
        ("fault switches", |record| record.faults.to_string()),
        ("calls with whole answer, %", |record| {
            percent(whole(record), calls(record))
        }),
        ("time to first token p50, ms", |record| {
            format!("{:.1}", record.first_token.p50)
        }),
        ("time to first token p95, ms", |record| {
            format!("{:.1}", record.first_token.p95)
        }),
        ("time to first token p99, ms", |record| {
            format!("{:.1}", record.first_token.p99)
        }),
        ("prompt tokens found in a cache, %", |record| {
            percent(record.cached_tokens, record.prompt_tokens)
        }),
        ("prompt tokens computed again, %", |record| {
            percent(record.recomputed_tokens, record.prompt_tokens)
        }),
        ("errors of the accounting", |record| record.problems.len().to_string()),
    ];
    let mut html = format!(
        "<table><tr><th></th><th>{}</th><th>{}</th></tr>",
        escape(left.0),
        escape(right.0)
    );
    for (name, cell) in rows {
        let cells = [cell(left.1), cell(right.1)]
            .map(|text| format!("<td>{}</td>", escape(&text)))
            .concat();
        html.push_str(&format!("<tr><td>{name}</td>{cells}</tr>"));
    }
    html.push_str("</table>");
    html
}

fn calls(record: &Record) -> u64 {
    record.kinds.values().map(|(calls, _)| calls).sum()
}

fn whole(record: &Record) -> u64 {
    record.kinds.values().map(|(_, whole)| whole).sum()
}

fn percent(part: u64, whole: u64) -> String {
    if whole == 0 {
        "none".to_owned()
    } else {
        format!("{:.2}", 100.0 * part as f64 / whole as f64)
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;")
}
