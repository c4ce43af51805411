//! HTTP/1.1 with every byte kept.
//!
//! async-h1 resolves targets through a URL type, merges headers into a map, loses bytes that follow a request in the
//! same segment, and cannot tell how an answer ended. Where method, target, headers and body have to go on as they
//! came, heads are parsed by `httparse` and bodies are framed here.

mod body;
mod call;
mod exchange;
mod framing;
mod head;
mod source;

pub use body::{BodyReader, RawBodyError};
pub use call::{Call, CallResponse};
pub use exchange::{ExchangeError, Response, connect, exchange, set_socket_options};
pub use framing::{Framing, FramingError, request_framing, response_framing};
pub use head::{HeadError, Headers, RequestHead, ResponseHead};
pub use source::Source;
