//! Typed messages on every interface. Never does I/O.
//!
//! `client` is what clients speak, `engine` and `service` what endpoints speak, `platform` what the key-value
//! service speaks. Bodies are JSON; what a router adds to a forwarded call stands in headers, so that a
//! caller's body goes on unchanged.

pub mod client;
pub mod engine;
pub mod headers;
pub mod platform;
pub mod service;
