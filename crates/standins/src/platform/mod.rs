//! The platform: a key-value service with compare-and-swap, leases and watches, and a list of VMs that lags.
//!
//! Beyond the table in `wire::platform`: a missing key's 404 carries its [`Entry`], whose version is needed to write a
//! deleted key again; a put that names a lapsed lease gets 404, a value above a megabyte 413.

mod serve;
mod store;

pub use serve::{Args, run};
pub use store::{PutOutcome, Store};
