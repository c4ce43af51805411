//! The platform: a key-value store with compare-and-swap, leases and watches, and a list of VMs that can lag.
//!
//! Beyond the table in `wire::platform`: the 404 for a missing key contains its [`Entry`], because writing a deleted
//! key again needs its version. A put with an expired lease returns 404, a value above a megabyte 413.

mod serve;
mod store;

pub use serve::{Args, run};
pub use store::{PutOutcome, Store};
