//! What follows a failed attempt, and whether a refusal is true.

use dispatch::attempt::{
    AttemptHistory, Cause, Failure, PendingAttempt, RetryDecision, Wait, attempt_timeout, first_event_wait, refusal,
    retry_decision, stream_idle_timeout,
};
use dispatch::site::RouteKind;
use lifecycle::request::RequestState;
use std::time::Duration;

const FRESH: AttemptHistory = AttemptHistory {
    sent: 1,
    connect_failures: 0,
    weight_mismatches: 0,
    max_attempts: 2,
    repeatable: false,
    remaining: Duration::from_millis(500),
};

/// An endpoint fails a fan command after it may have run it. Sent once more, the fan is started twice.
#[test]
fn a_call_that_may_have_run_is_repeated_only_if_it_may_run_twice() {
    struct Case {
        tried: AttemptHistory,
        failure: Failure,
        expected: RetryDecision,
    }
    let again = AttemptHistory {
        repeatable: true,
        ..FRESH
    };
    let spent = AttemptHistory { sent: 2, ..again };
    let late = AttemptHistory {
        remaining: Duration::from_millis(10),
        ..again
    };
    let cases = [
        Case {
            tried: FRESH,
            failure: Failure::Broken,
            expected: RetryDecision::GiveUp,
        },
        Case {
            tried: FRESH,
            failure: Failure::Timeout,
            expected: RetryDecision::GiveUp,
        },
        Case {
            tried: FRESH,
            failure: Failure::Error,
            expected: RetryDecision::GiveUp,
        },
        Case {
            tried: FRESH,
            failure: Failure::Full,
            expected: RetryDecision::Retry,
        },
        Case {
            tried: FRESH,
            failure: Failure::Declined,
            expected: RetryDecision::Retry,
        },
        Case {
            tried: FRESH,
            failure: Failure::OtherWeights,
            expected: RetryDecision::Retry,
        },
        Case {
            tried: FRESH,
            failure: Failure::NotSent,
            expected: RetryDecision::RetryFree,
        },
        Case {
            tried: again,
            failure: Failure::Broken,
            expected: RetryDecision::Retry,
        },
        Case {
            tried: again,
            failure: Failure::Timeout,
            expected: RetryDecision::Retry,
        },
        Case {
            tried: again,
            failure: Failure::Error,
            expected: RetryDecision::Retry,
        },
        Case {
            tried: FRESH,
            failure: Failure::Outdated,
            expected: RetryDecision::GiveUp,
        },
        Case {
            tried: again,
            failure: Failure::Outdated,
            expected: RetryDecision::Retry,
        },
        Case {
            tried: spent,
            failure: Failure::Outdated,
            expected: RetryDecision::GiveUp,
        },
        Case {
            tried: spent,
            failure: Failure::Error,
            expected: RetryDecision::GiveUp,
        },
        Case {
            tried: spent,
            failure: Failure::Full,
            expected: RetryDecision::GiveUp,
        },
        Case {
            tried: spent,
            failure: Failure::NotSent,
            expected: RetryDecision::RetryFree,
        },
        Case {
            tried: AttemptHistory {
                connect_failures: 3,
                ..FRESH
            },
            failure: Failure::NotSent,
            expected: RetryDecision::GiveUp,
        },
        Case {
            tried: AttemptHistory {
                weight_mismatches: 3,
                ..FRESH
            },
            failure: Failure::OtherWeights,
            expected: RetryDecision::GiveUp,
        },
        Case {
            tried: late,
            failure: Failure::Broken,
            expected: RetryDecision::GiveUp,
        },
    ];
    for case in cases {
        assert_eq!(
            retry_decision(&case.tried, case.failure),
            case.expected,
            "{:?} {:?}",
            case.tried,
            case.failure
        );
    }
}

/// A caller that is told "not run" asks again. If the call had run, its order is doubled.
#[test]
fn only_a_request_of_which_nothing_was_sent_is_refused_as_not_run() {
    let causes = [
        Cause::NotReady,
        Cause::Stale,
        Cause::NoEndpoint,
        Cause::Full,
        Cause::Overloaded,
        Cause::Deadline,
        Cause::EndpointFailed,
    ];
    let promises = [408, 421, 429, 503];
    for cause in causes {
        for state in [RequestState::Unknown, RequestState::Sent, RequestState::FirstByte] {
            let given = refusal(cause, state);
            let early = matches!(cause, Cause::NotReady | Cause::Stale);
            assert!(
                early || !promises.contains(&given.status),
                "{cause:?} {state:?} {given:?}"
            );
            assert!(early || given.retry_after.is_none(), "{cause:?} {state:?} {given:?}");
        }
    }
    for cause in [
        Cause::NotReady,
        Cause::Stale,
        Cause::NoEndpoint,
        Cause::Full,
        Cause::Overloaded,
    ] {
        let given = refusal(cause, RequestState::Queued);
        assert_eq!(given.status, 503, "{cause:?}");
        assert!(given.retry_after.is_some(), "{cause:?}");
    }
}

/// A router that has just started or lost the store denies nobody: what it doesn't know may be allowed.
#[test]
fn a_router_that_does_not_know_says_so() {
    for cause in [Cause::NotReady, Cause::Stale] {
        assert_eq!(refusal(cause, RequestState::Queued).status, 503);
    }
}

/// An endpoint falls silent. A read is asked of another one while there is time for it; a fan command is waited for to the end, since
/// it may be running.
#[test]
fn silence_ends_only_what_may_go_on_elsewhere() {
    struct Case {
        kind: RouteKind,
        sent: u32,
        first_ms: u64,
        within_ms: u64,
    }
    let resumable = RouteKind::Stream { resumable: true };
    let note = RouteKind::Stream { resumable: false };
    let cases = [
        Case {
            kind: RouteKind::Idempotent,
            sent: 1,
            first_ms: 1_800,
            within_ms: 1_200,
        },
        Case {
            kind: RouteKind::Idempotent,
            sent: 2,
            first_ms: 4_000,
            within_ms: 1_200,
        },
        Case {
            kind: resumable,
            sent: 1,
            first_ms: 2_600,
            within_ms: 1_200,
        },
        Case {
            kind: note,
            sent: 1,
            first_ms: 4_000,
            within_ms: 4_000,
        },
        Case {
            kind: RouteKind::Once,
            sent: 1,
            first_ms: 4_000,
            within_ms: 4_000,
        },
    ];
    let left = Duration::from_secs(4);
    for case in cases {
        let tried = AttemptHistory {
            sent: case.sent,
            repeatable: case.kind.repeatable(),
            remaining: left,
            ..FRESH
        };
        assert_eq!(
            attempt_timeout(case.kind, &tried),
            Duration::from_millis(case.first_ms),
            "{:?}",
            case.kind
        );
        assert_eq!(
            stream_idle_timeout(case.kind, left),
            Duration::from_millis(case.within_ms),
            "{:?}",
            case.kind
        );
    }
}

/// Weights are replaced while a request waits in a full engine's queue. Left there it begins after the bound, and its caller has waited
/// for seconds for an answer that is worth nothing; so the wait looks again and again whether the weights are still good.
#[test]
fn a_wait_on_old_weights_ends_at_the_bound() {
    struct Case {
        shows: bool,
        may_begin: bool,
        left_ms: u64,
        expected: Wait,
    }
    let cases = [
        Case {
            shows: true,
            may_begin: true,
            left_ms: 2_000,
            expected: Wait::For(Duration::from_millis(100)),
        },
        Case {
            shows: true,
            may_begin: true,
            left_ms: 30,
            expected: Wait::For(Duration::from_millis(30)),
        },
        Case {
            shows: true,
            may_begin: true,
            left_ms: 0,
            expected: Wait::TimedOut,
        },
        Case {
            shows: true,
            may_begin: false,
            left_ms: 2_000,
            expected: Wait::Cancel,
        },
        // What the caller is told at the end of the time doesn't hang on the weights' age.
        Case {
            shows: true,
            may_begin: false,
            left_ms: 0,
            expected: Wait::TimedOut,
        },
        // It may have begun long ago.
        Case {
            shows: false,
            may_begin: false,
            left_ms: 2_000,
            expected: Wait::For(Duration::from_millis(2_000)),
        },
        Case {
            shows: false,
            may_begin: false,
            left_ms: 0,
            expected: Wait::TimedOut,
        },
    ];
    for case in cases {
        let attempt = PendingAttempt {
            begin_visible: case.shows,
            weights_usable: case.may_begin,
            remaining: Duration::from_millis(case.left_ms),
        };
        assert_eq!(first_event_wait(&attempt), case.expected, "{attempt:?}");
    }
}
