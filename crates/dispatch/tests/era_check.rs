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
    /// Whether the router starts together with the whole deployment, at time 0.
    first_start: bool,
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
            first_start: true,
            reads: vec![read(0, 1, 5, None, true)],
        },
        Case {
            name: "store without eras",
            first_start: false,
            reads: vec![read(0, 0, 5, None, true), read(10, 0, 5, None, true)],
        },
        Case {
            name: "later start without a restore",
            first_start: false,
            reads: vec![read(0, 1, 5, Some(1), true)],
        },
        Case {
            name: "start after a restore, nothing is written",
            first_start: false,
            reads: vec![
                read(0, 2, 5, Some(1), false),
                read(2_509, 2, 5, Some(1), false),
                read(2_510, 2, 5, Some(1), true),
            ],
        },
        Case {
            name: "start after a restore, the document is written again",
            first_start: false,
            reads: vec![read(0, 2, 5, Some(1), false), read(100, 2, 9, Some(1), true)],
        },
        Case {
            name: "start after a restore, the lease holder has verified the era",
            first_start: false,
            reads: vec![read(0, 2, 5, Some(1), false), read(100, 2, 5, Some(2), true)],
        },
        Case {
            name: "restore while running, to a time before the first record",
            first_start: true,
            reads: vec![read(0, 1, 5, None, true), read(100, 2, 5, None, false)],
        },
        Case {
            name: "restore while running, the document differs from the earlier era",
            first_start: false,
            reads: vec![read(0, 1, 5, Some(1), true), read(100, 2, 4, Some(1), false)],
        },
        Case {
            name: "second restore before the first era is verified",
            first_start: false,
            reads: vec![
                read(0, 2, 5, Some(1), false),
                read(2_000, 3, 4, None, false),
                read(2_510, 3, 4, None, false),
                read(4_510, 3, 4, None, true),
            ],
        },
        Case {
            name: "start after several restores, and no record was ever written",
            first_start: false,
            reads: vec![
                read(0, 12, 5, None, false),
                read(100, 12, 5, None, false),
                read(2_510, 12, 5, None, true),
            ],
        },
        Case {
            name: "start after several restores without a record, the document is written again",
            first_start: false,
            reads: vec![read(0, 12, 5, None, false), read(100, 12, 9, None, true)],
        },
        Case {
            name: "first start of the deployment, the store is reached late",
            first_start: true,
            reads: vec![read(2_000, 1, 5, None, false), read(4_510, 1, 5, None, true)],
        },
    ];
    for case in cases {
        let mut check = if case.first_start {
            EraCheck::first_start(Duration::ZERO)
        } else {
            EraCheck::default()
        };
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
