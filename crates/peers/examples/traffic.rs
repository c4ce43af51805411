//! Measures the traffic between routers of one failure domain and how fast a new configuration revision spreads.
//!
//! All routers run in this process, over loopback. First every load changes before every heartbeat, which is the worst
//! case, then one load in five, then none.

use async_std::net::TcpListener;
use async_std::task;
use control::membership::{Event as MemberEvent, Listed, Member, Membership};
use control::rendezvous::forwards_load;
use ids::{Digest, DomainId, EndpointId, Incarnation, Revision, VmId, WeightsVersion};
use peers::{Event, LoadReport, OfferedConfig, Peers, PublishedState};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

const ROUTERS: usize = 22;
const ENDPOINTS: usize = 400;
const WARM_UP: Duration = Duration::from_secs(5);
const DURATION: Duration = Duration::from_secs(20);
const LOAD_PERIOD: Duration = Duration::from_secs(1);

struct Router {
    peers: Peers,
    membership: Membership,
    events: async_channel::Receiver<Event>,
}

#[async_std::main]
async fn main() -> std::io::Result<()> {
    let mut routers = start().await?;
    task::sleep(WARM_UP).await;
    for (name, share) in [
        ("every load changes", 1),
        ("one load in five changes", 5),
        ("no load changes", 0),
    ] {
        measure(name, share, &mut routers).await;
    }
    measure_spread(&mut routers).await;
    Ok(())
}

async fn start() -> std::io::Result<Vec<Router>> {
    let mut listeners = Vec::new();
    for number in 0..ROUTERS {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let member = Member {
            id: VmId::from(format!("router-{number:02}")),
            address,
            domain: DomainId::from("lahore"),
        };
        listeners.push((member, listener));
    }
    let listed: Vec<Listed> = listeners
        .iter()
        .map(|(member, _)| Listed {
            member: member.clone(),
            leaving: false,
        })
        .collect();
    let mut routers = Vec::new();
    for (member, listener) in listeners {
        let (sender, events) = async_channel::unbounded();
        let mut membership = Membership::new(member.clone(), Duration::ZERO);
        membership.on(MemberEvent::Listed(listed.clone()), Duration::ZERO);
        let mut peers = Peers::new(member, sender);
        peers.listen(listener);
        peers.publish(published(&membership, 0, 1, None));
        peers.set_links(&membership.links());
        routers.push(Router {
            peers,
            membership,
            events,
        });
    }
    Ok(routers)
}

fn published(membership: &Membership, round: u32, share: u32, config: Option<Arc<OfferedConfig>>) -> PublishedState {
    let own = &membership.own().id;
    let mut loads = Vec::new();
    for number in 0..ENDPOINTS as u32 {
        let endpoint = EndpointId::from(format!("engine-{number:03}"));
        if !forwards_load(own, &endpoint, membership.live()) {
            continue;
        }
        let changes = (round + number).checked_div(share).unwrap_or_default();
        loads.push(LoadReport {
            endpoint,
            incarnation: Incarnation(1_764_000_000_000),
            weights: Some(WeightsVersion::from("2026-11")),
            draining: false,
            running: changes % 31,
            waiting: changes % 7,
            prefill: changes % 97,
        });
    }
    PublishedState {
        leaving: false,
        routers: membership.live().len() as u32,
        membership: membership.digest(),
        roster: membership.roster(Duration::ZERO),
        config,
        loads,
        pressures: Vec::new(),
    }
}

async fn measure(name: &str, share: u32, routers: &mut [Router]) {
    let before: Vec<(u64, u64)> = routers.iter().map(|router| router.peers.traffic()).collect();
    let started = Instant::now();
    let mut round = 0;
    while started.elapsed() < DURATION {
        for router in routers.iter() {
            router.peers.publish(published(&router.membership, round, share, None));
            while router.events.try_recv().is_ok() {}
        }
        round += 1;
        task::sleep(LOAD_PERIOD).await;
    }
    let seconds = started.elapsed().as_secs_f64();
    let rates: Vec<(f64, f64)> = routers
        .iter()
        .zip(before)
        .map(|(router, (sent, received))| {
            let now = router.peers.traffic();
            ((now.0 - sent) as f64 / seconds, (now.1 - received) as f64 / seconds)
        })
        .collect();
    let peak = |side: fn(&(f64, f64)) -> f64| rates.iter().map(side).fold(0.0, f64::max);
    let mean = |side: fn(&(f64, f64)) -> f64| rates.iter().map(side).sum::<f64>() / rates.len() as f64;
    println!(
        "{name}: bytes/s per router, mean (peak): sent {:.0} ({:.0}), received {:.0} ({:.0}), both {:.0} ({:.0})",
        mean(|rate| rate.0),
        peak(|rate| rate.0),
        mean(|rate| rate.1),
        peak(|rate| rate.1),
        mean(|rate| rate.0 + rate.1),
        peak(|rate| rate.0 + rate.1),
    );
}

/// One router publishes a new revision. Measures when the others learn of it.
async fn measure_spread(routers: &mut [Router]) {
    let mut times = Vec::new();
    for revision in 1..=20 {
        let offered = OfferedConfig {
            revision: Revision(revision),
            digest: Digest::of(&revision.to_le_bytes()),
            head: String::new(),
            sections: BTreeMap::new(),
        };
        let offered = Arc::new(offered);
        let first = (revision as usize * 7) % routers.len();
        let state = published(&routers[first].membership, 0, 0, Some(offered.clone()));
        let started = Instant::now();
        routers[first].peers.publish_now(state);
        for (place, router) in routers.iter().enumerate().filter(|(place, _)| *place != first) {
            let offer = async_std::future::timeout(Duration::from_secs(10), wait_for_offer(router, revision)).await;
            match offer {
                Ok(at) => times.push(at - started),
                Err(_) => println!("router {place} did not learn of revision {revision}"),
            }
            router
                .peers
                .publish(published(&router.membership, 0, 0, Some(offered.clone())));
        }
        task::sleep(Duration::from_millis(500)).await;
    }
    times.sort_unstable();
    let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    println!(
        "a revision reached {} routers: median {:?}, 99 % {:?}, last {:?}",
        times.len(),
        at(0.5),
        at(0.99),
        at(1.0)
    );
}

async fn wait_for_offer(router: &Router, expected: u64) -> Instant {
    loop {
        match router.events.recv().await {
            Ok(Event::Offer { revision, .. }) if revision.0 == expected => return Instant::now(),
            Ok(_) => {}
            Err(_) => futures::future::pending().await,
        }
    }
}
