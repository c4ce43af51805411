//! The control thread. It alone changes the document in force, the roster of endpoints and the state of the order
//! lease.

mod documents;
pub mod event;
mod leaving;
pub mod orders;

pub use event::Event;

use crate::dialect::{LoadList, LoadedWeights};
use crate::lanes::LaneLog;
use crate::orders::ListSentAt;
use crate::origins::{self, ORIGINS_PREFIX, RECORDS_PREFIX, RecordWriter};
use crate::shared::Shared;
use async_channel::Receiver;
use dispatch::era_check::EraCheck;
use dispatch::fleet::TargetAge;
use dispatch::holder::{ForeignOrders, Holder, HolderRecord, TIMES, fence};
use dispatch::rollout::LoadBackoff;
use dispatch::roster::{ListChange, Roster, RosterChange};
use dispatch::site::parse_endpoint_id;
use dispatch::uptime::Span;
use ids::{EndpointId, Fence, Revision, ServiceId};
use orders::ListWrite;
use rand::RngExt;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use store::items::{Change, Item, Position};

/// Capacity of the control thread's event queue. Senders wait while it is full.
pub const EVENT_QUEUE: usize = 256;
/// Interval between periodic checks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Key of the order lease.
pub const HOLDER_KEY: &str = "apricotfork/holder";
/// Key of the load list.
pub const LOAD_LIST_KEY: &str = "apricotfork/holding";
/// Key under which the lease holder records the verified era of the store.
pub const ERA_KEY: &str = "apricotfork/era";
/// Time after the store's last response during which the load list is used. Later the lease, and with it the loads, may
/// have ended.
const LIST_MAX_AGE: Duration = Duration::from_millis(3_000);
/// Longest random delay before a router tries to acquire the order lease. The first router's write reaches the others
/// within milliseconds.
const MAX_STAGGER: Duration = Duration::from_millis(300);

/// Sends an event to the control thread. Waits while the queue is full.
pub async fn send(shared: &Shared, event: Event) {
    // The control thread runs until the process exits, so the queue is not closed before.
    let _ = shared.events.send(event).await;
}

/// State of the control thread.
pub struct Control {
    shared: Arc<Shared>,
    roster: Roster,
    holder: Arc<Mutex<Holder>>,
    holder_name: String,
    loading: BTreeSet<EndpointId>,
    /// When loads ended. The load list names these endpoints for the next lease holder.
    load_ends: BTreeMap<EndpointId, Duration>,
    own_list: LoadList,
    list_write: ListWrite,
    /// When the load list in the store was sent.
    list_sent: Arc<ListSentAt>,
    turns: ForeignOrders,
    load_backoff: LoadBackoff,
    /// Fencing token of the current lease holder.
    holder_fence: Option<Fence>,
    /// Last load list that a lease holder wrote. Once the holder has left, only the endpoints that it ordered matter.
    holder_list: LoadList,
    /// Revision of the document in the store. None if it could not be parsed: such a document may revoke keys, so it
    /// confirms nothing.
    stored_revision: Option<Revision>,
    /// Newest revision that other routers reported.
    peer_revision: Option<Revision>,
    era_check: EraCheck,
    /// The era that a lease holder recorded in the store as verified.
    recorded_era: Option<u64>,
    /// When this router, as lease holder, last sent such a record.
    era_record_sent: Option<Duration>,
    /// Store revision of the document's last write.
    document_written: Option<u64>,
    store_reachable: bool,
    /// Whether the last connections to all endpoints failed.
    endpoints_lost: bool,
    lane_log: LaneLog,
    record_writer: RecordWriter,
}

impl Control {
    /// The state before anything was read from the store.
    pub fn new(shared: Arc<Shared>) -> Self {
        let settings = shared.settings.load();
        let holder_name = format!("{}/{:016x}", settings.vm, rand::random::<u64>());
        let stagger = MAX_STAGGER.mul_f64(rand::rng().random_range(0.0..1.0));
        let holder = Holder::new(holder_name.clone(), TIMES, stagger);
        let era_check = if settings.first_start {
            EraCheck::first_start(shared.clock.now())
        } else {
            EraCheck::default()
        };
        drop(settings);
        Self {
            shared,
            roster: Roster::default(),
            holder: Arc::new(Mutex::new(holder)),
            holder_name,
            loading: BTreeSet::new(),
            load_ends: BTreeMap::new(),
            own_list: LoadList::default(),
            list_write: ListWrite::default(),
            list_sent: Arc::default(),
            turns: ForeignOrders::default(),
            load_backoff: LoadBackoff::default(),
            holder_fence: None,
            holder_list: LoadList::default(),
            stored_revision: None,
            peer_revision: None,
            era_check,
            recorded_era: None,
            era_record_sent: None,
            document_written: None,
            store_reachable: false,
            endpoints_lost: false,
            lane_log: LaneLog::default(),
            record_writer: RecordWriter::default(),
        }
    }

    /// Handles events until the process exits.
    pub async fn run(mut self, events: Receiver<Event>) {
        while let Ok(event) = events.recv().await {
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.shared.clock.now();
        match event {
            Event::StoreFailed { due } => {
                self.roster.store_failed(due);
                self.store_reachable = false;
            }
            Event::PeerUptime(uptime) => {
                let removed = self.roster.store_answered_peer(uptime, now);
                *self.shared.uptime() = *self.roster.uptime();
                if !removed.is_empty() {
                    log::info!(
                        endpoints = removed.len(),
                        from_ms = now.saturating_sub(uptime.from).as_millis() as u64;
                        "store: reachable from another router without a break, removing missing endpoints"
                    );
                    self.apply_roster(removed, now);
                }
            }
            Event::Snapshot {
                items,
                position,
                confirmed,
                uptime,
            } => {
                let before = self.shared.relay.position();
                match before.filter(|before| before.era != position.era) {
                    Some(before) => self.store_restored(before, position, uptime),
                    None => self.store_answered(uptime),
                }
                self.shared.relay.replace(&items, position);
                self.apply_snapshot(items, now);
                self.confirm_freshness(confirmed, position.era, now);
            }
            Event::Changes {
                changes,
                position,
                confirmed,
                uptime,
            } => {
                self.store_answered(uptime);
                for change in &changes {
                    self.apply_change(change, now);
                }
                let shared = self.shared.clone();
                let confirm = || self.confirm_freshness(confirmed, position.era, now);
                shared.relay.apply(&changes, position, confirm);
            }
            Event::PeerDocument { newest, sent } => self.read_peer_document(newest, sent, now),
            Event::Holder(event) => self.on_holder_event(event),
            Event::LoadEnded { endpoint, loaded } => self.load_ended(endpoint, loaded),
            Event::Leaving { endpoint, source } => self.endpoint_leaves(endpoint, source, now),
            Event::RefreshLoadList => self.schedule_list_write(),
            Event::WriteLoadList => self.write_load_list(),
            Event::LoadListWritten { fence, done } => self.load_list_written(fence, done),
            Event::Tick => self.tick(now),
            Event::Stop => self.on_holder_event(dispatch::holder::Event::Stop),
        }
    }

    fn store_answered(&mut self, uptime: Span) {
        self.roster.store_answered(uptime);
        if !self.store_reachable {
            self.store_reachable = true;
            log::info!("store: reachable");
        }
    }

    /// The store was restored from a backup: its contents may be older than this router's copy.
    fn store_restored(&mut self, before: Position, now: Position, uptime: Span) {
        self.roster.store_restored(uptime);
        self.shared.software().store_restored();
        self.store_reachable = true;
        self.shared.metrics.restored.inc();
        // A pending signal is sufficient.
        let _ = self.shared.restored_signal.0.try_send(());
        log::warn!(
            era = before.era,
            revision = before.revision,
            now_era = now.era,
            now_revision = now.revision;
            "store: reachable, restored from a backup"
        );
    }

    /// Applies all items of the store. Whatever is not among them was removed.
    fn apply_snapshot(&mut self, items: Vec<Item>, now: Duration) {
        let prefix = self.shared.dialect.keys.endpoints;
        let (entries, mut rest): (Vec<Item>, Vec<Item>) =
            items.into_iter().partition(|item| item.key.starts_with(prefix));
        rest.sort_by_key(|item| item.revision);
        // Before any endpoint is listed: no stream may begin or go on at a version of which the records don't tell.
        rest.iter().for_each(|item| self.software_written(item));
        let list = entries.iter().filter_map(|item| self.entry_change(item)).collect();
        let changes = self.roster.replace(list, now);
        self.apply_roster(changes, now);
        let is_first = !self.shared.endpoints_read.swap(true, Ordering::SeqCst);
        self.shared.origins().list_read(self.shared.clock.now());
        if !rest.iter().any(|item| item.key == HOLDER_KEY) {
            self.item_removed(HOLDER_KEY);
        }
        self.recorded_era = None;
        self.document_written = None;
        for item in &rest {
            self.item_written(item, now);
        }
        if is_first {
            self.shared.fleet().first_list_read(&self.holder_list.recent);
        }
    }

    fn apply_change(&mut self, change: &Change, now: Duration) {
        let prefix = self.shared.dialect.keys.endpoints;
        let listed = match change {
            Change::Written(item) => self.entry_change(item),
            Change::Removed { key, .. } => endpoint_id(key, prefix).map(ListChange::Removed),
        };
        if let Some(listed) = listed {
            let changed = self.roster.apply(listed, now);
            self.apply_roster(changed.into_iter().collect(), now);
            return;
        }
        match change {
            Change::Written(item) => {
                self.software_written(item);
                self.item_written(item, now);
            }
            Change::Removed { key, .. } => self.item_removed(key),
        }
    }

    /// The roster change that an item means, if the item is the entry of an endpoint.
    fn entry_change(&self, item: &Item) -> Option<ListChange> {
        let name = item.key.strip_prefix(self.shared.dialect.keys.endpoints)?;
        let Some(id) = parse_endpoint_id(name) else {
            log::warn!(key = item.key.as_str(); "endpoint: its key names none");
            return None;
        };
        match (self.shared.dialect.parse_entry)(id.clone(), &item.value) {
            Ok(entry) => Some(ListChange::Listed(entry)),
            Err(err) => {
                log::warn!(endpoint = id.as_str(), why:% = err; "endpoint: cannot parse its entry");
                Some(ListChange::Unreadable(id))
            }
        }
    }

    fn apply_roster(&mut self, changes: Vec<RosterChange>, now: Duration) {
        for change in changes {
            match change {
                RosterChange::InService(entry) => {
                    self.shared.connections.remove(&entry.id, Some(entry.incarnation));
                    origins::endpoint_listed(&self.shared, &entry);
                    log::info!(
                        endpoint = entry.id.as_str(),
                        service = entry.service.as_str(),
                        address:% = entry.address,
                        life = entry.incarnation.0,
                        software = entry.software.as_str(),
                        leaving = entry.draining;
                        "endpoint: listed"
                    );
                }
                RosterChange::Missing { id, until } => {
                    let gap = self.roster.uptime().last_break();
                    let outage = gap.map(|gap| gap.until.saturating_sub(gap.from));
                    log::warn!(
                        endpoint = id.as_str(),
                        kept_ms = until.saturating_sub(now).as_millis() as u64,
                        silent_ms = outage.unwrap_or_default().as_millis() as u64;
                        "endpoint: entry missing, kept because its lease may have expired in an outage"
                    );
                }
                RosterChange::Removed(id) => {
                    self.shared.connections.remove(&id, None);
                    self.shared.paths().remove(&id);
                    self.shared.fleet().remove_endpoint(&id, now);
                    log::info!(endpoint = id.as_str(); "endpoint: removed");
                }
            }
        }
        let count = self.roster.all().count();
        self.shared.metrics.endpoints.set(count as i64);
        let missing = self.roster.missing();
        self.shared.metrics.missing.set(missing as i64);
        self.shared.set_missing(missing > 0);
    }

    fn item_written(&mut self, item: &Item, now: Duration) {
        let keys = self.shared.dialect.keys;
        match item.key.as_str() {
            HOLDER_KEY => self.read_holder(item),
            LOAD_LIST_KEY => self.read_load_list(item, now),
            ERA_KEY => self.read_recorded_era(item),
            key if key == keys.document => self.read_document(item),
            key if key.starts_with(keys.weights) => self.read_weights(item, now),
            _ => {}
        }
    }

    /// Reads what the store holds of the software of streams' endpoints.
    fn software_written(&self, item: &Item) {
        if item.key.starts_with(RECORDS_PREFIX) {
            origins::read_record(&self.shared, item);
        } else if item.key.starts_with(ORIGINS_PREFIX) {
            origins::read_origins(&self.shared, item);
        }
    }

    fn item_removed(&mut self, key: &str) {
        if key == HOLDER_KEY {
            self.holder_fence = None;
            self.update_loading();
            self.on_holder_event(dispatch::holder::Event::KeyObserved(None));
        }
    }

    fn read_weights(&self, item: &Item, now: Duration) {
        match (self.shared.dialect.parse_weights)(&item.value) {
            Ok(target) => {
                // These weights became the target after the store's last response without them, so the age of that
                // response is an upper limit. A router that has just started has no such response.
                let max_age = self.shared.freshness().age(now);
                log::info!(
                    model = target.model.as_str(),
                    weights = target.weights,
                    unheard_ms = max_age.map_or(-1, |age| age.as_millis() as i64);
                    "weights: wanted"
                );
                let age = TargetAge {
                    lower: Duration::ZERO,
                    upper: max_age,
                };
                self.shared.fleet().set_target(&target.model, target.weights, age, now);
            }
            Err(err) => log::error!(key = item.key.as_str(), why:% = err; "weights: cannot parse the target weights"),
        }
    }

    fn read_holder(&mut self, item: &Item) {
        let record = HolderRecord {
            name: String::from_utf8_lossy(&item.value).into_owned(),
            created: fence(self.era(), item.created),
            lease: item.lease,
        };
        self.holder_fence = Some(record.created);
        self.update_loading();
        self.on_holder_event(dispatch::holder::Event::KeyObserved(Some(record)));
    }

    /// Reads a load list that a lease holder wrote.
    fn read_load_list(&mut self, item: &Item, now: Duration) {
        let list: LoadList = match serde_json::from_slice(&item.value) {
            Ok(list) => list,
            Err(err) => {
                log::error!(why:% = err; "orders: cannot parse the load list");
                return;
            }
        };
        if self.lock_holder().fence() == Some(list.fence) {
            return;
        }
        for endpoint in list.loading.iter().chain(&list.recent) {
            self.turns.record(endpoint, now);
        }
        for (endpoint, age) in &list.foreign {
            self.turns
                .record(endpoint, now.saturating_sub(Duration::from_millis(*age)));
        }
        self.apply_load_list(list);
    }

    fn apply_load_list(&mut self, list: LoadList) {
        {
            let now = self.shared.clock.now();
            let mut fleet = self.shared.fleet();
            for loaded in list.loaded.iter().filter(|loaded| self.is_current_incarnation(loaded)) {
                fleet.record_weights(&loaded.endpoint, &loaded.model, loaded.weights, now);
            }
        }
        self.holder_list = list;
        self.update_loading();
    }

    /// Whether the endpoint still has the incarnation in which it loaded these weights. If loads of an earlier
    /// incarnation counted, requests would name weights that the endpoint rejects, and the endpoint would receive no
    /// order to load.
    fn is_current_incarnation(&self, loaded: &LoadedWeights) -> bool {
        let entry = self.roster.get(&loaded.endpoint);
        entry.is_some_and(|entry| entry.incarnation == loaded.incarnation)
    }

    /// Marks the endpoints of the load list as loading, but only while its holder has the lease and the store responds.
    /// The list remains in the store when its holder fails, and routers that start later read it. If they used it, they
    /// would avoid working engines until another holder writes a list. While the store does not respond, the end of a
    /// load would go unnoticed. Ignoring the list is safe, because endpoints that are still loading reject requests.
    fn update_loading(&self) {
        let age = self.roster.uptime().age(self.shared.clock.now());
        let is_recent = age.is_some_and(|age| age < LIST_MAX_AGE);
        let mut fleet = self.shared.fleet();
        if is_recent && self.holder_fence == Some(self.holder_list.fence) {
            let set = |ids: &[EndpointId]| ids.iter().cloned().collect();
            fleet.set_loading(set(&self.holder_list.loading), set(&self.holder_list.upcoming));
        } else {
            fleet.set_loading(BTreeSet::new(), BTreeSet::new());
        }
    }

    fn tick(&mut self, now: Duration) {
        let removed = self.roster.tick(now);
        if !removed.is_empty() {
            self.apply_roster(removed, now);
        }
        self.publish_leaving(now);
        self.update_loading();
        self.shared.connections.remove_expired();
        let age = self.shared.freshness().age(now).unwrap_or_default();
        self.shared.metrics.age.set(age.as_millis() as i64);
        let in_flight = self.shared.in_flight.begun.get();
        self.shared.metrics.in_flight.set(in_flight as i64);
        self.record_reachability(now);
        let lanes = self.shared.fleet().lane_statuses(now);
        self.lane_log.record(lanes, &self.shared.metrics, now);
        self.probe(now);
        let watches = self.shared.watches_store.load(Ordering::SeqCst);
        self.on_holder_event(dispatch::holder::Event::Candidate(watches));
        let cut_off = self.is_cut_off_from_engines(now);
        self.on_holder_event(dispatch::holder::Event::CutOff(cut_off));
        self.on_holder_event(dispatch::holder::Event::Tick);
        self.queue_loads(now);
        self.record_era(now);
        self.record_writer.tick(&self.shared, &self.roster, now);
    }

    /// Whether this router has lost its paths to the engines of a service.
    fn is_cut_off_from_engines(&self, now: Duration) -> bool {
        let paths = self.shared.paths();
        if paths.lost() == 0 {
            return false;
        }
        let engines = self.roster.all().filter(|entry| !entry.weights.is_empty());
        let services: BTreeSet<&ServiceId> = engines.map(|entry| &entry.service).collect();
        services.into_iter().any(|service| paths.is_cut_off(service, now))
    }

    /// Records whether this router still reaches any endpoint.
    fn record_reachability(&mut self, now: Duration) {
        let paths_lost = {
            let mut paths = self.shared.paths();
            paths.expire(now);
            paths.lost()
        };
        self.shared.metrics.paths_lost.set(paths_lost as i64);
        let (unreachable, share_changes) = {
            let mut fleet = self.shared.fleet();
            (
                self.shared.metrics.set_endpoint_states(&fleet, now),
                fleet.take_share_changes(),
            )
        };
        for change in share_changes {
            log::info!(
                endpoint = change.endpoint.as_str(),
                speed = change.speed,
                share = change.share;
                "speeds: share of prefixes changed"
            );
        }
        let total = self.roster.all().count();
        let lost = total > 0 && unreachable >= total;
        if std::mem::replace(&mut self.endpoints_lost, lost) == lost {
            return;
        }
        if lost {
            log::warn!(endpoints = total; "endpoints: none reachable");
        } else {
            log::info!(endpoints = total, unreachable = unreachable; "endpoints: reachable");
        }
    }

    fn lock_holder(&self) -> MutexGuard<'_, Holder> {
        lock(&self.holder)
    }
}

/// The id of the endpoint whose entry has this key.
fn endpoint_id(key: &str, prefix: &str) -> Option<EndpointId> {
    key.strip_prefix(prefix).and_then(parse_endpoint_id)
}

pub(crate) fn lock(holder: &Mutex<Holder>) -> MutexGuard<'_, Holder> {
    holder.lock().unwrap_or_else(PoisonError::into_inner)
}
