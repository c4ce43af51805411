//! Retry decisions after failed attempts, timeouts, and error responses.

use dispatch::attempt::{
    AttemptHistory, Cause, Failure, PendingAttempt, PlaceWait, ResponseStep, RetryDecision, StreamEnd, Wait,
    attempt_timeout, first_event_wait, last_resort_wait, place_wait, refusal, response_step, retry_decision,
    stream_idle_timeout,
};
use dispatch::site::RouteKind;
use lifecycle::request::RequestState;
use std::time::Duration;

const FIRST_ATTEMPT: AttemptHistory = AttemptHistory {
    sent: 1,
    connect_failures: 0,
    weight_mismatches: 0,
    max_attempts: 2,
    repeatable: false,
    remaining: Duration::from_millis(500),
};

/// An endpoint fails after it may have run a fan command. If the command were sent again, the fan would start
/// twice.
#[test]
fn a_request_that_may_have_run_is_retried_only_if_repeatable() {
    struct Case {
        history: AttemptHistory,
        failure: Failure,
        expected: RetryDecision,
    }
    let repeatable = AttemptHistory {
        repeatable: true,
        ..FIRST_ATTEMPT
    };
    let exhausted = AttemptHistory { sent: 2, ..repeatable };
    let near_deadline = AttemptHistory {
        remaining: Duration::from_millis(10),
        ..repeatable
    };
    let cases = [
        Case {
            history: FIRST_ATTEMPT,
            failure: Failure::Broken,
            expected: RetryDecision::GiveUp,
        },
        Case {
            history: FIRST_ATTEMPT,
            failure: Failure::Timeout,
            expected: RetryDecision::GiveUp,
        },
        Case {
            history: FIRST_ATTEMPT,
            failure: Failure::Error,
            expected: RetryDecision::GiveUp,
        },
        Case {
            history: FIRST_ATTEMPT,
            failure: Failure::Withheld(503),
            expected: RetryDecision::GiveUp,
        },
        Case {
            history: FIRST_ATTEMPT,
            failure: Failure::Full,
            expected: RetryDecision::Retry,
        },
        Case {
            history: FIRST_ATTEMPT,
            failure: Failure::Declined,
            expected: RetryDecision::Retry,
        },
        Case {
            history: FIRST_ATTEMPT,
            failure: Failure::OtherWeights,
            expected: RetryDecision::Retry,
        },
        Case {
            history: FIRST_ATTEMPT,
            failure: Failure::NotSent,
            expected: RetryDecision::RetryFree,
        },
        Case {
            history: repeatable,
            failure: Failure::Broken,
            expected: RetryDecision::Retry,
        },
        Case {
            history: repeatable,
            failure: Failure::Timeout,
            expected: RetryDecision::Retry,
        },
        Case {
            history: repeatable,
            failure: Failure::Error,
            expected: RetryDecision::Retry,
        },
        Case {
            history: FIRST_ATTEMPT,
            failure: Failure::Outdated,
            expected: RetryDecision::GiveUp,
        },
        Case {
            history: repeatable,
            failure: Failure::Outdated,
            expected: RetryDecision::Retry,
        },
        Case {
            history: exhausted,
            failure: Failure::Outdated,
            expected: RetryDecision::GiveUp,
        },
        Case {
            history: exhausted,
            failure: Failure::Error,
            expected: RetryDecision::GiveUp,
        },
        Case {
            history: exhausted,
            failure: Failure::Full,
            expected: RetryDecision::GiveUp,
        },
        Case {
            history: exhausted,
            failure: Failure::NotSent,
            expected: RetryDecision::RetryFree,
        },
        Case {
            history: AttemptHistory {
                connect_failures: 3,
                ..FIRST_ATTEMPT
            },
            failure: Failure::NotSent,
            expected: RetryDecision::GiveUp,
        },
        Case {
            history: AttemptHistory {
                weight_mismatches: 3,
                ..FIRST_ATTEMPT
            },
            failure: Failure::OtherWeights,
            expected: RetryDecision::GiveUp,
        },
        Case {
            history: near_deadline,
            failure: Failure::Broken,
            expected: RetryDecision::GiveUp,
        },
    ];
    for case in cases {
        assert_eq!(
            retry_decision(&case.history, case.failure),
            case.expected,
            "{:?} {:?}",
            case.history,
            case.failure
        );
    }
}

/// An endpoint runs an order and answers 503. Guards against a client that sends the order again.
#[test]
fn a_status_that_says_not_run_is_withheld_from_requests_that_run_once() {
    struct Case {
        statuses: &'static [u16],
        once: ResponseStep,
        repeatable: ResponseStep,
    }
    let cases = [
        Case {
            statuses: &[200, 204, 302, 400, 404, 409, 425, 499],
            once: ResponseStep::Forward,
            repeatable: ResponseStep::Forward,
        },
        Case {
            statuses: &[408, 421, 429],
            once: ResponseStep::Withhold,
            repeatable: ResponseStep::Forward,
        },
        Case {
            statuses: &[503],
            once: ResponseStep::Withhold,
            repeatable: ResponseStep::Retry,
        },
        Case {
            statuses: &[500, 501, 502, 504, 599],
            once: ResponseStep::Forward,
            repeatable: ResponseStep::Retry,
        },
    ];
    for case in cases {
        for &status in case.statuses {
            assert_eq!(response_step(status, false), case.once, "{status}");
            assert_eq!(response_step(status, true), case.repeatable, "{status}");
        }
    }
    let withheld = Failure::Withheld(503);
    assert!(!withheld.not_run());
    let refused = refusal(withheld.final_cause(), RequestState::Unknown);
    assert_eq!((refused.status, refused.retry_after), (502, None));
    assert_eq!(
        (withheld.name(), withheld.to_string().as_str()),
        ("withheld", "withheld_503")
    );
}

/// A client retries a request that was refused as "not run". If the request had run, it would be executed twice.
#[test]
fn only_an_unsent_request_is_refused_as_not_run() {
    let causes = [
        Cause::NotReady,
        Cause::Stale,
        Cause::NoEndpoint,
        Cause::Full,
        Cause::Overloaded,
        Cause::Backlog(Duration::from_secs(1)),
        Cause::Quarantined(Duration::from_secs(20)),
        Cause::Stopping,
        Cause::Deadline,
        Cause::EndpointFailed,
    ];
    let not_run_statuses = [408, 421, 429, 503];
    for cause in causes {
        for state in [RequestState::Unknown, RequestState::Sent, RequestState::FirstByte] {
            let response = refusal(cause, state);
            let before_sending = matches!(cause, Cause::NotReady | Cause::Stale);
            assert!(
                before_sending || !not_run_statuses.contains(&response.status),
                "{cause:?} {state:?} {response:?}"
            );
            assert!(
                before_sending || response.retry_after.is_none(),
                "{cause:?} {state:?} {response:?}"
            );
        }
    }
    for cause in [
        Cause::NotReady,
        Cause::Stale,
        Cause::NoEndpoint,
        Cause::Full,
        Cause::Overloaded,
        Cause::Backlog(Duration::from_secs(1)),
        Cause::Quarantined(Duration::from_secs(20)),
        Cause::Stopping,
    ] {
        let response = refusal(cause, RequestState::Queued);
        assert_eq!(response.status, 503, "{cause:?}");
        assert!(response.retry_after.is_some(), "{cause:?}");
    }
}

/// With the wrong status a client sends again what has run, or gives up what hasn't.
#[test]
fn a_refusal_tells_whether_the_request_may_have_run() {
    struct Case {
        cause: Cause,
        not_run: u16,
        may_have_run: u16,
    }
    let case = |cause, not_run, may_have_run| Case {
        cause,
        not_run,
        may_have_run,
    };
    let after = Duration::from_millis(900);
    let cases = [
        case(Cause::Malformed, 400, 400),
        case(Cause::Unauthorized, 401, 401),
        case(Cause::NoRoute, 404, 404),
        case(Cause::SlowClient, 408, 408),
        case(Cause::BodyTooLarge, 413, 413),
        case(Cause::OverQuota(after), 429, 429),
        case(Cause::HeadTooLarge, 431, 431),
        case(Cause::NotReady, 503, 503),
        case(Cause::Stale, 503, 503),
        case(Cause::UnknownOrigin, 503, 503),
        case(Cause::NoEndpoint, 503, 502),
        case(Cause::Full, 503, 502),
        case(Cause::Limited(after), 503, 502),
        case(Cause::NoPlace(after), 503, 502),
        case(Cause::Quarantined(after), 503, 502),
        case(Cause::Overloaded, 503, 502),
        case(Cause::Backlog(after), 503, 502),
        case(Cause::EndpointFailed, 502, 502),
        case(Cause::Deadline, 504, 504),
        case(Cause::Stopping, 503, 504),
    ];
    for case in cases {
        for state in [RequestState::Queued, RequestState::Claimed, RequestState::Refused] {
            assert_eq!(
                refusal(case.cause, state).status,
                case.not_run,
                "{:?} {state:?}",
                case.cause
            );
        }
        for state in [RequestState::Unknown, RequestState::Sent, RequestState::FirstByte] {
            assert_eq!(
                refusal(case.cause, state).status,
                case.may_have_run,
                "{:?} {state:?}",
                case.cause
            );
        }
    }
}

/// A router that has just started or lost the store must not reject clients as unauthorized: its configuration may be
/// incomplete.
#[test]
fn a_router_without_fresh_configuration_responds_with_503() {
    for cause in [Cause::NotReady, Cause::Stale] {
        assert_eq!(refusal(cause, RequestState::Queued).status, 503);
    }
}

/// An endpoint stops responding. A repeatable request is retried on another endpoint while there is time. A fan command
/// is awaited until the deadline, since it may be running.
#[test]
fn only_repeatable_requests_time_out_before_the_deadline() {
    struct Case {
        kind: RouteKind,
        sent: u32,
        response_ms: u64,
        idle_ms: u64,
    }
    let resumable = RouteKind::Stream { resumable: true };
    let not_resumable = RouteKind::Stream { resumable: false };
    let cases = [
        Case {
            kind: RouteKind::Idempotent,
            sent: 1,
            response_ms: 1_800,
            idle_ms: 1_200,
        },
        Case {
            kind: RouteKind::Idempotent,
            sent: 2,
            response_ms: 4_000,
            idle_ms: 1_200,
        },
        Case {
            kind: resumable,
            sent: 1,
            response_ms: 2_600,
            idle_ms: 1_200,
        },
        Case {
            kind: not_resumable,
            sent: 1,
            response_ms: 4_000,
            idle_ms: 4_000,
        },
        Case {
            kind: RouteKind::Once,
            sent: 1,
            response_ms: 4_000,
            idle_ms: 4_000,
        },
    ];
    let remaining = Duration::from_secs(4);
    for case in cases {
        let history = AttemptHistory {
            sent: case.sent,
            repeatable: case.kind.repeatable(),
            remaining,
            ..FIRST_ATTEMPT
        };
        assert_eq!(
            attempt_timeout(case.kind, &history),
            Duration::from_millis(case.response_ms),
            "{:?}",
            case.kind
        );
        assert_eq!(
            stream_idle_timeout(case.kind, remaining),
            Duration::from_millis(case.idle_ms),
            "{:?}",
            case.kind
        );
    }
}

/// Weights are replaced while a request waits in the queue of an engine at capacity. Without regular checks it would
/// begin after the age limit of its weights, and its client would wait for seconds for a useless response.
#[test]
fn a_wait_for_the_first_event_ends_when_weights_become_too_old() {
    struct Case {
        begin_visible: bool,
        weights_usable: bool,
        remaining_ms: u64,
        expected: Wait,
    }
    let cases = [
        Case {
            begin_visible: true,
            weights_usable: true,
            remaining_ms: 2_000,
            expected: Wait::For(Duration::from_millis(100)),
        },
        Case {
            begin_visible: true,
            weights_usable: true,
            remaining_ms: 30,
            expected: Wait::For(Duration::from_millis(30)),
        },
        Case {
            begin_visible: true,
            weights_usable: true,
            remaining_ms: 0,
            expected: Wait::TimedOut,
        },
        Case {
            begin_visible: true,
            weights_usable: false,
            remaining_ms: 2_000,
            expected: Wait::Cancel,
        },
        // After the timeout the outcome doesn't depend on the age of the weights.
        Case {
            begin_visible: true,
            weights_usable: false,
            remaining_ms: 0,
            expected: Wait::TimedOut,
        },
        // The request may have begun long ago.
        Case {
            begin_visible: false,
            weights_usable: false,
            remaining_ms: 2_000,
            expected: Wait::For(Duration::from_millis(2_000)),
        },
        Case {
            begin_visible: false,
            weights_usable: false,
            remaining_ms: 0,
            expected: Wait::TimedOut,
        },
    ];
    for case in cases {
        let attempt = PendingAttempt {
            begin_visible: case.begin_visible,
            weights_usable: case.weights_usable,
            remaining: Duration::from_millis(case.remaining_ms),
        };
        assert_eq!(first_event_wait(&attempt), case.expected, "{attempt:?}");
    }
}

/// A client takes a cut stream for an answer if its end is believed.
#[test]
fn a_stream_without_its_end_is_not_complete() {
    struct Case {
        framed: bool,
        partial: usize,
        has_events: bool,
        complete: bool,
    }
    let case = |framed, partial, has_events, complete| Case {
        framed,
        partial,
        has_events,
        complete,
    };
    let cases = [
        case(true, 0, true, true),
        case(true, 0, false, true),
        case(true, 1, true, false),
        case(true, 1, false, false),
        case(false, 0, true, true),
        case(false, 0, false, false),
        case(false, 1, true, false),
        case(false, 1, false, false),
    ];
    for case in cases {
        let end = StreamEnd {
            framed: case.framed,
            partial: case.partial,
            has_events: case.has_events,
        };
        assert_eq!(end.is_complete(), case.complete, "{end:?}");
    }
}

/// A request that would get a place too late must be refused at once, not held until its deadline.
#[test]
fn a_request_waits_for_a_place_only_if_its_turn_comes_in_time() {
    struct Case {
        turn: u64,
        ahead: u32,
        remaining: u64,
        expected: PlaceWait,
    }
    let case = |turn, ahead, remaining, expected| Case {
        turn,
        ahead,
        remaining,
        expected,
    };
    let ms = Duration::from_millis;
    let cases = [
        case(20, 0, 600, PlaceWait::Wait(ms(300))),
        case(20, 14, 600, PlaceWait::Wait(ms(300))),
        case(20, 15, 600, PlaceWait::Refuse(ms(320))),
        case(400, 0, 600, PlaceWait::Refuse(ms(400))),
        case(0, 0, 10, PlaceWait::Refuse(Duration::ZERO)),
    ];
    for case in cases {
        let decision = place_wait(ms(case.turn), case.ahead, ms(case.remaining));
        assert_eq!(decision, case.expected, "{} ms, {} ahead", case.turn, case.ahead);
    }
}

/// A refusal for want of a place must say that the request has not run, and when to come back.
#[test]
fn a_refusal_without_a_place_is_truthful() {
    let cause = Cause::NoPlace(Duration::from_millis(900));
    let refused = refusal(cause, RequestState::Queued);
    assert_eq!(
        (refused.status, refused.retry_after),
        (503, Some(Duration::from_millis(900)))
    );
    let refused = refusal(cause, RequestState::Unknown);
    assert_eq!((refused.status, refused.retry_after), (502, None));
}

/// A client that has received a part of a stream must not lose it while the endpoint may go on. Any other one can retry.
#[test]
fn requests_wait_for_silent_endpoints() {
    struct Case {
        began: bool,
        remaining: u64,
        wait: u64,
    }
    let case = |began, remaining, wait| Case { began, remaining, wait };
    let cases = [
        case(true, 2_000, 2_000),
        case(false, 2_000, 1_000),
        case(true, 0, 0),
        case(false, 0, 0),
    ];
    for case in cases {
        let wait = last_resort_wait(case.began, Duration::from_millis(case.remaining));
        assert_eq!(
            wait,
            Duration::from_millis(case.wait),
            "{} {}",
            case.began,
            case.remaining
        );
    }
}
