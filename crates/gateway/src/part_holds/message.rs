//! Conversions between messages and what the decisions work with.

use dispatch::fatal_parts::{Answer, Changes, EndedProcess, Hold, Release, Suspect};
use peers::{
    AnswerMessage, EndedProcessMessage, HoldMessage, PartsMessage, ReleaseMessage, SuspectMessage, age_ms, time_of,
};
use std::time::Duration;

/// The message with these ends and changes.
pub(super) fn message(ends: &[EndedProcess], changes: &Changes, now: Duration) -> PartsMessage {
    let released = |release: &Release| ReleaseMessage(release.part, age_ms(release.at, now));
    let answered = |answer: &Answer| AnswerMessage(answer.part, age_ms(answer.began, now));
    PartsMessage {
        ends: ends.iter().map(|end| ended(end, now)).collect(),
        held: changes.holds().map(|held| hold(held, now)).collect(),
        released: changes.released.iter().map(released).collect(),
        answered: changes.answered.iter().map(answered).collect(),
    }
}

/// The ends in a message.
pub(super) fn ends(message: &PartsMessage, now: Duration) -> Vec<EndedProcess> {
    let suspect = |SuspectMessage(part, depth, answered): &SuspectMessage| Suspect {
        part: *part,
        depth: *depth,
        answered: answered.map(|age| time_of(age, now)),
    };
    let end = |EndedProcessMessage(process, age, suspects): &EndedProcessMessage| EndedProcess {
        process: *process,
        ended: time_of(*age, now),
        suspects: suspects.iter().map(suspect).collect(),
    };
    message.ends.iter().map(end).collect()
}

/// The decisions in a message.
pub(super) fn changes(message: &PartsMessage, now: Duration) -> Changes {
    let release = |ReleaseMessage(part, age): &ReleaseMessage| Release {
        part: *part,
        at: time_of(*age, now),
    };
    let answer = |AnswerMessage(part, age): &AnswerMessage| Answer {
        part: *part,
        began: time_of(*age, now),
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
        age_ms(hold.first_end, now),
        age_ms(hold.last_end, now),
        hold.strikes,
    )
}

pub(super) fn parse_hold(HoldMessage(part, first, last, strikes): &HoldMessage, now: Duration) -> Hold {
    Hold {
        part: *part,
        first_end: time_of(*first, now),
        last_end: time_of(*last, now),
        strikes: *strikes,
    }
}

fn ended(end: &EndedProcess, now: Duration) -> EndedProcessMessage {
    let suspect = |suspect: &Suspect| {
        let answered = suspect.answered.map(|began| age_ms(began, now));
        SuspectMessage(suspect.part, suspect.depth, answered)
    };
    let suspects = end.suspects.iter().map(suspect).collect();
    EndedProcessMessage(end.process, age_ms(end.ended, now), suspects)
}
