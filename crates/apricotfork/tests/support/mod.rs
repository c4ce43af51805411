//! Starts a complete site as processes on loopback, on ports chosen by the system, and sends requests as clients do.
#![allow(dead_code, reason = "no test file uses all of it")]

pub mod single_run;

use async_std::task;
use config::{ChangeId, OperatorKey, UnixMillis, bootstrap};
use http::{Client, Method, Reply, Request, SendError, StatusCode, Url};
use ids::{Digest, Version};
use serde::Serialize;
use serde_json::{Value, json};
use standins::process::Running;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};
use store::Platform;
use wire::platform::Put;

/// Key of the workspace `board`.
pub const KEY: &str = "board-key";
/// Key of the workspace `other`, which has no models or services.
pub const OTHER_KEY: &str = "other-key";
/// Key of the operator `ops`.
pub const OPERATOR_KEY: &str = "ops-key";
/// Timeout for conditions that must eventually hold. Tests never measure time.
pub const TIMEOUT: Duration = Duration::from_secs(30);
const MAX_BODY_BYTES: u64 = 16 << 20;

/// The processes of a site.
pub struct Plan<'a> {
    /// Arguments of each engine.
    pub engines: Vec<Vec<&'a str>>,
    /// Arguments of each runner of the service `silo`.
    pub services: Vec<Vec<&'a str>>,
    /// Number of routers.
    pub routers: usize,
}

impl Default for Plan<'_> {
    fn default() -> Self {
        Self {
            engines: vec![vec![], vec![]],
            services: vec![vec![]],
            routers: 1,
        }
    }
}

/// A running site. Dropping it ends its processes.
pub struct Site {
    /// The platform.
    pub platform: Running,
    /// Engines `e0`, `e1` and so on.
    pub engines: Vec<Running>,
    /// Runners `s0`, `s1` and so on.
    pub services: Vec<Running>,
    /// Routers `r0`, `r1` and so on.
    pub routers: Vec<Running>,
    folder: tempfile::TempDir,
}

/// A response as a client receives it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// Status.
    pub status: StatusCode,
    /// Request id assigned by the router.
    pub request: String,
    /// Complete body.
    pub body: Vec<u8>,
    /// Whether the request ran, if the response states it.
    pub ran: Option<String>,
}

impl Response {
    /// The body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("a JSON body")
    }

    /// Fields `code` and `ran` of an error response.
    pub fn error_fields(&self) -> (String, String) {
        let error = &self.json()["error"];
        let text = |name: &str| error[name].as_str().unwrap_or_default().to_owned();
        (text("code"), text("ran"))
    }
}

impl Site {
    /// Starts all processes, publishes a configuration and waits until the routers are ready.
    pub fn start(plan: &Plan) -> Self {
        let platform = standin("standin-platform", &[]);
        let engines: Vec<Running> = plan
            .engines
            .iter()
            .enumerate()
            .map(|(i, args)| engine(i, args))
            .collect();
        let services: Vec<Running> = plan
            .services
            .iter()
            .map(|args| standin("standin-service", args))
            .collect();
        let folder = tempfile::tempdir().expect("a folder");
        let mut site = Self {
            platform,
            engines,
            services,
            routers: Vec::new(),
            folder,
        };
        site.publish(&site.document());
        for index in 0..plan.routers {
            let router = site.start_router(index);
            site.routers.push(router);
        }
        for index in 0..plan.routers {
            site.wait_until_ready(index);
        }
        site
    }

    /// The configuration document of this site.
    pub fn document(&self) -> Value {
        let digest = |key: &str| Digest::of(key.as_bytes()).to_string();
        let mut endpoints = serde_json::Map::new();
        for (index, engine) in self.engines.iter().enumerate() {
            let spec = json!({"address": engine.address, "domain": "lahore", "role": {"model": "advisory"}});
            endpoints.insert(format!("e{index}"), spec);
        }
        for (index, service) in self.services.iter().enumerate() {
            let spec = json!({"address": service.address, "domain": "lahore", "role": {"service": "silo"}});
            endpoints.insert(format!("s{index}"), spec);
        }
        json!({
            "operators": {"ops": {"key": digest(OPERATOR_KEY), "sections":
                ["operators", "workspaces", "models", "services", "priorities", "endpoints"]}},
            "workspaces": {
                "board": {"keys": [digest(KEY)], "models": ["advisory"], "services": ["silo"]},
                "other": {"keys": [digest(OTHER_KEY)]},
            },
            "models": {"advisory": {"versions": ["w1", "w2"], "wanted": "w1"}},
            "services": {"silo": {"operations": [
                {"path": "/probes", "idempotent": true},
                {"path": "/fans", "idempotent": false},
                {"path": "/dedup", "idempotent": false, "deduplicates": true},
            ]}},
            "priorities": {"urgent": {"rank": 0}, "batch": {"rank": 9}},
            "endpoints": endpoints,
        })
    }

    fn publish(&self, document: &Value) {
        let platform = self.platform_client();
        let key = OperatorKey::from(OPERATOR_KEY.to_owned());
        let id = ChangeId::from("first".to_owned());
        let plan = bootstrap(&id, "ops", &key, &document.to_string(), UnixMillis(0)).expect("a valid document");
        for value in &plan.puts {
            put(&platform, &value.key, &value.text);
        }
        put(&platform, config::HEAD_KEY, &plan.head.text());
    }

    /// Puts the running routers into the platform's list of VMs.
    pub fn list_routers(&self) {
        let vm = |(index, router): (usize, &Running)| wire::platform::Vm {
            id: format!("r{index}"),
            address: peers(router).to_string(),
            domain: "lahore".into(),
            state: wire::platform::VmState::Live,
        };
        let vms = self.routers.iter().enumerate().map(vm).collect();
        fault(
            self.platform.address,
            &wire::platform::Fault {
                vms: Some(vms),
                ..Default::default()
            },
        );
    }

    /// Digest of a section of the configuration in force.
    pub fn digest(&self, section: config::Section) -> String {
        let entry = task::block_on(self.platform_client().get(config::HEAD_KEY)).expect("the platform");
        let text = entry.and_then(|entry| entry.value).expect("a head");
        let head = config::Head::read(&text).expect("a head");
        head.sections[&section].digest.to_string()
    }

    /// A client of the site's platform.
    pub fn platform_client(&self) -> Platform {
        Platform::new(vec![self.platform.address], TIMEOUT)
    }

    /// Starts the router with this index. It can be started again after it has ended.
    pub fn start_router(&self, index: usize) -> Running {
        self.start_router_with(index, |_| ())
    }

    /// Starts a router with settings modified by `change`.
    pub fn start_router_with(&self, index: usize, change: impl Fn(&mut Value)) -> Running {
        let mut settings = json!({
            "vm": format!("r{index}"), "domain": "lahore",
            "callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0",
            "platform": {"addresses": [self.platform.address], "timeout_ms": 500, "watch_ms": 1000},
            "limits": {"head_ms": 1000, "body_ms": 1000, "body_bytes": 1_048_576, "request_ms": 100_000},
            "shutdown": {"notice_ms": 200, "grace_ms": 100_000},
            "log": {"format": "text", "level": "warn"},
        });
        change(&mut settings);
        let file = self.folder.path().join(format!("r{index}.json"));
        std::fs::write(&file, settings.to_string()).expect("a settings file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_apricotfork"));
        command.args(["serve", "--settings"]).arg(file);
        Running::start_with(&mut command).expect("a router")
    }

    /// Waits until a router is ready.
    pub fn wait_until_ready(&self, index: usize) {
        let operators = operators(&self.routers[index]);
        wait_until("the router is ready", || {
            get(operators, "/readyz").is_ok_and(|answer| answer.status.is_success())
        });
    }

    /// Sends a completion request to router 0.
    pub fn complete(&self, path: &str, body: &Value) -> Response {
        let headers = [
            ("authorization", bearer(KEY)),
            ("content-type", "application/json".to_owned()),
        ];
        call(
            self.routers[0].address,
            Method::Post,
            path,
            &headers,
            body.to_string().as_bytes(),
        )
        .expect("a response")
    }

    /// Calls the service `silo` through a router.
    pub fn silo(&self, router: usize, path: &str, headers: &[(&str, &str)], body: &str) -> Result<Response, SendError> {
        let mut all = vec![("authorization", bearer(KEY))];
        all.extend(headers.iter().map(|(name, value)| (*name, (*value).to_owned())));
        call(
            self.routers[router].address,
            Method::Post,
            &format!("/services/silo{path}"),
            &all,
            body.as_bytes(),
        )
    }

    /// Number of executions by key and by request, summed over all runners.
    pub fn executions(&self) -> wire::service::Executions {
        let mut sum = wire::service::Executions::default();
        for service in &self.services {
            let answer = get(service.address, "/v1/executions").expect("the execution counts");
            let one: wire::service::Executions = serde_json::from_slice(&answer.body).expect("execution counts");
            one.by_key
                .into_iter()
                .for_each(|(key, count)| *sum.by_key.entry(key).or_default() += count);
            one.by_request
                .into_iter()
                .for_each(|(key, count)| *sum.by_request.entry(key).or_default() += count);
        }
        sum
    }

    /// The bytes that an engine reports to have sent for a request.
    pub fn sent(&self, request: &str) -> Vec<u8> {
        let responses = self
            .engines
            .iter()
            .map(|engine| get(engine.address, &format!("/v1/sent?request={request}")));
        let found = responses.flatten().find(|answer| answer.status.is_success());
        found.expect("an engine that answered").body
    }
}

/// The operator address, from the line that the router printed.
pub fn operators(router: &Running) -> SocketAddr {
    printed_address(router, "operators")
}

/// The address for peers, from the line that the router printed.
pub fn peers(router: &Running) -> SocketAddr {
    printed_address(router, "peers")
}

/// The value of a gauge or counter as shown by a router. `None` if the router does not show it.
pub fn metric(router: &Running, name: &str) -> Option<String> {
    let metrics = get(operators(router), "/metrics").ok()?;
    let text = String::from_utf8_lossy(&metrics.body).into_owned();
    let line = text.lines().find(|line| line.split(' ').next() == Some(name))?;
    line.rsplit(' ').next().map(str::to_owned)
}

fn printed_address(router: &Running, name: &str) -> SocketAddr {
    let mut words = router.line.split_whitespace().skip_while(|word| *word != name);
    words.nth(1).and_then(|text| text.parse().ok()).expect("an address")
}

/// Injects a fault into a stand-in.
pub fn fault<F: Serialize>(at: SocketAddr, fault: &F) {
    let body = serde_json::to_vec(fault).expect("a fault is JSON");
    let answer = call(at, Method::Post, "/fault", &[], &body).expect("a response to the fault");
    assert_eq!(answer.status, StatusCode::NoContent);
}

/// Sends a signal to a process of the site: `KILL`, `STOP`, `CONT` or `TERM`.
pub fn signal(process: &Running, name: &str) {
    let id = process.id().to_string();
    let status = Command::new("kill").args(["-s", name, &id]).status();
    assert!(status.is_ok_and(|status| status.success()), "cannot send {name}");
}

/// Waits until `condition` is true; `what` describes it.
pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Sends one request and reads the complete response.
pub fn call(
    to: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> Result<Response, SendError> {
    let url = Url::parse(&format!("http://{to}{path}")).expect("a URL");
    let mut request = Request::new(method, url);
    for (name, value) in headers {
        request.insert_header(*name, value.as_str());
    }
    task::block_on(async {
        let reply: Reply = Client::new().send_once(to, request, body, TIMEOUT, || true).await?;
        let status = reply.status();
        let request = reply.header(wire::headers::REQUEST_ID).unwrap_or_default().to_owned();
        let ran = reply.header(wire::headers::RAN).map(str::to_owned);
        let body = reply
            .read_body(MAX_BODY_BYTES, TIMEOUT)
            .await
            .map_err(|_| SendError::NoAnswer)?;
        Ok(Response {
            status,
            request,
            body,
            ran,
        })
    })
}

/// Sends a `GET` request.
pub fn get(to: SocketAddr, path: &str) -> Result<Response, SendError> {
    call(to, Method::Get, path, &[], &[])
}

/// The `authorization` value for a key.
pub fn bearer(key: &str) -> String {
    format!("Bearer {key}")
}

fn engine(index: usize, args: &[&str]) -> Running {
    let id = format!("e{index}");
    let mut all = vec!["--id", id.as_str(), "--model", "advisory"];
    all.extend(args);
    standin("standin-engine", &all)
}

/// Starts a stand-in. `cargo xtask test` builds it in the same folder as the router.
pub fn standin(name: &str, args: &[&str]) -> Running {
    Running::start(&program(name), args).unwrap_or_else(|err| panic!("{name}: {err}; run `cargo build --workspace`"))
}

fn program(name: &str) -> PathBuf {
    Path::new(env!("CARGO_BIN_EXE_apricotfork")).with_file_name(name)
}

fn put(platform: &Platform, key: &str, text: &str) {
    let put = Put {
        key: key.to_owned(),
        value: Some(text.to_owned()),
        expect: Version(0),
        lease: None,
    };
    let written = task::block_on(platform.put(&put)).expect("the platform");
    assert!(
        matches!(written, store::Written::Done(_)),
        "the key {key} already exists"
    );
}
