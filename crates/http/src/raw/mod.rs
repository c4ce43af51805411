//! HTTP/1.1 that forwards messages unchanged.
//!
//! async-h1 resolves targets through a URL type, merges headers into a map, loses bytes that follow a request in the
//! same segment, and cannot tell how a response ended. Where method, target, headers and body must be forwarded
//! unchanged, `httparse` parses the heads and this module frames the bodies.

mod body;
mod bound;
mod call;
mod exchange;
mod framing;
mod head;
mod source;

pub use body::{BodyReader, RawBodyError};
pub use bound::Bound;
pub use call::{Call, CallResponse};
pub use exchange::{ExchangeError, Response, connect, exchange, exchange_parts};
pub use framing::{Framing, FramingError, has_body, request_framing, response_framing, stated_length};
pub use head::{HeadError, Headers, RequestHead, ResponseHead};
pub use source::Source;
