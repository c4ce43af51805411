//! A complete deployment on loopback, for trying it with `curl`.

use crate::error::ToolError;
use crate::scenario::Scenario;
use crate::site::{EndpointAddresses, Launcher, RouterSpec, document, key, publish, until_ready};
use async_std::task;
use std::net::SocketAddr;
use std::time::Duration;

/// Engines of the demo.
const ENGINES: usize = 2;
/// Prompt tokens per second that an engine of the demo prefills.
const PREFILL_RATE: u64 = 4_000;
/// Milliseconds per token, slow enough to watch a stream.
const DECODE_MS: f64 = 60.0;
/// Maximum duration of a demo that is not interrupted.
const MAX_DURATION: Duration = Duration::from_secs(3600);

/// Starts platform, two engines, a plain service and a router, prints example commands, and waits for Ctrl-C.
///
/// # Errors
/// If a process can't be started or the configuration document is refused.
pub async fn demo() -> Result<(), ToolError> {
    let folder = tempfile::tempdir().map_err(ToolError::io("a folder for settings"))?;
    let launcher = Launcher::new(folder.path().to_path_buf())?;
    let mut scenario = Scenario::board();
    scenario.domains.truncate(1);
    let platform = launcher.standin("standin-platform", &[])?;
    let mut engines = Vec::new();
    for index in 0..ENGINES {
        engines.push(launcher.standin("standin-engine", &engine_args(index, &scenario.engines.model))?);
    }
    let service = launcher.standin("standin-service", &[])?;
    let addresses = EndpointAddresses {
        engines: engines.iter().map(|engine| engine.address).collect(),
        runners: vec![service.address],
    };
    let _publisher = publish(platform.address, &document(&scenario, &addresses)).await?;
    let spec = RouterSpec {
        index: 0,
        domain: scenario.domains[0].clone(),
        platform: platform.address,
        threads: 2,
        seeds: serde_json::Value::Array(Vec::new()),
    };
    let router = launcher.router(&spec)?;
    until_ready(router.operators).await?;
    explain(&scenario, router.process.address, router.operators, platform.address);
    task::sleep(MAX_DURATION).await;
    Ok(())
}

fn engine_args(index: usize, model: &str) -> Vec<String> {
    let (rate, decode) = (PREFILL_RATE.to_string(), DECODE_MS.to_string());
    let id = format!("e{index}");
    let args = [
        "--id",
        &id,
        "--model",
        model,
        "--prefill-rate",
        &rate,
        "--decode-ms",
        &decode,
    ];
    args.map(str::to_owned).to_vec()
}

fn explain(scenario: &Scenario, callers: SocketAddr, operators: SocketAddr, platform: SocketAddr) {
    let key = key(0);
    let model = &scenario.engines.model;
    let service = &scenario.service;
    println!("a streamed completion:");
    println!(
        "  curl -N http://{callers}/v1/completions -H 'authorization: Bearer {key}' \\\n    -d '{{\"model\": \"{model}\", \"prompt\": \"silo 7 is at 31 degrees\", \"max_tokens\": 20, \"stream\": true}}'"
    );
    println!("a service call that runs at most once:");
    println!(
        "  curl http://{callers}/services/{}{}/12 -H 'authorization: Bearer {key}' \\\n    -H 'idempotency-key: fan-12-tonight' -d '{{\"run\": true}}'",
        service.name, service.single
    );
    println!("the router:");
    println!("  curl http://{operators}/metrics");
    println!("  target/debug/apricotfork status --router {operators}");
    println!("  target/debug/apricotfork config show --platform {platform}");
    println!("Ctrl-C ends everything.");
}
