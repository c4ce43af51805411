//! The `apricotfork config` commands.

mod support;

use serde_json::{Value, json};
use std::path::PathBuf;
use std::process::{Command, Output};
use support::{OPERATOR_KEY, Plan, Site, fault, get, operators, wait_until};

/// A site and a folder with an operator's files.
struct Fixture {
    site: Site,
    folder: tempfile::TempDir,
}

impl Fixture {
    fn new(plan: &Plan) -> Self {
        Self {
            site: Site::start(plan),
            folder: tempfile::tempdir().expect("a folder"),
        }
    }

    fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.path().join(name);
        std::fs::write(&path, text).expect("a file");
        path
    }

    /// Runs `apricotfork config VERB --platform … ARGS`.
    fn run(&self, verb: &str, args: &[&str]) -> Output {
        let platform = self.site.platform.address.to_string();
        let mut command = Command::new(env!("CARGO_BIN_EXE_apricotfork"));
        command
            .args(["config", verb, "--platform", platform.as_str()])
            .args(args);
        command.output().expect("the command")
    }

    /// Replaces the section `priorities` as `operator` with `key`.
    fn set(&self, operator: &str, key: &str, before: &[&str], priorities: &Value) -> Output {
        let key = self.file("key", key);
        let text = self.file("priorities.json", &priorities.to_string());
        let (key, text) = (key.display().to_string(), text.display().to_string());
        let digest = self.digest();
        let mut args = vec!["--operator", operator, "--key-file", key.as_str()];
        let current = ["--before", digest.as_str()];
        args.extend(if before.is_empty() { &current } else { before });
        args.extend(["priorities", text.as_str()]);
        self.run("set", &args)
    }

    fn digest(&self) -> String {
        self.site.digest(config::Section::Priorities)
    }
}

struct Case {
    name: &'static str,
    operator: &'static str,
    key: &'static str,
    priorities: Value,
    exit: i32,
    expected: &'static str,
}

fn check(fixture: &Fixture, case: &Case) {
    let output = fixture.set(case.operator, case.key, &[], &case.priorities);
    let text = format!(
        "{}{}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    );
    assert_eq!(output.status.code(), Some(case.exit), "{}: {text}", case.name);
    assert!(text.contains(case.expected), "{}: {text}", case.name);
}

#[test]
fn each_change_is_accepted_or_refused_with_its_reason() {
    let fixture = Fixture::new(&Plan {
        routers: 0,
        ..Plan::default()
    });
    let good = json!({"urgent": {"rank": 1}});
    let case = |name, exit, expected| Case {
        name,
        operator: "ops",
        key: OPERATOR_KEY,
        priorities: good.clone(),
        exit,
        expected,
    };
    let cases = [
        Case {
            operator: "nobody",
            ..case("unknown operator", 1, "do not go together")
        },
        Case {
            key: "guess",
            ..case("wrong key", 1, "do not go together")
        },
        Case {
            priorities: json!({"urgent": {"rank": 12}}),
            ..case("invalid", 1, "priorities.urgent.rank")
        },
        case("good", 0, "accepted as revision 2"),
        case("the same again", 1, "like that already"),
    ];
    for case in &cases {
        check(&fixture, case);
    }
    let history = fixture.run("history", &["--refused"]);
    assert_eq!(
        String::from_utf8_lossy(&history.stdout).lines().count(),
        4,
        "refused attempts are kept"
    );
    assert!(fixture.run("verify", &[]).status.success());
}

/// Two operators read the same section and both change it. The digest check prevents the second from silently
/// overwriting the first one's change: the second change is refused and the first one is shown.
#[test]
fn a_conflicting_change_is_refused_and_shows_the_other_change() {
    let fixture = Fixture::new(&Plan {
        routers: 0,
        ..Plan::default()
    });
    let seen = fixture.digest();
    let first = fixture.set(
        "ops",
        OPERATOR_KEY,
        &["--before", &seen],
        &json!({"urgent": {"rank": 1}}),
    );
    assert!(first.status.success(), "{first:?}");
    let second = fixture.set(
        "ops",
        OPERATOR_KEY,
        &["--before", &seen],
        &json!({"urgent": {"rank": 2}}),
    );
    let stderr = String::from_utf8_lossy(&second.stderr).into_owned();
    assert_eq!(second.status.code(), Some(1), "{stderr}");
    assert!(stderr.contains("revision 2 by ops"), "{stderr}");
}

/// Larger than the number of writes in a test.
const ALL_WRITES: u32 = 1000;

/// The platform's responses are lost, including the one to the write that accepts the change. Without reading back, the
/// command could report a change that is in force as failed, or apply it twice. It must report exactly one revision.
#[test]
fn a_change_with_lost_responses_is_resolved_by_reading_back() {
    let fixture = Fixture::new(&Plan {
        routers: 1,
        ..Plan::default()
    });
    let lose = wire::platform::Fault {
        lose_answers: Some(ALL_WRITES),
        ..Default::default()
    };
    fault(fixture.site.platform.address, &lose);
    let output = fixture.set("ops", OPERATOR_KEY, &[], &json!({"urgent": {"rank": 3}}));
    assert!(
        String::from_utf8_lossy(&output.stdout).contains("accepted as revision 2"),
        "{output:?}"
    );
    wait_until("the change is in force in the router", || {
        let metrics = get(operators(&fixture.site.routers[0]), "/metrics").expect("metrics");
        String::from_utf8_lossy(&metrics.body).contains("apricotfork_config_revision 2")
    });
}

/// Restoring an old revision would break the order of revisions, so an undo is a new change. It is refused if the section
/// was changed again since, because it would overwrite that later change.
#[test]
fn undo_is_a_new_change_and_keeps_later_changes() {
    let fixture = Fixture::new(&Plan {
        routers: 0,
        ..Plan::default()
    });
    let before = fixture.run("show", &["priorities"]).stdout;
    assert!(
        fixture
            .set("ops", OPERATOR_KEY, &[], &json!({"urgent": {"rank": 1}}))
            .status
            .success()
    );
    let key = fixture.folder.path().join("key").display().to_string();
    let undo = |revision| fixture.run("undo", &["--operator", "ops", "--key-file", &key, revision]);
    let undone = undo("2");
    assert!(
        String::from_utf8_lossy(&undone.stdout).contains("accepted as revision 3"),
        "{undone:?}"
    );
    assert_eq!(fixture.run("show", &["priorities"]).stdout, before);
    let later = fixture.set("ops", OPERATOR_KEY, &[], &json!({"urgent": {"rank": 2}}));
    assert!(later.status.success(), "{later:?}");
    let latest = fixture.run("show", &["priorities"]).stdout;
    let refused = undo("2");
    assert_eq!(refused.status.code(), Some(1), "the section was changed again");
    let stderr = String::from_utf8_lossy(&refused.stderr).into_owned();
    assert!(stderr.contains("changed again in revision"), "{stderr}");
    assert_eq!(fixture.run("show", &["priorities"]).stdout, latest);
}
