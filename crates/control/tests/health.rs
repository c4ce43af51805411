//! What is believed of an endpoint, after what was seen of it.

use control::health::{Change, EndpointHealth, Event, Failure, HealthState, Listing, Report};
use control::startup::{self, NotReady, Offer, PEER_TIMEOUT, Start, Startup};
use ids::{Digest, EndpointId, Incarnation, Revision, VmId};
use std::collections::BTreeMap;
use std::time::Duration;

fn id() -> EndpointId {
    EndpointId::from("engine")
}

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn report(life: u64, leaving: bool, own: bool, asked: u64) -> Event {
    Event::Report(Report {
        endpoint: id(),
        incarnation: Incarnation(life),
        leaving,
        own,
        at: at(asked),
    })
}

fn replied(life: u64) -> Event {
    Event::Replied {
        endpoint: id(),
        incarnation: Some(Incarnation(life)),
    }
}

fn failed(failure: Failure) -> Event {
    Event::Failed {
        endpoint: id(),
        failure,
    }
}

fn list(listing: Option<Listing>) -> Event {
    Event::Listed(
        listing
            .map(|listing| (id(), listing))
            .into_iter()
            .collect::<BTreeMap<_, _>>(),
    )
}

struct Case {
    name: &'static str,
    events: Vec<Event>,
    belief: HealthState,
    probed: bool,
}

/// Events come 100 ms apart, the first after 100 ms.
#[test]
fn beliefs() {
    use Failure::{Connection, Timeout};
    let cases = vec![
        Case {
            name: "new",
            events: vec![],
            belief: HealthState::Live,
            probed: false,
        },
        Case {
            name: "not yet listed",
            events: vec![list(None)],
            belief: HealthState::Live,
            probed: false,
        },
        Case {
            name: "list says so",
            events: vec![list(Some(Listing::Leaving))],
            belief: HealthState::Leaving,
            probed: false,
        },
        Case {
            name: "gone from the list",
            events: vec![list(Some(Listing::Live)), list(None)],
            belief: HealthState::Leaving,
            probed: false,
        },
        Case {
            name: "says so itself, and the list lags",
            events: vec![report(1, true, true, 50), list(Some(Listing::Live)), replied(1)],
            belief: HealthState::Leaving,
            probed: false,
        },
        Case {
            name: "a peer passes it on",
            events: vec![report(1, true, false, 50)],
            belief: HealthState::Leaving,
            probed: false,
        },
        Case {
            name: "one break",
            events: vec![failed(Connection)],
            belief: HealthState::Suspected,
            probed: true,
        },
        Case {
            name: "two breaks",
            events: vec![list(Some(Listing::Live)), failed(Connection), failed(Connection)],
            belief: HealthState::Dead,
            probed: true,
        },
        Case {
            name: "a reply between",
            events: vec![failed(Connection), replied(1), failed(Connection)],
            belief: HealthState::Suspected,
            probed: true,
        },
        Case {
            name: "slow only",
            events: vec![failed(Timeout); 30],
            belief: HealthState::Suspected,
            probed: true,
        },
        Case {
            name: "one slow answer",
            events: vec![failed(Timeout)],
            belief: HealthState::Live,
            probed: false,
        },
        Case {
            name: "probed back",
            events: vec![failed(Connection), failed(Connection), replied(1)],
            belief: HealthState::Live,
            probed: false,
        },
        Case {
            name: "a report from before the crash",
            events: vec![failed(Connection), failed(Connection), report(1, false, true, 150)],
            belief: HealthState::Dead,
            probed: true,
        },
        Case {
            name: "a peer still reaches it",
            events: vec![failed(Connection), failed(Connection), report(1, false, false, 290)],
            belief: HealthState::Dead,
            probed: true,
        },
        Case {
            name: "back in a new life that doesn't leave",
            events: vec![replied(1), report(1, true, true, 150), replied(2)],
            belief: HealthState::Live,
            probed: false,
        },
        Case {
            name: "a late answer of the old life",
            events: vec![replied(1), report(2, true, true, 150), replied(1)],
            belief: HealthState::Leaving,
            probed: false,
        },
    ];
    for case in cases {
        check(case);
    }
}

fn check(case: Case) {
    let mut health = EndpointHealth::default();
    health.on(Event::Configured(vec![id()]), at(0));
    let mut now = at(0);
    for event in case.events {
        now += at(100);
        health.on(event, now);
    }
    assert_eq!(health.state(&id()), case.belief, "{}", case.name);
    assert_eq!(health.next_probe().is_some(), case.probed, "{}", case.name);
}

/// An engine restarts and comes back empty. Whoever keeps a record of its cache must hear of it once.
#[test]
fn a_new_life_is_told_once() {
    let mut health = EndpointHealth::default();
    health.on(Event::Configured(vec![id()]), at(0));
    assert_eq!(health.on(replied(1), at(1)), []);
    let told = vec![Change::Restarted {
        endpoint: id(),
        incarnation: Incarnation(2),
    }];
    assert_eq!(health.on(replied(2), at(2)), told);
    assert_eq!(health.on(replied(1), at(3)), []);
    assert_eq!(health.on(report(2, false, true, 4), at(5)), []);
}

/// A dead endpoint is probed a little later, then less and less often, and never forgotten.
#[test]
fn probes_back_off_to_two_seconds() {
    let mut health = EndpointHealth::default();
    health.on(Event::Configured(vec![id()]), at(0));
    health.on(failed(Failure::Connection), at(0));
    let mut times = Vec::new();
    for millis in (0..8_000).step_by(50) {
        if !health.due_probes(at(millis)).is_empty() {
            times.push(millis);
            health.on(failed(Failure::Connection), at(millis));
        }
    }
    assert_eq!(times, [250, 750, 1_750, 3_750, 5_750, 7_750]);
}

fn offer(revision: u64) -> Offer {
    Offer {
        revision: Revision(revision),
        digest: Digest::of(&revision.to_le_bytes()),
    }
}

/// A router restarts next to a stale peer and a newer one. Had it begun with the first answer, a change that it had in
/// force before the restart would be gone.
#[test]
fn starting() {
    use startup::Event::{Peer, PeerFailed, Platform, PlatformEmpty, PlatformFailed, Tick};
    let vm = VmId::from;
    let wait = |reason| Start::NotReady(reason);
    let cases: Vec<(&str, Vec<startup::Event>, Duration, Start)> = vec![
        ("nothing yet", vec![], at(0), wait(NotReady::Waiting)),
        (
            "a stale peer only",
            vec![Peer(vm("a"), Some(offer(3)))],
            at(0),
            wait(NotReady::Waiting),
        ),
        (
            "platform",
            vec![Peer(vm("a"), Some(offer(3))), Platform(offer(4))],
            at(0),
            Start::With(offer(4)),
        ),
        (
            "platform behind",
            vec![Peer(vm("a"), Some(offer(5))), Platform(offer(4))],
            at(0),
            Start::With(offer(5)),
        ),
        (
            "one peer to come",
            vec![PlatformFailed, Peer(vm("a"), Some(offer(3)))],
            at(0),
            wait(NotReady::Waiting),
        ),
        (
            "all peers",
            vec![
                PlatformFailed,
                Peer(vm("a"), Some(offer(3))),
                Peer(vm("b"), Some(offer(5))),
            ],
            at(0),
            Start::With(offer(5)),
        ),
        (
            "silent peer",
            vec![PlatformFailed, Peer(vm("a"), Some(offer(3)))],
            PEER_TIMEOUT,
            Start::With(offer(3)),
        ),
        (
            "herd in a cut-off domain",
            vec![PlatformFailed, Peer(vm("a"), None), PeerFailed(vm("b"))],
            at(0),
            wait(NotReady::NoPeerReady),
        ),
        (
            "alone",
            vec![PlatformFailed, PeerFailed(vm("a")), PeerFailed(vm("b"))],
            at(0),
            wait(NotReady::NobodyReached),
        ),
        ("empty", vec![PlatformEmpty], at(0), wait(NotReady::Empty)),
    ];
    for (name, events, then, expected) in cases {
        let mut startup = Startup::new(&[vm("a"), vm("b")], at(0));
        for event in events {
            startup.on(event, at(0));
        }
        assert_eq!(startup.on(Tick, then), expected, "{name}");
    }
}
