//! Heartbeats and digests between routers, over tarpc.
//!
//! A router keeps one connection to each router of its failure domain and a few to other domains. On each connection, a
//! heartbeat and its response carry what has changed since the previous one: live routers, the active configuration and
//! the load of watched endpoints. A failed heartbeat closes its connection. The next connection starts with the full
//! state, so no change is lost.

mod delta;
mod events;
mod handle;
mod link;
mod message;
mod pack;
mod packed;
mod relay;
mod server;
mod service;
mod socket;

pub use delta::{DecodeError, DeltaDecoder, DeltaEncoder, Extent, Update};
pub use events::{Event, LoadReport, OfferedConfig, PublishedState};
pub use handle::{Fetcher, Peers, RecentPeer};
pub use link::{CALL_TIMEOUT, MAX_BACKOFF};
pub use message::{Beat, EndpointInfo, Summary};
pub use pack::{PACK_MIN_BYTES, pack, unpack};
pub use relay::{
    AnswerMessage, BacklogMessage, DemandMessage, EndMessage, EndedProcessMessage, EndsMessage, Follow, FollowResponse,
    HoldMessage, LeavingMessage, LevelMessage, LoadExchange, LoadMessage, OriginMessage, OriginQuery, OriginResponse,
    PartsMessage, PrefixPage, PrefixQuery, RateMessage, RejectionMessage, RelayHandlers, RelayItem, ReleaseMessage,
    ReportMessage, SpeedMessage, SubtotalMessage, SuspectMessage, TargetAgeMessage, ToleranceMessage, TotalsMessage,
    Upstream, UptimeMessage, UsageMessage, age_ms, serve_followers, time_of,
};
pub use service::PeerError;
pub use socket::MAX_FRAME;
