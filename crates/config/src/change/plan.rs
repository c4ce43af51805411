//! The writes of a change and their order.
//!
//! The new values are written first, under unused keys, and then the head by compare-and-swap. If the writer fails in
//! between, a few unreferenced values remain. If the compare-and-swap fails, the change is planned again on the new
//! head, and succeeds if another section was changed.

use super::{Change, ChangeId, ChangeRefused, Conflict, OperatorKey};
use crate::{
    AuditLog, Document, Head, Record, Section, SectionChange, SectionRef, UnixMillis, View, head::audit_key, parse,
    parse_section, section_text, validate,
};
use ids::{Digest, Revision};
use std::collections::BTreeMap;

/// Most bytes of a value: 1 MB less room for the platform's own envelope.
pub(super) const MAX_VALUE: usize = 1_000_000;
/// Number of recent audit logs that are kept, for readers that are still loading an older head.
const LOGS_KEPT: usize = 8;

/// A value to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Value {
    /// Its key, which only this plan writes.
    pub key: String,
    /// Its text.
    pub text: String,
}

/// The writes of one change.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Written first, each on condition that the key is absent; a key that already has this text counts as written.
    pub puts: Vec<Value>,
    /// Written last, on condition that the head has not changed since planning.
    pub head: Head,
    /// Revision that the plan is based on; 0 for the first document.
    pub base: Revision,
    /// The document that will be in force.
    pub document: Document,
    /// The log that belongs to the head.
    pub log: AuditLog,
    /// Keys that are unused once the change is accepted.
    pub garbage: Vec<String>,
}

/// Plans the first document; `text` is checked as a whole.
///
/// # Errors
/// The document is invalid, or it does not contain the operator with this key.
pub fn bootstrap(
    id: &ChangeId,
    operator: &str,
    key: &OperatorKey,
    text: &str,
    at: UnixMillis,
) -> Result<Plan, ChangeRefused> {
    let document = parse(text).map_err(ChangeRefused::Invalid)?;
    authenticate(&document, operator, key)?;
    let mut puts = Vec::new();
    let mut moves = Vec::new();
    let mut sections = BTreeMap::new();
    for section in Section::ALL {
        let text = section_text(&document, section);
        let section_ref = store(section, id, text, &mut puts)?;
        moves.push(SectionChange {
            section,
            from: None,
            to: section_ref.digest,
        });
        sections.insert(section, section_ref);
    }
    let mut log = AuditLog::default();
    let record = Record {
        revision: Revision(1),
        change: id.clone(),
        operator: operator.to_owned(),
        at,
        moves,
        previous: log.newest(),
    };
    log.push(record);
    let head = Head {
        revision: Revision(1),
        change: id.clone(),
        sections,
        audit: log.newest(),
    };
    puts.push(Value {
        key: head.audit_key(),
        text: log.text(),
    });
    Ok(Plan {
        puts,
        head,
        base: Revision(0),
        document,
        log,
        garbage: Vec::new(),
    })
}

/// Plans `change` on the document in force.
///
/// # Errors
/// Why it is refused.
pub fn plan_change(view: &View, change: &Change, key: &OperatorKey, at: UnixMillis) -> Result<Plan, ChangeRefused> {
    if let Some(record) = view.log.find(&change.id) {
        return Err(existing(record, change));
    }
    authenticate(&view.document, &change.operator, key)?;
    if !view.document.operators[&change.operator]
        .sections
        .contains(&change.section)
    {
        return Err(ChangeRefused::NotOwner(change.section));
    }
    let current = &view.head.sections[&change.section];
    if current.digest != change.before {
        return Err(ChangeRefused::Conflict(conflict(view, change, current.digest)));
    }
    let document = apply(&view.document, change)?;
    let text = section_text(&document, change.section);
    let mut puts = Vec::new();
    let section_ref = store(change.section, &change.id, text, &mut puts)?;
    if section_ref.digest == current.digest {
        return Err(ChangeRefused::Unchanged);
    }
    Ok(finish(view, change, at, section_ref, document, puts))
}

/// Adds the record, the log and the head.
fn finish(
    view: &View,
    change: &Change,
    at: UnixMillis,
    section_ref: SectionRef,
    document: Document,
    mut puts: Vec<Value>,
) -> Plan {
    let mut log = view.log.clone();
    let step = SectionChange {
        section: change.section,
        from: view.head.sections.get(&change.section).cloned(),
        to: section_ref.digest,
    };
    let record = Record {
        revision: Revision(view.head.revision.0 + 1),
        change: change.id.clone(),
        operator: change.operator.clone(),
        at,
        moves: vec![step],
        previous: log.newest(),
    };
    let garbage = garbage(&mut log, record);
    let mut head = view.head.clone();
    head.revision = Revision(head.revision.0 + 1);
    head.change = change.id.clone();
    head.sections.insert(change.section, section_ref);
    head.audit = log.newest();
    puts.push(Value {
        key: head.audit_key(),
        text: log.text(),
    });
    Plan {
        puts,
        head,
        base: view.head.revision,
        document,
        log,
        garbage,
    }
}

/// If another change happens to have the same id, this change must not be reported as accepted.
fn existing(record: &Record, change: &Change) -> ChangeRefused {
    let same = record.operator == change.operator && record.moves.iter().any(|step| step.section == change.section);
    if same {
        ChangeRefused::Accepted(record.revision)
    } else {
        ChangeRefused::IdTaken(record.revision)
    }
}

fn authenticate(document: &Document, operator: &str, key: &OperatorKey) -> Result<(), ChangeRefused> {
    let authenticated = document
        .operators
        .get(operator)
        .is_some_and(|spec| spec.key == key.digest());
    if authenticated {
        Ok(())
    } else {
        Err(ChangeRefused::AuthFailed)
    }
}

fn conflict(view: &View, change: &Change, current: Digest) -> Conflict {
    let mut since = Vec::new();
    for record in view.log.records.iter().rev() {
        let Some(step) = record.moves.iter().find(|step| step.section == change.section) else {
            continue;
        };
        since.push(record.clone());
        if step.from.as_ref().is_some_and(|from| from.digest == change.before) {
            since.reverse();
            return Conflict { current, since };
        }
    }
    Conflict {
        current,
        since: Vec::new(),
    }
}

fn apply(document: &Document, change: &Change) -> Result<Document, ChangeRefused> {
    let mut document = document.clone();
    parse_section(&mut document, change.section, &change.after).map_err(ChangeRefused::Invalid)?;
    let problems = validate(&document);
    if problems.is_empty() {
        Ok(document)
    } else {
        Err(ChangeRefused::Invalid(problems))
    }
}

fn store(section: Section, id: &ChangeId, text: String, puts: &mut Vec<Value>) -> Result<SectionRef, ChangeRefused> {
    if text.len() > MAX_VALUE {
        return Err(ChangeRefused::TooLarge(text.len()));
    }
    let section_ref = SectionRef {
        digest: Digest::of(text.as_bytes()),
        change: id.clone(),
    };
    puts.push(Value {
        key: section_ref.key(section),
        text,
    });
    Ok(section_ref)
}

/// Appends the record; returns the keys of a section to which undo is no longer possible and of an old log.
fn garbage(log: &mut AuditLog, record: Record) -> Vec<String> {
    let mut keys = Vec::new();
    if let Some(dropped) = log.push(record) {
        let unused = dropped
            .moves
            .iter()
            .filter_map(|step| Some(step.from.as_ref()?.key(step.section)));
        keys.extend(unused);
    }
    if let Some(place) = log.records.len().checked_sub(LOGS_KEPT + 1) {
        keys.push(audit_key(log.records[place].digest()));
    }
    keys
}
