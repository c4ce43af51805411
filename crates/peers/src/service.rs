//! The RPC interface between routers.

use crate::Beat;
use control::membership::{Member, Roster};
use ids::Digest;
use quick_error::quick_error;

// The macro generates items that cannot have doc comments.
#[allow(missing_docs)]
mod calls {
    use super::{Beat, Digest, Member, Roster};

    /// Calls that a router serves to its peers.
    #[tarpc::service]
    pub trait Router {
        /// First call on a connection. Identifies the caller and returns the identity of the called router.
        async fn hello(from: Member) -> Member;
        /// Sends a heartbeat. `None` if it could not be decoded; the caller then closes the connection.
        async fn beat(beat: Beat) -> Option<Beat>;
        /// Exchanges membership lists.
        async fn roster(roster: Roster) -> Roster;
        /// Recent pressure on each endpoint, in thousandths, by the endpoint's hash key.
        async fn pressures() -> Vec<(u64, u32)>;
        /// Text of the active configuration's head.
        async fn head() -> Option<String>;
        /// Text of a section of the active configuration.
        async fn section(digest: Digest) -> Option<String>;
    }
}

pub(crate) use calls::{Router, RouterClient};

quick_error! {
    /// Why a call to a peer failed.
    #[derive(Debug)]
    pub enum PeerError {
        /// The connection could not be opened.
        Connect(error: std::io::Error) {
            display("no connection: {error}")
            source(error)
            from()
        }
        /// The call failed or exceeded its deadline.
        Call(error: tarpc::client::RpcError) {
            display("the call failed: {error}")
            source(error)
            from()
        }
        /// No connection or no response in time.
        Timeout {
            display("no connection or response in time")
            from(async_std::future::TimeoutError)
        }
        /// The response did not arrive in time or stalled.
        ResponseTimeout(received: u64) {
            display("no complete response in time, {received} bytes received")
        }
        /// Another router responds at the peer's address.
        WrongPeer {
            display("another router responds at this address")
        }
        /// A heartbeat or a compressed value could not be decoded.
        Malformed {
            display("a heartbeat or value could not be decoded")
        }
        /// The router is stopping.
        Stopped {
            display("the router is stopping")
        }
    }
}
