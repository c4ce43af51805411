//! What is learnt from answers: how long jobs take, and how many an endpoint can run.

use admission::{EndpointLimit, Sample, ServiceModel, Tokens};
use quickcheck::{Gen, QuickCheck};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Each run tries the same cases, so that its verdict is the same.
const SEED: u64 = 10;

fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, SEED))
}

/// Least squares over all samples at once, each weighted by its age; the two the model begins with are the oldest.
fn naive_first_token(samples: Vec<(u16, u16)>, uncached: f64) -> f64 {
    let prior = [(0.0, 0.02), (2_000.0, 0.22)];
    let count = samples.len();
    let newer = |index: usize| 0.99_f64.powi((count - index) as i32);
    let seen = samples
        .into_iter()
        .enumerate()
        .map(|(index, one)| (newer(index + 1), f64::from(one.0), f64::from(one.1) / 1e3));
    let all: Vec<(f64, f64, f64)> = prior.iter().map(|one| (newer(0), one.0, one.1)).chain(seen).collect();
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
fn first_token_as_naive_least_squares() {
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
        let (ours, naive) = (
            model.first_token(uncached.into()),
            naive_first_token(samples, uncached.into()),
        );
        (ours - naive).abs() <= 1e-6 * naive.max(1.0)
    }
    seeded()
        .tests(1_000)
        .quickcheck(same as fn(Vec<(u16, u16)>, u16) -> bool);
}

/// An endpoint becomes three times slower. Were the old times kept, jobs would be admitted that cannot be in time.
#[test]
fn follows_a_slow_endpoint() {
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

/// Answers in any order must not push the limit out of its bounds: at 0 an endpoint would never be tried again, above the
/// configured slots it would get more than its operators allow.
#[test]
fn limit_stays_within_bounds() {
    let mut random = ChaCha8Rng::seed_from_u64(9);
    let (mut limit, mut slots, mut now) = (EndpointLimit::new(32), 32, Duration::ZERO);
    let mut reached = [false; 2];
    for step in 0..200_000 {
        now += Duration::from_millis(random.random_range(0..20));
        let bad = step / 20_000 % 2 == 1;
        let after = Duration::from_millis(random.random_range(50..60) * if bad { 4 } else { 1 });
        match random.random_range(0..100) {
            0 if bad => limit.observe(Sample::Full, now),
            1 if bad => limit.observe(Sample::Timeout, now),
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
    assert_eq!(reached, [true; 2], "the run did not reach both ends");
}

/// Answers an endpoint gives while it runs `running` requests, and the limit it must have afterwards.
struct Case {
    name: &'static str,
    running: u32,
    /// Milliseconds to the first token, sample by sample; 0 stands for a refusal because it is full.
    answers: Vec<u64>,
    /// Milliseconds between them.
    apart: u64,
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
            limit.observe(sample, Duration::from_millis(case.apart * index as u64));
        }
        assert!(case.limit.contains(&limit.limit()), "{}: {}", case.name, limit.limit());
    }
}

/// An endpoint that answers as ever gets more, one that is slow, full or never seen undisturbed gets less. Otherwise
/// requests queue inside it, out of reach of fairness and deadlines, or its slots stay unused.
#[test]
fn limit_follows_the_answers() {
    let case = |name, running, answers, apart, limit| Case {
        name,
        running,
        answers,
        apart,
        limit,
    };
    check(vec![
        case("new", 0, vec![], 1, 16..=16),
        case("calm and busy", 16, vec![100; 1_000], 1, 32..=32),
        case("calm and idle", 2, vec![100; 1_000], 1, 16..=16),
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

/// Prompts are shorter than a cache block for a long while, so that no answer counts an uncached token. The samples of
/// longer prompts fade until only rounding is left of them; a line through that made a token take a second, and every
/// short prompt that could not start at once was refused as overloaded, for good.
#[test]
fn short_prompts_for_ever_leave_the_model_sane() {
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

/// Engines answer within a fraction of a millisecond, and the answers differ by the scheduler's whims. Taken for a queue,
/// they brought each engine's limit down to one request, and callers were refused while engines were idle.
#[test]
fn answers_of_a_millisecond_are_no_queue() {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut limit = EndpointLimit::new(16);
    let begun = limit.limit();
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
    assert!(limit.limit() >= begun, "{} of {begun}", limit.limit());
}
