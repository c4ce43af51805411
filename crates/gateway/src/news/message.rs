//! Conversions between messages and what the decisions work with.

use super::CALL_TIMEOUT;
use crate::control::event::LeavingSource;
use crate::leaving;
use crate::quarantine;
use crate::shared::Shared;
use dispatch::fleet::{Backlog, BacklogSource, BrittleUpdate, Fleet, RateUpdate, Rejection, SpeedKey, SpeedSum};
use dispatch::leaving::LeavingEndpoint;
use dispatch::quotas::{Demand, Level, Usage};
use ids::WorkspaceId;
use peers::{
    BacklogMessage, DemandMessage, EndMessage, HoldMessage, LeavingMessage, LevelMessage, RateMessage,
    RejectionMessage, SpeedMessage, ToleranceMessage, UsageMessage, age_ms, time_of,
};
use std::collections::HashMap;
use std::time::Duration;

/// What is repeated until routers no longer need it: requests under which endpoints end, and endpoints that leave.
pub(super) struct Incidents {
    leaving: Vec<LeavingMessage>,
    ends: Vec<EndMessage>,
    held_parts: Vec<HoldMessage>,
}

impl Incidents {
    /// What is repeated to routers that may have started since or were not reached.
    pub(super) fn repeated(shared: &Shared) -> Self {
        let leaving = shared.leaving.load();
        let message = |endpoint: &LeavingEndpoint| LeavingMessage(endpoint.id.clone(), endpoint.incarnation);
        Self {
            leaving: leaving.iter().map(message).collect(),
            ends: quarantine::repeated(shared),
            held_parts: shared.part_holds.repeated(shared.clock.now()),
        }
    }
}

/// The message with a backlog, the statements that endpoints made recently, and what is to be repeated.
pub(super) fn backlog(backlog: Backlog, fleet: &Fleet, incidents: Incidents, now: Duration) -> BacklogMessage {
    let rates = fleet.recent_rates(now);
    let rate = |rate: &RateUpdate| RateMessage(rate.endpoint, rate.rate, age_ms(rate.reported_at, now));
    let tolerances = fleet.recent_tolerances(now);
    let tolerance =
        |update: &BrittleUpdate| ToleranceMessage(update.endpoint, update.tolerance, age_ms(update.reported_at, now));
    let rejections = fleet.recent_rejections(now);
    let rejection = |found: &Rejection| RejectionMessage(found.endpoint, found.running, age_ms(found.rejected_at, now));
    BacklogMessage {
        tokens: backlog.tokens,
        lane_tokens: backlog.lane_tokens,
        unreachable: backlog.unreachable,
        kinds: backlog.kinds,
        rates: rates.iter().map(rate).collect(),
        tolerances: tolerances.iter().map(tolerance).collect(),
        rejections: rejections.iter().map(rejection).collect(),
        ends: incidents.ends,
        held_parts: incidents.held_parts,
        leaving: incidents.leaving,
        speeds: None,
    }
}

/// Applies a backlog from another router.
pub(super) fn apply_backlog(shared: &Shared, source: BacklogSource, message: BacklogMessage, now: Duration) {
    quarantine::merge_repeated(shared, &message.ends);
    shared.part_holds.merge_repeated(&message.held_parts, now);
    // The report is assumed to be as old as possible. Otherwise a report that returns to its sender would seem newer
    // than the original.
    let reported_at = |age: u64| time_of(age, now).saturating_sub(CALL_TIMEOUT);
    let rate = |RateMessage(endpoint, rate, age): &RateMessage| RateUpdate {
        endpoint: *endpoint,
        rate: *rate,
        reported_at: reported_at(*age),
    };
    let rates: Vec<RateUpdate> = message.rates.iter().map(rate).collect();
    let tolerance = |ToleranceMessage(endpoint, tolerance, age): &ToleranceMessage| BrittleUpdate {
        endpoint: *endpoint,
        tolerance: *tolerance,
        reported_at: reported_at(*age),
    };
    let tolerances: Vec<BrittleUpdate> = message.tolerances.iter().map(tolerance).collect();
    let rejection = |RejectionMessage(endpoint, running, age): &RejectionMessage| Rejection {
        endpoint: *endpoint,
        running: *running,
        rejected_at: reported_at(*age),
    };
    let rejections: Vec<Rejection> = message.rejections.iter().map(rejection).collect();
    let backlog = Backlog {
        tokens: message.tokens,
        lane_tokens: message.lane_tokens,
        unreachable: message.unreachable,
        kinds: message.kinds,
    };
    let mut fleet = shared.fleet();
    merge_leaving(shared, &mut fleet, message.leaving);
    if let Some(speeds) = message.speeds {
        fleet.update_speeds(source.clone(), parse_speeds(speeds), now);
    }
    fleet.update_backlog(source, backlog, now);
    let rates_changed = fleet.merge_rates(&rates, now);
    let tolerances_changed = fleet.merge_tolerances(&tolerances);
    fleet.merge_rejections(&rejections);
    if !rates_changed && !tolerances_changed {
        return;
    }
    let (rated, brittle) = (fleet.rate_limited_count(), fleet.brittle_count());
    shared.metrics.set_endpoint_limits(&fleet);
    drop(fleet);
    if rates_changed {
        log::info!(rated = rated; "endpoint: rate limit received from another router");
    }
    if tolerances_changed {
        log::info!(brittle = brittle; "endpoint: tolerated rejections received from another router");
    }
    shared.news_changed();
}

/// Learns of endpoints that have stated to other routers that they leave.
fn merge_leaving(shared: &Shared, fleet: &mut Fleet, messages: Vec<LeavingMessage>) {
    let known = shared.leaving.load();
    for LeavingMessage(id, incarnation) in messages {
        let endpoint = LeavingEndpoint { id, incarnation };
        if !known.contains(&endpoint) {
            leaving::learn(fleet, &shared.events, endpoint, LeavingSource::Router);
        }
    }
}

pub(super) fn speeds(sums: Vec<(SpeedKey, SpeedSum)>) -> Vec<SpeedMessage> {
    let message = |((endpoint, incarnation, kind), sum): (SpeedKey, SpeedSum)| {
        let values = [sum.weight, sum.load, sum.log, sum.load_load, sum.load_log];
        SpeedMessage(endpoint, incarnation, kind, values.map(|value| value as f32))
    };
    sums.into_iter().map(message).collect()
}

fn parse_speeds(messages: Vec<SpeedMessage>) -> Vec<(SpeedKey, SpeedSum)> {
    let sum = |SpeedMessage(endpoint, incarnation, kind, values)| {
        let [weight, load, log, load_load, load_log] = values.map(f64::from);
        let sum = SpeedSum {
            weight,
            load,
            log,
            load_load,
            load_log,
        };
        ((endpoint, incarnation, kind), sum)
    };
    messages.into_iter().map(sum).collect()
}

/// Use of quotas, and the patient part of it.
pub(super) fn usage(usage: &[(WorkspaceId, Usage)]) -> (Vec<UsageMessage>, Vec<UsageMessage>) {
    let total = |(id, usage): &(WorkspaceId, Usage)| UsageMessage(id.clone(), usage.spent, usage.asked);
    let patient =
        |(id, usage): &(WorkspaceId, Usage)| UsageMessage(id.clone(), usage.patient_spent, usage.patient_asked);
    let has_patient = |(_, usage): &&(WorkspaceId, Usage)| usage.patient_spent != 0.0 || usage.patient_asked != 0.0;
    let patients = usage.iter().filter(has_patient).map(patient).collect();
    (usage.iter().map(total).collect(), patients)
}

pub(super) fn parse_usage(messages: Vec<UsageMessage>, patients: Vec<UsageMessage>) -> Vec<(WorkspaceId, Usage)> {
    let patient = |UsageMessage(workspace, spent, asked)| (workspace, (spent, asked));
    let patients: HashMap<WorkspaceId, (f64, f64)> = patients.into_iter().map(patient).collect();
    let usage = |UsageMessage(workspace, spent, asked)| {
        let (patient_spent, patient_asked) = patients.get(&workspace).copied().unwrap_or_default();
        let usage = Usage {
            spent,
            asked,
            patient_spent,
            patient_asked,
        };
        (workspace, usage)
    };
    messages.into_iter().map(usage).collect()
}

/// Levels, and the demand by class of those for which it is known.
pub(super) fn levels(levels: &[(WorkspaceId, Level)]) -> (Vec<LevelMessage>, Vec<DemandMessage>) {
    let level = |(id, level): &(WorkspaceId, Level)| LevelMessage(id.clone(), level.level, level.share);
    let demand = |(id, level): &(WorkspaceId, Level)| {
        let demand = level.demand?;
        Some(DemandMessage(id.clone(), demand.rate, demand.urgent, demand.patient))
    };
    (
        levels.iter().map(level).collect(),
        levels.iter().filter_map(demand).collect(),
    )
}

pub(super) fn parse_levels(messages: Vec<LevelMessage>, demand: Vec<DemandMessage>) -> Vec<(WorkspaceId, Level)> {
    let known = |DemandMessage(workspace, rate, urgent, patient)| (workspace, Demand { rate, urgent, patient });
    let demand: HashMap<WorkspaceId, Demand> = demand.into_iter().map(known).collect();
    let level = |LevelMessage(workspace, level, share)| {
        let demand = demand.get(&workspace).copied();
        (workspace, Level { level, share, demand })
    };
    messages.into_iter().map(level).collect()
}
