//! A runner of a model that takes orders. It doesn't check generation numbers, and keeps its own count of orders.

use crate::http::{self, Message};
use crate::record::Record;
use crate::store::Store;
use serde_json::{Value, json};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Name of the model.
pub const MODEL: &str = "model-a";
/// Time that new weights take a runner, as on the sheet.
const LOAD_TIME: Duration = Duration::from_millis(760);

/// An order that arrived.
#[derive(Debug, Clone)]
pub struct Order {
    pub runner: String,
    pub at: Instant,
    pub holder: String,
    pub fence: u64,
    pub version: u64,
    pub status: u16,
}

struct State {
    version: u64,
    seq: u64,
    busy_until: Option<(Instant, u64)>,
}

struct Engine {
    id: String,
    address: SocketAddr,
    born: u64,
    store: Store,
    record: Record,
    state: Mutex<State>,
    orders: Arc<Mutex<Vec<Order>>>,
}

/// Starts a runner with version 1 and registers it. Each order that arrives is added to `orders`.
pub fn start(id: &str, store: &Store, record: &Record, orders: &Arc<Mutex<Vec<Order>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let engine = Arc::new(Engine {
        id: id.to_owned(),
        address: listener.local_addr().expect("an address"),
        born: SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("a time")
            .as_millis() as u64,
        store: store.clone(),
        record: record.clone(),
        state: Mutex::new(State {
            version: 1,
            seq: 0,
            busy_until: None,
        }),
        orders: orders.clone(),
    });
    engine.register(1);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let engine = engine.clone();
            thread::spawn(move || engine.serve(stream));
        }
    });
}

impl Engine {
    fn register(&self, version: u64) {
        let entry = json!({"backend": "advice", "addr": self.address.to_string(), "zone": "zone-a", "version": "v1", "slots": 64,
            "state": "ready", "cold_left_ms": 0, "stage": "both", "seq": 1, "born": self.born,
            "models": [{"name": MODEL, "version": version, "adapters": []}]});
        self.store.put(&format!("servers/{}", self.id), &entry);
    }

    fn serve(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(call)) = http::read(&mut reader) {
            let (status, body) = self.answer(&call);
            let own = [("X-Instance-Id", self.id.clone())];
            if http::respond(&mut writer, status, &own, body.to_string().as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(self: &Arc<Self>, call: &Message) -> (u16, Value) {
        if call
            .header("X-Expect-Instance")
            .is_some_and(|expected| expected != self.id)
        {
            return (421, json!({}));
        }
        match call.word(1) {
            "/-/report" => (200, self.report()),
            "/-/order" => (
                self.order(&serde_json::from_slice(&call.body).unwrap_or_default()),
                json!({}),
            ),
            _ => (404, json!({})),
        }
    }

    fn report(&self) -> Value {
        let state = self.state.lock().expect("engine");
        json!({"stage": "both", "models": [{"name": MODEL, "version": state.version, "adapters": []}], "busy": state.busy_until.is_some(),
            "seq": state.seq, "queued": 0, "active": 0, "kv_used": 0, "kv_total": 90_000, "handles": 0, "born": self.born})
    }

    fn order(self: &Arc<Self>, order: &Value) -> u16 {
        let version = order["version"].as_u64().unwrap_or_default();
        let status = {
            let mut state = self.state.lock().expect("engine");
            if state.busy_until.is_some() || order["expected"].as_u64().is_some_and(|expected| expected != state.seq) {
                409
            } else if state.version >= version {
                200
            } else {
                state.seq += 1;
                state.busy_until = Some((Instant::now() + LOAD_TIME, version));
                202
            }
        };
        let arrived = Order {
            runner: self.id.clone(),
            at: Instant::now(),
            holder: order["holder"].as_str().unwrap_or_default().to_owned(),
            fence: order["fence"].as_u64().unwrap_or_default(),
            version,
            status,
        };
        self.record.line(&format!(
            "runner {} gets an order of holder {}, generation number {}, version {version}: {status}",
            self.id, arrived.holder, arrived.fence
        ));
        self.orders.lock().expect("orders").push(arrived);
        if status == 202 {
            let engine = self.clone();
            thread::spawn(move || {
                thread::sleep(LOAD_TIME);
                let mut state = engine.state.lock().expect("engine");
                state.busy_until = None;
                state.version = version;
                drop(state);
                engine
                    .record
                    .line(&format!("runner {} has version {version}", engine.id));
                engine.register(version);
            });
        }
        status
    }
}
