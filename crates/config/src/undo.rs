//! Undoes a change with a new change.

use crate::{Change, ChangeId, SectionRef, View};
use ids::{Digest, Revision};
use quick_error::quick_error;

quick_error! {
    /// Why a revision can't be undone.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum UndoError {
        /// The log does not contain the revision, or no longer does.
        NotKept(revision: Revision) {
            display("revision {revision} is not in the log")
        }
        /// The first document replaced nothing.
        First {
            display("the first document replaced nothing")
        }
        /// The section was changed again; undoing this change would silently undo the later ones too.
        ChangedSince(revision: Revision) {
            display("the section was changed again in revision {revision}")
        }
        /// The text that was read differs from the one that was in force.
        Digest {
            display("the stored section is not the one that was in force")
        }
    }
}

/// The section to read in order to undo `revision`.
///
/// # Errors
/// It can't be undone.
pub fn undo_source(view: &View, revision: Revision) -> Result<(crate::Section, SectionRef), UndoError> {
    let record = view.log.records.iter().find(|record| record.revision == revision);
    let record = record.ok_or(UndoError::NotKept(revision))?;
    let [step] = record.moves.as_slice() else {
        return Err(UndoError::First);
    };
    let from = step.from.clone().ok_or(UndoError::First)?;
    let touches = |later: &&crate::Record| {
        later.revision > revision && later.moves.iter().any(|other| other.section == step.section)
    };
    if let Some(later) = view.log.records.iter().find(touches) {
        return Err(UndoError::ChangedSince(later.revision));
    }
    Ok((step.section, from))
}

/// The change that undoes `revision`; `text` is the section that [`undo_source`] refers to.
///
/// # Errors
/// It can't be undone, or the text does not match.
pub fn undo(view: &View, revision: Revision, id: ChangeId, operator: &str, text: &str) -> Result<Change, UndoError> {
    let (section, from) = undo_source(view, revision)?;
    if Digest::of(text.as_bytes()) != from.digest {
        return Err(UndoError::Digest);
    }
    let before = view.head.sections[&section].digest;
    Ok(Change {
        id,
        operator: operator.to_owned(),
        section,
        before,
        after: text.to_owned(),
    })
}
