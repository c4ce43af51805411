//! Two of four runners send additional bytes after one in 34 of their complete answers, late: at the point where the next answer on that
//! channel is expected. The bytes look like a bare 404 and bear no `X-Request-Id`. No more than 5 + one in 500 of all requests may end
//! with a 3xx or 4xx of the router's own.
//!
//! Arguments: a temporary folder, the file for the record. Exit codes: 0 held, 1 broken, 2 could not run.

use review_bed_2::{client, http, record::Record, router::Router, store::Store};
use serde_json::json;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const RUNNERS: usize = 4;
/// Share 0.5 of the runners; the site's largest dose is 0.6.
const FAULTY: usize = 2;
/// One in this many answers is followed by additional bytes: 0.0294; the site's largest dose is 0.03.
const ONE_IN: u64 = 34;
/// The bytes, sent when the next request arrives.
const EXTRA: &[u8] = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
/// The disruption lasts this long, and comes back after the same time.
const WINDOW: Duration = Duration::from_secs(5);
const LENGTH: Duration = Duration::from_secs(40);
const CLIENTS: u64 = 6;
/// Pause of a client between two requests: 60 requests a second in all.
const PAUSE: Duration = Duration::from_millis(85);

struct Faults {
    began: Instant,
    trouble: bool,
    extras: AtomicU64,
}

impl Faults {
    fn is_on(&self) -> bool {
        self.trouble && (self.began.elapsed().as_secs() / WINDOW.as_secs()).is_multiple_of(2)
    }
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1).map(PathBuf::from);
    let (Some(folder), Some(file)) = (arguments.next(), arguments.next()) else {
        return ExitCode::from(2);
    };
    let record = Record::create(&file);
    let store = Store::start();
    store.put(
        "op/config",
        &json!({"version": 3,
            "routes": [{"name": "read", "host": "site.example", "path_prefix": "/read/", "kind": "safe", "backend": "desk",
                "timeout_ms": 1500, "goal_ms": 300, "prio": 2, "attempts": 2, "public": false}],
            "services": [{"name": "desk", "health_path": "/healthz", "max_conns": 200}],
            "limits": {"max_header_bytes": 8192, "max_body_bytes": 100_000, "header_timeout_ms": 2000, "idle_timeout_ms": 9000},
            "tenants": [{"name": "grain", "api_keys": ["key-one"], "prio": 1}]}),
    );
    let faults = Arc::new(Faults {
        began: Instant::now(),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        extras: AtomicU64::new(0),
    });
    for index in 0..RUNNERS {
        start_runner(&format!("i-{index}"), index < FAULTY, &store, &record, &faults);
    }
    let router = Router::start(&folder, "front-1", &store);
    if !router.is_ready_within(Duration::from_secs(15)) {
        return ExitCode::from(2);
    }
    let statuses: Arc<Mutex<BTreeMap<u16, u64>>> = Arc::default();
    let end = Instant::now() + LENGTH;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (statuses, record, front) = (statuses.clone(), record.clone(), router.front);
            thread::spawn(move || requests(number, front, end, &statuses, &record))
        })
        .collect();
    for client in clients {
        if client.join().is_err() {
            return ExitCode::from(2);
        }
    }
    let statuses = statuses.lock().expect("statuses");
    let all: u64 = statuses.values().sum();
    let denied: u64 = statuses
        .iter()
        .filter(|(status, _)| (300..500).contains(*status))
        .map(|(_, count)| count)
        .sum();
    let allowed = 5.0 + all as f64 / 500.0;
    let extras = faults.extras.load(Ordering::SeqCst);
    let line = format!(
        "{all} requests, {extras} times additional bytes: {denied} ended with a 3xx or 4xx without a runner's seal, {allowed:.1} allowed; {statuses:?}"
    );
    record.line(&line);
    println!("{line}");
    if all == 0 {
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(denied as f64 > allowed))
}

fn requests(number: u64, front: SocketAddr, end: Instant, statuses: &Mutex<BTreeMap<u16, u64>>, record: &Record) {
    let mut sent = 0;
    while Instant::now() < end {
        let id = format!("{number:02x}{sent:06x}");
        sent += 1;
        let headers = [
            ("X-Request-Id", id.as_str()),
            ("X-Api-Key", "key-one"),
            ("X-Deadline-Ms", "1500"),
        ];
        let answer = client::call(front, "GET", "/read/x", &headers, "", Duration::from_secs(3))
            .ok()
            .flatten();
        let status = answer.as_ref().map_or(0, http::Message::status);
        let is_sealed = answer.is_some_and(|answer| answer.header("X-Server-Seal").is_some());
        record.line(&format!(
            "client gets {status} for request {id}, GET /read/x, seal {is_sealed}"
        ));
        // A failure with a seal is the runner's; these runners send none.
        if !(is_sealed && (300..500).contains(&status)) {
            *statuses.lock().expect("statuses").entry(status).or_default() += 1;
        }
        sleep(PAUSE);
    }
}

fn start_runner(id: &str, is_faulty: bool, store: &Store, record: &Record, faults: &Arc<Faults>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let born = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("a time")
        .as_millis() as u64;
    let entry = json!({"backend": "desk", "addr": address, "zone": "zone-a", "version": "v1", "slots": 6, "state": "ready",
        "cold_left_ms": 0, "seq": 1, "born": born});
    store.put(&format!("servers/{id}"), &entry);
    let (id, record, faults) = (id.to_owned(), record.clone(), faults.clone());
    let answers = Arc::new(AtomicU64::new(0));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, record, faults, answers) = (id.clone(), record.clone(), faults.clone(), answers.clone());
            thread::spawn(move || serve(stream, &id, is_faulty, &record, &faults, &answers));
        }
    });
}

fn serve(stream: TcpStream, id: &str, is_faulty: bool, record: &Record, faults: &Faults, answers: &AtomicU64) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    let mut owes_extra = false;
    while let Ok(Some(request)) = http::read(&mut reader) {
        let request_id = request.header("X-Request-Id").unwrap_or_default().to_owned();
        if std::mem::take(&mut owes_extra) {
            faults.extras.fetch_add(1, Ordering::SeqCst);
            record.line(&format!(
                "runner {id} sends additional bytes where its answer to {request_id} is due"
            ));
            if writer.write_all(EXTRA).is_err() {
                return;
            }
        }
        let (status, body) = match request.word(1) {
            "/-/report" | "/healthz" => (200, "{}"),
            _ if request
                .header("X-Expect-Instance")
                .is_some_and(|expected| expected != id) =>
            {
                (421, "")
            }
            _ => {
                record.line(&format!("runner {id} runs request {request_id}"));
                sleep(Duration::from_millis(15));
                owes_extra =
                    is_faulty && faults.is_on() && answers.fetch_add(1, Ordering::SeqCst) % ONE_IN == ONE_IN - 1;
                (200, "{\"moisture\": 12}")
            }
        };
        let headers = [
            ("X-Instance-Id", id.to_owned()),
            ("X-Request-Id", request_id),
            ("X-Server-Seal", "3e1b.07.5a2.600.0.c9f2a4d1".to_owned()),
        ];
        if http::respond(&mut writer, status, &headers, body.as_bytes()).is_err() {
            return;
        }
    }
}
