//! Message types of all interfaces. Never does I/O.
//!
//! `client` holds the interface to clients, `engine` and `service` those to endpoints, and `platform` the one to the
//! key-value service. Bodies are JSON. A router adds its own data to a forwarded call as headers, so that a client's
//! body is forwarded unchanged.

pub mod client;
pub mod engine;
pub mod headers;
pub mod platform;
pub mod service;
