//! Client of a key-value service that has transactions, leases and watches over prefixes.
//!
//! A [`Codec`] defines the format of calls. This module manages connections and time limits, and distinguishes calls
//! that were never sent from calls whose response was lost.

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
