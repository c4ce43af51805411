//! How long a router may check API keys without a response from the store.

use dispatch::freshness::Freshness;
use std::time::Duration;

const BOUND: Duration = Duration::from_secs(5);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A key is revoked while a router is disconnected from the store. The router accepts the key for as long as it
/// considers its configuration fresh. That period counts from when the last answered call was sent, not from its
/// response.
#[test]
fn freshness_counts_from_the_sending_of_the_confirming_call() {
    struct Case {
        sent: &'static [u64],
        now: u64,
        fresh: bool,
    }
    let cases = [
        Case {
            sent: &[],
            now: 0,
            fresh: false,
        },
        Case {
            sent: &[1_000],
            now: 5_999,
            fresh: true,
        },
        Case {
            sent: &[1_000],
            now: 6_000,
            fresh: false,
        },
        Case {
            sent: &[1_000, 3_000],
            now: 7_000,
            fresh: true,
        },
        // A delayed response doesn't reset the time of a later call.
        Case {
            sent: &[3_000, 1_000],
            now: 7_000,
            fresh: true,
        },
        Case {
            sent: &[3_000, 1_000],
            now: 8_000,
            fresh: false,
        },
    ];
    for case in cases {
        let mut freshness = Freshness::default();
        for sent in case.sent {
            freshness.confirm(at(*sent), 0);
        }
        assert_eq!(
            freshness.is_fresh(BOUND, at(case.now)),
            case.fresh,
            "{:?} at {}",
            case.sent,
            case.now
        );
    }
}

/// A follower that took an age confirmed before a restore for the age of the restored items would use a revoked key.
#[test]
fn an_age_confirmed_in_an_earlier_era_is_not_relayed() {
    let mut freshness = Freshness::default();
    freshness.confirm(at(1_000), 1);
    assert_eq!(freshness.age_in(2, at(1_500)), None);
    assert_eq!(freshness.age(at(1_500)), Some(at(500)));
    freshness.confirm(at(1_400), 2);
    assert_eq!(freshness.age_in(2, at(1_500)), Some(at(100)));
}
