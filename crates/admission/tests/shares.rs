//! Limits of a workspace over all routers: the bucket compared with a naive one, and routers that join, leave and are
//! partitioned.

use admission::{LimitDecision, Limits, ShareLimiter, ShareView, TokenBucket};
use quickcheck::{Gen, QuickCheck};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Fixed seed, so that each run tests the same cases.
const SEED: u64 = 11;

fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, SEED))
}

const LIMIT: u32 = 140;
const ROUTERS: usize = 14;
/// Steps a second, and seconds between exchanges of demand.
const STEPS: u64 = 100;
const EXCHANGE: u64 = 1;

/// The naive bucket holds an integer level and refills once per millisecond.
#[test]
fn bucket_matches_naive_bucket() {
    fn same(steps: Vec<(u8, u8)>, rate: u8, capacity: u8) -> bool {
        let (rate, capacity) = (i64::from(rate), i64::from(capacity) * 1_000);
        let mut bucket = TokenBucket::new(rate as f64, capacity as f64 / 1e3, Duration::ZERO);
        let (mut level, mut now) = (capacity, Duration::ZERO);
        for (elapsed, cost) in steps {
            now += Duration::from_millis(elapsed.into());
            for _ in 0..elapsed {
                level = (level + rate).min(capacity);
            }
            let free = level >= 1_000.min(capacity);
            if free != (bucket.wait(1.0, now) == Some(Duration::ZERO)) && (level - 1_000.min(capacity)).abs() > 1 {
                return false;
            }
            if free {
                bucket.charge(cost.into(), now);
                level -= i64::from(cost) * 1_000;
            }
            if (bucket.level(now) * 1e3 - level as f64).abs() > 0.01 {
                return false;
            }
        }
        true
    }
    seeded()
        .tests(500)
        .quickcheck(same as fn(Vec<(u8, u8)>, u8, u8) -> bool);
}

/// Which routers are up and connected, and where requests arrive.
struct Case {
    name: &'static str,
    /// Whether a router is up at a second.
    up: fn(u64, usize) -> bool,
    /// Whether two routers are connected at a second.
    connected: fn(u64, usize, usize) -> bool,
    /// Requests per second at a router.
    demand: fn(u64, usize) -> f64,
    /// Evaluated seconds.
    span: (u64, u64),
    /// Bounds of the granted rate, as a multiple of the limit.
    granted: (f64, f64),
}

fn check(cases: &[Case]) {
    for case in cases {
        let granted = run(case, true);
        let (least, most) = case.granted;
        assert!(
            granted >= least && granted <= most,
            "{}: {granted} times the limit",
            case.name
        );
        let unshared = run(case, false);
        assert!(
            unshared > 2.0,
            "{}: only {unshared} times the limit when each router grants all of it",
            case.name
        );
    }
}

/// Granted rate over all routers, as a multiple of the limit.
fn run(case: &Case, shared: bool) -> f64 {
    let limits = Limits {
        requests: Some(LIMIT),
        tokens: None,
    };
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let start = if shared { 1.0 / ROUTERS as f64 } else { 1.0 };
    let mut views = vec![ShareView::new(ROUTERS as u32); ROUTERS];
    let mut limiters = vec![ShareLimiter::new(limits, start, Duration::ZERO); ROUTERS];
    let mut granted = 0;
    for step in 0..case.span.1 * STEPS {
        let (second, now) = (step / STEPS, Duration::from_millis(step * 1_000 / STEPS));
        for router in (0..ROUTERS).filter(|&router| (case.up)(second, router)) {
            if shared && step % (STEPS * EXCHANGE) == 0 {
                let reachable = reachable(case, second, router);
                views[router].observe(reachable.len() as u32, None, now);
                // Demand reported by the others is a second old.
                let others: f64 = reachable
                    .iter()
                    .map(|&other| (case.demand)(second.saturating_sub(1), other))
                    .sum();
                let (own, old) = (
                    (case.demand)(second, router),
                    (case.demand)(second.saturating_sub(1), router),
                );
                if let Some(share) = views[router].share(own, others - old + own) {
                    limiters[router].set_share(share, now);
                }
            }
            let arrived = random.random_bool((case.demand)(second, router) / STEPS as f64);
            if arrived && limiters[router].try_acquire(0, now) == LimitDecision::Granted && second >= case.span.0 {
                granted += 1;
            }
        }
    }
    f64::from(granted) / (f64::from(LIMIT) * (case.span.1 - case.span.0) as f64)
}

fn reachable(case: &Case, second: u64, router: usize) -> Vec<usize> {
    let up = |other: usize| (case.up)(second, other) && (other == router || (case.connected)(second, router, other));
    (0..ROUTERS).filter(|&other| up(other)).collect()
}

/// A workspace asks each router for four times its even share. If each router granted the whole limit, the workspace
/// would get several times its limit. If shares were lost with routers, clients would be refused below the limit.
#[test]
fn shares_sum_to_the_limit() {
    let even = |_, _| 40.0;
    check(&[
        Case {
            name: "steady",
            up: |_, _| true,
            connected: |_, _, _| true,
            demand: even,
            span: (5, 60),
            granted: (0.95, 1.01),
        },
        Case {
            name: "demand moves",
            up: |_, _| true,
            connected: |_, _, _| true,
            demand: |second, router| {
                if (second / 10) as usize % 2 == router % 2 {
                    90.0
                } else {
                    0.1
                }
            },
            span: (5, 60),
            granted: (0.85, 1.1),
        },
        Case {
            name: "all become busy together",
            up: |_, _| true,
            connected: |_, _, _| true,
            demand: |second, _| if second < 10 { 0.01 } else { 95.0 },
            span: (10, 12),
            granted: (0.95, 2.1),
        },
        Case {
            name: "all at one router",
            up: |_, _| true,
            connected: |_, _, _| true,
            demand: |second, router| if second < 5 || router < 4 { 95.0 } else { 0.0 },
            span: (15, 60),
            granted: (0.9, 1.01),
        },
        Case {
            name: "six of fourteen routers leave",
            up: |second, router| second < 10 || router >= 6,
            connected: |_, _, _| true,
            demand: even,
            span: (45, 80),
            granted: (0.95, 1.01),
        },
        Case {
            name: "six are partitioned",
            up: |_, _| true,
            connected: |second, one, two| second < 10 || (one < 6) == (two < 6),
            demand: even,
            span: (45, 80),
            granted: (1.3, 1.01 + 6.0 / 14.0),
        },
        Case {
            name: "seven are partitioned from seven",
            up: |_, _| true,
            connected: |second, one, two| second < 10 || (one < 7) == (two < 7),
            demand: even,
            span: (45, 80),
            granted: (0.95, 1.01),
        },
        Case {
            name: "all restart together",
            up: |second, _| second >= 5,
            connected: |second, _, _| second >= 7,
            demand: even,
            span: (5, 20),
            granted: (0.95, 1.08),
        },
    ]);
}

/// One prompt is larger than a router's share of a small limit. A bucket that requires the whole cost up front would
/// never grant it. Granted without a debt, the workspace would get many times its tokens.
#[test]
fn large_prompts_hold_the_rate() {
    let limits = Limits {
        requests: None,
        tokens: Some(1_000),
    };
    let mut limiter = ShareLimiter::new(limits, 0.1, Duration::ZERO);
    let mut tokens = 0;
    for millis in 0..1_000_000 {
        if limiter.try_acquire(5_000, Duration::from_millis(millis)) == LimitDecision::Granted {
            tokens += 5_000;
        }
    }
    let allowed = 1_000 / 10 * 1_000;
    assert!(
        tokens >= allowed * 9 / 10 && tokens <= allowed + 5_000 + 100,
        "{tokens} of {allowed}"
    );
}
