//! Which parts of prompts are kept from endpoints because others have ended under them.

use dispatch::fatal_parts::{Changes, EndedProcess, FatalParts, Hold, PartId, Release, Suspect, is_suspect_run};
use dispatch::quarantine::{ContentKey, ProcessKey};
use std::time::Duration;

const REQUEST: ContentKey = ContentKey(1);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn part(id: u64) -> PartId {
    PartId { model: 0, id }
}

fn end(process: u64, ended: u64, prompts: &[&[u64]]) -> EndedProcess {
    let suspect = |(depth, id): (usize, &u64)| Suspect {
        part: part(*id),
        depth: depth as u16,
        answered: None,
    };
    EndedProcess {
        process: ProcessKey(process),
        ended: at(ended),
        suspects: prompts
            .iter()
            .flat_map(|prompt| prompt.iter().enumerate().map(suspect))
            .collect(),
    }
}

fn held(parts: &FatalParts, now: u64) -> Vec<u64> {
    let mut held: Vec<u64> = parts.held(at(now)).iter().map(|hold| hold.part.id).collect();
    held.sort_unstable();
    held
}

/// Parts that many requests share are in every end. If each were judged by its own number of ends, sound requests would be held.
#[test]
fn the_part_that_explains_most_ends_is_held() {
    struct Case {
        name: &'static str,
        ends: Vec<EndedProcess>,
        /// Parts that were answered, and when these answers began.
        answered: Vec<(u64, u64)>,
        held: Vec<u64>,
    }
    let case = |name, ends: &[EndedProcess], answered: &[(u64, u64)], held: &[u64]| Case {
        name,
        ends: ends.to_vec(),
        answered: answered.to_vec(),
        held: held.to_vec(),
    };
    // Part 1 is shared by all, 9 is the cause, the others belong to sound requests.
    let three = [
        end(1, 1_000, &[&[1, 9], &[1, 2], &[1, 3]]),
        end(2, 2_000, &[&[1, 9], &[1, 2]]),
        end(3, 3_000, &[&[1, 9], &[1, 4]]),
    ];
    let two_causes = [
        end(1, 1_000, &[&[1, 8]]),
        end(2, 2_000, &[&[1, 9]]),
        end(3, 3_000, &[&[1, 8]]),
        end(4, 4_000, &[&[1, 9]]),
        end(5, 5_000, &[&[1, 8]]),
        end(6, 6_000, &[&[1, 9]]),
    ];
    let first = [
        end(1, 1_000, &[&[9, 5], &[1, 2]]),
        end(2, 2_000, &[&[9, 6], &[1, 2]]),
        end(3, 3_000, &[&[9, 5], &[1, 3]]),
    ];
    let deeper = [
        end(1, 1_000, &[&[1, 9, 2]]),
        end(2, 2_000, &[&[1, 9, 2]]),
        end(3, 3_000, &[&[1, 9, 2]]),
    ];
    let at_once = [1, 2, 3, 4].map(|process| end(process, 1_000 + 10 * process, &[&[1, 2]]));
    let lost_report = [
        three[0].clone(),
        three[1].clone(),
        end(3, 3_000, &[&[1, 2]]),
        end(4, 4_000, &[&[1, 9]]),
    ];
    let cases = [
        case("two ends", &three[..2], &[], &[]),
        case("three ends", &three, &[], &[9]),
        case("two causes", &two_causes, &[(1, 5_500)], &[8, 9]),
        case("the cause comes first", &first, &[], &[9]),
        case("sound requests share what follows", &deeper, &[(2, 2_500)], &[9]),
        case("many endpoints fail at the same moment", &at_once, &[], &[]),
        case("one report is lost", &lost_report, &[(1, 3_500), (2, 3_500)], &[9]),
        case("answered since", &three, &[(1, 2_500), (9, 2_500)], &[]),
        case("answered before", &three, &[(9, 900), (1, 2_500)], &[9]),
    ];
    for case in cases {
        let mut parts = FatalParts::default();
        for (id, began) in &case.answered {
            parts.record_answer(&[part(*id)], at(*began), at(*began));
        }
        for end in &case.ends {
            parts.merge_ends(std::slice::from_ref(end), end.ended);
        }
        assert_eq!(held(&parts, 10_000), case.held, "{}", case.name);
    }
}

/// A run that went on for some time after its first event did not end its process; one that waited may have.
#[test]
fn only_runs_that_were_beginning_are_suspects() {
    let cases = [
        (None, true),
        (Some(1_900), true),
        (Some(1_000), false),
        (Some(100), false),
    ];
    for (first_event, is_suspect) in cases {
        assert_eq!(
            is_suspect_run(first_event.map(at), at(2_000)),
            is_suspect,
            "{first_event:?}"
        );
    }
}

/// A request whose parts were answered since must not wait longer to learn of an end.
#[test]
fn parts_are_suspect_until_they_are_answered() {
    struct Case {
        name: &'static str,
        parts: &'static [u64],
        answered: &'static [(u64, u64)],
        is_suspect: bool,
    }
    let case = |name, parts, answered, is_suspect| Case {
        name,
        parts,
        answered,
        is_suspect,
    };
    let cases = [
        case("no end", &[2], &[], false),
        case("no parts", &[], &[], false),
        case("an end", &[1], &[], true),
        case("an end under one of the parts", &[2, 9], &[], true),
        case("answered before", &[9], &[(9, 900)], true),
        case("answered between", &[9], &[(9, 1_500)], true),
        case("answered since", &[9], &[(9, 2_500)], false),
        case("one answered since", &[1, 9], &[(9, 2_500)], true),
        case("all answered since", &[1, 9], &[(1, 2_500), (9, 2_500)], false),
    ];
    for case in cases {
        let mut parts = FatalParts::default();
        parts.merge_ends(&[end(1, 1_000, &[&[1, 9]]), end(2, 2_000, &[&[9]])], at(2_000));
        for (id, began) in case.answered {
            parts.record_answer(&[part(*id)], at(*began), at(3_000));
        }
        let request: Vec<PartId> = case.parts.iter().map(|id| part(*id)).collect();
        assert_eq!(parts.is_suspect(&request), case.is_suspect, "{}", case.name);
    }
}

/// Each router knows only the requests that it sent itself, and the lists of one end arrive one after the other.
#[test]
fn the_reports_of_one_end_are_put_together() {
    let mut parts = FatalParts::default();
    for number in 1..=3 {
        parts.merge_ends(&[end(number, 1_000 * number, &[&[1, 2]])], at(1_000 * number));
        parts.merge_ends(&[end(number, 1_000 * number + 5, &[&[1, 9]])], at(1_000 * number + 20));
    }
    assert_eq!(held(&parts, 4_000), [9]);
}

/// With more reports another part may explain the same ends. The one that was held by mistake must not stay held.
#[test]
fn a_part_is_released_once_another_explains_its_ends() {
    let mut parts = FatalParts::default();
    for number in 1..=3 {
        parts.merge_ends(&[end(number, 1_000 * number, &[&[1, 2]])], at(1_000 * number));
    }
    assert_eq!(held(&parts, 4_000), [2]);
    let late = [1, 2, 3].map(|number| end(number, 1_000 * number, &[&[1, 9]]));
    parts.merge_ends(&late, at(4_000));
    let changes = parts.merge_ends(&[end(4, 5_000, &[&[1, 9]])], at(5_000));
    assert_eq!(held(&parts, 5_000), [9]);
    assert!(changes.held.iter().any(|hold| hold.part == part(9)) || !parts.held(at(5_000)).is_empty());
}

/// If all routers let a request through when a hold is over, they end as many endpoints at the same moment.
#[test]
fn one_router_at_a_time_tries_a_held_part() {
    struct Case {
        name: &'static str,
        rank: Option<usize>,
        now: u64,
        tried: bool,
    }
    let case = |name, rank, now, tried| Case { name, rank, now, tried };
    let cases = [
        case("held", Some(0), 32_900, false),
        case("the first owner", Some(0), 33_000, true),
        case("the second owner, too early", Some(1), 34_900, false),
        case("the second owner", Some(1), 35_000, true),
        case("no owner", None, 60_000, false),
    ];
    for case in cases {
        let mut parts = FatalParts::default();
        for number in 1..=3 {
            parts.merge_ends(&[end(number, 1_000 * number, &[&[1, 9]])], at(1_000 * number));
        }
        let request = [part(1), part(9)];
        let remaining = parts.remaining(&request, REQUEST, |_| case.rank, at(case.now));
        assert_eq!(remaining.is_none(), case.tried, "{}", case.name);
        let another = parts.remaining(&request, ContentKey(2), |_| case.rank, at(case.now));
        assert!(another.is_some(), "{}: a second request", case.name);
        let again = parts.remaining(&request, REQUEST, |_| case.rank, at(case.now + 50));
        assert_eq!(again.is_none(), case.tried, "{}: the same request", case.name);
        let sound = parts.remaining(&[part(1), part(2)], ContentKey(3), |_| case.rank, at(case.now));
        assert_eq!(sound, None, "{}: a sound request", case.name);
    }
}

/// A trial that ends an endpoint extends the hold, for all routers.
#[test]
fn an_end_under_a_trial_doubles_the_hold() {
    let mut parts = FatalParts::default();
    let mut told = FatalParts::default();
    for number in 1..=3 {
        let changes = parts.merge_ends(&[end(number, 1_000 * number, &[&[1, 9]])], at(1_000 * number));
        told.merge(&changes, at(1_000 * number));
    }
    assert_eq!(parts.remaining(&[part(9)], REQUEST, |_| Some(0), at(33_000)), None);
    let changes = parts.merge_ends(&[end(4, 33_100, &[&[1, 9]])], at(33_100));
    assert_eq!(changes.extended.len(), 1);
    told.merge(&changes, at(33_100));
    for parts in [&mut parts, &mut told] {
        let remaining = parts.remaining(&[part(9)], REQUEST, |_| Some(0), at(33_100));
        assert_eq!(remaining, Some(at(60_000)));
    }
}

/// A part that ends every endpoint is never answered, so an answer releases it at all routers, and repeated messages about
/// the time before don't hold it again.
#[test]
fn an_answer_releases_a_part() {
    let hold = Hold {
        part: part(9),
        first_end: at(1_000),
        last_end: at(3_000),
        strikes: 0,
    };
    let told = Changes {
        held: vec![hold],
        ..Changes::default()
    };
    let mut parts = FatalParts::default();
    assert_eq!(parts.merge(&told, at(3_050)), told);
    assert_eq!(parts.merge(&told, at(3_060)), Changes::default(), "nothing new");
    assert_eq!(
        parts.record_answer(&[part(9)], at(900), at(3_100)),
        Changes::default(),
        "began before"
    );
    let released = parts.record_answer(&[part(1), part(9)], at(33_000), at(33_200));
    let release = Release {
        part: part(9),
        at: at(33_200),
    };
    assert_eq!(released.released, [release]);
    assert_eq!(parts.merge(&told, at(33_300)), Changes::default());
    assert_eq!(held(&parts, 33_300), [] as [u64; 0]);

    let mut other = FatalParts::default();
    other.merge(&told, at(3_050));
    assert_eq!(other.merge(&released, at(33_250)), released);
    assert_eq!(held(&other, 33_300), [] as [u64; 0]);
}

/// Logs tell when a part begins to be held and when it is released. Later ends, and releases from several routers, would repeat it.
#[test]
fn a_part_begins_to_be_held_and_is_released_once() {
    let ids = |holds: &[Hold]| -> Vec<u64> { holds.iter().map(|hold| hold.part.id).collect() };
    let mut parts = FatalParts::default();
    let mut told = FatalParts::default();
    let expected: [(&[u64], &[u64]); 5] = [(&[], &[]), (&[], &[]), (&[9], &[]), (&[], &[9]), (&[], &[9])];
    for (number, (held, extended)) in (1..).zip(expected) {
        let now = at(2_000 * number);
        let changes = parts.merge_ends(&[end(number, 2_000 * number, &[&[1, 9]])], now);
        assert_eq!(ids(&changes.held), held, "end {number}");
        assert_eq!(ids(&changes.extended), extended, "end {number}");
        assert_eq!(told.merge(&changes, now), changes, "end {number}, told");
    }
    let release = |at| Changes {
        released: vec![Release { part: part(9), at }],
        ..Changes::default()
    };
    for parts in [&mut parts, &mut told] {
        let first = release(at(33_200));
        assert_eq!(parts.merge(&first, at(33_250)), first);
        assert_eq!(parts.merge(&release(at(35_000)), at(35_050)), Changes::default());
    }
}

/// An answer rules out the ends before it at all routers, so a single end afterwards must not hold the part again.
#[test]
fn a_told_answer_rules_out_the_ends_before_it() {
    struct Case {
        name: &'static str,
        /// Times of the ends after the release.
        later: Vec<u64>,
        held: Vec<u64>,
    }
    let case = |name, later: &[u64], held: &[u64]| Case {
        name,
        later: later.to_vec(),
        held: held.to_vec(),
    };
    let cases = [
        case("one end", &[40_000], &[]),
        case("two ends", &[40_000, 41_000], &[]),
        case("three ends", &[40_000, 41_000, 42_000], &[9]),
    ];
    for case in cases {
        let mut counting = FatalParts::default();
        let mut answered = FatalParts::default();
        for number in 1..=3 {
            let changes = counting.merge_ends(&[end(number, 1_000 * number, &[&[1, 9]])], at(1_000 * number));
            answered.merge(&changes, at(1_000 * number));
        }
        let changes = answered.record_answer(&[part(1), part(9)], at(33_000), at(33_200));
        counting.merge(&changes, at(33_250));
        assert_eq!(held(&counting, 33_250), [] as [u64; 0], "{}", case.name);
        for (number, ended) in case.later.iter().enumerate() {
            counting.merge_ends(&[end(4 + number as u64, *ended, &[&[1, 9]])], at(*ended));
        }
        assert_eq!(held(&counting, 43_000), case.held, "{}", case.name);
    }
}

/// A better explanation says nothing of the ends, nor does an older router.
#[test]
fn a_told_release_without_an_answer_rules_out_no_ends() {
    let mut parts = FatalParts::default();
    for number in 1..=3 {
        parts.merge_ends(&[end(number, 1_000 * number, &[&[1, 9]])], at(1_000 * number));
    }
    let release = Release {
        part: part(9),
        at: at(33_200),
    };
    let told = Changes {
        released: vec![release],
        ..Changes::default()
    };
    parts.merge(&told, at(33_250));
    assert_eq!(held(&parts, 33_250), [] as [u64; 0]);
    parts.merge_ends(&[end(4, 40_000, &[&[1, 9]])], at(40_000));
    assert_eq!(held(&parts, 40_000), [9]);
}

/// Callers choose the parts of their prompts, so they must not fill the memory.
#[test]
fn the_number_of_remembered_parts_is_bounded() {
    let mut parts = FatalParts::default();
    let ends: Vec<EndedProcess> = (0..400_u64)
        .map(|number| {
            let ids: Vec<u64> = (0..300).map(|id| number * 1_000 + id).collect();
            end(number, 100 * number, &[&ids, &[9]])
        })
        .collect();
    parts.merge_ends(&ends, at(40_000));
    let answered: Vec<PartId> = (0..40_000).map(|id| part(10_000_000 + id)).collect();
    parts.record_answer(&answered, at(200_000), at(200_000));
    let remembered = answered
        .iter()
        .filter(|part| parts.suspects(&[**part])[0].answered.is_some());
    assert!(remembered.count() <= 4_096);
    assert!(parts.held(at(200_000)).len() <= 64);
}
