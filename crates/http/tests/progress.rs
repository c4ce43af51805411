//! Transfers that take longer than their time limit.

use async_std::task::{block_on, sleep};
use http::{Elapsed, progress_timeout};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Time limit of each transfer.
const WITHIN: Duration = Duration::from_millis(300);

/// Bytes that arrive at given times, milliseconds from the start, and when the transfer is whole.
struct Case {
    name: &'static str,
    arrivals: &'static [(u64, u64)],
    whole: u64,
    expected: Result<(), Elapsed>,
}

async fn play(case: &Case) -> Result<(), Elapsed> {
    let received = AtomicU64::new(0);
    let transfer = async {
        let mut now = 0;
        for (at, bytes) in case.arrivals {
            sleep(Duration::from_millis(at - now)).await;
            now = *at;
            received.fetch_add(*bytes, Ordering::Relaxed);
        }
        sleep(Duration::from_millis(case.whole - now)).await;
    };
    progress_timeout(WITHIN, || received.load(Ordering::Relaxed), transfer).await
}

/// A limit on the whole of a transfer gives up what still arrives, and a transfer without any limit keeps a silent peer for ever.
#[test]
fn only_a_transfer_that_stalls_is_given_up() {
    let cases = [
        Case {
            name: "at once",
            arrivals: &[],
            whole: 50,
            expected: Ok(()),
        },
        Case {
            name: "silent",
            arrivals: &[],
            whole: 500,
            expected: Err(Elapsed),
        },
        Case {
            name: "begun in time and whole later",
            arrivals: &[(200, 100), (600, 20_000), (1_300, 20_000)],
            whole: 1_600,
            expected: Ok(()),
        },
        Case {
            name: "stalled after it had begun",
            arrivals: &[(200, 100_000)],
            whole: 1_600,
            expected: Err(Elapsed),
        },
        Case {
            name: "trickling",
            arrivals: &[(200, 100), (500, 10), (800, 10), (1_100, 10)],
            whole: 1_600,
            expected: Err(Elapsed),
        },
    ];
    for case in cases {
        assert_eq!(block_on(play(&case)), case.expected, "{}", case.name);
    }
}
