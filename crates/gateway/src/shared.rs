//! State shared by all tasks of a router.

use crate::connections::ConnectionPool;
use crate::control::Event;
use crate::dialect::Dialect;
use crate::follow::relay::Relay;
use crate::held::HeldBudget;
use crate::intake::Intake;
use crate::metrics::Metrics;
use crate::part_holds::PartHolds;
use crate::patient_queues::PatientQueues;
use crate::place_queues::PlaceQueues;
use crate::request_counts::RequestCounts;
use crate::settings::Settings;
use crate::stop::Stop;
use crate::tunnel::PeerCache;
use arc_swap::{ArcSwap, ArcSwapOption};
use async_channel::{Receiver, Sender};
use clock::Clock;
use dispatch::fleet::{Fleet, FleetSettings};
use dispatch::freshness::Freshness;
use dispatch::leaving::LeavingEndpoint;
use dispatch::origins::{Knowledge, Origin, Origins, StreamKey};
use dispatch::paths::Paths;
use dispatch::prefixes::PrefixStores;
use dispatch::quarantine::Quarantine;
use dispatch::quotas::Quotas;
use dispatch::retries::RetryLimits;
use dispatch::site::Site;
use dispatch::software::SoftwareRecords;
use dispatch::uptime::Uptime;
use ids::{Revision, ServiceId};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Part of the bound on old weights after which requests avoid them. The margin covers the delay until routers learn of
/// new weights, and the time that a request may wait in an endpoint before it starts.
const SOFT_STALENESS_SHARE: f64 = 0.75;

/// Part of that bound after which a request is refused rather than started on old weights. A request takes up to a few
/// hundred milliseconds to start, and the router learns of new weights some time after they become the target.
const HARD_STALENESS_SHARE: f64 = 0.95;

/// A queue of streams with their origins.
type OriginOutbox = (Sender<(StreamKey, Origin)>, Receiver<(StreamKey, Origin)>);

/// Longest such queue.
const MAX_UNSENT_ORIGINS: usize = 4_096;

/// Versions of each service, as last read from the store; `None` if that failed.
type RecordReads = async_std::sync::Mutex<HashMap<ServiceId, (Duration, Option<Knowledge>)>>;

/// Shared by all tasks.
pub struct Shared {
    /// Current settings; they may be reloaded.
    pub settings: ArcSwap<Settings>,
    /// Protocol of the site.
    pub dialect: Dialect,
    /// Time since the start.
    pub clock: Clock,
    /// The configuration document in force; absent until one was read.
    pub site: ArcSwapOption<Site>,
    /// State of the endpoints. Never locked across an await.
    fleet: Mutex<Fleet>,
    freshness: Mutex<Freshness>,
    uptime: Mutex<Uptime>,
    /// Endpoints that have stated that they leave, although the store does not show it; written by the control thread.
    pub leaving: ArcSwap<Vec<LeavingEndpoint>>,
    prefixes: Mutex<PrefixStores>,
    quotas: Mutex<Quotas>,
    quarantine: Mutex<Quarantine>,
    /// Parts of prompts under which endpoints have ended.
    pub part_holds: Arc<PartHolds>,
    /// How many new connections are accepted.
    pub intake: Arc<Intake>,
    origins: Mutex<Origins>,
    software: Mutex<SoftwareRecords>,
    /// Origins of streams that other routers are to be told.
    pub origin_outbox: OriginOutbox,
    /// Origins of streams that this router is to write to the store.
    pub origin_archive: OriginOutbox,
    /// Records of versions that requests have read from the store, and when that was. Locked during a read, so that requests
    /// that arrive meanwhile share the next one.
    pub record_reads: RecordReads,
    paths: Mutex<Paths>,
    /// The other routers, as read when a tunnel was last needed.
    pub peers: PeerCache,
    /// Requests that wait for a place at a brittle endpoint.
    pub place_queues: PlaceQueues,
    /// Patient requests that wait for an engine with a short queue.
    pub patient_queues: Arc<PatientQueues>,
    /// Connections to endpoints.
    pub connections: ConnectionPool,
    /// Metrics.
    pub metrics: Metrics,
    /// Sends events to the control thread.
    pub events: Sender<Event>,
    /// Copy of the store's contents, for routers that follow this one.
    pub relay: Relay,
    /// Whether this router watches the store directly.
    pub watches_store: AtomicBool,
    /// Progress of the shutdown.
    pub stop: Stop,
    /// Whether endpoints remain in service although their entries are missing from the store.
    missing: AtomicBool,
    /// Signals that entries are missing. Holds at most one signal.
    pub missing_signal: (Sender<()>, Receiver<()>),
    /// Signals that the store was restored from a backup that lacks this router's entry. Holds at most one signal.
    pub restored_signal: (Sender<()>, Receiver<()>),
    /// Signals that there is something to report to other routers. Holds at most one signal.
    pub news_signal: (Sender<()>, Receiver<()>),
    /// Whether the list of endpoints has been read at least once.
    pub endpoints_read: AtomicBool,
    /// Open client connections.
    pub callers: Arc<AtomicUsize>,
    /// Requests in flight.
    pub in_flight: RequestCounts,
    /// Bytes of responses held in memory.
    pub held: Arc<HeldBudget>,
    /// Bytes of request bodies held in memory.
    pub body_bytes: AtomicUsize,
}

impl Shared {
    /// The state of a router that has just started.
    pub fn new(settings: Settings, dialect: Dialect, events: Sender<Event>) -> Self {
        let fleet = Fleet::new(fleet_settings(&settings));
        let quotas = Quotas::new(settings.bounds.quotas());
        let metrics = Metrics::new();
        let clock = Clock::start();
        let held = HeldBudget::new(clock, metrics.held_bytes.clone(), metrics.held_closed.clone());
        Self {
            settings: ArcSwap::from_pointee(settings),
            dialect,
            clock,
            site: ArcSwapOption::empty(),
            fleet: Mutex::new(fleet),
            freshness: Mutex::default(),
            uptime: Mutex::default(),
            leaving: ArcSwap::default(),
            prefixes: Mutex::default(),
            quotas: Mutex::new(quotas),
            quarantine: Mutex::default(),
            part_holds: Arc::new(PartHolds::new(metrics.parts_held.clone())),
            intake: Arc::new(Intake::new(metrics.clients_refused.clone())),
            origins: Mutex::default(),
            software: Mutex::default(),
            origin_outbox: async_channel::bounded(MAX_UNSENT_ORIGINS),
            origin_archive: async_channel::bounded(MAX_UNSENT_ORIGINS),
            record_reads: RecordReads::default(),
            paths: Mutex::default(),
            peers: PeerCache::default(),
            place_queues: PlaceQueues::default(),
            patient_queues: Arc::new(PatientQueues::new(metrics.patient_waiting.clone())),
            connections: ConnectionPool::default(),
            metrics,
            events,
            relay: Relay::default(),
            watches_store: AtomicBool::new(false),
            stop: Stop::default(),
            missing: AtomicBool::new(false),
            missing_signal: async_channel::bounded(1),
            restored_signal: async_channel::bounded(1),
            news_signal: async_channel::bounded(1),
            endpoints_read: AtomicBool::new(false),
            callers: Arc::default(),
            in_flight: RequestCounts::default(),
            held: Arc::new(held),
            body_bytes: AtomicUsize::new(0),
        }
    }

    /// Replaces the settings. The listening addresses do not change.
    pub fn reload(&self, settings: Settings) {
        self.fleet().reload(fleet_settings(&settings));
        self.quotas().reload(settings.bounds.quotas());
        self.settings.store(Arc::new(settings));
    }

    /// State of the endpoints.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How recently the document was confirmed to be current.
    pub fn freshness(&self) -> MutexGuard<'_, Freshness> {
        self.freshness.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Period in which the store is known to have answered; written by the control thread.
    pub fn uptime(&self) -> MutexGuard<'_, Uptime> {
        self.uptime.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records whether endpoints remain in service although their entries are missing.
    pub fn set_missing(&self, missing: bool) {
        self.missing.store(missing, Ordering::SeqCst);
        if missing {
            // A pending signal is sufficient.
            let _ = self.missing_signal.0.try_send(());
        }
    }

    /// Signals that there is something to report to other routers.
    pub fn news_changed(&self) {
        // A pending signal is sufficient.
        let _ = self.news_signal.0.try_send(());
    }

    /// Whether endpoints remain in service although their entries are missing.
    pub fn has_missing(&self) -> bool {
        self.missing.load(Ordering::SeqCst)
    }

    /// State of the prefix cache stores.
    pub fn prefixes(&self) -> MutexGuard<'_, PrefixStores> {
        self.prefixes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Use of the workspaces' quotas.
    pub fn quotas(&self) -> MutexGuard<'_, Quotas> {
        self.quotas.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Requests under which endpoints have ended.
    pub fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Versions of the software that began streams.
    pub fn origins(&self) -> MutexGuard<'_, Origins> {
        self.origins.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Versions of the software at which streams may begin.
    pub fn software(&self) -> MutexGuard<'_, SoftwareRecords> {
        self.software.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Paths to the endpoints.
    pub fn paths(&self) -> MutexGuard<'_, Paths> {
        self.paths.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the document is recent enough to authorize keys.
    pub fn is_fresh(&self) -> bool {
        let Some(bound) = self.settings.load().bounds.revoke() else {
            return true;
        };
        let now = self.clock.now();
        self.freshness().is_fresh(bound, now)
    }

    /// Whether the load balancer should send clients here.
    pub fn is_ready(&self) -> bool {
        let loaded = self.site.load().is_some() && self.endpoints_read.load(Ordering::SeqCst);
        loaded && self.is_fresh() && !self.stop.has_begun()
    }

    /// Revision of the document in force; 0 without a document.
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
        soft_staleness: bounds.weights().mul_f64(SOFT_STALENESS_SHARE),
        hard_staleness: bounds.weights().mul_f64(HARD_STALENESS_SHARE),
    }
}
