//! The platform's store: items, leases, watches and transactions.

use crate::http::{self, Message};
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::io::{BufReader, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Item {
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    rev: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, Value)>,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
    /// The next transaction for which this holds gets no answer, and is kept.
    loses: Option<fn(&Value) -> bool>,
    /// That transaction.
    lost: Option<Value>,
    /// Calls that write: transactions, new leases and ended ones.
    writes: u64,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(Mutex::new(State {
            rev: 1,
            next_lease: 100,
            ..State::default()
        }));
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = shared.clone();
                thread::spawn(move || serve(stream, &state));
            }
        });
        Self { address, state }
    }

    /// Writes an item as the operator or a runner does.
    pub fn put(&self, key: &str, value: &Value) {
        let mut state = self.state.lock().expect("store");
        state.rev += 1;
        state.write(key, base64(value.to_string().as_bytes()), 0);
    }

    /// Loses the next transaction for which `test` holds: it gets no answer, and is not carried out yet.
    pub fn lose_next(&self, test: fn(&Value) -> bool) {
        self.state.lock().expect("store").loses = Some(test);
    }

    /// Whether a transaction was lost.
    pub fn has_lost(&self) -> bool {
        self.state.lock().expect("store").lost.is_some()
    }

    /// Carries out the lost transaction if its condition still holds. Returns the status that it would have had.
    pub fn carry_out_lost(&self) -> Option<u16> {
        let mut state = self.state.lock().expect("store");
        state.expire();
        let lost = state.lost.take()?;
        Some(transaction(&mut state, &lost).0)
    }

    /// Number of writing calls so far.
    pub fn writes(&self) -> u64 {
        self.state.lock().expect("store").writes
    }

    /// The value of an item, as it is encoded.
    pub fn value(&self, key: &str) -> Option<String> {
        let mut state = self.state.lock().expect("store");
        state.expire();
        state.items.get(key).map(|item| item.value.clone())
    }

    /// Removes an item as the operator or a runner does.
    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().expect("store");
        state.rev += 1;
        state.remove(key);
    }
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.rev, |item| item.created);
        let item = Item {
            value,
            rev: self.rev,
            created,
            lease,
        };
        self.history.push((self.rev, row(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history
                .push((self.rev, json!({"key": key, "rev": self.rev, "removed": true})));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, (_, end)| now < *end);
        let gone: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease != 0 && !self.leases.contains_key(&item.lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in gone {
            self.rev += 1;
            self.remove(&key);
        }
    }
}

fn row(key: &str, item: &Item) -> Value {
    json!({"key": key, "value": item.value, "rev": item.rev, "created": item.created, "lease": item.lease})
}

fn serve(stream: TcpStream, state: &Mutex<State>) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(call)) = http::read(&mut reader) {
        let Some((status, body)) = answer(state, &call) else {
            // A channel on which an answer is lost returns nothing further.
            let _ = reader.read_to_end(&mut Vec::new());
            return;
        };
        if http::respond(&mut writer, status, &[], body.to_string().as_bytes()).is_err() {
            return;
        }
    }
}

fn query(call: &Message, name: &str) -> Option<String> {
    let (_, query) = call.word(1).split_once('?')?;
    let found = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name);
    found.map(|(_, value)| value.replace("%2F", "/"))
}

/// The answer to a call; none if it is lost.
fn answer(state: &Mutex<State>, call: &Message) -> Option<(u16, Value)> {
    let path = call.word(1).split('?').next().unwrap_or_default();
    if path == "/-/kv-watch" {
        return Some(watch(state, call));
    }
    let request: Value = serde_json::from_slice(&call.body).unwrap_or_default();
    let mut state = state.lock().expect("store");
    state.expire();
    if path == "/-/kv-txn" || path.starts_with("/-/kv-lease") {
        state.writes += 1;
    }
    if path == "/-/kv-txn" && state.loses.is_some_and(|test| test(&request)) {
        state.loses = None;
        state.lost = Some(request);
        return None;
    }
    Some(call_of(&mut state, path, call, &request))
}

fn call_of(state: &mut State, path: &str, call: &Message, request: &Value) -> (u16, Value) {
    if path == "/-/kv-range" {
        let prefix = query(call, "path_prefix").unwrap_or_default();
        let after = query(call, "after").unwrap_or_default();
        let items = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let items: Vec<Value> = items.map(|(key, item)| row(key, item)).collect();
        return (
            200,
            json!({"items": items, "has_more": false, "store_revision": state.rev}),
        );
    }
    if path == "/-/kv-lease" {
        let ttl = Duration::from_millis(request["ttl_ms"].as_u64().unwrap_or(1_000).max(1_000));
        state.next_lease += 1;
        let lease = state.next_lease;
        state.leases.insert(lease, (ttl, Instant::now() + ttl));
        return (200, json!({"lease": lease, "ttl_ms": ttl.as_millis() as u64}));
    }
    if let Some(id) = path.strip_prefix("/-/kv-keep/").and_then(|id| id.parse::<u64>().ok()) {
        let Some((ttl, end)) = state.leases.get_mut(&id) else {
            return (404, json!({}));
        };
        *end = Instant::now() + *ttl;
        return (200, json!({"lease": id, "ttl_ms": ttl.as_millis() as u64}));
    }
    if let Some(id) = path
        .strip_prefix("/-/kv-lease-end/")
        .and_then(|id| id.parse::<u64>().ok())
    {
        state.leases.remove(&id);
        state.expire();
        return (200, json!({}));
    }
    if path == "/-/kv-txn" {
        return transaction(state, request);
    }
    (404, json!({}))
}

fn rows<'a>(request: &'a Value, name: &str) -> impl Iterator<Item = &'a Value> {
    request[name].as_array().into_iter().flatten()
}

fn transaction(state: &mut State, request: &Value) -> (u16, Value) {
    for expected in rows(request, "expected") {
        let key = expected["key"].as_str().unwrap_or_default();
        let rev = state.items.get(key).map_or(0, |item| item.rev);
        if expected["rev"].as_u64() != Some(rev) {
            return (412, json!({"items": []}));
        }
    }
    let lapsed = |row: &Value| {
        let lease = row["lease"].as_u64().unwrap_or_default();
        lease != 0 && !state.leases.contains_key(&lease)
    };
    if rows(request, "set_keys").any(lapsed) {
        return (404, json!({}));
    }
    state.rev += 1;
    for row in rows(request, "set_keys") {
        let (key, value) = (row["key"].as_str(), row["value"].as_str());
        let lease = row["lease"].as_u64().unwrap_or_default();
        state.write(key.unwrap_or_default(), value.unwrap_or_default().to_owned(), lease);
    }
    for key in rows(request, "remove") {
        state.remove(key.as_str().unwrap_or_default());
    }
    (200, json!({"rev": state.rev}))
}

fn watch(state: &Mutex<State>, call: &Message) -> (u16, Value) {
    let number = |name: &str| {
        query(call, name)
            .and_then(|text| text.parse::<u64>().ok())
            .unwrap_or_default()
    };
    let (after, wait) = (number("after"), Duration::from_millis(number("wait_ms")));
    let prefix = query(call, "path_prefix").unwrap_or_default();
    let end = Instant::now() + wait;
    loop {
        {
            let mut state = state.lock().expect("store");
            state.expire();
            let new = |(rev, event): &&(u64, Value)| {
                *rev > after && event["key"].as_str().is_some_and(|key| key.starts_with(&prefix))
            };
            let events: Vec<&Value> = state.history.iter().filter(new).map(|(_, event)| event).collect();
            if !events.is_empty() || Instant::now() >= end {
                return (200, json!({"events": events, "store_revision": state.rev}));
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
}

/// The text of a value in base64.
pub fn decode(text: &str) -> String {
    let digit = |byte: u8| match byte {
        b'A'..=b'Z' => byte - b'A',
        b'a'..=b'z' => byte - b'a' + 26,
        b'0'..=b'9' => byte - b'0' + 52,
        b'+' => 62,
        _ => 63,
    };
    let (mut bits, mut count, mut bytes) = (0_u32, 0, Vec::new());
    for byte in text.bytes().filter(|byte| *byte != b'=') {
        bits = bits << 6 | u32::from(digit(byte));
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count & 255) as u8);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let at = |index: usize| u32::from(chunk.get(index).copied().unwrap_or_default());
        let word = at(0) << 16 | at(1) << 8 | at(2);
        for place in 0..4 {
            if place <= chunk.len() {
                text.push(char::from(DIGITS[(word >> (18 - 6 * place) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
