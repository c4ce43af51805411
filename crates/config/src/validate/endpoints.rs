//! Inconsistencies between endpoints, and between endpoints and the models and services they serve.

use super::add;
use crate::{Document, EndpointRole, Problem, ProblemKind};
use std::collections::HashMap;

pub(super) fn endpoints(document: &Document, problems: &mut Vec<Problem>) {
    let mut addresses = HashMap::new();
    for (id, endpoint) in &document.endpoints {
        if let Some(first) = addresses.insert(endpoint.address, id) {
            add(
                problems,
                format!("endpoints.{id}.address"),
                ProblemKind::SharedAddress(first.clone()),
            );
        }
        if endpoint.slots == 0 {
            add(problems, format!("endpoints.{id}.slots"), ProblemKind::NoSlots);
        }
        let unknown = match &endpoint.role {
            EndpointRole::Model(model) if !document.models.contains_key(model) => {
                ProblemKind::UnknownModel(model.clone())
            }
            EndpointRole::Service(service) if !document.services.contains_key(service) => {
                ProblemKind::UnknownService(service.clone())
            }
            _ => continue,
        };
        add(problems, format!("endpoints.{id}.role"), unknown);
    }
}
