//! Concurrent operators change the document in a store that loses responses, delays writes and becomes unavailable.

mod support;

use config::{
    Answer, AuditLog, Change, ChangeId, ChangeRefused, HEAD_KEY, Head, Intent, Loader, Loading, Next, Outcome, Section,
    Submission, UnixMillis, View, parse, section_text, verify_chain,
};
use ids::{Digest, Revision};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use support::{Store, WRITERS, document, entry, key, name, run, section_of};

const CHANGES_EACH: usize = 2;

struct Writer {
    number: usize,
    left: usize,
    tries: usize,
    work: Work,
}

enum Work {
    Reading(Loader),
    Submitting(Box<Submission>, ChangeId, String),
    Done,
}

/// The results reported to operators.
#[derive(Default)]
struct Reported {
    accepted: BTreeMap<ChangeId, (Revision, Section, String)>,
    undecided: BTreeSet<ChangeId>,
}

fn first(store: &mut Store) {
    let intent = Intent::First {
        id: ChangeId::from("first"),
        operator: name(0),
        text: document(),
    };
    let outcome = run(store, Submission::new(intent, key(0), UnixMillis(1)));
    assert!(
        matches!(
            outcome,
            Outcome::Accepted {
                revision: Revision(1),
                ..
            }
        ),
        "{outcome:?}"
    );
}

/// The operator reads, adds an entry of their own and submits.
fn submit(writer: &mut Writer, view: &View) -> Work {
    let section = section_of(writer.number);
    let number = writer.number * 1000 + writer.tries;
    writer.tries += 1;
    let id = ChangeId::from(format!("{number}"));
    let before = section_text(&view.document, section);
    let mut after: serde_json::Value = serde_json::from_str(&before).unwrap();
    let added = format!("new-{number}");
    after[&added] = entry(section, number);
    let change = Change {
        id: id.clone(),
        operator: name(writer.number),
        section,
        before: Digest::of(before.as_bytes()),
        after: after.to_string(),
    };
    let submission = Submission::new(Intent::Change(change), key(writer.number), UnixMillis(2));
    Work::Submitting(Box::new(submission), id, added)
}

fn step(writer: &mut Writer, store: &mut Store, reported: &mut Reported, random: &mut ChaCha8Rng) {
    match std::mem::replace(&mut writer.work, Work::Done) {
        Work::Done => {}
        Work::Reading(mut loader) => {
            let Answer::Found(stored) = store.faulty(&loader.call(), random) else {
                writer.work = Work::Reading(loader);
                return;
            };
            writer.work = match loader.on(stored) {
                Loading::Read(_) => Work::Reading(loader),
                Loading::Loaded(view, _) => submit(writer, &view),
                other => panic!("{other:?}"),
            };
        }
        Work::Submitting(mut submission, id, added) => match submission.on(store.faulty(&submission.call(), random)) {
            Next::Retry(_) if random.random_ratio(1, 40) => {
                let outcome = submission.give_up();
                store.delete(submission.leftovers(&outcome));
                match outcome {
                    Outcome::Undecided => assert!(reported.undecided.insert(id)),
                    outcome => assert_eq!(outcome, Outcome::NotSent),
                }
                writer.work = Work::Reading(Loader::new());
            }
            Next::Call(_) | Next::Retry(_) => writer.work = Work::Submitting(submission, id, added),
            Next::Done(Outcome::Accepted { revision, garbage }) => {
                store.delete(garbage.clone());
                store.delete(submission.leftovers(&Outcome::Accepted { revision, garbage }));
                reported
                    .accepted
                    .insert(id, (revision, section_of(writer.number), added));
                writer.left -= 1;
                writer.work = if writer.left == 0 {
                    Work::Done
                } else {
                    Work::Reading(Loader::new())
                };
            }
            Next::Done(Outcome::Refused(ChangeRefused::Conflict(conflict))) => {
                assert!(!conflict.since.is_empty(), "the operator is shown what others changed");
                store.delete(submission.leftovers(&Outcome::Refused(ChangeRefused::Conflict(conflict))));
                writer.work = Work::Reading(Loader::new());
            }
            Next::Done(outcome) => panic!("{outcome:?}"),
        },
    }
}

fn race(seed: u64) -> (Store, Reported) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut store = Store::default();
    let mut reported = Reported::default();
    first(&mut store);
    let work = || Work::Reading(Loader::new());
    let mut writers: Vec<Writer> = (0..WRITERS)
        .map(|number| Writer {
            number,
            left: CHANGES_EACH,
            tries: 0,
            work: work(),
        })
        .collect();
    for turn in 0..2_000_000 {
        store.down = turn % 5000 < 1000;
        let place = random.random_range(0..writers.len());
        step(&mut writers[place], &mut store, &mut reported, &mut random);
        writers.retain(|writer| !matches!(writer.work, Work::Done));
        if writers.is_empty() {
            return (store, reported);
        }
    }
    panic!("{} writers have not ended", writers.len());
}

/// Compares the store's history with the results reported to operators.
fn check(store: &Store, reported: &Reported) {
    let heads: Vec<Head> = store
        .history
        .iter()
        .filter(|(key, _)| key == HEAD_KEY)
        .map(|(_, text)| Head::read(text).unwrap())
        .collect();
    let mut seen = BTreeMap::new();
    for (place, head) in heads.iter().enumerate() {
        assert_eq!(head.revision, Revision(place as u64 + 1), "revisions grow by one");
        assert_eq!(
            seen.insert(head.change.clone(), head.revision),
            None,
            "{} was applied twice",
            head.change
        );
    }
    for (id, (revision, _, _)) in &reported.accepted {
        assert_eq!(seen.get(id), Some(revision), "accepted change {id}");
    }
    for id in seen.keys().filter(|id| **id != ChangeId::from("first")) {
        let known = reported.accepted.contains_key(id) || reported.undecided.contains(id);
        assert!(known, "{id} is in force, and it was reported as not applied");
    }
    let last = heads.last().unwrap();
    let log: AuditLog = serde_json::from_str(store.read(&last.audit_key()).text.as_ref().unwrap()).unwrap();
    assert_eq!(verify_chain(last, &log), Ok(()));
    for (id, (_, section, added)) in &reported.accepted {
        let text = store.read(&last.sections[section].key(*section)).text.unwrap();
        let value: serde_json::Value = serde_json::from_str(&text).unwrap();
        assert!(value.get(added).is_some(), "{id} was accepted and is missing");
    }
}

/// Fifty operators edit the five sections concurrently. One call in five fails, and the store is down for a fifth of the
/// time. No accepted change may be lost or applied twice, and no change may be in force whose operator was informed that
/// nothing changed.
#[test]
fn every_accepted_change_is_applied_once() {
    for seed in 0..2 {
        let (store, reported) = race(seed);
        assert_eq!(reported.accepted.len(), WRITERS * CHANGES_EACH);
        check(&store, &reported);
    }
}

/// Two operators of different sections read the same revision. The store refuses the second one's head, and the change is
/// applied to the new head without involving the operator. Otherwise unrelated changes would be refused.
#[test]
fn concurrent_changes_of_different_sections_both_succeed() {
    let mut store = Store::default();
    first(&mut store);
    let view = load(&store);
    let mut submissions = Vec::new();
    for number in [1, 2] {
        let mut writer = Writer {
            number,
            left: 1,
            tries: 0,
            work: Work::Done,
        };
        let Work::Submitting(submission, ..) = submit(&mut writer, &view) else {
            unreachable!()
        };
        submissions.push(*submission);
    }
    let outcomes: Vec<Outcome> = submissions
        .into_iter()
        .map(|submission| run(&mut store, submission))
        .collect();
    for (place, outcome) in outcomes.iter().enumerate() {
        let expected = Revision(place as u64 + 2);
        assert!(
            matches!(outcome, Outcome::Accepted { revision, .. } if *revision == expected),
            "{outcome:?}"
        );
    }
}

/// Another change is accepted after this one's values were written. This one's first log is then the only unused value.
#[test]
fn leftovers_list_unused_keys() {
    let mut store = Store::default();
    first(&mut store);
    let view = load(&store);
    let submission = |number| {
        let mut writer = Writer {
            number,
            left: 1,
            tries: 0,
            work: Work::Done,
        };
        let Work::Submitting(submission, ..) = submit(&mut writer, &view) else {
            unreachable!()
        };
        *submission
    };
    let mut slow = submission(1);
    while !matches!(slow.call(), config::Call::Write { key, .. } if key == HEAD_KEY) {
        slow.on(store.apply(&slow.call()));
    }
    run(&mut store, submission(2));
    let before: BTreeSet<String> = store.entries.keys().cloned().collect();
    let (outcome, slow) = support::finish(&mut store, slow);
    assert!(
        matches!(
            outcome,
            Outcome::Accepted {
                revision: Revision(3),
                ..
            }
        ),
        "{outcome:?}"
    );
    let leftovers = slow.leftovers(&outcome);
    assert_eq!(leftovers.len(), 1);
    assert!(before.contains(&leftovers[0]), "it was written before the other change");
    store.delete(leftovers);
    assert_eq!(load(&store).head.revision, Revision(3));
}

/// Two operators' commands choose the same id. The second one's change must not be reported as accepted.
#[test]
fn an_id_of_another_change_is_refused() {
    let mut store = Store::default();
    first(&mut store);
    let view = load(&store);
    for (number, expected) in [(1, None), (2, Some(ChangeRefused::IdTaken(Revision(2))))] {
        let section = section_of(number);
        let mut after = serde_json::from_str::<serde_json::Value>(&section_text(&view.document, section)).unwrap();
        after["new"] = entry(section, number);
        let change = Change {
            id: ChangeId::from("same"),
            operator: name(number),
            section,
            before: view.head.sections[&section].digest,
            after: after.to_string(),
        };
        match run(
            &mut store,
            Submission::new(Intent::Change(change), key(number), UnixMillis(3)),
        ) {
            Outcome::Refused(refused) => assert_eq!(Some(refused), expected),
            outcome => assert!(expected.is_none(), "{outcome:?}"),
        }
    }
}

/// Invalid changes are refused, and the document stays unchanged.
#[test]
fn refusals() {
    struct Case {
        operator: usize,
        proof: usize,
        section: Section,
        after: &'static str,
        reason: fn(&ChangeRefused) -> bool,
    }
    let cases = [
        Case {
            operator: 3,
            proof: 4,
            section: Section::Priorities,
            after: "{}",
            reason: |r| *r == ChangeRefused::AuthFailed,
        },
        Case {
            operator: 3,
            proof: 3,
            section: Section::Models,
            after: "{}",
            reason: |r| *r == ChangeRefused::NotOwner(Section::Models),
        },
        Case {
            operator: 4,
            proof: 4,
            section: Section::Endpoints,
            after: "{}",
            reason: |r| matches!(r, ChangeRefused::Invalid(p) if p.len() == 2),
        },
        Case {
            operator: 3,
            proof: 3,
            section: Section::Priorities,
            after: r#"{"advisory":{"rank":0}}"#,
            reason: |r| *r == ChangeRefused::Unchanged,
        },
        Case {
            operator: 3,
            proof: 3,
            section: Section::Priorities,
            after: "{",
            reason: |r| matches!(r, ChangeRefused::Invalid(_)),
        },
    ];
    let mut store = Store::default();
    first(&mut store);
    let view = load(&store);
    let head = store.read(HEAD_KEY);
    for case in cases {
        let change = Change {
            id: ChangeId::from("case"),
            operator: name(case.operator),
            section: case.section,
            before: view.head.sections[&case.section].digest,
            after: case.after.to_owned(),
        };
        match run(
            &mut store,
            Submission::new(Intent::Change(change), key(case.proof), UnixMillis(3)),
        ) {
            Outcome::Refused(refused) => assert!((case.reason)(&refused), "{refused:?}"),
            outcome => panic!("{outcome:?}"),
        }
        assert_eq!(store.read(HEAD_KEY), head);
    }
}

/// More changes than the log keeps: the chain stays verifiable, and the store holds a bounded number of values.
#[test]
fn a_long_history_stays_bounded() {
    let mut store = Store::default();
    first(&mut store);
    let mut writer = Writer {
        number: 3,
        left: 200,
        tries: 0,
        work: Work::Reading(Loader::new()),
    };
    let mut reported = Reported::default();
    for _ in 0..200 {
        let view = load(&store);
        assert_eq!(verify_chain(&view.head, &view.log), Ok(()));
        let Work::Submitting(submission, id, added) = submit(&mut writer, &view) else {
            unreachable!()
        };
        let Outcome::Accepted { revision, garbage } = run(&mut store, *submission) else {
            panic!("refused")
        };
        store.delete(garbage);
        reported.accepted.insert(id, (revision, section_of(3), added));
    }
    check(&store, &reported);
    let left = store.entries.values().filter(|(text, _)| text.is_some()).count();
    assert!(left <= 1 + 6 + config::RECORDS_KEPT + 9, "{left} values are left");
}

fn load(store: &Store) -> View {
    let mut loader = Loader::new();
    let mut call = loader.call();
    loop {
        let config::Call::Read(key) = &call else { unreachable!() };
        match loader.on(store.read(key)) {
            Loading::Read(next) => call = next,
            Loading::Loaded(view, _) => return *view,
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn the_first_document_is_valid() {
    assert!(parse(&document()).is_ok());
}
