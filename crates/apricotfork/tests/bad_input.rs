//! Bad input at the callers' interface: a typed error or a closed connection, and the router serves on.

mod support;

use http::Method;
use serde_json::json;
use std::cell::RefCell;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use support::{KEY, OTHER_KEY, PATIENCE, Plan, Site, bearer, call, get, until};

struct Refusal {
    name: &'static str,
    method: Method,
    path: &'static str,
    key: &'static str,
    header: Option<(&'static str, &'static str)>,
    body: Vec<u8>,
    status: u16,
    code: &'static str,
}

impl Refusal {
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

fn check(site: &Site, case: &Refusal) {
    let mut headers = vec![("authorization", bearer(case.key))];
    headers.extend(case.header.map(|(name, value)| (name, value.to_owned())));
    let answer = call(site.routers[0].address, case.method, case.path, &headers, &case.body).expect(case.name);
    assert_eq!(u16::from(answer.status), case.status, "{}: {answer:?}", case.name);
    assert_eq!(
        answer.refusal(),
        (case.code.to_owned(), "not_run".to_owned()),
        "{}",
        case.name
    );
}

#[test]
fn each_wrong_request_gets_its_typed_refusal() {
    let site = Site::start(&Plan::default());
    let own = |body: &[u8]| body.to_vec();
    let cases = [
        Refusal {
            key: "",
            ..Refusal::new("no key", 401, "unauthorized")
        },
        Refusal {
            key: "guess",
            ..Refusal::new("unknown key", 401, "unauthorized")
        },
        Refusal {
            key: OTHER_KEY,
            ..Refusal::new("another workspace's model", 404, "not_found")
        },
        Refusal {
            body: own(b"{\"model\""),
            ..Refusal::new("broken JSON", 400, "invalid_request")
        },
        Refusal {
            body: own(b"{\"model\":\"\xff\xfe\"}"),
            ..Refusal::new("not UTF-8", 400, "invalid_request")
        },
        Refusal {
            body: own(b"{\"model\":\"advisory\"}"),
            ..Refusal::new("no prompt", 400, "invalid_request")
        },
        Refusal {
            body: own(b"{\"model\":7,\"prompt\":\"p\"}"),
            ..Refusal::new("wrong type", 400, "invalid_request")
        },
        Refusal {
            body: vec![b' '; 1_100_000],
            ..Refusal::new("body too large", 413, "body_too_large")
        },
        Refusal {
            body: vec![b' '; 8 << 20],
            ..Refusal::new("body many times too large", 413, "body_too_large")
        },
        Refusal {
            path: "/v1/nothing",
            ..Refusal::new("no such path", 404, "not_found")
        },
        Refusal {
            path: "/services/none/x",
            ..Refusal::new("no such service", 404, "not_found")
        },
        Refusal {
            path: "/services/silo/doors",
            ..Refusal::new("no such operation", 404, "not_found")
        },
        Refusal {
            path: "/services/silo/fansite",
            ..Refusal::new("only a prefix of a name", 404, "not_found")
        },
        Refusal {
            method: Method::Get,
            ..Refusal::new("wrong method", 405, "not_found")
        },
        Refusal {
            header: Some(("apricotfork-deadline-ms", "10s")),
            ..Refusal::new("deadline with a unit", 400, "invalid_request")
        },
        Refusal {
            header: Some(("apricotfork-priority", "royal")),
            ..Refusal::new("unknown priority", 400, "invalid_request")
        },
        Refusal {
            header: Some(("apricotfork-prefix-levels", "9,5")),
            ..Refusal::new("levels that descend", 400, "invalid_request")
        },
        Refusal {
            path: "/services/silo/fans/1",
            header: Some(("apricotfork-attempt", "second")),
            ..Refusal::new("unknown attempt", 400, "invalid_request")
        },
    ];
    for case in &cases {
        check(&site, case);
    }
    assert!(serves(&site), "the router serves on");
    assert!(site.executions().by_request.is_empty(), "nothing was run");
}

struct Raw {
    name: &'static str,
    /// Sent as it stands; then nothing more is sent.
    bytes: Vec<u8>,
}

/// The connection is closed or answered with an error, and in the end nothing of it is left.
fn check_raw(site: &Site, case: &Raw) {
    let mut stream = TcpStream::connect(site.routers[0].address).expect("a connection");
    stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
    // The router may close before all is written.
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
    assert!(serves(site), "{}: the router serves on", case.name);
}

#[test]
fn broken_and_endless_requests_end_with_their_connection() {
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
        Raw {
            name: "nothing at all",
            bytes: Vec::new(),
        },
        Raw {
            name: "no HTTP",
            bytes: b"\x16\x03\x01\x02\x00\r\n\r\n".to_vec(),
        },
        Raw {
            name: "a head that never ends",
            bytes: head("x-more: "),
        },
        Raw {
            name: "a head that is too long",
            bytes: head(&long),
        },
        Raw {
            name: "a length that is no number",
            bytes: head("content-length: ten\r\n\r\n"),
        },
        Raw {
            name: "a body that stops",
            bytes: head("content-length: 100\r\n\r\n{\"model\""),
        },
        Raw {
            name: "a chunk that lies",
            bytes: head("transfer-encoding: chunked\r\n\r\nzz\r\n"),
        },
        Raw {
            name: "a body without end",
            bytes: endless,
        },
    ];
    for case in &cases {
        check_raw(&site, case);
    }
}

/// A caller keeps its connection and uses it again after a while. Were it closed as soon as one that never sends a head,
/// calls would go out on connections that are just closing, and nobody could tell whether they ran.
#[test]
fn a_connection_that_has_served_is_kept() {
    let site = Site::start(&Plan::default());
    let mut stream = TcpStream::connect(site.routers[0].address).expect("a connection");
    stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
    let request = format!(
        "GET /v1/models HTTP/1.1\r\nhost: r\r\nauthorization: {}\r\n\r\n",
        bearer(KEY)
    );
    for _ in 0..2 {
        stream.write_all(request.as_bytes()).expect("a request");
        // Head and body may come apart.
        let mut answer = Vec::new();
        while !answer.ends_with(b"]}") {
            let mut part = [0; 4096];
            let count = stream.read(&mut part).expect("an answer");
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
        // Three times the second that a head may take here.
        std::thread::sleep(std::time::Duration::from_secs(3));
    }
}

/// Many callers send large bodies slowly. Each is within its limit, and together they could take all memory; the
/// process would be killed with every request it had. Beyond the budget a request is refused before its body is read,
/// truthfully, and once a slow body is given up there is room again.
#[test]
fn bodies_share_a_budget() {
    let mut site = Site::start(&Plan {
        routers: 0,
        ..Plan::default()
    });
    let router = site.start_router_with(0, |settings| settings["limits"]["held_bytes"] = json!(1_048_576));
    site.routers.push(router);
    site.until_ready(0);
    let key = bearer(KEY);
    let head =
        format!("POST /v1/completions HTTP/1.1\r\nhost: r\r\nauthorization: {key}\r\ncontent-length: 1048000\r\n\r\n");
    let slow = RefCell::new(Vec::new());
    let body = json!({"model": "advisory", "prompt": "wheat ".repeat(1000)});
    until("the slow body takes the budget", || {
        // One that comes while a completion's body is held does not fit itself, and is refused.
        let mut stream = TcpStream::connect(site.routers[0].address).expect("a connection");
        stream.write_all(head.as_bytes()).expect("a head");
        slow.borrow_mut().push(stream);
        let answer = site.complete("/v1/completions", &body);
        !answer.status.is_success() && answer.refusal() == ("overloaded".to_owned(), "not_run".to_owned())
    });
    until("it is given up", || {
        site.complete("/v1/completions", &body).status.is_success()
    });
}

/// A caller closes its connection while the engine still prefills its prompt. Without a watch on the socket the
/// engine would go on for nobody, and callers behind it would wait; here the engine is told to cancel.
#[test]
fn a_caller_that_goes_away_frees_the_engine() {
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
    until("the engine works on it", || running() == 1);
    drop(stream);
    until("the engine was told to stop", || running() == 0);
}

fn serves(site: &Site) -> bool {
    let body = json!({"model": "advisory", "prompt": "p", "max_tokens": 2});
    site.complete("/v1/completions", &body).status.is_success()
}
