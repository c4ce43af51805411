//! The audit trail of accepted changes, chained by digest.
//!
//! The log is written with the change itself: the head that puts a change in force names the log's newest record.
//! It keeps the last [`RECORDS_KEPT`] records; a [`Checkpoint`] stands for those before, so that the chain stays
//! verifiable and the value bounded.

use crate::{ChangeId, Head, Section, SectionRef};
use derive_more::{Display, From, Into};
use ids::{Digest, Revision};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Records in a log. A record takes about 500 bytes, so that a log takes 32 KB of the 1 MB that a value may have.
pub const RECORDS_KEPT: usize = 64;

/// Wall-clock time in milliseconds since 1970, for people; nothing is decided by it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Display, From, Into, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UnixMillis(pub u64);

/// From what to what a section went.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionChange {
    /// The section.
    pub section: Section,
    /// What was in force before; absent with the first document.
    pub from: Option<SectionRef>,
    /// Digest of what is in force since.
    pub to: Digest,
}

/// One accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The revision that the change made.
    pub revision: Revision,
    /// The change.
    pub change: ChangeId,
    /// Who made it.
    pub operator: String,
    /// When, by the operator's clock.
    pub at: UnixMillis,
    /// One section; all with the first document.
    pub moves: Vec<SectionChange>,
    /// Digest of the record before; of nothing for the first.
    pub previous: Digest,
}

impl Record {
    /// Digest of the record, which covers all before it.
    pub fn digest(&self) -> Digest {
        Digest::of(&serde_json::to_vec(self).expect("a record is always JSON"))
    }
}

/// Stands for the records that are no longer kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// Revision of the last record that is gone; 0 if none is.
    pub revision: Revision,
    /// Its digest.
    pub digest: Digest,
}

/// The newest records.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditLog {
    /// Where the records begin.
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

    /// Adds a record, and gives back the one that is no longer kept.
    pub(crate) fn push(&mut self, record: Record) -> Option<Record> {
        self.records.push_back(record);
        if self.records.len() <= RECORDS_KEPT {
            return None;
        }
        let gone = self.records.pop_front()?;
        self.checkpoint = Checkpoint {
            revision: gone.revision,
            digest: gone.digest(),
        };
        Some(gone)
    }

    /// The stored text.
    pub fn text(&self) -> String {
        serde_json::to_string(self).expect("a log is always JSON")
    }
}

quick_error! {
    /// Where an audit log was tampered with or damaged.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum ChainError {
        /// The record does not follow from the one before it.
        Link(revision: Revision) {
            display("the record of revision {revision} does not follow from the one before it")
        }
        /// A revision was left out or stands twice.
        Gap(revision: Revision) {
            display("revision {revision} does not follow the one before it by one")
        }
        /// A section goes on from something else than it had become.
        Section(revision: Revision, section: Section) {
            display("at revision {revision} the section {section} goes on from what it was not")
        }
        /// The log does not end in what the head names.
        Head {
            display("the log does not end in what the head names")
        }
    }
}

/// Checks that `log` is whole and ends in `head`.
///
/// # Errors
/// The first place where it does not hold together.
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
            let known = sections.get(&step.section);
            if known.is_some() && known != step.from.as_ref() {
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
        .all(|(section, named)| head.sections.get(section) == Some(named));
    let ends = before.revision == head.revision && before.digest == head.audit;
    if agrees && ends { Ok(()) } else { Err(ChainError::Head) }
}
