//! Learning from answers: slot times of jobs, and concurrency limits of endpoints.

use admission::{EndpointLimit, Sample, ServiceModel, Tokens};
use quickcheck::{Gen, QuickCheck};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Fixed seed, so that each run tests the same cases.
const SEED: u64 = 10;

fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, SEED))
}

/// Least squares over all samples at once, each weighted by its age. The two initial samples of the model are the
/// oldest.
fn naive_first_token(samples: Vec<(u16, u16)>, uncached: f64) -> f64 {
    let prior = [(0.0, 0.02), (2_000.0, 0.22)];
    let count = samples.len();
    let decay = |index: usize| 0.99_f64.powi((count - index) as i32);
    let seen = samples
        .into_iter()
        .enumerate()
        .map(|(index, one)| (decay(index + 1), f64::from(one.0), f64::from(one.1) / 1e3));
    let all: Vec<(f64, f64, f64)> = prior.iter().map(|one| (decay(0), one.0, one.1)).chain(seen).collect();
    let sum = |of: fn(&(f64, f64, f64)) -> f64| all.iter().map(|one| one.0 * of(one)).sum::<f64>();
    let (weight, x, y) = (sum(|_| 1.0), sum(|one| one.1), sum(|one| one.2));
    let (mean_x, mean_y) = (x / weight, y / weight);
    let covariance: f64 = all.iter().map(|one| one.0 * (one.1 - mean_x) * (one.2 - mean_y)).sum();
    let variance: f64 = all.iter().map(|one| one.0 * (one.1 - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    let base = mean_y - slope * mean_x;
    let line = match (slope < 0.0, base < 0.0) {
        (true, _) => mean_y,
        (false, true) => sum(|one| one.1 * one.2) / sum(|one| one.1 * one.1) * uncached,
        (false, false) => base + slope * uncached,
    };
    line.max(1e-4)
}

#[test]
fn first_token_matches_naive_least_squares() {
    fn same(samples: Vec<(u16, u16)>, uncached: u16) -> bool {
        let mut model = ServiceModel::default();
        for (tokens, millis) in samples.iter().copied() {
            let time = Duration::from_millis(millis.into());
            model.observe(
                Tokens {
                    uncached: tokens.into(),
                    output: 0,
                },
                time,
                time,
            );
        }
        let (model_seconds, naive_seconds) = (
            model.first_token(uncached.into()),
            naive_first_token(samples, uncached.into()),
        );
        (model_seconds - naive_seconds).abs() <= 1e-6 * naive_seconds.max(1.0)
    }
    seeded()
        .tests(1_000)
        .quickcheck(same as fn(Vec<(u16, u16)>, u16) -> bool);
}

/// An endpoint becomes three times slower. With the old estimates, jobs would be admitted that cannot meet their
/// deadline.
#[test]
fn estimates_follow_a_slow_endpoint() {
    let mut model = ServiceModel::default();
    let tokens = Tokens {
        uncached: 1_000,
        output: 100,
    };
    for (factor, seconds) in [(1, 1.1), (3, 3.3)] {
        for _ in 0..500 {
            let first = Duration::from_millis(100 * factor);
            model.observe(tokens, first, first + Duration::from_millis(1_000 * factor));
        }
        assert!(
            (model.seconds(tokens) - seconds).abs() < 0.05 * seconds,
            "{} for {seconds}",
            model.seconds(tokens)
        );
    }
}

/// No sequence of answers may move the limit out of its bounds. At 0 an endpoint would never be tried again; above the
/// configured slots it would get more requests than its operators allow.
#[test]
fn limit_stays_within_bounds() {
    let mut random = ChaCha8Rng::seed_from_u64(9);
    let (mut limit, mut slots, mut now) = (EndpointLimit::new(32), 32, Duration::ZERO);
    let mut reached = [false; 2];
    for step in 0..200_000 {
        now += Duration::from_millis(random.random_range(0..20));
        let degraded = step / 20_000 % 2 == 1;
        let after = Duration::from_millis(random.random_range(50..60) * if degraded { 4 } else { 1 });
        match random.random_range(0..100) {
            0 if degraded => limit.observe(Sample::Full, now),
            1 if degraded => limit.observe(Sample::Timeout, now),
            2 if step % 1_000 == 0 => {
                slots = random.random_range(1..64);
                limit.set_slots(slots);
            }
            3..50 => drop(limit.start()),
            50..70 if limit.in_flight() > 0 => limit.end(),
            _ => limit.observe(
                Sample::FirstToken {
                    after,
                    uncached: random.random_range(0..10),
                },
                now,
            ),
        }
        assert!(limit.limit() >= 1 && limit.limit() <= slots);
        assert!(limit.free() == 0 || limit.in_flight() < limit.limit());
        reached[0] |= limit.limit() == 1;
        reached[1] |= limit.limit() > 16;
    }
    assert_eq!(reached, [true; 2], "the run did not reach both bounds");
}

/// Answers of an endpoint with `running` requests, and the expected limit afterwards.
struct Case {
    name: &'static str,
    running: u32,
    /// Milliseconds to the first token of each sample; 0 is a refusal by a full endpoint.
    answers: Vec<u64>,
    /// Milliseconds between samples.
    interval: u64,
    limit: std::ops::RangeInclusive<u32>,
}

fn check(cases: Vec<Case>) {
    for case in cases {
        let mut limit = EndpointLimit::new(32);
        (0..case.running).for_each(|_| assert!(limit.start()));
        for (index, millis) in case.answers.iter().enumerate() {
            let after = Duration::from_millis(*millis);
            let sample = if after.is_zero() {
                Sample::Full
            } else {
                Sample::FirstToken { after, uncached: 500 }
            };
            limit.observe(sample, Duration::from_millis(case.interval * index as u64));
        }
        assert!(case.limit.contains(&limit.limit()), "{}: {}", case.name, limit.limit());
    }
}

/// The limit must grow while answers are as fast as usual, and shrink when an endpoint is slow, full or never
/// undisturbed. Otherwise requests queue inside the endpoint, where fairness and deadlines do not apply, or its slots
/// stay unused.
#[test]
fn limit_follows_latency_and_refusals() {
    let case = |name, running, answers, interval, limit| Case {
        name,
        running,
        answers,
        interval,
        limit,
    };
    check(vec![
        case("new", 0, vec![], 1, 16..=16),
        case("fast and busy", 16, vec![100; 1_000], 1, 32..=32),
        case("fast and idle", 2, vec![100; 1_000], 1, 16..=16),
        case(
            "four times slower",
            16,
            [vec![100; 10], vec![400; 1_000]].concat(),
            1,
            1..=6,
        ),
        case("full", 16, vec![0], 1, 11..=11),
        case("full twice at once", 16, vec![0, 0], 1, 11..=11),
        case("full twice", 16, vec![0, 0], 200, 7..=7),
        case("a new window", 2, vec![100, 100], 31_000, 12..=12),
    ]);
}

/// Only prompts shorter than a cache block arrive, so that no answer counts an uncached token. The samples of longer
/// prompts decay to rounding errors. A line fitted through those made a token take a second, and every short prompt
/// that could not start at once was refused as overloaded.
#[test]
fn estimates_stay_plausible_with_short_prompts_only() {
    let mut model = ServiceModel::default();
    let (none, short) = (
        Tokens { uncached: 0, output: 1 },
        Tokens {
            uncached: 17,
            output: 1,
        },
    );
    for answer in 0..200_000 {
        model.observe(none, Duration::from_micros(100), Duration::from_micros(150));
        assert!(
            model.seconds(short) < 0.1,
            "{} after {answer} answers",
            model.seconds(short)
        );
    }
}

/// Engines answer within a fraction of a millisecond, plus scheduling delays of some milliseconds. When these delays
/// were taken for queueing, the limit of each engine fell to one request, and clients were refused while engines were
/// idle.
#[test]
fn millisecond_jitter_does_not_shrink_the_limit() {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut limit = EndpointLimit::new(16);
    let initial = limit.limit();
    for answer in 0..20_u64 {
        let now = Duration::from_millis(answer * 10);
        for _ in 0..limit.limit() {
            limit.start();
        }
        while limit.in_flight() > 0 {
            let after = Duration::from_micros(random.random_range(100..5_000));
            limit.observe(Sample::FirstToken { after, uncached: 0 }, now);
            limit.end();
        }
    }
    assert!(limit.limit() >= initial, "{} of {initial}", limit.limit());
}
