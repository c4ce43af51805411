//! Invalid input from clients: the router sends a typed error or closes the connection, and continues to serve.

mod support;

use http::Method;
use serde_json::json;
use std::cell::RefCell;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use support::{KEY, OTHER_KEY, Plan, Site, TIMEOUT, bearer, call, get, wait_until};

struct InvalidRequest {
    name: &'static str,
    method: Method,
    path: &'static str,
    key: &'static str,
    header: Option<(&'static str, &'static str)>,
    body: Vec<u8>,
    status: u16,
    code: &'static str,
}

impl InvalidRequest {
    fn new(name: &'static str, status: u16, code: &'static str) -> Self {
        let body = json!({"model": "advisory", "prompt": "p"}).to_string().into_bytes();
        let path = "/v1/completions";
        Self {
            name,
            method: Method::Post,
            path,
            key: KEY,
            header: None,
            body,
            status,
            code,
        }
    }
}

fn check(site: &Site, case: &InvalidRequest) {
    let mut headers = vec![("authorization", bearer(case.key))];
    headers.extend(case.header.map(|(name, value)| (name, value.to_owned())));
    let answer = call(site.routers[0].address, case.method, case.path, &headers, &case.body).expect(case.name);
    assert_eq!(u16::from(answer.status), case.status, "{}: {answer:?}", case.name);
    assert_eq!(
        answer.error_fields(),
        (case.code.to_owned(), "not_run".to_owned()),
        "{}",
        case.name
    );
}

#[test]
fn each_invalid_request_gets_a_typed_error() {
    let site = Site::start(&Plan::default());
    let bytes = |body: &[u8]| body.to_vec();
    let cases = [
        InvalidRequest {
            key: "",
            ..InvalidRequest::new("no key", 401, "unauthorized")
        },
        InvalidRequest {
            key: "guess",
            ..InvalidRequest::new("unknown key", 401, "unauthorized")
        },
        InvalidRequest {
            key: OTHER_KEY,
            ..InvalidRequest::new("another workspace's model", 404, "not_found")
        },
        InvalidRequest {
            body: bytes(b"{\"model\""),
            ..InvalidRequest::new("broken JSON", 400, "invalid_request")
        },
        InvalidRequest {
            body: bytes(b"{\"model\":\"\xff\xfe\"}"),
            ..InvalidRequest::new("not UTF-8", 400, "invalid_request")
        },
        InvalidRequest {
            body: bytes(b"{\"model\":\"advisory\"}"),
            ..InvalidRequest::new("no prompt", 400, "invalid_request")
        },
        InvalidRequest {
            body: bytes(b"{\"model\":7,\"prompt\":\"p\"}"),
            ..InvalidRequest::new("wrong type", 400, "invalid_request")
        },
        InvalidRequest {
            body: vec![b' '; 1_100_000],
            ..InvalidRequest::new("body too large", 413, "body_too_large")
        },
        InvalidRequest {
            body: vec![b' '; 8 << 20],
            ..InvalidRequest::new("body many times too large", 413, "body_too_large")
        },
        InvalidRequest {
            path: "/v1/nothing",
            ..InvalidRequest::new("no such path", 404, "not_found")
        },
        InvalidRequest {
            path: "/services/none/x",
            ..InvalidRequest::new("no such service", 404, "not_found")
        },
        InvalidRequest {
            path: "/services/silo/doors",
            ..InvalidRequest::new("no such operation", 404, "not_found")
        },
        InvalidRequest {
            path: "/services/silo/fansite",
            ..InvalidRequest::new("only a prefix of a name", 404, "not_found")
        },
        InvalidRequest {
            method: Method::Get,
            ..InvalidRequest::new("wrong method", 405, "not_found")
        },
        InvalidRequest {
            header: Some(("apricotfork-deadline-ms", "10s")),
            ..InvalidRequest::new("deadline with a unit", 400, "invalid_request")
        },
        InvalidRequest {
            header: Some(("apricotfork-priority", "royal")),
            ..InvalidRequest::new("unknown priority", 400, "invalid_request")
        },
        InvalidRequest {
            header: Some(("apricotfork-prefix-levels", "9,5")),
            ..InvalidRequest::new("levels that descend", 400, "invalid_request")
        },
        InvalidRequest {
            path: "/services/silo/fans/1",
            header: Some(("apricotfork-attempt", "second")),
            ..InvalidRequest::new("unknown attempt", 400, "invalid_request")
        },
    ];
    for case in &cases {
        check(&site, case);
    }
    assert!(serves(&site), "the router continues to serve");
    assert!(site.executions().by_request.is_empty(), "nothing was run");
}

struct RawRequest {
    name: &'static str,
    /// All bytes sent on the connection.
    bytes: Vec<u8>,
}

/// Checks that the connection is closed, with an error response or none, and that the router continues to serve.
fn check_raw(site: &Site, case: &RawRequest) {
    let mut stream = TcpStream::connect(site.routers[0].address).expect("a connection");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
    // The router may close the connection before everything is written.
    let _ = stream.write_all(&case.bytes);
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer).map_err(|err| err.kind());
    let ended = matches!(
        read,
        Ok(_) | Err(ErrorKind::ConnectionReset | ErrorKind::ConnectionAborted)
    );
    assert!(ended, "{}: the connection stays open: {read:?}", case.name);
    let text = String::from_utf8_lossy(&answer);
    assert!(
        answer.is_empty() || text.starts_with("HTTP/1.1 4"),
        "{}: {text}",
        case.name
    );
    assert!(serves(site), "{}: the router continues to serve", case.name);
}

#[test]
fn malformed_and_endless_requests_are_rejected_and_closed() {
    let site = Site::start(&Plan::default());
    let head = |more: &str| {
        let key = bearer(KEY);
        format!("POST /v1/completions HTTP/1.1\r\nhost: r\r\nauthorization: {key}\r\n{more}").into_bytes()
    };
    let long = format!("x-long: {}\r\n\r\n", "x".repeat(64 * 1024));
    let mut endless = head("transfer-encoding: chunked\r\n\r\n");
    for _ in 0..40 {
        endless.extend_from_slice(b"10000\r\n");
        endless.extend_from_slice(&[b' '; 0x10000]);
        endless.extend_from_slice(b"\r\n");
    }
    let cases = [
        RawRequest {
            name: "nothing at all",
            bytes: Vec::new(),
        },
        RawRequest {
            name: "no HTTP",
            bytes: b"\x16\x03\x01\x02\x00\r\n\r\n".to_vec(),
        },
        RawRequest {
            name: "a head that never ends",
            bytes: head("x-more: "),
        },
        RawRequest {
            name: "a head that is too long",
            bytes: head(&long),
        },
        RawRequest {
            name: "a length that is not a number",
            bytes: head("content-length: ten\r\n\r\n"),
        },
        RawRequest {
            name: "a body that stops",
            bytes: head("content-length: 100\r\n\r\n{\"model\""),
        },
        RawRequest {
            name: "an invalid chunk length",
            bytes: head("transfer-encoding: chunked\r\n\r\nzz\r\n"),
        },
        RawRequest {
            name: "a body without end",
            bytes: endless,
        },
    ];
    for case in &cases {
        check_raw(&site, case);
    }
}

/// A client reuses a connection that was idle for longer than the head timeout. If the router closed it then, requests
/// could be sent on a connection that is just closing, and clients could not know whether they ran.
#[test]
fn an_idle_connection_is_kept_beyond_the_head_timeout() {
    let site = Site::start(&Plan::default());
    let mut stream = TcpStream::connect(site.routers[0].address).expect("a connection");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
    let request = format!(
        "GET /v1/models HTTP/1.1\r\nhost: r\r\nauthorization: {}\r\n\r\n",
        bearer(KEY)
    );
    for _ in 0..2 {
        stream.write_all(request.as_bytes()).expect("a request");
        // Head and body may arrive separately.
        let mut answer = Vec::new();
        while !answer.ends_with(b"]}") {
            let mut part = [0; 4096];
            let count = stream.read(&mut part).expect("a response");
            assert!(
                count > 0,
                "the connection is closed: {}",
                String::from_utf8_lossy(&answer)
            );
            answer.extend_from_slice(&part[..count]);
        }
        assert!(
            answer.starts_with(b"HTTP/1.1 200"),
            "{}",
            String::from_utf8_lossy(&answer)
        );
        // Three times the head timeout of 1 s set for these routers.
        std::thread::sleep(std::time::Duration::from_secs(3));
    }
}

/// Many clients send large bodies slowly. Each body is within its limit, but together they could exhaust memory and the
/// process would be killed. Beyond the budget, a request must be refused as `not_run` before its body is read. The budget
/// must be released when a slow body times out.
#[test]
fn request_bodies_share_a_memory_budget() {
    let mut site = Site::start(&Plan {
        routers: 0,
        ..Plan::default()
    });
    let router = site.start_router_with(0, |settings| settings["limits"]["held_bytes"] = json!(1_048_576));
    site.routers.push(router);
    site.wait_until_ready(0);
    let key = bearer(KEY);
    let head =
        format!("POST /v1/completions HTTP/1.1\r\nhost: r\r\nauthorization: {key}\r\ncontent-length: 1048000\r\n\r\n");
    let slow = RefCell::new(Vec::new());
    let body = json!({"model": "advisory", "prompt": "wheat ".repeat(1000)});
    wait_until("the slow body uses up the budget", || {
        // A slow body that arrives while a completion's body is in memory exceeds the budget and is refused.
        let mut stream = TcpStream::connect(site.routers[0].address).expect("a connection");
        stream.write_all(head.as_bytes()).expect("a head");
        slow.borrow_mut().push(stream);
        let answer = site.complete("/v1/completions", &body);
        !answer.status.is_success() && answer.error_fields() == ("overloaded".to_owned(), "not_run".to_owned())
    });
    wait_until("the slow body has timed out", || {
        site.complete("/v1/completions", &body).status.is_success()
    });
}

/// A client closes its connection during the prefill. If the router did not watch the socket, the engine would continue
/// with the unused request and delay queued ones. The router must cancel the request at the engine.
#[test]
fn a_disconnected_client_cancels_its_prefill() {
    let slow = vec!["--prefill-rate", "100"];
    let site = Site::start(&Plan {
        engines: vec![slow],
        ..Plan::default()
    });
    let body = json!({"model": "advisory", "prompt": "wheat ".repeat(10_000), "stream": true}).to_string();
    let mut stream = TcpStream::connect(site.routers[0].address).expect("a connection");
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: r\r\nauthorization: {}\r\ncontent-length: {}\r\n\r\n",
        bearer(KEY),
        body.len()
    );
    stream.write_all(head.as_bytes()).expect("a head");
    stream.write_all(body.as_bytes()).expect("a body");
    let running = || {
        let report = get(site.engines[0].address, "/v1/load").expect("a load report");
        let load: wire::engine::Load = serde_json::from_slice(&report.body).expect("a report");
        load.running + load.waiting
    };
    wait_until("the engine processes the request", || running() == 1);
    drop(stream);
    wait_until("the request is cancelled", || running() == 0);
}

fn serves(site: &Site) -> bool {
    let body = json!({"model": "advisory", "prompt": "p", "max_tokens": 2});
    site.complete("/v1/completions", &body).status.is_success()
}
