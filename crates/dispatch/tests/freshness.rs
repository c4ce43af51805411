//! How long a router may rely on keys without hearing from the store.

use dispatch::freshness::Freshness;
use std::time::Duration;

const BOUND: Duration = Duration::from_secs(5);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A router is cut off from the store, and a key is taken away meanwhile. Whoever has that key is served on for as long as the
/// router trusts what it knew. What counts is when the last answered call left, not when its answer came.
#[test]
fn a_document_is_fresh_for_the_bound_after_the_call_that_confirmed_it_left() {
    struct Case {
        sent: &'static [u64],
        now: u64,
        holds: bool,
    }
    let cases = [
        Case {
            sent: &[],
            now: 0,
            holds: false,
        },
        Case {
            sent: &[1_000],
            now: 5_999,
            holds: true,
        },
        Case {
            sent: &[1_000],
            now: 6_000,
            holds: false,
        },
        Case {
            sent: &[1_000, 3_000],
            now: 7_000,
            holds: true,
        },
        // An answer that was held up on its way proves no more than it did.
        Case {
            sent: &[3_000, 1_000],
            now: 7_000,
            holds: true,
        },
        Case {
            sent: &[3_000, 1_000],
            now: 8_000,
            holds: false,
        },
    ];
    for case in cases {
        let mut freshness = Freshness::default();
        for sent in case.sent {
            freshness.confirm(at(*sent));
        }
        assert_eq!(
            freshness.is_fresh(BOUND, at(case.now)),
            case.holds,
            "{:?} at {}",
            case.sent,
            case.now
        );
    }
}
