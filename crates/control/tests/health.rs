//! Health of an endpoint after a sequence of events, and the initial configuration of a router.

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

fn report(incarnation: u64, draining: bool, own: bool, requested: u64) -> Event {
    Event::Report(Report {
        endpoint: id(),
        incarnation: Incarnation(incarnation),
        draining,
        own,
        at: at(requested),
    })
}

fn replied(incarnation: u64) -> Event {
    Event::Replied {
        endpoint: id(),
        incarnation: Some(Incarnation(incarnation)),
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
    state: HealthState,
    probed: bool,
}

/// Events arrive 100 ms apart, the first one at 100 ms.
#[test]
fn health_state_after_events() {
    use Failure::{Connection, Timeout};
    let cases = vec![
        Case {
            name: "new",
            events: vec![],
            state: HealthState::Live,
            probed: false,
        },
        Case {
            name: "not yet listed",
            events: vec![list(None)],
            state: HealthState::Live,
            probed: false,
        },
        Case {
            name: "listed as draining",
            events: vec![list(Some(Listing::Draining))],
            state: HealthState::Leaving,
            probed: false,
        },
        Case {
            name: "removed from the list",
            events: vec![list(Some(Listing::Live)), list(None)],
            state: HealthState::Leaving,
            probed: false,
        },
        Case {
            name: "reports draining while the list lags",
            events: vec![report(1, true, true, 50), list(Some(Listing::Live)), replied(1)],
            state: HealthState::Leaving,
            probed: false,
        },
        Case {
            name: "report forwarded by a peer",
            events: vec![report(1, true, false, 50)],
            state: HealthState::Leaving,
            probed: false,
        },
        Case {
            name: "one connection failure",
            events: vec![failed(Connection)],
            state: HealthState::Suspected,
            probed: true,
        },
        Case {
            name: "two connection failures",
            events: vec![list(Some(Listing::Live)), failed(Connection), failed(Connection)],
            state: HealthState::Dead,
            probed: true,
        },
        Case {
            name: "a reply between two connection failures",
            events: vec![failed(Connection), replied(1), failed(Connection)],
            state: HealthState::Suspected,
            probed: true,
        },
        Case {
            name: "timeouts only",
            events: vec![failed(Timeout); 30],
            state: HealthState::Suspected,
            probed: true,
        },
        Case {
            name: "one timeout",
            events: vec![failed(Timeout)],
            state: HealthState::Live,
            probed: false,
        },
        Case {
            name: "reply to a probe",
            events: vec![failed(Connection), failed(Connection), replied(1)],
            state: HealthState::Live,
            probed: false,
        },
        Case {
            name: "a report requested before the failure",
            events: vec![failed(Connection), failed(Connection), report(1, false, true, 150)],
            state: HealthState::Dead,
            probed: true,
        },
        Case {
            name: "still reachable for a peer",
            events: vec![failed(Connection), failed(Connection), report(1, false, false, 290)],
            state: HealthState::Dead,
            probed: true,
        },
        Case {
            name: "restarted while draining",
            events: vec![replied(1), report(1, true, true, 150), replied(2)],
            state: HealthState::Live,
            probed: false,
        },
        Case {
            name: "a late answer from the previous incarnation",
            events: vec![replied(1), report(2, true, true, 150), replied(1)],
            state: HealthState::Leaving,
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
    assert_eq!(health.state(&id()), case.state, "{}", case.name);
    assert_eq!(health.next_probe().is_some(), case.probed, "{}", case.name);
}

/// An engine restarts with an empty cache. The record of its cache must be reset exactly once.
#[test]
fn a_restart_is_reported_once() {
    let mut health = EndpointHealth::default();
    health.on(Event::Configured(vec![id()]), at(0));
    assert_eq!(health.on(replied(1), at(1)), []);
    let expected = vec![Change::Restarted {
        endpoint: id(),
        incarnation: Incarnation(2),
    }];
    assert_eq!(health.on(replied(2), at(2)), expected);
    assert_eq!(health.on(replied(1), at(3)), []);
    assert_eq!(health.on(report(2, false, true, 4), at(5)), []);
}

/// A dead endpoint that is no longer probed would never be used again; one that is probed too often costs calls.
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

/// A router restarts while one peer is stale and another is up to date. If it used the first answer, a change that was
/// in force before the restart would be reverted.
#[test]
fn a_restart_does_not_revert_the_configuration() {
    use startup::Event::{Peer, PeerFailed, Platform, PlatformEmpty, PlatformFailed, Tick};
    let vm = VmId::from;
    let wait = |reason| Start::NotReady(reason);
    let cases: Vec<(&str, Vec<startup::Event>, Duration, Start)> = vec![
        ("no answer yet", vec![], at(0), wait(NotReady::Waiting)),
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
            "platform older than a peer",
            vec![Peer(vm("a"), Some(offer(5))), Platform(offer(4))],
            at(0),
            Start::With(offer(5)),
        ),
        (
            "one peer pending",
            vec![PlatformFailed, Peer(vm("a"), Some(offer(3)))],
            at(0),
            wait(NotReady::Waiting),
        ),
        (
            "all peers answered",
            vec![
                PlatformFailed,
                Peer(vm("a"), Some(offer(3))),
                Peer(vm("b"), Some(offer(5))),
            ],
            at(0),
            Start::With(offer(5)),
        ),
        (
            "a peer does not answer in time",
            vec![PlatformFailed, Peer(vm("a"), Some(offer(3)))],
            PEER_TIMEOUT,
            Start::With(offer(3)),
        ),
        (
            "no router of an isolated domain has a configuration",
            vec![PlatformFailed, Peer(vm("a"), None), PeerFailed(vm("b"))],
            at(0),
            wait(NotReady::NoPeerReady),
        ),
        (
            "nothing reachable",
            vec![PlatformFailed, PeerFailed(vm("a")), PeerFailed(vm("b"))],
            at(0),
            wait(NotReady::NoneReachable),
        ),
        (
            "platform without configuration",
            vec![PlatformEmpty],
            at(0),
            wait(NotReady::Empty),
        ),
    ];
    for (name, events, then, expected) in cases {
        let mut startup = Startup::new(&[vm("a"), vm("b")], at(0));
        for event in events {
            startup.on(event, at(0));
        }
        assert_eq!(startup.on(Tick, then), expected, "{name}");
    }
}
