//! The retry budget.

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
/// Routers of the larger deployment.
const ROUTERS: u32 = 14;

/// All endpoints fail every request while clients keep sending. Without a budget each request would be retried at once,
/// and the retries would overload the endpoints that recover.
#[test]
fn retries_are_limited_to_a_ratio_of_requests() {
    let mut meter = RetryMeter::default();
    let mut retries = 0;
    for request in 0..1_000_u64 {
        let now = Duration::from_millis(request * 10);
        meter.record_request(WINDOW, now);
        retries += u32::from(meter.try_retry(&LIMITS, now));
    }
    assert!((150..=200).contains(&retries), "{retries} of 1000 were retried");
}

/// All routers together stay within the budget, even if each of them uses only its share of the fixed allowance.
#[test]
fn idle_routers_share_the_fixed_allowance() {
    for routers in [1, ROUTERS, 125] {
        for reported in [routers, 0] {
            let limits = RetryLimits {
                routers: reported,
                ..LIMITS
            };
            let mut total = 0;
            for _ in 0..routers {
                let mut meter = RetryMeter::default();
                total += (0..200).filter(|_| meter.try_retry(&limits, Duration::ZERO)).count();
            }
            assert!(total <= 113, "{total} retries of {routers} routers without requests");
        }
    }
    let mut meter = RetryMeter::default();
    assert!(
        meter.try_retry(&LIMITS, Duration::ZERO),
        "a router without requests may not retry"
    );
}

quickcheck! {
    /// In any window the retries stay below the ratio of that window's requests plus the router's share of the allowance.
    fn no_window_exceeds_the_budget(steps: Vec<(bool, u16)>) -> bool {
        let mut meter = RetryMeter::default();
        let mut now = Duration::ZERO;
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for (retry, pause) in steps {
            now += Duration::from_millis(u64::from(pause % 700));
            if !retry {
                meter.record_request(WINDOW, now);
                requests.push(now);
            } else if meter.try_retry(&LIMITS, now) {
                retries.push(now);
            }
        }
        retries.iter().all(|end| {
            let within = |at: &&Duration, span: Duration| **at <= *end && **at + span >= *end;
            let retried = retries.iter().filter(|at| within(at, WINDOW)).count() as f64;
            // A request may also count in the previous window.
            let requested = requests.iter().filter(|at| within(at, WINDOW * 2)).count() as f64;
            retried <= LIMITS.ratio * requested + f64::from(LIMITS.extra) / f64::from(ROUTERS)
        })
    }
}
