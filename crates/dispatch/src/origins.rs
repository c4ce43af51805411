//! Which version of the software began a stream, for streams that are continued later.
//!
//! Load pattern: while a service moves to another version of its software, endpoints of both serve it side by side. A
//! stream may only go on at the version that began it. Its client may take it up at any router, under a new id, after the
//! router that began it has ended. So while several versions may begin streams, each router tells a few others, chosen by
//! hashing the id, where its streams began, and asks them about streams that it doesn't know. One of the others writes the
//! origins to the store, because all routers may lose power at the same moment. Where the record in the store
//! ([`crate::software`]) names one version, every stream began at it, and nothing needs to be told or asked.

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
    /// Versions of the service's software at which the stream may have begun.
    pub versions: BTreeSet<SoftwareVersion>,
    /// Whether no other version can have begun it.
    pub is_current: bool,
}

/// How a stream may go on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Continuation {
    /// At endpoints of its origin.
    At(Origin),
    /// Not at all: it may have begun at any of several versions.
    Unknown,
}

/// The routers that were asked about a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Asked {
    /// Those that remember where it began, if the router that began it could tell them.
    Keepers,
    /// All that are registered. The router that began it is among them, or its end shows in this router's copy of the store,
    /// together with what it had recorded.
    Everyone,
}

/// Decides how a stream of `service` goes on, from what this router knows and what the routers that were asked know, as
/// far as they answered.
pub fn continuation(service: &ServiceId, own: &Knowledge, others: &[Option<Knowledge>], asked: Asked) -> Continuation {
    let mut known = std::iter::once(own).chain(others.iter().flatten());
    if let Some(origin) = known.find_map(|known| known.origin.clone()) {
        return Continuation::At(origin);
    }
    let is_proved = is_any_current(own, others) || (asked == Asked::Everyone && others.iter().all(Option::is_some));
    let versions: BTreeSet<&SoftwareVersion> = std::iter::once(own)
        .chain(others.iter().flatten())
        .flat_map(|known| &known.versions)
        .collect();
    let mut versions = versions.into_iter();
    match (versions.next(), versions.next()) {
        (Some(software), None) if is_proved => Continuation::At(Origin {
            service: service.clone(),
            software: software.clone(),
        }),
        _ => Continuation::Unknown,
    }
}

/// Whether this router or one that answered names all versions at which the stream may have begun. Without one, whoever was not
/// asked or did not answer may know of another version.
pub fn is_any_current(own: &Knowledge, others: &[Option<Knowledge>]) -> bool {
    let mut known = std::iter::once(own).chain(others.iter().flatten());
    known.any(|known| known.is_current)
}

/// The origins that a router knows.
#[derive(Debug, Default)]
pub struct Origins {
    /// Where streams began, and when that was last recorded.
    known: HashMap<StreamKey, (Origin, Duration)>,
    /// Each record of a stream, the oldest first.
    order: VecDeque<(StreamKey, Duration)>,
    /// When this router first read the list of endpoints.
    watching_since: Option<Duration>,
}

impl Origins {
    /// Records that this router has read the list of endpoints.
    pub fn list_read(&mut self, now: Duration) {
        self.watching_since.get_or_insert(now);
    }

    /// Records where a stream began, or that it went on there.
    pub fn record(&mut self, stream: StreamKey, origin: Origin, now: Duration) {
        self.known.insert(stream, (origin, now));
        self.order.push_back((stream, now));
        let is_old = |at: Duration| now.saturating_sub(at) >= RETENTION;
        while let Some((oldest, at)) = self.order.front().copied()
            && (is_old(at) || self.order.len() > MAX_ORIGINS)
        {
            self.order.pop_front();
            if self.known.get(&oldest).is_some_and(|(_, last)| *last == at) {
                self.known.remove(&oldest);
            }
        }
    }

    /// Where a stream began, if this router knows.
    pub fn get(&self, stream: StreamKey) -> Option<&Origin> {
        self.known.get(&stream).map(|(origin, _)| origin)
    }

    /// The streams that began a short time ago.
    pub fn all(&self) -> impl Iterator<Item = (StreamKey, &Origin)> {
        self.known.iter().map(|(stream, (origin, _))| (*stream, origin))
    }

    /// Whether this router has watched the list of endpoints for as long as a client may take to return.
    pub fn has_watched(&self, now: Duration) -> bool {
        let watched = self.watching_since.map(|since| now.saturating_sub(since));
        watched.is_some_and(|watched| watched >= RETENTION)
    }
}
