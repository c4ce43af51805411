//! What is written for a change, in which order.
//!
//! First the new values under unused names, then the head by compare-and-swap. If the writer fails in between, a few
//! values are left over that nothing refers to. If the compare-and-swap fails, the change is planned again on the new
//! head: it still goes through if another section was changed.

use super::{Change, ChangeId, ChangeRefused, Conflict, OperatorKey};
use crate::{
    AuditLog, Document, Head, Record, Section, SectionChange, SectionRef, UnixMillis, View, head::audit_key, parse,
    parse_section, section_text, validate,
};
use ids::{Digest, Revision};
use std::collections::BTreeMap;

/// Most bytes of a value: 1 MB less room for the platform's own envelope.
pub(super) const MAX_VALUE: usize = 1_000_000;
/// Older audit logs are removed; these stay for readers that are just following an older head.
const LOGS_KEPT: usize = 8;

/// A value to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Value {
    /// Its key, which only this plan writes.
    pub key: String,
    /// Its text.
    pub text: String,
}

/// What to write for one change.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Written first, each expecting that the key is absent; one that is there with this text is as good.
    pub puts: Vec<Value>,
    /// Written last, expecting the head that was planned on.
    pub head: Head,
    /// Revision that was planned on; 0 for the first document.
    pub base: Revision,
    /// The document that will be in force.
    pub document: Document,
    /// The log that belongs to the head.
    pub log: AuditLog,
    /// Keys that nothing needs any more once the change is accepted.
    pub garbage: Vec<String>,
}

/// Plans the first document; `text` is checked as a whole.
///
/// # Errors
/// The document is not valid, or the operator is none of its own.
pub fn bootstrap(
    id: &ChangeId,
    operator: &str,
    key: &OperatorKey,
    text: &str,
    at: UnixMillis,
) -> Result<Plan, ChangeRefused> {
    let document = parse(text).map_err(ChangeRefused::Invalid)?;
    prove(&document, operator, key)?;
    let mut puts = Vec::new();
    let mut moves = Vec::new();
    let mut sections = BTreeMap::new();
    for section in Section::ALL {
        let text = section_text(&document, section);
        let named = store(section, id, text, &mut puts)?;
        moves.push(SectionChange {
            section,
            from: None,
            to: named.digest,
        });
        sections.insert(section, named);
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

/// Plans `change` on what is in force.
///
/// # Errors
/// Why it is refused.
pub fn plan_change(view: &View, change: &Change, key: &OperatorKey, at: UnixMillis) -> Result<Plan, ChangeRefused> {
    if let Some(record) = view.log.find(&change.id) {
        return Err(known(record, change));
    }
    prove(&view.document, &change.operator, key)?;
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
    let document = changed(&view.document, change)?;
    let text = section_text(&document, change.section);
    let mut puts = Vec::new();
    let named = store(change.section, &change.id, text, &mut puts)?;
    if named.digest == current.digest {
        return Err(ChangeRefused::Unchanged);
    }
    Ok(finish(view, change, at, named, document, puts))
}

/// Adds the record, the log and the head.
fn finish(
    view: &View,
    change: &Change,
    at: UnixMillis,
    named: SectionRef,
    document: Document,
    mut puts: Vec<Value>,
) -> Plan {
    let mut log = view.log.clone();
    let step = SectionChange {
        section: change.section,
        from: view.head.sections.get(&change.section).cloned(),
        to: named.digest,
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
    head.sections.insert(change.section, named);
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

/// An id that someone else happened to choose as well must not make this change pass for accepted.
fn known(record: &Record, change: &Change) -> ChangeRefused {
    let same = record.operator == change.operator && record.moves.iter().any(|step| step.section == change.section);
    if same {
        ChangeRefused::Accepted(record.revision)
    } else {
        ChangeRefused::IdTaken(record.revision)
    }
}

fn prove(document: &Document, operator: &str, key: &OperatorKey) -> Result<(), ChangeRefused> {
    let proven = document
        .operators
        .get(operator)
        .is_some_and(|known| known.key == key.digest());
    if proven { Ok(()) } else { Err(ChangeRefused::AuthFailed) }
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

fn changed(document: &Document, change: &Change) -> Result<Document, ChangeRefused> {
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
    let named = SectionRef {
        digest: Digest::of(text.as_bytes()),
        change: id.clone(),
    };
    puts.push(Value {
        key: named.key(section),
        text,
    });
    Ok(named)
}

/// Adds the record; gives back the keys of a section that can't be undone to any more and of an old log.
fn garbage(log: &mut AuditLog, record: Record) -> Vec<String> {
    let mut keys = Vec::new();
    if let Some(gone) = log.push(record) {
        let left = gone
            .moves
            .iter()
            .filter_map(|step| Some(step.from.as_ref()?.key(step.section)));
        keys.extend(left);
    }
    if let Some(place) = log.records.len().checked_sub(LOGS_KEPT + 1) {
        keys.push(audit_key(log.records[place].digest()));
    }
    keys
}
