//! A router process, started with the command of the deploy file.

use crate::Record;
use crate::http;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

pub struct Router {
    pub vm: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
    record: Record,
}

fn free_address(ip: &str) -> SocketAddr {
    let listener = TcpListener::bind(format!("{ip}:0")).expect("a free port");
    listener.local_addr().expect("an address")
}

impl Router {
    /// Starts a router with the settings that `deploy/settings.json` gives for the grain board's site.
    pub fn start(vm: &str, zone: &str, ip: &str, store: SocketAddr, folder: &Path, record: &Record) -> Router {
        let (front, ready) = (free_address(ip), free_address(ip));
        let (peers, metrics) = (free_address(ip), free_address(ip));
        let settings = format!(
            r#"{{ "vm": "{vm}", "domain": "{zone}", "callers": "{front}", "readiness": "{ready}",
  "peers": "{peers}", "metrics": "{metrics}", "store": "{store}", "first_start": true, "link_mbps": 700.0,
  "bounds": {{ "revoke_ms": 5000, "weights_ms": 10000, "turn_ms": 3000, "retry_ratio": 0.2, "retry_extra": 108,
    "retry_window_s": 10, "grace_s": 8 }} }}"#
        );
        let file = folder.join(format!("{vm}.json"));
        fs::write(&file, settings).expect("a settings file");
        let log = File::create(folder.join(format!("{vm}.log"))).expect("a log file");
        let program = std::env::var("ROUTER").expect("ROUTER names the router's program");
        let mut command = Command::new(program);
        command.args(["gateway", "--settings"]).arg(&file).stdin(Stdio::null());
        command.stdout(log.try_clone().expect("a log file")).stderr(log);
        // The site's machines have one core.
        unsafe { command.pre_exec(http::prepare_child) };
        let child = command.spawn().expect("the router starts");
        record.line(&format!("router {vm} started"));
        Router { vm: vm.to_owned(), front, ready, child, record: record.clone() }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn is_ready(&self) -> bool {
        http::call(self.ready, "GET", "/-/readyz").is_ok_and(|answer| answer.status() == 200)
    }

    pub fn wait_until_ready(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if self.is_ready() {
                self.record.line(&format!("router {} is ready", self.vm));
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    pub fn signal(&self, signal: i32) {
        self.record.line(&format!("router {} gets signal {signal}", self.vm));
        http::signal(self.child.id(), signal);
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
