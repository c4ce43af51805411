//! Finds out whether an endpoint has ended whose connection broke during a request.

use super::RoutedRequest;
use crate::connections::call_over;
use crate::shared::Shared;
use dispatch::quarantine::{self, ContentKey, Fate, Probe};
use dispatch::site::EndpointEntry;
use http::raw::connect;
use std::time::Duration;

/// Longest wait for a probe's connection and response. Within a region, both take a few milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
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

/// Asks an endpoint whether it is still the same process.
pub(super) async fn check(shared: &Shared, endpoint: &EndpointEntry) -> Fate {
    let began = shared.clock.now();
    let probe = match connect(endpoint.address, PROBE_TIMEOUT).await {
        Err(_) if shared.clock.now().saturating_sub(began) >= PROBE_TIMEOUT => Probe::Silent,
        Err(_) => Probe::Refused,
        Ok(source) => {
            let (call, headers) = (shared.dialect.identity_call)(&endpoint.id);
            match call_over(source, endpoint.address, &call, &headers, PROBE_TIMEOUT).await {
                Ok((OTHER_ENDPOINT, _)) => Probe::OtherEndpoint,
                Ok((_, body)) => Probe::Answered((shared.dialect.parse_incarnation)(&body)),
                Err(_) => Probe::Silent,
            }
        }
    };
    let unreachable = shared.fleet().unreachable_count();
    quarantine::fate(probe, endpoint.incarnation, unreachable.saturating_sub(1))
}
