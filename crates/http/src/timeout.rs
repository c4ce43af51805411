//! Timeouts without a system call for each timer.
//!
//! Thousands of requests a second each set a deadline that almost never passes. async-io wakes its reactor through the
//! kernel for every timer that is set, which costs processor time and adds latency to every request. Here all waiting
//! futures are in one map, and one task wakes those that are due every [`TICK`]. A timeout fires at most that much
//! late, which is little compared with deadlines of a second and more.

use async_channel::{Receiver, Sender};
use async_std::task;
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::{Pin, pin};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{LazyLock, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

/// Longest delay of a timeout.
const TICK: Duration = Duration::from_millis(10);

/// The timeout passed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Elapsed;

/// The result of `future`, or [`Elapsed`] once `within` has passed.
///
/// # Errors
/// The timeout passed first.
pub async fn timeout<F: Future>(within: Duration, future: F) -> Result<F::Output, Elapsed> {
    let mut future = pin!(future);
    let mut delay = Delay {
        due: Instant::now() + within,
        key: None,
    };
    std::future::poll_fn(|cx| {
        if let Poll::Ready(result) = future.as_mut().poll(cx) {
            return Poll::Ready(Ok(result));
        }
        Pin::new(&mut delay).poll(cx).map(|()| Err(Elapsed))
    })
    .await
}

type Key = (Instant, u64);

/// Wakers of waiting futures, ordered by deadline.
struct Timers {
    wakers: Mutex<BTreeMap<Key, Waker>>,
    next: AtomicU64,
    /// Starts the ticking task, which sleeps while no future waits.
    begin: Sender<()>,
}

static TIMERS: LazyLock<Timers> = LazyLock::new(|| {
    let (begin, begun) = async_channel::bounded(1);
    task::spawn(tick(begun));
    Timers {
        wakers: Mutex::default(),
        next: AtomicU64::new(0),
        begin,
    }
});

fn wakers() -> MutexGuard<'static, BTreeMap<Key, Waker>> {
    TIMERS.wakers.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn tick(begun: Receiver<()>) {
    loop {
        if wakers().is_empty() && begun.recv().await.is_err() {
            return;
        }
        task::sleep(TICK).await;
        let now = Instant::now();
        let due = {
            let mut wakers = wakers();
            let later = wakers.split_off(&(now, u64::MAX));
            std::mem::replace(&mut *wakers, later)
        };
        // Woken without the lock: a woken future may set its next timeout immediately.
        due.into_values().for_each(Waker::wake);
    }
}

struct Delay {
    due: Instant,
    key: Option<Key>,
}

impl Future for Delay {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if Instant::now() >= self.due {
            return Poll::Ready(());
        }
        let due = self.due;
        let key = *self
            .key
            .get_or_insert_with(|| (due, TIMERS.next.fetch_add(1, Ordering::Relaxed)));
        let mut wakers = wakers();
        match wakers.get_mut(&key) {
            Some(waker) => waker.clone_from(cx.waker()),
            None => {
                wakers.insert(key, cx.waker().clone());
                if wakers.len() == 1 {
                    // A full channel means that the task is already awake or about to wake.
                    let _ = TIMERS.begin.try_send(());
                }
            }
        }
        Poll::Pending
    }
}

impl Drop for Delay {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            wakers().remove(&key);
        }
    }
}
