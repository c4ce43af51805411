//! Stand-ins for the platform, an engine and a plain service, for tests and demos. Not part of a release.
//!
//! Each runs as its own process and injects faults on request over HTTP (`POST /fault`).

pub mod engine;
pub mod http;
pub mod platform;
pub mod process;
pub mod service;
