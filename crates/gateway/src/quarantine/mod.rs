//! Tells other routers under which requests endpoints have ended.
//!
//! A client's next try may reach any router a few milliseconds after the last one has failed. But most ends are of no
//! interest to others: an endpoint that fails ends all requests that it ran. So a router reports an end to the few
//! routers that rendezvous hashing chooses for the request. They count the ends, and tell all others from the second one
//! on. Only then is the report answered, and the client after it. Routers that start later, or were not reached,
//! learn of requests in quarantine with the next news.

use crate::follow::members::Members;
use crate::shared::Shared;
use control::rendezvous;
use dispatch::quarantine::{ContentKey, EndedRun};
use futures::future::join_all;
use ids::VmId;
use peers::{EndMessage, EndsMessage, PeerError, Upstream, age_ms, time_of};
use std::net::SocketAddr;
use std::time::Duration;

/// Routers that count the ends of a request. One may be unreachable, or have started since.
const COUNTERS: usize = 2;
/// Longest wait for a router, for its connection and again for its response.
const CALL_TIMEOUT: Duration = Duration::from_millis(100);
/// The same for a report. Its receiver tells other routers before it responds.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);

/// Reports an end. Returns when the routers that were reached know of it, if it is not the first one.
pub async fn report(shared: &Shared, run: EndedRun) {
    merge(shared, &[run]);
    let members = Members::read(shared);
    let own = shared.settings.load().vm.clone();
    let ids = members.ids();
    let counters = rendezvous::choose(&run.content.to_string(), &ids, COUNTERS);
    let is_counter = counters.contains(&&own);
    let others = counters.into_iter().filter(|counter| **counter != own);
    let calls = others.filter_map(|counter| Some(report_to(shared, counter, members.address(counter)?, run)));
    join_all(calls).await;
    if is_counter {
        tell_others(shared, &[run.content]).await;
    }
}

/// Reports an end to a router that counts, and learns what that knows. A router that counts too may have started since.
async fn report_to(shared: &Shared, counter: &VmId, address: SocketAddr, run: EndedRun) {
    let message = EndsMessage {
        ends: messages(shared, &[run]),
        forward: true,
    };
    match send(address, message, REPORT_TIMEOUT).await {
        Ok(known) => {
            merge(shared, &parse(shared, &known));
        }
        Err(err) => log::info!(router = counter.as_str(), why:% = err; "quarantine: cannot report an end"),
    }
}

/// Handles the ends that another router reports. Returns all ends that are known under the same requests.
pub async fn handle(shared: &Shared, message: EndsMessage) -> Vec<EndMessage> {
    let runs = parse(shared, &message.ends);
    let changed = merge(shared, &runs);
    if message.forward {
        tell_others(shared, &changed).await;
    }
    let contents: Vec<ContentKey> = runs.iter().map(|run| run.content).collect();
    let known = shared.quarantine().runs(&contents);
    messages(shared, &known)
}

/// The ends to repeat with the news.
pub fn repeated(shared: &Shared) -> Vec<EndMessage> {
    let runs = shared.quarantine().repeated(shared.clock.now());
    messages(shared, &runs)
}

/// Merges ends that came with the news.
pub fn merge_repeated(shared: &Shared, ends: &[EndMessage]) {
    if !ends.is_empty() {
        merge(shared, &parse(shared, ends));
    }
}

/// Merges ends. Returns the requests of which one was new.
fn merge(shared: &Shared, runs: &[EndedRun]) -> Vec<ContentKey> {
    let now = shared.clock.now();
    let (changed, count) = {
        let mut quarantine = shared.quarantine();
        (quarantine.merge(runs, now), quarantine.count(now))
    };
    shared.metrics.quarantined.set(count as i64);
    for content in &changed {
        let quarantine = shared.quarantine();
        let ends = quarantine.runs(&[*content]).len();
        let remaining = quarantine.remaining(*content, now);
        drop(quarantine);
        let Some(remaining) = remaining else { continue };
        log::warn!(content:% = content, ends = ends, remaining_ms = remaining.as_millis() as u64; "quarantine: request held back");
    }
    changed
}

/// Tells all other routers the ends under these requests, if there are several under one.
async fn tell_others(shared: &Shared, contents: &[ContentKey]) {
    let recurrent: Vec<ContentKey> = {
        let quarantine = shared.quarantine();
        let recurrent = contents.iter().filter(|content| quarantine.is_recurrent(**content));
        recurrent.copied().collect()
    };
    if recurrent.is_empty() {
        return;
    }
    let runs = shared.quarantine().runs(&recurrent);
    let message = EndsMessage {
        ends: messages(shared, &runs),
        forward: false,
    };
    let own = shared.settings.load().vm.clone();
    let others = Members::read(shared).others(&own);
    let calls = others
        .iter()
        .map(|(vm, member)| tell(vm, member.address, message.clone()));
    join_all(calls).await;
}

async fn tell(vm: &VmId, address: SocketAddr, message: EndsMessage) {
    if let Err(err) = send(address, message, CALL_TIMEOUT).await {
        log::info!(router = vm.as_str(), why:% = err; "quarantine: cannot tell a router");
    }
}

async fn send(address: SocketAddr, message: EndsMessage, within: Duration) -> Result<Vec<EndMessage>, PeerError> {
    let upstream = Upstream::connect(address, CALL_TIMEOUT).await?;
    upstream.ends(message, within).await
}

fn messages(shared: &Shared, runs: &[EndedRun]) -> Vec<EndMessage> {
    let now = shared.clock.now();
    let message = |run: &EndedRun| EndMessage(run.content, run.process, age_ms(run.ended, now));
    runs.iter().map(message).collect()
}

fn parse(shared: &Shared, messages: &[EndMessage]) -> Vec<EndedRun> {
    let now = shared.clock.now();
    let run = |EndMessage(content, process, age): &EndMessage| EndedRun {
        content: *content,
        process: *process,
        ended: time_of(*age, now),
    };
    messages.iter().map(run).collect()
}
