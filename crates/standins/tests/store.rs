//! Tests of the platform's keys and leases as sequences of steps.

use ids::Version;
use standins::platform::{PutOutcome, Store};
use std::time::Duration;
use wire::platform::Put;

enum Step {
    /// Key, value, expected version, lease; the new version or the reason for the refusal.
    Put(
        &'static str,
        Option<&'static str>,
        u64,
        Option<u64>,
        Result<u64, Refused>,
    ),
    /// TTL in milliseconds; the id of the new lease.
    Grant(u64, u64),
    /// Lease; whether it still exists.
    Renew(u64, bool),
    /// Lease; the keys that are deleted with it.
    Revoke(u64, &'static [&'static str]),
    /// The keys that are deleted by expiry.
    Expire(&'static [&'static str]),
    /// Key; value and version.
    Get(&'static str, Option<&'static str>, u64),
    /// Prefix; the keys that start with it.
    Range(&'static str, &'static [&'static str]),
}

#[derive(Debug, PartialEq)]
enum Refused {
    /// The current version of the key.
    Has(u64),
    NoLease,
}

struct Case {
    name: &'static str,
    /// Milliseconds since the start, step.
    steps: &'static [(u64, Step)],
}

use Refused::{Has, NoLease};
use Step::{Expire, Get, Grant, Put as Write, Range, Renew, Revoke};

const CASES: &[Case] = &[
    Case {
        name: "a write needs the current version of the key",
        steps: &[
            (0, Get("a", None, 0)),
            (0, Write("a", Some("x"), 1, None, Err(Has(0)))),
            (0, Write("a", Some("x"), 0, None, Ok(1))),
            (0, Write("a", Some("y"), 0, None, Err(Has(1)))),
            (0, Write("a", Some("y"), 1, None, Ok(2))),
            (0, Get("a", Some("y"), 2)),
        ],
    },
    Case {
        name: "a deleted key keeps its version",
        steps: &[
            (0, Write("a", Some("x"), 0, None, Ok(1))),
            (0, Write("a", None, 1, None, Ok(2))),
            (0, Get("a", None, 2)),
            (0, Range("", &[])),
            (0, Write("a", Some("y"), 0, None, Err(Has(2)))),
            (0, Write("a", Some("y"), 2, None, Ok(3))),
        ],
    },
    Case {
        name: "an expired lease deletes its keys",
        steps: &[
            (0, Grant(100, 1)),
            (0, Write("a", Some("x"), 0, Some(1), Ok(1))),
            (60, Renew(1, true)),
            (159, Expire(&[])),
            (160, Expire(&["a"])),
            (160, Get("a", None, 2)),
            (160, Renew(1, false)),
            (160, Write("a", Some("x"), 2, Some(1), Err(NoLease))),
            (160, Grant(100, 2)),
        ],
    },
    Case {
        name: "a key rewritten without the lease or under another lease is not deleted",
        steps: &[
            (0, Grant(100, 1)),
            (0, Write("a", Some("x"), 0, Some(1), Ok(1))),
            (0, Write("b", Some("x"), 0, Some(1), Ok(1))),
            (0, Write("a", Some("y"), 1, None, Ok(2))),
            (0, Grant(100, 2)),
            (0, Write("c", Some("x"), 0, Some(2), Ok(1))),
            (0, Revoke(1, &["b"])),
            (0, Range("", &["a", "c"])),
            (0, Range("b", &[])),
        ],
    },
];

#[test]
fn store_applies_versions_and_leases() {
    for case in CASES {
        check(case);
    }
}

fn check(case: &Case) {
    let mut store = Store::default();
    for (number, (at, step)) in case.steps.iter().enumerate() {
        let now = Duration::from_millis(*at);
        let at = format!("{}, step {number}", case.name);
        match step {
            Write(key, value, expect, lease, outcome) => {
                let value = value.map(str::to_owned);
                let put = Put {
                    key: (*key).to_owned(),
                    value,
                    expect: Version(*expect),
                    lease: *lease,
                };
                assert_eq!(version_or_refusal(store.put(&put)), *outcome, "{at}");
            }
            Grant(ttl, id) => assert_eq!(store.grant(now, *ttl).id, *id, "{at}"),
            Renew(id, exists) => assert_eq!(store.renew(now, *id).is_some(), *exists, "{at}"),
            Revoke(id, removed) => assert_eq!(store.revoke(*id), *removed, "{at}"),
            Expire(removed) => assert_eq!(store.expire(now), *removed, "{at}"),
            Get(key, value, version) => {
                let entry = store.get(key);
                assert_eq!((entry.value.as_deref(), entry.version.0), (*value, *version), "{at}");
            }
            Range(prefix, keys) => {
                let entries = store.range(prefix).entries;
                let found: Vec<&str> = entries.iter().map(|entry| entry.key.as_str()).collect();
                assert_eq!(found, *keys, "{at}");
            }
        }
    }
}

fn version_or_refusal(outcome: PutOutcome) -> Result<u64, Refused> {
    match outcome {
        PutOutcome::Done(entry) => Ok(entry.version.0),
        PutOutcome::Conflict(entry) => Err(Has(entry.version.0)),
        PutOutcome::NoLease => Err(NoLease),
        PutOutcome::TooLarge => panic!("no case writes a value above the limit"),
    }
}
