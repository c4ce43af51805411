//! Interface of the platform's key-value service and VM list: HTTP with JSON bodies.
//!
//! | call | response |
//! | --- | --- |
//! | `GET /v1/kv?key=K` | 200 [`Entry`]; 404 [`Entry`] without a value, version 0 if the key never existed |
//! | `PUT /v1/kv` with [`Put`] | 200 with the new [`Entry`]; 409 with the current [`Entry`] |
//! | `GET /v1/range?prefix=P` | 200 [`Entries`] |
//! | `GET /v1/watch?key=K&after=V&wait_ms=W` | 200 [`Entry`] once its version exceeds `V`; 204 after `W` ms |
//! | `POST /v1/leases` with [`Grant`] | 200 [`Lease`] |
//! | `POST /v1/leases/renew` with [`LeaseRef`] | 200 [`Lease`]; 404 once expired |
//! | `POST /v1/leases/revoke` with [`LeaseRef`] | 204 |
//! | `GET /v1/vms` | 200 [`VmList`] |
//! | `GET /v1/calls` | 200 [`Calls`] (not counted) |
//! | `POST /fault` with [`Fault`] | 204 (stand-in only) |

use ids::{DomainId, Version};
use serde::{Deserialize, Serialize};

/// A key with its value and version. A deleted key has no value, but its version keeps increasing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value, absent if the key does not exist.
    pub value: Option<String>,
    /// Increases with each write of this key; 0 if the key never existed.
    pub version: Version,
}

/// All entries below a prefix.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entries {
    /// Entries, sorted by key.
    pub entries: Vec<Entry>,
}

/// A compare-and-swap request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// The key.
    pub key: String,
    /// New value; absent to delete the key.
    pub value: Option<String>,
    /// Version that the key must have.
    pub expect: Version,
    /// The value is deleted when this lease ends.
    #[serde(default)]
    pub lease: Option<u64>,
}

/// Requests a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Time to live without renewal, milliseconds.
    pub ttl_ms: u64,
}

/// Refers to a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRef {
    /// The lease's id. Ids only increase, so they serve as fencing tokens.
    pub id: u64,
}

/// A lease as granted or renewed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The lease's id. Ids only increase, so they serve as fencing tokens.
    pub id: u64,
    /// Time to live from the platform's response on, milliseconds.
    pub ttl_ms: u64,
}

/// State of a VM in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// In service.
    Live,
    /// Asked to shut down; finishes its current work.
    Leaving,
}

/// One VM of the platform's list: a router's or an endpoint's.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The router's VM id or the endpoint's id.
    pub id: String,
    /// Its address for peers, `IP:port`.
    pub address: String,
    /// Its failure domain.
    pub domain: DomainId,
    /// Live or leaving.
    pub state: VmState,
}

/// The platform's VM list, which lags behind the actual state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// VMs in no particular order.
    pub vms: Vec<Vm>,
}

/// Calls counted so far.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Reads. A watch counts as one read.
    pub reads: u64,
    /// Writes, including lease calls.
    pub writes: u64,
    /// Watches, which are included in the reads.
    pub watches: u64,
}

/// Fault injection in the stand-in. An absent field keeps its setting.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Connections are closed without a response.
    pub down: Option<bool>,
    /// Delay of each response, milliseconds.
    pub delay_ms: Option<u64>,
    /// This many of the next writes take effect, but their response is lost.
    pub lose_answers: Option<u32>,
    /// Lag of the VM list, milliseconds.
    pub list_lag_ms: Option<u64>,
    /// Replaces the list of VMs.
    pub vms: Option<Vec<Vm>>,
}
