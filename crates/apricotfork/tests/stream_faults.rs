//! Completions whose engines break, die, stop or answer for others, with real processes.

mod support;

use http::Method;
use serde_json::{Value, json};
use standins::engine::{piece, text_seed};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;
use support::{Answer, KEY, Plan, Site, bearer, call, fault, get, metric, signal, until};
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

/// What the caller is told: `whole`, the code of the refusal or error event with its `ran`, or what is wrong.
fn told(answer: &Answer) -> String {
    let seed = text_seed("w1", PROMPT);
    let expected: String = (0..PIECES).map(|number| piece(seed, number)).collect();
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    if !answer.status.is_success() {
        let (code, ran) = answer.refusal();
        return format!("{code} {ran}");
    }
    if body.starts_with('{') {
        let whole = answer.json()["choices"][0]["text"].as_str() == Some(expected.as_str());
        return if whole {
            "whole".to_owned()
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
            return format!("doubled, missing or out of order at {number}: {event}");
        };
        let data: Value = serde_json::from_str(data).expect("an event's data");
        text.push_str(data["choices"][0]["text"].as_str().unwrap_or_default());
    }
    if *last == "data: [DONE]" {
        return if text == expected {
            "whole".to_owned()
        } else {
            format!("wrong: {text}")
        };
    }
    let Some(error) = last.strip_prefix("event: error\ndata: ") else {
        return format!("a quiet end: {last}");
    };
    assert!(
        expected.starts_with(&text),
        "what came before the error is a part of the answer"
    );
    let error: Value = serde_json::from_str(error).expect("an error event's data");
    let part = |name: &str| error["error"][name].as_str().unwrap_or_default().to_owned();
    format!("{} {}", part("code"), part("ran"))
}

fn complete(to: SocketAddr, stream: bool, deadline_ms: u64) -> Answer {
    let body = json!({"model": "advisory", "prompt": PROMPT, "max_tokens": PIECES, "stream": stream}).to_string();
    let headers = [
        ("authorization", bearer(KEY)),
        ("content-type", "application/json".to_owned()),
        ("apricotfork-deadline-ms", deadline_ms.to_string()),
    ];
    call(to, Method::Post, PATH, &headers, body.as_bytes()).expect("a whole answer")
}

fn engines(site: &Site, switch: &Fault) {
    site.engines.iter().for_each(|engine| fault(engine.address, switch));
}

fn load(engine: SocketAddr) -> Load {
    serde_json::from_slice(&get(engine, "/v1/load").expect("a report").body).expect("a report")
}

/// Waits until completions are answered again; a broken engine is left alone for a while.
fn in_service(site: &Site) {
    let to = site.routers[0].address;
    until("an engine is in service", || {
        told(&complete(to, false, 2_000)) == "whole"
    });
}

/// Attempts and streams that the router saw fail.
fn failures(site: &Site) -> u64 {
    let names = ["retries_total{why=\"broken\"}", "streams_resumed_total"].map(|name| format!("apricotfork_{name}"));
    let count = |name: &String| metric(&site.routers[0], name)?.parse::<u64>().ok();
    names.iter().filter_map(count).sum()
}

/// What goes wrong at an engine once, and whether the answer is a stream.
struct Case(&'static str, bool, Fault);

// Engines break streams, cut answers short and send answers that bear another request's id. The caller of a completion
// gets the whole text all the same: nothing doubled, nothing missing, nothing of somebody else's.
#[test]
fn answers_are_whole_whatever_engines_send() {
    let site = site();
    let broken = |at| Fault {
        break_streams: Some(1),
        break_at: at,
        ..Fault::default()
    };
    let right = Fault {
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
    for Case(name, stream, wrong) in cases {
        let before = failures(&site);
        // Which engine is asked is the router's choice.
        until("an engine did it", || {
            for engine in &site.engines {
                in_service(&site);
                fault(engine.address, &wrong);
                let answer = complete(site.routers[0].address, stream, 20_000);
                fault(engine.address, &right);
                assert_eq!(told(&answer), "whole", "{name}");
            }
            failures(&site) > before
        });
    }
}

/// What is done to the engine that is streaming, or to both, and what the caller is told.
struct Blow(&'static str, bool, &'static str);

// An engine dies, comes back empty or stops in the middle of a stream. The stream goes on at the other engine, or the
// caller reads an explicit error by its deadline; an end that looks like the end of the text would be taken for it.
#[test]
fn engines_that_die_or_stop_while_they_stream() {
    for Blow(blow, both, expected) in [
        Blow("crash", false, "whole"),
        Blow("KILL", false, "whole"),
        Blow("KILL", true, "endpoint_failed unknown"),
        Blow("STOP", true, "deadline_exceeded unknown"),
    ] {
        let site = site();
        let to = site.routers[0].address;
        engines(
            &site,
            &Fault {
                slow_percent: Some(300),
                ..Fault::default()
            },
        );
        let caller = thread::spawn(move || complete(to, true, 4_000));
        until("an engine streams", || {
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
            match blow {
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
            told(&caller.join().expect("no panic")),
            expected,
            "{blow}, both: {both}"
        );
    }
}

// A keeper closes the page while the answer is still being computed. An engine that goes on for nobody is missing to
// those who wait.
#[test]
fn a_caller_that_goes_away_frees_the_engine() {
    for stream in [false, true] {
        let site = site();
        // 40 pieces of 10 s each: the engine would be busy for longer than the test waits.
        engines(
            &site,
            &Fault {
                slow_percent: Some(100_000),
                ..Fault::default()
            },
        );
        let body = json!({"model": "advisory", "prompt": PROMPT, "max_tokens": PIECES, "stream": stream}).to_string();
        let mut caller = TcpStream::connect(site.routers[0].address).expect("the router");
        let head = format!("POST {PATH} HTTP/1.1\r\nhost: a\r\nauthorization: {}\r\n", bearer(KEY));
        write!(caller, "{head}content-length: {}\r\n\r\n{body}", body.len()).expect("a request");
        let running = || {
            site.engines
                .iter()
                .map(|engine| load(engine.address).running)
                .sum::<u32>()
        };
        until("an engine is busy", || running() == 1);
        if stream {
            let mut part = [0; 12];
            caller.read_exact(&mut part).expect("the head of an answer");
        }
        drop(caller);
        until("no engine is busy", || running() == 0);
    }
}
