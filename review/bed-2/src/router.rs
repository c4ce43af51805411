//! The router process, started with the command of the deploy file.

use crate::store::Store;
use serde_json::{Value, json};
use std::fs::{self, File};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// A router process. It is killed when dropped.
pub struct Router {
    pub child: Child,
    pub front: SocketAddr,
    pub ready: SocketAddr,
}

/// A free loopback address, below the ports that the kernel gives to outgoing channels.
pub fn free() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = 12_000 + (std::process::id() % 100) as u16 * 160;
    loop {
        let port = first + NEXT.fetch_add(1, Ordering::SeqCst) % 4_000;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("an address");
        }
    }
}

/// The repository's root, two folders above this package.
pub fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

impl Router {
    /// Starts a router with settings like those that the template makes for a small deployment.
    pub fn start(folder: &Path, name: &str, store: &Store) -> Self {
        Self::start_in(folder, name, "zone-a", store, true)
    }

    /// The same in this zone. `bootstrap` is as in the platform's settings.
    pub fn start_in(folder: &Path, name: &str, zone: &str, store: &Store, bootstrap: bool) -> Self {
        let (front, ready) = (free(), free());
        let settings: Value = json!({
            "vm": name, "domain": zone, "callers": front.to_string(), "readiness": ready.to_string(),
            "peers": free().to_string(), "metrics": free().to_string(), "store": store.address.to_string(),
            "first_start": bootstrap, "link_mbps": 700.0,
            "bounds": {"revoke_ms": 5000, "weights_ms": 10000, "turn_ms": 3000, "retry_ratio": 0.2, "retry_extra": 113,
                "retry_window_s": 10, "grace_s": 8},
        });
        let file = folder.join(format!("{name}.json"));
        fs::write(&file, settings.to_string()).expect("settings");
        let log = File::options()
            .create(true)
            .append(true)
            .open(folder.join(format!("{name}.log")))
            .expect("a log");
        let child = Command::new(root().join("target/release/apricotfork"))
            .args(["gateway", "--settings"])
            .arg(&file)
            .current_dir(root())
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the router, built as the deploy file says");
        Self { child, front, ready }
    }

    /// Whether the router says within this time that it is ready.
    pub fn is_ready_within(&self, time: Duration) -> bool {
        let end = Instant::now() + time;
        while Instant::now() < end {
            if self.readiness() == Some(200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// The status of the readiness check.
    pub fn readiness(&self) -> Option<u16> {
        let mut stream = TcpStream::connect(self.ready).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        stream
            .write_all(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            .ok()?;
        Some(crate::http::read(&mut BufReader::new(stream)).ok()??.status())
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
