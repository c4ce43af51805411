//! Case: runners that read slowly make routers exceed their memory.

use bed::http::read_message;
use bed::router::Router;
use bed::runner::{Answer, Runner};
use bed::store::Store;
use bed::{Record, document, trouble};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::exit;
use std::thread;
use std::time::{Duration, Instant};

/// `limits.memory_mb` of the site's machines.
const MEMORY_KB: u64 = 96 * 1024;
/// `max_body_bytes` of the configuration: what a client may send.
const BODY: usize = 4_194_304;
/// Requests at once at each router. Each client sends one.
const CLIENTS: usize = 8;
/// Bytes a second that a slow runner reads: a whole request takes it 3 s of the 4 s that the route allows.
const RATE: usize = 1_400_000;
/// Rounds of requests.
const ROUNDS: usize = 4;

fn client(to: SocketAddr, id: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let part = id.bytes().fold(0u32, |sum, byte| sum.wrapping_mul(31) + u32::from(byte)) & 0xffff;
    let head = format!(
        "POST /verdict/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 4000\r\nX-Api-Key: key1\r\nX-Model: m\r\nX-Token-Usage: 9190,10\r\nX-Prefix-Hash: a1:2520,b2:3780,c{part:x}:2890\r\nContent-Length: {BODY}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(&vec![b'q'; BODY]).ok()?;
    read_message(&mut BufReader::new(stream)).ok()?.map(|answer| answer.status())
}

/// One round at one router. Returns the most memory that it used, and whether the platform killed it for that.
fn round(router: &Router, tag: &str, record: &Record) -> (u64, bool) {
    let (mut peak, mut killed) = (0, false);
    thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| {
                let id = format!("{tag}c{number}");
                scope.spawn(move || (client(router.front, &id), id))
            })
            .collect();
        record.line(&format!("{CLIENTS} clients send a request of {BODY} bytes each to {}", router.vm));
        let until = Instant::now() + Duration::from_secs(5);
        while Instant::now() < until && !killed && clients.iter().any(|client| !client.is_finished()) {
            let memory = router.memory_kb();
            peak = peak.max(memory);
            if memory > MEMORY_KB {
                record.line(&format!("router {} uses {memory} KB of {MEMORY_KB}: the platform kills it", router.vm));
                router.signal(9);
                killed = true;
            }
            thread::sleep(Duration::from_millis(2));
        }
        for client in clients {
            let (status, id) = client.join().expect("a client");
            let seen = status.map_or("no answer".to_owned(), |status| format!("status {status}"));
            record.line(&format!("client {id}: {seen}"));
        }
    });
    record.line(&format!("router {}: at most {peak} KB of {MEMORY_KB} in this round", router.vm));
    (peak, killed)
}

fn play(record: &Record, folder: &Path) -> Result<bool, String> {
    let store = Store::start();
    store.write("op/config", &document(7));
    store.write("op/version/m", r#"{"model":"m","version":1}"#);
    let zones = ["z1", "z2"];
    for number in 0..6 {
        let pause = Duration::from_millis(5);
        let answer = if trouble() {
            Answer::SlowReader { rate: RATE, count: 10, bytes: 55 }
        } else {
            Answer::Events { count: 10, bytes: 55, pause }
        };
        let engine = Runner::start(&format!("i-e{number}"), answer, record);
        store.write(&format!("servers/{}", engine.id), &engine.entry("advisory", zones[number % 2], Some("m")));
        let plain = Runner::start(&format!("i-p{number}"), Answer::Body { bytes: 800, work: Duration::from_millis(60) }, record);
        store.write(&format!("servers/{}", plain.id), &plain.entry("depot", zones[number % 2], None));
    }
    let start = |number: usize| {
        let ip = format!("127.0.0.{}", 21 + number);
        Router::start(&format!("front-{number}"), zones[number], &ip, store.address, folder, record)
    };
    let mut routers: Vec<Router> = (0..zones.len()).map(start).collect();
    let mut ends = vec![0; routers.len()];
    for number in 0..ROUNDS {
        if !routers.iter().all(|router| router.wait_until_ready(Duration::from_secs(15))) {
            return Err("a router didn't become ready".to_owned());
        }
        // More than `contact_ms` since the start of the process, without any disruption of it.
        thread::sleep(Duration::from_millis(3_500));
        let results: Vec<(u64, bool)> = thread::scope(|scope| {
            let rounds: Vec<_> = routers
                .iter()
                .enumerate()
                .map(|(at, router)| scope.spawn(move || round(router, &format!("r{number}m{at}"), record)))
                .collect();
            rounds.into_iter().map(|round| round.join().expect("a round")).collect()
        });
        for (at, (_, killed)) in results.iter().enumerate() {
            if *killed {
                ends[at] += 1;
                routers[at] = start(at);
            }
        }
    }
    record.line(&format!("processes ended for their memory, by machine: {ends:?} (a fault: three times on two machines at least)"));
    Ok(ends.iter().filter(|ends| **ends >= 3).count() < 2)
}

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).expect("a folder for the record"));
    let scratch = PathBuf::from(std::env::args().nth(2).expect("a temporary folder"));
    let record = Record::create(&folder.join("record.txt"));
    let code = match play(&record, &scratch) {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(why) => {
            record.line(&format!("could not run: {why}"));
            2
        }
    };
    record.line(&format!("exit {code}"));
    exit(code);
}
