//! What an endpoint's response says about the endpoint.

use super::in_flight::InFlightAttempt;
use super::rests;
use crate::control::event::LeavingSource;
use crate::dialect::ResponseInfo;
use crate::leaving;
use crate::shared::Shared;
use dispatch::fleet::Prompt;

/// Records what a response says about the endpoint that sent it.
pub(super) fn record_info(
    shared: &Shared,
    attempt: &InFlightAttempt<'_>,
    prompt: Option<&Prompt>,
    status: u16,
    info: &ResponseInfo,
) {
    let now = shared.clock.now();
    let (entry, id) = (&attempt.picked.endpoint, &attempt.picked.endpoint.id);
    let mut fleet = shared.fleet();
    rests::record(&mut fleet, entry, rests::asked(status, info), attempt.began, now);
    if let Some(leaves) = leaving::stated(info, entry, &fleet) {
        leaving::learn(&mut fleet, &shared.events, leaves, LeavingSource::Answer);
    }
    if let Some(load) = info.load {
        fleet.record_load(id, load, now);
    }
    if let (Some(prompt), Some(weights)) = (prompt, info.weights) {
        fleet.record_weights(id, &prompt.model, weights, now);
    }
    // A rejection without a rate does not mean that the limit was lifted.
    let conclusive = info.rate.is_some() || !info.not_run;
    let rate_changed = conclusive && fleet.record_rate(id, info.rate, now);
    let conclusive = info.tolerance.is_some() || !info.not_run;
    let tolerance_changed = conclusive && fleet.record_tolerance(id, info.tolerance, now);
    if !rate_changed && !tolerance_changed {
        return;
    }
    let (rated, brittle) = (fleet.rate_limited_count(), fleet.brittle_count());
    shared.metrics.set_endpoint_limits(&fleet);
    drop(fleet);
    if rate_changed {
        log::info!(
            endpoint = id.as_str(),
            // -1: the endpoint has lifted its limit.
            rate = info.rate.unwrap_or(-1.0),
            rated = rated;
            "endpoint: rate limit changed"
        );
    }
    if tolerance_changed {
        log::info!(
            endpoint = id.as_str(),
            // -1: the endpoint is not brittle any more.
            tolerance = info.tolerance.map_or(-1, i64::from),
            brittle = brittle;
            "endpoint: tolerated rejections changed"
        );
    }
    shared.news_changed();
}
