//! The configuration document of a deployment.

use crate::scenario::Scenario;
use ids::Digest;
use serde_json::{Map, Value, json};
use std::net::SocketAddr;

/// The weights of the model.
pub const WEIGHTS: &str = "w1";

/// The addresses of the endpoints.
#[derive(Debug, Clone, Default)]
pub struct EndpointAddresses {
    /// Engines.
    pub engines: Vec<SocketAddr>,
    /// Runners of the plain service.
    pub runners: Vec<SocketAddr>,
}

/// The bearer key of a workspace.
pub fn key(workspace: usize) -> String {
    format!("key-{workspace}")
}

/// The id of a workspace.
pub fn workspace(number: usize) -> String {
    format!("workspace-{number}")
}

/// Builds the document of `scenario` with its endpoints at `addresses`.
pub fn document(scenario: &Scenario, addresses: &EndpointAddresses) -> Value {
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
    for (index, address) in addresses.engines.iter().enumerate() {
        let spec = json!({
            "address": address, "domain": domain(index), "role": {"model": model},
            "fenced": scenario.engines.fenced, "slots": scenario.engines.slots,
        });
        endpoints.insert(format!("e{index}"), spec);
    }
    for (index, address) in addresses.runners.iter().enumerate() {
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
