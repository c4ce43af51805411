//! Measures how the cost of one router grows with peers, endpoints, blocks, requests, pieces, claims and configuration.

use super::fit::fit;
use super::load::{Load, send};
use super::slopes::{Series, Sweep};
use super::test_bed::{Rates, TestBed, TestBedSpec};
use crate::error::ToolError;
use async_std::task;
use config::Section;
use serde_json::{Map, json};
use std::time::Duration;

/// Wait after the start, so that the startup is not measured.
const SETTLE: Duration = Duration::from_secs(2);
/// Wait until all routers have discovered each other. In the first seconds each costs ten times as much as when idle.
const FLEET_SETTLE: Duration = Duration::from_secs(12);

/// Runs the sweep with this name.
pub(super) async fn sweep(name: &str, time: Duration) -> Result<Sweep, ToolError> {
    match name {
        "domain" => domain(time).await,
        "peers" => peers(time).await,
        "endpoints" => endpoints(time).await,
        "requests" => requests(time).await,
        "busy" => busy(time).await,
        "prompts" => prompts(time).await,
        "pieces" => pieces(time).await,
        "claims" => claims(time).await,
        "blocks" => blocks().await,
        "documents" => documents(time).await,
        _ => changes(time).await,
    }
}

/// Measures the simultaneous start of routers. The times are slightly too long, since readiness is polled.
pub async fn starts() -> Result<Vec<Series>, ToolError> {
    let (mut ready, mut reads) = (Vec::new(), Vec::new());
    for routers in [1, 5, 11, 22] {
        let bed = TestBed::start(&TestBedSpec {
            routers,
            ..TestBedSpec::small()
        })
        .await?;
        ready.push((routers as f64, bed.start.ready.as_secs_f64() * 1000.0));
        reads.push((routers as f64, bed.start.reads as f64));
    }
    let series = |y: &str, points: Vec<(f64, f64)>| Series {
        sweep: "starts".to_owned(),
        x: "routers started at once".to_owned(),
        y: y.to_owned(),
        fit: fit(&points),
        points,
    };
    Ok(vec![
        series("until the last is ready, ms", ready),
        series("reads at the platform until then", reads),
    ])
}

/// Measures an idle failure domain of growing size, up to that of the fleet: 22 routers and 400 engines.
async fn domain(time: Duration) -> Result<Sweep, ToolError> {
    let mut points = Vec::new();
    for (routers, engines) in [(2, 36), (5, 91), (11, 200), (16, 291), (22, 400)] {
        let spec = TestBedSpec {
            routers,
            engines,
            relays: true,
            ..TestBedSpec::small()
        };
        let bed = TestBed::start(&spec).await?;
        task::sleep(FLEET_SETTLE).await;
        points.push((routers as f64, bed.measure(time).await?));
    }
    Ok(Sweep {
        name: "domain",
        x: "routers of a failure domain with 18 engines for each",
        points,
    })
}

/// Measures idle routers of one failure domain.
async fn peers(time: Duration) -> Result<Sweep, ToolError> {
    let mut points = Vec::new();
    for routers in [2, 5, 8, 14, 22] {
        let bed = TestBed::start(&TestBedSpec {
            routers,
            relays: true,
            ..TestBedSpec::small()
        })
        .await?;
        task::sleep(SETTLE).await;
        points.push((routers as f64, bed.measure(time).await?));
    }
    Ok(Sweep {
        name: "peers",
        x: "routers of a failure domain",
        points,
    })
}

/// Measures one idle router with a growing number of endpoints.
async fn endpoints(time: Duration) -> Result<Sweep, ToolError> {
    let mut points = Vec::new();
    for engines in [13, 50, 100, 200, 400] {
        let bed = TestBed::start(&TestBedSpec {
            engines,
            relays: true,
            ..TestBedSpec::small()
        })
        .await?;
        task::sleep(SETTLE).await;
        points.push((engines as f64, bed.measure(time).await?));
    }
    Ok(Sweep {
        name: "endpoints",
        x: "engines",
        points,
    })
}

async fn loaded(
    time: Duration,
    name: &'static str,
    x: &'static str,
    loads: &[(f64, Load)],
) -> Result<Sweep, ToolError> {
    let mut points = Vec::new();
    for (rate, load) in loads {
        let bed = TestBed::start(&TestBedSpec::small()).await?;
        task::sleep(SETTLE).await;
        let sending = send(&bed, *load, *rate, time + SETTLE);
        let watching = async {
            task::sleep(SETTLE / 2).await;
            bed.measure(time).await
        };
        let (sent, rates) = futures::join!(sending, watching);
        // Uses the measured rate, because a busy VM sends late.
        points.push((sent * load.units(), rates?));
    }
    Ok(Sweep { name, x, points })
}

/// Measures request rates that are typical of one of many small VMs.
async fn requests(time: Duration) -> Result<Sweep, ToolError> {
    let loads = [0.0, 25.0, 50.0, 100.0, 200.0, 300.0].map(|rate| (rate, Load::Short));
    loaded(time, "requests", "short requests/s", &loads).await
}

/// Measures request rates that saturate a core, where each thread wakeup serves several requests.
async fn busy(time: Duration) -> Result<Sweep, ToolError> {
    let loads = [1000.0, 2000.0, 3000.0, 4000.0, 6000.0].map(|rate| (rate, Load::Short));
    loaded(time, "busy", "short requests/s of a busy router", &loads).await
}

async fn prompts(time: Duration) -> Result<Sweep, ToolError> {
    let loads = [0.0, 50.0, 100.0, 200.0, 400.0].map(|rate| (rate, Load::Prompt { blocks: 7 }));
    loaded(time, "prompts", "requests/s with a shared prompt of 7 blocks", &loads).await
}

async fn pieces(time: Duration) -> Result<Sweep, ToolError> {
    let loads = [0.0, 10.0, 25.0, 50.0, 100.0].map(|rate| (rate, Load::Stream { tokens: 250 }));
    loaded(time, "pieces", "streamed pieces/s, 250 a stream", &loads).await
}

async fn claims(time: Duration) -> Result<Sweep, ToolError> {
    let loads = [0.0, 20.0, 50.0, 100.0, 200.0].map(|rate| (rate, Load::Keyed));
    loaded(time, "claims", "single-run calls/s with a key", &loads).await
}

/// Measures memory after prompts without shared blocks.
async fn blocks() -> Result<Sweep, ToolError> {
    const BLOCKS_OF_PROMPT: usize = 100;
    const RATE: f64 = 100.0;
    let mut points = Vec::new();
    for prompts in [0, 250, 500, 1000, 2000] {
        let bed = TestBed::start(&TestBedSpec {
            blocks: 1 << 20,
            ..TestBedSpec::small()
        })
        .await?;
        // Sends 100 prompts more, because the first large bodies grow buffers at every size.
        let load = Load::Fresh {
            blocks: BLOCKS_OF_PROMPT,
        };
        send(&bed, load, RATE, Duration::from_secs_f64((prompts + 100) as f64 / RATE)).await;
        task::sleep(SETTLE).await;
        let resident = bed.resident()? as f64;
        points.push((
            (prompts * BLOCKS_OF_PROMPT) as f64,
            Rates {
                resident,
                ..Rates::default()
            },
        ));
    }
    Ok(Sweep {
        name: "blocks",
        x: "blocks sent to engines",
        points,
    })
}

/// Measures one idle router with a growing configuration document.
async fn documents(time: Duration) -> Result<Sweep, ToolError> {
    let mut points = Vec::new();
    for workspaces in [8, 500, 1000, 2000] {
        let bed = TestBed::start(&TestBedSpec {
            workspaces,
            ..TestBedSpec::small()
        })
        .await?;
        task::sleep(SETTLE).await;
        points.push((workspaces as f64, bed.measure(time).await?));
    }
    Ok(Sweep {
        name: "documents",
        x: "workspaces in the document",
        points,
    })
}

/// Measures one idle router while the priorities change repeatedly.
async fn changes(time: Duration) -> Result<Sweep, ToolError> {
    let mut points = Vec::new();
    for rate in [0.0, 1.0, 2.0, 5.0, 10.0] {
        let mut bed = TestBed::start(&TestBedSpec {
            workspaces: 200,
            relays: true,
            ..TestBedSpec::small()
        })
        .await?;
        task::sleep(SETTLE).await;
        let mut publisher = bed.take_publisher()?;
        let changing = async {
            let mut number = 0;
            while f64::from(number) < rate * time.as_secs_f64() {
                publisher.change(Section::Priorities, priorities(number)).await?;
                number += 1;
                task::sleep(Duration::from_secs_f64(1.0 / rate)).await;
            }
            Ok::<u32, ToolError>(number)
        };
        let (changed, rates) = futures::join!(changing, bed.measure(time));
        points.push((f64::from(changed?) / time.as_secs_f64(), rates?));
    }
    Ok(Sweep {
        name: "changes",
        x: "configuration changes/s, 200 workspaces",
        points,
    })
}

fn priorities(number: u32) -> String {
    let mut named = Map::new();
    named.insert("urgent".to_owned(), json!({"rank": 0}));
    named.insert(format!("named-{number}"), json!({"rank": 9}));
    serde_json::Value::Object(named).to_string()
}
