//! Reads the head and everything it refers to.

use super::Call;
use crate::{AssembleError, AuditLog, HEAD_KEY, Head, Section, View, assemble, verify_chain};
use ids::{Digest, Version};
use std::collections::BTreeMap;

/// The stored value of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored {
    /// Its text; `None` if the key is absent.
    pub text: Option<String>,
    /// Its version.
    pub version: Version,
}

/// State of the loading after a read.
#[derive(Debug)]
pub enum Loading {
    /// Read this next.
    Read(Call),
    /// There is no document; the head key has this version.
    Empty(Version),
    /// Everything is read; the head key has this version.
    Loaded(Box<View>, Version),
    /// The stored values do not form a document.
    Damaged(AssembleError),
}

/// Reads one key after the other. After loading it starts again with the head, and reads only the sections that have
/// changed.
#[derive(Debug, Clone, Default)]
pub struct Loader {
    head: Option<(Head, Version)>,
    texts: BTreeMap<Section, String>,
    /// Digest of the head for which a value was absent.
    stale_head: Option<Digest>,
}

impl Loader {
    /// Creates a loader that starts with the head.
    pub fn new() -> Self {
        Self::default()
    }

    /// The pending read.
    pub fn call(&self) -> Call {
        let Some((head, _)) = &self.head else {
            return Call::Read(HEAD_KEY.to_owned());
        };
        let key = match self.missing() {
            Some(section) => head.sections[&section].key(section),
            None => head.audit_key(),
        };
        Call::Read(key)
    }

    /// Processes the result of the pending read. An absent value usually means that newer changes have replaced it, so the
    /// head is read again. If the head is unchanged, the value is missing.
    pub fn on(&mut self, stored: Stored) -> Loading {
        if self.head.is_none() {
            return self.begin(stored);
        }
        let Some(text) = stored.text else {
            return self.read_again();
        };
        if let Some(section) = self.missing() {
            self.texts.insert(section, text);
            return Loading::Read(self.call());
        }
        self.finish(&text)
    }

    fn read_again(&mut self) -> Loading {
        let digest = self.head.as_ref().map(|(head, _)| head.digest());
        if digest == self.stale_head {
            return Loading::Damaged(self.missing().map_or(AssembleError::MissingLog, AssembleError::Missing));
        }
        self.stale_head = digest;
        self.head = None;
        Loading::Read(self.call())
    }

    fn missing(&self) -> Option<Section> {
        Section::ALL
            .into_iter()
            .find(|section| !self.texts.contains_key(section))
    }

    fn begin(&mut self, stored: Stored) -> Loading {
        let Some(text) = stored.text else {
            return Loading::Empty(stored.version);
        };
        match Head::read(&text) {
            Ok(head) => {
                let current =
                    |section: &Section, text: &mut String| head.sections[section].digest == Digest::of(text.as_bytes());
                self.texts.retain(current);
                self.head = Some((head, stored.version));
                Loading::Read(self.call())
            }
            Err(error) => Loading::Damaged(error),
        }
    }

    fn finish(&mut self, text: &str) -> Loading {
        let Some((head, version)) = self.head.take() else {
            return Loading::Read(self.call());
        };
        let log: AuditLog = match serde_json::from_str(text) {
            Ok(log) => log,
            Err(error) => return Loading::Damaged(AssembleError::Log(error)),
        };
        if let Err(broken) = verify_chain(&head, &log) {
            return Loading::Damaged(AssembleError::Chain(broken));
        }
        match assemble(&head, &self.texts) {
            Ok(document) => Loading::Loaded(Box::new(View { head, document, log }), version),
            Err(error) => Loading::Damaged(error),
        }
    }
}
