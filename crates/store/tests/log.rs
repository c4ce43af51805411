//! What a router tells those that follow it.

use std::collections::BTreeMap;
use store::items::{Change, Item, ItemDelta, ItemLog, Position};

fn item(key: &str, revision: u64) -> Item {
    Item {
        key: key.to_owned(),
        value: revision.to_string().into_bytes(),
        revision,
        created: 1,
        lease: 0,
    }
}

fn removed(key: &str, revision: u64) -> Change {
    Change::Removed {
        key: key.to_owned(),
        revision,
    }
}

/// A position in the era of these tests.
fn at(revision: u64) -> Position {
    Position { era: 3, revision }
}

/// A router with `a` and `b` as of 5, then `c` written, `a` removed and `b` changed.
fn log() -> ItemLog {
    let mut log = ItemLog::default();
    log.replace(&[item("a", 3), item("b", 5)], at(5));
    log.apply(&[Change::Written(item("c", 6)), removed("a", 7)], at(7));
    log.apply(&[Change::Written(item("b", 8))], at(8));
    log
}

/// A follower that misses a removal sends requests to an endpoint that is gone; one that is told too much only works more.
#[test]
fn a_follower_is_told_what_it_lacks() {
    struct Case {
        after: Option<u64>,
        whole: bool,
        items: &'static [&'static str],
        removed: &'static [&'static str],
    }
    let cases = [
        Case {
            after: None,
            whole: true,
            items: &["b", "c"],
            removed: &[],
        },
        // What was removed before this router knew anything can't be told.
        Case {
            after: Some(4),
            whole: true,
            items: &["b", "c"],
            removed: &[],
        },
        Case {
            after: Some(5),
            whole: false,
            items: &["b", "c"],
            removed: &["a"],
        },
        Case {
            after: Some(6),
            whole: false,
            items: &["b"],
            removed: &["a"],
        },
        Case {
            after: Some(7),
            whole: false,
            items: &["b"],
            removed: &[],
        },
        Case {
            after: Some(8),
            whole: false,
            items: &[],
            removed: &[],
        },
    ];
    let log = log();
    for case in cases {
        let since = log.since(case.after.map(at));
        let items: Vec<&str> = since.items.iter().map(|item| item.key.as_str()).collect();
        assert_eq!(items, case.items, "{:?}", case.after);
        assert_eq!(since.removed, case.removed, "{:?}", case.after);
        assert_eq!(
            (since.whole, since.position),
            (case.whole, Some(at(8))),
            "{:?}",
            case.after
        );
        assert_eq!(log.has_changes(case.after.map(at)), case.after != Some(8));
    }
}

/// Whoever follows by any steps ends with the same items as the router it follows.
#[test]
fn followers_end_with_the_same_items() {
    let mut leader = ItemLog::default();
    leader.replace(&[item("k0", 1)], at(1));
    let mut follower: BTreeMap<String, u64> = BTreeMap::from([("k0".to_owned(), 1)]);
    let mut known = 1;
    for revision in 2..400 {
        let key = format!("k{}", revision * 7 % 11);
        let change = if revision % 3 == 0 {
            removed(&key, revision)
        } else {
            Change::Written(item(&key, revision))
        };
        leader.apply(&[change], at(revision));
        if revision % 5 != 0 {
            continue;
        }
        follow(&mut follower, leader.since(Some(at(known))));
        known = revision;
    }
    follow(&mut follower, leader.since(Some(at(known))));
    let all = leader.since(None).items.into_iter();
    let expected: BTreeMap<String, u64> = all.map(|item| (item.key, item.revision)).collect();
    assert_eq!(follower, expected);
}

fn follow(follower: &mut BTreeMap<String, u64>, since: ItemDelta) {
    follower.retain(|key, _| !since.removed.contains(key));
    follower.extend(since.items.into_iter().map(|item| (item.key, item.revision)));
}

/// A follower of another era has other items under the same revisions: it is told everything, and never that it is ahead.
#[test]
fn a_follower_of_an_earlier_era_is_told_everything() {
    let mut log = log();
    log.replace(&[item("a", 3)], Position { era: 4, revision: 4 });
    for revision in [1, 4, 8] {
        let after = Some(at(revision));
        assert!(log.has_changes(after), "{revision}");
        let since = log.since(after);
        assert!(since.whole, "{revision}");
        assert_eq!(since.items, [item("a", 3)], "{revision}");
    }
    assert!(!log.has_changes(Some(Position { era: 5, revision: 1 })));
}
