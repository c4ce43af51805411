//! Tells other routers which version of the software began a stream, and asks them. Keeps in the store what must outlive all
//! routers.

mod archive;
mod records;
mod sender;

pub use archive::{ORIGINS_PREFIX, archive_origins, read as read_origins};
pub use records::{RECORDS_PREFIX, RecordWriter, read as read_record};
pub use sender::send_origins;

use crate::follow::members::Members;
use crate::shared::Shared;
use control::rendezvous;
use dispatch::origins::{Asked, Continuation, Knowledge, Origin, StreamKey, continuation, is_any_current};
use dispatch::site::EndpointEntry;
use futures::future::join_all;
use ids::{RequestId, ServiceId, VmId};
use peers::{OriginMessage, OriginQuery, OriginResponse, PeerError, Upstream};
use records::names;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Routers that remember where a stream began, besides the one that began it. Several may be killed at the same moment.
const KEEPERS: usize = 3;
/// Most routers, besides the keepers, that are asked about one stream. In larger fleets such a stream is refused while no
/// current record can be read.
const MAX_ASKED: usize = 64;
/// Longest wait for a router, for its connection and again for its response.
const CALL_TIMEOUT: Duration = Duration::from_millis(150);

/// Records where a stream began that this router has just begun.
pub fn record(shared: &Shared, id: &str, origin: Origin) {
    let stream = StreamKey::from(&RequestId::from(id));
    let now = shared.clock.now();
    shared.origins().record(stream, origin.clone(), now);
    if !proves_single(shared, &origin.service) {
        // A full queue means that the other routers don't respond.
        let _ = shared.origin_outbox.0.try_send((stream, origin));
    }
}

/// Applies a new entry of an endpoint. If its service has a second version now, other routers are told of the streams that
/// began before.
pub fn endpoint_listed(shared: &Shared, entry: &Arc<EndpointEntry>) {
    let now = shared.clock.now();
    let is_second = {
        let mut fleet = shared.fleet();
        let before = fleet.versions(&entry.service, now).len();
        fleet.upsert_endpoint(entry, now);
        before == 1 && fleet.versions(&entry.service, now).len() > 1
    };
    if !is_second {
        return;
    }
    log::info!(service = entry.service.as_str(), software = entry.software.as_str(); "stream: another version is listed");
    let origins = shared.origins();
    let begun = origins.all().filter(|(_, origin)| origin.service == entry.service);
    for (stream, origin) in begun {
        // A full queue means that the other routers don't respond.
        let _ = shared.origin_outbox.0.try_send((stream, origin.clone()));
    }
}

/// Finds out how the stream goes on that the attempt `begun` began. Without its name, `request`, which continues it, only chooses
/// the routers that are asked at which versions it may have begun.
pub async fn find(shared: &Shared, begun: Option<&str>, request: &str, service: &ServiceId) -> Continuation {
    let stream = StreamKey::from(&RequestId::from(begun.unwrap_or(request)));
    let own = knowledge(shared, Some(stream), service);
    if own.origin.is_some() || (own.is_current && own.versions.len() == 1) {
        let found = continuation(service, &own, &[], Asked::Keepers);
        count_continued(shared, &own, &[], &found);
        return found;
    }
    let query = OriginQuery {
        stream,
        service: service.clone(),
    };
    let (keepers, rest) = split_keepers(shared, stream);
    let mut others = ask(&keepers, &query).await;
    let mut asked = if rest.is_empty() {
        Asked::Everyone
    } else {
        Asked::Keepers
    };
    let mut found = continuation(service, &own, &others, asked);
    if found == Continuation::Unknown && !is_any_current(&own, &others) {
        if let Some(read) = records::read_now(shared, service).await {
            others.push(Some(read));
        } else if asked == Asked::Keepers && rest.len() <= MAX_ASKED {
            others.extend(ask(&rest, &query).await);
            asked = Asked::Everyone;
        }
        found = continuation(service, &own, &others, asked);
    }
    count_continued(shared, &own, &others, &found);
    let now = shared.clock.now();
    let told = others
        .iter()
        .flatten()
        .map(|known| names(&known.versions))
        .collect::<Vec<_>>()
        .join(" ");
    log::info!(
        stream = begun.unwrap_or_default(),
        asked = others.len(),
        answered = others.iter().flatten().count(),
        versions = names(&own.versions).as_str(),
        told = told.as_str(),
        copy_age_ms = shared.software().copy_age(now).map_or(-1, |age| age.as_millis() as i64),
        started_ms = now.as_millis() as u64,
        found:? = found;
        "stream: origin asked for"
    );
    found
}

/// Counts a stream that a client continues, by what shows its origin.
fn count_continued(shared: &Shared, own: &Knowledge, others: &[Option<Knowledge>], found: &Continuation) {
    let shown = match found {
        Continuation::Unknown => "nothing",
        Continuation::At(_) if own.origin.is_some() => "memory",
        Continuation::At(_) if others.iter().flatten().any(|known| known.origin.is_some()) => "another_router",
        Continuation::At(_) => "record",
    };
    shared.metrics.continued.with_label_values(&[shown]).inc();
}

/// Handles origins that another router tells.
pub fn handle(shared: &Shared, messages: Vec<OriginMessage>) {
    let now = shared.clock.now();
    let own = shared.settings.load().vm.clone();
    let archivists = archive::archivists(&Members::read(shared).ids());
    for OriginMessage(stream, origin) in messages {
        if archive::archivist(stream, &archivists) == Some(&own) {
            archive::queue(shared, stream, &origin);
        }
        shared.origins().record(stream, origin, now);
    }
}

/// Answers another router's question.
pub fn respond(shared: &Shared, query: &OriginQuery) -> OriginResponse {
    let known = knowledge(shared, Some(query.stream), &query.service);
    OriginResponse {
        origin: known.origin,
        versions: known.versions,
        is_current: known.is_current,
        record: shared.software().revision(&query.service),
    }
}

fn knowledge(shared: &Shared, stream: Option<StreamKey>, service: &ServiceId) -> Knowledge {
    let now = shared.clock.now();
    let (origin, has_watched) = {
        let origins = shared.origins();
        let origin = stream.and_then(|stream| origins.get(stream).cloned());
        (origin, origins.has_watched(now))
    };
    let own = shared.settings.load().vm.clone();
    let (recorded, is_recent, proves_all) = {
        let software = shared.software();
        let recorded = software.active(service);
        (
            recorded,
            software.is_current(now),
            software.proves_all(service, &own, now),
        )
    };
    let has_record = recorded.is_some();
    let listed = || shared.fleet().versions(service, now).into_iter().cloned().collect();
    Knowledge {
        origin,
        versions: recorded.unwrap_or_else(listed),
        is_current: if has_record {
            proves_all
        } else {
            is_recent && has_watched
        },
    }
}

/// Whether this router can tell by itself that all streams of the service begin at one version.
fn proves_single(shared: &Shared, service: &ServiceId) -> bool {
    // A version is listed before it is recorded.
    if shared.fleet().versions(service, shared.clock.now()).len() > 1 {
        return false;
    }
    let known = knowledge(shared, None, service);
    known.is_current && known.versions.len() <= 1
}

/// The routers that remember where a stream began.
fn keepers(stream: StreamKey, routers: &[(VmId, SocketAddr)]) -> Vec<&(VmId, SocketAddr)> {
    let chosen = rendezvous::choose(&stream.to_string(), routers.iter().map(|(vm, _)| vm), KEEPERS);
    let is_chosen = |router: &&(VmId, SocketAddr)| chosen.contains(&&router.0);
    routers.iter().filter(is_chosen).collect()
}

/// Addresses of the other routers: those that remember where the stream began, and the rest.
fn split_keepers(shared: &Shared, stream: StreamKey) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    let own = shared.settings.load().vm.clone();
    let routers = Members::read(shared).addresses();
    let keepers = keepers(stream, &routers);
    let others = routers.iter().filter(|(vm, _)| *vm != own);
    let (keepers, rest): (Vec<_>, Vec<_>) = others.partition(|router| keepers.contains(router));
    let addresses = |routers: Vec<&(VmId, SocketAddr)>| routers.into_iter().map(|(_, address)| *address).collect();
    (addresses(keepers), addresses(rest))
}

/// Asks routers what they know of a stream.
async fn ask(routers: &[SocketAddr], query: &OriginQuery) -> Vec<Option<Knowledge>> {
    let calls = routers.iter().map(|address| ask_one(*address, query.clone()));
    let answers = join_all(calls).await;
    let knowledge = |response: OriginResponse| Knowledge {
        origin: response.origin,
        versions: response.versions,
        is_current: response.is_current,
    };
    answers.into_iter().map(|answer| answer.ok().map(knowledge)).collect()
}

async fn ask_one(address: SocketAddr, query: OriginQuery) -> Result<OriginResponse, PeerError> {
    let upstream = Upstream::connect(address, CALL_TIMEOUT).await?;
    upstream.origin(query, CALL_TIMEOUT).await
}
