//! State shared by all tasks of a router.

use crate::client::BodyBudget;
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
use http::{Client, ServerState};
use ids::RequestId;
use lifecycle::claims::ClaimLease;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};
use store::Platform;

/// State shared by all tasks; published values are replaced as a whole, never changed in place.
pub struct Shared {
    /// The router's settings.
    pub settings: Settings,
    /// Monotonic clock.
    pub clock: Clock,
    /// The view in force, absent until a configuration is adopted.
    pub view: ArcSwapOption<View>,
    /// Admission, placement and load of each pool.
    pub pools: Pools,
    /// Client for connections to endpoints.
    pub client: Client,
    /// Client of the platform.
    pub platform: Platform,
    /// Metrics.
    pub metrics: Metrics,
    /// State of the client-facing server.
    pub serving: ServerState,
    /// Event queue of the control thread.
    pub events: Sender<Event>,
    /// Memory budget for the bodies of requests in flight.
    pub bodies: BodyBudget,
    /// Rate limits of workspaces.
    pub limits: WorkspaceLimits,
    /// The lease that claims are attached to.
    pub claim_lease: async_std::sync::Mutex<ClaimLease>,
    /// Number of background tasks that store or release claims.
    pub settling: AtomicUsize,
    /// How this router follows the configuration.
    pub follow_mode: ArcSwap<Follow>,
    /// Peers with their last heartbeats.
    pub recent_peers: ArcSwap<Vec<RecentPeer>>,
    /// Router counts of the other failure domains, as last received.
    pub domains: ArcSwap<Vec<DomainCount>>,
    /// Why no configuration is in force yet.
    pub not_ready: ArcSwap<NotReady>,
    /// Set once shutdown has begun.
    pub stopping: AtomicBool,
    started_ms: u128,
    requests: AtomicU64,
}

impl Shared {
    /// Creates the state of a router that has just started.
    pub fn new(settings: Settings, platform: Platform, events: Sender<Event>) -> Arc<Self> {
        let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let clock = Clock::start();
        Arc::new(Self {
            settings,
            clock,
            bodies: BodyBudget::default(),
            limits: WorkspaceLimits::new(clock),
            claim_lease: async_std::sync::Mutex::default(),
            settling: AtomicUsize::new(0),
            view: ArcSwapOption::empty(),
            pools: Pools::default(),
            client: Client::new(),
            platform,
            metrics: Metrics::new(),
            serving: ServerState::default(),
            events,
            follow_mode: ArcSwap::from_pointee(Follow::Watch),
            recent_peers: ArcSwap::default(),
            domains: ArcSwap::default(),
            not_ready: ArcSwap::from_pointee(NotReady::Waiting),
            stopping: AtomicBool::new(false),
            started_ms: started.as_millis(),
            requests: AtomicU64::new(0),
        })
    }

    /// Returns a request id that no other router and no earlier incarnation of this one has used.
    pub fn next_request(&self) -> RequestId {
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        RequestId::from(format!("{}-{:x}-{number:x}", self.settings.vm, self.started_ms))
    }

    /// Whether clients should be sent here.
    pub fn ready(&self) -> bool {
        self.view.load().is_some() && !self.stopping.load(Ordering::SeqCst)
    }
}
