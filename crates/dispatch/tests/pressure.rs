//! How many requests are refused at once while first events are late.

use dispatch::pressure::Pressure;
use std::time::Duration;

const OBJECTIVE: Duration = Duration::from_millis(400);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Share of a thousand requests that is refused.
fn refused(pressure: &Pressure, now: u64) -> f64 {
    let step = u64::MAX / 1_000;
    let count = (0..1_000)
        .filter(|draw| pressure.should_shed(draw * step, at(now)))
        .count();
    count as f64 / 1_000.0
}

/// First events every 200 ms, each this late in turn; returns when the last one came.
fn seen(pressure: &mut Pressure, waits: &[u64], count: u64) -> u64 {
    for (number, wait) in (0..count).zip(waits.iter().cycle()) {
        pressure.record(at(*wait), OBJECTIVE, at(number * 200));
    }
    count.saturating_sub(1) * 200
}

/// Queues inside the engines stand at a second while callers go on asking: all answers are late, and callers leave. On an ordinary
/// day, with one late answer in five, nobody must be refused.
#[test]
fn some_are_refused_while_most_first_events_are_late() {
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
        // One answer that never came says little.
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
        let last = seen(&mut pressure, case.waits, case.count);
        let share = refused(&pressure, last);
        assert!(
            (case.least..=case.most).contains(&share),
            "{share} after {:?}",
            case.waits
        );
    }
}

/// The queues are short again, or nothing was seen for a while: whoever comes is served.
#[test]
fn refusals_end_with_their_cause() {
    let mut pressure = Pressure::default();
    let last = seen(&mut pressure, &[2_000], 50);
    assert!(refused(&pressure, last) > 0.4);
    assert!(
        refused(&pressure, last + 10_000) < 0.05,
        "without a word for ten seconds"
    );
    for number in 1..=20 {
        pressure.record(at(150), OBJECTIVE, at(last + number * 200));
    }
    assert!(
        refused(&pressure, last + 4_000) < 0.05,
        "after twenty first events in time"
    );
}
