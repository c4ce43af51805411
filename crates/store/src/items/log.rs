//! What a router knows of the service, for those that follow it: the items, and what changed after a revision.

use super::{Change, Item};
use std::collections::BTreeMap;

/// Removed keys that are remembered; whoever is further behind gets everything.
const REMOVALS: usize = 1_000;

/// The items as of a revision, with the removals that led there.
#[derive(Debug, Clone, Default)]
pub struct ItemLog {
    /// Revision up to which all is known.
    revision: Option<u64>,
    /// Removals are known after this revision.
    floor: u64,
    items: BTreeMap<String, Item>,
    removed: BTreeMap<u64, Vec<String>>,
}

/// What came after a revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Since {
    /// Revision up to which this is complete.
    pub revision: Option<u64>,
    /// Whether `items` is all there is.
    pub whole: bool,
    /// Items.
    pub items: Vec<Item>,
    /// Keys that have gone.
    pub removed: Vec<String>,
}

impl ItemLog {
    /// Revision up to which all is known.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Items under a prefix.
    pub fn under<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Item> {
        let from = self.items.range(prefix.to_owned()..);
        from.map(|(_, item)| item)
            .take_while(move |item| item.key.starts_with(prefix))
    }

    /// Everything as of a revision. What was known of removals doesn't matter any more.
    pub fn replace(&mut self, items: &[Item], revision: u64) {
        self.items = items.iter().map(|item| (item.key.clone(), item.clone())).collect();
        self.removed.clear();
        self.floor = revision;
        self.revision = Some(revision);
    }

    /// Changes up to a revision.
    pub fn apply(&mut self, changes: &[Change], revision: u64) {
        for change in changes {
            match change {
                Change::Written(item) => {
                    self.items.insert(item.key.clone(), item.clone());
                }
                Change::Removed { key, revision } => {
                    self.items.remove(key);
                    self.removed.entry(*revision).or_default().push(key.clone());
                }
            }
        }
        self.revision = self.revision.max(Some(revision));
        while self.removed.len() > REMOVALS {
            if let Some((oldest, _)) = self.removed.pop_first() {
                self.floor = self.floor.max(oldest);
            }
        }
    }

    /// Whether anything came after a revision.
    pub fn has_news(&self, after: Option<u64>) -> bool {
        self.revision > after
    }

    /// What came after a revision.
    pub fn since(&self, after: Option<u64>) -> Since {
        let Some(after) = after.filter(|after| *after >= self.floor) else {
            return Since {
                revision: self.revision,
                whole: true,
                items: self.items.values().cloned().collect(),
                removed: Vec::new(),
            };
        };
        let newer = self.items.values().filter(|item| item.revision > after);
        let gone = self.removed.range(after + 1..).flat_map(|(_, keys)| keys);
        let gone = gone.filter(|key| !self.items.contains_key(*key));
        Since {
            revision: self.revision,
            whole: false,
            items: newer.cloned().collect(),
            removed: gone.cloned().collect(),
        }
    }
}
