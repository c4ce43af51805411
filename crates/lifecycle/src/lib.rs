//! State machines of a request, a stream and an idempotency claim. Never does I/O.
//!
//! Each machine takes an event and returns what to do next. Time is an argument (`now`, since the process
//! started), and so is everything random. The caller of a machine does the I/O and reports what came of it.

pub mod claims;
pub mod events;
pub mod request;
pub mod stream;
