//! How the document is stored in the platform's key-value service.
//!
//! One value with the whole document would be limited to 1 MB, and operators of different sections would conflict on
//! every write. So each section is a separate value, written once under a key that contains its change id, and one
//! small head refers to those in force. A watch on the head costs each router some hundred bytes for each change.

use crate::{ChainError, ChangeId, Document, Problem, Section, audit::AuditLog, parse_section, validate};
use ids::{Digest, Revision};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Key of the head.
pub const HEAD_KEY: &str = "config/head";
/// Prefix of the sections' keys.
pub const SECTION_PREFIX: &str = "config/section/";
/// Prefix of the audit logs' keys.
pub const AUDIT_PREFIX: &str = "config/audit/";

/// Reference to one stored section.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionRef {
    /// Digest of the text.
    pub digest: Digest,
    /// The change that wrote it. Since the key contains it, no two changes write the same key, and deleting the unused
    /// keys of one change cannot remove a section that another is about to refer to.
    pub change: ChangeId,
}

impl SectionRef {
    /// The key under which the section is stored.
    pub fn key(&self, section: Section) -> String {
        format!("{SECTION_PREFIX}{section}/{}/{}", self.digest, self.change)
    }
}

/// References to the sections in force; written only by compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Grows by one with each accepted change.
    pub revision: Revision,
    /// The change that created this revision.
    pub change: ChangeId,
    /// All sections.
    pub sections: BTreeMap<Section, SectionRef>,
    /// Digest of the newest audit record, which is chained to all earlier ones.
    pub audit: Digest,
}

impl Head {
    /// The key of the audit log that belongs to this head.
    pub fn audit_key(&self) -> String {
        audit_key(self.audit)
    }

    /// The stored text.
    pub fn text(&self) -> String {
        serde_json::to_string(self).expect("a head is always JSON")
    }

    /// Digest of the stored text, by which two heads of one revision are compared.
    pub fn digest(&self) -> Digest {
        Digest::of(self.text().as_bytes())
    }

    /// Reads a head.
    ///
    /// # Errors
    /// The text is not a head, or it lacks a section.
    pub fn read(text: &str) -> Result<Self, AssembleError> {
        let head: Self = serde_json::from_str(text).map_err(AssembleError::Head)?;
        match Section::ALL
            .into_iter()
            .find(|section| !head.sections.contains_key(section))
        {
            Some(section) => Err(AssembleError::Missing(section)),
            None => Ok(head),
        }
    }
}

/// The key of the audit log whose newest record has this digest.
pub(crate) fn audit_key(newest: Digest) -> String {
    format!("{AUDIT_PREFIX}{newest}")
}

/// A head with everything it refers to.
#[derive(Debug, Clone, PartialEq)]
pub struct View {
    /// The head.
    pub head: Head,
    /// The validated document, assembled from the sections.
    pub document: Document,
    /// The audit log.
    pub log: AuditLog,
}

quick_error! {
    /// Why the stored values do not form a document.
    #[derive(Debug)]
    pub enum AssembleError {
        /// The head cannot be parsed.
        Head(error: serde_json::Error) {
            display("the head can't be read: {error}")
            source(error)
        }
        /// The audit log cannot be parsed.
        Log(error: serde_json::Error) {
            display("the audit log can't be read: {error}")
            source(error)
        }
        /// The audit log is inconsistent.
        Chain(broken: ChainError) {
            display("the audit log is inconsistent: {broken}")
            source(broken)
        }
        /// A section is missing.
        Missing(section: Section) {
            display("the section {section} is missing")
        }
        /// The audit log is missing.
        MissingLog {
            display("the audit log is missing")
        }
        /// A section's text does not have the digest in the head.
        Digest(section: Section) {
            display("the section {section} does not match the digest in the head")
        }
        /// The document is inconsistent; it must have been written by other means than the operators' commands.
        Invalid(problems: Vec<Problem>) {
            display("the document has {} problems", problems.len())
        }
    }
}

/// Assembles a document from the stored texts and validates it.
///
/// # Errors
/// A text is missing or does not match its digest, or the document is inconsistent.
pub fn assemble(head: &Head, texts: &BTreeMap<Section, String>) -> Result<Document, AssembleError> {
    let mut document = Document::default();
    for section in Section::ALL {
        let (Some(section_ref), Some(text)) = (head.sections.get(&section), texts.get(&section)) else {
            return Err(AssembleError::Missing(section));
        };
        if Digest::of(text.as_bytes()) != section_ref.digest {
            return Err(AssembleError::Digest(section));
        }
        parse_section(&mut document, section, text).map_err(AssembleError::Invalid)?;
    }
    let problems = validate(&document);
    if problems.is_empty() {
        Ok(document)
    } else {
        Err(AssembleError::Invalid(problems))
    }
}
