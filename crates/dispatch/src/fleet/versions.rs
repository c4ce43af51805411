//! Versions of the endpoints' software.

use super::Fleet;
use super::endpoint_state::EndpointState;
use crate::origins::RETENTION;
use ids::{EndpointId, ServiceId, SoftwareVersion};
use std::collections::BTreeSet;
use std::time::Duration;

/// A version that an endpoint had which has left or restarted.
#[derive(Debug)]
pub(super) struct DepartedVersion {
    service: ServiceId,
    software: SoftwareVersion,
    at: Duration,
}

/// Versions of the software that the endpoint of a request may have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SoftwareRule<'a> {
    /// All.
    Any,
    /// This one: the request continues a stream.
    Only(&'a SoftwareVersion),
    /// Those at which streams may begin.
    Active,
    /// The same if an endpoint of one is listed, even if it can't serve the request. It is unknown whether the others may begin
    /// streams by now, and other routers may take the record for a proof that none began there.
    ActiveIfListed,
}

impl Fleet {
    /// Sets the versions of a service's software at which streams may begin. Without them, all may.
    pub fn set_active_versions(&mut self, service: &ServiceId, versions: &BTreeSet<SoftwareVersion>) {
        self.active_versions.insert(service.clone(), versions.clone());
    }

    /// Whether streams may only begin at active versions under this rule.
    pub(super) fn requires_active(&self, service: &ServiceId, rule: SoftwareRule<'_>) -> bool {
        match rule {
            SoftwareRule::Any | SoftwareRule::Only(_) => false,
            SoftwareRule::Active => true,
            SoftwareRule::ActiveIfListed => self.serving_all(service).any(|state| self.is_active(state)),
        }
    }

    /// The endpoints of a service that don't leave.
    pub(super) fn serving_all(&self, service: &ServiceId) -> impl Iterator<Item = &EndpointState> {
        let states = self.endpoints.values();
        states.filter(move |state| state.entry.service == *service && !state.entry.draining)
    }

    pub(super) fn is_active(&self, state: &EndpointState) -> bool {
        let active = self.active_versions.get(&state.entry.service);
        active.is_none_or(|active| active.contains(&state.entry.software))
    }

    /// Versions of a service's software seen within [`RETENTION`].
    pub fn versions(&self, service: &ServiceId, now: Duration) -> BTreeSet<&SoftwareVersion> {
        let states = self.endpoints.values().filter(|state| state.entry.service == *service);
        let current = states.map(|state| &state.entry.software);
        let departed = self
            .departed_versions
            .iter()
            .filter(|departed| departed.service == *service && now.saturating_sub(departed.at) < RETENTION);
        current.chain(departed.map(|departed| &departed.software)).collect()
    }

    /// Version of the software of an endpoint in service.
    pub fn software(&self, id: &EndpointId) -> Option<&SoftwareVersion> {
        self.endpoints.get(id).map(|state| &state.entry.software)
    }

    /// Records that an endpoint with this state has left or restarted.
    pub(super) fn version_departed(&mut self, state: &EndpointState, now: Duration) {
        let entry = &state.entry;
        self.departed_versions.retain(|departed| {
            let is_same = departed.service == entry.service && departed.software == entry.software;
            !is_same && now.saturating_sub(departed.at) < RETENTION
        });
        self.departed_versions.push(DepartedVersion {
            service: entry.service.clone(),
            software: entry.software.clone(),
            at: now,
        });
    }
}
