//! Time limits on the progress of a transfer, not on the whole of it.
//!
//! Load pattern: an answer that takes longer than its time limit on a slow link. Were it given up there, all that has arrived
//! would be thrown away, and the next call would begin with its first byte: the more routers do so, the slower each transfer
//! becomes.

use crate::Elapsed;
use async_std::future::timeout;
use std::future::Future;
use std::pin::pin;
use std::time::Duration;

/// Time in which an answer that is late must go on arriving.
const STEP: Duration = Duration::from_millis(600);
/// Bytes that must arrive in a step: less is no better than silence.
const STEP_BYTES: u64 = 16 * 1024;

/// The result of `future`, which must come within a time, or later while the answer goes on arriving. `received` counts the
/// bytes that have arrived.
///
/// # Errors
/// The time was over and nothing had arrived, or the transfer stalled.
pub async fn progress_timeout<F: Future>(
    within: Duration,
    received: impl Fn() -> u64,
    future: F,
) -> Result<F::Output, Elapsed> {
    let mut future = pin!(future);
    let mut before = received();
    let mut step = (within, 1);
    loop {
        let (time, least) = step;
        if let Ok(done) = timeout(time, future.as_mut()).await {
            return Ok(done);
        }
        let now = received();
        if now.saturating_sub(before) < least {
            return Err(Elapsed);
        }
        before = now;
        step = (STEP, STEP_BYTES);
    }
}
