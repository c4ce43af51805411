//! Stand-in of a runner, as PROTOCOL.md describes it. Serves one request at a time on a channel.

use crate::Record;
use crate::http::{self, Message};
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// What a runner answers to requests.
#[derive(Clone, Copy)]
pub enum Answer {
    /// A stream of events.
    Events { count: usize, bytes: usize, pause: Duration },
    /// One body after some work.
    Body { bytes: usize, work: Duration },
}

/// A cached part: its salt, and its ID with those of the parts before it.
type PartKey = (String, String);

#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    pub born: u64,
    record: Record,
    answer: Answer,
    active: Arc<AtomicUsize>,
    /// Cached parts, and which tenant's request made each.
    cache: Arc<Mutex<HashMap<PartKey, String>>>,
    /// Requests that used a part, the tenants that made them and the parts.
    uses: Arc<Mutex<Vec<Use>>>,
}

/// A cached part that a request of one tenant used and a request of another made.
#[derive(Clone)]
pub struct Use {
    pub id: String,
    pub tenant: String,
    pub maker: String,
}

impl Runner {
    pub fn start(id: &str, answer: Answer, record: &Record) -> Runner {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("a date").as_millis() as u64;
        let runner = Runner {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            born,
            record: record.clone(),
            answer,
            active: Arc::default(),
            cache: Arc::default(),
            uses: Arc::default(),
        };
        let serving = runner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let runner = serving.clone();
                thread::spawn(move || runner.serve(stream));
            }
        });
        runner
    }

    /// Its entry in the store.
    pub fn entry(&self, service: &str, zone: &str, model: Option<&str>) -> String {
        let models = model.map_or(String::new(), |model| {
            format!(",\"stage\":\"both\",\"models\":[{{\"name\":\"{model}\",\"version\":1,\"adapters\":[]}}]")
        });
        format!(
            "{{\"backend\":\"{service}\",\"addr\":\"{}\",\"zone\":\"{zone}\",\"version\":\"1\",\"slots\":64,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":{}{models}}}",
            self.address, self.born
        )
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_message(&mut reader) {
            if self.respond(&mut writer, &request).is_err() {
                return;
            }
        }
    }

    fn respond(&self, to: &mut TcpStream, request: &Message) -> std::io::Result<()> {
        let named = request.header("X-Expect-Instance");
        let own = format!("X-Instance-Id: {}\r\n", self.id);
        if named.is_some_and(|id| id != self.id) {
            return http::respond(to, 421, &format!("{own}X-Not-Executed: 1\r\n"), b"");
        }
        let active = self.active.load(Ordering::SeqCst);
        let load = format!("{own}X-Load-Report: {active},0,64\r\n");
        if request.target() == "/-/report" {
            let report = format!(
                "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\"seq\":0,\"queued\":0,\"active\":{active},\"kv_used\":0,\"kv_total\":100000,\"handles\":0,\"born\":{}}}",
                self.born
            );
            return http::respond(to, 200, &own, report.as_bytes());
        }
        let Some(id) = request.header("X-Request-Id") else {
            return http::respond(to, if request.target() == "/healthz" { 200 } else { 400 }, &load, b"");
        };
        self.active.fetch_add(1, Ordering::SeqCst);
        self.record.line(&format!("runner {} runs {id} ({} bytes read)", self.id, request.body.len()));
        let headers = format!("{load}X-Request-Id: {id}\r\nX-Server-Seal: seal.{id}\r\nX-Weight-Versions: 1\r\n");
        self.read_prompt(id, request);
        let written = self.write(to, &headers);
        self.active.fetch_sub(1, Ordering::SeqCst);
        let how = if written.is_ok() { "whole" } else { "cut off by the router" };
        self.record.line(&format!("runner {} ended {id}: answer written, {how}", self.id));
        written
    }

    /// Parts of other tenants that requests used.
    pub fn foreign_uses(&self) -> Vec<Use> {
        self.uses.lock().unwrap().iter().filter(|used| used.tenant != used.maker).cloned().collect()
    }

    /// Takes the parts of the prompt from the cache, and adds those that are missing. A part is found under the same salt
    /// only, and if all parts before it are cached.
    fn read_prompt(&self, id: &str, request: &Message) {
        let salt = request.header("X-Cache-Salt").unwrap_or("").to_owned();
        let tenant = request.header("X-Tenant").unwrap_or("").to_owned();
        let Some(parts) = request.header("X-Prefix-Hash") else { return };
        let mut cache = self.cache.lock().unwrap();
        let (mut chain, mut found) = (String::new(), true);
        for part in parts.split(',') {
            chain.push_str(part);
            let key = (salt.clone(), chain.clone());
            found &= cache.contains_key(&key);
            if found {
                let maker = cache[&key].clone();
                self.record.line(&format!(
                    "runner {}: {id} of tenant {tenant} uses part {part} under salt '{salt}', made by a request of {maker}",
                    self.id
                ));
                self.uses.lock().unwrap().push(Use { id: id.to_owned(), tenant: tenant.clone(), maker });
            } else {
                self.record.line(&format!("runner {}: {id} of tenant {tenant} makes part {part} under salt '{salt}'", self.id));
                cache.insert(key, tenant.clone());
            }
        }
    }

    fn write(&self, to: &mut TcpStream, headers: &str) -> std::io::Result<()> {
        match self.answer {
            Answer::Body { bytes, work } => {
                thread::sleep(work);
                http::respond(to, 200, headers, &vec![b'a'; bytes])
            }
            Answer::Events { count, bytes, pause } => {
                to.write_all(format!("HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").as_bytes())?;
                for number in 1..=count {
                    let event = format!("id: {number}\ndata: {}\n\n", "a".repeat(bytes));
                    to.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
                    thread::sleep(pause);
                }
                to.write_all(b"0\r\n\r\n")
            }
        }
    }
}
