//! How one router grows with peers, endpoints, blocks, requests, pieces, claims and configuration.

use super::fit::fit;
use super::load::{Load, send};
use super::slopes::{Series, Sweep};
use super::stand::{Rates, Stand, StandSpec};
use crate::error::ToolError;
use async_std::task;
use config::Section;
use serde_json::{Map, json};
use std::time::Duration;

/// After the start, so that what starts up isn't measured.
const SETTLE: Duration = Duration::from_secs(2);
/// Until a herd of routers has found each other: in its first seconds each costs ten times what it costs at rest.
const HERD_SETTLE: Duration = Duration::from_secs(12);

/// Measures the sweep of this name.
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

/// Routers that start at once; a little later than they were ready, since readiness is polled.
pub async fn starts() -> Result<Vec<Series>, ToolError> {
    let (mut ready, mut reads) = (Vec::new(), Vec::new());
    for routers in [1, 5, 11, 22] {
        let stand = Stand::start(&StandSpec {
            routers,
            ..StandSpec::small()
        })
        .await?;
        ready.push((routers as f64, stand.start.ready.as_secs_f64() * 1000.0));
        reads.push((routers as f64, stand.start.reads as f64));
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

/// A failure domain at rest that grows as a whole, up to the fleet's: 22 routers and 400 engines.
async fn domain(time: Duration) -> Result<Sweep, ToolError> {
    let mut points = Vec::new();
    for (routers, engines) in [(2, 36), (5, 91), (11, 200), (16, 291), (22, 400)] {
        let spec = StandSpec {
            routers,
            engines,
            relays: true,
            ..StandSpec::small()
        };
        let stand = Stand::start(&spec).await?;
        task::sleep(HERD_SETTLE).await;
        points.push((routers as f64, stand.watch(time).await?));
    }
    Ok(Sweep {
        name: "domain",
        x: "routers of a failure domain with 18 engines for each",
        points,
    })
}

/// Idle routers of one failure domain.
async fn peers(time: Duration) -> Result<Sweep, ToolError> {
    let mut points = Vec::new();
    for routers in [2, 5, 8, 14, 22] {
        let stand = Stand::start(&StandSpec {
            routers,
            relays: true,
            ..StandSpec::small()
        })
        .await?;
        task::sleep(SETTLE).await;
        points.push((routers as f64, stand.watch(time).await?));
    }
    Ok(Sweep {
        name: "peers",
        x: "routers of a failure domain",
        points,
    })
}

/// One idle router and its endpoints.
async fn endpoints(time: Duration) -> Result<Sweep, ToolError> {
    let mut points = Vec::new();
    for engines in [13, 50, 100, 200, 400] {
        let stand = Stand::start(&StandSpec {
            engines,
            relays: true,
            ..StandSpec::small()
        })
        .await?;
        task::sleep(SETTLE).await;
        points.push((engines as f64, stand.watch(time).await?));
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
        let stand = Stand::start(&StandSpec::small()).await?;
        task::sleep(SETTLE).await;
        let sending = send(&stand, *load, *rate, time + SETTLE);
        let watching = async {
            task::sleep(SETTLE / 2).await;
            stand.watch(time).await
        };
        let (sent, rates) = futures::join!(sending, watching);
        // What was sent, not what was asked for: a busy machine sends late.
        points.push((sent * load.units(), rates?));
    }
    Ok(Sweep { name, x, points })
}

/// As many as one of many small VMs gets.
async fn requests(time: Duration) -> Result<Sweep, ToolError> {
    let loads = [0.0, 25.0, 50.0, 100.0, 200.0, 300.0].map(|rate| (rate, Load::Short));
    loaded(time, "requests", "short requests/s", &loads).await
}

/// As many as fill a core: each wake of a thread serves several.
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

/// Memory after prompts of so many blocks that no prompt shared with another.
async fn blocks() -> Result<Sweep, ToolError> {
    const BLOCKS_OF_PROMPT: usize = 100;
    const RATE: f64 = 100.0;
    let mut points = Vec::new();
    for prompts in [0, 250, 500, 1000, 2000] {
        let stand = Stand::start(&StandSpec {
            blocks: 1 << 20,
            ..StandSpec::small()
        })
        .await?;
        // The first large bodies grow buffers that every size needs.
        let load = Load::Fresh {
            blocks: BLOCKS_OF_PROMPT,
        };
        send(
            &stand,
            load,
            RATE,
            Duration::from_secs_f64((prompts + 100) as f64 / RATE),
        )
        .await;
        task::sleep(SETTLE).await;
        let resident = stand.resident()? as f64;
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

/// One idle router and the size of its document.
async fn documents(time: Duration) -> Result<Sweep, ToolError> {
    let mut points = Vec::new();
    for workspaces in [8, 500, 1000, 2000] {
        let stand = Stand::start(&StandSpec {
            workspaces,
            ..StandSpec::small()
        })
        .await?;
        task::sleep(SETTLE).await;
        points.push((workspaces as f64, stand.watch(time).await?));
    }
    Ok(Sweep {
        name: "documents",
        x: "workspaces in the document",
        points,
    })
}

/// One idle router while the priorities are changed again and again.
async fn changes(time: Duration) -> Result<Sweep, ToolError> {
    let mut points = Vec::new();
    for rate in [0.0, 1.0, 2.0, 5.0, 10.0] {
        let mut stand = Stand::start(&StandSpec {
            workspaces: 200,
            relays: true,
            ..StandSpec::small()
        })
        .await?;
        task::sleep(SETTLE).await;
        let mut publisher = stand.take_publisher()?;
        let changing = async {
            let mut number = 0;
            while f64::from(number) < rate * time.as_secs_f64() {
                publisher.change(Section::Priorities, priorities(number)).await?;
                number += 1;
                task::sleep(Duration::from_secs_f64(1.0 / rate)).await;
            }
            Ok::<u32, ToolError>(number)
        };
        let (changed, rates) = futures::join!(changing, stand.watch(time));
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
