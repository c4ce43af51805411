//! Small stand-ins for the platform, an engine and a plain service. Never shipped.
//!
//! Each is a process of its own with a fault switch over HTTP (`POST /fault`), so that a test or a person can use it.

pub mod engine;
pub mod http;
pub mod platform;
pub mod process;
pub mod service;
