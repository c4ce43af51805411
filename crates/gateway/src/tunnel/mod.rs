//! Tunnels to endpoints through other routers, for a router that has lost its own path.
//!
//! A tunnel is requested like an HTTP tunnel, with `CONNECT` and the id of an endpoint, on the address for followers.
//! After the response it carries the bytes of one connection. Regular ends and resets are carried over, because a
//! response may end with its connection.

mod carry;
mod request;

pub use carry::serve;
pub use request::{PeerCache, open};

/// Header that names the requesting router.
const ROUTER: &str = "Router";
/// Header that names the incarnation of the endpoint.
const INCARNATION: &str = "Incarnation";
/// The tunnel is open.
const OPENED: u16 = 200;
/// The endpoint could not be reached.
const UNREACHABLE: u16 = 502;
/// The tunnel is refused.
const REFUSED: u16 = 503;
/// Longest head of a request for a tunnel or of its response, bytes.
const MAX_HEAD_BYTES: usize = 1024;
