//! Values of the service and the codec that brings them to the wire.

use http::raw::{Call, Headers};
use quick_error::quick_error;
use std::time::Duration;

/// How far the service's history is known.
///
/// A service that comes back from a copy has lost what was written since, and gives those revisions out again: they say
/// nothing without the era, which rises each time. A service that names no era stays in era 0.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// How often the service has come back from a copy.
    pub era: u64,
    /// Its revision in that era.
    pub revision: u64,
}

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// Its bytes.
    pub value: Vec<u8>,
    /// Store revision of its last change.
    pub revision: u64,
    /// Store revision of its creation.
    pub created: u64,
    /// The lease it goes with; 0 for none.
    pub lease: u64,
}

/// One change under a watched prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A key was written.
    Written(Item),
    /// A key was removed, or its lease ended.
    Removed {
        /// Which.
        key: String,
        /// Store revision of the removal.
        revision: u64,
    },
}

/// A page of the items under a prefix. Pages are no snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// In order of keys.
    pub items: Vec<Item>,
    /// Whether more follow after the last of these.
    pub more: bool,
    /// Store revision of this page.
    pub revision: u64,
}

/// Changes in the order in which they happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// Empty if nothing happened while the watch waited.
    pub changes: Vec<Change>,
    /// Store revision to go on from.
    pub revision: u64,
}

/// What a watch brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchOutcome {
    /// Changes after the revision that was asked for.
    Changes(Changes),
    /// The service has dropped that part of its history: all must be read again.
    Compacted,
    /// The service has come back from a copy, in this era: all must be read again.
    Restored(u64),
}

/// A write within a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// The key.
    pub key: String,
    /// Its bytes.
    pub value: Vec<u8>,
    /// The key goes when this lease ends; 0 for none.
    pub lease: u64,
}

/// All or nothing.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Keys and the revisions they must have; 0 for a key that must not exist.
    pub expected: Vec<(String, u64)>,
    /// Keys to write.
    pub writes: Vec<Write>,
}

/// Outcome of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitOutcome {
    /// Done, at this store revision.
    Done(u64),
    /// An expected revision differs.
    Conflict,
    /// The lease has ended.
    NoLease,
}

/// A lease as granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Granted {
    /// Its id.
    pub lease: u64,
    /// Its time to live, counted from the call's arrival.
    pub ttl: Duration,
}

quick_error! {
    /// Bytes that are not what was expected.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Unreadable {
        /// What is wrong.
        Why(text: String) {
            from()
            display("{text}")
        }
    }
}

quick_error! {
    /// Why a call failed.
    #[derive(Debug)]
    pub enum ItemsError {
        /// Nothing was sent: a write has not taken effect.
        NotSent {
            display("the store cannot be reached")
        }
        /// No whole answer came: a write may have taken effect, or may still.
        Lost(received: u64) {
            display("the store's answer was lost, {received} bytes of it had arrived")
        }
        /// The store came back from a copy while it was read.
        Restored {
            display("the store came back from a copy while it was read")
        }
        /// The store refused the call and did nothing.
        Refused(status: u16) {
            display("the store answered with status {status}")
        }
        /// The answer cannot be read.
        Unreadable(err: Unreadable) {
            from()
            display("the store's answer cannot be read: {err}")
        }
    }
}

/// How calls and answers look on the wire.
#[derive(Debug, Clone, Copy)]
pub struct Codec {
    /// The era that an answer was given in.
    pub era: fn(&Headers) -> u64,
    /// Items under a prefix, after a key.
    pub range: fn(prefix: &str, after: Option<&str>) -> Call,
    /// Answer to a range.
    pub page: fn(&[u8]) -> Result<Page, Unreadable>,
    /// Changes under a prefix after a revision; waits for the first one.
    pub watch: fn(prefix: &str, after: u64, wait: Duration) -> Call,
    /// Answer to a watch.
    pub changes: fn(&[u8]) -> Result<Changes, Unreadable>,
    /// A transaction.
    pub transaction: fn(&Transaction) -> Call,
    /// Answer to a transaction: the revision.
    pub committed: fn(&[u8]) -> Result<u64, Unreadable>,
    /// Asks for a lease.
    pub grant: fn(Duration) -> Call,
    /// Answer with a lease.
    pub granted: fn(&[u8]) -> Result<Granted, Unreadable>,
    /// Renews a lease.
    pub renew: fn(u64) -> Call,
    /// Answer to a renewal: time to live.
    pub renewed: fn(&[u8]) -> Result<Duration, Unreadable>,
    /// Ends a lease.
    pub release: fn(u64) -> Call,
}
