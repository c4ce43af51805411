//! The control thread: it alone changes what is believed of the site, of endpoints in service and of the order holder.

pub mod orders;

use crate::dialect::{Holding, Loaded};
use crate::orders::Listed;
use crate::shared::Shared;
use async_channel::Receiver;
use dispatch::fleet::NameAge;
use dispatch::holder::{ForeignOrders, Holder, HolderRecord, TIMES, fence};
use dispatch::rollout::LoadBackoff;
use dispatch::roster::{ListChange, Roster, RosterChange};
use dispatch::site::Site;
use dispatch::uptime::Span;
use ids::{EndpointId, Fence, Revision};
use orders::Telling;
use rand::RngExt;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use store::items::{Change, Item, Position};

/// Events that wait for the control thread at most; a feed that is faster waits.
pub const EVENTS: usize = 256;
/// Pause between two looks at what is due.
pub const TICK: Duration = Duration::from_millis(200);
/// Key of the holder of the right to give orders.
pub const HOLDER_KEY: &str = "apricotfork/holder";
/// Key of what the holder tells all routers.
pub const HOLDING_KEY: &str = "apricotfork/holding";
/// Time after the store's last answer in which the holder's list is believed: its lease may have ended by then, and its loads with it.
const LIST_AGE: Duration = Duration::from_millis(3_000);
/// Longest random wait of a router before it asks for the holder key: the first one's write reaches the others within milliseconds.
const STAGGER: Duration = Duration::from_millis(300);

/// What the control thread hears.
#[derive(Debug)]
pub enum Event {
    /// A call to the store failed.
    StoreFailed {
        /// When its answer was due.
        due: Duration,
    },
    /// Another router tells when the store answered it.
    StoreWitnessed(Span),
    /// Everything in the store.
    Read {
        /// Items in order of keys.
        items: Vec<Item>,
        /// Position of the store up to which it is complete.
        position: Position,
        /// When the store held nothing newer.
        confirmed: Option<Duration>,
        /// When the store answered, this router or the one that it follows.
        answers: Span,
    },
    /// Changes.
    Changed {
        /// In their order.
        changes: Vec<Change>,
        /// Position of the store up to which they are complete.
        position: Position,
        /// When the store held nothing newer.
        confirmed: Option<Duration>,
        /// When the store answered, this router or the one that it follows.
        answers: Span,
    },
    /// Other routers told which document is the newest that they know.
    DocumentTold {
        /// None if nobody answered.
        newest: Option<Revision>,
        /// When the store held nothing newer than what was read.
        confirmed: Duration,
    },
    /// Something of the holder's own.
    Holder(dispatch::holder::Event),
    /// A load has ended, with the weights that are in place now, if it succeeded.
    LoadEnded {
        /// Where.
        endpoint: EndpointId,
        /// What is in place.
        loaded: Option<Loaded>,
    },
    /// The holder's list is to be written again, since it is too old for an order.
    List,
    /// The holder's list is to be written.
    Tell,
    /// A write of the holder's list has ended.
    Told {
        /// The generation number it was written under.
        fence: Fence,
        /// Whether it is in the store.
        done: bool,
    },
    /// Time has passed.
    Tick,
    /// The process is going.
    Stop,
}

/// Tells the control thread; waits while it is behind.
pub async fn send(shared: &Shared, event: Event) {
    // The thread ends with the process only.
    let _ = shared.events.send(event).await;
}

/// State of the control thread.
pub struct Control {
    shared: Arc<Shared>,
    roster: Roster,
    holder: Arc<Mutex<Holder>>,
    holder_name: String,
    loading: BTreeSet<EndpointId>,
    /// When loads ended, to tell it to a successor.
    ended: BTreeMap<EndpointId, Duration>,
    holding: Holding,
    telling: Telling,
    /// When the list was sent that the store has.
    listed: Arc<Listed>,
    turns: ForeignOrders,
    postponed: LoadBackoff,
    /// Generation number of whoever holds the right to give orders.
    occupant: Option<Fence>,
    /// What a holder said last; of a dead one only who was ordered counts.
    told: Holding,
    /// The document in the store, if it could be read: one that could not may take keys away.
    shown: Option<Revision>,
    /// The newest document that other routers told of.
    newest: Option<Revision>,
    in_touch: bool,
}

impl Control {
    /// Nothing is known yet.
    pub fn new(shared: Arc<Shared>) -> Self {
        let settings = shared.settings.load();
        let holder_name = format!("{}/{:016x}", settings.vm, rand::random::<u64>());
        let stagger = STAGGER.mul_f64(rand::rng().random_range(0.0..1.0));
        let holder = Holder::new(holder_name.clone(), TIMES, stagger);
        drop(settings);
        Self {
            shared,
            roster: Roster::default(),
            holder: Arc::new(Mutex::new(holder)),
            holder_name,
            loading: BTreeSet::new(),
            ended: BTreeMap::new(),
            holding: Holding::default(),
            telling: Telling::default(),
            listed: Arc::default(),
            turns: ForeignOrders::default(),
            postponed: LoadBackoff::default(),
            occupant: None,
            told: Holding::default(),
            shown: None,
            newest: None,
            in_touch: false,
        }
    }

    /// Takes events until the process ends.
    pub async fn run(mut self, events: Receiver<Event>) {
        while let Ok(event) = events.recv().await {
            self.on(event);
        }
    }

    fn on(&mut self, event: Event) {
        let now = self.shared.clock.now();
        match event {
            Event::StoreFailed { due } => {
                self.roster.store_failed(due);
                self.in_touch = false;
            }
            Event::StoreWitnessed(answers) => {
                let gone = self.roster.store_answered_peer(answers, now);
                *self.shared.uptime() = *self.roster.uptime();
                if !gone.is_empty() {
                    log::info!(
                        endpoints = gone.len(),
                        from_ms = now.saturating_sub(answers.from).as_millis() as u64;
                        "store: it answered another router all the while, what is missing was removed"
                    );
                    self.apply(gone, now);
                }
            }
            Event::Read {
                items,
                position,
                confirmed,
                answers,
            } => {
                let before = self.shared.relay.lock().log.position();
                match before.filter(|before| before.era != position.era) {
                    Some(before) => self.restored(before, position, answers),
                    None => self.answered(answers),
                }
                self.shared.relay.replace(&items, position);
                self.read(items, now);
                self.confirm(confirmed);
            }
            Event::Changed {
                changes,
                position,
                confirmed,
                answers,
            } => {
                self.answered(answers);
                for change in &changes {
                    self.changed(change, now);
                }
                let shared = &self.shared;
                shared.relay.apply(&changes, position, || self.confirm(confirmed));
            }
            Event::DocumentTold { newest, confirmed } => {
                self.newest = self.newest.max(newest);
                if !self.is_current() {
                    log::warn!(
                        shown = self.shown.unwrap_or_default().0,
                        newest = newest.unwrap_or_default().0;
                        "configuration: another router has a newer one than the store"
                    );
                }
                self.confirm(Some(confirmed));
            }
            Event::Holder(event) => self.holder_event(event),
            Event::LoadEnded { endpoint, loaded } => self.load_ended(endpoint, loaded),
            Event::List => self.tell(),
            Event::Tell => self.write_list(),
            Event::Told { fence, done } => self.told_others(fence, done),
            Event::Tick => self.tick(now),
            Event::Stop => self.holder_event(dispatch::holder::Event::Stop),
        }
    }

    fn answered(&mut self, answers: Span) {
        self.roster.store_answered(answers);
        if !self.in_touch {
            self.in_touch = true;
            log::info!("store: in touch");
        }
    }

    /// The store came back from a copy: what it shows may be older than what is known.
    fn restored(&mut self, before: Position, now: Position, answers: Span) {
        self.roster.store_restored(answers);
        self.in_touch = true;
        self.shared.metrics.restored.inc();
        // A signal that is there already is enough.
        let _ = self.shared.restored.0.try_send(());
        log::warn!(
            era = before.era,
            revision = before.revision,
            now_era = now.era,
            now_revision = now.revision;
            "store: in touch, it came back from a copy"
        );
    }

    /// Tells followers how current all is, and requests how fresh the document is.
    fn confirm(&self, confirmed: Option<Duration>) {
        *self.shared.uptime() = *self.roster.uptime();
        if let Some(confirmed) = confirmed.filter(|_| self.is_current()) {
            self.shared.freshness().confirm(confirmed);
        }
    }

    /// Whether the store shows a document that is not older than any that is known. One that came back from a copy has lost those that came
    /// after it, and its answers confirm nothing.
    fn is_current(&self) -> bool {
        let known = self.newest.max(Some(self.shared.revision()));
        self.shown.is_some() && self.shown >= known
    }

    /// All there is: what is absent has gone.
    fn read(&mut self, items: Vec<Item>, now: Duration) {
        let prefix = self.shared.dialect.keys.endpoints;
        let (entries, mut rest): (Vec<Item>, Vec<Item>) =
            items.into_iter().partition(|item| item.key.starts_with(prefix));
        rest.sort_by_key(|item| item.revision);
        let list = entries.iter().filter_map(|item| self.listed(item)).collect();
        let changes = self.roster.replace(list, now);
        self.apply(changes, now);
        self.shared.listed.store(true, Ordering::SeqCst);
        if !rest.iter().any(|item| item.key == HOLDER_KEY) {
            self.removed(HOLDER_KEY);
        }
        for item in &rest {
            self.written(item, now);
        }
    }

    fn changed(&mut self, change: &Change, now: Duration) {
        let prefix = self.shared.dialect.keys.endpoints;
        let listed = match change {
            Change::Written(item) => self.listed(item),
            Change::Removed { key, .. } => endpoint_id(key, prefix).map(ListChange::Removed),
        };
        if let Some(listed) = listed {
            let changed = self.roster.apply(listed, now);
            self.apply(changed.into_iter().collect(), now);
            return;
        }
        match change {
            Change::Written(item) => self.written(item, now),
            Change::Removed { key, .. } => self.removed(key),
        }
    }

    /// The entry of an endpoint, if the item is one.
    fn listed(&self, item: &Item) -> Option<ListChange> {
        let id = endpoint_id(&item.key, self.shared.dialect.keys.endpoints)?;
        match (self.shared.dialect.entry)(id.clone(), &item.value) {
            Ok(entry) => Some(ListChange::Listed(entry)),
            Err(err) => {
                log::warn!(endpoint = id.as_str(), why:% = err; "endpoint: its entry cannot be read");
                Some(ListChange::Unreadable(id))
            }
        }
    }

    fn apply(&mut self, changes: Vec<RosterChange>, now: Duration) {
        for change in changes {
            match change {
                RosterChange::InService(entry) => {
                    self.shared.links.forget(&entry.id, Some(entry.incarnation));
                    self.shared.fleet().serves(&entry, now);
                    log::info!(
                        endpoint = entry.id.as_str(),
                        service = entry.service.as_str(),
                        address:% = entry.address,
                        life = entry.incarnation.0,
                        leaving = entry.draining;
                        "endpoint: listed"
                    );
                }
                RosterChange::Missing { id, until } => {
                    let gap = self.roster.uptime().last_break();
                    let silent = gap.map(|gap| gap.until.saturating_sub(gap.from));
                    log::warn!(
                        endpoint = id.as_str(),
                        kept_ms = until.saturating_sub(now).as_millis() as u64,
                        silent_ms = silent.unwrap_or_default().as_millis() as u64;
                        "endpoint: missing, kept as lapsed in an outage"
                    );
                }
                RosterChange::Removed(id) => {
                    self.shared.links.forget(&id, None);
                    self.shared.fleet().gone(&id, now);
                    log::info!(endpoint = id.as_str(); "endpoint: gone");
                }
            }
        }
        let count = self.roster.all().count();
        self.shared.metrics.endpoints.set(count as i64);
        let missing = self.roster.missing();
        self.shared.metrics.missing.set(missing as i64);
        self.shared.unproven(missing > 0);
    }

    fn written(&mut self, item: &Item, now: Duration) {
        let keys = self.shared.dialect.keys;
        match item.key.as_str() {
            HOLDER_KEY => self.occupied(item),
            HOLDING_KEY => self.told(item, now),
            key if key == keys.document => self.document(item),
            key if key.starts_with(keys.weights) => self.wanted(item, now),
            _ => {}
        }
    }

    fn removed(&mut self, key: &str) {
        if key == HOLDER_KEY {
            self.occupant = None;
            self.believe_loads();
            self.holder_event(dispatch::holder::Event::KeyObserved(None));
        }
    }

    fn document(&mut self, item: &Item) {
        let read = (self.shared.dialect.document)(&item.value);
        let old = self.shared.revision();
        self.shown = read.as_ref().ok().map(|parts| parts.revision);
        let parts = match read {
            Ok(parts) => parts,
            Err(err) => {
                log::error!(why:% = err; "configuration: cannot be read, the last one stays in force");
                return;
            }
        };
        let none = self.shared.site.load().is_none();
        if !none && parts.revision <= old {
            if !self.is_current() {
                log::warn!(revision = parts.revision.0, in_force = old.0; "configuration: the store shows an older one");
            }
            return;
        }
        log::info!(
            revision = parts.revision.0,
            before = old.0,
            routes = parts.routes.len(),
            bytes = item.value.len();
            "configuration: in force"
        );
        self.shared.metrics.revision.set(parts.revision.0 as i64);
        self.shared.site.store(Some(Arc::new(Site::new(parts))));
    }

    fn wanted(&self, item: &Item, now: Duration) {
        match (self.shared.dialect.wanted)(&item.value) {
            Ok(wanted) => {
                // The store's last word without this name is how old it is at most; a router that has just started had none.
                let unheard = self.shared.freshness().age(now);
                log::info!(
                    model = wanted.model.as_str(),
                    weights = wanted.weights,
                    unheard_ms = unheard.map_or(-1, |age| age.as_millis() as i64);
                    "weights: wanted"
                );
                let age = NameAge {
                    least: Duration::ZERO,
                    most: unheard,
                };
                self.shared.fleet().want(&wanted.model, wanted.weights, age, now);
            }
            Err(err) => log::error!(key = item.key.as_str(), why:% = err; "weights: cannot be read"),
        }
    }

    fn occupied(&mut self, item: &Item) {
        let position = self.shared.relay.lock().log.position();
        let era = position.map_or(0, |position| position.era);
        let occupant = HolderRecord {
            name: String::from_utf8_lossy(&item.value).into_owned(),
            created: fence(era, item.created),
            lease: item.lease,
        };
        self.occupant = Some(occupant.created);
        self.believe_loads();
        self.holder_event(dispatch::holder::Event::KeyObserved(Some(occupant)));
    }

    /// What the holder says of endpoints.
    fn told(&mut self, item: &Item, now: Duration) {
        let holding: Holding = match serde_json::from_slice(&item.value) {
            Ok(holding) => holding,
            Err(err) => {
                log::error!(why:% = err; "orders: what the holder says cannot be read");
                return;
            }
        };
        if self.lock_holder().fence() == Some(holding.fence) {
            return;
        }
        for endpoint in holding.loading.iter().chain(&holding.recent) {
            self.turns.record(endpoint, now);
        }
        for (endpoint, age) in &holding.before {
            self.turns
                .record(endpoint, now.saturating_sub(Duration::from_millis(*age)));
        }
        self.believe(holding);
    }

    fn believe(&mut self, holding: Holding) {
        {
            let mut fleet = self.shared.fleet();
            for loaded in holding.loaded.iter().filter(|loaded| self.lives(loaded)) {
                fleet.serves_weights(&loaded.endpoint, &loaded.model, loaded.weights);
            }
        }
        self.told = holding;
        self.believe_loads();
    }

    /// Whether an endpoint is in the life in which it loaded weights. Were an earlier life's believed, requests would name weights that
    /// it refuses, and it would not be ordered to load.
    fn lives(&self, loaded: &Loaded) -> bool {
        let entry = self.roster.get(&loaded.endpoint);
        entry.is_some_and(|entry| entry.incarnation == loaded.life)
    }

    /// The list stays in the store when its holder dies, and whoever starts later reads it there. Believed, it would keep requests away
    /// from engines that serve, until some holder writes another one. Whatever still loads then refuses requests by itself. So it does
    /// where the store's answers stay away, and with them the word that a load has ended.
    fn believe_loads(&self) {
        let age = self.roster.uptime().age(self.shared.clock.now());
        let known = age.is_some_and(|age| age < LIST_AGE);
        let mut fleet = self.shared.fleet();
        if known && self.occupant == Some(self.told.fence) {
            let set = |ids: &[EndpointId]| ids.iter().cloned().collect();
            fleet.loads(set(&self.told.loading), set(&self.told.coming));
        } else {
            fleet.loads(BTreeSet::new(), BTreeSet::new());
        }
    }

    fn tick(&mut self, now: Duration) {
        let gone = self.roster.tick(now);
        if !gone.is_empty() {
            self.apply(gone, now);
        }
        self.believe_loads();
        self.shared.links.sweep();
        let age = self.shared.freshness().age(now).unwrap_or_default();
        self.shared.metrics.age.set(age.as_millis() as i64);
        let in_flight = self.shared.in_flight.load(Ordering::Relaxed);
        self.shared.metrics.in_flight.set(in_flight as i64);
        self.probe(now);
        let watches = self.shared.watches.load(Ordering::SeqCst);
        self.holder_event(dispatch::holder::Event::Candidate(watches));
        self.holder_event(dispatch::holder::Event::Tick);
        self.give_orders(now);
    }

    fn lock_holder(&self) -> MutexGuard<'_, Holder> {
        lock(&self.holder)
    }
}

/// The id of the endpoint whose entry lies under `key`.
fn endpoint_id(key: &str, prefix: &str) -> Option<EndpointId> {
    key.strip_prefix(prefix).map(EndpointId::from)
}

pub(crate) fn lock(holder: &Mutex<Holder>) -> MutexGuard<'_, Holder> {
    holder.lock().unwrap_or_else(PoisonError::into_inner)
}
