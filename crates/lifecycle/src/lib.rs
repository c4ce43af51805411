//! State machines for a request, a stream and an idempotency claim. No I/O.
//!
//! Each state machine takes an event and returns what to do next. The time since the process started (`now`) and random
//! values are arguments. The code that drives a state machine performs the I/O and reports the result as an event.

pub mod claims;
pub mod events;
pub mod request;
pub mod stream;
