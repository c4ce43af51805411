//! How many new connections a router accepts.

use dispatch::intake::Intake;
use std::time::Duration;

/// A router that is paused for a moment must not refuse clients, one that has too much work must, and it must recover soon.
#[test]
fn connections_are_refused_while_work_waits() {
    struct Case {
        name: &'static str,
        /// Lateness of timers in milliseconds, each this often.
        timers: &'static [(u64, usize)],
        share: std::ops::RangeInclusive<f64>,
    }
    let cases = [
        Case {
            name: "idle",
            timers: &[(0, 50)],
            share: 1.0..=1.0,
        },
        Case {
            name: "paused once",
            timers: &[(0, 20), (1_500, 1), (0, 1)],
            share: 1.0..=1.0,
        },
        Case {
            name: "paused in turns",
            timers: &[(0, 6), (900, 1), (0, 1), (900, 1), (0, 1)],
            share: 1.0..=1.0,
        },
        Case {
            name: "late by little",
            timers: &[(90, 20)],
            share: 1.0..=1.0,
        },
        Case {
            name: "late for a moment",
            timers: &[(0, 20), (200, 3)],
            share: 1.0..=1.0,
        },
        Case {
            name: "late for longer",
            timers: &[(0, 20), (200, 4)],
            share: 0.2..=0.3,
        },
        Case {
            name: "too much work for long",
            timers: &[(150, 200)],
            share: 0.01..=0.05,
        },
        Case {
            name: "less work again",
            timers: &[(150, 200), (20, 26)],
            share: 1.0..=1.0,
        },
    ];
    for case in cases {
        let mut intake = Intake::default();
        for (lateness, count) in case.timers {
            (0..*count).for_each(|_| intake.record(Duration::from_millis(*lateness)));
        }
        let share = intake.share();
        assert!(case.share.contains(&share), "{}: {share}", case.name);
        let now = Duration::from_secs(1);
        assert!(intake.accepts(0.0, now), "{}", case.name);
        assert_eq!(intake.accepts(0.999, now), share >= 1.0, "{}", case.name);
        assert!(
            intake.accepts(0.999, now * 2),
            "{}: after a time without any",
            case.name
        );
    }
}
