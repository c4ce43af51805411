//! One of eight runners fails up to 0.4 of the requests that it has run with its own 503, which bears no `X-Not-Executed`. No request
//! that may run once may be answered with a promise (408, 421, 429, 503) if it has run or runs later.
//!
//! Arguments: a temporary folder, the file for the record. Exit codes: 0 held, 1 broken, 2 could not run.

use review_bed_2::{client, record::Record, router::Router, runner::Runner, runner::Work, store::Store};
use serde_json::json;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// One of eight is 0.125; the largest dose of `srv_grey` on the site is 0.14.
const RUNNERS: usize = 8;
/// Which of five requests the runner fails: never more than 0.4 of those so far; the largest dose is 0.45.
const FAILED: [u64; 2] = [2, 4];
/// The largest share of the grey runner's requests that it may fail.
const LARGEST: f64 = 0.45;
/// The longest time for which the site's `srv_grey` lasts.
const LONGEST_FAULT: Duration = Duration::from_millis(6_500);
const CLIENTS: u64 = 8;
/// Orders of each client.
const ORDERS: u64 = 30;
/// Time after which clients send no further order.
const LONGEST: Duration = Duration::from_secs(60);

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1).map(PathBuf::from);
    let (Some(folder), Some(file)) = (arguments.next(), arguments.next()) else {
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&file);
    let store = Store::start();
    store.put(
        "op/config",
        &json!({"version": 3,
            "routes": [{"name": "order", "host": "site.example", "path_prefix": "/order/", "kind": "unsafe", "backend": "desk",
                "timeout_ms": 1500, "goal_ms": 300, "prio": 2, "attempts": 1, "public": false}],
            "services": [{"name": "desk", "health_path": "/healthz", "max_conns": 200}],
            "limits": {"max_header_bytes": 8192, "max_body_bytes": 100_000, "header_timeout_ms": 2000, "idle_timeout_ms": 9000},
            "tenants": [{"name": "grain", "api_keys": ["key-one"], "prio": 1}]}),
    );
    // How often each request id has run.
    let runs: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
    // Requests that the grey runner has run and failed, and the largest share of failed ones at any moment.
    let grey: Arc<Mutex<(u32, u32, f64)>> = Arc::default();
    let began = Instant::now();
    let _runners: Vec<Runner> = (0..RUNNERS)
        .map(|index| {
            let (runs, grey, count) = (runs.clone(), grey.clone(), AtomicU64::new(0));
            let is_grey = trouble && index == 0;
            let work: Work = Arc::new(move |request| {
                let id = request.header("X-Request-Id").unwrap_or_default().to_owned();
                *runs.lock().expect("runs").entry(id).or_default() += 1;
                sleep(Duration::from_millis(15));
                let number = count.fetch_add(1, Ordering::SeqCst);
                let fails = is_grey && began.elapsed() < LONGEST_FAULT && FAILED.contains(&(number % 5));
                if is_grey {
                    let mut grey = grey.lock().expect("grey");
                    grey.0 += 1;
                    grey.1 += u32::from(fails);
                    grey.2 = grey.2.max(f64::from(grey.1) / f64::from(grey.0));
                }
                (if fails { 503 } else { 200 }, Vec::new())
            });
            Runner::start(&format!("i-{index}"), &store, &record, work)
        })
        .collect();
    let router = Router::start(&folder, "front-1", &store);
    if !router.is_ready_within(Duration::from_secs(15)) {
        return ExitCode::from(2);
    }
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (runs, record, front) = (runs.clone(), record.clone(), router.front);
            thread::spawn(move || orders(client, front, &runs, &record))
        })
        .collect();
    let (mut broken, mut twice) = (0, 0);
    for client in clients {
        let Ok((client_broken, client_twice)) = client.join() else {
            return ExitCode::from(2);
        };
        broken += client_broken;
        twice += client_twice;
    }
    let total: u32 = runs.lock().expect("runs").values().sum();
    let end = format!(
        "{} orders, {total} runs: {broken} answered with a promise after they had run, {twice} orders ran twice",
        CLIENTS * ORDERS
    );
    record.line(&end);
    println!("{end}");
    let (run, failed, largest) = *grey.lock().expect("grey");
    record.line(&format!(
        "dose: the grey runner ran {run} requests and failed {failed}, at most a share of {largest:.2} at any moment"
    ));
    if total == 0 || largest > LARGEST {
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(broken > 0))
}

/// Sends orders one after the other. Returns how many were answered with a promise after they had run, and how many ran twice.
fn orders(client: u64, front: SocketAddr, runs: &Mutex<HashMap<String, u32>>, record: &Record) -> (u32, u32) {
    let (mut broken, mut twice) = (0, 0);
    let end = Instant::now() + LONGEST;
    for order in (0..ORDERS).take_while(|_| Instant::now() < end) {
        // As the pages tell clients: a new id for each attempt, and one retry of an unsafe request, after a promise only.
        let mut order_runs = 0;
        for attempt in 0..2 {
            let id = format!("{client:02x}{order:04x}{attempt:02x}");
            let headers = [
                ("X-Request-Id", id.as_str()),
                ("X-Api-Key", "key-one"),
                ("X-Deadline-Ms", "1500"),
            ];
            let body = format!("reserve {client}-{order}");
            record.line(&format!("client sends request {id}: POST /order/x with body {body:?}"));
            let answer = client::call(front, "POST", "/order/x", &headers, &body, Duration::from_secs(3));
            let status = answer.ok().flatten().map_or(0, |answer| answer.status());
            let ran = runs.lock().expect("runs").get(&id).copied().unwrap_or_default();
            order_runs += ran;
            record.line(&format!(
                "client gets {status} for request {id}, which has run {ran} times"
            ));
            let is_promise = matches!(status, 408 | 421 | 429 | 503);
            broken += u32::from(is_promise && ran > 0);
            if !is_promise {
                break;
            }
        }
        twice += u32::from(order_runs > 1);
    }
    (broken, twice)
}
