//! The platform's HTTP API and its injected faults.

use super::store::{PutOutcome, Store};
use crate::http::{self, Call, Reply, status};
use argh::FromArgs;
use async_channel::{Receiver, Sender};
use async_std::{future, task};
use http_types::{Method, StatusCode};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use wire::platform::{Calls, Fault, Grant, LeaseRef, Put, VmList};

const LEASE_POLL: Duration = Duration::from_millis(10);
const MAX_WATCH_MS: u64 = 60_000;

/// Stand-in for the platform: a key-value store with leases and watches, and a list of VMs.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// address to listen on
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    pub listen: String,
}

struct Platform {
    start: Instant,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    store: Store,
    calls: Calls,
    waiters: HashMap<String, Vec<Sender<()>>>,
    down: bool,
    delay: Duration,
    lose_answers: u32,
    lists: Vec<(Duration, VmList)>,
    list_lag: Duration,
}

/// Serves until the process ends.
///
/// # Errors
/// If the address can't be bound.
pub async fn run(args: Args) -> std::io::Result<()> {
    let platform = Arc::new(Platform {
        start: Instant::now(),
        state: Mutex::default(),
    });
    let (listener, local) = http::bind(&args.listen).await?;
    task::spawn(expire_leases(platform.clone()));
    http::announce(&local.to_string());
    let handler = move |call: Call| -> futures::future::BoxFuture<'static, Reply> {
        let platform = platform.clone();
        Box::pin(async move { platform.handle(call).await })
    };
    http::serve(listener, Arc::default(), Arc::new(handler)).await
}

async fn expire_leases(platform: Arc<Platform>) {
    loop {
        task::sleep(LEASE_POLL).await;
        drop(platform.lock());
    }
}

impl State {
    fn wake_watches(&mut self, key: &str) {
        // Dropping a sender wakes the watch that waits on its receiver.
        self.waiters.remove(key);
    }

    /// The reply to an applied write, or a closed connection if the injected fault drops the reply.
    fn reply_to_write(&mut self, reply: Reply) -> Reply {
        if self.lose_answers == 0 {
            return reply;
        }
        self.lose_answers -= 1;
        Reply::Close
    }
}

impl Platform {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Locks the state after expiring leases that are due.
    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().expect("mutex is not poisoned");
        let expired = state.store.expire(self.now());
        for key in expired {
            state.wake_watches(&key);
        }
        state
    }

    async fn handle(&self, call: Call) -> Reply {
        match call.route() {
            (Method::Post, "/fault") => return self.fault(&call),
            (Method::Get, "/v1/calls") => return ok(&self.lock().calls),
            _ => (),
        }
        let (down, delay) = {
            let state = self.lock();
            (state.down, state.delay)
        };
        if down {
            return Reply::Close;
        }
        let reply = match call.route() {
            (Method::Get, "/v1/kv") => self.get(&call),
            (Method::Put, "/v1/kv") => self.put(&call),
            (Method::Get, "/v1/range") => self.range(&call),
            (Method::Get, "/v1/watch") => self.watch(&call).await,
            (Method::Post, "/v1/leases") => self.grant(&call),
            (Method::Post, "/v1/leases/renew") => self.renew(&call),
            (Method::Post, "/v1/leases/revoke") => self.revoke(&call),
            (Method::Get, "/v1/vms") => self.vms(),
            _ => status(StatusCode::NotFound),
        };
        if !delay.is_zero() {
            task::sleep(delay).await;
        }
        if self.lock().down { Reply::Close } else { reply }
    }

    fn get(&self, call: &Call) -> Reply {
        let Some(key) = call.query("key") else {
            return status(StatusCode::BadRequest);
        };
        let mut state = self.lock();
        state.calls.reads += 1;
        let entry = state.store.get(&key);
        let code = if entry.value.is_some() {
            StatusCode::Ok
        } else {
            StatusCode::NotFound
        };
        Reply::Answer(http::json(code, &entry))
    }

    fn put(&self, call: &Call) -> Reply {
        let Some(put) = call.json::<Put>() else {
            return status(StatusCode::BadRequest);
        };
        let mut state = self.lock();
        state.calls.writes += 1;
        match state.store.put(&put) {
            PutOutcome::Done(entry) => {
                state.wake_watches(&put.key);
                state.reply_to_write(ok(&entry))
            }
            PutOutcome::Conflict(entry) => Reply::Answer(http::json(StatusCode::Conflict, &entry)),
            PutOutcome::NoLease => status(StatusCode::NotFound),
            PutOutcome::TooLarge => status(StatusCode::PayloadTooLarge),
        }
    }

    fn range(&self, call: &Call) -> Reply {
        let prefix = call.query("prefix").unwrap_or_default();
        let mut state = self.lock();
        state.calls.reads += 1;
        ok(&state.store.range(&prefix))
    }

    async fn watch(&self, call: &Call) -> Reply {
        let Some(key) = call.query("key") else {
            return status(StatusCode::BadRequest);
        };
        let after = call.query_number("after").unwrap_or(0);
        let wait = Duration::from_millis(call.query_number("wait_ms").unwrap_or(0).min(MAX_WATCH_MS));
        let deadline = self.now() + wait;
        self.lock().calls.watches += 1;
        self.lock().calls.reads += 1;
        loop {
            let changed = match self.read_or_subscribe(&key, after) {
                Ok(reply) => return reply,
                Err(changed) => changed,
            };
            let remaining = deadline.saturating_sub(self.now());
            if remaining.is_zero() {
                return status(StatusCode::NoContent);
            }
            let _ = future::timeout(remaining, changed.recv()).await;
        }
    }

    /// Returns the entry if it is newer than `after`, otherwise a receiver that closes at its next change.
    fn read_or_subscribe(&self, key: &str, after: u64) -> Result<Reply, Receiver<()>> {
        let mut state = self.lock();
        let entry = state.store.get(key);
        if entry.version.0 > after {
            return Ok(ok(&entry));
        }
        let (sender, receiver) = async_channel::bounded(1);
        let waiting = state.waiters.entry(key.to_owned()).or_default();
        waiting.retain(|other| !other.is_closed());
        waiting.push(sender);
        Err(receiver)
    }

    fn grant(&self, call: &Call) -> Reply {
        let Some(grant) = call.json::<Grant>() else {
            return status(StatusCode::BadRequest);
        };
        let now = self.now();
        let mut state = self.lock();
        state.calls.writes += 1;
        let lease = state.store.grant(now, grant.ttl_ms);
        state.reply_to_write(ok(&lease))
    }

    fn renew(&self, call: &Call) -> Reply {
        let Some(lease) = call.json::<LeaseRef>() else {
            return status(StatusCode::BadRequest);
        };
        let now = self.now();
        let mut state = self.lock();
        state.calls.writes += 1;
        let Some(lease) = state.store.renew(now, lease.id) else {
            return status(StatusCode::NotFound);
        };
        state.reply_to_write(ok(&lease))
    }

    fn revoke(&self, call: &Call) -> Reply {
        let Some(lease) = call.json::<LeaseRef>() else {
            return status(StatusCode::BadRequest);
        };
        let mut state = self.lock();
        state.calls.writes += 1;
        for key in state.store.revoke(lease.id) {
            state.wake_watches(&key);
        }
        state.reply_to_write(status(StatusCode::NoContent))
    }

    fn vms(&self) -> Reply {
        let now = self.now();
        let mut state = self.lock();
        state.calls.reads += 1;
        let visible = state.lists.iter().rposition(|(since, _)| *since <= now);
        // Lists older than the visible one are no longer needed.
        state.lists.drain(..visible.unwrap_or(0));
        match visible {
            Some(_) => ok(&state.lists[0].1),
            None => ok(&VmList::default()),
        }
    }

    fn fault(&self, call: &Call) -> Reply {
        let Some(fault) = call.json::<Fault>() else {
            return status(StatusCode::BadRequest);
        };
        let now = self.now();
        let mut state = self.lock();
        state.down = fault.down.unwrap_or(state.down);
        state.delay = fault.delay_ms.map_or(state.delay, Duration::from_millis);
        state.lose_answers = fault.lose_answers.unwrap_or(state.lose_answers);
        state.list_lag = fault.list_lag_ms.map_or(state.list_lag, Duration::from_millis);
        if let Some(vms) = fault.vms {
            let since = now + state.list_lag;
            state.lists.push((since, VmList { vms }));
        }
        status(StatusCode::NoContent)
    }
}

fn ok<T: serde::Serialize>(value: &T) -> Reply {
    Reply::Answer(http::json(StatusCode::Ok, value))
}
