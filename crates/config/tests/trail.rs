//! The audit trail, undo, and revisions that never decrease.

mod support;

use config::{
    Adopt, Change, ChangeId, ChangeRefused, Plan, RefusedLog, Revisions, Section, Settled, UndoError, UnixMillis, View,
    bootstrap, plan_change, section_text, settle, undo, undo_source, verify_chain,
};
use ids::{Digest, Revision};
use quickcheck::{Gen, QuickCheck};
use support::{document, entry, key, name};

/// Fixed seed, so that every run tests the same cases.
const SEED: u64 = 1;

fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, SEED))
}

fn view(plan: Plan) -> View {
    View {
        head: plan.head,
        document: plan.document,
        log: plan.log,
    }
}

fn add(view: &View, section: Section, number: usize) -> Change {
    let before = section_text(&view.document, section);
    let mut after: serde_json::Value = serde_json::from_str(&before).unwrap();
    after[format!("new-{number}")] = entry(section, number);
    Change {
        id: ChangeId::from(format!("{number}")),
        operator: name(0),
        section,
        before: view.head.sections[&section].digest,
        after: after.to_string(),
    }
}

fn history(changes: usize) -> View {
    let first = bootstrap(&ChangeId::from("first"), &name(0), &key(0), &document(), UnixMillis(1)).unwrap();
    let mut now = view(first);
    for number in 0..changes {
        let section = Section::ALL[1 + number % 5];
        let change = add(&now, section, number);
        now = view(plan_change(&now, &change, &key(0), UnixMillis(2)).unwrap());
    }
    now
}

type Tamper = fn(&mut View);

/// Someone edits the stored trail directly, to hide a change or to attribute it to another operator.
#[test]
fn tampering_is_detected() {
    let cases: [(&str, Tamper); 8] = [
        ("another operator", |view| view.log.records[3].operator = name(7)),
        ("another time", |view| view.log.records[2].at = UnixMillis(9)),
        ("a record left out", |view| drop(view.log.records.remove(4))),
        ("the newest left out", |view| drop(view.log.records.pop_back())),
        ("the oldest left out", |view| drop(view.log.records.pop_front())),
        ("records swapped", |view| view.log.records.swap(2, 3)),
        ("the newest rewritten", |view| view.log.records[6].operator = name(7)),
        ("another section in force", |view| {
            let other = view.head.sections[&Section::Models].clone();
            view.head.sections.insert(Section::Endpoints, other);
        }),
    ];
    for (what, tamper) in cases {
        let mut view = history(6);
        assert_eq!(verify_chain(&view.head, &view.log), Ok(()));
        tamper(&mut view);
        assert!(verify_chain(&view.head, &view.log).is_err(), "{what}");
    }
}

#[test]
fn refused_attempts_are_kept_bounded_and_chained() {
    let now = history(0);
    let mut log = RefusedLog::default();
    for number in 0..100 {
        log.record(
            &add(&now, Section::Models, number),
            &ChangeRefused::AuthFailed,
            UnixMillis(3),
        );
        assert!(log.verify());
    }
    assert_eq!(log.attempts.len(), config::ATTEMPTS_KEPT);
    log.attempts[5].operator = name(9);
    assert!(!log.verify());
}

#[test]
fn undo_is_a_new_change_and_keeps_later_ones() {
    let now = history(6);
    let make = |revision| {
        let (section, _) = undo_source(&now, Revision(revision))?;
        let old = section_text(&history(5).document, section);
        undo(&now, Revision(revision), ChangeId::from("undo"), &name(0), &old)
    };
    assert_eq!(make(1), Err(UndoError::First));
    assert_eq!(make(2), Err(UndoError::ChangedSince(Revision(7))));
    assert_eq!(make(50), Err(UndoError::NotKept(Revision(50))));
    assert_eq!(make(6), Err(UndoError::Digest));
    let plan = plan_change(&now, &make(7).unwrap(), &key(0), UnixMillis(4)).unwrap();
    assert_eq!(plan.head.revision, Revision(8));
    assert_eq!(plan.document.workspaces, history(5).document.workspaces);
}

/// The response to the last write was lost. The writer reads the document in force to determine the result.
#[test]
fn lost_responses_are_settled() {
    struct Case {
        id: &'static str,
        base: u64,
        changes: usize,
        expected: Settled,
    }
    let cases = [
        Case {
            id: "2",
            base: 3,
            changes: 6,
            expected: Settled::Accepted(Revision(4)),
        },
        Case {
            id: "other",
            base: 7,
            changes: 6,
            expected: Settled::NotYet,
        },
        Case {
            id: "other",
            base: 6,
            changes: 6,
            expected: Settled::Lost,
        },
        Case {
            id: "other",
            base: 3,
            changes: 100,
            expected: Settled::Unknown,
        },
        Case {
            id: "other",
            base: 90,
            changes: 100,
            expected: Settled::Lost,
        },
    ];
    for case in cases {
        let now = history(case.changes);
        let settled = settle(&ChangeId::from(case.id), Revision(case.base), &now.head, &now.log);
        assert_eq!(settled, case.expected, "{} on {}", case.id, case.base);
    }
}

/// Routers receive revisions in any order, also from stale peers. If the revision decreased, an accepted change would be
/// reverted.
#[test]
fn revisions_never_decrease() {
    fn holds(offers: Vec<(u8, bool)>) -> bool {
        let mut revisions = Revisions::default();
        let mut best: Option<(u8, bool)> = None;
        for (revision, content) in offers {
            let adopt = revisions.offer(Revision(revision.into()), Digest::of(&[u8::from(content)]));
            let right = match best {
                None => adopt == Adopt::Newer,
                Some((kept, _)) if revision > kept => adopt == Adopt::Newer,
                Some((kept, _)) if revision < kept => adopt == Adopt::Older,
                Some((_, same)) if same == content => adopt == Adopt::Same,
                Some(_) => matches!(adopt, Adopt::Conflict(_)),
            };
            if adopt == Adopt::Newer {
                best = Some((revision, content));
            }
            let kept = best.map_or(0, |(kept, _)| u64::from(kept));
            if !right || revisions.current() != Revision(kept) {
                return false;
            }
        }
        true
    }
    seeded().quickcheck(holds as fn(Vec<(u8, bool)>) -> bool);
}
