//! Rests that endpoints ask a router for when they turn a request away.

mod support;

use dispatch::fleet::{Choice, Fleet, Prompt};
use dispatch::site::EndpointEntry;
use ids::{EndpointId, Incarnation};
use std::sync::Arc;
use std::time::Duration;
use support::fleet::{at, context, entry, fleet, prompt, service};

/// What happens at a time, in ms.
enum Step {
    /// A request is chosen an endpoint and sent there.
    Sent,
    /// No endpoint is chosen; the first may be used again after this many ms.
    HeldBack(u64),
    /// The endpoint answers the request with this number, counted from 0, and asks for this many ms of rest.
    Asks(usize, u64),
    /// The endpoint answers the request with this number without asking for rest.
    Answers(usize),
    /// A request is chosen an endpoint and not sent yet.
    Chosen,
    /// The request with this number is about to be sent, and may be or not.
    Admitted(usize, bool),
    /// The process starts again.
    Restarts,
    /// So many endpoints rest.
    Resting(usize),
}

use Step::{Admitted, Answers, Asks, Chosen, HeldBack, Restarts, Resting, Sent};

struct Case {
    name: &'static str,
    steps: &'static [(u64, Step)],
}

/// Rests of a single endpoint.
const CASES: [Case; 14] = [
    Case {
        name: "a rest ends",
        steps: &[
            (0, Sent),
            (5, Asks(0, 100)),
            (5, HeldBack(100)),
            (104, HeldBack(1)),
            (105, Sent),
        ],
    },
    Case {
        name: "no rest",
        steps: &[(0, Sent), (5, Asks(0, 0)), (5, Sent), (5, Sent)],
    },
    Case {
        name: "the longest rest",
        steps: &[
            (0, Sent),
            (0, Asks(0, u64::MAX)),
            (0, HeldBack(300_000)),
            (300_000, Sent),
        ],
    },
    Case {
        name: "a later, shorter one doesn't shorten it",
        steps: &[
            (0, Sent),
            (0, Sent),
            (5, Asks(0, 1_000)),
            (10, Asks(1, 50)),
            (70, HeldBack(935)),
        ],
    },
    Case {
        name: "a later, longer one extends it",
        steps: &[
            (0, Sent),
            (0, Sent),
            (5, Asks(0, 100)),
            (10, Asks(1, 500)),
            (200, HeldBack(310)),
        ],
    },
    Case {
        name: "a new incarnation is free",
        steps: &[(0, Sent), (5, Asks(0, 1_000)), (10, Restarts), (10, Sent), (10, Sent)],
    },
    Case {
        name: "an answer of the former incarnation concerns nobody",
        steps: &[
            (0, Sent),
            (5, Restarts),
            (10, Asks(0, 1_000)),
            (10, Sent),
            (10, Sent),
            (10, Resting(0)),
        ],
    },
    Case {
        name: "an answer to an earlier request ends nothing",
        steps: &[
            (0, Sent),
            (0, Sent),
            (5, Asks(0, 100)),
            (50, Answers(1)),
            (50, HeldBack(55)),
            (110, Sent),
            (110, HeldBack(500)),
        ],
    },
    Case {
        name: "an answer to an earlier request after the rest doesn't end the trial",
        steps: &[
            (0, Sent),
            (0, Sent),
            (5, Asks(0, 100)),
            (110, Sent),
            (120, Answers(1)),
            (120, HeldBack(490)),
        ],
    },
    Case {
        name: "one trial until it is answered",
        steps: &[
            (0, Sent),
            (0, Asks(0, 100)),
            (100, Sent),
            (110, HeldBack(490)),
            (130, Answers(1)),
            (130, Sent),
            (130, Sent),
        ],
    },
    Case {
        name: "a trial that is turned away",
        steps: &[
            (0, Sent),
            (0, Asks(0, 100)),
            (100, Sent),
            (110, Asks(1, 100)),
            (110, HeldBack(100)),
            (210, Sent),
            (211, HeldBack(499)),
        ],
    },
    Case {
        name: "a trial that vanishes",
        steps: &[
            (0, Sent),
            (0, Asks(0, 100)),
            (100, Sent),
            (599, HeldBack(1)),
            (600, Sent),
            (600, HeldBack(500)),
        ],
    },
    Case {
        name: "chosen before the rest, sent during it or later",
        steps: &[
            (0, Chosen),
            (0, Sent),
            (0, Admitted(0, true)),
            (5, Asks(1, 100)),
            (6, Admitted(0, false)),
            (150, Admitted(0, false)),
            (150, Chosen),
            (150, Admitted(2, true)),
            (150, Admitted(0, false)),
        ],
    },
    Case {
        name: "counted while it lasts",
        steps: &[
            (0, Resting(0)),
            (0, Sent),
            (0, Asks(0, 100)),
            (99, Resting(1)),
            (100, Resting(0)),
        ],
    },
];

/// Chooses an endpoint, or returns the time until one may be used.
fn choose(fleet: &mut Fleet, prompt: Option<&Prompt>, now: Duration) -> Result<Arc<EndpointEntry>, Duration> {
    let service = service();
    match fleet.choose(&context(&service, prompt), 0, now) {
        Choice::Endpoint(picked) => Ok(picked.endpoint),
        Choice::RateLimited(after) => Err(after),
        other => panic!("{other:?}"),
    }
}

#[test]
fn an_endpoint_rests_as_long_as_it_asks_for() {
    for Case { name, steps } in &CASES {
        let mut fleet = fleet(&[entry("a", 1)]);
        let mut incarnation = 1;
        let mut requests: Vec<(Arc<EndpointEntry>, Duration)> = Vec::new();
        for (number, (ms, step)) in steps.iter().enumerate() {
            let (now, place) = (at(*ms), format!("{name}, step {number}"));
            match step {
                Sent | Chosen => {
                    let entry = choose(&mut fleet, None, now).expect(&place);
                    if matches!(step, Sent) {
                        assert!(fleet.may_send(&entry, now, now), "{place}");
                    }
                    requests.push((entry, now));
                }
                HeldBack(after) => assert_eq!(choose(&mut fleet, None, now).err(), Some(at(*after)), "{place}"),
                Asks(request, rest) => {
                    let (entry, chosen_at) = &requests[*request];
                    fleet.record_rest(entry, Some(at(*rest)), *chosen_at, now);
                }
                Answers(request) => {
                    let (entry, chosen_at) = &requests[*request];
                    assert_eq!(fleet.record_rest(entry, None, *chosen_at, now), None, "{place}");
                }
                Admitted(request, expected) => {
                    let (entry, chosen_at) = &requests[*request];
                    assert_eq!(fleet.may_send(entry, *chosen_at, now), *expected, "{place}");
                }
                Restarts => {
                    incarnation += 1;
                    let mut entry = entry("a", 1);
                    entry.incarnation = Incarnation(incarnation);
                    fleet.upsert_endpoint(&Arc::new(entry), now);
                }
                Resting(count) => assert_eq!(fleet.resting_count(now), *count, "{place}"),
            }
        }
    }
}

/// While one endpoint rests, the other serves all, also the prefix that is at home at the resting one. Once both rest, a
/// request is refused until the first of them is back.
#[test]
fn others_serve_while_an_endpoint_rests() {
    let prompt = prompt(7, 1);
    for prompt in [None, Some(&prompt)] {
        let mut fleet = fleet(&[entry("a", 1), entry("b", 1)]);
        let home = choose(&mut fleet, prompt, at(0)).expect("an endpoint");
        assert_eq!(fleet.record_rest(&home, Some(at(500)), at(0), at(1)), Some(at(500)));
        let mut other = home.clone();
        for ms in 2..40 {
            other = choose(&mut fleet, prompt, at(ms)).expect("the other endpoint");
            assert_ne!(other.id, home.id);
        }
        assert_eq!(fleet.record_rest(&other, Some(at(100)), at(2), at(40)), Some(at(100)));
        assert_eq!(choose(&mut fleet, prompt, at(60)).err(), Some(at(80)));
        let back = choose(&mut fleet, prompt, at(140)).expect("the other endpoint");
        assert_eq!(back.id, other.id);
    }
}

/// An endpoint that rests and is at its rate limit is used again when both allow it.
#[test]
fn a_rest_and_a_rate_limit_hold_together() {
    let mut fleet = fleet(&[entry("a", 1)]);
    let entry = choose(&mut fleet, None, at(0)).expect("an endpoint");
    let id = EndpointId::from("a");
    fleet.record_rest(&entry, Some(at(1_000)), at(0), at(0));
    fleet.record_rate(&id, Some(0.0), at(0));
    assert_eq!(choose(&mut fleet, None, at(100)).err(), Some(at(2_000)));
    fleet.record_rate(&id, None, at(200));
    assert_eq!(choose(&mut fleet, None, at(300)).err(), Some(at(700)));
    assert!(choose(&mut fleet, None, at(1_000)).is_ok());
}
