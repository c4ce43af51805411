//! The platform's key-value service and its list of VMs, as HTTP with JSON bodies.
//!
//! | call | answer |
//! | --- | --- |
//! | `GET /v1/kv?key=K` | 200 [`Entry`]; 404 [`Entry`] without value, version 0 if the key never existed |
//! | `PUT /v1/kv` with [`Put`] | 200 [`Put`]'s outcome as [`Entry`]; 409 with the current [`Entry`] |
//! | `GET /v1/range?prefix=P` | 200 [`Entries`] |
//! | `GET /v1/watch?key=K&after=V&wait_ms=W` | 200 [`Entry`] once its version passes `V`; 204 |
//! | `POST /v1/leases` with [`Grant`] | 200 [`Lease`] |
//! | `POST /v1/leases/renew` with [`LeaseRef`] | 200 [`Lease`]; 404 once lapsed |
//! | `POST /v1/leases/revoke` with [`LeaseRef`] | 204 |
//! | `GET /v1/vms` | 200 [`VmList`] |
//! | `GET /v1/calls` | 200 [`Calls`] (not counted) |
//! | `POST /fault` with [`Fault`] | 204 (the stand-in only) |

use ids::{DomainId, Version};
use serde::{Deserialize, Serialize};

/// A value with its version. A deleted value keeps growing its version and has no value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value, absent if the key does not exist.
    pub value: Option<String>,
    /// Grows with each write of this key; 0 if it never existed.
    pub version: Version,
}

/// All entries below a prefix.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entries {
    /// Sorted by key.
    pub entries: Vec<Entry>,
}

/// A compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// The key.
    pub key: String,
    /// New value; absent deletes.
    pub value: Option<String>,
    /// Version the key must have now.
    pub expect: Version,
    /// The value goes when this lease does.
    #[serde(default)]
    pub lease: Option<u64>,
}

/// Asks for a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Time to live without renewal, milliseconds.
    pub ttl_ms: u64,
}

/// Names a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRef {
    /// The lease's id; ids only grow, so one serves as fencing number.
    pub id: u64,
}

/// A lease as granted or renewed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The lease's id; ids only grow, so one serves as fencing number.
    pub id: u64,
    /// Time to live from the moment the platform answered, milliseconds.
    pub ttl_ms: u64,
}

/// State of a VM in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// In service.
    Live,
    /// Told to go; it finishes what it has.
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

/// The platform's list, which lags behind reality.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// VMs in no particular order.
    pub vms: Vec<Vm>,
}

/// Calls counted so far.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Reads, a waiting watch counted as one.
    pub reads: u64,
    /// Writes, lease calls among them.
    pub writes: u64,
    /// Watches among the reads.
    pub watches: u64,
}

/// Fault switch of the stand-in; a field left out keeps its setting.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Connections are closed without an answer.
    pub down: Option<bool>,
    /// Each answer waits this long, milliseconds.
    pub delay_ms: Option<u64>,
    /// This many of the next writes take effect and lose their answer.
    pub lose_answers: Option<u32>,
    /// How far the VM list lags, milliseconds.
    pub list_lag_ms: Option<u64>,
    /// Replaces the list of VMs.
    pub vms: Option<Vec<Vm>>,
}
