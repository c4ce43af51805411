//! Membership and messages among routers.

use super::event::{Event, ObservedLoad};
use super::publishing::PREFILL_UNIT;
use super::state::Control;
use async_std::task;
use control::membership::{self, Change, Link, Listed, Member, Membership};
use control::{following, orders, rendezvous};
use ids::{EndpointId, Revision, VmId};
use peers::{LoadReport, OfferedConfig, Peers};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use wire::platform::{VmList, VmState};

/// Interval at which the state that heartbeats carry to peers is updated.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which the seeds of the settings are added as listed routers while the platform does not respond.
const SEED_INTERVAL: Duration = Duration::from_secs(10);

/// Membership, peer connections and the state published to peers.
pub struct Peering {
    pub(super) membership: Membership,
    pub(super) peers: Peers,
    links: Vec<Link>,
    pub(super) offered: Option<Arc<OfferedConfig>>,
    pub(super) leaving: bool,
    /// Whether pressures were requested from a peer.
    pressures_requested: bool,
    last_publish: Duration,
    last_seeding: Option<Duration>,
    /// Number of routers in the platform's last list that are not leaving.
    listed_routers: Option<u32>,
    /// Revisions that are being fetched from peers.
    pub(super) fetching: BTreeSet<(VmId, Revision)>,
}

impl Peering {
    /// Creates a membership of this router alone.
    pub fn new(own: Member, peers: Peers, now: Duration) -> Self {
        Self {
            membership: Membership::new(own, now),
            peers,
            links: Vec::new(),
            offered: None,
            leaving: false,
            pressures_requested: false,
            last_publish: Duration::ZERO,
            last_seeding: None,
            listed_routers: None,
            fetching: BTreeSet::new(),
        }
    }

    /// Closes all links.
    pub fn stop(&mut self) {
        self.peers.stop();
    }
}

impl Control {
    pub(super) fn peering_tick(&mut self) {
        self.add_seeds();
        self.member_event(membership::Event::Tick);
        let now = self.now();
        if now.saturating_sub(self.peering.last_publish) >= PUBLISH_INTERVAL {
            self.peering.last_publish = now;
            self.update_links();
            let state = self.peer_state();
            self.peering.peers.publish(state);
            self.shared
                .recent_peers
                .store(Arc::new(self.peering.peers.recent_peers()));
            let domains = self.peering.membership.roster(now).counts;
            self.shared.domains.store(Arc::new(domains));
        }
    }

    pub(super) fn peering_leave(&mut self) {
        self.peering.leaving = true;
        self.publish_now_to_peers();
    }

    /// Updates the routers from the platform's list, which contains routers and endpoints: each VM that is not an
    /// endpoint is a router.
    pub(super) fn update_listed_routers(&mut self, list: &VmList) {
        let Some(configured) = &self.configured else { return };
        let endpoints = &configured.document.endpoints;
        let routers = list.vms.iter().filter(|vm| !endpoints.contains_key(vm.id.as_str()));
        let listed: Vec<Listed> = routers
            .filter_map(|vm| {
                let member = Member {
                    id: VmId::from(vm.id.as_str()),
                    address: vm.address.parse().ok()?,
                    domain: vm.domain.clone(),
                };
                Some(Listed {
                    member,
                    leaving: vm.state == VmState::Leaving,
                })
            })
            .collect();
        let live = listed.iter().filter(|one| !one.leaving).count();
        self.peering.listed_routers = u32::try_from(live).ok().filter(|count| *count > 0);
        self.member_event(membership::Event::Listed(listed));
    }

    /// Handles an event of a peer.
    pub(super) fn peer_event(&mut self, event: peers::Event) {
        match event {
            peers::Event::Heartbeat { from, leaving, routers } => {
                self.request_pressures(from.clone());
                self.member_event(membership::Event::Heartbeat { from, leaving, routers });
            }
            peers::Event::Roster(roster) => self.member_event(membership::Event::Roster(roster)),
            peers::Event::Offer { from, revision, digest } => self.fetch_offer(from, revision, digest),
            peers::Event::Loads { reports, .. } => {
                for report in reports {
                    self.peer_report(report);
                }
            }
            peers::Event::Unwatched { .. } => {}
            peers::Event::LinkFailed(peer) => {
                self.startup_event(control::startup::Event::PeerFailed(peer));
            }
        }
    }

    fn member_event(&mut self, event: membership::Event) {
        let now = self.now();
        let before = self.peering.membership.total();
        let change = self.peering.membership.on(event, now);
        if self.peering.membership.total() != before {
            self.publish();
        }
        if change == Change::Live {
            let live = self.peering.membership.live().len();
            log::info!(live = live; "live routers of the failure domain changed");
            self.shared.metrics.routers.set(live as i64);
            self.watch_endpoints();
            self.update_links();
        }
        self.share_limits();
    }

    /// Divides the limits of workspaces among all live routers.
    fn share_limits(&mut self) {
        let now = self.now();
        let total = self.peering.membership.total();
        self.shares.observe(total, self.peering.listed_routers, now);
        // Demand is not exchanged between routers: the balancer spreads a workspace's requests evenly.
        if let Some(share) = self.shares.share(0.0, 0.0) {
            self.shared.limits.set_share(share, now);
        }
    }

    fn update_links(&mut self) {
        let links = self.peering.membership.links();
        if links != self.peering.links {
            self.peering.peers.set_links(&links);
            self.peering.links = links;
        }
        let own = &self.shared.settings;
        let not_leaving = self.peering.membership.not_leaving();
        let candidate = !self.peering.leaving && rendezvous::is_candidate(&own.vm, &own.domain, &not_leaving);
        self.orders.on(orders::Event::Candidate(candidate));
        let follow = following::follow(&own.vm, &own.domain, self.peering.membership.live());
        self.shared.follow_mode.store(Arc::new(follow));
    }

    /// A router that starts requests endpoint pressures from the first peer that sends a heartbeat. Until it has
    /// reports of its own, it would rank endpoints differently from its peers and miss a tenth more cache blocks.
    fn request_pressures(&mut self, peer: Member) {
        if self.peering.pressures_requested {
            return;
        }
        self.peering.pressures_requested = true;
        let fetcher = self.peering.peers.fetcher();
        let shared = self.shared.clone();
        task::spawn(async move {
            // Pressures only improve placement; a failed request is ignored.
            if let Ok(pressures) = fetcher.pressures(&peer).await {
                super::send(&shared, Event::Pressures(pressures)).await;
            }
        });
    }

    /// Adds the routers from the settings while the platform is unreachable.
    fn add_seeds(&mut self) {
        let now = self.now();
        let due = self
            .peering
            .last_seeding
            .is_none_or(|last| now.saturating_sub(last) >= SEED_INTERVAL);
        if self.peering.listed_routers.is_some() || !due {
            return;
        }
        self.peering.last_seeding = Some(now);
        let seeds = self.shared.settings.seeds.iter();
        let listed = seeds.map(|seed| Listed {
            member: Member {
                id: seed.vm.clone(),
                address: seed.address,
                domain: seed.domain.clone(),
            },
            leaving: false,
        });
        let listed = listed.collect();
        self.member_event(membership::Event::Listed(listed));
    }

    fn peer_report(&mut self, report: LoadReport) {
        let load = ObservedLoad {
            own: false,
            incarnation: report.incarnation,
            model: None,
            weights: report.weights,
            draining: report.draining,
            running: report.running,
            waiting: report.waiting,
            prefill: u64::from(report.prefill) * PREFILL_UNIT,
            requested: self.now(),
        };
        if self.health.incarnation(&report.endpoint).is_some() || self.is_configured(&report.endpoint) {
            self.record_report(&report.endpoint, load);
        }
    }

    fn is_configured(&self, id: &EndpointId) -> bool {
        let configured = self.configured.as_ref();
        configured.is_some_and(|configured| configured.document.endpoints.contains_key(id))
    }
}
