//! What all tasks of a router share.

use crate::caller::Budget;
use crate::control::Event;
use crate::limits::WorkspaceLimits;
use crate::metrics::Metrics;
use crate::pool::Pools;
use crate::settings::Settings;
use crate::view::View;
use ::control::following::Follow;
use ::control::membership::DomainCount;
use ::control::startup::NotReady;
use ::peers::RecentPeer;
use arc_swap::{ArcSwap, ArcSwapOption};
use async_channel::Sender;
use clock::Clock;
use http::{Client, Serving};
use ids::RequestId;
use lifecycle::claims::ClaimLease;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};
use store::Platform;

/// Shared by all tasks; published state is replaced whole, never changed in place.
pub struct Shared {
    /// Settings of this router.
    pub settings: Settings,
    /// Monotonic time.
    pub clock: Clock,
    /// The state in force, absent until a configuration was found.
    pub view: ArcSwapOption<View>,
    /// Admission, placement and load of each pool.
    pub pools: Pools,
    /// Connections to endpoints.
    pub client: Client,
    /// The platform.
    pub platform: Platform,
    /// Counters.
    pub metrics: Metrics,
    /// State of the callers' server.
    pub serving: Serving,
    /// To the control thread.
    pub events: Sender<Event>,
    /// Memory for bodies in flight.
    pub bodies: Budget,
    /// Limits of workspaces.
    pub limits: WorkspaceLimits,
    /// The lease under which claims are written.
    pub claim_lease: async_std::sync::Mutex<ClaimLease>,
    /// Results of claimed calls that are still to be written down.
    pub settling: AtomicUsize,
    /// What this router asks of the platform to follow the configuration.
    pub follow: ArcSwap<Follow>,
    /// Peers as last heard.
    pub seen: ArcSwap<Vec<RecentPeer>>,
    /// Other failure domains as last heard of.
    pub domains: ArcSwap<Vec<DomainCount>>,
    /// Why no configuration is in force yet.
    pub not_ready: ArcSwap<NotReady>,
    /// Set once shutdown has begun.
    pub stopping: AtomicBool,
    started_ms: u128,
    requests: AtomicU64,
}

impl Shared {
    /// The state of a router that has just started.
    pub fn new(settings: Settings, platform: Platform, events: Sender<Event>) -> Arc<Self> {
        let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let clock = Clock::start();
        Arc::new(Self {
            settings,
            clock,
            bodies: Budget::default(),
            limits: WorkspaceLimits::new(clock),
            claim_lease: async_std::sync::Mutex::default(),
            settling: AtomicUsize::new(0),
            view: ArcSwapOption::empty(),
            pools: Pools::default(),
            client: Client::new(),
            platform,
            metrics: Metrics::new(),
            serving: Serving::default(),
            events,
            follow: ArcSwap::from_pointee(Follow::Watch),
            seen: ArcSwap::default(),
            domains: ArcSwap::default(),
            not_ready: ArcSwap::from_pointee(NotReady::Waiting),
            stopping: AtomicBool::new(false),
            started_ms: started.as_millis(),
            requests: AtomicU64::new(0),
        })
    }

    /// A request id that no other router and no earlier life of this one has given.
    pub fn next_request(&self) -> RequestId {
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        RequestId::from(format!("{}-{:x}-{number:x}", self.settings.vm, self.started_ms))
    }

    /// Whether callers should be sent here.
    pub fn ready(&self) -> bool {
        self.view.load().is_some() && !self.stopping.load(Ordering::SeqCst)
    }
}
