//! Load shedding while first events are late.

use dispatch::pressure::Pressure;
use std::time::Duration;

const OBJECTIVE: Duration = Duration::from_millis(400);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Share of a thousand requests that is shed.
fn shed_share(pressure: &Pressure, now: u64) -> f64 {
    let step = u64::MAX / 1_000;
    let count = (0..1_000)
        .filter(|draw| pressure.should_shed(draw * step, at(now)))
        .count();
    count as f64 / 1_000.0
}

/// Records a first event every 200 ms, with the given delays in turn. Returns when the last one arrived.
fn record_waits(pressure: &mut Pressure, waits: &[u64], count: u64) -> u64 {
    for (number, wait) in (0..count).zip(waits.iter().cycle()) {
        pressure.record(at(*wait), OBJECTIVE, at(number * 200));
    }
    count.saturating_sub(1) * 200
}

/// Queues inside the engines stay at a second while clients keep sending: all answers are late, and clients give up.
/// In normal operation, with one late answer in five, no request may be shed.
#[test]
fn requests_are_shed_while_most_first_events_are_late() {
    struct Case {
        waits: &'static [u64],
        count: u64,
        least: f64,
        most: f64,
    }
    let cases = [
        Case {
            waits: &[],
            count: 0,
            least: 0.0,
            most: 0.0,
        },
        Case {
            waits: &[150, 200, 250, 180, 900],
            count: 50,
            least: 0.0,
            most: 0.0,
        },
        // A single answer that never arrived is weak evidence.
        Case {
            waits: &[2_000],
            count: 1,
            least: 0.0,
            most: 0.05,
        },
        Case {
            waits: &[600, 800, 900],
            count: 50,
            least: 0.1,
            most: 0.5,
        },
        Case {
            waits: &[1_500, 2_000],
            count: 50,
            least: 0.5,
            most: 0.5,
        },
    ];
    for case in cases {
        let mut pressure = Pressure::default();
        let last = record_waits(&mut pressure, case.waits, case.count);
        let share = shed_share(&pressure, last);
        assert!(
            (case.least..=case.most).contains(&share),
            "{share} after {:?}",
            case.waits
        );
    }
}

/// Once the queues are short again, or nothing was observed for a while, all requests are admitted.
#[test]
fn shedding_ends_with_its_cause() {
    let mut pressure = Pressure::default();
    let last = record_waits(&mut pressure, &[2_000], 50);
    assert!(shed_share(&pressure, last) > 0.4);
    assert!(
        shed_share(&pressure, last + 10_000) < 0.05,
        "after ten seconds without observations"
    );
    for number in 1..=20 {
        pressure.record(at(150), OBJECTIVE, at(last + number * 200));
    }
    assert!(
        shed_share(&pressure, last + 4_000) < 0.05,
        "after twenty first events in time"
    );
}
