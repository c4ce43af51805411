//! The calls between routers.

use crate::Beat;
use control::membership::{Member, Roster};
use ids::Digest;
use quick_error::quick_error;

// The macro writes items that can't carry comments.
#[allow(missing_docs)]
mod calls {
    use super::{Beat, Digest, Member, Roster};

    /// What a router answers to its peers.
    #[tarpc::service]
    pub trait Router {
        /// Says who calls, as the first call on a connection; answers who is called.
        async fn hello(from: Member) -> Member;
        /// A heartbeat; nothing if it could not be understood, and the connection is to be ended.
        async fn beat(beat: Beat) -> Option<Beat>;
        /// The caller's membership for the other's.
        async fn roster(roster: Roster) -> Roster;
        /// How crowded each endpoint has been, in thousandths, by its key in hashes.
        async fn pressures() -> Vec<(u64, u32)>;
        /// Text of the head in force.
        async fn head() -> Option<String>;
        /// Text of a section in force.
        async fn section(digest: Digest) -> Option<String>;
    }
}

pub(crate) use calls::{Router, RouterClient};

quick_error! {
    /// A call to a peer failed.
    #[derive(Debug)]
    pub enum PeerError {
        /// No connection.
        Connect(error: std::io::Error) {
            display("no connection: {error}")
            source(error)
            from()
        }
        /// The call failed or took too long.
        Call(error: tarpc::client::RpcError) {
            display("the call failed: {error}")
            source(error)
            from()
        }
        /// No connection or no answer in time.
        Timeout {
            display("no answer in time")
            from(async_std::future::TimeoutError)
        }
        /// No whole answer in time.
        ResponseTimeout(received: u64) {
            display("no answer in time, {received} bytes of it had arrived")
        }
        /// Someone else answers at the peer's address.
        WrongPeer {
            display("another router answers at this address")
        }
        /// One end did not understand the other's heartbeat.
        Malformed {
            display("a heartbeat was not understood")
        }
        /// The router is stopping.
        Stopped {
            display("the router is stopping")
        }
    }
}
