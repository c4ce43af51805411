//! Which version of the software began a stream, for streams that are continued later.
//!
//! Load pattern: while a service moves to another version of its software, endpoints of both serve it side by side. A
//! stream may only go on at the version that began it. Its client may take it up at any router, under a new id, after the
//! router that began it has ended. So while several versions were seen, each router tells a few others, chosen by hashing
//! the id, where its streams began, and asks them about streams that it doesn't know. Where one version was seen for as
//! long as a client can return, every stream began at it, and nothing needs to be told or asked.

use derive_more::{Display, From};
use ids::{RequestId, ServiceId, SoftwareVersion};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// How long an origin is remembered: longer than a client may take to return.
pub const RETENTION: Duration = Duration::from_secs(30);
/// Number of origins that are remembered.
const MAX_ORIGINS: usize = 65_536;
/// Time since the last word from the store up to which a router's list of endpoints counts as current.
const MAX_LIST_AGE: Duration = Duration::from_secs(2);

/// Identifies a stream by the id of the client's attempt that brought its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, From, Display, Serialize, Deserialize)]
#[display("{_0:016x}")]
pub struct StreamKey(pub u64);

impl From<&RequestId> for StreamKey {
    fn from(id: &RequestId) -> Self {
        Self(xxh3_64(id.as_str().as_bytes()))
    }
}

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The service.
    #[serde(rename = "s")]
    pub service: ServiceId,
    /// Version of its endpoint's software.
    #[serde(rename = "v")]
    pub software: SoftwareVersion,
}

/// What a router knows of a stream and its service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Knowledge {
    /// Where the stream began.
    pub origin: Option<Origin>,
    /// Versions of the service's software seen within [`RETENTION`].
    pub versions: BTreeSet<SoftwareVersion>,
}

/// How a stream may go on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Continuation {
    /// At any endpoint: there is only one version.
    Anywhere,
    /// At endpoints of its origin.
    At(Origin),
    /// Not at all: it may have begun at any of several versions.
    Unknown,
}

/// Decides how a stream goes on, from what this router knows and what the routers that were asked know, as far as they
/// answered. `alone` says that there are no other routers.
pub fn continuation(own: &Knowledge, others: &[Option<Knowledge>], alone: bool) -> Continuation {
    let answers = || others.iter().flatten();
    let mut known = std::iter::once(own).chain(answers());
    if let Some(origin) = known.find_map(|known| known.origin.clone()) {
        return Continuation::At(origin);
    }
    let versions: BTreeSet<&SoftwareVersion> = std::iter::once(own)
        .chain(answers())
        .flat_map(|known| &known.versions)
        .collect();
    // A router that reaches no other may have missed that there are several.
    let is_cut_off = !alone && answers().next().is_none();
    if versions.len() > 1 || is_cut_off {
        Continuation::Unknown
    } else {
        Continuation::Anywhere
    }
}

/// The origins that a router knows.
#[derive(Debug, Default)]
pub struct Origins {
    known: HashMap<StreamKey, Origin>,
    /// The same, the oldest first.
    order: VecDeque<(StreamKey, Duration)>,
    /// When this router first read the list of endpoints.
    watching_since: Option<Duration>,
}

impl Origins {
    /// Records that this router has read the list of endpoints.
    pub fn list_read(&mut self, now: Duration) {
        self.watching_since.get_or_insert(now);
    }

    /// Records where a stream began.
    pub fn record(&mut self, stream: StreamKey, origin: Origin, now: Duration) {
        if self.known.insert(stream, origin).is_none() {
            self.order.push_back((stream, now));
        }
        let is_old = |at: Duration| now.saturating_sub(at) >= RETENTION;
        while let Some((oldest, at)) = self.order.front().copied()
            && (is_old(at) || self.order.len() > MAX_ORIGINS)
        {
            self.order.pop_front();
            self.known.remove(&oldest);
        }
    }

    /// Where a stream began, if this router knows.
    pub fn get(&self, stream: StreamKey) -> Option<&Origin> {
        self.known.get(&stream)
    }

    /// The streams that began a short time ago.
    pub fn all(&self) -> impl Iterator<Item = (StreamKey, &Origin)> {
        self.known.iter().map(|(stream, origin)| (*stream, origin))
    }

    /// Whether this router can tell by itself that a service has had one version for as long as a client may take to return.
    /// `versions` is the number that it saw, `list_age` the time since the last word from the store.
    pub fn proves_single(&self, versions: usize, list_age: Option<Duration>, now: Duration) -> bool {
        let watched = self.watching_since.map(|since| now.saturating_sub(since));
        versions <= 1
            && watched.is_some_and(|watched| watched >= RETENTION)
            && list_age.is_some_and(|age| age <= MAX_LIST_AGE)
    }
}
