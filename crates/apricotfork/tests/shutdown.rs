//! The end of a router's process: nothing in flight is cut, nothing new is taken, and the next life serves at once.

mod support;

use async_std::task;
use http::{Client, EventStream, Method, Request, StatusCode, Url};
use serde_json::json;
use support::{KEY, PATIENCE, Plan, Site, bearer, get, operators, signal, until};

/// An engine whose answers take long enough to be in flight when the signal comes.
const SLOW: &[&str] = &["--decode-ms", "40"];
const TOKENS: u64 = 50;

/// Begins a stream and reads its first piece.
async fn stream(site: &Site) -> EventStream {
    let to = site.routers[0].address;
    let mut request = Request::new(
        Method::Post,
        Url::parse(&format!("http://{to}/v1/completions")).expect("a URL"),
    );
    request.insert_header("authorization", bearer(KEY));
    let body = json!({"model": "advisory", "prompt": "p", "max_tokens": TOKENS, "stream": true}).to_string();
    let reply = Client::new()
        .send_once(to, request, body.as_bytes(), PATIENCE, || true)
        .await
        .expect("a head");
    assert_eq!(reply.status(), StatusCode::Ok);
    let mut pieces = reply.into_events().expect("a stream");
    pieces.next().await.expect("a piece").expect("a piece");
    pieces
}

/// Reads to the end; the data of the last event, and how many there were.
async fn rest(mut pieces: EventStream) -> (String, u64) {
    let (mut last, mut count) = (String::new(), 1);
    while let Ok(Some(piece)) = pieces.next().await {
        last = piece.data;
        count += 1;
    }
    (last, count)
}

/// Tells the router to stop, and waits until the balancer could see it.
fn stop_and_wait_unready(site: &Site) {
    signal(&site.routers[0], "TERM");
    until("it is not ready", || {
        get(operators(&site.routers[0]), "/readyz").is_ok_and(|answer| !answer.status.is_success())
    });
}

/// A router is replaced while an advisory streams. If the process simply ended, the depot keeper would see half an
/// answer. The stream ends whole, `/readyz` tells the balancer at once, and the process exits with 0.
#[test]
fn a_stream_in_flight_ends_whole() {
    let mut site = Site::start(&Plan {
        engines: vec![SLOW.to_vec()],
        ..Plan::default()
    });
    task::block_on(async {
        let pieces = stream(&site).await;
        stop_and_wait_unready(&site);
        let (last, count) = rest(pieces).await;
        assert_eq!(last, "[DONE]");
        assert!(count > TOKENS, "{count} events");
    });
    let code = site.routers.pop().expect("a router").wait();
    assert_eq!(code.expect("an end").code(), Some(0));
}

/// An operator cannot wait and signals twice. The process ends at once, and its exit code says that requests were cut,
/// so that it is not taken for a clean end.
#[test]
fn a_second_signal_says_what_was_cut() {
    let mut site = Site::start(&Plan {
        engines: vec![SLOW.to_vec()],
        ..Plan::default()
    });
    task::block_on(async {
        let pieces = stream(&site).await;
        stop_and_wait_unready(&site);
        signal(&site.routers[0], "TERM");
        let (last, _) = rest(pieces).await;
        assert_ne!(last, "[DONE]", "a cut stream must not look complete");
    });
    let code = site.routers.pop().expect("a router").wait();
    assert_eq!(code.expect("an end").code(), Some(3));
}

/// A balancer that is slow to notice goes on sending to a router that drains. A request on a connection that is still
/// open is refused as not run, with a time to come back, instead of being cut half-way.
#[test]
fn a_draining_router_refuses_truthfully() {
    let site = Site::start(&Plan {
        engines: vec![SLOW.to_vec()],
        ..Plan::default()
    });
    let to = site.routers[0].address;
    let client = Client::new();
    let ask = |body: serde_json::Value| {
        let mut request = Request::new(
            Method::Post,
            Url::parse(&format!("http://{to}/v1/completions")).expect("a URL"),
        );
        request.insert_header("authorization", bearer(KEY));
        let client = client.clone();
        async move { client.send(to, request, body.to_string().as_bytes(), PATIENCE).await }
    };
    task::block_on(async {
        let short = json!({"model": "advisory", "prompt": "p", "max_tokens": 1});
        let first = ask(short.clone()).await.expect("an answer");
        first.read_body(1 << 20).await.expect("a body");
        let pieces = stream(&site).await;
        signal(&site.routers[0], "TERM");
        // The connection of the first request stays open in the pool; new ones are refused once the router drains.
        until("it drains", || {
            std::net::TcpStream::connect(to).is_err() || refuses(&site)
        });
        let refused = ask(short).await.expect("an answer on the open connection");
        assert_eq!(refused.status(), StatusCode::ServiceUnavailable);
        assert_eq!(refused.header("apricotfork-ran"), Some("not_run"));
        assert!(refused.header("retry-after").is_some());
        assert_eq!(rest(pieces).await.0, "[DONE]");
    });
}

/// Whether the router has begun to drain, as its status tells.
fn refuses(site: &Site) -> bool {
    let answer = get(operators(&site.routers[0]), "/status").expect("a status");
    answer.json()["draining"] == json!(true)
}

/// A router's process is killed and started again. It keeps nothing, and needs no warm-up: the first request that
/// reaches it is served.
#[test]
fn a_restarted_router_serves_its_first_request() {
    let mut site = Site::start(&Plan::default());
    drop(site.routers.pop());
    let router = site.start_router(0);
    site.routers.push(router);
    site.until_ready(0);
    let answer = site.complete(
        "/v1/completions",
        &json!({"model": "advisory", "prompt": "p", "max_tokens": 2}),
    );
    assert!(answer.status.is_success(), "{answer:?}");
}
