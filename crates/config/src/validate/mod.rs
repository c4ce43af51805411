//! Inconsistencies inside a document that matches the schema.

mod callers;
mod endpoints;

use crate::{Document, Problem, ProblemKind, Section};
use std::collections::HashMap;

/// Rank of the least urgent priority.
pub(crate) const LAST_RANK: u8 = 9;
/// Largest weight of a workspace.
pub(crate) const MAX_WEIGHT: u32 = 1000;

/// All inconsistencies of `document`; empty if it is valid.
pub fn validate(document: &Document) -> Vec<Problem> {
    let mut problems = Vec::new();
    owners(document, &mut problems);
    keys(document, &mut problems);
    callers::workspaces(document, &mut problems);
    callers::unserved(document, &mut problems);
    targets(document, &mut problems);
    operations(document, &mut problems);
    ranks(document, &mut problems);
    endpoints::endpoints(document, &mut problems);
    problems
}

fn add(problems: &mut Vec<Problem>, path: String, kind: ProblemKind) {
    problems.push(Problem { path, kind });
}

fn owners(document: &Document, problems: &mut Vec<Problem>) {
    for section in Section::ALL {
        if !document
            .operators
            .values()
            .any(|operator| operator.sections.contains(&section))
        {
            add(problems, Section::Operators.to_string(), ProblemKind::NoOwner(section));
        }
    }
}

fn keys(document: &Document, problems: &mut Vec<Problem>) {
    let operators = document
        .operators
        .iter()
        .map(|(name, operator)| (format!("operators.{name}.key"), operator.key));
    let workspaces = document.workspaces.iter().flat_map(|(id, workspace)| {
        let path = move |place| format!("workspaces.{id}.keys[{place}]");
        workspace
            .keys
            .iter()
            .enumerate()
            .map(move |(place, key)| (path(place), *key))
    });
    let mut seen = HashMap::new();
    for (path, key) in operators.chain(workspaces) {
        if let Some(first) = seen.get(&key) {
            add(problems, path, ProblemKind::SharedKey(String::clone(first)));
            continue;
        }
        seen.insert(key, path);
    }
}

fn targets(document: &Document, problems: &mut Vec<Problem>) {
    for (id, model) in &document.models {
        if !model.versions.contains(&model.wanted) {
            let kind = ProblemKind::WantedMissing(model.wanted.clone());
            add(problems, format!("models.{id}.wanted"), kind);
        }
    }
}

fn operations(document: &Document, problems: &mut Vec<Problem>) {
    for (id, service) in &document.services {
        for (place, operation) in service.operations.iter().enumerate() {
            let path = format!("services.{id}.operations[{place}].path");
            if !operation.path.starts_with('/') {
                add(problems, path.clone(), ProblemKind::NoSlash);
            }
            let first = service.operations.iter().position(|other| other.path == operation.path);
            if let Some(first) = first.filter(|first| *first < place) {
                add(problems, path, ProblemKind::DuplicatePath(first));
            }
        }
    }
}

fn ranks(document: &Document, problems: &mut Vec<Problem>) {
    for (name, priority) in &document.priorities {
        if priority.rank.0 > LAST_RANK {
            add(
                problems,
                format!("priorities.{name}.rank"),
                ProblemKind::RankTooHigh(priority.rank.0),
            );
        }
    }
}
