//! Routers without a connection to the platform, to their peers, or to both.

mod support;

use serde_json::{Value, json};
use standins::process::Running;
use std::process::Command;
use support::{OPERATOR_KEY, Plan, Site, fault, get, metric, operators, peers, wait_until};

/// Sets a platform address where nothing listens.
fn no_platform(settings: &mut Value) {
    settings["platform"]["addresses"] = json!(["127.0.0.1:1"]);
}

fn seeds(site: &Site) -> Value {
    let seed = |(index, router): (usize, &Running)| json!({"vm": format!("r{index}"), "domain": "lahore", "address": peers(router)});
    site.routers.iter().enumerate().map(seed).collect()
}

fn change_priorities(site: &Site) {
    let folder = tempfile::tempdir().expect("a folder");
    let (key, file) = (folder.path().join("key"), folder.path().join("priorities.json"));
    std::fs::write(&key, OPERATOR_KEY).expect("a file");
    std::fs::write(&file, json!({"urgent": {"rank": 2}}).to_string()).expect("a file");
    let before = site.digest(config::Section::Priorities);
    let mut command = Command::new(env!("CARGO_BIN_EXE_apricotfork"));
    command.args([
        "config",
        "set",
        "--before",
        &before,
        "--platform",
        &site.platform.address.to_string(),
    ]);
    command
        .args(["--operator", "ops", "--key-file"])
        .arg(&key)
        .arg("priorities")
        .arg(&file);
    let output = command.output().expect("the command");
    assert!(output.status.success(), "{output:?}");
}

fn revision(router: &Running) -> Option<String> {
    metric(router, "apricotfork_config_revision")
}

/// A router starts in a failure domain that cannot reach the platform. Without its peers' configuration it could not serve
/// until the platform is reachable. Configuration changes must also reach it through peers that reach the platform.
#[test]
fn a_router_without_the_platform_gets_its_configuration_from_peers() {
    let mut site = Site::start(&Plan {
        routers: 2,
        ..Plan::default()
    });
    let seeds = seeds(&site);
    let cut = site.start_router_with(2, |settings| {
        no_platform(settings);
        settings["seeds"] = seeds.clone();
    });
    site.routers.push(cut);
    site.wait_until_ready(2);
    change_priorities(&site);
    for router in &site.routers {
        wait_until("the change is in force", || revision(router).as_deref() == Some("2"));
    }
}

/// During an outage of the platform, running routers must continue to serve, and a router started during the outage must
/// serve too.
#[test]
fn routers_serve_and_start_during_an_outage_of_the_platform() {
    let mut site = Site::start(&Plan {
        routers: 1,
        ..Plan::default()
    });
    let seeds = seeds(&site);
    fault(
        site.platform.address,
        &wire::platform::Fault {
            down: Some(true),
            ..Default::default()
        },
    );
    let body = json!({"model": "advisory", "prompt": "p", "max_tokens": 2});
    assert!(site.complete("/v1/completions", &body).status.is_success());
    let started = site.start_router_with(1, |settings| settings["seeds"] = seeds.clone());
    site.routers.push(started);
    site.wait_until_ready(1);
    let probe = site.silo(1, "/probes/1", &[], "{}").expect("a response");
    assert!(probe.status.is_success(), "{probe:?}");
}

/// A router that reaches neither the platform nor a peer has no configuration and must not serve. `/readyz` must give the
/// reason for the operator.
#[test]
fn an_isolated_router_reports_why_it_is_not_ready() {
    let site = Site::start(&Plan {
        routers: 0,
        ..Plan::default()
    });
    let alone = site.start_router_with(0, no_platform);
    wait_until("it reports the reason", || {
        let answer = get(operators(&alone), "/readyz").expect("a response");
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        answer.status == http::StatusCode::ServiceUnavailable && text.contains("neither the platform nor a peer")
    });
}

/// Routers detect each other through the platform's list and by heartbeats. A router that dies stays in the list, and only
/// missing heartbeats show its death. If it counted as live, its share of every limit would stay unused and fewer routers
/// would read the endpoints that it watched.
#[test]
fn a_dead_router_no_longer_counts_as_live() {
    let mut site = Site::start(&Plan {
        routers: 3,
        ..Plan::default()
    });
    site.list_routers();
    let live = |router: &Running, count: &str| metric(router, "apricotfork_live_routers").as_deref() == Some(count);
    for router in &site.routers {
        wait_until("three routers are live", || live(router, "3"));
    }
    drop(site.routers.pop());
    for router in &site.routers {
        wait_until("the dead router no longer counts as live", || live(router, "2"));
    }
}
