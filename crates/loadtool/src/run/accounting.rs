//! Compares what callers were told with what the runners counted. Pure.

use super::outcome::{Attempt, Outcome};
use derive_more::Display;
use std::collections::BTreeMap;

/// At most this often a router tries an idempotent call.
const UNKNOWN_REPEATS: u64 = 4;

/// Executions as the runners counted them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counted {
    /// By idempotency key.
    pub by_key: BTreeMap<String, u64>,
    /// By request id, of calls without key.
    pub by_request: BTreeMap<String, u64>,
}

/// A promise that was broken, or a count that can't be explained.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Problem {
    /// A call that may run once ran more often.
    #[display("call {_0} ran {_1} times")]
    Doubled(usize, u64),
    /// The caller was told that it ran, and it didn't.
    #[display("call {_0} was answered and didn't run")]
    Lost(usize),
    /// The caller was told that it didn't run, and it did.
    #[display("call {_0} was refused as not run and ran {_1} times")]
    FalseNotRun(usize, u64),
    /// An answer that is not the call's own.
    #[display("call {_0} got a wrong answer: {_1}")]
    Wrong(usize, String),
    /// A call got no end at all.
    #[display("call {_0} has no outcome")]
    Unfinished(usize),
    /// Executions of keys or requests that no call explains.
    #[display("{_0} executions are no call's, {_1} can be explained by calls whose id isn't known")]
    Unexplained(u64, u64),
}

/// Checks `calls` outcomes numbered from 0 against the runners' counts.
pub fn check(outcomes: &[Outcome], calls: usize, counted: &Counted) -> Vec<Problem> {
    let mut problems = Vec::new();
    let mut explained = Counted::default();
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
    let rest = total(counted) - total(&explained);
    if rest > unknown_ids {
        problems.push(Problem::Unexplained(rest, unknown_ids));
    }
    problems
}

fn total(counted: &Counted) -> u64 {
    counted.by_key.values().sum::<u64>() + counted.by_request.values().sum::<u64>()
}

fn wrong(outcome: &Outcome) -> Option<Problem> {
    outcome.attempts.iter().find_map(|(attempt, _)| match attempt {
        Attempt::Wrong(what) => Some(Problem::Wrong(outcome.number, what.clone())),
        _ => None,
    })
}

/// How often a service call ran; none for completions. Executions found are added to `explained`, attempts that may have
/// left an execution under an id that the caller never learnt to `unknown`.
fn executions(outcome: &Outcome, counted: &Counted, explained: &mut Counted, unknown: &mut u64) -> Option<u64> {
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
            None => *unknown += if outcome.single { 1 } else { UNKNOWN_REPEATS },
        }
    }
    Some(ran)
}

fn verdict(outcome: &Outcome, ran: u64) -> Option<Problem> {
    if outcome.single && ran > 1 {
        return Some(Problem::Doubled(outcome.number, ran));
    }
    if outcome.is_whole() && ran == 0 {
        return Some(Problem::Lost(outcome.number));
    }
    if outcome.says_not_run() && ran > 0 {
        return Some(Problem::FalseNotRun(outcome.number, ran));
    }
    None
}
