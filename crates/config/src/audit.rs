//! The audit trail of accepted changes, a hash chain.
//!
//! The log is written with the change itself: the head that activates a change contains the digest of the log's newest
//! record. The log keeps the last [`RECORDS_KEPT`] records. A [`Checkpoint`] replaces earlier ones, so that the chain
//! stays verifiable and the value bounded.

use crate::{ChangeId, Head, Section, SectionRef};
use derive_more::{Display, From, Into};
use ids::{Digest, Revision};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Records in a log. A record takes about 500 bytes, so that a log takes 32 KB of the 1 MB that a value may have.
pub const RECORDS_KEPT: usize = 64;

/// Wall-clock time in milliseconds since 1970, for display only; no decision depends on it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Display, From, Into, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UnixMillis(pub u64);

/// The replacement of one section by a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionChange {
    /// The section.
    pub section: Section,
    /// The section previously in force; absent in the first document's record.
    pub from: Option<SectionRef>,
    /// Digest of the new section.
    pub to: Digest,
}

/// One accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The revision that the change created.
    pub revision: Revision,
    /// The change.
    pub change: ChangeId,
    /// Who made it.
    pub operator: String,
    /// Time of the change, by the operator's clock.
    pub at: UnixMillis,
    /// The replaced section; all sections in the first document's record.
    pub moves: Vec<SectionChange>,
    /// Digest of the previous record; of the empty string for the first.
    pub previous: Digest,
}

impl Record {
    /// Digest of the record, which covers all earlier records through `previous`.
    pub fn digest(&self) -> Digest {
        Digest::of(&serde_json::to_vec(self).expect("a record is always JSON"))
    }
}

/// Replaces the records that are no longer kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// Revision of the last dropped record; 0 if none was dropped.
    pub revision: Revision,
    /// Its digest.
    pub digest: Digest,
}

/// The newest records.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditLog {
    /// The point after which the records begin.
    pub checkpoint: Checkpoint,
    /// Oldest first.
    pub records: VecDeque<Record>,
}

impl Default for AuditLog {
    fn default() -> Self {
        Self {
            checkpoint: Checkpoint {
                revision: Revision(0),
                digest: Digest::of(b""),
            },
            records: VecDeque::new(),
        }
    }
}

impl AuditLog {
    /// Digest of the newest record.
    pub fn newest(&self) -> Digest {
        self.records.back().map_or(self.checkpoint.digest, Record::digest)
    }

    /// The record of `change`, if it is still kept.
    pub fn find(&self, change: &ChangeId) -> Option<&Record> {
        self.records.iter().find(|record| record.change == *change)
    }

    /// Appends a record and returns the one that is dropped, if any.
    pub(crate) fn push(&mut self, record: Record) -> Option<Record> {
        self.records.push_back(record);
        if self.records.len() <= RECORDS_KEPT {
            return None;
        }
        let dropped = self.records.pop_front()?;
        self.checkpoint = Checkpoint {
            revision: dropped.revision,
            digest: dropped.digest(),
        };
        Some(dropped)
    }

    /// The stored text.
    pub fn text(&self) -> String {
        serde_json::to_string(self).expect("a log is always JSON")
    }
}

quick_error! {
    /// Where an audit log is inconsistent, because of tampering or damage.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum ChainError {
        /// The record does not follow from the one before it.
        Link(revision: Revision) {
            display("the record of revision {revision} does not follow from the one before it")
        }
        /// A revision is missing or repeated.
        Gap(revision: Revision) {
            display("revision {revision} does not follow the one before it by one")
        }
        /// A section's previous value differs from the one that an earlier record set.
        Section(revision: Revision, section: Section) {
            display("at revision {revision} the previous value of section {section} differs from the one recorded before")
        }
        /// The log does not end in the state that the head refers to.
        Head {
            display("the log does not end in the state that the head refers to")
        }
    }
}

/// Checks that `log` is consistent and ends in `head`.
///
/// # Errors
/// The first inconsistency.
pub fn verify_chain(head: &Head, log: &AuditLog) -> Result<(), ChainError> {
    let mut before = log.checkpoint.clone();
    let mut sections: BTreeMap<Section, SectionRef> = BTreeMap::new();
    for record in &log.records {
        let revision = record.revision;
        if revision.0 != before.revision.0 + 1 {
            return Err(ChainError::Gap(revision));
        }
        if record.previous != before.digest {
            return Err(ChainError::Link(revision));
        }
        for step in &record.moves {
            let previous = sections.get(&step.section);
            if previous.is_some() && previous != step.from.as_ref() {
                return Err(ChainError::Section(revision, step.section));
            }
            sections.insert(
                step.section,
                SectionRef {
                    digest: step.to,
                    change: record.change.clone(),
                },
            );
        }
        before = Checkpoint {
            revision,
            digest: record.digest(),
        };
    }
    let agrees = sections
        .iter()
        .all(|(section, section_ref)| head.sections.get(section) == Some(section_ref));
    let ends_at_head = before.revision == head.revision && before.digest == head.audit;
    if agrees && ends_at_head {
        Ok(())
    } else {
        Err(ChainError::Head)
    }
}
