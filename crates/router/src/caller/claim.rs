//! Drives the claim machines of `lifecycle` against the platform.

use super::call::{self, Call};
use super::refusal::{Cause, Refused};
use crate::shared::Shared;
use async_std::task;
use ids::{IdempotencyKey, Version, WorkspaceId};
use lifecycle::claims::{
    Attempt, Body, CLAIM_LEASE_TTL, Claim, ClaimEvent, ClaimLimits, ClaimRequest, ClaimStep, EntryState, HeldClaim,
    LeaseStep, Nonce, Outcome, Settle, SettleStep, StoredAnswer, call_digest, claim_key,
};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use store::{PlatformError, Written};
use wire::client::Ran;
use wire::platform::{Entry, Put};

/// How long an answer waits for its result to be written down, so that a retry elsewhere finds it.
const SETTLE_WAIT: Duration = Duration::from_secs(1);
/// How long it is tried in all.
const SETTLE_PATIENCE: Duration = Duration::from_secs(20);
/// Pause between tries.
const SETTLE_PAUSE: Duration = Duration::from_millis(100);
/// When to come back for a call that is running.
const IN_PROGRESS_MS: u64 = 1_000;
/// When to come back while the platform is out of reach.
const OUTAGE_MS: u64 = 2_000;

/// What came of a claim.
pub enum Claimed {
    /// The call is this router's.
    Won(HeldClaim),
    /// It has run; this was its answer.
    Answer(StoredAnswer),
    /// It is not run now.
    Refused(Refused),
}

/// What the platform did, owned.
enum Happened {
    Written(Version),
    Conflict(Entry),
    Read(Option<Entry>),
    Lost,
    Unreachable,
    Tick,
}

/// Claims `key` for this call.
pub async fn claim(shared: &Arc<Shared>, call: &Call, key: &IdempotencyKey, attempt: Attempt) -> Claimed {
    let name = claim_key(&call.caller.workspace, key);
    let limits = ClaimLimits::default();
    let request = ClaimRequest {
        nonce: Nonce::from(rand::random::<u128>()),
        call: digest(call),
        wall_ms: wall_ms(),
        attempt,
    };
    let Some(lease) = lease_within(shared, limits.timeout).await else {
        let ran = if attempt == Attempt::First {
            Ran::NotRun
        } else {
            Ran::Unknown
        };
        return Claimed::Refused(Refused::with(Cause::Claim, ran).retry_after(OUTAGE_MS));
    };
    let (mut machine, mut step) = Claim::start(request, limits, shared.clock.now());
    loop {
        let happened = match step {
            ClaimStep::Write { value, expect } => write(shared, &name, Some(value), expect, lease).await,
            ClaimStep::Read => read(shared, &name).await,
            ClaimStep::Wait(pause) => wait(pause).await,
            end => {
                clear(shared, &machine, &name, lease);
                return ended(end, key);
            }
        };
        step = machine.on(event(&happened), shared.clock.now());
    }
}

/// Frees, in the background, a key that this attempt has perhaps claimed without ever hearing of it.
fn clear(shared: &Arc<Shared>, machine: &Claim, name: &str, lease: u64) {
    let until = shared.clock.now() + SETTLE_PATIENCE;
    let Some((settle, step)) = machine.clear(SETTLE_PAUSE, until) else {
        return;
    };
    let (background, name) = (shared.clone(), name.to_owned());
    shared.settling.fetch_add(1, Ordering::SeqCst);
    task::spawn(async move {
        drive(&background, &name, lease, settle, step).await;
        background.settling.fetch_sub(1, Ordering::SeqCst);
    });
}

fn ended(step: ClaimStep, key: &IdempotencyKey) -> Claimed {
    let key = key.clone();
    Claimed::Refused(match step {
        ClaimStep::Won(held) => return Claimed::Won(held),
        ClaimStep::Answer(kept) => return Claimed::Answer(kept),
        ClaimStep::InProgress => Refused::with(Cause::InProgress(key), Ran::Unknown).retry_after(IN_PROGRESS_MS),
        ClaimStep::KeyReused => Refused::not_run(Cause::KeyReused(key)),
        ClaimStep::Unavailable(ran) => Refused::with(Cause::Claim, ran).retry_after(OUTAGE_MS),
        ClaimStep::Unknown | ClaimStep::Ended | ClaimStep::Write { .. } | ClaimStep::Read | ClaimStep::Wait(_) => {
            Refused::with(Cause::Abandoned(key), Ran::Unknown)
        }
    })
}

/// Writes down how a claimed call ended. Waits a while for it, then goes on in the background; a shutdown waits
/// for what is left.
pub async fn settle(
    shared: &Arc<Shared>,
    workspace: &WorkspaceId,
    key: &IdempotencyKey,
    held: HeldClaim,
    outcome: Outcome,
) {
    let name = claim_key(workspace, key);
    let outcome = match outcome {
        Outcome::Done(kept) => Outcome::Done(bounded(kept)),
        other => other,
    };
    shared.settling.fetch_add(1, Ordering::SeqCst);
    let background = shared.clone();
    let settling = task::spawn(async move {
        run_settle(&background, &name, held, outcome).await;
        background.settling.fetch_sub(1, Ordering::SeqCst);
    });
    // The answer is whole whether or not its result is kept.
    let _ = http::timeout(SETTLE_WAIT, settling).await;
}

async fn run_settle(shared: &Arc<Shared>, name: &str, held: HeldClaim, outcome: Outcome) {
    let until = shared.clock.now() + SETTLE_PATIENCE;
    let Some(lease) = lease_within(shared, SETTLE_PATIENCE).await else {
        shared.metrics.platform.with_label_values(&["settle_gave_up"]).inc();
        return;
    };
    let (machine, step) = Settle::start(held, outcome, SETTLE_PAUSE, until);
    drive(shared, name, lease, machine, step).await;
}

async fn drive(shared: &Shared, name: &str, lease: u64, mut machine: Settle, mut step: SettleStep) {
    loop {
        let happened = match step {
            SettleStep::Write { value, expect } => write(shared, name, value, expect, lease).await,
            SettleStep::Read => read(shared, name).await,
            SettleStep::Wait(pause) => wait(pause).await,
            SettleStep::Settled => return,
            SettleStep::GaveUp => {
                shared.metrics.platform.with_label_values(&["settle_gave_up"]).inc();
                return;
            }
        };
        step = machine.on(event(&happened), shared.clock.now());
    }
}

/// The lease that ends claims; `None` if none can be had within `patience`. Calls that need a new lease at the same time
/// wait for one another: without the bound the last of them would wait for as many timeouts of the platform.
async fn lease_within(shared: &Shared, patience: Duration) -> Option<u64> {
    let granted = async {
        loop {
            if let Some(id) = lease(shared).await {
                return id;
            }
            task::sleep(SETTLE_PAUSE).await;
        }
    };
    http::timeout(patience, granted).await.ok()
}

/// The lease that ends claims; `None` while the platform does not grant one.
async fn lease(shared: &Shared) -> Option<u64> {
    let mut current = shared.claim_lease.lock().await;
    let asked = shared.clock.now();
    match current.step(asked) {
        LeaseStep::Use(id) => Some(id),
        LeaseStep::RequestNew => {
            let lease = shared.platform.grant(CLAIM_LEASE_TTL).await.ok()?;
            current.granted(lease.id, asked);
            Some(lease.id)
        }
    }
}

async fn write(shared: &Shared, key: &str, value: Option<String>, expect: Version, lease: u64) -> Happened {
    let put = Put {
        key: key.to_owned(),
        value,
        expect,
        lease: Some(lease),
    };
    match shared.platform.put(&put).await {
        Ok(Written::Done(version)) => Happened::Written(version),
        Ok(Written::Conflict(entry)) => Happened::Conflict(entry),
        Err(err) => failed(shared, &err).await,
    }
}

async fn read(shared: &Shared, key: &str) -> Happened {
    match shared.platform.get(key).await {
        Ok(entry) => Happened::Read(entry),
        Err(err) => failed(shared, &err).await,
    }
}

async fn failed(shared: &Shared, err: &PlatformError) -> Happened {
    let (label, happened) = match err {
        PlatformError::NotSent => ("not_sent", Happened::Unreachable),
        _ => ("lost", Happened::Lost),
    };
    shared.metrics.platform.with_label_values(&[label]).inc();
    if let PlatformError::Refused(_) = err {
        // The platform forgot the lease, as after its own restart: the next claim asks for another.
        shared.claim_lease.lock().await.invalidate();
    }
    happened
}

async fn wait(pause: Duration) -> Happened {
    task::sleep(pause).await;
    Happened::Tick
}

fn event(happened: &Happened) -> ClaimEvent<'_> {
    match happened {
        Happened::Written(version) => ClaimEvent::Written(*version),
        Happened::Conflict(entry) => ClaimEvent::Conflict(seen(Some(entry))),
        Happened::Read(entry) => ClaimEvent::Read(seen(entry.as_ref())),
        Happened::Lost => ClaimEvent::Lost,
        Happened::Unreachable => ClaimEvent::Unreachable,
        Happened::Tick => ClaimEvent::Tick,
    }
}

fn seen(entry: Option<&Entry>) -> EntryState<'_> {
    match entry {
        Some(entry) => EntryState {
            version: entry.version,
            value: entry.value.as_deref(),
        },
        None => EntryState {
            version: Version(0),
            value: None,
        },
    }
}

/// The result as it is kept: a large body is not.
fn bounded(kept: StoredAnswer) -> StoredAnswer {
    let body = kept.body.as_bytes().map_or(Body::TooLarge(0), Body::from_bytes);
    StoredAnswer { body, ..kept }
}

fn digest(call: &Call) -> ids::Digest {
    let content = call::text(&call.head, "content-type").unwrap_or_default();
    let parts: [&[u8]; 5] = [
        call.method.as_ref().as_bytes(),
        call.head.url().path().as_bytes(),
        call.query.as_deref().unwrap_or_default().as_bytes(),
        content.as_bytes(),
        &call.body,
    ];
    call_digest(&parts)
}

fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}
