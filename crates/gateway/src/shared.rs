//! What all tasks of a router share.

use crate::control::Event;
use crate::dialect::Dialect;
use crate::follow::relay::Relay;
use crate::link::Links;
use crate::metrics::Metrics;
use crate::settings::Settings;
use arc_swap::{ArcSwap, ArcSwapOption};
use async_channel::{Receiver, Sender};
use clock::Clock;
use dispatch::fleet::{Fleet, FleetSettings};
use dispatch::freshness::Freshness;
use dispatch::prefixes::PrefixStores;
use dispatch::retries::RetryLimits;
use dispatch::site::Site;
use dispatch::uptime::Uptime;
use ids::Revision;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Share of the bound on old weights after which none are begun on: routers hear of new weights later than they were
/// named, and a request may wait inside an endpoint before it begins.
const OLD_WEIGHTS: f64 = 0.75;

/// Share of that bound after which a request is refused rather than begun on old weights: a request takes up to a few hundred
/// milliseconds to begin, and the router learned of the new ones after they were named.
const LAST_WEIGHTS: f64 = 0.95;

/// Shared by all tasks.
pub struct Shared {
    /// Settings in force; they may be reloaded.
    pub settings: ArcSwap<Settings>,
    /// The site's wire.
    pub dialect: Dialect,
    /// Time since the start.
    pub clock: Clock,
    /// The document in force, absent until one was read.
    pub site: ArcSwapOption<Site>,
    /// What is believed of endpoints; never locked across an await.
    fleet: Mutex<Fleet>,
    freshness: Mutex<Freshness>,
    uptime: Mutex<Uptime>,
    prefixes: Mutex<PrefixStores>,
    /// Connections to endpoints.
    pub links: Links,
    /// Counters.
    pub metrics: Metrics,
    /// To the control thread.
    pub events: Sender<Event>,
    /// What is known of the store, for routers that follow this one.
    pub relay: Relay,
    /// Whether this router watches the store itself.
    pub watches: AtomicBool,
    /// Set once a signal to stop has come.
    pub stopping: AtomicBool,
    /// Closed when no new request is taken any more; nothing is ever sent through it.
    pub taking: (Sender<()>, Receiver<()>),
    /// Whether endpoints are in service whose entries are missing.
    missing: AtomicBool,
    /// Signals that entries are missing; it has room for one signal.
    pub missed: (Sender<()>, Receiver<()>),
    /// Signals that the store came back from a copy, without this router's entry; it has room for one signal.
    pub restored: (Sender<()>, Receiver<()>),
    /// Signals that requests wait for an endpoint, or no more; it has room for one signal.
    pub waits: (Sender<()>, Receiver<()>),
    /// Whether the list of endpoints was read once.
    pub listed: AtomicBool,
    /// Requests of which a byte was read and that have not been answered.
    pub in_flight: AtomicUsize,
    /// Bytes of bodies held in memory.
    pub held: AtomicUsize,
}

impl Shared {
    /// The state of a router that has just started.
    pub fn new(settings: Settings, dialect: Dialect, events: Sender<Event>) -> Self {
        let fleet = Fleet::new(fleet_settings(&settings));
        Self {
            settings: ArcSwap::from_pointee(settings),
            dialect,
            clock: Clock::start(),
            site: ArcSwapOption::empty(),
            fleet: Mutex::new(fleet),
            freshness: Mutex::default(),
            uptime: Mutex::default(),
            prefixes: Mutex::default(),
            links: Links::default(),
            metrics: Metrics::new(),
            events,
            relay: Relay::default(),
            watches: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            taking: async_channel::bounded(1),
            missing: AtomicBool::new(false),
            missed: async_channel::bounded(1),
            restored: async_channel::bounded(1),
            waits: async_channel::bounded(1),
            listed: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            held: AtomicUsize::new(0),
        }
    }

    /// Other settings are in force. Addresses to listen on stay as they are.
    pub fn reload(&self, settings: Settings) {
        self.fleet().reload(fleet_settings(&settings));
        self.settings.store(Arc::new(settings));
    }

    /// What is believed of endpoints.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How fresh the document is.
    pub fn freshness(&self) -> MutexGuard<'_, Freshness> {
        self.freshness.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Since when the store is known to answer; written by the control thread.
    pub fn uptime(&self) -> MutexGuard<'_, Uptime> {
        self.uptime.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes whether endpoints are in service whose entries are missing.
    pub fn unproven(&self, missing: bool) {
        self.missing.store(missing, Ordering::SeqCst);
        if missing {
            // A signal that is there already is enough.
            let _ = self.missed.0.try_send(());
        }
    }

    /// Notes that what requests wait for at endpoints has changed.
    pub fn waits_changed(&self) {
        // A signal that is there already is enough.
        let _ = self.waits.0.try_send(());
    }

    /// Whether endpoints are in service whose entries are missing.
    pub fn has_missing(&self) -> bool {
        self.missing.load(Ordering::SeqCst)
    }

    /// What the stores of cached prefixes are believed to hold.
    pub fn prefixes(&self) -> MutexGuard<'_, PrefixStores> {
        self.prefixes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the document may be relied on to say whose key is good.
    pub fn fresh(&self) -> bool {
        let Some(bound) = self.settings.load().bounds.revoke() else {
            return true;
        };
        let now = self.clock.now();
        self.freshness().is_fresh(bound, now)
    }

    /// Resolves once no new request is taken any more.
    pub async fn closed(&self) {
        // Nothing is ever sent: the only outcome is that the channel was closed.
        let _ = self.taking.1.recv().await;
    }

    /// Whether callers should be sent here.
    pub fn ready(&self) -> bool {
        let known = self.site.load().is_some() && self.listed.load(Ordering::SeqCst);
        known && self.fresh() && !self.stopping.load(Ordering::SeqCst)
    }

    /// Revision in force, 0 without a document.
    pub fn revision(&self) -> Revision {
        self.site.load().as_ref().map_or(Revision(0), |site| site.revision())
    }
}

fn fleet_settings(settings: &Settings) -> FleetSettings {
    let bounds = &settings.bounds;
    FleetSettings {
        domain: settings.domain.clone(),
        retries: RetryLimits {
            ratio: bounds.retry_ratio,
            extra: bounds.retry_extra,
            window: bounds.retry_window(),
            routers: 0,
        },
        soft_staleness: bounds.weights().mul_f64(OLD_WEIGHTS),
        hard_staleness: bounds.weights().mul_f64(LAST_WEIGHTS),
    }
}
