//! Requests served end to end by separate processes.

mod support;

use http::StatusCode;
use serde_json::{Value, json};
use support::{Plan, Site};

struct Case {
    name: &'static str,
    path: &'static str,
    body: Value,
}

/// Checks that the client receives exactly the bytes that the engine reports to have sent.
fn check(site: &Site, case: &Case) {
    let answer = site.complete(case.path, &case.body);
    assert_eq!(answer.status, StatusCode::Ok, "{}: {answer:?}", case.name);
    let sent = site.sent(&answer.request);
    assert_eq!(
        String::from_utf8_lossy(&answer.body),
        String::from_utf8_lossy(&sent),
        "{}",
        case.name
    );
    assert!(!sent.is_empty(), "{}", case.name);
}

#[test]
fn responses_are_forwarded_unchanged() {
    let site = Site::start(&Plan::default());
    let cases = [
        Case {
            name: "streamed completion",
            path: "/v1/completions",
            body: json!({"model": "advisory", "prompt": "silo 7 is at 31 degrees", "max_tokens": 20, "stream": true}),
        },
        Case {
            name: "completion without streaming",
            path: "/v1/completions",
            body: json!({"model": "advisory", "prompt": "silo 7 is at 31 degrees", "max_tokens": 20}),
        },
        Case {
            name: "streamed chat",
            path: "/v1/chat/completions",
            body: json!({"model": "advisory", "stream": true, "max_tokens": 8,
                "messages": [{"role": "user", "content": "when are the fans to run?"}]}),
        },
        Case {
            name: "a prompt of several blocks",
            path: "/v1/completions",
            body: json!({"model": "advisory", "prompt": "wheat ".repeat(3000), "max_tokens": 4, "stream": true}),
        },
    ];
    for case in &cases {
        check(&site, case);
    }
    let answer = site.silo(0, "/fans/12", &[], "{\"run\": true}").expect("a response");
    let done: wire::service::Done = serde_json::from_slice(&answer.body).expect("the service's response");
    assert_eq!(
        (done.path.as_str(), done.echo.as_str(), done.execution),
        ("/fans/12", "{\"run\": true}", 1)
    );
    assert_eq!(done.request.as_deref(), Some(answer.request.as_str()));
}
