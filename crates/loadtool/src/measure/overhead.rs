//! The router's own time per request, against a direct call to the engine in the same run.

use super::stand::{Stand, StandSpec};
use crate::error::ToolError;
use crate::run::Times;
use crate::site;
use async_std::task;
use hdrhistogram::Histogram;
use http_types::{Method, Request};
use serde::{Deserialize, Serialize};
use standins::http::{Client, ClientError};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use wire::client::RefusalBody;

const LONGEST_US: u64 = 60_000_000;
const WARM_UP: usize = 500;
const ENGINES: usize = 6;

/// What to measure.
#[derive(Debug, Clone)]
pub struct OverheadSpec {
    /// Requests one after the other, by each way.
    pub requests: usize,
    /// Seconds of the run at full speed.
    pub seconds: f64,
    /// Connections of the run at full speed.
    pub connections: usize,
    /// Threads of the router, one run for each.
    pub threads: Vec<usize>,
}

/// What was measured with one number of threads.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct OverheadRecord {
    /// Threads of the router for traffic.
    pub threads: usize,
    /// One request at a time, straight to the engine.
    pub direct: Times,
    /// One request at a time through the router.
    pub routed: Times,
    /// All connections busy, straight to the engines: requests a second and times.
    pub direct_full: (f64, Times),
    /// All connections busy, through the router.
    pub routed_full: (f64, Times),
    /// Processor time of the router for a request in the run at full speed, microseconds.
    pub cpu_us: f64,
    /// Cores the router used in the run at full speed.
    pub cores: f64,
    /// Answers that were not whole, by what they were; they count in no rate and no time.
    pub failed: Failures,
    /// Average of running processes on the machine at the end, over a minute.
    pub machine: f64,
}

/// Failures by name.
pub type Failures = BTreeMap<String, u64>;

/// A way that a request can take.
#[derive(Debug, Clone)]
struct Way {
    to: Vec<SocketAddr>,
    body: String,
    key: Option<String>,
}

/// Measures with each number of threads.
///
/// # Errors
/// If a process doesn't start.
pub async fn overhead(spec: &OverheadSpec) -> Result<Vec<OverheadRecord>, ToolError> {
    let mut records = Vec::new();
    for threads in &spec.threads {
        let stand = StandSpec {
            engines: ENGINES,
            threads: *threads,
            ..StandSpec::small()
        };
        records.push(measure(spec, &Stand::start(&stand).await?, *threads).await?);
    }
    Ok(records)
}

async fn measure(spec: &OverheadSpec, stand: &Stand, threads: usize) -> Result<OverheadRecord, ToolError> {
    let model = &stand.scenario.engines.model;
    let body = format!(r#"{{"model":"{model}","prompt":"Is bin 7 dry?","max_tokens":1}}"#);
    let direct = Way {
        to: stand.engines.clone(),
        body: body.clone(),
        key: None,
    };
    let routed = Way {
        to: vec![stand.router()],
        body,
        key: Some(format!("Bearer {}", site::key(0))),
    };
    let mut record = OverheadRecord {
        threads,
        ..OverheadRecord::default()
    };
    one_by_one(spec, &direct, &routed, &mut record).await?;
    let (full, failed) = full_speed(spec, &direct).await;
    record.direct_full = full;
    add_failures(&mut record.failed, failed);
    let (cpu, from) = (stand.cpu()?, Instant::now());
    let (full, failed) = full_speed(spec, &routed).await;
    let used = stand.cpu()? - cpu;
    let answers = full.1.count + failed.values().sum::<u64>();
    add_failures(&mut record.failed, failed);
    record.machine = load_average();
    record.cores = used.as_secs_f64() / from.elapsed().as_secs_f64();
    record.cpu_us = used.as_secs_f64() * 1e6 / answers.max(1) as f64;
    record.routed_full = full;
    Ok(record)
}

/// Turn and turn about, so that a noisy moment of the machine meets both ways.
async fn one_by_one(
    spec: &OverheadSpec,
    direct: &Way,
    routed: &Way,
    record: &mut OverheadRecord,
) -> Result<(), ToolError> {
    let mut clients = [Client::new(direct.to[0]), Client::new(routed.to[0])];
    let mut times = [histogram(), histogram()];
    for number in 0..spec.requests + WARM_UP {
        for (index, way) in [direct, routed].into_iter().enumerate() {
            let from = Instant::now();
            match call(&mut clients[index], way).await {
                Ok(()) if number >= WARM_UP => record_time(&mut times[index], from.elapsed()),
                Ok(()) => (),
                Err(name) => *record.failed.entry(name).or_default() += 1,
            }
        }
    }
    record.direct = Times::of(&times[0]);
    record.routed = Times::of(&times[1]);
    Ok(())
}

/// Every connection sends its next request when it has its answer.
async fn full_speed(spec: &OverheadSpec, way: &Way) -> ((f64, Times), Failures) {
    let from = Instant::now();
    let ends = from + Duration::from_secs_f64(spec.seconds);
    let connections = (0..spec.connections).map(|index| {
        let way = way.clone();
        task::spawn(async move {
            let mut client = Client::new(way.to[index % way.to.len()]);
            let (mut times, mut failed) = (histogram(), Failures::new());
            while Instant::now() < ends {
                let sent = Instant::now();
                match call(&mut client, &way).await {
                    Ok(()) => record_time(&mut times, sent.elapsed()),
                    Err(name) => *failed.entry(name).or_default() += 1,
                }
            }
            (times, failed)
        })
    });
    let mut all = histogram();
    let mut failed = Failures::new();
    for (times, failures) in futures::future::join_all(connections).await {
        all.add(&times).expect("the same bounds");
        add_failures(&mut failed, failures);
    }
    let rate = all.len() as f64 / from.elapsed().as_secs_f64();
    ((rate, Times::of(&all)), failed)
}

fn add_failures(all: &mut Failures, more: Failures) {
    for (name, count) in more {
        *all.entry(name).or_default() += count;
    }
}

/// Makes a call; the name of what it was instead of a whole answer.
async fn call(client: &mut Client, way: &Way) -> Result<(), String> {
    let request = request(client, way).map_err(|err| err.to_string())?;
    let failed = match client.call(request).await {
        Ok(answer) if answer.status() == 200 => return Ok(()),
        Ok(answer) => answer.json::<RefusalBody>().map_or("unreadable".to_owned(), |body| {
            format!("{}: {}", body.error.code, body.error.message)
        }),
        Err(_) => "broken".to_owned(),
    };
    Err(failed)
}

fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace()
        .next()
        .and_then(|average| average.parse().ok())
        .unwrap_or(0.0)
}

fn request(client: &Client, way: &Way) -> Result<Request, ClientError> {
    let mut request = client.request(Method::Post, "/v1/completions")?;
    request.set_body(way.body.as_str());
    if let Some(key) = &way.key {
        request.insert_header("authorization", key);
    }
    Ok(request)
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(LONGEST_US, 3).expect("constant bounds")
}

fn record_time(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(u64::try_from(time.as_micros()).unwrap_or(LONGEST_US).max(1));
}
