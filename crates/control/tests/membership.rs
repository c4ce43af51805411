//! Which routers count as live when the list lags, routers pause, or all start at once.

use control::membership::{Event, HEARTBEAT_TIMEOUT, Listed, Member, Membership, Roster};
use control::rendezvous::{WATCHERS, watches};
use ids::{DomainId, EndpointId, VmId};
use quickcheck::{Gen, QuickCheck};
use std::time::Duration;

/// Fixed, so that every run tests the same cases.
const SEED: u64 = 3;

fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, SEED))
}

fn member(number: u8, domain: &str) -> Member {
    Member {
        id: VmId::from(format!("vm-{domain}-{number}")),
        address: format!("127.0.0.1:{}", 1000 + u16::from(number)).parse().unwrap(),
        domain: DomainId::from(domain),
    }
}

fn listed(numbers: std::ops::Range<u8>, domain: &str) -> Event {
    Event::Listed(
        numbers
            .map(|number| Listed {
                member: member(number, domain),
                leaving: false,
            })
            .collect(),
    )
}

fn heartbeat(number: u8) -> Event {
    Event::Heartbeat {
        from: member(number, "multan"),
        leaving: false,
        routers: 1,
    }
}

fn seconds(count: f64) -> Duration {
    Duration::from_secs_f64(count)
}

enum Action {
    On(f64, Event),
    /// Ticks twice a second between these times.
    Ticks(f64, f64),
    /// Ticks, and each time a heartbeat from each of these peers.
    Heartbeats(f64, f64, std::ops::Range<u8>),
    Live(usize),
    Total(u32),
}

fn check(name: &str, steps: Vec<Action>) {
    let mut members = Membership::new(member(0, "multan"), Duration::ZERO);
    for step in steps {
        match step {
            Action::On(at, event) => drop(members.on(event, seconds(at))),
            Action::Ticks(from, to) => ticks(&mut members, from, to, 0..0),
            Action::Heartbeats(from, to, peers) => ticks(&mut members, from, to, peers),
            Action::Live(count) => assert_eq!(members.live().len(), count, "{name}"),
            Action::Total(count) => assert_eq!(members.total(), count, "{name}"),
        }
    }
}

fn ticks(members: &mut Membership, from: f64, to: f64, peers: std::ops::Range<u8>) {
    let mut at = from;
    while at < to {
        members.on(Event::Tick, seconds(at));
        for peer in peers.clone() {
            members.on(heartbeat(peer), seconds(at));
        }
        at += 0.5;
    }
}

/// All routers restart at once, and none has received a heartbeat yet. If each assumed to be alone, each would admit
/// the full limits, and a workspace could use five times its limit.
#[test]
fn routers_that_start_together_share_the_limits() {
    check(
        "start together",
        vec![
            Action::On(0.1, listed(0..5, "multan")),
            Action::Live(5),
            Action::Ticks(0.5, 8.0),
            Action::Live(1),
        ],
    );
}

/// The list still contains a router that died, and does not yet contain one that just started.
#[test]
fn heartbeats_override_a_lagging_list() {
    let list = || listed(0..2, "multan");
    let steps = vec![
        Action::On(0.1, list()),
        Action::Heartbeats(0.5, 10.0, 1..3),
        Action::Live(3),
        Action::On(10.0, list()),
        Action::Heartbeats(10.0, 20.0, 2..3),
        Action::On(20.0, list()),
        Action::Live(2),
    ];
    check("lagging list", steps);
}

/// The router itself is paused for a minute. If it considered its peers dead afterwards, it would admit their share of
/// every limit until their next heartbeats.
#[test]
fn a_paused_router_keeps_its_peers_live() {
    let steps = vec![
        Action::Heartbeats(0.0, 10.0, 1..5),
        Action::On(70.0, Event::Tick),
        Action::Live(5),
        Action::Ticks(70.5, 78.0),
        Action::Live(1),
    ];
    check("pause", steps);
}

/// Two routers report a third, dead router to each other. It must not stay live without heartbeats of its own.
#[test]
fn a_roster_does_not_keep_a_dead_router_live() {
    let roster = Roster {
        members: vec![member(1, "multan")],
        counts: Vec::new(),
    };
    check(
        "no heartbeat yet",
        vec![Action::On(1.0, Event::Roster(roster.clone())), Action::Live(1)],
    );
    let mut steps = vec![Action::Heartbeats(0.0, 5.0, 1..2), Action::Live(2)];
    for second in 5..13 {
        steps.push(Action::On(f64::from(second), Event::Roster(roster.clone())));
    }
    steps.push(Action::Live(1));
    check("roster only", steps);
}

/// Another failure domain is disconnected. It still serves its clients, so its routers must keep their share.
#[test]
fn an_unreachable_domain_keeps_its_share() {
    let remote = Event::Heartbeat {
        from: member(7, "lahore"),
        leaving: false,
        routers: 4,
    };
    let steps = vec![
        Action::On(0.1, remote),
        Action::Total(5),
        Action::Ticks(0.5, 100.0),
        Action::Total(5),
    ];
    check("unreachable domain", steps);
}

/// Each endpoint is watched by two live routers. An uneven spread would overload single routers.
#[test]
fn watched_endpoints_are_spread_over_the_routers() {
    let live: Vec<VmId> = (0..22).map(|number| member(number, "multan").id).collect();
    let endpoints: Vec<EndpointId> = (0..400)
        .map(|number| EndpointId::from(format!("engine-{number}")))
        .collect();
    let counts: Vec<usize> = live
        .iter()
        .map(|vm| endpoints.iter().filter(|endpoint| watches(vm, endpoint, &live)).count())
        .collect();
    assert_eq!(counts.iter().sum::<usize>(), 400 * WATCHERS);
    assert!(counts.iter().all(|count| (18..=60).contains(count)), "{counts:?}");
}

/// Compares the live routers with a reference model that keeps all heartbeats.
#[test]
fn live_routers_match_recent_heartbeats() {
    fn holds(heartbeats: Vec<(u8, u8)>) -> bool {
        let mut members = Membership::new(member(0, "multan"), Duration::ZERO);
        let mut now = Duration::ZERO;
        let mut all: Vec<(Duration, u8)> = Vec::new();
        heartbeats.into_iter().all(|(from, wait)| {
            now += Duration::from_millis(u64::from(wait) * 3);
            let from = from % 6 + 1;
            all.push((now, from));
            members.on(heartbeat(from), now);
            let mut expected: Vec<VmId> = all
                .iter()
                .filter(|(at, _)| now - *at < HEARTBEAT_TIMEOUT)
                .map(|(_, from)| member(*from, "multan").id)
                .collect();
            expected.push(member(0, "multan").id);
            expected.sort_unstable();
            expected.dedup();
            members.live() == expected
        })
    }
    seeded().quickcheck(holds as fn(Vec<(u8, u8)>) -> bool);
}
