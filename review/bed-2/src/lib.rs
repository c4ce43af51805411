//! Small stand-ins of the platform for the scripts of this review: store, runner, client and the router process.

pub mod client;
pub mod engine;
pub mod http;
pub mod record;
pub mod router;
pub mod runner;
pub mod store;
