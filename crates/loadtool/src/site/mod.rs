//! A deployment of processes on loopback: platform, engines, runners, routers and their configuration document.

mod document;
mod platform;

pub use document::{EndpointAddresses, WEIGHTS, document, key, workspace};
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

/// Maximum wait until a router is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(20);
const ANY_PORT: &str = "127.0.0.1:0";
/// Threads of each process for traffic, the same on every VM so that runs are comparable.
const STANDIN_THREADS: usize = 2;

/// Starts programs from the directory of the tool's executable.
#[derive(Debug, Clone)]
pub struct Launcher {
    folder: PathBuf,
    settings: PathBuf,
}

/// The settings of a router.
#[derive(Debug, Clone)]
pub struct RouterSpec {
    /// The number of the router.
    pub index: usize,
    /// The failure domain.
    pub domain: String,
    /// The platform's address.
    pub platform: SocketAddr,
    /// Threads for traffic.
    pub threads: usize,
    /// Routers to contact while the platform is unreachable, as in the settings file.
    pub seeds: Value,
}

/// A router's process and its addresses.
#[derive(Debug)]
pub struct Router {
    /// The process.
    pub process: Running,
    /// The address for operators.
    pub operators: SocketAddr,
    /// The address for other routers.
    pub peers: SocketAddr,
}

impl Launcher {
    /// Creates a launcher for programs beside the tool's executable. Settings files are written to `settings`.
    ///
    /// # Errors
    /// If the path of the tool's executable is unknown.
    pub fn new(settings: PathBuf) -> Result<Self, ToolError> {
        let program = std::env::current_exe().map_err(ToolError::io("own program"))?;
        let folder = program.parent().map(PathBuf::from).unwrap_or_default();
        Ok(Self { folder, settings })
    }

    /// Starts a stand-in.
    ///
    /// # Errors
    /// If it doesn't print its address.
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
    /// If it doesn't print its address.
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
        let address_of = |name: &str| {
            let mut words = process.line.split_whitespace().skip_while(|word| *word != name);
            words.nth(1).and_then(|text| text.parse().ok())
        };
        let operators = address_of("operators").unwrap_or(process.address);
        let peers = address_of("peers").unwrap_or(process.address);
        Ok(Router {
            process,
            operators,
            peers,
        })
    }
}

/// The VM id of a router.
pub fn vm(index: usize) -> String {
    format!("r{index}")
}

/// Waits until a router is ready.
///
/// # Errors
/// If it is not ready in time.
pub async fn until_ready(operators: SocketAddr) -> Result<(), ToolError> {
    let deadline = Instant::now() + READY_TIMEOUT;
    while Instant::now() < deadline {
        let answer = Client::new(operators).get("/readyz").await;
        if answer.is_ok_and(|answer| answer.status() == 200) {
            return Ok(());
        }
        task::sleep(POLL).await;
    }
    Err(ToolError::Timeout("a router's start"))
}

/// Injects a fault into a stand-in.
///
/// # Errors
/// If the stand-in refuses it.
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
/// If there is no such answer.
pub async fn read<T: serde::de::DeserializeOwned>(at: SocketAddr, path: &str) -> Result<T, ToolError> {
    Ok(Client::new(at).get(path).await?.json()?)
}

/// The text of a document.
pub fn text(document: &Value) -> String {
    document.to_string()
}
