//! Who counts as live, against a list that lags, pauses and herds.

use control::membership::{Event, HEARTBEAT_TIMEOUT, Listed, Member, Membership, Roster};
use control::rendezvous::{WATCHERS, watches};
use ids::{DomainId, EndpointId, VmId};
use quickcheck::{Gen, QuickCheck};
use std::time::Duration;

/// Each run tries the same cases, so that its verdict is the same.
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

fn heard(number: u8) -> Event {
    Event::Heartbeat {
        from: member(number, "multan"),
        leaving: false,
        routers: 1,
    }
}

fn seconds(count: f64) -> Duration {
    Duration::from_secs_f64(count)
}

enum Do {
    On(f64, Event),
    /// Ticks twice a second from here to there.
    Ticks(f64, f64),
    /// Ticks, and these peers are heard each time.
    Beats(f64, f64, std::ops::Range<u8>),
    Live(usize),
    Total(u32),
}

fn check(name: &str, steps: Vec<Do>) {
    let mut members = Membership::new(member(0, "multan"), Duration::ZERO);
    for step in steps {
        match step {
            Do::On(at, event) => drop(members.on(event, seconds(at))),
            Do::Ticks(from, to) => ticks(&mut members, from, to, 0..0),
            Do::Beats(from, to, peers) => ticks(&mut members, from, to, peers),
            Do::Live(count) => assert_eq!(members.live().len(), count, "{name}"),
            Do::Total(count) => assert_eq!(members.total(), count, "{name}"),
        }
    }
}

fn ticks(members: &mut Membership, from: f64, to: f64, peers: std::ops::Range<u8>) {
    let mut at = from;
    while at < to {
        members.on(Event::Tick, seconds(at));
        for peer in peers.clone() {
            members.on(heard(peer), seconds(at));
        }
        at += 0.5;
    }
}

/// All routers restart at once. None has heard of another yet; if each believed to be alone, each would admit the
/// limits of all, and a workspace could use five times what it may.
#[test]
fn routers_that_start_in_a_herd_share() {
    check(
        "herd",
        vec![
            Do::On(0.1, listed(0..5, "multan")),
            Do::Live(5),
            Do::Ticks(0.5, 8.0),
            Do::Live(1),
        ],
    );
}

/// The list names a router that died, and doesn't name one that just started.
#[test]
fn the_list_lags() {
    let list = || listed(0..2, "multan");
    let steps = vec![
        Do::On(0.1, list()),
        Do::Beats(0.5, 10.0, 1..3),
        Do::Live(3),
        Do::On(10.0, list()),
        Do::Beats(10.0, 20.0, 2..3),
        Do::On(20.0, list()),
        Do::Live(2),
    ];
    check("lag", steps);
}

/// The router itself is paused for a minute. The others did nothing wrong; had it taken them for dead, it would admit
/// their share of every limit until it hears them again.
#[test]
fn a_paused_router_does_not_blame_the_others() {
    let steps = vec![
        Do::Beats(0.0, 10.0, 1..5),
        Do::On(70.0, Event::Tick),
        Do::Live(5),
        Do::Ticks(70.5, 78.0),
        Do::Live(1),
    ];
    check("pause", steps);
}

/// Two routers tell each other of a third that died; it must not stay alive by hearsay.
#[test]
fn hearsay_keeps_nobody_alive() {
    let roster = Roster {
        members: vec![member(1, "multan")],
        counts: Vec::new(),
    };
    check(
        "never heard",
        vec![Do::On(1.0, Event::Roster(roster.clone())), Do::Live(1)],
    );
    let mut steps = vec![Do::Beats(0.0, 5.0, 1..2), Do::Live(2)];
    for second in 5..13 {
        steps.push(Do::On(f64::from(second), Event::Roster(roster.clone())));
    }
    steps.push(Do::Live(1));
    check("hearsay", steps);
}

/// Another failure domain is cut off. It goes on serving its callers, so that its routers keep their share.
#[test]
fn a_domain_out_of_reach_keeps_its_share() {
    let far = Event::Heartbeat {
        from: member(7, "lahore"),
        leaving: false,
        routers: 4,
    };
    let steps = vec![Do::On(0.1, far), Do::Total(5), Do::Ticks(0.5, 100.0), Do::Total(5)];
    check("far", steps);
}

/// Each endpoint is watched by two of the live routers, and the watching is spread.
#[test]
fn watching_is_spread() {
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

/// Against a naive version that keeps every heartbeat ever heard.
#[test]
fn live_is_whoever_was_heard_lately() {
    fn holds(beats: Vec<(u8, u8)>) -> bool {
        let mut members = Membership::new(member(0, "multan"), Duration::ZERO);
        let mut now = Duration::ZERO;
        let mut all: Vec<(Duration, u8)> = Vec::new();
        beats.into_iter().all(|(from, wait)| {
            now += Duration::from_millis(u64::from(wait) * 3);
            let from = from % 6 + 1;
            all.push((now, from));
            members.on(heard(from), now);
            let mut naive: Vec<VmId> = all
                .iter()
                .filter(|(at, _)| now - *at < HEARTBEAT_TIMEOUT)
                .map(|(_, from)| member(*from, "multan").id)
                .collect();
            naive.push(member(0, "multan").id);
            naive.sort_unstable();
            naive.dedup();
            members.live() == naive
        })
    }
    seeded().quickcheck(holds as fn(Vec<(u8, u8)>) -> bool);
}
