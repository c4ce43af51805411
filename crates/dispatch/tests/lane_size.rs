//! Sizes of the decode lane in large pools.

mod support;

use dispatch::fleet::{Backlog, BacklogSource, Fleet, LaneTokens, Prompt};
use dispatch::site::EndpointEntry;
use std::time::Duration;
use support::fleet::{at, entry, fleet, prompt, send, service};

/// Peers with 512 long answers and 474,000 prompt tokens per second of long prompts.
const LOAD: LaneTokens = LaneTokens {
    reading: 13_000_000.0,
    generating: 3_500_000.0,
    prefill_rate: 474_000.0,
    decode_rate: 0.0,
    answers: 512.0,
};

fn pool(engines: usize, slots: u32) -> Fleet {
    let entries = (0..engines).map(|at| EndpointEntry {
        slots,
        ..entry(&format!("e{at}"), 1)
    });
    let mut fleet = fleet(&entries.collect::<Vec<_>>());
    for _ in 0..9 {
        fleet.record_read(&service(), 36_700, at(1_000));
    }
    fleet
}

fn report(fleet: &mut Fleet, load: LaneTokens, now: Duration) {
    let backlog = Backlog {
        lane_tokens: vec![(service(), load)],
        ..Backlog::default()
    };
    fleet.update_backlog(BacklogSource::Upstream, backlog, now);
}

/// Size of the decode lane after a request at `now`; none if it is sized by tokens only.
fn lane_size(fleet: &mut Fleet, now: Duration) -> Option<usize> {
    let long = Prompt {
        max_output: 10,
        ..prompt(7, 8)
    };
    send(fleet, Some(&long), &[], 1, now);
    fleet.lane_statuses(now).first().map(|status| status.decode_lane)
}

/// A lane sized by prompt tokens alone has nearly all of its slots in use by long answers. One that claims a whole pool
/// leaves none for long prompts.
#[test]
fn both_lanes_get_what_their_load_needs() {
    struct Case {
        name: &'static str,
        engines: usize,
        slots: u32,
        load: LaneTokens,
        expected: Option<usize>,
    }
    let cases = [
        Case {
            name: "answers use 0.4 of the slots",
            engines: 90,
            slots: 64,
            load: LOAD,
            expected: Some(20),
        },
        Case {
            name: "peers that report tokens only",
            engines: 90,
            slots: 64,
            load: LaneTokens {
                answers: 0.0,
                prefill_rate: 0.0,
                ..LOAD
            },
            expected: Some(12),
        },
        Case {
            name: "both need more than there is",
            engines: 90,
            slots: 64,
            load: LaneTokens {
                answers: 2_304.0,
                prefill_rate: 2_312_100.0,
                ..LOAD
            },
            expected: Some(46),
        },
        Case {
            name: "wrong counts",
            engines: 90,
            slots: 64,
            load: LaneTokens {
                answers: 1e30,
                prefill_rate: 1e30,
                ..LOAD
            },
            expected: Some(46),
        },
        Case {
            name: "short prompts with long answers",
            engines: 90,
            slots: 64,
            load: LaneTokens {
                generating: 0.0,
                ..LOAD
            },
            expected: Some(20),
        },
        Case {
            name: "no long prompts",
            engines: 90,
            slots: 64,
            load: LaneTokens { reading: 0.0, ..LOAD },
            expected: Some(0),
        },
        Case {
            name: "small pool",
            engines: 15,
            slots: 64,
            load: LOAD,
            expected: None,
        },
        Case {
            name: "few slots",
            engines: 90,
            slots: 31,
            load: LOAD,
            expected: None,
        },
    ];
    for case in cases {
        let mut fleet = pool(case.engines, case.slots);
        report(&mut fleet, case.load, at(0));
        assert_eq!(lane_size(&mut fleet, at(10)), case.expected, "{}", case.name);
    }
}

/// A lane that shrinks with each lull moves prefixes back and forth. One that grows late leaves a burst without slots.
/// Without peer updates, the last known sizes must not count for ever.
#[test]
fn the_decode_lane_grows_at_once_and_shrinks_slowly() {
    let mut fleet = pool(90, 64);
    report(&mut fleet, LOAD, at(0));
    assert_eq!(lane_size(&mut fleet, at(10)), Some(20));
    let burst = LaneTokens { answers: 870.0, ..LOAD };
    report(&mut fleet, burst, at(1_000));
    assert_eq!(lane_size(&mut fleet, at(1_010)), Some(34));
    assert_eq!(lane_size(&mut fleet, at(10_990)), Some(34), "the last report is valid");
    let later = lane_size(&mut fleet, at(14_000)).expect("a large pool");
    assert!((20..34).contains(&later), "{later}");
    for second in 15..60 {
        lane_size(&mut fleet, at(second * 1_000));
    }
    let alone = lane_size(&mut fleet, at(60_000)).expect("a large pool");
    assert!((1..=12).contains(&alone), "{alone}");
}

/// A count of answers that have ended would keep the lane large, and one without those in flight would keep it small.
#[test]
fn own_requests_in_flight_count_as_long_as_they_last() {
    let mut fleet = pool(90, 64);
    let long_answer = Prompt {
        max_output: 600,
        ..prompt(7, 8)
    };
    let service = service();
    let context = support::fleet::context(&service, Some(&long_answer));
    let dispatch::fleet::Choice::Endpoint(picked) = fleet.choose(&context, 1, at(0)) else {
        panic!("no endpoint");
    };
    for _ in 0..40 {
        fleet.answer_started(&picked, at(0));
    }
    let answers = |fleet: &Fleet, now| fleet.own_backlog(now).lane_tokens[0].1.answers;
    assert!((39.0..=40.0).contains(&answers(&fleet, at(12_000))));
    for _ in 0..41 {
        fleet.answer_ended(&picked, at(12_000));
    }
    assert!((19.0..21.0).contains(&answers(&fleet, at(14_000))), "half after 2 s");
    assert!(answers(&fleet, at(40_000)) < 0.1);
}

/// The load varies by a few percent all the time. A lane that follows it moves prefixes between the lanes several times a
/// second.
#[test]
fn small_changes_of_the_load_do_not_change_the_lane() {
    let mut fleet = pool(90, 64);
    let mut sizes = Vec::new();
    for step in 0..100 {
        let answers = if step % 2 == 0 { 512.0 } else { 497.0 };
        report(&mut fleet, LaneTokens { answers, ..LOAD }, at(step * 100));
        sizes.push(lane_size(&mut fleet, at(step * 100 + 50)));
    }
    sizes.dedup();
    assert_eq!(sizes, [Some(20)]);
}
