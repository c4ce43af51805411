//! All problems of a document are reported together, each with its path.

mod support;

use config::parse;
use serde_json::{Value, json};

struct Case {
    /// JSON pointers and the values to put there.
    edits: &'static [(&'static str, &'static str)],
    /// Path of each problem and part of its message.
    expected: &'static [(&'static str, &'static str)],
}

const CASES: &[Case] = &[
    Case {
        edits: &[],
        expected: &[],
    },
    Case {
        edits: &[("/workspaces/board/keys", "[]")],
        expected: &[("workspaces.board.keys", "no key")],
    },
    Case {
        edits: &[
            ("/workspaces/board/weight", "0"),
            ("/models/grain/wanted", "\"9\""),
            ("/priorities/advisory/rank", "10"),
        ],
        expected: &[
            ("workspaces.board.weight", "outside"),
            ("models.grain.wanted", "wanted version 9"),
            ("priorities.advisory.rank", "over 9"),
        ],
    },
    Case {
        edits: &[("/workspaces/board/weight", "1001")],
        expected: &[("workspaces.board.weight", "outside")],
    },
    Case {
        edits: &[
            ("/workspaces/board/models", r#"["grain","none"]"#),
            ("/workspaces/board/services", r#"["nope"]"#),
        ],
        expected: &[
            ("workspaces.board.models[1]", "no model none"),
            ("workspaces.board.services[0]", "no service nope"),
        ],
    },
    Case {
        edits: &[("/endpoints", "{}")],
        expected: &[
            ("models.grain", "no endpoint serves"),
            ("services.fans", "no endpoint serves"),
        ],
    },
    Case {
        edits: &[
            ("/endpoints/runner/address", "\"127.0.0.1:9000\""),
            ("/endpoints/engine/slots", "0"),
        ],
        expected: &[
            ("endpoints.engine.slots", "slot"),
            ("endpoints.runner.address", "engine"),
        ],
    },
    Case {
        edits: &[(
            "/endpoints/spare",
            r#"{"address":"127.0.0.1:1","domain":"a","role":{"model":"gone"}}"#,
        )],
        expected: &[("endpoints.spare.role", "no model gone")],
    },
    Case {
        edits: &[(
            "/services/fans/operations",
            r#"[{"path":"/fans","idempotent":true},{"path":"fans","idempotent":true},{"path":"/fans","idempotent":false}]"#,
        )],
        expected: &[
            ("services.fans.operations[1].path", "slash"),
            ("services.fans.operations[2].path", "operation 0"),
        ],
    },
    Case {
        edits: &[("/operators", "{}")],
        expected: &[
            ("operators", "operators"),
            ("operators", "workspaces"),
            ("operators", "models"),
            ("operators", "services"),
            ("operators", "priorities"),
            ("operators", "endpoints"),
        ],
    },
    Case {
        edits: &[("/workspaces/board/limits", r#"{"requests_per_second":0}"#)],
        expected: &[("workspaces.board.limits.requests_per_second", "limit of 0")],
    },
    // Errors of shape hide inconsistencies, but not each other.
    Case {
        edits: &[
            ("/workspaces/board/weight", "\"much\""),
            ("/priorities/advisory/rang", "1"),
            ("/color", "1"),
            ("/endpoints/engine/address", "\"no.name:80\""),
        ],
        expected: &[
            ("color", "no such section"),
            ("endpoints.engine.address", "address"),
            ("priorities.advisory.rang", "unknown field"),
            ("workspaces.board.weight", "invalid type"),
        ],
    },
];

fn check(text: &str, expected: &[(&str, &str)]) {
    let found = parse(text).err().unwrap_or_default();
    let agrees = |(problem, (path, part)): (&config::Problem, &(&str, &str))| {
        problem.path == *path && problem.kind.to_string().contains(part)
    };
    let same = found.len() == expected.len() && found.iter().zip(expected).all(agrees);
    assert!(same, "expected {expected:#?}, found {found:#?}");
}

fn put(document: &mut Value, pointer: &str, value: Value) {
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    document.pointer_mut(parent).unwrap()[key] = value;
}

#[test]
fn all_problems_at_once() {
    for case in CASES {
        let mut document: Value = serde_json::from_str(&support::document()).unwrap();
        for (pointer, text) in case.edits {
            put(&mut document, pointer, serde_json::from_str(text).unwrap());
        }
        check(&document.to_string(), case.expected);
    }
}

/// A workspace is pasted a second time. A JSON parser would keep the last one and drop the first, whose clients would be
/// refused although the change was accepted.
#[test]
fn duplicate_keys_are_reported() {
    let text = support::document();
    let twice = text.replacen("\"workspaces\":{", "\"workspaces\":{\"board\":{\"keys\":[]},", 1);
    check(&twice, &[("workspaces.board", "twice")]);
}

#[test]
fn shared_keys_are_reported() {
    let mut document: Value = serde_json::from_str(&support::document()).unwrap();
    let key = document["operators"]["writer-0"]["key"].clone();
    put(&mut document, "/workspaces/board/keys", json!([key]));
    check(
        &document.to_string(),
        &[("workspaces.board.keys[0]", "operators.writer-0.key")],
    );
}

#[test]
fn not_json() {
    check("{", &[(".", "not JSON")]);
    check("[]", &[(".", "object of sections")]);
}
