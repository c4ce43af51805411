//! Tests of the accounting: a missing or duplicate execution and a false refusal must be reported.

use loadtool::run::{Attempt, ExecutionCounts, Outcome, Problem, check};
use std::time::Duration;

use Attempt::{Broken, Complete, NotRun, NotSent, Unknown, Wrong};

struct Case {
    name: &'static str,
    /// Whether the call has the key `k`.
    keyed: bool,
    single: bool,
    /// Attempts, and whether the client knows the request id, which is `r`.
    attempts: Vec<(Attempt, bool)>,
    /// Executions of `k` and of `r`.
    ran: (u64, u64),
    problem: Option<Problem>,
}

fn code() -> String {
    "overloaded".to_owned()
}

fn cases() -> Vec<Case> {
    let case = |name, keyed, attempts, ran, problem| Case {
        name,
        keyed,
        single: true,
        attempts,
        ran,
        problem,
    };
    vec![
        case("ran once and answered", true, vec![(Complete, true)], (1, 0), None),
        case(
            "answered at the second attempt",
            true,
            vec![(Broken, false), (Complete, true)],
            (1, 0),
            None,
        ),
        case("ran, answer lost", true, vec![(Unknown(code()), true)], (1, 0), None),
        case(
            "didn't run, outcome unknown",
            true,
            vec![(Unknown(code()), true)],
            (0, 0),
            None,
        ),
        case(
            "refused and didn't run",
            true,
            vec![(NotRun(code()), true), (NotSent, false)],
            (0, 0),
            None,
        ),
        case(
            "ran twice",
            true,
            vec![(Broken, false), (Complete, true)],
            (2, 0),
            Some(Problem::DuplicateExecution(0, 2)),
        ),
        case(
            "answered and didn't run",
            true,
            vec![(Complete, true)],
            (0, 0),
            Some(Problem::MissingExecution(0)),
        ),
        case(
            "refused and ran",
            true,
            vec![(NotRun(code()), true)],
            (1, 0),
            Some(Problem::FalseNotRun(0, 1)),
        ),
        case("no key, ran once", false, vec![(Complete, true)], (0, 1), None),
        case(
            "no key, ran twice",
            false,
            vec![(Complete, true)],
            (0, 2),
            Some(Problem::DuplicateExecution(0, 2)),
        ),
        case("no key, no id, ran", false, vec![(Broken, false)], (0, 1), None),
        case(
            "no key, ran without a matching call",
            false,
            vec![(NotSent, false)],
            (0, 1),
            Some(Problem::Unexplained(1, 0)),
        ),
        case(
            "another call's answer",
            true,
            vec![(Wrong("x".to_owned()), true)],
            (1, 0),
            Some(Problem::Wrong(0, "x".to_owned())),
        ),
        Case {
            name: "repeatable, ran twice",
            keyed: false,
            single: false,
            attempts: vec![(Broken, false), (Complete, true)],
            ran: (0, 2),
            problem: None,
        },
    ]
}

#[test]
fn violated_guarantees_are_reported() {
    for case in cases() {
        check_case(case);
    }
}

fn check_case(case: Case) {
    let id = |known: bool| known.then(|| "r".to_owned());
    let outcome = Outcome {
        number: 0,
        key: case.keyed.then(|| "k".to_owned()),
        service: true,
        single: case.single,
        attempts: case
            .attempts
            .into_iter()
            .map(|(attempt, known)| (attempt, id(known)))
            .collect(),
        usage: None,
        duration: Duration::ZERO,
    };
    let count = |name: &str, ran: u64| (ran > 0).then(|| (name.to_owned(), ran));
    let counted = ExecutionCounts {
        by_key: count("k", case.ran.0).into_iter().collect(),
        by_request: count("r", case.ran.1).into_iter().collect(),
    };
    assert_eq!(
        check(&[outcome], 1, &counted),
        Vec::from_iter(case.problem),
        "{}",
        case.name
    );
}

// Without this check, a call that the tool lost would look like one that was never made.
#[test]
fn call_without_outcome_is_reported() {
    assert_eq!(check(&[], 1, &ExecutionCounts::default()), [Problem::Unfinished(0)]);
}
