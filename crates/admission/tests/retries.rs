//! Retries and hedges: which are allowed, and what share of the traffic they add.

use admission::{Attempt, Failure, HedgeDecision, NoRetry, RetryBudget, RetryDecision, decide_hedge, decide_retry};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

fn attempt() -> Attempt {
    let deadline = Some(NOW + Duration::from_secs(2));
    let expected = Duration::from_secs(1);
    Attempt {
        count: 1,
        repeatable: true,
        streamed: false,
        deadline,
        expected,
        free: 0.5,
        queued: false,
    }
}

struct Case {
    name: &'static str,
    attempt: Attempt,
    failure: Failure,
    /// `None` for a retry.
    refused: Option<NoRetry>,
}

fn check(cases: &[Case]) {
    for case in cases {
        let decision = decide_retry(&case.attempt, case.failure, &mut RetryBudget::default(), NOW);
        let refused = match decision {
            RetryDecision::Retry(_) => None,
            RetryDecision::GiveUp(reason) => Some(reason),
        };
        assert_eq!(refused, case.refused, "{}", case.name);
    }
}

/// A connection breaks during a fan command. If the command were sent again it could run twice, and the fan would be
/// switched off again. Only calls that certainly have not run, or that may run twice, are retried.
#[test]
fn only_safe_attempts_are_retried() {
    let not_repeatable = Attempt {
        repeatable: false,
        ..attempt()
    };
    let full = Attempt { free: 0.0, ..attempt() };
    let late = Attempt {
        expected: Duration::from_secs(3),
        ..attempt()
    };
    let case = |name, attempt, failure, refused| Case {
        name,
        attempt,
        failure,
        refused,
    };
    check(&[
        case("repeatable, broken", attempt(), Failure::Unknown, None),
        case("repeatable, hangs", attempt(), Failure::Timeout, None),
        case(
            "not repeatable, broken",
            not_repeatable,
            Failure::Unknown,
            Some(NoRetry::NotRepeatable),
        ),
        case(
            "not repeatable, hangs",
            not_repeatable,
            Failure::Timeout,
            Some(NoRetry::NotRepeatable),
        ),
        case("not repeatable, no connection", not_repeatable, Failure::NotSent, None),
        case("not repeatable, declined", not_repeatable, Failure::Declined, None),
        case("not repeatable, full", not_repeatable, Failure::Full, None),
        case(
            "partly streamed",
            Attempt {
                streamed: true,
                ..attempt()
            },
            Failure::Unknown,
            Some(NoRetry::Streamed),
        ),
        case(
            "third failure",
            Attempt { count: 3, ..attempt() },
            Failure::NotSent,
            Some(NoRetry::Attempts),
        ),
        case("too late", late, Failure::Declined, Some(NoRetry::Deadline)),
        case(
            "no deadline",
            Attempt { deadline: None, ..late },
            Failure::Declined,
            None,
        ),
        case("broken, pool full", full, Failure::Unknown, Some(NoRetry::Overload)),
        case("full, pool full", full, Failure::Full, Some(NoRetry::Overload)),
        case("leaving, pool full", full, Failure::Declined, None),
    ]);
}

/// An attempt returns no token. A hedge is started only where it does no harm.
#[test]
fn hedges_only_where_harmless() {
    let slow = Duration::from_millis(500);
    let cases = [
        ("not slow yet", attempt(), slow / 2, HedgeDecision::Wait(slow / 2)),
        ("slow", attempt(), slow, HedgeDecision::Hedge),
        (
            "not repeatable",
            Attempt {
                repeatable: false,
                ..attempt()
            },
            slow,
            HedgeDecision::No(NoRetry::NotRepeatable),
        ),
        (
            "queue",
            Attempt {
                queued: true,
                ..attempt()
            },
            slow,
            HedgeDecision::No(NoRetry::Overload),
        ),
        (
            "nearly full",
            Attempt { free: 0.1, ..attempt() },
            slow,
            HedgeDecision::No(NoRetry::Overload),
        ),
        (
            "late",
            Attempt {
                expected: Duration::from_secs(9),
                ..attempt()
            },
            slow,
            HedgeDecision::No(NoRetry::Deadline),
        ),
    ];
    for (name, attempt, waited, decision) in cases {
        assert_eq!(
            decide_hedge(&attempt, waited, slow, &mut RetryBudget::default(), NOW),
            decision,
            "{name}"
        );
    }
}

/// All endpoints fail most requests for some time. Three attempts for each request would triple the load on endpoints
/// that fail under load. With the budget most failures are returned to the clients, and the endpoints can recover.
#[test]
fn budget_bounds_retries() {
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let mut budget = RetryBudget::default();
    let (mut requests, mut attempts, mut unbounded, mut successes) = (0, 0, 0, 0);
    for _ in 0..20_000 {
        requests += 1;
        let mut allowed = true;
        for count in 1..=3 {
            unbounded += 1;
            attempts += u32::from(allowed);
            if random.random_bool(0.2) {
                successes += u32::from(allowed);
                budget.success();
                break;
            }
            let attempt = Attempt { count, ..attempt() };
            allowed &= matches!(
                decide_retry(&attempt, Failure::Unknown, &mut budget, NOW),
                RetryDecision::Retry(_)
            );
        }
    }
    let extra = f64::from(attempts - requests) / f64::from(requests);
    assert!(
        f64::from(unbounded) > 2.0 * f64::from(requests),
        "without a budget: {unbounded} of {requests}"
    );
    assert!(
        extra > 0.01 && extra < 0.1,
        "{extra} extra attempts a request with {successes} successes"
    );
}
