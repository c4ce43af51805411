//! Bounded HTTP/1.1 client and server around async-h1.
//!
//! async-h1 reads and writes heads and bodies. This crate adds limits on connections, heads and bodies, detection of
//! clients that disconnect, a connection pool, and the check that a body is as long as its head declares.

mod checked;
mod client;
mod conn;
mod open;
mod progress;
pub mod raw;
mod reply;
mod server;
mod sse;
mod tcp_info;
mod timeout;
mod unreachable;

pub use client::{Client, SendError};
pub use conn::Conn;
pub use open::OpenConnection;
pub use progress::progress_timeout;
pub use reply::{BodyError, Reply};
pub use server::{Limits, ReadError, ServerState, read_body, serve};
pub use sse::{EventError, EventStream, SseEvent};
pub use timeout::{Elapsed, timeout};

pub use http_types::{Body, Method, Request, Response, StatusCode, Url};
