//! A deployment as processes on loopback: platform, engines, runners, routers, and the document that names them.

mod document;
mod platform;

pub use document::{Places, WEIGHTS, document, key, workspace};
pub use platform::{Publisher, publish, set_vms};

use crate::error::ToolError;
use async_std::task;
use serde::Serialize;
use serde_json::{Value, json};
use standins::http::Client;
use standins::process::Running;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant};

/// Longest wait for a router to be ready.
const PATIENCE: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(20);
const ANY_PORT: &str = "127.0.0.1:0";
/// Threads of each process for traffic, the same on each machine so that runs can be compared.
const STANDIN_THREADS: usize = 2;

/// Starts programs that lie beside the tool's own.
#[derive(Debug, Clone)]
pub struct Launcher {
    folder: PathBuf,
    settings: PathBuf,
}

/// Settings of a router that the tool chooses.
#[derive(Debug, Clone)]
pub struct RouterSpec {
    /// Its number.
    pub index: usize,
    /// Its failure domain.
    pub domain: String,
    /// The platform's address.
    pub platform: SocketAddr,
    /// Threads for traffic.
    pub threads: usize,
    /// Routers to ask while the platform is out of reach, as in the settings.
    pub seeds: Value,
}

/// A router's process and its addresses.
#[derive(Debug)]
pub struct Router {
    /// The process.
    pub process: Running,
    /// For operators.
    pub operators: SocketAddr,
    /// For other routers.
    pub peers: SocketAddr,
}

impl Launcher {
    /// Looks beside the tool's own program; settings go into `settings`.
    ///
    /// # Errors
    /// If the tool's own place isn't known.
    pub fn new(settings: PathBuf) -> Result<Self, ToolError> {
        let own = std::env::current_exe().map_err(ToolError::io("own program"))?;
        let folder = own.parent().map(PathBuf::from).unwrap_or_default();
        Ok(Self { folder, settings })
    }

    /// Starts a stand-in.
    ///
    /// # Errors
    /// If it doesn't announce itself.
    pub fn standin(&self, name: &str, args: &[String]) -> Result<Running, ToolError> {
        let mut command = Command::new(self.folder.join(name));
        command
            .args(args)
            .env("ASYNC_STD_THREAD_COUNT", STANDIN_THREADS.to_string());
        Running::start_with(&mut command).map_err(ToolError::io(name))
    }

    /// Starts a router.
    ///
    /// # Errors
    /// If it doesn't announce itself.
    pub fn router(&self, spec: &RouterSpec) -> Result<Router, ToolError> {
        let settings = json!({
            "vm": vm(spec.index), "domain": spec.domain,
            "callers": ANY_PORT, "operators": ANY_PORT, "peers": ANY_PORT,
            "platform": {"addresses": [spec.platform], "timeout_ms": 1000},
            "seeds": spec.seeds,
            "log": {"format": "json", "level": "warn"},
        });
        let file = self
            .settings
            .join(format!("{}-{}.json", spec.platform.port(), vm(spec.index)));
        std::fs::write(&file, settings.to_string()).map_err(ToolError::io("settings"))?;
        let mut command = Command::new(self.folder.join("apricotfork"));
        command.args(["serve", "--settings"]).arg(file);
        command.env("ASYNC_STD_THREAD_COUNT", spec.threads.to_string());
        let log = std::fs::File::create(self.settings.join(format!("{}.log", vm(spec.index))));
        command.stderr(log.map_err(ToolError::io("log"))?);
        let process = Running::start_with(&mut command).map_err(ToolError::io("apricotfork"))?;
        let named = |name: &str| {
            let mut words = process.line.split_whitespace().skip_while(|word| *word != name);
            words.nth(1).and_then(|text| text.parse().ok())
        };
        let operators = named("operators").unwrap_or(process.address);
        let peers = named("peers").unwrap_or(process.address);
        Ok(Router {
            process,
            operators,
            peers,
        })
    }
}

/// A router's VM id.
pub fn vm(index: usize) -> String {
    format!("r{index}")
}

/// Waits until a router is ready.
///
/// # Errors
/// If it isn't in time.
pub async fn until_ready(operators: SocketAddr) -> Result<(), ToolError> {
    let ends = Instant::now() + PATIENCE;
    while Instant::now() < ends {
        let answer = Client::new(operators).get("/readyz").await;
        if answer.is_ok_and(|answer| answer.status() == 200) {
            return Ok(());
        }
        task::sleep(POLL).await;
    }
    Err(ToolError::Late("a router's start"))
}

/// Turns a fault switch.
///
/// # Errors
/// If the stand-in doesn't take it.
pub async fn set_fault<F: Serialize>(at: SocketAddr, fault: &F) -> Result<(), ToolError> {
    let answer = Client::new(at)
        .send(http_types::Method::Post, "/fault", Some(fault))
        .await?;
    match answer.status() {
        204 => Ok(()),
        status => Err(ToolError::Status("fault switch", status)),
    }
}

/// Reads a JSON answer.
///
/// # Errors
/// If there is none.
pub async fn read<T: serde::de::DeserializeOwned>(at: SocketAddr, path: &str) -> Result<T, ToolError> {
    Ok(Client::new(at).get(path).await?.json()?)
}

/// A document's text.
pub fn text(document: &Value) -> String {
    document.to_string()
}
