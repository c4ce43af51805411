//! Runs the claim state machines of `lifecycle` against the platform.

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

/// How long a response waits until its result is stored, so that a retry through another router finds it.
const SETTLE_WAIT: Duration = Duration::from_secs(1);
/// Time after which storing a result is given up.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay between attempts.
const SETTLE_PAUSE: Duration = Duration::from_millis(100);
/// Retry-after time of a request in progress, milliseconds.
const IN_PROGRESS_RETRY_MS: u64 = 1_000;
/// Retry-after time while the platform is unreachable, milliseconds.
const OUTAGE_RETRY_MS: u64 = 2_000;

/// Result of a claim.
pub enum ClaimResult {
    /// This router may run the request.
    Won(HeldClaim),
    /// The request has run; its stored response.
    Answer(StoredAnswer),
    /// The request is refused.
    Refused(Refused),
}

/// Result of a platform call, owned.
enum PlatformResult {
    Written(Version),
    Conflict(Entry),
    Read(Option<Entry>),
    AnswerLost,
    Unreachable,
    Tick,
}

/// Claims `key` for this request.
pub async fn claim(shared: &Arc<Shared>, call: &Call, key: &IdempotencyKey, attempt: Attempt) -> ClaimResult {
    let name = claim_key(&call.auth.workspace, key);
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
        return ClaimResult::Refused(Refused::new(Cause::ClaimUnavailable, ran).retry_after(OUTAGE_RETRY_MS));
    };
    let (mut machine, mut step) = Claim::start(request, limits, shared.clock.now());
    loop {
        let result = match step {
            ClaimStep::Write { value, expect } => write(shared, &name, Some(value), expect, lease).await,
            ClaimStep::Read => read(shared, &name).await,
            ClaimStep::Wait(pause) => wait(pause).await,
            end => {
                release(shared, &machine, &name, lease);
                return claim_result(end, key);
            }
        };
        step = machine.on(event(&result), shared.clock.now());
    }
}

/// Releases a key in the background that this attempt may have claimed without receiving confirmation.
fn release(shared: &Arc<Shared>, machine: &Claim, name: &str, lease: u64) {
    let until = shared.clock.now() + SETTLE_TIMEOUT;
    let Some((settle, step)) = machine.clear(SETTLE_PAUSE, until) else {
        return;
    };
    let (background, name) = (shared.clone(), name.to_owned());
    shared.settling.fetch_add(1, Ordering::SeqCst);
    task::spawn(async move {
        run_settlement(&background, &name, lease, settle, step).await;
        background.settling.fetch_sub(1, Ordering::SeqCst);
    });
}

fn claim_result(step: ClaimStep, key: &IdempotencyKey) -> ClaimResult {
    let key = key.clone();
    ClaimResult::Refused(match step {
        ClaimStep::Acquired(held) => return ClaimResult::Won(held),
        ClaimStep::Answer(stored) => return ClaimResult::Answer(stored),
        ClaimStep::InProgress => Refused::new(Cause::InProgress(key), Ran::Unknown).retry_after(IN_PROGRESS_RETRY_MS),
        ClaimStep::KeyReused => Refused::not_run(Cause::KeyReused(key)),
        ClaimStep::Unavailable(ran) => Refused::new(Cause::ClaimUnavailable, ran).retry_after(OUTAGE_RETRY_MS),
        ClaimStep::Unknown | ClaimStep::Ended | ClaimStep::Write { .. } | ClaimStep::Read | ClaimStep::Wait(_) => {
            Refused::new(Cause::Abandoned(key), Ran::Unknown)
        }
    })
}

/// Stores the outcome of a claimed request. Waits up to [`SETTLE_WAIT`], then continues in the background. Shutdown
/// waits for unfinished tasks.
pub async fn settle(
    shared: &Arc<Shared>,
    workspace: &WorkspaceId,
    key: &IdempotencyKey,
    held: HeldClaim,
    outcome: Outcome,
) {
    let name = claim_key(workspace, key);
    let outcome = match outcome {
        Outcome::Done(stored) => Outcome::Done(bounded(stored)),
        other => other,
    };
    shared.settling.fetch_add(1, Ordering::SeqCst);
    let background = shared.clone();
    let settling = task::spawn(async move {
        settle_claim(&background, &name, held, outcome).await;
        background.settling.fetch_sub(1, Ordering::SeqCst);
    });
    // The response is valid whether or not its result is stored.
    let _ = http::timeout(SETTLE_WAIT, settling).await;
}

async fn settle_claim(shared: &Arc<Shared>, name: &str, held: HeldClaim, outcome: Outcome) {
    let until = shared.clock.now() + SETTLE_TIMEOUT;
    let Some(lease) = lease_within(shared, SETTLE_TIMEOUT).await else {
        shared.metrics.platform.with_label_values(&["settle_gave_up"]).inc();
        return;
    };
    let (machine, step) = Settle::start(held, outcome, SETTLE_PAUSE, until);
    run_settlement(shared, name, lease, machine, step).await;
}

async fn run_settlement(shared: &Shared, name: &str, lease: u64, mut machine: Settle, mut step: SettleStep) {
    loop {
        let result = match step {
            SettleStep::Write { value, expect } => write(shared, name, value, expect, lease).await,
            SettleStep::Read => read(shared, name).await,
            SettleStep::Wait(pause) => wait(pause).await,
            SettleStep::Settled => return,
            SettleStep::GaveUp => {
                shared.metrics.platform.with_label_values(&["settle_gave_up"]).inc();
                return;
            }
        };
        step = machine.on(event(&result), shared.clock.now());
    }
}

/// The lease that claims are attached to; `None` if none is granted within `timeout`. Requests that need a new lease
/// at the same time wait for one another: without the bound the last of them would wait for as many platform
/// timeouts.
async fn lease_within(shared: &Shared, timeout: Duration) -> Option<u64> {
    let granted = async {
        loop {
            if let Some(id) = lease(shared).await {
                return id;
            }
            task::sleep(SETTLE_PAUSE).await;
        }
    };
    http::timeout(timeout, granted).await.ok()
}

/// The lease that claims are attached to; `None` while the platform does not grant one.
async fn lease(shared: &Shared) -> Option<u64> {
    let mut current = shared.claim_lease.lock().await;
    let requested = shared.clock.now();
    match current.step(requested) {
        LeaseStep::Use(id) => Some(id),
        LeaseStep::RequestNew => {
            let lease = shared.platform.grant(CLAIM_LEASE_TTL).await.ok()?;
            current.granted(lease.id, requested);
            Some(lease.id)
        }
    }
}

async fn write(shared: &Shared, key: &str, value: Option<String>, expect: Version, lease: u64) -> PlatformResult {
    let put = Put {
        key: key.to_owned(),
        value,
        expect,
        lease: Some(lease),
    };
    match shared.platform.put(&put).await {
        Ok(Written::Done(version)) => PlatformResult::Written(version),
        Ok(Written::Conflict(entry)) => PlatformResult::Conflict(entry),
        Err(err) => failed(shared, &err).await,
    }
}

async fn read(shared: &Shared, key: &str) -> PlatformResult {
    match shared.platform.get(key).await {
        Ok(entry) => PlatformResult::Read(entry),
        Err(err) => failed(shared, &err).await,
    }
}

async fn failed(shared: &Shared, err: &PlatformError) -> PlatformResult {
    let (label, result) = match err {
        PlatformError::NotSent => ("not_sent", PlatformResult::Unreachable),
        _ => ("lost", PlatformResult::AnswerLost),
    };
    shared.metrics.platform.with_label_values(&[label]).inc();
    if let PlatformError::Refused(_) = err {
        // The platform does not know the lease, for example after a restart: the next claim requests a new one.
        shared.claim_lease.lock().await.invalidate();
    }
    result
}

async fn wait(pause: Duration) -> PlatformResult {
    task::sleep(pause).await;
    PlatformResult::Tick
}

fn event(result: &PlatformResult) -> ClaimEvent<'_> {
    match result {
        PlatformResult::Written(version) => ClaimEvent::Written(*version),
        PlatformResult::Conflict(entry) => ClaimEvent::Conflict(entry_state(Some(entry))),
        PlatformResult::Read(entry) => ClaimEvent::Read(entry_state(entry.as_ref())),
        PlatformResult::AnswerLost => ClaimEvent::Lost,
        PlatformResult::Unreachable => ClaimEvent::Unreachable,
        PlatformResult::Tick => ClaimEvent::Tick,
    }
}

fn entry_state(entry: Option<&Entry>) -> EntryState<'_> {
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

/// The result in its stored form, without a body that is too large.
fn bounded(stored: StoredAnswer) -> StoredAnswer {
    let body = stored.body.as_bytes().map_or(Body::TooLarge(0), Body::from_bytes);
    StoredAnswer { body, ..stored }
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
