//! Timeouts on the progress of a transfer, not on its total duration.
//!
//! On a slow link a response can take longer than its timeout. Cancelling it would discard all bytes received, and the
//! next call would start again from the first byte. The more routers retry like this, the slower each transfer becomes.

use crate::Elapsed;
use async_std::future::timeout;
use std::future::Future;
use std::pin::pin;
use std::time::Duration;

/// Interval in which a late response must make progress.
const INTERVAL: Duration = Duration::from_millis(600);
/// Bytes that must arrive in each interval; with fewer the transfer counts as stalled.
const INTERVAL_BYTES: u64 = 16 * 1024;

/// Awaits `future` for at most `within`, or longer as long as its response keeps making progress. `received` returns the
/// number of bytes that have arrived.
///
/// # Errors
/// The timeout passed and nothing had arrived, or the transfer stalled.
pub async fn progress_timeout<F: Future>(
    within: Duration,
    received: impl Fn() -> u64,
    future: F,
) -> Result<F::Output, Elapsed> {
    let mut future = pin!(future);
    let mut before = received();
    let mut step = (within, 1);
    loop {
        let (time, min_bytes) = step;
        if let Ok(done) = timeout(time, future.as_mut()).await {
            return Ok(done);
        }
        let now = received();
        if now.saturating_sub(before) < min_bytes {
            return Err(Elapsed);
        }
        before = now;
        step = (INTERVAL, INTERVAL_BYTES);
    }
}
