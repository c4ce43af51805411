//! Values of the service, and the codec that encodes and decodes its calls.

use http::raw::{Bound, Call, Headers};
use quick_error::quick_error;
use std::time::Duration;

/// A position in the service's history.
///
/// A service that was restored from a backup has lost later writes and assigns their revisions again. Revisions are
/// therefore only comparable within an era, and each restore starts a new, higher era. A service without eras stays in
/// era 0.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Era of the service; higher after each restore from a backup.
    pub era: u64,
    /// Revision within the era.
    pub revision: u64,
}

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Store revision of its last change.
    pub revision: u64,
    /// Store revision of its creation.
    pub created: u64,
    /// The lease that it expires with; 0 for none.
    pub lease: u64,
}

/// One change under a watched prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A key was written.
    Written(Item),
    /// A key was removed, or its lease ended.
    Removed {
        /// The key.
        key: String,
        /// Store revision of the removal.
        revision: u64,
    },
}

/// A page of the items under a prefix. Successive pages are no consistent snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Items in key order.
    pub items: Vec<Item>,
    /// Whether more items follow after the last one.
    pub more: bool,
    /// Store revision of this page.
    pub revision: u64,
}

/// Changes of a watched prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// Changes in the order in which they happened; empty if there were none while the watch waited.
    pub changes: Vec<Change>,
    /// Store revision after which the next watch continues.
    pub revision: u64,
}

/// Outcome of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchOutcome {
    /// Changes after the requested revision.
    Changes(Changes),
    /// The service no longer has that part of its history. All items must be read again.
    Compacted,
    /// The service was restored from a backup and is in this era. All items must be read again.
    Restored(u64),
    /// The changes are longer than the longest response that is read. All items must be read again, in pages.
    TooLong,
}

/// A write within a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The key is removed when this lease ends; 0 for none.
    pub lease: u64,
}

/// Writes that are applied together or not at all.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Keys and their required revisions; 0 for a key that must not exist.
    pub expected: Vec<(String, u64)>,
    /// Keys to write.
    pub writes: Vec<Write>,
}

/// Outcome of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitOutcome {
    /// Applied at this store revision.
    Done(u64),
    /// A key has another revision than required.
    Conflict,
    /// The lease has ended.
    NoLease,
}

/// A lease as granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Granted {
    /// Its id.
    pub lease: u64,
    /// Its time to live, from the time when the call arrived at the service.
    pub ttl: Duration,
}

quick_error! {
    /// A response that cannot be decoded.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Unreadable {
        /// Description of the problem.
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
        /// No complete response arrived: a write may have taken effect, or may do so later.
        Lost(received: u64) {
            display("the store's response was lost, {received} bytes received")
        }
        /// The response exceeds a bound, and would do so again.
        TooLong(bound: Bound) {
            display("the store's response is too long: {}", bound.name())
        }
        /// The store was restored from a backup between two pages.
        Restored {
            display("the store was restored from a backup while it was read")
        }
        /// A page ends like an earlier one, so there would be no last one.
        Repeated {
            display("the store's pages repeat")
        }
        /// The store rejected the call without any effect.
        Refused(status: u16) {
            display("the store responded with status {status}")
        }
        /// The response cannot be decoded.
        Unreadable(err: Unreadable) {
            from()
            display("the store's response cannot be decoded: {err}")
        }
    }
}

/// Encoders of calls and decoders of responses.
#[derive(Debug, Clone, Copy)]
pub struct Codec {
    /// The era in a response's headers.
    pub era: fn(&Headers) -> u64,
    /// Call that reads a page of items under a prefix, after a key.
    pub range: fn(prefix: &str, after: Option<&str>) -> Call,
    /// Response to `range`.
    pub page: fn(&[u8]) -> Result<Page, Unreadable>,
    /// Call that waits for changes under a prefix after a revision.
    pub watch: fn(prefix: &str, after: u64, wait: Duration) -> Call,
    /// Response to `watch`.
    pub changes: fn(&[u8]) -> Result<Changes, Unreadable>,
    /// Call that commits a transaction.
    pub transaction: fn(&Transaction) -> Call,
    /// Response to `transaction`: its store revision.
    pub committed: fn(&[u8]) -> Result<u64, Unreadable>,
    /// Call that requests a lease.
    pub grant: fn(Duration) -> Call,
    /// Response to `grant`.
    pub granted: fn(&[u8]) -> Result<Granted, Unreadable>,
    /// Call that renews a lease.
    pub renew: fn(u64) -> Call,
    /// Response to `renew`: the time to live.
    pub renewed: fn(&[u8]) -> Result<Duration, Unreadable>,
    /// Call that ends a lease.
    pub release: fn(u64) -> Call,
}
