//! Completions at engines that break connections, die, stop or send responses of other requests, with real processes.

mod support;

use http::Method;
use serde_json::{Value, json};
use standins::engine::{piece, text_seed};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;
use support::{KEY, Plan, Response, Site, bearer, call, fault, get, metric, signal, wait_until};
use wire::engine::{Fault, Load};

const PROMPT: &str = "silo 7 is at 31 degrees";
const PATH: &str = "/v1/completions";
const PIECES: u64 = 40;

fn site() -> Site {
    let engine = || vec!["--decode-ms", "10", "--report-lag-ms", "10"];
    Site::start(&Plan {
        engines: vec![engine(), engine()],
        ..Plan::default()
    })
}

/// Summarizes a response: `complete`, the fields `code` and `ran` of the error or error event, or a description of the
/// fault.
fn outcome(answer: &Response) -> String {
    let seed = text_seed("w1", PROMPT);
    let expected: String = (0..PIECES).map(|number| piece(seed, number)).collect();
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    if !answer.status.is_success() {
        let (code, ran) = answer.error_fields();
        return format!("{code} {ran}");
    }
    if body.starts_with('{') {
        let complete = answer.json()["choices"][0]["text"].as_str() == Some(expected.as_str());
        return if complete {
            "complete".to_owned()
        } else {
            format!("wrong: {body}")
        };
    }
    let events: Vec<&str> = body.split_terminator("\n\n").collect();
    let Some((last, pieces)) = events.split_last() else {
        return "nothing".to_owned();
    };
    let mut text = String::new();
    for (number, event) in pieces.iter().enumerate() {
        let Some(data) = event.strip_prefix(&format!("id: {number}\ndata: ")) else {
            return format!("duplicate, missing or out of order at {number}: {event}");
        };
        let data: Value = serde_json::from_str(data).expect("an event's data");
        text.push_str(data["choices"][0]["text"].as_str().unwrap_or_default());
    }
    if *last == "data: [DONE]" {
        return if text == expected {
            "complete".to_owned()
        } else {
            format!("wrong: {text}")
        };
    }
    let Some(error) = last.strip_prefix("event: error\ndata: ") else {
        return format!("end without [DONE] or error: {last}");
    };
    assert!(
        expected.starts_with(&text),
        "the text before the error must be a prefix of the answer"
    );
    let error: Value = serde_json::from_str(error).expect("an error event's data");
    let part = |name: &str| error["error"][name].as_str().unwrap_or_default().to_owned();
    format!("{} {}", part("code"), part("ran"))
}

fn complete(to: SocketAddr, stream: bool, deadline_ms: u64) -> Response {
    let body = json!({"model": "advisory", "prompt": PROMPT, "max_tokens": PIECES, "stream": stream}).to_string();
    let headers = [
        ("authorization", bearer(KEY)),
        ("content-type", "application/json".to_owned()),
        ("apricotfork-deadline-ms", deadline_ms.to_string()),
    ];
    call(to, Method::Post, PATH, &headers, body.as_bytes()).expect("a complete answer")
}

fn inject_into_engines(site: &Site, injected: &Fault) {
    site.engines.iter().for_each(|engine| fault(engine.address, injected));
}

fn load(engine: SocketAddr) -> Load {
    serde_json::from_slice(&get(engine, "/v1/load").expect("a report").body).expect("a report")
}

/// Waits until completions succeed again. The router avoids a failed engine for a while.
fn wait_until_in_service(site: &Site) {
    let to = site.routers[0].address;
    wait_until("an engine is in service", || {
        outcome(&complete(to, false, 2_000)) == "complete"
    });
}

/// Number of failed attempts and resumed streams counted by the router.
fn failures(site: &Site) -> u64 {
    let names = ["retries_total{why=\"broken\"}", "streams_resumed_total"].map(|name| format!("apricotfork_{name}"));
    let count = |name: &String| metric(&site.routers[0], name)?.parse::<u64>().ok();
    names.iter().filter_map(count).sum()
}

/// Name, whether the response is a stream, and the fault that one engine has once.
struct Case(&'static str, bool, Fault);

// Engines break streams, truncate responses and send responses with the id of another request. The client must still get
// the complete text, without duplicates, gaps or text of another request.
#[test]
fn responses_are_complete_despite_engine_faults() {
    let site = site();
    let broken = |at| Fault {
        break_streams: Some(1),
        break_at: at,
        ..Fault::default()
    };
    let cleared = Fault {
        break_streams: Some(0),
        cross_answers: Some(0),
        cut_answers: Some(0),
        ..Fault::default()
    };
    let cases = [
        Case("broken before the first piece", true, broken(Some(0))),
        Case("broken after one piece", true, broken(Some(1))),
        Case("broken in the middle", true, broken(Some(17))),
        Case("broken before the last piece", true, broken(Some(PIECES - 1))),
        Case("broken before the end mark", true, broken(Some(PIECES))),
        Case(
            "crossed stream",
            true,
            Fault {
                cross_answers: Some(1),
                ..Fault::default()
            },
        ),
        Case(
            "crossed answer",
            false,
            Fault {
                cross_answers: Some(1),
                ..Fault::default()
            },
        ),
        Case(
            "short answer",
            false,
            Fault {
                cut_answers: Some(1),
                ..Fault::default()
            },
        ),
    ];
    for Case(name, stream, injected) in cases {
        let before = failures(&site);
        // The router chooses the engine, so this repeats until the faulty one was used.
        wait_until("an engine had the fault", || {
            for engine in &site.engines {
                wait_until_in_service(&site);
                fault(engine.address, &injected);
                let answer = complete(site.routers[0].address, stream, 20_000);
                fault(engine.address, &cleared);
                assert_eq!(outcome(&answer), "complete", "{name}");
            }
            failures(&site) > before
        });
    }
}

/// Crash or signal, whether it hits both engines or only the streaming one, and the expected outcome.
struct Interruption(&'static str, bool, &'static str);

// An engine dies, restarts with an empty cache or stops during a stream. The stream must be resumed at the other engine, or
// the client must get an explicit error by its deadline. Without the error, it would take the text for complete.
#[test]
fn interrupted_streams_are_resumed_or_end_with_an_error() {
    for Interruption(interruption, both, expected) in [
        Interruption("crash", false, "complete"),
        Interruption("KILL", false, "complete"),
        Interruption("KILL", true, "endpoint_failed unknown"),
        Interruption("STOP", true, "deadline_exceeded unknown"),
    ] {
        let site = site();
        let to = site.routers[0].address;
        inject_into_engines(
            &site,
            &Fault {
                slow_percent: Some(300),
                ..Fault::default()
            },
        );
        let client = thread::spawn(move || complete(to, true, 4_000));
        wait_until("an engine streams", || {
            site.engines.iter().any(|engine| load(engine.address).running > 0)
        });
        thread::sleep(Duration::from_millis(100));
        let busy: Vec<bool> = site
            .engines
            .iter()
            .map(|engine| load(engine.address).running > 0)
            .collect();
        for (engine, busy) in site.engines.iter().zip(busy) {
            if !busy && !both {
                continue;
            }
            match interruption {
                "crash" => fault(
                    engine.address,
                    &Fault {
                        crash: Some(true),
                        ..Fault::default()
                    },
                ),
                name => signal(engine, name),
            }
        }
        assert_eq!(
            outcome(&client.join().expect("no panic")),
            expected,
            "{interruption}, both: {both}"
        );
    }
}

// A client disconnects before the end of its response. If the engine continued, it would have less capacity for other
// requests.
#[test]
fn a_disconnected_client_cancels_its_completion() {
    for stream in [false, true] {
        let site = site();
        // 40 pieces of 10 s each: the engine would be busy for longer than the test waits.
        inject_into_engines(
            &site,
            &Fault {
                slow_percent: Some(100_000),
                ..Fault::default()
            },
        );
        let body = json!({"model": "advisory", "prompt": PROMPT, "max_tokens": PIECES, "stream": stream}).to_string();
        let mut client = TcpStream::connect(site.routers[0].address).expect("the router");
        let head = format!("POST {PATH} HTTP/1.1\r\nhost: a\r\nauthorization: {}\r\n", bearer(KEY));
        write!(client, "{head}content-length: {}\r\n\r\n{body}", body.len()).expect("a request");
        let running = || {
            site.engines
                .iter()
                .map(|engine| load(engine.address).running)
                .sum::<u32>()
        };
        wait_until("an engine is busy", || running() == 1);
        if stream {
            let mut part = [0; 12];
            client.read_exact(&mut part).expect("the head of an answer");
        }
        drop(client);
        wait_until("no engine is busy", || running() == 0);
    }
}
