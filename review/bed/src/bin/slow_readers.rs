//! Case: clients that read slowly lose their answers.

use bed::http::{connect_small, read_body, read_head, read_message};
use bed::router::Router;
use bed::runner::{Answer, Runner};
use bed::store::Store;
use bed::{Record, document, trouble};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::exit;
use std::thread;
use std::time::{Duration, Instant};

/// Clients of each router.
const CLIENTS: usize = 8;
/// Receive buffer of a client, bytes: DEPLOY.md says that links have small windows.
const WINDOW: i32 = 4096;
/// A slow client takes this many bytes at a time, and pauses after each time: 1,600 bytes a second, never still for longer.
const BITE: usize = 200;
const BITE_PAUSE: Duration = Duration::from_millis(125);
/// The route's time limit, and the client's.
const LIMIT: Duration = Duration::from_secs(12);

/// Reads a connection in small bites, and slowly once told to.
struct Slow {
    stream: TcpStream,
    slow: bool,
}

impl Read for Slow {
    fn read(&mut self, into: &mut [u8]) -> std::io::Result<usize> {
        if self.slow {
            thread::sleep(BITE_PAUSE);
        }
        let most = into.len().min(BITE);
        self.stream.read(&mut into[..most])
    }
}

/// One client: a request on a new channel, then one on the same, kept channel, whose answer it reads slowly.
/// Returns whether it got a whole answer to the second.
fn client(to: SocketAddr, name: &str, record: &Record, before_second: impl FnOnce()) -> Result<bool, String> {
    let mut stream = connect_small(to, WINDOW).map_err(|err| err.to_string())?;
    stream.set_read_timeout(Some(LIMIT)).map_err(|err| err.to_string())?;
    let reading = Slow { stream: stream.try_clone().map_err(|err| err.to_string())?, slow: false };
    let mut reader = BufReader::with_capacity(BITE, reading);
    let first = format!("GET /probe/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {name}-first\r\nX-Deadline-Ms: 1500\r\nX-Api-Key: key1\r\n\r\n");
    stream.write_all(first.as_bytes()).map_err(|err| err.to_string())?;
    let answer = read_message(&mut reader).map_err(|err| err.to_string())?.ok_or("no first answer")?;
    if answer.status() != 200 {
        return Err(format!("first answer {}", answer.status()));
    }
    before_second();
    let body = "q".repeat(1700);
    let second = format!(
        "POST /keeper/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {name}-second\r\nX-Deadline-Ms: {}\r\nX-Api-Key: key1\r\nX-Model: m\r\nX-Token-Usage: 826,64\r\nX-Prefix-Hash: a1:119,b2:79,c{:x}:628\r\nContent-Length: {}\r\n\r\n{body}",
        LIMIT.as_millis(),
        name.bytes().fold(0u32, |sum, byte| sum.wrapping_mul(31) + u32::from(byte)) & 0xffff,
        body.len()
    );
    stream.write_all(second.as_bytes()).map_err(|err| err.to_string())?;
    let sent = Instant::now();
    record.line(&format!("client {name} sent {name}-second on its kept channel"));
    let Some(mut answer) = read_head(&mut reader).map_err(|err| format!("head: {err}"))? else {
        record.line(&format!("client {name}: the channel ended without an answer"));
        return Ok(false);
    };
    reader.get_mut().slow = trouble();
    let read = read_body(&mut reader, &mut answer);
    let after = sent.elapsed();
    let seen = match &read {
        Ok(()) => format!("whole, {} bytes", answer.body.len()),
        Err(err) => format!("channel ended after {} bytes of the answer: {err}", answer.body.len()),
    };
    record.line(&format!("client {name}: status {}, {seen}, {after:.1?} after sending", answer.status()));
    if after >= LIMIT {
        return Err("the time limit was reached, so the case says nothing".to_owned());
    }
    Ok(read.is_ok() && answer.status() == 200)
}

/// Answers that were lost at one router.
fn losses(router: &Router, tag: &str, record: &Record, stop: bool) -> Result<usize, String> {
    let gate = std::sync::Barrier::new(CLIENTS + 1);
    thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| {
                let (gate, name) = (&gate, format!("{tag}{number}"));
                scope.spawn(move || {
                    let mut passed = false;
                    let result = client(router.front, &name, record, || {
                        passed = true;
                        gate.wait();
                        gate.wait();
                    });
                    if !passed {
                        gate.wait();
                        gate.wait();
                    }
                    result
                })
            })
            .collect();
        gate.wait();
        if stop {
            router.signal(15);
            thread::sleep(Duration::from_millis(100));
        }
        gate.wait();
        let mut lost = 0;
        for client in clients {
            lost += usize::from(!client.join().map_err(|_| "a client panicked".to_owned())??);
        }
        Ok(lost)
    })
}

fn play(record: &Record, folder: &std::path::Path) -> Result<bool, String> {
    let store = Store::start();
    store.write("op/config", &document(7));
    store.write("op/version/m", r#"{"model":"m","version":1}"#);
    let events = Answer::Events { count: 60, bytes: 200, pause: Duration::from_millis(5) };
    let call = Answer::Body { bytes: 800, work: Duration::from_millis(15) };
    let zones = ["z1", "z2", "z3"];
    for (number, zone) in zones.iter().enumerate() {
        let engine = Runner::start(&format!("i-e{number}"), events, record);
        store.write(&format!("servers/{}", engine.id), &engine.entry("advisory", zone, Some("m")));
        let plain = Runner::start(&format!("i-p{number}"), call, record);
        store.write(&format!("servers/{}", plain.id), &plain.entry("depot", zone, None));
    }
    let start = |number: usize| {
        let ip = format!("127.0.0.{}", 11 + number);
        Router::start(&format!("front-{number}"), zones[number], &ip, store.address, folder, record)
    };
    let routers: Vec<Router> = (0..zones.len()).map(start).collect();
    if !routers.iter().all(|router| router.wait_until_ready(Duration::from_secs(15))) {
        return Err("a router didn't become ready".to_owned());
    }
    // `contact_ms` without any disruption, so that the routers are in touch.
    thread::sleep(Duration::from_secs(4));
    let any_time = losses(&routers[0], "a", record, false)?;
    record.line(&format!("LOST, at any time: {any_time} of {CLIENTS} kept channels closed without a whole answer (broken above 3)"));
    let planned = losses(&routers[1], "b", record, true)?;
    record.line(&format!("LOST, around a SIGTERM: {planned} of {CLIENTS} requests were passed on and not answered whole (broken above 0)"));
    Ok(any_time <= 3 && planned == 0)
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
