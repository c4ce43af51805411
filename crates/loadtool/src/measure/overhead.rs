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
use std::net::SocketAddr;
use std::time::{Duration, Instant};

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
    /// Answers that were not whole.
    pub failed: u64,
}

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
    record.failed += failed;
    let (cpu, from) = (stand.cpu()?, Instant::now());
    let (full, failed) = full_speed(spec, &routed).await;
    let used = stand.cpu()? - cpu;
    record.failed += failed;
    record.cores = used.as_secs_f64() / from.elapsed().as_secs_f64();
    record.cpu_us = used.as_secs_f64() * 1e6 / full.1.count.max(1) as f64;
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
            let whole = call(&mut clients[index], way).await;
            if !whole {
                record.failed += 1;
            } else if number >= WARM_UP {
                record_time(&mut times[index], from.elapsed());
            }
        }
    }
    record.direct = Times::of(&times[0]);
    record.routed = Times::of(&times[1]);
    Ok(())
}

/// Every connection sends its next request when it has its answer.
async fn full_speed(spec: &OverheadSpec, way: &Way) -> ((f64, Times), u64) {
    let from = Instant::now();
    let ends = from + Duration::from_secs_f64(spec.seconds);
    let connections = (0..spec.connections).map(|index| {
        let way = way.clone();
        task::spawn(async move {
            let mut client = Client::new(way.to[index % way.to.len()]);
            let (mut times, mut failed) = (histogram(), 0);
            while Instant::now() < ends {
                let sent = Instant::now();
                if call(&mut client, &way).await {
                    record_time(&mut times, sent.elapsed());
                } else {
                    failed += 1;
                }
            }
            (times, failed)
        })
    });
    let mut all = histogram();
    let mut failed = 0;
    for (times, failures) in futures::future::join_all(connections).await {
        all.add(&times).expect("the same bounds");
        failed += failures;
    }
    let rate = all.len() as f64 / from.elapsed().as_secs_f64();
    ((rate, Times::of(&all)), failed)
}

async fn call(client: &mut Client, way: &Way) -> bool {
    let Ok(request) = request(client, way) else {
        return false;
    };
    let whole = client.call(request).await.is_ok_and(|answer| answer.status() == 200);
    if !whole {
        client.close();
    }
    whole
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
