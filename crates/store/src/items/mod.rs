//! Client of a key-value service that has transactions, leases and watches over prefixes.
//!
//! How a call looks on the wire is a matter of a [`Codec`]; this module keeps the connections, the time limits and the
//! difference between a call that was never sent and one whose answer was lost.

mod client;
mod log;
mod types;

pub use client::Client;
pub use http::raw::Call;
pub use log::{ItemDelta, ItemLog};
pub use types::{
    Change, Changes, Codec, CommitOutcome, Granted, Item, ItemsError, Page, Position, Transaction, Unreadable,
    WatchOutcome, Write,
};
