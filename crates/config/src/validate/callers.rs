//! Inconsistencies that affect clients: workspaces without keys, and models or services without endpoints.

use super::{MAX_WEIGHT, add};
use crate::{Document, EndpointRole, Problem, ProblemKind};

pub(super) fn workspaces(document: &Document, problems: &mut Vec<Problem>) {
    for (id, workspace) in &document.workspaces {
        if workspace.keys.is_empty() {
            add(problems, format!("workspaces.{id}.keys"), ProblemKind::NoKey);
        }
        if !(1..=MAX_WEIGHT).contains(&workspace.weight) {
            add(
                problems,
                format!("workspaces.{id}.weight"),
                ProblemKind::WeightOutside(workspace.weight),
            );
        }
        for (place, model) in workspace.models.iter().enumerate() {
            if !document.models.contains_key(model) {
                let kind = ProblemKind::UnknownModel(model.clone());
                add(problems, format!("workspaces.{id}.models[{place}]"), kind);
            }
        }
        for (place, service) in workspace.services.iter().enumerate() {
            if !document.services.contains_key(service) {
                let kind = ProblemKind::UnknownService(service.clone());
                add(problems, format!("workspaces.{id}.services[{place}]"), kind);
            }
        }
        let limits = &workspace.limits;
        let checked = [
            ("requests_per_second", limits.requests_per_second),
            ("tokens_per_second", limits.tokens_per_second),
        ];
        for (name, limit) in checked {
            if limit == Some(0) {
                add(
                    problems,
                    format!("workspaces.{id}.limits.{name}"),
                    ProblemKind::ZeroLimit,
                );
            }
        }
    }
}

/// Models and services that a workspace uses and no endpoint serves: each request for one would be refused.
pub(super) fn unserved(document: &Document, problems: &mut Vec<Problem>) {
    let served = |role: &EndpointRole| document.endpoints.values().any(|endpoint| endpoint.role == *role);
    for model in document.models.keys() {
        let user = document
            .workspaces
            .iter()
            .find(|(_, workspace)| workspace.models.contains(model));
        let Some((id, _)) = user else { continue };
        if !served(&EndpointRole::Model(model.clone())) {
            add(
                problems,
                format!("models.{model}"),
                ProblemKind::ModelStranded(id.clone()),
            );
        }
    }
    for service in document.services.keys() {
        let user = document
            .workspaces
            .iter()
            .find(|(_, workspace)| workspace.services.contains(service));
        let Some((id, _)) = user else { continue };
        if !served(&EndpointRole::Service(service.clone())) {
            add(
                problems,
                format!("services.{service}"),
                ProblemKind::ServiceStranded(id.clone()),
            );
        }
    }
}
