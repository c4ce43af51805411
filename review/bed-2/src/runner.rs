//! A runner of a plain service.

use crate::http::{self, Message};
use crate::record::Record;
use crate::store::Store;
use serde_json::{Value, json};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};

/// How the runner answers a request that it has run: status and header lines besides its own.
pub type Work = Arc<dyn Fn(&Message) -> (u16, Vec<(&'static str, String)>) + Send + Sync>;

pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    born: u64,
}

impl Runner {
    /// Starts a runner and registers it.
    pub fn start(id: &str, store: &Store, record: &Record, work: Work) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("a time")
            .as_millis() as u64;
        let runner = Self {
            id: id.to_owned(),
            address,
            born,
        };
        let (id, record) = (runner.id.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (id, record, work) = (id.clone(), record.clone(), work.clone());
                thread::spawn(move || serve(stream, &id, born, &record, &work));
            }
        });
        store.put(&format!("servers/{}", runner.id), &runner.entry());
        runner
    }

    fn entry(&self) -> Value {
        json!({"backend": "desk", "addr": self.address.to_string(), "zone": "zone-a", "version": "v1", "slots": 6,
            "state": "ready", "cold_left_ms": 0, "seq": 1, "born": self.born})
    }
}

fn serve(stream: TcpStream, id: &str, born: u64, record: &Record, work: &Work) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = http::read(&mut reader) {
        let own = vec![("X-Instance-Id", id.to_owned())];
        let written = if request.word(1) == "/-/report" || request.word(1) == "/healthz" {
            let body =
                json!({"stage": "both", "models": [], "busy": false, "seq": 0, "queued": 0, "active": 0, "born": born});
            http::respond(&mut writer, 200, &own, body.to_string().as_bytes())
        } else if request
            .header("X-Expect-Instance")
            .is_some_and(|expected| expected != id)
        {
            http::respond(&mut writer, 421, &own, b"")
        } else {
            let request_id = request.header("X-Request-Id").unwrap_or_default().to_owned();
            let body = String::from_utf8_lossy(&request.body).into_owned();
            record.line(&format!(
                "runner {id} runs request {request_id}: {} with body {body:?}",
                request.first
            ));
            let (status, more) = work(&request);
            record.line(&format!("runner {id} answers request {request_id} with {status}"));
            let mut headers = own;
            headers.push(("X-Request-Id", request_id));
            headers.push(("X-Server-Seal", "3e1b.07.5a2.600.0.c9f2a4d1".to_owned()));
            headers.extend(more);
            http::respond(&mut writer, status, &headers, b"{}")
        };
        if written.is_err() {
            return;
        }
    }
}
