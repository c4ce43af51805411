//! `apricotfork check` and the exit codes for invalid settings.

use serde_json::{Value, json};
use std::process::Command;

struct Case {
    name: &'static str,
    text: String,
    exit: i32,
    /// Texts that must all be printed.
    expected: &'static [&'static str],
}

fn check(case: &Case) {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("file.json");
    std::fs::write(&path, &case.text).expect("a file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_apricotfork"));
    let output = command.arg("check").arg(&path).output().expect("the command");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(output.status.code(), Some(case.exit), "{}: {text}", case.name);
    for expected in case.expected {
        assert!(text.contains(expected), "{}: no {expected} in {text}", case.name);
    }
}

fn settings(change: impl Fn(&mut Value)) -> String {
    let mut settings = json!({
        "vm": "lahore-1", "domain": "lahore",
        "callers": "127.0.0.1:8080", "operators": "127.0.0.1:9090", "peers": "127.0.0.1:7070",
        "platform": {"addresses": ["127.0.0.1:2379"]},
    });
    change(&mut settings);
    settings.to_string()
}

#[test]
fn every_error_is_reported_with_its_path() {
    let cases = [
        Case {
            name: "good",
            text: settings(|_| ()),
            exit: 0,
            expected: &["settings: no errors"],
        },
        Case {
            name: "not JSON",
            text: "{".to_owned(),
            exit: 1,
            expected: &["EOF"],
        },
        Case {
            name: "unknown field",
            text: settings(|all| all["limits"] = json!({"body": 1})),
            exit: 1,
            expected: &["limits.body", "unknown field"],
        },
        Case {
            name: "a time with a unit",
            text: settings(|all| all["limits"] = json!({"head_ms": "10s"})),
            exit: 1,
            expected: &["limits.head_ms", "invalid type"],
        },
        Case {
            name: "a host name instead of an IP address",
            text: settings(|all| all["callers"] = json!("localhost:80")),
            exit: 1,
            expected: &["callers"],
        },
        Case {
            name: "several contradictions at once",
            text: settings(|all| {
                all["vm"] = json!("");
                all["operators"] = json!("127.0.0.1:8080");
                all["platform"] = json!({"addresses": [], "timeout_ms": 0});
                all["limits"] = json!({"request_ms": 5000, "body_ms": 6000, "connections": 0});
                all["shutdown"] = json!({"grace_ms": 1000});
                all["log"] = json!({"level": "loud"});
            }),
            exit: 1,
            expected: &[
                "vm: must not be empty",
                "operators: is the same address as callers",
                "platform.addresses",
                "platform.timeout_ms: must be at least 1",
                "limits.body_ms: must not be longer than limits.request_ms",
                "limits.request_ms: must not be longer than shutdown.grace_ms",
                "limits.connections",
                "log.level",
            ],
        },
        Case {
            name: "a document with several errors",
            text: json!({
                "workspaces": {"board": {"keys": [], "models": ["none"], "weight": 0}},
                "priorities": {"urgent": {"rank": 10}},
            })
            .to_string(),
            exit: 1,
            expected: &["workspaces.board", "priorities.urgent.rank", "no model none"],
        },
    ];
    for case in &cases {
        check(case);
    }
}

/// Settings as the users' platform generates them from `deploy/settings.json`, modified by `change`.
fn gateway_settings(change: impl Fn(&mut Value)) -> String {
    let mut settings = json!({
        "vm": "front-1", "domain": "lahore", "callers": "10.1.0.30:8782", "readiness": "10.1.0.30:8789",
        "peers": "10.1.0.30:7340", "metrics": "10.1.0.30:9464", "store": "10.200.1.7:8784",
        "bounds": {"revoke_ms": 5000, "weights_ms": 10000, "turn_ms": 3000, "retry_ratio": 0.2, "retry_extra": 108,
            "retry_window_s": 10, "grace_s": 8},
    });
    change(&mut settings);
    settings.to_string()
}

#[test]
fn gateway_settings_are_checked() {
    let cases = [
        Case {
            name: "good",
            text: gateway_settings(|_| ()),
            exit: 0,
            expected: &["gateway settings: no errors"],
        },
        Case {
            name: "a field of a newer platform",
            text: gateway_settings(|all| all["shade"] = json!("green")),
            exit: 0,
            expected: &["no errors"],
        },
        Case {
            name: "no bounds",
            text: gateway_settings(|all| all["bounds"] = json!({})),
            exit: 0,
            expected: &["no errors"],
        },
        Case {
            name: "no store",
            text: gateway_settings(|all| all["store"] = Value::Null),
            exit: 1,
            expected: &["store"],
        },
        Case {
            name: "bounds out of range",
            text: gateway_settings(|all| all["bounds"] = json!({"revoke_ms": 0, "retry_ratio": -1, "grace_s": 0})),
            exit: 1,
            expected: &["bounds.revoke_ms", "bounds.retry_ratio", "bounds.grace_s"],
        },
        Case {
            name: "bounds as fractions",
            text: gateway_settings(|all| {
                all["bounds"] =
                    json!({"revoke_ms": 5000.5, "weights_ms": 10000.25, "turn_ms": 3000.0, "retry_extra": 61.8});
            }),
            exit: 0,
            expected: &["no errors"],
        },
        Case {
            name: "negative bounds",
            text: gateway_settings(|all| all["bounds"] = json!({"retry_extra": -1})),
            exit: 1,
            expected: &["bounds.retry_extra"],
        },
        Case {
            name: "bounds of quotas out of range",
            text: gateway_settings(|all| {
                all["bounds"] = json!({"quota_window_s": 0, "quota_excess": -0.1, "quota_slack": -1});
            }),
            exit: 1,
            expected: &["bounds.quota_window_s", "bounds.quota_excess", "bounds.quota_slack"],
        },
        Case {
            name: "an unknown level",
            text: gateway_settings(|all| all["log_level"] = json!("loud")),
            exit: 1,
            expected: &["log_level"],
        },
    ];
    cases.iter().for_each(check);
}
