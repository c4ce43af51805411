//! Calls that may run once, with real processes: the runners count what they execute.

mod support;

use std::thread;
use std::time::Duration;
use support::single_run::{BODY, FANS, check, executions, fan, fan_at, in_service, retry, runners, site, told};
use support::{Answer, Plan, Site, fault, signal, until};
use wire::platform::Fault as PlatformFault;
use wire::service::{CutAt, Fault};

/// Where the runner's connection is cut, and how often the call has run then.
struct Cut(CutAt, u64);

// A runner's connection breaks at some byte of the exchange. The caller must never read "not run" of a fan that may
// be running, nor half an answer; and no retry, here or at another router, may start the fan again.
#[test]
fn a_connection_cut_at_each_byte_class_runs_nothing_twice() {
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
            in_service(&site);
            runners(&site, &cut);
            let answer = match key {
                Some(key) => fan(&site, 0, key, "first"),
                None => site.silo(0, FANS, &[], BODY).ok(),
            };
            runners(
                &site,
                &Fault {
                    cut: Some(0),
                    ..Fault::default()
                },
            );
            assert_eq!(told(&answer), "endpoint_failed unknown", "{at:?} {key:?}");
            answer.expect("a refusal")
        });
        let later = retry(&site, 1, &key);
        assert_eq!(told(&later), "endpoint_failed unknown", "{key} again");
        check(&site, &key, &[Some(first), later]);
        let by_request = site.executions().by_request.get(&unkeyed.request).copied();
        assert_eq!((executions(&site, &key), by_request.unwrap_or(0)), (ran, ran), "{at:?}");
    }
}

// A runner that is about to leave refuses and says that it has not run the call. The fan has to be switched by the
// other runner, still only once; a caller that read "unknown" would have to send somebody to look.
#[test]
fn a_runner_that_refuses_has_not_run_the_call() {
    // Which runner is asked first is the router's choice.
    for leaving in 0..2 {
        let site = site(2);
        let leave = Fault {
            leaving: Some(true),
            ..Fault::default()
        };
        fault(site.services[leaving].address, &leave);
        for router in 0..2 {
            let key = format!("leaving-{router}");
            let answers = [fan(&site, router, &key, "first"), fan(&site, 1 - router, &key, "")];
            assert!(answers.iter().all(|answer| told(answer) == "ok"), "{answers:?}");
            check(&site, &key, &answers);
            let unkeyed = site.silo(router, FANS, &[], BODY).ok();
            assert_eq!(told(&unkeyed), "ok", "without a key");
        }
    }
}

// An answer bears the id of another request. Passed on, it would tell one depot about another depot's fan.
#[test]
fn a_crossed_answer_is_never_passed_on() {
    let site = site(2);
    runners(
        &site,
        &Fault {
            cross_answers: Some(1),
            ..Fault::default()
        },
    );
    let first = fan(&site, 0, "crossed", "first");
    assert_eq!(told(&first), "endpoint_failed unknown");
    check(&site, "crossed", &[first, retry(&site, 1, "crossed")]);
}

// A caller that got no answer in time asks three routers at once. The fan must run once, and each of them gives the
// same whole answer in the end.
#[test]
fn one_key_at_three_routers_at_once_runs_once() {
    let site = site(3);
    runners(
        &site,
        &Fault {
            work_ms: Some(100),
            ..Fault::default()
        },
    );
    for round in 0..10 {
        let key = format!("thrice-{round}");
        let mut answers: Vec<Option<Answer>> = thread::scope(|scope| {
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
                .map(told)
                .all(|told| told == "ok" || told == "in_progress unknown")
        );
        answers.extend([0, 1, 2].map(|router| retry(&site, router, &key)));
        assert!(answers[3..].iter().all(|answer| told(answer) == "ok"));
        check(&site, &key, &answers);
    }
}

/// A state of the platform, and what a keyed, a first keyed, an unkeyed and an idempotent call are told meanwhile.
struct Trouble(PlatformFault, [&'static str; 4]);

// The platform is out, slow, or its answers are lost after the write has taken effect. Whoever is refused must be told
// the truth, what needs no claim goes on, and a retry after the trouble must neither repeat nor forget a fan command.
#[test]
fn calls_while_the_platform_is_in_trouble() {
    let site = site(2);
    let quiet = PlatformFault {
        down: Some(false),
        delay_ms: Some(0),
        lose_answers: Some(0),
        ..PlatformFault::default()
    };
    let out = ["claim_unavailable unknown", "claim_unavailable not_run", "ok", "ok"];
    let troubles = [
        Trouble(
            PlatformFault {
                down: Some(true),
                ..PlatformFault::default()
            },
            out,
        ),
        Trouble(
            PlatformFault {
                delay_ms: Some(1_000),
                ..PlatformFault::default()
            },
            out,
        ),
        Trouble(
            PlatformFault {
                delay_ms: Some(50),
                ..PlatformFault::default()
            },
            ["ok"; 4],
        ),
        Trouble(
            PlatformFault {
                lose_answers: Some(1),
                ..PlatformFault::default()
            },
            ["ok"; 4],
        ),
        Trouble(
            PlatformFault {
                lose_answers: Some(2),
                ..PlatformFault::default()
            },
            ["ok"; 4],
        ),
    ];
    for (number, Trouble(trouble, expected)) in troubles.iter().enumerate() {
        let keys = [format!("later-{number}"), format!("first-{number}")];
        fault(site.platform.address, trouble);
        let keyed = [fan(&site, 0, &keys[0], ""), fan(&site, 0, &keys[1], "first")];
        let others = [FANS, "/probes/1"].map(|path| site.silo(0, path, &[], BODY).ok());
        fault(site.platform.address, &quiet);
        let all: Vec<String> = keyed.iter().chain(&others).map(told).collect();
        assert_eq!(all, expected, "{trouble:?}");
        for (key, first) in keys.iter().zip(keyed) {
            let later = retry(&site, 1, key);
            assert_eq!(
                told(&later),
                "ok",
                "{trouble:?}: {key} can be used once the platform is back"
            );
            check(&site, key, &[first, later]);
        }
    }
}

// A router has just started, and the platform's first answer to it that concerns a claim is lost. The caller must not be
// refused for that.
#[test]
fn the_first_claim_of_a_router_survives_a_lost_answer() {
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
    assert_eq!(told(&first), "ok");
    check(&site, "fresh", &[first]);
}

/// What is done to the router that has the call.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Blow {
    /// `kill -9`; another life starts.
    Kill,
    /// Stopped for a moment.
    Pause,
    /// Stopped for longer than a claim may wait for its send.
    LongPause,
}

/// How far the call has come when it happens.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Stage {
    /// The claim's write is on its way.
    Claiming,
    /// The runner is stopped: bytes have left, and nothing has run.
    Sent,
    /// The runner has begun.
    Running,
    /// The caller has its answer.
    Answered,
}

/// Stage, blow, what the caller is told and what a retry elsewhere is told; empty where it depends on the instant.
struct Case(Stage, Blow, &'static str, &'static str);

fn strike(site: &mut Site, blow: Blow) {
    if blow == Blow::Kill {
        signal(&site.routers[0], "KILL");
        site.routers[0] = site.start_router(0);
        return site.until_ready(0);
    }
    signal(&site.routers[0], "STOP");
    thread::sleep(Duration::from_millis(if blow == Blow::Pause { 300 } else { 6_000 }));
    signal(&site.routers[0], "CONT");
}

fn reach(site: &Site, stage: Stage, key: &str) {
    match stage {
        Stage::Claiming | Stage::Sent => thread::sleep(Duration::from_millis(150)),
        Stage::Running => until("the fan is running", || executions(site, key) == 1),
        Stage::Answered => {}
    }
}

fn prepare(site: &Site, stage: Stage) {
    let delay = if stage == Stage::Claiming { 350 } else { 0 };
    fault(
        site.platform.address,
        &PlatformFault {
            delay_ms: Some(delay),
            ..PlatformFault::default()
        },
    );
    let work = if stage == Stage::Running { 1_500 } else { 0 };
    runners(
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

fn suffer(site: &mut Site, case: &Case) {
    let Case(stage, blow, first, later) = *case;
    let key = format!("{stage:?}-{blow:?}");
    in_service(site);
    prepare(site, stage);
    let (to, name) = (site.routers[0].address, key.clone());
    let call = thread::spawn(move || fan_at(to, &name, "first"));
    let mut answers = Vec::new();
    if stage == Stage::Answered {
        until("the answer is there", || call.is_finished());
    }
    reach(site, stage, &key);
    strike(site, blow);
    site.services.iter().for_each(|runner| signal(runner, "CONT"));
    prepare(site, Stage::Answered);
    answers.push(call.join().expect("no panic"));
    assert!(first.is_empty() || told(&answers[0]) == first, "{key}: {answers:?}");
    let again = if blow == Blow::Kill {
        fan(site, 1, &key, "")
    } else {
        retry(site, 1, &key)
    };
    assert!(later.is_empty() || told(&again) == later, "{key}, retried: {again:?}");
    answers.push(again);
    check(site, &key, &answers);
}

// A router dies or stops while it has a fan command, and wakes up believing that the command is still its own. The
// caller asks another router. The fan must not be switched twice, and nobody may be told "not run" falsely.
#[test]
fn a_router_killed_or_stopped_at_each_stage() {
    let mut site = site(2);
    let running = "in_progress unknown";
    let cases = [
        Case(Stage::Claiming, Blow::Kill, "nothing", running),
        Case(Stage::Sent, Blow::Kill, "nothing", running),
        Case(Stage::Running, Blow::Kill, "nothing", running),
        Case(Stage::Answered, Blow::Kill, "ok", "ok"),
        Case(Stage::Claiming, Blow::Pause, "ok", "ok"),
        Case(Stage::Sent, Blow::Pause, "", ""),
        Case(Stage::Running, Blow::Pause, "ok", "ok"),
        Case(Stage::Claiming, Blow::LongPause, "", "ok"),
        Case(Stage::Running, Blow::LongPause, "", ""),
    ];
    cases.iter().for_each(|case| suffer(&mut site, case));
}
