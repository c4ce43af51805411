//! Reads the head and all that it refers to.

use super::Call;
use crate::{AssembleError, AuditLog, HEAD_KEY, Head, Section, View, assemble, verify_chain};
use ids::{Digest, Version};
use std::collections::BTreeMap;

/// A key as read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored {
    /// Its text; absent if the key is.
    pub text: Option<String>,
    /// Its version.
    pub version: Version,
}

/// How far the reading has come.
#[derive(Debug)]
pub enum Loading {
    /// Read this next.
    Read(Call),
    /// There is no document; the head key has this version.
    Empty(Version),
    /// All is read; the head key has this version.
    Loaded(Box<View>, Version),
    /// What is stored does not make a document.
    Damaged(AssembleError),
}

/// Reads one key after the other. Once loaded it begins again with the head, and then reads only the sections that
/// have changed since.
#[derive(Debug, Clone, Default)]
pub struct Loader {
    head: Option<(Head, Version)>,
    texts: BTreeMap<Section, String>,
    /// The head under which a value was gone.
    gone: Option<Digest>,
}

impl Loader {
    /// Begins with the head.
    pub fn new() -> Self {
        Self::default()
    }

    /// The read under way.
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

    /// Takes what was read. A value that is gone means that newer changes have replaced it: the head is read again.
    /// If that is still the same, the value is really missing.
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
        if digest == self.gone {
            return Loading::Damaged(self.missing().map_or(AssembleError::MissingLog, AssembleError::Missing));
        }
        self.gone = digest;
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
