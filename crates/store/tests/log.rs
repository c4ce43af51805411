//! The item log from which a router serves its followers.

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

/// A log with `a` and `b` as of revision 5, then `c` written, `a` removed and `b` changed.
fn log() -> ItemLog {
    let mut log = ItemLog::default();
    log.replace(&[item("a", 3), item("b", 5)], at(5));
    log.apply(&[Change::Written(item("c", 6)), removed("a", 7)], at(7));
    log.apply(&[Change::Written(item("b", 8))], at(8));
    log
}

/// A follower that misses a removal sends requests to a removed endpoint. Superfluous items only cost it work.
#[test]
fn a_follower_gets_all_changes_after_its_position() {
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
        // Removals before the first read are unknown, so the follower gets all items.
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
        let delta = log.since(case.after.map(at));
        let items: Vec<&str> = delta.items.iter().map(|item| item.key.as_str()).collect();
        assert_eq!(items, case.items, "{:?}", case.after);
        assert_eq!(delta.removed, case.removed, "{:?}", case.after);
        assert_eq!(
            (delta.whole, delta.position),
            (case.whole, Some(at(8))),
            "{:?}",
            case.after
        );
        assert_eq!(log.has_changes(case.after.map(at)), case.after != Some(8));
    }
}

/// A lost change would make a follower differ from its upstream for good. A follower that applies deltas at irregular
/// positions must end with the same items.
#[test]
fn followers_converge_to_the_same_items() {
    let mut upstream = ItemLog::default();
    upstream.replace(&[item("k0", 1)], at(1));
    let mut follower: BTreeMap<String, u64> = BTreeMap::from([("k0".to_owned(), 1)]);
    let mut position = 1;
    for revision in 2..400 {
        let key = format!("k{}", revision * 7 % 11);
        let change = if revision % 3 == 0 {
            removed(&key, revision)
        } else {
            Change::Written(item(&key, revision))
        };
        upstream.apply(&[change], at(revision));
        if revision % 5 != 0 {
            continue;
        }
        follow(&mut follower, upstream.since(Some(at(position))));
        position = revision;
    }
    follow(&mut follower, upstream.since(Some(at(position))));
    let all = upstream.since(None).items.into_iter();
    let expected: BTreeMap<String, u64> = all.map(|item| (item.key, item.revision)).collect();
    assert_eq!(follower, expected);
}

fn follow(follower: &mut BTreeMap<String, u64>, delta: ItemDelta) {
    follower.retain(|key, _| !delta.removed.contains(key));
    follower.extend(delta.items.into_iter().map(|item| (item.key, item.revision)));
}

/// A follower with the position of an earlier era has other items under the same revisions. It must get all items, even
/// if its revision is higher.
#[test]
fn a_follower_from_an_earlier_era_gets_all_items() {
    let mut log = log();
    log.replace(&[item("a", 3)], Position { era: 4, revision: 4 });
    for revision in [1, 4, 8] {
        let after = Some(at(revision));
        assert!(log.has_changes(after), "{revision}");
        let delta = log.since(after);
        assert!(delta.whole, "{revision}");
        assert_eq!(delta.items, [item("a", 3)], "{revision}");
    }
    assert!(!log.has_changes(Some(Position { era: 5, revision: 1 })));
}
