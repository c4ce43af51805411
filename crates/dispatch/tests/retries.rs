//! The budget of attempts beyond the first.

use dispatch::retries::{RetryLimits, RetryMeter};
use quickcheck::quickcheck;
use std::time::Duration;

const WINDOW: Duration = Duration::from_secs(10);
const LIMITS: RetryLimits = RetryLimits {
    ratio: 0.2,
    extra: 113,
    window: WINDOW,
    routers: ROUTERS,
};
/// Routers of the larger of the two sites.
const ROUTERS: u32 = 14;

/// All endpoints fail every request, and callers go on asking. Without a budget each request is sent again at once, and
/// the endpoints that come back drown in it.
#[test]
fn a_router_repeats_a_share_of_its_requests() {
    let mut meter = RetryMeter::default();
    let mut again = 0;
    for request in 0..1_000_u64 {
        let now = Duration::from_millis(request * 10);
        meter.record_request(WINDOW, now);
        again += u32::from(meter.try_retry(&LIMITS, now));
    }
    assert!((150..=200).contains(&again), "{again} of 1000 were repeated");
}

/// All routers together stay within the budget, also if each of them has nothing but its part of the fixed rest.
#[test]
fn idle_routers_share_the_fixed_rest() {
    for routers in [1, ROUTERS, 125] {
        for known in [routers, 0] {
            let limits = RetryLimits {
                routers: known,
                ..LIMITS
            };
            let mut total = 0;
            for _ in 0..routers {
                let mut meter = RetryMeter::default();
                total += (0..200).filter(|_| meter.try_retry(&limits, Duration::ZERO)).count();
            }
            assert!(total <= 113, "{total} attempts of {routers} routers without a request");
        }
    }
    let mut meter = RetryMeter::default();
    assert!(
        meter.try_retry(&LIMITS, Duration::ZERO),
        "a router without requests may repeat none"
    );
}

quickcheck! {
    /// In any window the attempts stay below the share of that window's requests plus the router's part of the rest.
    fn no_window_has_more_than_the_budget(steps: Vec<(bool, u16)>) -> bool {
        let mut meter = RetryMeter::default();
        let mut now = Duration::ZERO;
        let (mut firsts, mut agains) = (Vec::new(), Vec::new());
        for (again, pause) in steps {
            now += Duration::from_millis(u64::from(pause % 700));
            if !again {
                meter.record_request(WINDOW, now);
                firsts.push(now);
            } else if meter.try_retry(&LIMITS, now) {
                agains.push(now);
            }
        }
        agains.iter().all(|end| {
            let within = |at: &&Duration, span: Duration| **at <= *end && **at + span >= *end;
            let sent = agains.iter().filter(|at| within(at, WINDOW)).count() as f64;
            // A request counts in the window before, too.
            let asked = firsts.iter().filter(|at| within(at, WINDOW * 2)).count() as f64;
            sent <= LIMITS.ratio * asked + f64::from(LIMITS.extra) / f64::from(ROUTERS)
        })
    }
}
