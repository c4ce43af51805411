//! Transfers that take longer than their timeout.

use async_std::task::{block_on, sleep};
use http::{Elapsed, progress_timeout};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Timeout of each transfer.
const TIMEOUT: Duration = Duration::from_millis(300);

/// Arrivals as (time in milliseconds from the start, bytes), and the time at which the transfer completes.
struct Case {
    name: &'static str,
    arrivals: &'static [(u64, u64)],
    completed_at: u64,
    expected: Result<(), Elapsed>,
}

async fn run(case: &Case) -> Result<(), Elapsed> {
    let received = AtomicU64::new(0);
    let transfer = async {
        let mut now = 0;
        for (at, bytes) in case.arrivals {
            sleep(Duration::from_millis(at - now)).await;
            now = *at;
            received.fetch_add(*bytes, Ordering::Relaxed);
        }
        sleep(Duration::from_millis(case.completed_at - now)).await;
    };
    progress_timeout(TIMEOUT, || received.load(Ordering::Relaxed), transfer).await
}

/// A timeout on the total duration would cancel transfers that still make progress. Without any timeout a transfer from
/// an unresponsive peer would never end.
#[test]
fn only_stalled_transfers_time_out() {
    let cases = [
        Case {
            name: "immediate",
            arrivals: &[],
            completed_at: 50,
            expected: Ok(()),
        },
        Case {
            name: "silent",
            arrivals: &[],
            completed_at: 500,
            expected: Err(Elapsed),
        },
        Case {
            name: "started in time and completed later",
            arrivals: &[(200, 100), (600, 20_000), (1_300, 20_000)],
            completed_at: 1_600,
            expected: Ok(()),
        },
        Case {
            name: "stalled after it had started",
            arrivals: &[(200, 100_000)],
            completed_at: 1_600,
            expected: Err(Elapsed),
        },
        Case {
            name: "trickling",
            arrivals: &[(200, 100), (500, 10), (800, 10), (1_100, 10)],
            completed_at: 1_600,
            expected: Err(Elapsed),
        },
    ];
    for case in cases {
        assert_eq!(block_on(run(&case)), case.expected, "{}", case.name);
    }
}
