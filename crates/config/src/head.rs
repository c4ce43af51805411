//! How the document lies in the platform's key-value service.
//!
//! One value with the whole document would be limited to 1 MB, and operators of different sections would race on
//! every write. So each section is a value of its own, written once under a name that contains its change, and one
//! small head names those in force. A watch on the head costs each router some hundred bytes for each change.

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

/// Names one stored section.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionRef {
    /// Digest of the text.
    pub digest: Digest,
    /// The change that wrote it. With it no key is ever written by two changes, so that cleaning up after one can't
    /// take away what another is just about to refer to.
    pub change: ChangeId,
}

impl SectionRef {
    /// The key under which the section is stored.
    pub fn key(&self, section: Section) -> String {
        format!("{SECTION_PREFIX}{section}/{}/{}", self.digest, self.change)
    }
}

/// What is in force; it changes by compare-and-swap only.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Grows by one with each accepted change.
    pub revision: Revision,
    /// The change that made this revision.
    pub change: ChangeId,
    /// All sections.
    pub sections: BTreeMap<Section, SectionRef>,
    /// Digest of the newest audit record, with which all earlier ones are chained.
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
    /// The text is no head, or does not name every section.
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

/// A head with all that it refers to.
#[derive(Debug, Clone, PartialEq)]
pub struct View {
    /// The head.
    pub head: Head,
    /// The sections, put together and checked.
    pub document: Document,
    /// The audit log.
    pub log: AuditLog,
}

quick_error! {
    /// What was read does not make a document.
    #[derive(Debug)]
    pub enum AssembleError {
        /// The head is not one.
        Head(error: serde_json::Error) {
            display("the head can't be read: {error}")
            source(error)
        }
        /// The audit log is not one.
        Log(error: serde_json::Error) {
            display("the audit log can't be read: {error}")
            source(error)
        }
        /// The audit log does not hold together.
        Chain(broken: ChainError) {
            display("the audit log is broken: {broken}")
            source(broken)
        }
        /// A section is not there.
        Missing(section: Section) {
            display("the section {section} is missing")
        }
        /// The audit log is not there.
        MissingLog {
            display("the audit log is missing")
        }
        /// A section's text is not the one that the head names.
        Digest(section: Section) {
            display("the section {section} is not the one that the head names")
        }
        /// The document contradicts itself; it must have been written past the operators' commands.
        Invalid(problems: Vec<Problem>) {
            display("the document has {} problems", problems.len())
        }
    }
}

/// Puts a document together from the stored texts and checks it.
///
/// # Errors
/// A text is missing, is not the one that the head names, or the whole contradicts itself.
pub fn assemble(head: &Head, texts: &BTreeMap<Section, String>) -> Result<Document, AssembleError> {
    let mut document = Document::default();
    for section in Section::ALL {
        let (Some(named), Some(text)) = (head.sections.get(&section), texts.get(&section)) else {
            return Err(AssembleError::Missing(section));
        };
        if Digest::of(text.as_bytes()) != named.digest {
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
