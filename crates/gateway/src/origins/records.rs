//! Records in the store at which versions of the software streams may begin.

use crate::follow::members::Members;
use crate::shared::Shared;
use async_std::task;
use control::rendezvous;
use dispatch::roster::Roster;
use dispatch::software::{ListedVersions, RecordUpdate, SoftwareRecord};
use ids::{ServiceId, VmId};
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use store::items::{Client, CommitOutcome, Item, Transaction, Write};

/// Key prefix of the records, followed by the service.
pub const RECORDS_PREFIX: &str = "apricotfork/software/";
/// How much longer a router waits for a record to be written for each router that writes before it.
const TURN: Duration = Duration::from_millis(500);
/// Longest wait for a response of the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
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
    log::info!(service = service.as_str(), active:? = record.active, pending:? = record.pending; "software: recorded");
    shared.fleet().set_active_versions(&service, &record.active);
    let now = shared.clock.now();
    shared.software().read(&service, record, item.revision, now);
}

/// Writes the records of services whose listed versions require it.
#[derive(Default)]
pub struct RecordWriter {
    /// When an update of a service's record became due.
    due: HashMap<ServiceId, (RecordUpdate, Duration)>,
}

impl RecordWriter {
    /// Compares the records with the listed endpoints. Of the routers that watch the store, one after the other writes what is due.
    pub fn tick(&mut self, shared: &Arc<Shared>, roster: &Roster, now: Duration) {
        let Some(site) = shared.site.load_full() else {
            return;
        };
        let routers = Members::read(shared);
        shared.software().set_routers(routers.ids().into_iter().collect(), now);
        for service in site.resumable_services() {
            let update = shared.software().next(service, &listed(roster, service), now);
            let Some(update) = update else {
                self.due.remove(service);
                continue;
            };
            let due = self.due.entry(service.clone()).or_insert((update.clone(), now));
            if due.0 != update {
                *due = (update.clone(), now);
            }
            let Some(wait) = turn(shared, &routers).filter(|_| shared.watches_store.load(Ordering::SeqCst)) else {
                continue;
            };
            if now.saturating_sub(due.1) >= wait {
                // Whoever is next has its turn after this one.
                due.1 = now + TURN;
                task::spawn(write(shared.clone(), service.clone(), update));
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
    let outcome = if committed.is_ok() { "ok" } else { "failed" };
    shared.metrics.store.with_label_values(&["software", outcome]).inc();
    match committed {
        Ok(CommitOutcome::Done(_)) => {}
        Ok(outcome) => {
            log::info!(service = service.as_str(), outcome:? = outcome; "software: another router wrote the record");
        }
        Err(err) => log::warn!(service = service.as_str(), why:% = err; "software: cannot write the record"),
    }
}
