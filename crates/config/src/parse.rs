//! Reads a document from text and reports every error at once.

use crate::{Document, Problem, ProblemKind, Section, strict, validate};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::BTreeMap;

/// Parses and validates a complete document.
///
/// # Errors
/// All problems: those of syntax and shape if there are any, otherwise all inconsistencies.
pub fn parse(text: &str) -> Result<Document, Vec<Problem>> {
    let document = parse_shape(text)?;
    let problems = validate(&document);
    if problems.is_empty() {
        Ok(document)
    } else {
        Err(problems)
    }
}

/// Parses one section from `text` into `document`, without validating the document.
///
/// # Errors
/// All problems of syntax and shape.
pub fn parse_section(document: &mut Document, section: Section, text: &str) -> Result<(), Vec<Problem>> {
    let mut problems = Vec::new();
    if let Some(value) = strict::read_value(text, &mut problems) {
        put_section(document, section, value, &mut problems);
    }
    if problems.is_empty() { Ok(()) } else { Err(problems) }
}

fn parse_shape(text: &str) -> Result<Document, Vec<Problem>> {
    let mut problems = Vec::new();
    let mut document = Document::default();
    let Some(value) = strict::read_value(text, &mut problems) else {
        return Err(problems);
    };
    let Value::Object(sections) = value else {
        let kind = ProblemKind::Shape("expected an object of sections".to_owned());
        return Err(vec![Problem {
            path: ".".to_owned(),
            kind,
        }]);
    };
    for (name, value) in sections {
        let Some(section) = Section::ALL.into_iter().find(|section| section.to_string() == name) else {
            problems.push(Problem {
                path: name,
                kind: ProblemKind::UnknownSection,
            });
            continue;
        };
        put_section(&mut document, section, value, &mut problems);
    }
    if problems.is_empty() {
        Ok(document)
    } else {
        Err(problems)
    }
}

fn put_section(document: &mut Document, section: Section, value: Value, problems: &mut Vec<Problem>) {
    match section {
        Section::Operators => document.operators = entries(section, value, problems),
        Section::Workspaces => document.workspaces = entries(section, value, problems),
        Section::Models => document.models = entries(section, value, problems),
        Section::Services => document.services = entries(section, value, problems),
        Section::Priorities => document.priorities = entries(section, value, problems),
        Section::Endpoints => document.endpoints = entries(section, value, problems),
    }
}

/// Parses each entry separately, so that an error in one entry does not hide errors in the next.
fn entries<K, V>(section: Section, value: Value, problems: &mut Vec<Problem>) -> BTreeMap<K, V>
where
    K: From<String> + Ord,
    V: DeserializeOwned,
{
    let mut read = BTreeMap::new();
    let Value::Object(entries) = value else {
        let kind = ProblemKind::Shape("expected an object".to_owned());
        problems.push(Problem {
            path: section.to_string(),
            kind,
        });
        return read;
    };
    for (name, value) in entries {
        match serde_path_to_error::deserialize(value) {
            Ok(entry) => {
                read.insert(K::from(name), entry);
            }
            Err(error) => problems.push(shape_problem(section, &name, &error)),
        }
    }
    read
}

fn shape_problem(section: Section, name: &str, error: &serde_path_to_error::Error<serde_json::Error>) -> Problem {
    let inner = error.path().to_string();
    let entry = format!("{section}.{name}");
    let path = if inner == "." {
        entry
    } else {
        format!("{entry}.{inner}")
    };
    Problem {
        path,
        kind: ProblemKind::Shape(error.inner().to_string()),
    }
}
