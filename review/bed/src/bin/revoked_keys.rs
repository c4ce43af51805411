//! Case: a router that has missed changes takes the first part of them for all, and accepts keys that were taken away.

use bed::http::read_message;
use bed::router::Router;
use bed::runner::{Answer, Runner};
use bed::store::Store;
use bed::{Record, large_document, trouble};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::exit;
use std::thread;
use std::time::{Duration, Instant};

/// Size of a configuration; `value_bytes` is 1,048,576.
const BYTES: usize = 1_040_000;
/// How long the store turns one machine of four away; at most 9 s and a share of 0.33 in the site file.
const AWAY: Duration = Duration::from_millis(8_800);
/// Pause between two changes, as in a `config_storm` of the site file.
const STORM_GAP: Duration = Duration::from_millis(330);
/// Versions of the configuration that are written meanwhile. The last one takes the key of tenant t2 away.
const VERSIONS: [u64; 5] = [9, 12, 13, 17, 19];
/// `revoke_ms`.
const REVOKE: Duration = Duration::from_millis(5_000);
/// How long the client of t2 goes on after that.
const ASKS: Duration = Duration::from_secs(6);

fn ask(to: SocketAddr, id: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let request = format!("GET /probe/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1500\r\nX-Api-Key: key2\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream)).ok()?.map(|answer| answer.status())
}

fn play(record: &Record, folder: &Path) -> Result<bool, String> {
    let store = Store::start();
    store.write("op/config", &large_document(7, true, BYTES));
    let zones = ["z1", "z2", "z3", "z4"];
    for (number, zone) in zones.iter().enumerate() {
        let answer = Answer::Body { bytes: 800, work: Duration::from_millis(15) };
        let runner = Runner::start(&format!("i-p{number}"), answer, record);
        store.write(&format!("servers/{}", runner.id), &runner.entry("depot", zone, None));
    }
    let doors: Vec<SocketAddr> = zones.iter().map(|_| store.door()).collect();
    let start = |number: usize| {
        let ip = format!("127.0.0.{}", 61 + number);
        Router::start(&format!("front-{number}"), zones[number], &ip, doors[number], folder, record)
    };
    let routers: Vec<Router> = (0..zones.len()).map(start).collect();
    if !routers.iter().all(|router| router.wait_until_ready(Duration::from_secs(15))) {
        return Err("a router didn't become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    if ask(routers[0].front, "before") != Some(200) {
        return Err("the key isn't accepted before it is taken away".to_owned());
    }
    if trouble() {
        store.bar(doors[0], true);
        record.line("the store turns front-0 away, and serves the other machines and the operator");
    }
    let began = Instant::now();
    let mut revoked = began;
    for version in VERSIONS {
        thread::sleep(STORM_GAP);
        let has_key = Some(&version) != VERSIONS.last();
        revoked = store.write("op/config", &large_document(version, has_key, BYTES));
        let key = if has_key { "has the key of t2" } else { "takes the key of t2 away" };
        record.line(&format!("operator: configuration {version} acknowledged, {key}"));
    }
    let mut ran = 0;
    let mut healed = false;
    for number in 0.. {
        if !healed && began.elapsed() >= AWAY {
            healed = true;
            store.bar(doors[0], false);
            record.line("the store serves all machines");
        }
        let since = revoked.elapsed();
        if since > AWAY.max(REVOKE) + ASKS {
            break;
        }
        let id = format!("revoked-{number}");
        let status = ask(routers[0].front, &id);
        let seen = status.map_or("nothing".to_owned(), |status| status.to_string());
        record.line(&format!("client of t2 at front-0: {id}, sent {since:.3?} after the ack, is answered {seen}"));
        if since > REVOKE && status == Some(200) {
            ran += 1;
        }
        thread::sleep(Duration::from_millis(20));
    }
    record.line(&format!("CONFIG: {ran} requests with the key ran that were sent later than revoke_ms after the ack (broken above 0)"));
    Ok(ran == 0)
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
