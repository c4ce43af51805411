//! This router among its peers: who is live, what is told, what is heard.

use super::event::{Event, LoadSeen};
use super::state::Control;
use super::telling::PREFILL_UNIT;
use async_std::task;
use control::membership::{self, Change, Link, Listed, Member, Membership};
use control::{following, orders, rendezvous};
use ids::{EndpointId, Revision, VmId};
use peers::{LoadReport, OfferedConfig, Peers};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use wire::platform::{VmList, VmState};

/// How often peers' view of this router is renewed; heartbeats take what they find.
const PUBLISH_EVERY: Duration = Duration::from_millis(500);
/// How often the seeds of the settings count as listed while the platform does not answer.
const SEEDS_EVERY: Duration = Duration::from_secs(10);

/// What belongs to this router's place among its peers.
pub struct Peering {
    pub(super) membership: Membership,
    pub(super) peers: Peers,
    links: Vec<Link>,
    pub(super) offered: Option<Arc<OfferedConfig>>,
    pub(super) leaving: bool,
    /// Whether a peer was asked for pressures.
    hinted: bool,
    published: Duration,
    seeded: Option<Duration>,
    /// Routers in the platform's last list.
    listed: Option<u32>,
    /// Revisions that are being read from peers.
    pub(super) fetching: BTreeSet<(VmId, Revision)>,
}

impl Peering {
    /// This router alone.
    pub fn new(own: Member, peers: Peers, now: Duration) -> Self {
        Self {
            membership: Membership::new(own, now),
            peers,
            links: Vec::new(),
            offered: None,
            leaving: false,
            hinted: false,
            published: Duration::ZERO,
            seeded: None,
            listed: None,
            fetching: BTreeSet::new(),
        }
    }

    /// Ends all links.
    pub fn stop(&mut self) {
        self.peers.stop();
    }
}

impl Control {
    pub(super) fn peering_tick(&mut self) {
        self.list_seeds();
        self.member_event(membership::Event::Tick);
        let now = self.now();
        if now.saturating_sub(self.peering.published) >= PUBLISH_EVERY {
            self.peering.published = now;
            self.relink();
            let state = self.state_for_peers();
            self.peering.peers.publish(state);
            self.shared.seen.store(Arc::new(self.peering.peers.recent_peers()));
            let domains = self.peering.membership.roster(now).counts;
            self.shared.domains.store(Arc::new(domains));
        }
    }

    pub(super) fn peering_leave(&mut self) {
        self.peering.leaving = true;
        self.tell_peers_now();
    }

    /// The platform's list names routers and endpoints alike; what is no endpoint is a router.
    pub(super) fn routers_listed(&mut self, list: &VmList) {
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
        self.peering.listed = u32::try_from(live).ok().filter(|count| *count > 0);
        self.member_event(membership::Event::Listed(listed));
    }

    /// What a peer said.
    pub(super) fn peer_event(&mut self, event: peers::Event) {
        match event {
            peers::Event::Heartbeat { from, leaving, routers } => {
                self.ask_pressures(from.clone());
                self.member_event(membership::Event::Heartbeat { from, leaving, routers });
            }
            peers::Event::Roster(roster) => self.member_event(membership::Event::Roster(roster)),
            peers::Event::Offer { from, revision, digest } => self.offer(from, revision, digest),
            peers::Event::Loads { reports, .. } => {
                for report in reports {
                    self.peer_report(report);
                }
            }
            peers::Event::Unwatched { .. } => {}
            peers::Event::LinkFailed(peer) => {
                self.start_event(control::startup::Event::PeerFailed(peer));
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
            self.relink();
        }
        self.share_limits();
    }

    /// Splits the limits of workspaces between all live routers.
    fn share_limits(&mut self) {
        let now = self.now();
        let total = self.peering.membership.total();
        self.shares.observe(total, self.peering.listed, now);
        // Routers do not tell each other where a workspace's requests arrive: the balancer spreads them evenly.
        if let Some(share) = self.shares.share(0.0, 0.0) {
            self.shared.limits.set_share(share, now);
        }
    }

    fn relink(&mut self) {
        let links = self.peering.membership.links();
        if links != self.peering.links {
            self.peering.peers.set_links(&links);
            self.peering.links = links;
        }
        let own = &self.shared.settings;
        let lasting = self.peering.membership.not_leaving();
        let candidate = !self.peering.leaving && rendezvous::is_candidate(&own.vm, &own.domain, &lasting);
        self.orders.on(orders::Event::Candidate(candidate));
        let follow = following::follow(&own.vm, &own.domain, self.peering.membership.live());
        self.shared.follow.store(Arc::new(follow));
    }

    /// A router that starts asks the first peer it hears how crowded endpoints have been: until its own reports tell,
    /// it would rank them unlike the others and miss a tenth more blocks.
    fn ask_pressures(&mut self, peer: Member) {
        if self.peering.hinted {
            return;
        }
        self.peering.hinted = true;
        let fetcher = self.peering.peers.fetcher();
        let shared = self.shared.clone();
        task::spawn(async move {
            // Nothing breaks without the hint.
            if let Ok(pressures) = fetcher.pressures(&peer).await {
                super::send(&shared, Event::Pressures(pressures)).await;
            }
        });
    }

    /// While the platform is out of reach, peers are found by the addresses in the settings.
    fn list_seeds(&mut self) {
        let now = self.now();
        let due = self
            .peering
            .seeded
            .is_none_or(|last| now.saturating_sub(last) >= SEEDS_EVERY);
        if self.peering.listed.is_some() || !due {
            return;
        }
        self.peering.seeded = Some(now);
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
        let load = LoadSeen {
            own: false,
            incarnation: report.incarnation,
            model: None,
            weights: report.weights,
            leaving: report.draining,
            running: report.running,
            waiting: report.waiting,
            prefill: u64::from(report.prefill) * PREFILL_UNIT,
            asked: self.now(),
        };
        if self.health.incarnation(&report.endpoint).is_some() || self.is_configured(&report.endpoint) {
            self.reported(&report.endpoint, load);
        }
    }

    fn is_configured(&self, id: &EndpointId) -> bool {
        let configured = self.configured.as_ref();
        configured.is_some_and(|configured| configured.document.endpoints.contains_key(id))
    }
}
