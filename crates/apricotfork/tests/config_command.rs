//! Operators' commands, run as an operator runs them.

mod support;

use serde_json::{Value, json};
use std::path::PathBuf;
use std::process::{Command, Output};
use support::{OPERATOR_KEY, Plan, Site, fault, get, operators, until};

/// A site, and a folder with an operator's files.
struct Desk {
    site: Site,
    folder: tempfile::TempDir,
}

impl Desk {
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

    /// Sets the section of priorities as `operator` with `key`.
    fn set(&self, operator: &str, key: &str, more: &[&str], priorities: &Value) -> Output {
        let key = self.file("key", key);
        let text = self.file("priorities.json", &priorities.to_string());
        let (key, text) = (key.display().to_string(), text.display().to_string());
        let now = self.digest();
        let mut args = vec!["--operator", operator, "--key-file", key.as_str()];
        let seen = ["--before", now.as_str()];
        args.extend(if more.is_empty() { &seen } else { more });
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
    says: &'static str,
}

fn check(desk: &Desk, case: &Case) {
    let output = desk.set(case.operator, case.key, &[], &case.priorities);
    let text = format!(
        "{}{}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    );
    assert_eq!(output.status.code(), Some(case.exit), "{}: {text}", case.name);
    assert!(text.contains(case.says), "{}: {text}", case.name);
}

#[test]
fn each_change_is_accepted_or_refused_with_its_reason() {
    let desk = Desk::new(&Plan {
        routers: 0,
        ..Plan::default()
    });
    let good = json!({"urgent": {"rank": 1}});
    let case = |name, exit, says| Case {
        name,
        operator: "ops",
        key: OPERATOR_KEY,
        priorities: good.clone(),
        exit,
        says,
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
        check(&desk, case);
    }
    let history = desk.run("history", &["--refused"]);
    assert_eq!(
        String::from_utf8_lossy(&history.stdout).lines().count(),
        4,
        "refused attempts are kept"
    );
    assert!(desk.run("verify", &[]).status.success());
}

/// Two operators read the same section, and both change it. Without the check of what each saw, the second would
/// silently take the first one's change back; it is shown that change instead.
#[test]
fn the_second_of_two_editors_is_shown_what_the_first_changed() {
    let desk = Desk::new(&Plan {
        routers: 0,
        ..Plan::default()
    });
    let seen = desk.digest();
    let first = desk.set(
        "ops",
        OPERATOR_KEY,
        &["--before", &seen],
        &json!({"urgent": {"rank": 1}}),
    );
    assert!(first.status.success(), "{first:?}");
    let second = desk.set(
        "ops",
        OPERATOR_KEY,
        &["--before", &seen],
        &json!({"urgent": {"rank": 2}}),
    );
    let says = String::from_utf8_lossy(&second.stderr).into_owned();
    assert_eq!(second.status.code(), Some(1), "{says}");
    assert!(says.contains("revision 2 by ops"), "{says}");
}

/// More writes than there are in a test.
const EVERY: u32 = 1000;

/// The platform's answers are lost, that to the write that accepts the change among them. Guessing would either report a change as lost
/// that is in force, or apply it twice; the command reads back and reports the one revision.
#[test]
fn a_change_whose_answer_was_lost_is_settled_by_reading_back() {
    let desk = Desk::new(&Plan {
        routers: 1,
        ..Plan::default()
    });
    let lose = wire::platform::Fault {
        lose_answers: Some(EVERY),
        ..Default::default()
    };
    fault(desk.site.platform.address, &lose);
    let output = desk.set("ops", OPERATOR_KEY, &[], &json!({"urgent": {"rank": 3}}));
    assert!(
        String::from_utf8_lossy(&output.stdout).contains("accepted as revision 2"),
        "{output:?}"
    );
    until("the change is in force in the router", || {
        let metrics = get(operators(&desk.site.routers[0]), "/metrics").expect("metrics");
        String::from_utf8_lossy(&metrics.body).contains("apricotfork_config_revision 2")
    });
}

/// An operator regrets a change. Putting the old revision back would break the order of revisions; the undo is a new
/// change, and it is refused once somebody else has built on what it would take away.
#[test]
fn undo_is_a_new_change() {
    let desk = Desk::new(&Plan {
        routers: 0,
        ..Plan::default()
    });
    let before = desk.run("show", &["priorities"]).stdout;
    assert!(
        desk.set("ops", OPERATOR_KEY, &[], &json!({"urgent": {"rank": 1}}))
            .status
            .success()
    );
    let key = desk.folder.path().join("key").display().to_string();
    let undo = |revision| desk.run("undo", &["--operator", "ops", "--key-file", &key, revision]);
    let undone = undo("2");
    assert!(
        String::from_utf8_lossy(&undone.stdout).contains("accepted as revision 3"),
        "{undone:?}"
    );
    assert_eq!(desk.run("show", &["priorities"]).stdout, before);
    let later = desk.set("ops", OPERATOR_KEY, &[], &json!({"urgent": {"rank": 2}}));
    assert!(later.status.success(), "{later:?}");
    let built_on = desk.run("show", &["priorities"]).stdout;
    let refused = undo("2");
    assert_eq!(refused.status.code(), Some(1), "it was changed again since");
    let says = String::from_utf8_lossy(&refused.stderr).into_owned();
    assert!(says.contains("changed again in revision"), "{says}");
    assert_eq!(desk.run("show", &["priorities"]).stdout, built_on);
}
