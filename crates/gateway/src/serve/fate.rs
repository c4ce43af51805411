//! Finds out whether an endpoint has ended whose connection ended or broke during a request.

use super::RoutedRequest;
use super::attempts::Attempts;
use crate::connections::{self, call_over};
use crate::follow::members::Members;
use crate::shared::Shared;
use async_std::future::timeout;
use async_std::task::{self, JoinHandle};
use control::rendezvous;
use dispatch::attempt::{self, Failure};
use dispatch::fatal_parts::{self, EndedProcess, PartId};
use dispatch::fleet::{PickedEndpoint, Prompt};
use dispatch::quarantine::{self, ContentKey, EndedRun, Fate, Probe, ProcessKey};
use dispatch::site::EndpointEntry;
use futures::FutureExt;
use http::raw::{ExchangeError, Framing, Source, connect};
use std::future::Future;
use std::time::Duration;

/// How long a broken attempt waits to learn whether its endpoint has ended. Endpoints in reach tell within a few
/// milliseconds, and so do the routers that count ends.
const FATE_TIMEOUT: Duration = Duration::from_millis(50);
/// The same for a request under which an endpoint has ended before.
const SUSPECT_FATE_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for the connections and responses of probes. Within a region, both take a few milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause before another probe after the endpoint closed the connection of one.
const PROBE_PAUSE: Duration = Duration::from_millis(10);
/// The response is a report.
const REPORTED: u16 = 200;
/// The endpoint is not the one that was addressed.
const OTHER_ENDPOINT: u16 = 421;

/// The key by which a request is recognized when it comes again under another id.
pub(super) fn content_key(request: &RoutedRequest<'_>) -> ContentKey {
    let incoming = request.incoming;
    let prompt = request.info.prompt.as_ref();
    let parts = prompt.map_or(&[][..], |prompt| &prompt.parts);
    let prompt_bytes: Vec<u8> = parts.iter().flat_map(|part| part.id.to_le_bytes()).collect();
    let workspace = request.workspace.map_or("", |workspace| workspace.as_str());
    ContentKey::of(&[
        incoming.head.method.as_bytes(),
        request.info.host.as_bytes(),
        incoming.head.target.as_bytes(),
        workspace.as_bytes(),
        prompt.map_or("", |prompt| prompt.model.as_str()).as_bytes(),
        &request.info.tokens.unwrap_or_default().to_le_bytes(),
        &prompt_bytes,
        &incoming.body,
    ])
}

/// Ids of the parts of a request's prompt that other requests may share.
fn shared_parts(request: &RoutedRequest<'_>) -> String {
    let parts = request.info.prompt.iter().flat_map(Prompt::shared);
    let ids: Vec<String> = parts.map(|part| format!("{:x}", part.id)).collect();
    ids.join(",")
}

/// Probes an endpoint to find out whether it is still the same process.
async fn check(shared: &Shared, endpoint: &EndpointEntry) -> Probe {
    // The timeout ends the wait for a silent endpoint, so an error is a refusal.
    let open = || connect(endpoint.address, 2 * PROBE_TIMEOUT);
    let probe = timeout(PROBE_TIMEOUT, probe(shared, endpoint, PROBE_TIMEOUT, open)).await;
    probe.unwrap_or(Probe::Silent)
}

/// Asks an endpoint until it answers or accepts no connections. A process that is ending may accept a connection and close it.
async fn probe<F>(shared: &Shared, endpoint: &EndpointEntry, limit: Duration, open: impl Fn() -> F) -> Probe
where
    F: Future<Output = Result<Source, ExchangeError>>,
{
    let (call, headers) = (shared.dialect.identity_call)(&endpoint.id);
    loop {
        let Ok(source) = open().await else {
            return Probe::Refused;
        };
        match call_over(source, endpoint.address, &call, &headers, limit).await {
            Ok((OTHER_ENDPOINT, _)) => return Probe::OtherEndpoint,
            Ok((REPORTED, body)) => match (shared.dialect.parse_incarnation)(&body) {
                Ok(incarnation) => return Probe::Answered(incarnation),
                Err(_) => task::sleep(PROBE_PAUSE).await,
            },
            Ok(_) => return Probe::Answered(None),
            // It answers, although not as the endpoint that was addressed would.
            Err(err) if err.bound().is_some() => return Probe::Silent,
            Err(_) => task::sleep(PROBE_PAUSE).await,
        }
    }
}

/// Whether the endpoint of a response that has just ended is known not to have ended with it, so that the end can be
/// believed. The kernel closes the connections of a process that is killed as regularly as the process itself would.
///
/// Only an answer shows this: an incomplete response can be repeated, one that looks complete can't be called back.
pub(super) async fn confirms_end(
    shared: &Shared,
    endpoint: &EndpointEntry,
    framing: Framing,
    within: Duration,
) -> bool {
    // Few responses are asked for, so that others don't carry the state of the question.
    framing != Framing::UntilClose || ask(shared, endpoint, within).boxed().await
}

/// Whether the process of an endpoint answers.
async fn ask(shared: &Shared, endpoint: &EndpointEntry, within: Duration) -> bool {
    // The response may have come through another router.
    let open = || async {
        let opened = connections::open(shared, endpoint, within).await;
        opened.map(|connection| connection.source)
    };
    let probe = timeout(within, probe(shared, endpoint, within, open)).await;
    let probe = probe.unwrap_or(Probe::Silent);
    let confirmed = quarantine::fate(probe, endpoint.incarnation, 0) == Fate::Alive;
    let outcome = if confirmed { "confirmed" } else { "unconfirmed" };
    shared.metrics.unframed_ends.with_label_values(&[outcome]).inc();
    log::info!(endpoint = endpoint.id.as_str(), probe:? = probe, outcome = outcome; "response: ended with its connection");
    confirmed
}

/// This router's place among those that may try a request with a held part.
fn trial_rank(shared: &Shared, part: PartId) -> Option<usize> {
    let own = shared.settings.load().vm.clone();
    let routers = Members::read(shared).ids();
    let ranked = rendezvous::choose(&part.to_string(), &routers, fatal_parts::TRIAL_OWNERS);
    ranked.into_iter().position(|router| *router == own)
}

impl Attempts<'_> {
    /// Whether another attempt is made after one that failed. If its connection broke, whether the endpoint has ended is found
    /// out first, so that neither this router nor the client's next try ends another one.
    pub(super) async fn may_go_on(&mut self, picked: &PickedEndpoint, failure: Failure) -> bool {
        if failure != Failure::Broken {
            return self.may_retry(failure);
        }
        let is_suspect =
            self.shared.quarantine().is_suspect(self.content) || self.shared.part_holds.is_suspect(&self.parts());
        let checked = self.check_endpoint(picked);
        // The endpoint of a broken connection may be silent, and a first retry must not wait for that.
        let within = if is_suspect { SUSPECT_FATE_TIMEOUT } else { FATE_TIMEOUT };
        let _ = timeout(within.min(self.remaining()), checked).await;
        self.held_for().is_none() && self.may_retry(failure)
    }

    /// Finds out in the background whether the endpoint of a broken attempt has ended, and tells other routers.
    fn check_endpoint(&self, picked: &PickedEndpoint) -> JoinHandle<()> {
        let (shared, entry) = (self.shared.clone(), picked.endpoint.clone());
        let content = self.content;
        let id = self.request.info.id.clone();
        let parts = shared_parts(self.request);
        let ended = self.shared.clock.now();
        let first_event = self.first_event(picked);
        let suspects = if fatal_parts::is_suspect_run(first_event, ended) {
            shared.part_holds.suspects(&self.parts())
        } else {
            // It was answered long enough to show that no part ends the endpoint.
            shared
                .part_holds
                .record_answer(&self.parts(), first_event.unwrap_or(ended), ended);
            Vec::new()
        };
        task::spawn(async move {
            let probe = check(&shared, &entry).await;
            let unreachable = shared.fleet().unreachable_count().saturating_sub(1);
            let fate = quarantine::fate(probe, entry.incarnation, unreachable);
            shared.metrics.broken.with_label_values(&[fate.name()]).inc();
            log::info!(
                id = id.as_str(),
                endpoint = entry.id.as_str(),
                content:% = content,
                fate = fate.name(),
                parts = parts.as_str();
                "attempt: connection broke"
            );
            let process = ProcessKey::of(&entry.id, entry.incarnation);
            let report_content = async {
                if fate == Fate::Ended {
                    let run = EndedRun {
                        content,
                        process,
                        ended,
                    };
                    crate::quarantine::report(&shared, run).await;
                }
            };
            // A failure of many endpoints at once is told by when they ended, so endpoints out of reach don't matter.
            let is_gone = quarantine::fate(probe, entry.incarnation, 0) == Fate::Ended;
            let report_parts = async {
                if is_gone && !suspects.is_empty() {
                    let end = EndedProcess {
                        process,
                        ended,
                        suspects,
                    };
                    shared.part_holds.report(end).await;
                }
            };
            futures::join!(report_content, report_parts);
        })
    }

    /// How long to wait until an endpoint confirms the end of its response.
    pub(super) fn end_timeout(&self) -> Duration {
        attempt::end_timeout(self.request.route.kind, self.remaining())
    }

    /// The parts of the prompt that other requests may share.
    fn parts(&self) -> Vec<PartId> {
        self.request
            .info
            .prompt
            .as_ref()
            .map(PartId::shared)
            .unwrap_or_default()
    }

    /// How long the request is kept from endpoints because others have ended under it or a part of its prompt, if it is.
    pub(super) fn held_for(&self) -> Option<Duration> {
        let now = self.shared.clock.now();
        let held = self.shared.quarantine().remaining(self.content, now);
        let rank = |part: PartId| trial_rank(self.shared, part);
        held.or_else(|| self.shared.part_holds.remaining(&self.parts(), self.content, rank, now))
    }

    /// Records that an endpoint has completely answered the attempt that began then.
    pub(super) fn record_parts(&self, status: u16, began: Duration) {
        if (200..300).contains(&status) {
            let now = self.shared.clock.now();
            self.shared.part_holds.record_answer(&self.parts(), began, now);
        }
    }

    /// Records that an endpoint survived the request.
    pub(super) fn record_answer(&self) {
        let now = self.shared.clock.now();
        self.shared.quarantine().record_answer(self.content, now);
    }
}
