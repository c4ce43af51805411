//! The configuration document of a deployment.

use crate::scenario::Scenario;
use ids::Digest;
use serde_json::{Map, Value, json};
use std::net::SocketAddr;

/// Weights in service.
pub const WEIGHTS: &str = "w1";

/// Where the endpoints are.
#[derive(Debug, Clone, Default)]
pub struct Places {
    /// Engines.
    pub engines: Vec<SocketAddr>,
    /// Runners of the plain service.
    pub runners: Vec<SocketAddr>,
}

/// Bearer key of a workspace.
pub fn key(workspace: usize) -> String {
    format!("key-{workspace}")
}

/// Id of a workspace.
pub fn workspace(number: usize) -> String {
    format!("workspace-{number}")
}

/// The document of `scenario` with its endpoints at `places`.
pub fn document(scenario: &Scenario, places: &Places) -> Value {
    let digest = |key: &str| Digest::of(key.as_bytes()).to_string();
    let model = &scenario.engines.model;
    let service = &scenario.service;
    let mut workspaces = Map::new();
    for number in 0..scenario.workspaces.len() {
        let spec = json!({"keys": [digest(&key(number))], "models": [model], "services": [service.name]});
        workspaces.insert(workspace(number), spec);
    }
    let mut endpoints = Map::new();
    let domain = |index: usize| &scenario.domains[index % scenario.domains.len()];
    for (index, address) in places.engines.iter().enumerate() {
        let spec = json!({
            "address": address, "domain": domain(index), "role": {"model": model},
            "fenced": scenario.engines.fenced, "slots": scenario.engines.slots,
        });
        endpoints.insert(format!("e{index}"), spec);
    }
    for (index, address) in places.runners.iter().enumerate() {
        let spec = json!({"address": address, "domain": domain(index), "role": {"service": service.name}});
        endpoints.insert(format!("s{index}"), spec);
    }
    json!({
        "operators": {"ops": {"key": digest(super::platform::OPERATOR_KEY), "sections":
            ["operators", "workspaces", "models", "services", "priorities", "endpoints"]}},
        "workspaces": workspaces,
        "models": {model: {"versions": [WEIGHTS], "wanted": WEIGHTS}},
        "services": {&service.name: {"operations": [
            {"path": service.idempotent, "idempotent": true},
            {"path": service.single, "idempotent": false},
        ]}},
        "priorities": {"urgent": {"rank": 0}, "batch": {"rank": 9}},
        "endpoints": endpoints,
    })
}
