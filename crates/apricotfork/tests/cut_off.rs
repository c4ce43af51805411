//! Routers that are cut from the platform, from their peers, or from both.

mod support;

use serde_json::{Value, json};
use standins::process::Running;
use std::process::Command;
use support::{OPERATOR_KEY, Plan, Site, fault, get, metric, operators, peers, until};

/// Makes a router look for the platform where nobody listens.
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

/// A failure domain loses the platform and one of its routers is replaced. The new one has nothing of its own; without
/// its peers it could serve nobody until the platform is back. A change that is accepted meanwhile reaches the peers
/// that still see the platform, and through them the one that does not.
#[test]
fn a_router_without_the_platform_starts_and_follows_by_its_peers() {
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
    site.until_ready(2);
    change_priorities(&site);
    for router in &site.routers {
        until("the change is in force", || revision(router).as_deref() == Some("2"));
    }
}

/// The platform is down for a long while. Routers that run go on serving, and one that starts beside them serves too.
#[test]
fn an_outage_of_the_platform_stops_nobody() {
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
    site.until_ready(1);
    let probe = site.silo(1, "/probes/1", &[], "{}").expect("an answer");
    assert!(probe.status.is_success(), "{probe:?}");
}

/// A router finds neither the platform nor a peer. Serving by guesswork could break promises; it says why it is not
/// ready, so that an operator need not search.
#[test]
fn a_router_alone_says_why_it_is_not_ready() {
    let site = Site::start(&Plan {
        routers: 0,
        ..Plan::default()
    });
    let alone = site.start_router_with(0, no_platform);
    until("it says why", || {
        let answer = get(operators(&alone), "/readyz").expect("an answer");
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        answer.status == http::StatusCode::ServiceUnavailable && text.contains("neither the platform nor a peer")
    });
}

/// Routers learn of each other from the platform's list and by heartbeats. One dies without a word; the list goes on
/// naming it, and only the silence tells. Without it the dead one's share of every limit would stay unused, and the
/// endpoints it watched would be read by one router less.
#[test]
fn routers_know_who_is_live() {
    let mut site = Site::start(&Plan {
        routers: 3,
        ..Plan::default()
    });
    site.list_routers();
    let live = |router: &Running, count: &str| metric(router, "apricotfork_live_routers").as_deref() == Some(count);
    for router in &site.routers {
        until("three live routers are seen", || live(router, "3"));
    }
    drop(site.routers.pop());
    for router in &site.routers {
        until("the dead router is missed", || live(router, "2"));
    }
}
