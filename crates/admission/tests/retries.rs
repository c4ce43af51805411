//! Retries and hedges: what is allowed in each case, and how much of the traffic they become.

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
    /// None is a retry.
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

/// A connection breaks while a fan command is under way. Sent again it might run twice, and the fan would be switched off
/// again; only a call that has certainly not run, or may run twice, is sent again.
#[test]
fn what_may_be_tried_again() {
    let once = Attempt {
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
        case("once, broken", once, Failure::Unknown, Some(NoRetry::NotRepeatable)),
        case("once, hangs", once, Failure::Timeout, Some(NoRetry::NotRepeatable)),
        case("once, no connection", once, Failure::NotSent, None),
        case("once, declined", once, Failure::Declined, None),
        case("once, full", once, Failure::Full, None),
        case(
            "partly given",
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
        case("leaves, pool full", full, Failure::Declined, None),
    ]);
}

/// An attempt gives no token. A second one beside it is made only where it can do no harm.
#[test]
fn what_is_hedged() {
    let slow = Duration::from_millis(500);
    let cases = [
        ("soon", attempt(), slow / 2, HedgeDecision::Wait(slow / 2)),
        ("slow", attempt(), slow, HedgeDecision::Hedge),
        (
            "once",
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

/// All endpoints fail most requests for a while. Each request tried three times is three times the load on endpoints that
/// are failing under it; with the budget the failures stay failures and the endpoints get room to recover.
#[test]
fn budget_bounds_the_extra_load() {
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
