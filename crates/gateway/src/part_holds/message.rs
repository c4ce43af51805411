//! Conversions between messages and what the decisions work with. Messages hold ages, because clocks differ.

use dispatch::fatal_parts::{Answer, Changes, EndedProcess, Hold, Release, Suspect};
use peers::{AnswerMessage, EndedProcessMessage, HoldMessage, PartsMessage, ReleaseMessage, SuspectMessage};
use std::time::Duration;

/// The message with these ends and changes.
pub(super) fn message(ends: &[EndedProcess], changes: &Changes, now: Duration) -> PartsMessage {
    let answered = |answer: &Answer| AnswerMessage(answer.part, age(answer.began, now));
    PartsMessage {
        ends: ends.iter().map(|end| ended(end, now)).collect(),
        held: changes.holds().map(|held| hold(held, now)).collect(),
        released: changes.released.iter().map(|release| released(release, now)).collect(),
        answered: changes.answered.iter().map(answered).collect(),
    }
}

/// The ends in a message.
pub(super) fn ends(message: &PartsMessage, now: Duration) -> Vec<EndedProcess> {
    let suspect = |SuspectMessage(part, depth, answered): &SuspectMessage| Suspect {
        part: *part,
        depth: *depth,
        answered: answered.map(|age| at(age, now)),
    };
    let end = |EndedProcessMessage(process, age, suspects): &EndedProcessMessage| EndedProcess {
        process: *process,
        ended: at(*age, now),
        suspects: suspects.iter().map(suspect).collect(),
    };
    message.ends.iter().map(end).collect()
}

/// The decisions in a message.
pub(super) fn changes(message: &PartsMessage, now: Duration) -> Changes {
    let release = |ReleaseMessage(part, age): &ReleaseMessage| Release {
        part: *part,
        at: at(*age, now),
    };
    let answer = |AnswerMessage(part, age): &AnswerMessage| Answer {
        part: *part,
        began: at(*age, now),
    };
    Changes {
        held: message.held.iter().map(|held| parse_hold(held, now)).collect(),
        released: message.released.iter().map(release).collect(),
        answered: message.answered.iter().map(answer).collect(),
        ..Changes::default()
    }
}

pub(super) fn hold(hold: &Hold, now: Duration) -> HoldMessage {
    HoldMessage(
        hold.part,
        age(hold.first_end, now),
        age(hold.last_end, now),
        hold.strikes,
    )
}

pub(super) fn parse_hold(HoldMessage(part, first, last, strikes): &HoldMessage, now: Duration) -> Hold {
    Hold {
        part: *part,
        first_end: at(*first, now),
        last_end: at(*last, now),
        strikes: *strikes,
    }
}

fn ended(end: &EndedProcess, now: Duration) -> EndedProcessMessage {
    let suspect = |suspect: &Suspect| {
        let answered = suspect.answered.map(|began| age(began, now));
        SuspectMessage(suspect.part, suspect.depth, answered)
    };
    let suspects = end.suspects.iter().map(suspect).collect();
    EndedProcessMessage(end.process, age(end.ended, now), suspects)
}

fn released(release: &Release, now: Duration) -> ReleaseMessage {
    ReleaseMessage(release.part, age(release.at, now))
}

fn age(at: Duration, now: Duration) -> u64 {
    now.saturating_sub(at).as_millis() as u64
}

fn at(age: u64, now: Duration) -> Duration {
    now.saturating_sub(Duration::from_millis(age))
}
