//! Heartbeats and digests between routers, over tarpc.
//!
//! A router keeps one connection to each router of its failure domain and few to other domains. On each, a heartbeat
//! and its answer tell what has changed since the last one: who is live, which configuration is in force, the load of
//! watched endpoints. A heartbeat that fails ends its connection, and a new one begins with the whole state, so that
//! nothing said is ever missed.

mod delta;
mod handle;
mod link;
mod message;
mod news;
mod pack;
mod packed;
mod relay;
mod server;
mod service;
mod socket;

pub use delta::{Extent, Malformed, News, Received, Sent};
pub use handle::{Fetcher, Peers, RecentPeer};
pub use link::{CALL_TIMEOUT, MAX_BACKOFF};
pub use message::{About, Beat, Summary};
pub use news::{Event, LoadReport, OfferedConfig, PublishedState};
pub use pack::{PACK_MIN_BYTES, pack, unpack};
pub use relay::{
    BacklogMessage, Follow, FollowResponse, LoadExchange, LoadMessage, PrefixPage, PrefixQuery, RateMessage,
    RelayHandlers, RelayItem, TargetAgeMessage, Upstream, UptimeMessage, serve_followers,
};
pub use service::PeerError;
pub use socket::MAX_FRAME;
