//! What follows a failed attempt, and whether a refusal is true.

use dispatch::attempt::{Cause, Failure, Next, Tried, Unbegun, Wait, next, patience, refusal, silence, unbegun};
use dispatch::site::RouteKind;
use lifecycle::request::RequestState;
use std::time::Duration;

const FRESH: Tried = Tried {
    sent: 1,
    unreached: 0,
    corrected: 0,
    attempts: 2,
    repeatable: false,
    left: Duration::from_millis(500),
};

/// An endpoint fails a fan command after it may have run it. Sent once more, the fan is started twice.
#[test]
fn a_call_that_may_have_run_is_repeated_only_if_it_may_run_twice() {
    struct Case {
        tried: Tried,
        failure: Failure,
        expected: Next,
    }
    let again = Tried {
        repeatable: true,
        ..FRESH
    };
    let spent = Tried { sent: 2, ..again };
    let late = Tried {
        left: Duration::from_millis(10),
        ..again
    };
    let cases = [
        Case {
            tried: FRESH,
            failure: Failure::Broken,
            expected: Next::Stop,
        },
        Case {
            tried: FRESH,
            failure: Failure::Silent,
            expected: Next::Stop,
        },
        Case {
            tried: FRESH,
            failure: Failure::Error,
            expected: Next::Stop,
        },
        Case {
            tried: FRESH,
            failure: Failure::Full,
            expected: Next::Again,
        },
        Case {
            tried: FRESH,
            failure: Failure::Declined,
            expected: Next::Again,
        },
        Case {
            tried: FRESH,
            failure: Failure::OtherWeights,
            expected: Next::Again,
        },
        Case {
            tried: FRESH,
            failure: Failure::NotSent,
            expected: Next::AgainFree,
        },
        Case {
            tried: again,
            failure: Failure::Broken,
            expected: Next::Again,
        },
        Case {
            tried: again,
            failure: Failure::Silent,
            expected: Next::Again,
        },
        Case {
            tried: again,
            failure: Failure::Error,
            expected: Next::Again,
        },
        Case {
            tried: FRESH,
            failure: Failure::Outdated,
            expected: Next::Stop,
        },
        Case {
            tried: again,
            failure: Failure::Outdated,
            expected: Next::Again,
        },
        Case {
            tried: spent,
            failure: Failure::Outdated,
            expected: Next::Stop,
        },
        Case {
            tried: spent,
            failure: Failure::Error,
            expected: Next::Stop,
        },
        Case {
            tried: spent,
            failure: Failure::Full,
            expected: Next::Stop,
        },
        Case {
            tried: spent,
            failure: Failure::NotSent,
            expected: Next::AgainFree,
        },
        Case {
            tried: Tried { unreached: 3, ..FRESH },
            failure: Failure::NotSent,
            expected: Next::Stop,
        },
        Case {
            tried: Tried { corrected: 3, ..FRESH },
            failure: Failure::OtherWeights,
            expected: Next::Stop,
        },
        Case {
            tried: late,
            failure: Failure::Broken,
            expected: Next::Stop,
        },
    ];
    for case in cases {
        assert_eq!(
            next(&case.tried, case.failure),
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
        let tried = Tried {
            sent: case.sent,
            repeatable: case.kind.repeatable(),
            left,
            ..FRESH
        };
        assert_eq!(
            patience(case.kind, &tried),
            Duration::from_millis(case.first_ms),
            "{:?}",
            case.kind
        );
        assert_eq!(
            silence(case.kind, left),
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
            expected: Wait::Over,
        },
        Case {
            shows: true,
            may_begin: false,
            left_ms: 2_000,
            expected: Wait::TakeBack,
        },
        // What the caller is told at the end of the time doesn't hang on the weights' age.
        Case {
            shows: true,
            may_begin: false,
            left_ms: 0,
            expected: Wait::Over,
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
            expected: Wait::Over,
        },
    ];
    for case in cases {
        let attempt = Unbegun {
            shows: case.shows,
            may_begin: case.may_begin,
            left: Duration::from_millis(case.left_ms),
        };
        assert_eq!(unbegun(&attempt), case.expected, "{attempt:?}");
    }
}
