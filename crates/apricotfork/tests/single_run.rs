//! Calls that must not run twice, with real processes. The runners count executions.

mod support;

use std::thread;
use std::time::Duration;
use support::single_run::{
    BODY, FANS, check_key, executions, fan, fan_at, inject_into_runners, outcome, retry, site, wait_until_in_service,
};
use support::{Plan, Response, Site, fault, signal, wait_until};
use wire::platform::Fault as PlatformFault;
use wire::service::{CutAt, Fault};

/// Where the runner's connection is closed, and how often the call has run by then.
struct Cut(CutAt, u64);

// A runner's connection breaks in each part of the exchange. The client must not receive `not_run` for a command that may
// be running, or an incomplete response. No retry, at this router or another, may run the command again.
#[test]
fn no_command_runs_twice_after_a_broken_connection() {
    let site = site(2);
    let cuts = [
        Cut(CutAt::BeforeWork, 0),
        Cut(CutAt::BeforeHead, 1),
        Cut(CutAt::InHead, 1),
        Cut(CutAt::AfterHead, 1),
        Cut(CutAt::InBody, 1),
    ];
    for Cut(at, ran) in cuts {
        let key = format!("{at:?}");
        let cut = Fault {
            cut: Some(1),
            cut_at: Some(at),
            ..Fault::default()
        };
        let [first, unkeyed] = [Some(key.as_str()), None].map(|key| {
            wait_until_in_service(&site);
            inject_into_runners(&site, &cut);
            let answer = match key {
                Some(key) => fan(&site, 0, key, "first"),
                None => site.silo(0, FANS, &[], BODY).ok(),
            };
            inject_into_runners(
                &site,
                &Fault {
                    cut: Some(0),
                    ..Fault::default()
                },
            );
            assert_eq!(outcome(&answer), "endpoint_failed unknown", "{at:?} {key:?}");
            answer.expect("a refusal")
        });
        let later = retry(&site, 1, &key);
        assert_eq!(outcome(&later), "endpoint_failed unknown", "{key} again");
        check_key(&site, &key, &[Some(first), later]);
        let by_request = site.executions().by_request.get(&unkeyed.request).copied();
        assert_eq!((executions(&site, &key), by_request.unwrap_or(0)), (ran, ran), "{at:?}");
    }
}

/// A runner executes a command and answers with an error. Guards against `not_run` for it, and against a second run under its
/// key.
#[test]
fn an_error_of_a_runner_does_not_state_that_its_call_has_not_run() {
    struct Case {
        status: u16,
        /// What the client gets: the status, and whether the call ran.
        expected: (u16, Option<&'static str>),
    }
    let cases = [
        Case {
            status: 408,
            expected: (408, None),
        },
        Case {
            status: 429,
            expected: (429, None),
        },
        Case {
            status: 503,
            expected: (502, Some("unknown")),
        },
    ];
    let site = site(2);
    for Case { status, expected } in cases {
        let key = format!("status-{status}");
        let [keyed, unkeyed] = [Some(key.as_str()), None].map(|key| {
            wait_until_in_service(&site);
            let failing = |status| Fault {
                status: Some(status),
                ..Fault::default()
            };
            inject_into_runners(&site, &failing(status));
            let answer = match key {
                Some(key) => fan(&site, 0, key, "first"),
                None => site.silo(0, FANS, &[], BODY).ok(),
            };
            inject_into_runners(&site, &failing(200));
            let answer = answer.expect("a response");
            assert_eq!((u16::from(answer.status), answer.ran.as_deref()), expected, "{key:?}");
            answer
        });
        let again = retry(&site, 1, &key).expect("a response");
        assert_eq!((again.status, &again.ran), (keyed.status, &keyed.ran), "{key}");
        let by_request = site.executions().by_request.get(&unkeyed.request).copied();
        assert_eq!((executions(&site, &key), by_request), (1, Some(1)), "{key}");
    }
}

// A draining runner refuses a call and reports that it has not run it. The router must send the call to the other runner,
// where it runs once. With an `unknown` instead, the client could not retry safely.
#[test]
fn a_call_refused_by_a_draining_runner_runs_at_the_other() {
    // The router chooses which runner gets the call first.
    for draining in 0..2 {
        let site = site(2);
        let drain = Fault {
            leaving: Some(true),
            ..Fault::default()
        };
        fault(site.services[draining].address, &drain);
        for router in 0..2 {
            let key = format!("draining-{router}");
            let answers = [fan(&site, router, &key, "first"), fan(&site, 1 - router, &key, "")];
            assert!(answers.iter().all(|answer| outcome(answer) == "ok"), "{answers:?}");
            check_key(&site, &key, &answers);
            let unkeyed = site.silo(router, FANS, &[], BODY).ok();
            assert_eq!(outcome(&unkeyed), "ok", "without a key");
        }
    }
}

// A runner's response has the id of another request. If it were forwarded, a client would receive another client's
// response.
#[test]
fn a_response_to_another_request_is_never_forwarded() {
    let site = site(2);
    inject_into_runners(
        &site,
        &Fault {
            cross_answers: Some(1),
            ..Fault::default()
        },
    );
    let first = fan(&site, 0, "crossed", "first");
    assert_eq!(outcome(&first), "endpoint_failed unknown");
    check_key(&site, "crossed", &[first, retry(&site, 1, "crossed")]);
}

// A client retries at three routers at once after a timeout. The command must run once, and each router must eventually
// return the same complete response.
#[test]
fn one_key_at_three_routers_at_once_runs_once() {
    let site = site(3);
    inject_into_runners(
        &site,
        &Fault {
            work_ms: Some(100),
            ..Fault::default()
        },
    );
    for round in 0..10 {
        let key = format!("thrice-{round}");
        let mut answers: Vec<Option<Response>> = thread::scope(|scope| {
            let calls = [0, 1, 2].map(|router| {
                scope.spawn({
                    let (site, key) = (&site, &key);
                    move || fan(site, router, key, "")
                })
            });
            calls.into_iter().map(|call| call.join().expect("no panic")).collect()
        });
        assert!(
            answers
                .iter()
                .map(outcome)
                .all(|outcome| outcome == "ok" || outcome == "in_progress unknown")
        );
        answers.extend([0, 1, 2].map(|router| retry(&site, router, &key)));
        assert!(answers[3..].iter().all(|answer| outcome(answer) == "ok"));
        check_key(&site, &key, &answers);
    }
}

/// A platform fault, and the expected outcomes of a call with a key, a first attempt with a key, a call without a key and
/// an idempotent call.
struct FaultCase(PlatformFault, [&'static str; 4]);

// The platform is unreachable or slow, or its responses are lost after the write took effect. Refusals must state
// truthfully whether the call ran, calls without a claim must succeed, and a retry after the fault must run a command that
// has not run, and must not run one twice.
#[test]
fn calls_are_answered_truthfully_during_platform_faults() {
    let site = site(2);
    let cleared = PlatformFault {
        down: Some(false),
        delay_ms: Some(0),
        lose_answers: Some(0),
        ..PlatformFault::default()
    };
    let unreachable = ["claim_unavailable unknown", "claim_unavailable not_run", "ok", "ok"];
    let cases = [
        FaultCase(
            PlatformFault {
                down: Some(true),
                ..PlatformFault::default()
            },
            unreachable,
        ),
        FaultCase(
            PlatformFault {
                delay_ms: Some(1_000),
                ..PlatformFault::default()
            },
            unreachable,
        ),
        FaultCase(
            PlatformFault {
                delay_ms: Some(50),
                ..PlatformFault::default()
            },
            ["ok"; 4],
        ),
        FaultCase(
            PlatformFault {
                lose_answers: Some(1),
                ..PlatformFault::default()
            },
            ["ok"; 4],
        ),
        FaultCase(
            PlatformFault {
                lose_answers: Some(2),
                ..PlatformFault::default()
            },
            ["ok"; 4],
        ),
    ];
    for (number, FaultCase(injected, expected)) in cases.iter().enumerate() {
        let keys = [format!("later-{number}"), format!("first-{number}")];
        fault(site.platform.address, injected);
        let keyed = [fan(&site, 0, &keys[0], ""), fan(&site, 0, &keys[1], "first")];
        let others = [FANS, "/probes/1"].map(|path| site.silo(0, path, &[], BODY).ok());
        fault(site.platform.address, &cleared);
        let all: Vec<String> = keyed.iter().chain(&others).map(outcome).collect();
        assert_eq!(all, expected, "{injected:?}");
        for (key, first) in keys.iter().zip(keyed) {
            let later = retry(&site, 1, key);
            assert_eq!(
                outcome(&later),
                "ok",
                "{injected:?}: {key} can be used once the platform is back"
            );
            check_key(&site, key, &[first, later]);
        }
    }
}

// The platform's first responses to a new router's claim are lost. The router must retry instead of refusing the call.
#[test]
fn the_first_claim_of_a_router_is_retried_after_lost_responses() {
    let plan = Plan {
        engines: vec![vec![]],
        ..Plan::default()
    };
    let site = Site::start(&plan);
    let lose = PlatformFault {
        lose_answers: Some(2),
        ..PlatformFault::default()
    };
    fault(site.platform.address, &lose);
    let first = fan(&site, 0, "fresh", "first");
    assert_eq!(outcome(&first), "ok");
    check_key(&site, "fresh", &[first]);
}

/// How the router with the call is interrupted.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Interruption {
    /// Killed with SIGKILL and started again.
    Kill,
    /// Stopped for 300 ms.
    Pause,
    /// Stopped for longer than the maximum time between a claim and its send.
    LongPause,
}

/// Progress of the call at the interruption.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Stage {
    /// The claim is being written.
    Claiming,
    /// The call was sent to a stopped runner and has not run.
    Sent,
    /// The runner executes the call.
    Running,
    /// The client has its response.
    Answered,
}

/// Stage, interruption, expected outcome and expected outcome of a retry at another router. Empty if it depends on timing.
struct Case(Stage, Interruption, &'static str, &'static str);

fn interrupt(site: &mut Site, interruption: Interruption) {
    if interruption == Interruption::Kill {
        signal(&site.routers[0], "KILL");
        site.routers[0] = site.start_router(0);
        return site.wait_until_ready(0);
    }
    signal(&site.routers[0], "STOP");
    thread::sleep(Duration::from_millis(if interruption == Interruption::Pause {
        300
    } else {
        6_000
    }));
    signal(&site.routers[0], "CONT");
}

fn wait_for_stage(site: &Site, stage: Stage, key: &str) {
    match stage {
        Stage::Claiming | Stage::Sent => thread::sleep(Duration::from_millis(150)),
        Stage::Running => wait_until("the command is running", || executions(site, key) == 1),
        Stage::Answered => {}
    }
}

fn set_up_stage(site: &Site, stage: Stage) {
    let delay = if stage == Stage::Claiming { 350 } else { 0 };
    fault(
        site.platform.address,
        &PlatformFault {
            delay_ms: Some(delay),
            ..PlatformFault::default()
        },
    );
    let work = if stage == Stage::Running { 1_500 } else { 0 };
    inject_into_runners(
        site,
        &Fault {
            work_ms: Some(work),
            ..Fault::default()
        },
    );
    if stage == Stage::Sent {
        site.services.iter().for_each(|runner| signal(runner, "STOP"));
    }
}

fn check_interruption(site: &mut Site, case: &Case) {
    let Case(stage, interruption, first, later) = *case;
    let key = format!("{stage:?}-{interruption:?}");
    wait_until_in_service(site);
    set_up_stage(site, stage);
    let (to, name) = (site.routers[0].address, key.clone());
    let call = thread::spawn(move || fan_at(to, &name, "first"));
    let mut answers = Vec::new();
    if stage == Stage::Answered {
        wait_until("the client has its response", || call.is_finished());
    }
    wait_for_stage(site, stage, &key);
    interrupt(site, interruption);
    site.services.iter().for_each(|runner| signal(runner, "CONT"));
    set_up_stage(site, Stage::Answered);
    answers.push(call.join().expect("no panic"));
    assert!(first.is_empty() || outcome(&answers[0]) == first, "{key}: {answers:?}");
    let again = if interruption == Interruption::Kill {
        fan(site, 1, &key, "")
    } else {
        retry(site, 1, &key)
    };
    assert!(
        later.is_empty() || outcome(&again) == later,
        "{key}, retried: {again:?}"
    );
    answers.push(again);
    check_key(site, &key, &answers);
}

// A router dies or stops during a command, and a stopped one continues with a claim that may no longer be valid. The client
// retries at another router. The command must not run twice, and no client may receive a false `not_run`.
#[test]
fn no_command_runs_twice_if_a_router_is_killed_or_stopped() {
    let mut site = site(2);
    let running = "in_progress unknown";
    let cases = [
        Case(Stage::Claiming, Interruption::Kill, "nothing", running),
        Case(Stage::Sent, Interruption::Kill, "nothing", running),
        Case(Stage::Running, Interruption::Kill, "nothing", running),
        Case(Stage::Answered, Interruption::Kill, "ok", "ok"),
        Case(Stage::Claiming, Interruption::Pause, "ok", "ok"),
        Case(Stage::Sent, Interruption::Pause, "", ""),
        Case(Stage::Running, Interruption::Pause, "ok", "ok"),
        Case(Stage::Claiming, Interruption::LongPause, "", "ok"),
        Case(Stage::Running, Interruption::LongPause, "", ""),
    ];
    cases.iter().for_each(|case| check_interruption(&mut site, case));
}
