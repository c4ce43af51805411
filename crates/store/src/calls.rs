//! Client for the calls of the platform's key-value service.

use crate::error::PlatformError;
use http::{Client, Method, Reply, Request, SendError, StatusCode, Url};
use ids::Version;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use wire::platform::{Entries, Entry, Grant, Lease, LeaseRef, Put, VmList};

/// Maximum response length, bytes. A value has at most a megabyte; a range may have several.
const MAX_RESPONSE_BYTES: u64 = 16 << 20;
/// Additional time limit of a watch beyond its own wait and the call timeout.
const WATCH_SLACK: Duration = Duration::from_secs(1);

/// A client. Clones share connections.
#[derive(Debug, Clone)]
pub struct Platform {
    client: Client,
    addresses: Arc<[SocketAddr]>,
    current: Arc<AtomicUsize>,
    timeout: Duration,
}

/// Outcome of a compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Written {
    /// The value was written with this version.
    Done(Version),
    /// The key had another version. Holds its current entry.
    Conflict(Entry),
}

impl Platform {
    /// Creates a client for one or more platform addresses. `timeout` applies to each call.
    pub fn new(addresses: Vec<SocketAddr>, timeout: Duration) -> Self {
        assert!(!addresses.is_empty(), "validated settings contain a platform address");
        Self {
            client: Client::new(),
            addresses: addresses.into(),
            current: Arc::default(),
            timeout,
        }
    }

    /// The entry of `key`, `None` if it never existed. A deleted key's entry has a version and no value.
    pub async fn get(&self, key: &str) -> Result<Option<Entry>, PlatformError> {
        let request = self.request(Method::Get, "/v1/kv", &[("key", key)]);
        let reply = self.send(request, &[], self.timeout).await?;
        if reply.status() == StatusCode::NotFound {
            // A deleted key keeps its version, which is needed to write the key again.
            let bytes = or_lost(reply.read_body(MAX_RESPONSE_BYTES, self.timeout).await)?;
            let entry: Entry = serde_json::from_slice(&bytes)?;
            return Ok(Some(entry).filter(|entry| entry.version > Version(0)));
        }
        parse(reply, self.timeout).await.map(Some)
    }

    /// All entries below `prefix`.
    pub async fn range(&self, prefix: &str) -> Result<Vec<Entry>, PlatformError> {
        let request = self.request(Method::Get, "/v1/range", &[("prefix", prefix)]);
        let entries: Entries = parse(self.send(request, &[], self.timeout).await?, self.timeout).await?;
        Ok(entries.entries)
    }

    /// Writes a value if the key has the expected version.
    pub async fn put(&self, put: &Put) -> Result<Written, PlatformError> {
        let body = serde_json::to_vec(put)?;
        let request = self.request(Method::Put, "/v1/kv", &[]);
        let reply = self.send(request, &body, self.timeout).await?;
        let conflict = reply.status() == StatusCode::Conflict;
        let bytes = if conflict {
            or_lost(reply.read_body(MAX_RESPONSE_BYTES, self.timeout).await)?
        } else {
            success(reply, self.timeout).await?
        };
        let entry: Entry = serde_json::from_slice(&bytes)?;
        Ok(if conflict {
            Written::Conflict(entry)
        } else {
            Written::Done(entry.version)
        })
    }

    /// Waits until the version of `key` exceeds `after`; `None` if it does not within `wait`.
    pub async fn watch(&self, key: &str, after: Version, wait: Duration) -> Result<Option<Entry>, PlatformError> {
        let after = after.to_string();
        let wait_ms = wait.as_millis().to_string();
        let query = [("key", key), ("after", after.as_str()), ("wait_ms", wait_ms.as_str())];
        let request = self.request(Method::Get, "/v1/watch", &query);
        let reply = self.send(request, &[], wait + self.timeout + WATCH_SLACK).await?;
        if reply.status() == StatusCode::NoContent {
            discard(reply, self.timeout).await?;
            return Ok(None);
        }
        parse(reply, self.timeout).await.map(Some)
    }

    /// Requests a lease.
    pub async fn grant(&self, ttl: Duration) -> Result<Lease, PlatformError> {
        self.post(
            "/v1/leases",
            &Grant {
                ttl_ms: ttl.as_millis() as u64,
            },
        )
        .await
    }

    /// Renews a lease; `None` if it has expired.
    pub async fn renew(&self, id: u64) -> Result<Option<Lease>, PlatformError> {
        let body = serde_json::to_vec(&LeaseRef { id })?;
        let request = self.request(Method::Post, "/v1/leases/renew", &[]);
        let reply = self.send(request, &body, self.timeout).await?;
        if reply.status() == StatusCode::NotFound {
            discard(reply, self.timeout).await?;
            return Ok(None);
        }
        parse(reply, self.timeout).await.map(Some)
    }

    /// Revokes a lease, which deletes the values written under it.
    pub async fn revoke(&self, id: u64) -> Result<(), PlatformError> {
        let body = serde_json::to_vec(&LeaseRef { id })?;
        let request = self.request(Method::Post, "/v1/leases/revoke", &[]);
        discard(self.send(request, &body, self.timeout).await?, self.timeout).await
    }

    /// The list of VMs.
    pub async fn vms(&self) -> Result<VmList, PlatformError> {
        let request = self.request(Method::Get, "/v1/vms", &[]);
        parse(self.send(request, &[], self.timeout).await?, self.timeout).await
    }

    async fn post<B: Serialize, A: DeserializeOwned>(&self, path: &str, body: &B) -> Result<A, PlatformError> {
        let body = serde_json::to_vec(body)?;
        parse(
            self.send(self.request(Method::Post, path, &[]), &body, self.timeout)
                .await?,
            self.timeout,
        )
        .await
    }

    fn request(&self, method: Method, path: &str, query: &[(&str, &str)]) -> Request {
        let mut url = Url::parse("http://platform").expect("constant URL is valid");
        url.set_path(path);
        if !query.is_empty() {
            url.query_pairs_mut().extend_pairs(query);
        }
        Request::new(method, url)
    }

    /// Sends once, to the current address. After a failure, later calls use the next address.
    async fn send(&self, request: Request, body: &[u8], within: Duration) -> Result<Reply, PlatformError> {
        let current = self.current.load(Ordering::Relaxed);
        let to = self.addresses[current % self.addresses.len()];
        let sent = if request.method() == Method::Get {
            self.client.send(to, request, body, within).await
        } else {
            self.client.send_once(to, request, body, within, || true).await
        };
        sent.map_err(|err| {
            self.current.store(current + 1, Ordering::Relaxed);
            send_failure(&err)
        })
    }
}

fn send_failure(err: &SendError) -> PlatformError {
    if err.not_sent() {
        PlatformError::NotSent
    } else {
        PlatformError::Lost
    }
}

fn or_lost<T>(body: Result<T, http::BodyError>) -> Result<T, PlatformError> {
    body.map_err(|_| PlatformError::Lost)
}

async fn success(reply: Reply, within: Duration) -> Result<Vec<u8>, PlatformError> {
    let status = reply.status();
    let bytes = or_lost(reply.read_body(MAX_RESPONSE_BYTES, within).await)?;
    if !status.is_success() {
        return Err(PlatformError::Refused(status.into()));
    }
    Ok(bytes)
}

async fn parse<A: DeserializeOwned>(reply: Reply, within: Duration) -> Result<A, PlatformError> {
    Ok(serde_json::from_slice(&success(reply, within).await?)?)
}

async fn discard(reply: Reply, within: Duration) -> Result<(), PlatformError> {
    or_lost(reply.read_body(MAX_RESPONSE_BYTES, within).await).map(|_| ())
}
