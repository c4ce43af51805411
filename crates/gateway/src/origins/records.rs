//! Records in the store at which versions of the software streams may begin.

use super::ask_one;
use crate::follow::members::Members;
use crate::shared::Shared;
use async_std::task;
use control::rendezvous;
use dispatch::origins::{Knowledge, StreamKey};
use dispatch::roster::Roster;
use dispatch::software::{ListedVersions, RecordStep, RecordUpdate, SoftwareRecord};
use futures::future::join_all;
use ids::{ServiceId, SoftwareVersion, VmId};
use peers::{OriginQuery, OriginResponse, PeerError};
use std::collections::{BTreeSet, HashMap};
use std::io::ErrorKind;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use store::items::{Client, CommitOutcome, Item, Transaction, Write};

/// Key prefix of the records, followed by the service.
pub const RECORDS_PREFIX: &str = "apricotfork/software/";
/// How much longer a router waits for a record to be written for each router that writes before it.
const TURN: Duration = Duration::from_millis(300);
/// Pause before this router takes a step again that hasn't led to another record.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Time after a step in which the router that took it goes on without waiting for its turn.
const ACTING_TIME: Duration = Duration::from_secs(3);
/// Interval between reads of the list of routers.
const MEMBERS_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait for a response of the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest wait for a read while a client waits.
const READ_TIMEOUT: Duration = Duration::from_millis(300);
const NO_LEASE: u64 = 0;

/// Applies a record that was read from the store.
pub fn read(shared: &Shared, item: &Item) {
    let service = ServiceId::from(item.key.trim_start_matches(RECORDS_PREFIX));
    let record: SoftwareRecord = match serde_json::from_slice(&item.value) {
        Ok(record) => record,
        Err(err) => {
            log::error!(key = item.key.as_str(), why:% = err; "software: cannot parse the record");
            return;
        }
    };
    let (active, pending) = (names(&record.active), names(&record.pending));
    log::info!(
        service = service.as_str(), active = active.as_str(), pending = pending.as_str(), revision = item.revision;
        "software: recorded"
    );
    shared.fleet().set_active_versions(&service, &record.active);
    let now = shared.clock.now();
    shared.software().read(&service, record, item.revision, now);
}

/// Names of versions, for logs.
pub(super) fn names(versions: &BTreeSet<SoftwareVersion>) -> String {
    let names: Vec<&str> = versions.iter().map(SoftwareVersion::as_str).collect();
    names.join(",")
}

/// Reads the record of a service from the store. It names all versions at which streams have begun by now.
pub(super) async fn read_now(shared: &Shared, service: &ServiceId) -> Option<Knowledge> {
    let arrived = shared.clock.now();
    let mut reads = shared.record_reads.lock().await;
    if let Some((sent, known)) = reads.get(service).filter(|(sent, _)| *sent >= arrived) {
        log::debug!(age_ms = arrived.saturating_sub(*sent).as_millis() as u64; "software: record read by another request");
        return known.clone();
    }
    let sent = shared.clock.now();
    let key = format!("{RECORDS_PREFIX}{service}");
    let client = Client::new(shared.settings.load().store, shared.dialect.store);
    let read = client.all(&key, READ_TIMEOUT).await;
    shared.metrics.count_store_call("software_read", read.is_ok());
    let items = read.map(|(items, _)| items).unwrap_or_default();
    let record = items.iter().find(|item| item.key == key);
    let record = record.and_then(|item| serde_json::from_slice::<SoftwareRecord>(&item.value).ok());
    let known = record.map(|record| Knowledge {
        origin: None,
        versions: record.active,
        is_current: true,
    });
    reads.insert(service.clone(), (sent, known.clone()));
    known
}

/// Writes the records of services whose listed versions require it.
#[derive(Default)]
pub struct RecordWriter {
    /// When a step about a service's record became due.
    due: HashMap<ServiceId, (RecordStep, Duration)>,
    /// When this router last took a step.
    acted_at: Option<Duration>,
    routers: Members,
    routers_read: Option<Duration>,
}

impl RecordWriter {
    /// Compares the records with the listed endpoints. Of the routers that watch the store, one after the other does what is due.
    pub fn tick(&mut self, shared: &Arc<Shared>, roster: &Roster, now: Duration) {
        let Some(site) = shared.site.load_full() else {
            return;
        };
        if self
            .routers_read
            .is_none_or(|at| now.saturating_sub(at) >= MEMBERS_INTERVAL)
        {
            self.routers = Members::read(shared);
            self.routers_read = Some(now);
            shared
                .software()
                .set_routers(self.routers.ids().into_iter().collect(), now);
        }
        for service in site.resumable_services() {
            let step = shared.software().next(service, &listed(roster, service), now);
            if step == RecordStep::Keep {
                self.due.remove(service);
                continue;
            }
            let (known, at) = self.due.entry(service.clone()).or_insert((step.clone(), now));
            if *known != step {
                (*known, *at) = (step.clone(), now);
            }
            let is_acting = self.acted_at.is_some_and(|at| now.saturating_sub(at) < ACTING_TIME);
            let wait = if is_acting {
                Some(Duration::ZERO)
            } else {
                turn(shared, &self.routers).filter(|_| shared.watches_store.load(Ordering::SeqCst))
            };
            if wait.is_some_and(|wait| now >= *at + wait) {
                // Whoever is next has its turn before this one tries again.
                *at = now + RETRY_PAUSE;
                self.acted_at = Some(now);
                take(shared, service, step);
            }
        }
    }
}

/// How long this router waits before it writes what is due.
fn turn(shared: &Shared, routers: &Members) -> Option<Duration> {
    let own = shared.settings.load().vm.clone();
    let mut watchers: Vec<VmId> = routers.other_watchers(&own).into_iter().map(|(vm, _)| vm).collect();
    watchers.push(own.clone());
    let order = rendezvous::choose("software", &watchers, watchers.len());
    let position = order.iter().position(|vm| **vm == own)?;
    Some(TURN * position as u32)
}

fn listed(roster: &Roster, service: &ServiceId) -> ListedVersions {
    let mut listed = ListedVersions::new();
    for entry in roster.for_service(service) {
        *listed.entry(entry.software.clone()).or_default() += usize::from(!entry.draining);
    }
    listed
}

fn take(shared: &Arc<Shared>, service: &ServiceId, step: RecordStep) {
    let (shared, service) = (shared.clone(), service.clone());
    match step {
        RecordStep::Keep => {}
        RecordStep::Ask(revision) => drop(task::spawn(ask(shared, service, revision))),
        RecordStep::Write(update) => drop(task::spawn(write(shared, service, update))),
    }
}

/// Asks all routers whether they have read the record with this revision.
async fn ask(shared: Arc<Shared>, service: ServiceId, revision: u64) {
    let own = shared.settings.load().vm.clone();
    let query = OriginQuery {
        stream: StreamKey(0),
        service: service.clone(),
    };
    let others = Members::read(&shared).others(&own);
    let calls = others.iter().map(|(_, member)| ask_one(member.address, query.clone()));
    let answers = join_all(calls).await;
    let has_read = |answer: &Result<OriginResponse, PeerError>| match answer {
        Ok(response) => response.record >= Some(revision),
        // No process listens there. One that starts reads the record.
        Err(PeerError::Connect(err)) => err.kind() == ErrorKind::ConnectionRefused,
        Err(_) => false,
    };
    let read = answers.iter().filter(|answer| has_read(answer)).count();
    log::info!(service = service.as_str(), revision = revision, asked = answers.len(), read = read; "software: record asked for");
    if read == answers.len() {
        shared.software().acknowledge(&service, revision);
    }
}

async fn write(shared: Arc<Shared>, service: ServiceId, update: RecordUpdate) {
    let client = Client::new(shared.settings.load().store, shared.dialect.store);
    let key = format!("{RECORDS_PREFIX}{service}");
    let transaction = Transaction {
        expected: vec![(key.clone(), update.replaces)],
        writes: vec![Write {
            key,
            value: serde_json::to_vec(&update.record).expect("strings always serialize"),
            lease: NO_LEASE,
        }],
    };
    let committed = client.commit(&transaction, CALL_TIMEOUT).await;
    shared.metrics.count_store_call("software", committed.is_ok());
    match committed {
        Ok(CommitOutcome::Done(_)) => {}
        Ok(outcome) => {
            log::info!(service = service.as_str(), outcome:? = outcome; "software: another router wrote the record");
        }
        Err(err) => log::warn!(service = service.as_str(), why:% = err; "software: cannot write the record"),
    }
}
