//! Tests of the load view: delayed reports, own placements, slow endpoints, restarts.

mod support;

use ids::Incarnation;
use placement::{EndpointKey, LoadView, Report};
use std::time::Duration;
use support::{report, secs};

const RATE: f64 = 20_000.0;
const ONE: Incarnation = Incarnation(1);

fn key(number: u64) -> EndpointKey {
    EndpointKey(number)
}

struct Case {
    name: &'static str,
    report: Option<(u64, f64)>,
    /// Tokens and times of own placements without a first token.
    placed: &'static [(u64, f64)],
    own: bool,
    queued: u64,
}

// An endpoint was idle when it reported, and the router has sent it a long prompt since. If that were not counted, the
// next requests would be sent there and wait behind it.
#[test]
fn own_placements_are_added_to_a_delayed_report() {
    let cases = [
        Case {
            name: "unknown",
            report: None,
            placed: &[],
            own: true,
            queued: 0,
        },
        Case {
            name: "own only",
            report: None,
            placed: &[(5_000, 0.9)],
            own: true,
            queued: 5_000,
        },
        Case {
            name: "newer than the report",
            report: Some((0, 0.8)),
            placed: &[(5_000, 0.9)],
            own: true,
            queued: 5_000,
        },
        Case {
            name: "in the report",
            report: Some((6_000, 0.9)),
            placed: &[(5_000, 0.8)],
            own: true,
            queued: 5_000,
        },
        Case {
            name: "both",
            report: Some((9_000, 0.9)),
            placed: &[(5_000, 0.95)],
            own: true,
            queued: 13_000,
        },
        Case {
            name: "drained",
            report: Some((9_000, 0.0)),
            placed: &[],
            own: true,
            queued: 0,
        },
        Case {
            name: "off",
            report: Some((0, 0.8)),
            placed: &[(5_000, 0.9)],
            own: false,
            queued: 0,
        },
    ];
    for case in cases {
        let mut view = LoadView::builder(RATE).own_placements(case.own).build();
        for (tokens, at) in case.placed {
            view.record_placement(key(1), ONE, *tokens, secs(*at));
        }
        if let Some((prefill, at)) = case.report {
            view.record_report(key(1), report(prefill, 1, secs(at)));
        }
        assert_eq!(view.estimate(key(1), secs(1.0)).queued, case.queued, "{}", case.name);
    }
}

#[test]
fn placement_is_queued_until_first_token_and_in_flight_until_end() {
    let mut view = LoadView::new(RATE);
    let ticket = view.record_placement(key(1), ONE, 3_000, secs(0.0));
    assert_eq!(
        (
            view.estimate(key(1), secs(0.1)).queued,
            view.estimate(key(1), secs(0.1)).in_flight
        ),
        (3_000, 1)
    );
    view.record_first_token(key(1), ticket, secs(0.2));
    assert_eq!(
        (
            view.estimate(key(1), secs(0.3)).queued,
            view.estimate(key(1), secs(0.3)).in_flight
        ),
        (0, 1)
    );
    view.record_end(key(1), ticket);
    view.record_end(key(1), ticket);
    assert_eq!(view.estimate(key(1), secs(0.4)).in_flight, 0);
}

/// Streams one answer from each of five endpoints, with these milliseconds between tokens.
fn stream(view: &mut LoadView, paces: [u64; 5], begin: Duration) {
    for (number, pace) in (1..).zip(paces) {
        let ticket = view.record_placement(key(number), ONE, 1_000, begin);
        view.record_first_token(key(number), ticket, begin);
        for piece in 1..=6u64 {
            let now = begin + Duration::from_millis(pace * 16 * piece);
            view.record_progress(key(number), ticket, 1 + 16 * piece, now);
        }
        view.record_end(key(number), ticket);
    }
}

// Co-located load slows a runner down: its tokens take five times as long. It completes little and therefore appears
// idle, and clients sent there wait several times as long. After it has recovered, it must get its share back.
#[test]
fn slow_endpoint_is_detected_and_probed() {
    let mut view = LoadView::new(RATE);
    stream(&mut view, [20, 25, 30, 35, 60], secs(0.0));
    assert!(
        (1..=5).all(|number| view.estimate(key(number), secs(6.0)).speed == 1.0),
        "normal differences between batches do not count as slow"
    );
    stream(&mut view, [20, 25, 30, 150, 30], secs(6.0));
    let slow = view.estimate(key(4), secs(21.0));
    assert!(slow.speed < 0.4 && slow.weight < 0.4, "{slow:?}");
    assert_eq!(view.estimate(key(1), secs(21.0)).speed, 1.0);
    let unobserved = view.estimate(key(4), secs(60.0));
    assert_eq!(unobserved.speed, 1.0, "without answers its estimated speed recovers");
    stream(&mut view, [20, 25, 30, 25, 30], secs(60.0));
    stream(&mut view, [20, 25, 30, 25, 30], secs(70.0));
    assert_eq!(view.estimate(key(4), secs(80.0)).speed, 1.0, "it has recovered");
}

// One endpoint is the home of more than its share, so its queue stays longer than the others'. Homes must move away
// from it, slowly because each move costs cache misses, and equally at all routers.
#[test]
fn homes_move_away_from_an_overloaded_endpoint() {
    let after = |seconds: u32, exponent: f64| {
        let mut view = LoadView::builder(RATE).weight_exponent(exponent).build();
        for half in 0..seconds * 2 {
            for number in 1..=4 {
                let requests = if number == 1 { 30 } else { 5 };
                view.record_report(key(number), report(0, requests, secs(f64::from(half) / 2.0)));
            }
        }
        (
            view.estimate(key(1), secs(f64::from(seconds))).weight,
            view.estimate(key(2), secs(f64::from(seconds))).weight,
        )
    };
    assert_eq!(after(60, 0.0), (1.0, 1.0), "off");
    let (soon, later) = (after(1, 0.7), after(120, 0.7));
    assert!(later.0 < soon.0 && soon.0 < 1.0, "{soon:?} {later:?}");
    assert!(later.0 < 0.6 && later.1 > 1.2, "{later:?}");
}

// A router starts with the pressures of another one. Damaged values must be ignored.
#[test]
fn new_router_uses_seeded_pressures() {
    let mut warm = LoadView::new(RATE);
    for half in 0..200 {
        for number in 1..=4 {
            let requests = if number == 1 { 30 } else { 5 };
            warm.record_report(key(number), report(0, requests, secs(f64::from(half) / 2.0)));
        }
    }
    let mut started = LoadView::new(RATE);
    warm.pressures()
        .for_each(|(endpoint, pressure)| started.seed_pressure(endpoint, pressure));
    for number in 1..=4 {
        let weights = [&warm, &started].map(|view| view.estimate(key(number), secs(100.0)).weight);
        assert_eq!(weights[0], weights[1]);
        for damaged in [f64::NAN, f64::INFINITY, 0.0, -1.0, 1e9] {
            let mut started = LoadView::new(RATE);
            started.seed_pressure(key(number), damaged);
            assert_eq!(started.estimate(key(number), secs(0.0)).weight, 1.0);
        }
        let before = warm.estimate(key(number), secs(100.0)).weight;
        warm.seed_pressure(key(number), 1.0);
        assert_eq!(
            warm.estimate(key(number), secs(100.0)).weight,
            before,
            "own reports take precedence"
        );
    }
}

// A runner restarts with an empty queue. Its old report must not keep work away from it.
#[test]
fn restarted_endpoint_is_idle() {
    let mut view = LoadView::new(RATE);
    view.record_report(key(1), report(90_000, 30, secs(1.0)));
    view.record_placement(key(1), ONE, 9_000, secs(1.0));
    view.record_report(
        key(1),
        Report {
            incarnation: Incarnation(2),
            ..report(0, 0, secs(2.0))
        },
    );
    let estimate = view.estimate(key(1), secs(2.0));
    assert_eq!((estimate.queued, estimate.in_flight), (0, 0));
}
