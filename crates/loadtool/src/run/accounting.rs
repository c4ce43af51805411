//! Compares the outcomes at the clients with the executions counted by the runners. Does no I/O.

use super::outcome::{Attempt, Outcome};
use derive_more::Display;
use std::collections::BTreeMap;

/// Maximum number of attempts of a router for an idempotent call.
const MAX_ROUTER_ATTEMPTS: u64 = 4;

/// Executions counted by the runners.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ExecutionCounts {
    /// By idempotency key.
    pub by_key: BTreeMap<String, u64>,
    /// By request id, of calls without key.
    pub by_request: BTreeMap<String, u64>,
}

/// A violated guarantee, or a count that no call explains.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Problem {
    /// An at-most-once call ran more than once.
    #[display("call {_0} ran {_1} times")]
    DuplicateExecution(usize, u64),
    /// The call was answered but did not run.
    #[display("call {_0} was answered and didn't run")]
    MissingExecution(usize),
    /// The call was refused as not run, but it ran.
    #[display("call {_0} was refused as not run and ran {_1} times")]
    FalseNotRun(usize, u64),
    /// The call got a wrong answer.
    #[display("call {_0} got a wrong answer: {_1}")]
    Wrong(usize, String),
    /// The call has no outcome.
    #[display("call {_0} has no outcome")]
    Unfinished(usize),
    /// Executions of keys or requests that no call explains.
    #[display("{_0} executions are no call's, {_1} can be explained by calls whose id isn't known")]
    Unexplained(u64, u64),
}

/// Checks `calls` outcomes numbered from 0 against the runners' counts.
pub fn check(outcomes: &[Outcome], calls: usize, counted: &ExecutionCounts) -> Vec<Problem> {
    let mut problems = Vec::new();
    let mut explained = ExecutionCounts::default();
    let mut unknown_ids = 0;
    let mut seen = vec![false; calls];
    for outcome in outcomes {
        if let Some(seen) = seen.get_mut(outcome.number) {
            *seen = true;
        }
        problems.extend(wrong(outcome));
        let Some(ran) = executions(outcome, counted, &mut explained, &mut unknown_ids) else {
            continue;
        };
        problems.extend(verdict(outcome, ran));
    }
    let unfinished = seen.iter().enumerate().filter(|(_, seen)| !**seen);
    problems.extend(unfinished.map(|(number, _)| Problem::Unfinished(number)));
    let unexplained = total(counted) - total(&explained);
    if unexplained > unknown_ids {
        problems.push(Problem::Unexplained(unexplained, unknown_ids));
    }
    problems
}

fn total(counted: &ExecutionCounts) -> u64 {
    counted.by_key.values().sum::<u64>() + counted.by_request.values().sum::<u64>()
}

fn wrong(outcome: &Outcome) -> Option<Problem> {
    outcome.attempts.iter().find_map(|(attempt, _)| match attempt {
        Attempt::Wrong(what) => Some(Problem::Wrong(outcome.number, what.clone())),
        _ => None,
    })
}

/// Returns how often a service call ran, or `None` for completions. Adds its executions to `explained`. Adds attempts
/// that may have run under an id unknown to the client to `unknown`.
fn executions(
    outcome: &Outcome,
    counted: &ExecutionCounts,
    explained: &mut ExecutionCounts,
    unknown: &mut u64,
) -> Option<u64> {
    if !outcome.service {
        return None;
    }
    if let Some(key) = &outcome.key {
        let ran = counted.by_key.get(key).copied().unwrap_or(0);
        explained.by_key.insert(key.clone(), ran);
        return Some(ran);
    }
    let mut ran = 0;
    for (attempt, id) in &outcome.attempts {
        match id {
            Some(id) => {
                let count = counted.by_request.get(id).copied().unwrap_or(0);
                explained.by_request.insert(id.clone(), count);
                ran += count;
            }
            None if matches!(attempt, Attempt::NotSent) => (),
            // A router may try an idempotent call at several runners.
            None => *unknown += if outcome.single { 1 } else { MAX_ROUTER_ATTEMPTS },
        }
    }
    Some(ran)
}

fn verdict(outcome: &Outcome, ran: u64) -> Option<Problem> {
    if outcome.single && ran > 1 {
        return Some(Problem::DuplicateExecution(outcome.number, ran));
    }
    if outcome.is_complete() && ran == 0 {
        return Some(Problem::MissingExecution(outcome.number));
    }
    if outcome.says_not_run() && ran > 0 {
        return Some(Problem::FalseNotRun(outcome.number, ran));
    }
    None
}
