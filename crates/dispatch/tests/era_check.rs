//! Tests of the check whether a restored store holds the newest document.

use dispatch::era_check::{EraCheck, EraView, REWRITE_TIME};
use std::time::Duration;

/// One read of the store.
struct Read {
    /// When the call was sent, in milliseconds; its response arrives 10 ms later.
    sent: u64,
    era: u64,
    document: u64,
    recorded: Option<u64>,
    verified: bool,
}

struct Case {
    name: &'static str,
    reads: Vec<Read>,
}

fn read(sent: u64, era: u64, document: u64, recorded: Option<u64>, verified: bool) -> Read {
    Read {
        sent,
        era,
        document,
        recorded,
        verified,
    }
}

/// Without the check, a router that started after a restore accepted keys whose revocation the store had lost.
#[test]
fn a_read_after_a_restore_is_verified_first() {
    let end = REWRITE_TIME.as_millis() as u64 + 10;
    assert_eq!(end, 2_510);
    let cases = [
        Case {
            name: "first start of the deployment",
            reads: vec![read(0, 1, 5, None, true)],
        },
        Case {
            name: "store without eras",
            reads: vec![read(0, 0, 5, None, true), read(10, 0, 5, None, true)],
        },
        Case {
            name: "later start without a restore",
            reads: vec![read(0, 1, 5, Some(1), true)],
        },
        Case {
            name: "start after a restore, nothing is written",
            reads: vec![
                read(0, 2, 5, Some(1), false),
                read(2_509, 2, 5, Some(1), false),
                read(2_510, 2, 5, Some(1), true),
            ],
        },
        Case {
            name: "start after a restore, the document is written again",
            reads: vec![read(0, 2, 5, Some(1), false), read(100, 2, 9, Some(1), true)],
        },
        Case {
            name: "start after a restore, the lease holder has verified the era",
            reads: vec![read(0, 2, 5, Some(1), false), read(100, 2, 5, Some(2), true)],
        },
        Case {
            name: "restore while running, to a time before the first record",
            reads: vec![read(0, 1, 5, None, true), read(100, 2, 5, None, false)],
        },
        Case {
            name: "restore while running, the document differs from the earlier era",
            reads: vec![read(0, 1, 5, Some(1), true), read(100, 2, 4, Some(1), false)],
        },
        Case {
            name: "second restore before the first era is verified",
            reads: vec![
                read(0, 2, 5, Some(1), false),
                read(2_000, 3, 4, None, false),
                read(2_510, 3, 4, None, false),
                read(4_510, 3, 4, None, true),
            ],
        },
    ];
    for case in cases {
        let mut check = EraCheck::default();
        for read in case.reads {
            let view = EraView {
                era: read.era,
                document: Some(read.document),
                recorded: read.recorded,
            };
            let sent = Duration::from_millis(read.sent);
            let verified = check.is_verified(view, sent, sent + Duration::from_millis(10));
            assert_eq!(verified, read.verified, "{}, read at {}", case.name, read.sent);
        }
    }
}

/// Followers must not wait again for what the router that they follow has verified.
#[test]
fn an_era_verified_by_another_router_is_verified() {
    let mut check = EraCheck::default();
    let view = EraView {
        era: 2,
        document: Some(5),
        recorded: Some(1),
    };
    assert!(!check.is_verified(view, Duration::ZERO, Duration::ZERO));
    check.verify(2);
    assert!(check.is_verified(view, Duration::ZERO, Duration::ZERO));
    assert_eq!(check.verified(), Some(2));
}
