//! Measures the router's overhead per request, compared with direct calls to the engine in the same run.

use super::test_bed::{TestBed, TestBedSpec};
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

const MAX_MICROS: u64 = 60_000_000;
const WARM_UP: usize = 500;
const ENGINES: usize = 6;

/// The settings of the measurement.
#[derive(Debug, Clone)]
pub struct OverheadSpec {
    /// Sequential requests on each route.
    pub requests: usize,
    /// Seconds of the run at full speed.
    pub seconds: f64,
    /// Connections of the run at full speed.
    pub connections: usize,
    /// Threads of the router, one run for each.
    pub threads: Vec<usize>,
}

/// The results for one number of threads.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct OverheadRecord {
    /// Threads of the router for traffic.
    pub threads: usize,
    /// One request at a time, directly to the engine.
    pub direct: Times,
    /// One request at a time through the router.
    pub routed: Times,
    /// All connections busy, directly to the engines: requests per second and times.
    pub direct_full: (f64, Times),
    /// All connections busy, through the router.
    pub routed_full: (f64, Times),
    /// CPU time of the router per request in the run at full speed, in microseconds.
    pub cpu_us: f64,
    /// CPU cores used by the router in the run at full speed.
    pub cores: f64,
    /// Failed calls by name. They are not included in rates and times.
    pub failed: Failures,
    /// One-minute load average of the VM at the end.
    pub machine: f64,
}

/// Failures by name.
pub type Failures = BTreeMap<String, u64>;

/// A route from client to engine.
#[derive(Debug, Clone)]
struct Route {
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
        let bed = TestBedSpec {
            engines: ENGINES,
            threads: *threads,
            ..TestBedSpec::small()
        };
        records.push(measure(spec, &TestBed::start(&bed).await?, *threads).await?);
    }
    Ok(records)
}

async fn measure(spec: &OverheadSpec, bed: &TestBed, threads: usize) -> Result<OverheadRecord, ToolError> {
    let model = &bed.scenario.engines.model;
    let body = format!(r#"{{"model":"{model}","prompt":"Is bin 7 dry?","max_tokens":1}}"#);
    let direct = Route {
        to: bed.engines.clone(),
        body: body.clone(),
        key: None,
    };
    let routed = Route {
        to: vec![bed.router()],
        body,
        key: Some(format!("Bearer {}", site::key(0))),
    };
    let mut record = OverheadRecord {
        threads,
        ..OverheadRecord::default()
    };
    sequential(spec, &direct, &routed, &mut record).await?;
    let (full, failed) = full_speed(spec, &direct).await;
    record.direct_full = full;
    add_failures(&mut record.failed, failed);
    let (cpu, from) = (bed.cpu()?, Instant::now());
    let (full, failed) = full_speed(spec, &routed).await;
    let used = bed.cpu()? - cpu;
    let answers = full.1.count + failed.values().sum::<u64>();
    add_failures(&mut record.failed, failed);
    record.machine = load_average();
    record.cores = used.as_secs_f64() / from.elapsed().as_secs_f64();
    record.cpu_us = used.as_secs_f64() * 1e6 / answers.max(1) as f64;
    record.routed_full = full;
    Ok(record)
}

/// Alternates between the routes, so that noise on the VM affects both.
async fn sequential(
    spec: &OverheadSpec,
    direct: &Route,
    routed: &Route,
    record: &mut OverheadRecord,
) -> Result<(), ToolError> {
    let mut clients = [Client::new(direct.to[0]), Client::new(routed.to[0])];
    let mut times = [histogram(), histogram()];
    for number in 0..spec.requests + WARM_UP {
        for (index, route) in [direct, routed].into_iter().enumerate() {
            let from = Instant::now();
            match call(&mut clients[index], route).await {
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

/// Each connection sends its next request as soon as it has an answer.
async fn full_speed(spec: &OverheadSpec, route: &Route) -> ((f64, Times), Failures) {
    let from = Instant::now();
    let deadline = from + Duration::from_secs_f64(spec.seconds);
    let connections = (0..spec.connections).map(|index| {
        let route = route.clone();
        task::spawn(async move {
            let mut client = Client::new(route.to[index % route.to.len()]);
            let (mut times, mut failed) = (histogram(), Failures::new());
            while Instant::now() < deadline {
                let sent = Instant::now();
                match call(&mut client, &route).await {
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

/// Makes a call. Returns the name of the failure if there is no complete answer.
async fn call(client: &mut Client, route: &Route) -> Result<(), String> {
    let request = request(client, route).map_err(|err| err.to_string())?;
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

fn request(client: &Client, route: &Route) -> Result<Request, ClientError> {
    let mut request = client.request(Method::Post, "/v1/completions")?;
    request.set_body(route.body.as_str());
    if let Some(key) = &route.key {
        request.insert_header("authorization", key);
    }
    Ok(request)
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_MICROS, 3).expect("constant bounds")
}

fn record_time(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(u64::try_from(time.as_micros()).unwrap_or(MAX_MICROS).max(1));
}
