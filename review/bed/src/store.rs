//! Stand-in of the platform's metadata store, as PROTOCOL.md describes it: items, leases, watches, transactions.

use crate::http::{self, Message};
use crate::json::{Json, decode, encode, quote};
use std::collections::{BTreeMap, BTreeSet};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    rev: u64,
    created: u64,
    lease: u64,
}

/// Bytes of events after which an answer to a watch ends. The caller continues from its position, as PROTOCOL.md says.
/// The bench's store does the same.
const MAX_ANSWER: usize = 1 << 20;

/// How long the history of changes is kept: `history_s`.
const HISTORY: Duration = Duration::from_secs(20);

#[derive(Default)]
struct State {
    rev: u64,
    /// Own addresses at which machines are turned away.
    barred: BTreeSet<SocketAddr>,
    /// Changes up to this revision are no longer in the history.
    floor: u64,
    items: BTreeMap<String, Item>,
    /// Changes: revision, key, and the event as JSON.
    log: Vec<(u64, String, String, Instant)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

impl State {
    fn set(&mut self, key: &str, value: Vec<u8>, lease: u64, rev: u64) {
        let created = self.items.get(key).map_or(rev, |item| item.created);
        let item = Item { value, rev, created, lease };
        self.log.push((rev, key.to_owned(), show(key, &item), Instant::now()));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str, rev: u64) {
        if self.items.remove(key).is_some() {
            let event = format!("{{\"key\":{},\"rev\":{rev},\"removed\":true}}", quote(key));
            self.log.push((rev, key.to_owned(), event, Instant::now()));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self.items.iter().filter(|(_, item)| item.lease == lease).map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.rev += 1;
            let rev = self.rev;
            self.remove(&key, rev);
        }
    }
}

fn show(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"rev\":{},\"created\":{},\"lease\":{}}}",
        quote(key),
        encode(&item.value),
        item.rev,
        item.created,
        item.lease
    )
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = State { rev: 10, next_lease: 100, ..State::default() };
        let store = Store { address, state: Arc::new((Mutex::new(state), Condvar::new())) };
        let serving = store.clone();
        thread::spawn(move || serving.accept(listener));
        let ending = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                ending.expire();
            }
        });
        store
    }

    /// A write of the operator or of a server. Returns the time of the acknowledgement.
    pub fn write(&self, key: &str, value: &str) -> Instant {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.rev += 1;
        let rev = state.rev;
        state.set(key, value.as_bytes().to_vec(), 0, rev);
        changed.notify_all();
        Instant::now()
    }

    /// A further address of the store, for one machine.
    pub fn door(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let serving = self.clone();
        thread::spawn(move || serving.accept(listener));
        address
    }

    fn accept(&self, listener: TcpListener) {
        for stream in listener.incoming().flatten() {
            let store = self.clone();
            thread::spawn(move || store.serve(stream));
        }
    }

    /// Turns the machine away that uses this address, or serves it again.
    pub fn bar(&self, machine: SocketAddr, barred: bool) {
        let mut state = self.state.0.lock().unwrap();
        if barred {
            state.barred.insert(machine);
        } else {
            state.barred.remove(&machine);
        }
    }

    fn expire(&self) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = state.leases.iter().filter(|(_, (end, _))| *end <= now).map(|(id, _)| *id).collect();
        let (old, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut state.log).into_iter().partition(|change| change.3 + HISTORY < now);
        state.log = kept;
        state.floor = old.iter().map(|change| change.0).fold(state.floor, u64::max);
        for lease in ended {
            state.end_lease(lease);
            changed.notify_all();
        }
    }

    fn serve(&self, stream: std::net::TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let Ok(door) = stream.local_addr() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(call)) = http::read_message(&mut reader) {
            let is_barred = || self.state.0.lock().unwrap().barred.contains(&door);
            let (mut status, mut body) = if is_barred() { (503, "{}".to_owned()) } else { self.answer(&call) };
            if is_barred() {
                // Nothing was done for a watch that waited meanwhile.
                (status, body) = (503, "{}".to_owned());
            }
            thread::sleep(Duration::from_millis(4));
            if http::respond(&mut writer, status, "Content-Type: application/json\r\n", body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> (u16, String) {
        let (path, query) = call.target().split_once('?').unwrap_or((call.target(), ""));
        let value = |name: &str| {
            let found = query.split('&').find_map(|pair| pair.split_once('=').filter(|(known, _)| *known == name));
            found.map_or("", |(_, value)| value)
        };
        let body = Json::parse(&call.body).unwrap_or(Json::Null);
        let id = path.rsplit('/').next().and_then(|id| id.parse::<u64>().ok()).unwrap_or(0);
        match (call.method(), path) {
            ("GET", "/-/kv-range") => self.range(value("path_prefix"), value("after")),
            ("GET", "/-/kv-watch") => {
                let wait = Duration::from_millis(value("wait_ms").parse().unwrap_or(0));
                self.watch(value("path_prefix"), value("after").parse().unwrap_or(0), wait)
            }
            ("POST", "/-/kv-txn") => self.transact(&body),
            ("POST", "/-/kv-lease") => {
                let mut state = self.state.0.lock().unwrap();
                state.next_lease += 1;
                let lease = state.next_lease;
                let ttl = Duration::from_millis(body.get("ttl_ms").number().max(1000.0) as u64);
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{}}}", ttl.as_millis()))
            }
            ("POST", path) if path.starts_with("/-/kv-keep/") => {
                let mut state = self.state.0.lock().unwrap();
                let Some((end, ttl)) = state.leases.get_mut(&id) else { return (404, "{}".to_owned()) };
                *end = Instant::now() + *ttl;
                (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
            }
            ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => {
                let (state, changed) = &*self.state;
                state.lock().unwrap().end_lease(id);
                changed.notify_all();
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let items = state.items.iter().filter(|(key, _)| key.starts_with(prefix) && (after.is_empty() || key.as_str() > after));
        let items: Vec<String> = items.map(|(key, item)| show(key, item)).collect();
        (200, format!("{{\"items\":[{}],\"has_more\":false,\"store_revision\":{}}}", items.join(","), state.rev))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            if after < state.floor {
                return (410, "{}".to_owned());
            }
            let left = until.saturating_duration_since(Instant::now());
            let (mut events, mut bytes, mut position) = (Vec::new(), 0, state.rev);
            for (rev, _, event, _) in state.log.iter().filter(|(rev, key, _, _)| *rev > after && key.starts_with(prefix)) {
                if bytes > MAX_ANSWER && *rev > position {
                    break;
                }
                events.push(event.as_str());
                bytes += event.len();
                position = *rev;
            }
            if bytes <= MAX_ANSWER {
                position = state.rev;
            }
            if !events.is_empty() || left.is_zero() {
                return (200, format!("{{\"events\":[{}],\"store_revision\":{position}}}", events.join(",")));
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let expected = body.get("expected").list();
        let holds = |row: &Json| state.items.get(row.get("key").text()).map_or(0, |item| item.rev) == row.get("rev").number() as u64;
        if !expected.iter().all(holds) {
            let items = expected.iter().filter_map(|row| state.items.get_key_value(row.get("key").text()));
            let items: Vec<String> = items.map(|(key, item)| show(key, item)).collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let writes = body.get("set_keys").list();
        let lease = |row: &Json| row.get("lease").number() as u64;
        if writes.iter().any(|row| lease(row) != 0 && !state.leases.contains_key(&lease(row))) {
            return (404, "{}".to_owned());
        }
        let reserved = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        if writes.iter().any(|row| reserved(row.get("key").text())) {
            return (403, "{}".to_owned());
        }
        state.rev += 1;
        let rev = state.rev;
        for row in writes {
            state.set(row.get("key").text(), decode(row.get("value").text()), lease(row), rev);
        }
        for key in body.get("remove").list() {
            state.remove(key.text(), rev);
        }
        changed.notify_all();
        (200, format!("{{\"rev\":{rev}}}"))
    }
}
