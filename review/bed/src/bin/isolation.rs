//! Case: a tenant that becomes isolated goes on sharing the KV cache that its requests made before.

use bed::http::read_message;
use bed::router::Router;
use bed::runner::{Answer, Runner};
use bed::store::Store;
use bed::{Record, document_with, trouble};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::exit;
use std::thread;
use std::time::Duration;

/// Requests of each tenant.
const REQUESTS: usize = 6;

/// A request whose prompt begins with two parts that all tenants' requests share.
fn ask(to: SocketAddr, key: &str, id: &str, own: usize, record: &Record) -> Result<(), String> {
    let mut stream = TcpStream::connect(to).map_err(|err| err.to_string())?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).map_err(|err| err.to_string())?;
    let body = "q".repeat(18_000);
    let request = format!(
        "POST /verdict/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 4000\r\nX-Api-Key: {key}\r\nX-Model: m\r\nX-Token-Usage: 9190,10\r\nX-Prefix-Hash: a1:2520,b2:3780,{own:x}:2890\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).map_err(|err| err.to_string())?;
    let answer = read_message(&mut BufReader::new(stream)).map_err(|err| err.to_string())?.ok_or("no answer")?;
    record.line(&format!("client with {key}: {id} answered {}", answer.status()));
    if answer.status() == 200 { Ok(()) } else { Err(format!("{id} answered {}", answer.status())) }
}

fn play(record: &Record, folder: &Path) -> Result<bool, String> {
    let store = Store::start();
    // Without the disruption, the tenant is isolated from the beginning.
    store.write("op/config", &document_with(7, !trouble()));
    store.write("op/version/m", r#"{"model":"m","version":1}"#);
    let zones = ["z1", "z2"];
    let mut engines = Vec::new();
    for (number, zone) in zones.iter().enumerate() {
        let events = Answer::Events { count: 10, bytes: 55, pause: Duration::from_millis(5) };
        let engine = Runner::start(&format!("i-e{number}"), events, record);
        store.write(&format!("servers/{}", engine.id), &engine.entry("advisory", zone, Some("m")));
        engines.push(engine);
    }
    let start = |number: usize| {
        let ip = format!("127.0.0.{}", 31 + number);
        Router::start(&format!("front-{number}"), zones[number], &ip, store.address, folder, record)
    };
    let routers: Vec<Router> = (0..zones.len()).map(start).collect();
    if !routers.iter().all(|router| router.wait_until_ready(Duration::from_secs(15))) {
        return Err("a router didn't become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    let front = |number: usize| routers[number % routers.len()].front;
    for number in 0..REQUESTS {
        ask(front(number), "key1", &format!("before-t1-{number}"), 0x100 + number, record)?;
    }
    store.write("op/config", &document_with(9, true));
    record.line(&format!("operator: configuration 9 acknowledged, tenant t1 is isolated; before: {}", !trouble()));
    // `config_ms` is 2,000.
    thread::sleep(Duration::from_secs(4));
    for number in 0..REQUESTS {
        ask(front(number), "key2", &format!("after-t2-{number}"), 0x200 + number, record)?;
        ask(front(number), "key1", &format!("after-t1-{number}"), 0x300 + number, record)?;
    }
    let uses: Vec<_> = engines.iter().flat_map(Runner::foreign_uses).collect();
    let after = uses.iter().filter(|used| used.id.starts_with("after"));
    let broken = after.filter(|used| used.tenant == "t1" || used.maker == "t1").count();
    record.line(&format!("WALL: {broken} uses of parts between t1, which is isolated, and t2 (broken above 0)"));
    Ok(broken == 0)
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
